#include "frontend/response_writer.h"

#include <nlohmann/json.hpp>
#include <string>

namespace sapphirecrank::frontend {

using base::ErrorCode;
using Json = nlohmann::json;

namespace {

int HttpStatusOf(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return 400;
    case ErrorCode::kUnauthenticated:
      return 401;
    case ErrorCode::kPermissionDenied:
      return 403;
    case ErrorCode::kNotFound:
      return 404;
    case ErrorCode::kConflict:
    case ErrorCode::kCancelled:
      return 409;
    case ErrorCode::kExpired:
      return 410;
    case ErrorCode::kTooLarge:
      return 413;
    case ErrorCode::kUnsatisfiable:
      return 422;
    case ErrorCode::kOverloaded:
      return 429;
    case ErrorCode::kTargetFailed:
      return 502;
    case ErrorCode::kUnavailable:
    case ErrorCode::kShuttingDown:
    case ErrorCode::kFenced:
      return 503;
    case ErrorCode::kDeadlineExceeded:
      return 504;
    default:
      return 500;
  }
}

Json ErrorObject(const base::Error& error) {
  return {{"code", base::ErrorCodeName(error.code)},
          {"field", error.field},
          {"message", error.message},
          {"verdict", base::ExecutionVerdictName(error.verdict)}};
}

std::string SerializeJson(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// Returns a target's answer as JSON: as it is, or as a string if it isn't JSON.
std::string ToJsonText(const std::string& body) {
  return Json::accept(body) ? body : SerializeJson(Json(body));
}

HttpResponse MakeResponse(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

}  // namespace

HttpResponse ErrorResponse(const base::Error& error) {
  return MakeResponse(HttpStatusOf(error.code), SerializeJson({{"error", ErrorObject(error)}}));
}

HttpResponse JobResponse(const base::SubmissionId& submission, const WorkResult& answer) {
  if (!answer.error) {
    std::string body = "{\"submission\":" + SerializeJson(submission.value()) +
                       ",\"state\":\"complete\",\"results\":[";
    for (size_t i = 0; i < answer.task_results.size(); ++i) {
      body += (i == 0 ? "" : ",") + ToJsonText(answer.task_results[i].body);
    }
    return MakeResponse(200, body + "]}");
  }
  Json tasks = Json::array();
  for (size_t i = 0; i < answer.task_results.size(); ++i) {
    const TaskResult& task = answer.task_results[i];
    Json item = {{"index", i}, {"verdict", base::ExecutionVerdictName(task.verdict)}};
    if (!task.succeeded) {
      item["error"] = ErrorObject(task.error);
    }
    tasks.push_back(std::move(item));
  }
  return MakeResponse(HttpStatusOf(answer.error->code),
                      SerializeJson({{"submission", submission.value()},
                                     {"state", "failed"},
                                     {"error", ErrorObject(*answer.error)},
                                     {"tasks", std::move(tasks)}}));
}

HttpResponse RequestResponse(const WorkResult& answer) {
  if (answer.error) {
    return ErrorResponse(*answer.error);
  }
  return MakeResponse(200, answer.task_results.front().body);
}

}  // namespace sapphirecrank::frontend
