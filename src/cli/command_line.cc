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
// The entry host ends all work at its deadline; the answer may take a little longer.
constexpr base::Duration kResponseMargin = std::chrono::seconds(10);
constexpr int kHttpUnauthorized = 401;
constexpr int kHttpForbidden = 403;
constexpr int kFirstNonSuccessStatus = 300;

std::string FormatJson(const Json& json) {
  return json.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

ExitCode ExitCodeFor(const HttpClientResponse& reply) {
  if (reply.status < kFirstNonSuccessStatus) {
    return ExitCode::kOk;
  }
  if (reply.status == kHttpUnauthorized || reply.status == kHttpForbidden) {
    return ExitCode::kDenied;
  }
  return ParseVerdict(reply.body) == base::ExecutionVerdictName(base::ExecutionVerdict::kNotRun)
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
  const auto ended = this->hooks.run_entry_host(*configuration);
  return ended ? ExitCode::kOk : this->PrintError(options, ended.error(), ExitCode::kFailed);
}

ExitCode CommandLine::RunClusterHost(
    const CommandOptions& options,
    const std::function<base::Result<void>(const std::string&)>& run) const {
  const auto ended = run(options.settings_file);
  if (ended) {
    return ExitCode::kOk;
  }
  const bool is_faulty = ended.error().code == base::ErrorCode::kInvalidArgument;
  return this->PrintError(options, ended.error(),
                          is_faulty ? ExitCode::kInvalidSettings : ExitCode::kFailed);
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
  const auto text = this->hooks.file_hooks.read_file(options.positional_argument);
  if (!text) {
    return this->PrintError(options, text.error(), ExitCode::kUsageError);
  }
  const Json work = Json::parse(*text, nullptr, false);
  if (!work.is_object()) {
    const base::Error error{base::ErrorCode::kInvalidArgument, "FILE",
                            "'" + options.positional_argument + "' does not hold a JSON object"};
    return this->PrintError(options, error, ExitCode::kUsageError);
  }
  HttpClientRequest call;
  call.method = "POST";
  call.path = work.contains("tasks") ? "/v1/jobs" : "/v1/requests";
  call.body = *text;
  call.timeout = RequestTimeout(work);
  return this->SendAndPrint(options, call, FormatResponse);
}

ExitCode CommandLine::CancelJob(const CommandOptions& options) const {
  HttpClientRequest call;
  call.method = "DELETE";
  call.path = "/v1/jobs/" + EscapePathSegment(options.positional_argument);
  return this->SendAndPrint(options, call, [&](const std::string&) {
    return fmt::format("job {}: cancelling; what runs is finished\n", options.positional_argument);
  });
}

ExitCode CommandLine::PrintStatus(const CommandOptions& options) const {
  HttpClientRequest call;
  call.path = "/v1/status";
  return this->SendAndPrint(options, call, FormatStatus);
}

ExitCode CommandLine::DrainHost(const CommandOptions& options) const {
  HttpClientRequest call;
  call.method = "POST";
  call.path = "/v1/drain";
  return this->SendAndPrint(options, call, [&](const std::string&) {
    return fmt::format("{}: draining; it stops when its work has ended\n",
                       options.entry_host.value());
  });
}

ExitCode CommandLine::PrintVersion(const CommandOptions& options) const {
  this->hooks.print(options.prints_json ? FormatJson({{"version", kVersion}})
                                        : fmt::format("sapphirecrank {}\n", kVersion));
  return ExitCode::kOk;
}

ExitCode CommandLine::SendAndPrint(
    const CommandOptions& options, HttpClientRequest call,
    const std::function<std::string(const std::string&)>& text) const {
  call.entry_host = options.entry_host;
  if (!options.credential_file.empty()) {
    const auto credential = this->hooks.file_hooks.read_secret_file(options.credential_file);
    if (!credential) {
      return this->PrintError(options, credential.error(), ExitCode::kDenied);
    }
    call.credential = FirstLine(*credential);
  }
  const auto reply = this->hooks.call_entry_host(call, [this](base::Duration elapsed) {
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(elapsed).count();
    this->hooks.print_error(fmt::format("waiting for the answer: {} s\n", seconds));
  });
  if (!reply) {
    const bool is_unreachable = reply.error().verdict == base::ExecutionVerdict::kNotRun;
    return this->PrintError(options, reply.error(),
                            is_unreachable ? ExitCode::kUnreachable : ExitCode::kFailed);
  }
  const ExitCode code = ExitCodeFor(*reply);
  if (options.prints_json) {
    this->hooks.print(reply->body + "\n");
  } else if (code == ExitCode::kOk) {
    this->hooks.print(text(reply->body));
  } else {
    this->hooks.print_error("sapphirecrank: " + FormatResponse(reply->body));
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
                                      const ConfigurationLoader::Errors& faults) const {
  Json list = Json::array();
  for (const configuration::SettingsError& fault : faults) {
    list.push_back({{"path", fault.path}, {"message", fault.message}});
    if (!options.prints_json) {
      this->hooks.print_error(fmt::format("{}: {}{}{}\n", path, fault.path,
                                          fault.path.empty() ? "" : ": ", fault.message));
    }
  }
  if (options.prints_json) {
    this->hooks.print(FormatJson({{"file", path}, {"faults", std::move(list)}}));
  }
}

}  // namespace sapphirecrank::cli
