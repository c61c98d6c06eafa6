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

/// Parses the command line and runs the subcommands of the program.
///
/// Thread safety: none.
class CommandLine {
 public:
  /// Functions that the subcommands call; all must be set.
  struct Hooks {
    ConfigurationLoader::Hooks file_hooks;
    /// Calls an entry host; see `CallEntryHost`.
    std::function<base::Result<HttpClientResponse>(
        const HttpClientRequest&, const std::function<void(base::Duration)>& on_waiting)>
        call_entry_host;
    /// Runs an entry host until it is stopped.
    std::function<base::Result<void>(const EntryHostConfiguration&)> run_entry_host;
    /// Run a gateway or an allocator with the settings file at the given path until it is stopped.
    std::function<base::Result<void>(const std::string&)> run_gateway;
    std::function<base::Result<void>(const std::string&)> run_allocator;
    /// Write to standard output and to standard error.
    std::function<void(const std::string&)> print;
    std::function<void(const std::string&)> print_error;
  };

  explicit CommandLine(Hooks hooks);

  /// Runs the subcommand in `arguments`, the arguments that follow the program's name.
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
  ExitCode ManageEvacuations(const CommandOptions& options) const;
  ExitCode PrintVersion(const CommandOptions& options) const;
  /// Sends `request` with the credential of the options. Prints the error, or the response as
  /// formatted by `format_response`.
  ExitCode SendAndPrint(
      const CommandOptions& options, HttpClientRequest request,
      const std::function<std::string(const std::string&)>& format_response) const;
  ExitCode PrintError(const CommandOptions& options, const base::Error& error, ExitCode code) const;
  void PrintSettingsErrors(const CommandOptions& options, const std::string& path,
                           const ConfigurationLoader::Errors& errors) const;

  Hooks hooks;
};

}  // namespace sapphirecrank::cli
