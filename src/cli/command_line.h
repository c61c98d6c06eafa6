#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "cli/command_options.h"
#include "cli/configuration_loader.h"
#include "cli/exit_code.h"
#include "cli/http_client_request.h"
#include "cli/http_client_response.h"

namespace sapphirecrank::cli {

/// The subcommands of the program.
///
/// Thread safety: one object for one thread.
class CommandLine {
 public:
  /// Behaviour handed in; all members must be set.
  struct Hooks {
    ConfigurationLoader::Hooks file_hooks;
    /// Calls an entry host; see `CallEntryHost`.
    std::function<base::Result<HttpClientResponse>(
        const HttpClientRequest&, const std::function<void(base::Duration)>& on_waiting)>
        call_entry_host;
    /// Runs an entry host until it is stopped.
    std::function<base::Result<void>(const EntryHostConfiguration&)> run_entry_host;
    /// Run a gateway or an allocator with the settings file at a path until it is stopped.
    std::function<base::Result<void>(const std::string&)> run_gateway;
    std::function<base::Result<void>(const std::string&)> run_allocator;
    /// Writes to standard output and standard error.
    std::function<void(const std::string&)> print;
    std::function<void(const std::string&)> print_error;
  };

  explicit CommandLine(Hooks hooks);

  /// Runs the command that `arguments`, which follow the program's name, ask for.
  ExitCode Run(const std::vector<std::string>& arguments) const;

 private:
  ExitCode RunEntryHost(const CommandOptions& options) const;
  ExitCode RunClusterHost(const CommandOptions& options,
                          const std::function<base::Result<void>(const std::string&)>& run) const;
  ExitCode CheckSettings(const CommandOptions& options) const;
  ExitCode SubmitWork(const CommandOptions& options) const;
  ExitCode CancelJob(const CommandOptions& options) const;
  ExitCode PrintStatus(const CommandOptions& options) const;
  ExitCode DrainHost(const CommandOptions& options) const;
  ExitCode PrintVersion(const CommandOptions& options) const;
  /// Sends a call with the credential of the options, and prints an error or `text` of the answer.
  ExitCode SendAndPrint(const CommandOptions& options, HttpClientRequest call,
                        const std::function<std::string(const std::string&)>& text) const;
  ExitCode PrintError(const CommandOptions& options, const base::Error& error, ExitCode code) const;
  void PrintSettingsErrors(const CommandOptions& options, const std::string& path,
                           const ConfigurationLoader::Errors& faults) const;

  Hooks hooks;
};

}  // namespace sapphirecrank::cli
