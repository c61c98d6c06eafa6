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

/// Returns the body of a target's response as JSON: unchanged if it is valid JSON, otherwise as a
/// JSON string.
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

HttpResponse JobResponse(const base::SubmissionId& submission, const WorkResult& result) {
  if (!result.error) {
    std::string body = "{\"submission\":" + SerializeJson(submission.value()) +
                       ",\"state\":\"complete\",\"results\":[";
    for (size_t i = 0; i < result.task_results.size(); ++i) {
      body += (i == 0 ? "" : ",") + ToJsonText(result.task_results[i].body);
    }
    return MakeResponse(200, body + "]}");
  }
  Json task_objects = Json::array();
  for (size_t i = 0; i < result.task_results.size(); ++i) {
    const TaskResult& task_result = result.task_results[i];
    Json task_object = {{"index", i}, {"verdict", base::ExecutionVerdictName(task_result.verdict)}};
    if (!task_result.succeeded) {
      task_object["error"] = ErrorObject(task_result.error);
    }
    task_objects.push_back(std::move(task_object));
  }
  return MakeResponse(HttpStatusOf(result.error->code),
                      SerializeJson({{"submission", submission.value()},
                                     {"state", "failed"},
                                     {"error", ErrorObject(*result.error)},
                                     {"tasks", std::move(task_objects)}}));
}

HttpResponse RequestResponse(const WorkResult& result) {
  if (result.error) {
    return ErrorResponse(*result.error);
  }
  return MakeResponse(200, result.task_results.front().body);
}

}  // namespace sapphirecrank::frontend
