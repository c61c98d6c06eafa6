#include <curl/curl.h>
#include <fmt/format.h>
#include <signal.h>

#include <string>
#include <vector>

#include "cli/command_line.h"
#include "cli/http_client.h"
#include "configuration/secret_file.h"
#include "configuration/settings.h"
#include "main/entry_host_process.h"
#include "platform/process.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)

int main(int argc, const char** argv) {
  // A write to a closed log pipe or to a file at its size limit must fail and not end the process.
  (void)signal(SIGPIPE, SIG_IGN);
  (void)signal(SIGXFSZ, SIG_IGN);
  curl_global_init(CURL_GLOBAL_DEFAULT);
  cli::CommandLine::Hooks hooks;
  hooks.file_hooks = {configuration::ReadFile, configuration::ReadSecretFile};
  hooks.call_entry_host = cli::CallEntryHost;
  hooks.run_entry_host = RunEntryHostProcess;
  hooks.run_gateway = platform::RunGateway;
  hooks.run_allocator = platform::RunAllocator;
  hooks.print = [](const std::string& text) { fmt::print("{}", text); };
  hooks.print_error = [](const std::string& text) { fmt::print(stderr, "{}", text); };
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  return static_cast<int>(cli::CommandLine(hooks).Run(arguments));
}
