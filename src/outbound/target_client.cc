#include "outbound/target_client.h"

#include <algorithm>
#include <string>
#include <utility>

#include "outbound/http_client.h"

namespace sapphirecrank::outbound {

using base::ErrorCode;
using base::ExecutionVerdict;
using dispatch::TargetCall;
using dispatch::TargetResponse;

namespace {

constexpr const char* kTaskHeader = "sapphirecrank-task";
constexpr int kFirstSuccessStatus = 200;
constexpr int kFirstRedirectStatus = 300;

TargetResponse FailedResponse(ErrorCode code, ExecutionVerdict verdict,
                              const std::string& message) {
  return {false, verdict, "", {code, "", message, verdict}};
}

TargetResponse ToTargetResponse(const std::string& attempt,
                                const HttpClientResponse& http_response) {
  if (http_response.status == 0) {
    return FailedResponse(http_response.error.code, http_response.error.verdict,
                          "call to the target: " + http_response.error.message);
  }
  const auto task_header = http_response.headers.find(kTaskHeader);
  if (task_header == http_response.headers.end() || task_header->second != attempt) {
    TargetResponse response =
        FailedResponse(ErrorCode::kTargetFailed, ExecutionVerdict::kMayHaveRun,
                       "the target's response is not for this attempt");
    response.is_for_other_attempt = true;
    return response;
  }
  if (http_response.status < kFirstSuccessStatus || http_response.status >= kFirstRedirectStatus) {
    TargetResponse response =
        FailedResponse(ErrorCode::kTargetFailed, ExecutionVerdict::kRan,
                       "the target responded with status " + std::to_string(http_response.status));
    response.body = http_response.body;
    return response;
  }
  return {true, ExecutionVerdict::kRan, http_response.body, {}};
}

}  // namespace

TargetClient::TargetClient(const HttpClientSettings& settings)
    : http_client(std::make_unique<HttpClient>(settings)) {}

TargetClient::~TargetClient() = default;

void TargetClient::Stop() { this->http_client->Stop(); }

void TargetClient::StartTask(TargetCall call, CompletionCallback on_done) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  const auto timeout = std::max<long>(1, duration_cast<milliseconds>(call.timeout).count());
  HttpClientRequest request;
  request.address = call.address;
  request.path = "/run";
  request.headers = {"Sapphirecrank-Task: " + call.attempt.value(),
                     "Sapphirecrank-Lease-Ms: " + std::to_string(timeout),
                     "Content-Type: application/json"};
  request.body = std::move(call.payload);
  request.timeout = call.timeout;
  this->http_client->SendRequest(
      std::move(request), [attempt = call.attempt.value(),
                           on_done = std::move(on_done)](const HttpClientResponse& http_response) {
        on_done(ToTargetResponse(attempt, http_response));
      });
}

}  // namespace sapphirecrank::outbound
