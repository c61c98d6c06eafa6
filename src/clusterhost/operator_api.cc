#include "clusterhost/operator_api.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "base/error_code.h"
#include "base/execution_verdict.h"
#include "frontend/response_writer.h"

namespace sapphirecrank::clusterhost {

using cluster::EvacuationOrder;
using frontend::HttpRequest;
using frontend::HttpResponse;
using Json = nlohmann::json;

namespace {

constexpr const char* kApiPrefix = "/v1/";
constexpr const char* kEvacuationsPath = "/v1/evacuations";
constexpr const char* kEvacuationPrefix = "/v1/evacuations/";
constexpr int kOk = 200;
constexpr int kTemporaryRedirect = 307;
constexpr int kMethodNotAllowed = 405;

bool HasPrefix(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

HttpResponse MakeResponse(int status, const Json& body) {
  HttpResponse response;
  response.status = status;
  // Names in a request may have invalid UTF-8.
  response.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
  return response;
}

HttpResponse MethodNotAllowedResponse(const std::string& allowed_methods) {
  HttpResponse response =
      frontend::ErrorResponse({base::ErrorCode::kInvalidArgument, "method",
                               "only " + allowed_methods + " is supported here"});
  response.status = kMethodNotAllowed;
  response.headers["Allow"] = allowed_methods;
  return response;
}

std::string EscapePathSegment(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    const bool is_unreserved = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                               (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_' ||
                               c == '~';
    escaped +=
        is_unreserved ? std::string(1, c) : fmt::format("%{:02X}", static_cast<unsigned char>(c));
  }
  return escaped;
}

std::string FormatTime(base::TimeOfDay time) {
  const auto milliseconds = time.time_since_epoch() % std::chrono::seconds(1);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(time)), milliseconds.count());
}

}  // namespace

OperatorApi::OperatorApi(Hooks hooks) : hooks(std::move(hooks)) {}

bool OperatorApi::ServesPath(const std::string& path) { return HasPrefix(path, kApiPrefix); }

void OperatorApi::Handle(const HttpRequest& request, const ResponseCallback& respond) {
  if (request.path == kEvacuationsPath) {
    respond(request.method == "GET" ? this->ListEvacuations() : MethodNotAllowedResponse("GET"));
  } else if (!HasPrefix(request.path, kEvacuationPrefix)) {
    respond(frontend::ErrorResponse({base::ErrorCode::kNotFound, "path", "no such resource"}));
  } else if (request.method == "PUT" || request.method == "DELETE") {
    const auto kind =
        request.method == "PUT" ? EvacuationOrder::Kind::kStart : EvacuationOrder::Kind::kFinish;
    this->OrderEvacuation(kind, request, request.path.substr(std::string(kEvacuationPrefix).size()),
                          kEvacuationPrefix, respond);
  } else {
    respond(MethodNotAllowedResponse("PUT, DELETE"));
  }
}

void OperatorApi::OrderEvacuation(EvacuationOrder::Kind kind, const HttpRequest& request,
                                  const std::string& data_centre, const std::string& path_prefix,
                                  const ResponseCallback& respond) {
  if (!request.body.empty()) {
    respond(frontend::ErrorResponse(
        {base::ErrorCode::kInvalidArgument, "body", "the request must not have a body"}));
    return;
  }
  const base::DataCentreId id(data_centre);
  if (!this->hooks.is_known_data_centre(id)) {
    respond(frontend::ErrorResponse({base::ErrorCode::kInvalidArgument, "data_centre",
                                     "no data centre '" + data_centre + "' is known here"}));
    return;
  }
  const auto& order = kind == EvacuationOrder::Kind::kStart ? this->hooks.start_evacuation
                                                            : this->hooks.finish_evacuation;
  order(id, [this, respond,
             location = path_prefix + EscapePathSegment(data_centre)](ProposalOutcome outcome) {
    const std::string leader = this->hooks.leader_address();
    if (outcome == ProposalOutcome::kCommitted) {
      respond(MakeResponse(kOk, Json::object()));
    } else if (outcome == ProposalOutcome::kNotLeader && !leader.empty()) {
      HttpResponse redirect = MakeResponse(kTemporaryRedirect, Json::object());
      redirect.headers["Location"] = "http://" + leader + location;
      respond(redirect);
    } else {
      respond(frontend::ErrorResponse({base::ErrorCode::kUnavailable, "",
                                       "the order is not confirmed; send it again",
                                       base::ExecutionVerdict::kMayHaveRun}));
    }
  });
}

HttpResponse OperatorApi::ListEvacuations() const {
  const cluster::EvacuationState state = this->hooks.evacuations();
  const std::map<base::DataCentreId, size_t> run_counts = this->hooks.run_counts();
  Json list = Json::array();
  for (const auto& [data_centre, evacuation] : state.evacuations()) {
    const auto runs = run_counts.find(data_centre);
    list.push_back({{"data_centre", data_centre.value()},
                    {"since", FormatTime(evacuation.since)},
                    {"accepted_by", evacuation.accepted_by.value()},
                    {"runs_left", runs == run_counts.end() ? 0 : runs->second}});
  }
  return MakeResponse(kOk, {{"revision", state.revision().value()}, {"evacuations", list}});
}

}  // namespace sapphirecrank::clusterhost
