#include "main/entry_host_process.h"

#include <signal.h>

#include "entryhost/entry_host.h"
#include "observability/logger.h"

namespace sapphirecrank {

namespace {

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

void WarnIfUnauthenticated(const cli::EntryHostConfiguration& configuration,
                           observability::Logger& logger) {
  if (configuration.operator_tokens.empty()) {
    logger.Warning("operators are not authenticated; anyone can read the status and drain the host",
                   {{"setting", "authentication.operator_tokens_file"}});
  }
  if (configuration.team_keys.empty()) {
    logger.Warning("callers are not authenticated; anyone can submit work for any team",
                   {{"setting", "authentication.team_keys_file"}});
  }
}

}  // namespace

base::Result<void> RunEntryHostProcess(const cli::EntryHostConfiguration& configuration) {
  // The signals are blocked before the first thread starts, so that only sigwait receives them.
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  observability::Logger logger(observability::LogLevel::kInfo,
                               observability::Logger::StandardOutputHooks());
  WarnIfUnauthenticated(configuration, logger);
  const std::string& host_name = configuration.settings.host.value();
  entryhost::EntryHost host(
      configuration.settings, configuration.shared_secret, logger,
      frontend::Authenticator(configuration.operator_tokens, configuration.team_keys));
  const auto start_result = host.Start();
  if (!start_result) {
    return start_result;
  }
  logger.Info("entry host started", {{"host", host_name}, {"http", host.HttpAddress().value()}});
  int signal = 0;
  sigwait(&signals, &signal);
  logger.Info("draining", {{"host", host_name}});
  host.Drain();
  logger.Info("stopped", {{"host", host_name}});
  return {};
}

}  // namespace sapphirecrank
