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

TargetResponse ToTargetResponse(const std::string& attempt, const HttpClientResponse& reply) {
  if (reply.status == 0) {
    return FailedResponse(reply.error.code, reply.error.verdict,
                          "call of the target: " + reply.error.message);
  }
  const auto answered = reply.headers.find(kTaskHeader);
  if (answered == reply.headers.end() || answered->second != attempt) {
    TargetResponse answer = FailedResponse(ErrorCode::kTargetFailed, ExecutionVerdict::kMayHaveRun,
                                           "the target answered another attempt");
    answer.is_for_other_attempt = true;
    return answer;
  }
  if (reply.status < kFirstSuccessStatus || reply.status >= kFirstRedirectStatus) {
    TargetResponse answer =
        FailedResponse(ErrorCode::kTargetFailed, ExecutionVerdict::kRan,
                       "the target answered status " + std::to_string(reply.status));
    answer.body = reply.body;
    return answer;
  }
  return {true, ExecutionVerdict::kRan, reply.body, {}};
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
  HttpClientRequest http;
  http.address = call.address;
  http.path = "/run";
  http.headers = {"Sapphirecrank-Task: " + call.attempt.value(),
                  "Sapphirecrank-Lease-Ms: " + std::to_string(timeout),
                  "Content-Type: application/json"};
  http.body = std::move(call.payload);
  http.timeout = call.timeout;
  this->http_client->SendRequest(
      std::move(http),
      [attempt = call.attempt.value(), on_done = std::move(on_done)](
          const HttpClientResponse& reply) { on_done(ToTargetResponse(attempt, reply)); });
}

}  // namespace sapphirecrank::outbound
