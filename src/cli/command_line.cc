#include "cli/command_line.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "base/error_code.h"
#include "base/execution_verdict.h"
#include "cli/http_client.h"
#include "cli/option_parser.h"
#include "cli/response_formatter.h"

namespace sapphirecrank::cli {

using Json = nlohmann::json;

namespace {

constexpr const char* kVersion = "0.1.0";
constexpr int64_t kDefaultDeadlineMs = 30LL * 1000;
constexpr int64_t kMaximumDeadlineMs = 3600LL * 1000;
// The entry host ends all work at its deadline; the response may arrive a little later.
constexpr base::Duration kResponseMargin = std::chrono::seconds(10);
constexpr int kHttpUnauthorized = 401;
constexpr int kHttpForbidden = 403;
constexpr int kFirstNonSuccessStatus = 300;

std::string FormatJson(const Json& json) {
  return json.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

ExitCode ExitCodeFor(const HttpClientResponse& response) {
  if (response.status < kFirstNonSuccessStatus) {
    return ExitCode::kOk;
  }
  if (response.status == kHttpUnauthorized || response.status == kHttpForbidden) {
    return ExitCode::kDenied;
  }
  return ParseVerdict(response.body) == base::ExecutionVerdictName(base::ExecutionVerdict::kNotRun)
             ? ExitCode::kNotRun
             : ExitCode::kFailed;
}

base::Duration RequestTimeout(const Json& work) {
  const auto deadline = work.find("deadline_ms");
  int64_t milliseconds = kDefaultDeadlineMs;
  if (deadline != work.end() && deadline->is_number_integer()) {
    milliseconds = std::min(std::max<int64_t>(deadline->get<int64_t>(), 0), kMaximumDeadlineMs);
  }
  return std::chrono::milliseconds(milliseconds) + kResponseMargin;
}

std::string FirstLine(const std::string& text) {
  return text.substr(0, text.find_first_of("\r\n"));
}

}  // namespace

CommandLine::CommandLine(Hooks hooks) : hooks(std::move(hooks)) {}

ExitCode CommandLine::Run(const std::vector<std::string>& arguments) const {
  const auto options = ParseOptions(arguments);
  if (!options) {
    this->hooks.print_error("sapphirecrank: " + options.error().message + "\n");
    return ExitCode::kUsageError;
  }
  if (!options->help_text.empty()) {
    this->hooks.print(options->help_text);
    return ExitCode::kOk;
  }
  switch (options->command) {
    case Command::kRun:
      return this->RunEntryHost(*options);
    case Command::kGateway:
      return this->RunClusterHost(*options, this->hooks.run_gateway);
    case Command::kAllocator:
      return this->RunClusterHost(*options, this->hooks.run_allocator);
    case Command::kCheck:
      return this->CheckSettings(*options);
    case Command::kSubmit:
      return this->SubmitWork(*options);
    case Command::kCancel:
      return this->CancelJob(*options);
    case Command::kStatus:
      return this->PrintStatus(*options);
    case Command::kDrain:
      return this->DrainHost(*options);
    case Command::kEvacuate:
      return this->ManageEvacuations(*options);
    case Command::kVersion:
      return this->PrintVersion(*options);
    case Command::kNone:
      break;
  }
  return ExitCode::kUsageError;
}

ExitCode CommandLine::RunEntryHost(const CommandOptions& options) const {
  const auto configuration =
      ConfigurationLoader(this->hooks.file_hooks).Load(options.settings_file);
  if (!configuration) {
    this->PrintSettingsErrors(options, options.settings_file, configuration.error());
    return ExitCode::kInvalidSettings;
  }
  const auto result = this->hooks.run_entry_host(*configuration);
  return result ? ExitCode::kOk : this->PrintError(options, result.error(), ExitCode::kFailed);
}

ExitCode CommandLine::RunClusterHost(
    const CommandOptions& options,
    const std::function<base::Result<void>(const std::string&)>& run) const {
  const auto result = run(options.settings_file);
  if (result) {
    return ExitCode::kOk;
  }
  const bool has_invalid_settings = result.error().code == base::ErrorCode::kInvalidArgument;
  return this->PrintError(options, result.error(),
                          has_invalid_settings ? ExitCode::kInvalidSettings : ExitCode::kFailed);
}

ExitCode CommandLine::CheckSettings(const CommandOptions& options) const {
  const auto configuration =
      ConfigurationLoader(this->hooks.file_hooks).Load(options.positional_argument);
  if (!configuration) {
    this->PrintSettingsErrors(options, options.positional_argument, configuration.error());
    return ExitCode::kInvalidSettings;
  }
  this->hooks.print(options.prints_json ? FormatJson({{"file", options.positional_argument},
                                                      {"faults", Json::array()}})
                                        : fmt::format("{}: ok\n", options.positional_argument));
  return ExitCode::kOk;
}

ExitCode CommandLine::SubmitWork(const CommandOptions& options) const {
  const auto content = this->hooks.file_hooks.read_file(options.positional_argument);
  if (!content) {
    return this->PrintError(options, content.error(), ExitCode::kUsageError);
  }
  const Json work = Json::parse(*content, nullptr, false);
  if (!work.is_object()) {
    const base::Error error{base::ErrorCode::kInvalidArgument, "FILE",
                            "'" + options.positional_argument + "' does not contain a JSON object"};
    return this->PrintError(options, error, ExitCode::kUsageError);
  }
  HttpClientRequest request;
  request.method = "POST";
  request.path = work.contains("tasks") ? "/v1/jobs" : "/v1/requests";
  request.body = *content;
  request.timeout = RequestTimeout(work);
  return this->SendAndPrint(options, request, FormatResponse);
}

ExitCode CommandLine::CancelJob(const CommandOptions& options) const {
  HttpClientRequest request;
  request.method = "DELETE";
  request.path = "/v1/jobs/" + EscapePathSegment(options.positional_argument);
  return this->SendAndPrint(options, request, [&](const std::string&) {
    return fmt::format("job {}: cancelling; tasks that are running will finish\n",
                       options.positional_argument);
  });
}

ExitCode CommandLine::PrintStatus(const CommandOptions& options) const {
  HttpClientRequest request;
  request.path = "/v1/status";
  return this->SendAndPrint(options, request, FormatStatus);
}

ExitCode CommandLine::DrainHost(const CommandOptions& options) const {
  HttpClientRequest request;
  request.method = "POST";
  request.path = "/v1/drain";
  return this->SendAndPrint(options, request, [&](const std::string&) {
    return fmt::format("{}: draining; it stops when its work has finished\n",
                       options.entry_host.value());
  });
}

ExitCode CommandLine::ManageEvacuations(const CommandOptions& options) const {
  HttpClientRequest request;
  request.path = "/v1/evacuations";
  if (options.positional_argument == "list") {
    return this->SendAndPrint(options, request, FormatEvacuations);
  }
  const bool starts = options.positional_argument == "start";
  request.method = starts ? "PUT" : "DELETE";
  request.path += "/" + EscapePathSegment(options.data_centre);
  request.follows_redirects = true;
  return this->SendAndPrint(options, request, [&](const std::string&) {
    return fmt::format("data centre {}: {}\n", options.data_centre,
                       starts ? "evacuated; its targets start nothing new"
                              : "evacuation finished; its targets are used again");
  });
}

ExitCode CommandLine::PrintVersion(const CommandOptions& options) const {
  this->hooks.print(options.prints_json ? FormatJson({{"version", kVersion}})
                                        : fmt::format("sapphirecrank {}\n", kVersion));
  return ExitCode::kOk;
}

ExitCode CommandLine::SendAndPrint(
    const CommandOptions& options, HttpClientRequest request,
    const std::function<std::string(const std::string&)>& format_response) const {
  request.entry_host = options.entry_host;
  if (!options.credential_file.empty()) {
    const auto credential = this->hooks.file_hooks.read_secret_file(options.credential_file);
    if (!credential) {
      return this->PrintError(options, credential.error(), ExitCode::kDenied);
    }
    request.credential = FirstLine(*credential);
  }
  const auto response = this->hooks.call_entry_host(request, [this](base::Duration elapsed) {
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(elapsed).count();
    this->hooks.print_error(fmt::format("waiting for the response: {} s\n", seconds));
  });
  if (!response) {
    const bool is_unreachable = response.error().verdict == base::ExecutionVerdict::kNotRun;
    return this->PrintError(options, response.error(),
                            is_unreachable ? ExitCode::kUnreachable : ExitCode::kFailed);
  }
  const ExitCode code = ExitCodeFor(*response);
  if (options.prints_json) {
    this->hooks.print(response->body + "\n");
  } else if (code == ExitCode::kOk) {
    this->hooks.print(format_response(response->body));
  } else {
    this->hooks.print_error("sapphirecrank: " + FormatResponse(response->body));
  }
  return code;
}

ExitCode CommandLine::PrintError(const CommandOptions& options, const base::Error& error,
                                 ExitCode code) const {
  if (options.prints_json) {
    this->hooks.print(FormatJson({{"error",
                                   {{"code", base::ErrorCodeName(error.code)},
                                    {"field", error.field},
                                    {"message", error.message},
                                    {"verdict", base::ExecutionVerdictName(error.verdict)}}}}));
  } else {
    this->hooks.print_error(
        fmt::format("sapphirecrank: {}: {}\n", base::ErrorCodeName(error.code), error.message));
  }
  return code;
}

void CommandLine::PrintSettingsErrors(const CommandOptions& options, const std::string& path,
                                      const ConfigurationLoader::Errors& errors) const {
  Json error_list = Json::array();
  for (const configuration::SettingsError& error : errors) {
    error_list.push_back({{"path", error.path}, {"message", error.message}});
    if (!options.prints_json) {
      this->hooks.print_error(fmt::format("{}: {}{}{}\n", path, error.path,
                                          error.path.empty() ? "" : ": ", error.message));
    }
  }
  if (options.prints_json) {
    this->hooks.print(FormatJson({{"file", path}, {"faults", std::move(error_list)}}));
  }
}

}  // namespace sapphirecrank::cli
