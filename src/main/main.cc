#include <fmt/format.h>
#include <popt.h>
#include <signal.h>

#include <string>

#include "configuration/settings.h"
#include "entryhost/entry_host.h"
#include "observability/logger.h"

namespace {

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)

constexpr const char* kVersion = "0.1.0";
constexpr const char* kUsage =
    "usage: sapphirecrank run --settings FILE   run an entry host\n"
    "       sapphirecrank version               print the version\n";

// Exit codes.
constexpr int kOk = 0;
constexpr int kFailed = 1;
constexpr int kWrongUsage = 2;

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

std::string WithoutEndOfLine(std::string text) {
  while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) {
    text.pop_back();
  }
  return text;
}

int Fault(const base::Error& error) {
  fmt::print(stderr, "sapphirecrank: {}: {}\n", base::ErrorCodeName(error.code), error.message);
  return kFailed;
}

int Run(const std::string& settings_file) {
  const auto text = configuration::ReadFile(settings_file);
  if (!text) {
    return Fault(text.error());
  }
  const auto settings = configuration::ParseSettings(*text);
  if (!settings) {
    return Fault(settings.error());
  }
  const auto secret = configuration::ReadFile(settings->secret_file);
  if (!secret) {
    return Fault(secret.error());
  }
  // Blocked before the first thread starts, so that only sigwait gets them.
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  observability::Logger logger(observability::LogLevel::kInfo,
                               observability::Logger::StandardError());
  entryhost::EntryHost host(*settings, WithoutEndOfLine(*secret), logger);
  const auto started = host.Start();
  if (!started) {
    return Fault(started.error());
  }
  logger.Info("entry host started",
              {{"host", settings->host.value()}, {"http", host.HttpAddress().value()}});
  int signal = 0;
  sigwait(&signals, &signal);
  logger.Info("draining", {{"host", settings->host.value()}});
  host.Drain();
  logger.Info("stopped", {{"host", settings->host.value()}});
  return kOk;
}

}  // namespace

int main(int argc, const char** argv) {
  char* settings_file = nullptr;
  poptOption options[] = {
      {"settings", 's', POPT_ARG_STRING, &settings_file, 0, "settings file in JSON", "FILE"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("sapphirecrank", argc, argv, options, 0);
  poptSetOtherOptionHelp(context, "run --settings FILE | version");
  const int parsed = poptGetNextOpt(context);
  const char* argument = poptGetArg(context);
  const std::string command = argument == nullptr ? "" : argument;
  int code = kWrongUsage;
  if (parsed == -1 && command == "run" && settings_file != nullptr) {
    code = Run(settings_file);
  } else if (parsed == -1 && command == "version") {
    fmt::print("sapphirecrank {}\n", kVersion);
    code = kOk;
  } else {
    fmt::print(stderr, "{}", kUsage);
  }
  poptFreeContext(context);
  return code;
}
