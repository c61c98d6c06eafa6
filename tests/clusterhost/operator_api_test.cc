#include "clusterhost/operator_api.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <string>
#include <vector>

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using base::DataCentreId;
using base::HostId;
using cluster::EvacuationOrder;
using clusterhost::OperatorApi;
using clusterhost::ProposalOutcome;

TEST_GROUP(OperatorApi) {
  std::vector<std::string> orders;
  ProposalOutcome outcome = ProposalOutcome::kCommitted;
  std::string leader = "10.0.0.2:80";
  cluster::EvacuationState state;
  std::map<DataCentreId, size_t> run_counts;
  std::vector<frontend::HttpResponse> responses;
  OperatorApi api{this->MakeHooks()};

  OperatorApi::Hooks MakeHooks() {
    OperatorApi::Hooks hooks;
    hooks.is_known_data_centre = [](const DataCentreId& data_centre) {
      return data_centre == DataCentreId("x") || data_centre == DataCentreId("a b");
    };
    hooks.start_evacuation = [this](const DataCentreId& data_centre, const auto& callback) {
      this->orders.push_back("start " + data_centre.value());
      callback(this->outcome);
    };
    hooks.finish_evacuation = [this](const DataCentreId& data_centre, const auto& callback) {
      this->orders.push_back("finish " + data_centre.value());
      callback(this->outcome);
    };
    hooks.evacuations = [this] { return this->state; };
    hooks.run_counts = [this] { return this->run_counts; };
    hooks.leader_address = [this] { return this->leader; };
    return hooks;
  }

  const frontend::HttpResponse& Handle(const char* method, const char* path,
                                       const char* body = "") {
    frontend::HttpRequest request;
    request.method = method;
    request.path = path;
    request.body = body;
    const size_t count = this->responses.size();
    this->api.Handle(request, [this](const frontend::HttpResponse& response) {
      this->responses.push_back(response);
    });
    LONGS_EQUAL(count + 1, this->responses.size());
    return this->responses.back();
  }

  int StatusOf(const char* method, const char* path, const char* body = "") {
    return this->Handle(method, path, body).status;
  }
};

// Guards against a request that carries out the opposite order, or that is answered before the
// outcome is known.
TEST(OperatorApi, CarriesOutOrders) {
  LONGS_EQUAL(200, this->StatusOf("PUT", "/v1/evacuations/x"));
  LONGS_EQUAL(200, this->StatusOf("DELETE", "/v1/evacuations/a b"));
  LONGS_EQUAL(2, this->orders.size());
  STRCMP_EQUAL("start x", this->orders[0].c_str());
  STRCMP_EQUAL("finish a b", this->orders[1].c_str());
}

// Guards against a mistaken request that changes something, or that the operator's tools repeat
// because its status isn't a 4xx.
TEST(OperatorApi, RefusesWrongNamesBodiesAndMethods) {
  LONGS_EQUAL(400, this->StatusOf("PUT", "/v1/evacuations/y"));
  CHECK(this->responses.back().body.find("no data centre 'y' is known here") != std::string::npos);
  LONGS_EQUAL(400, this->StatusOf("PUT", "/v1/evacuations/"));
  LONGS_EQUAL(400, this->StatusOf("DELETE", "/v1/evacuations/x/"));
  LONGS_EQUAL(400, this->StatusOf("PUT", "/v1/evacuations/\xff"));
  LONGS_EQUAL(400, this->StatusOf("PUT", "/v1/evacuations/x", "{}"));
  LONGS_EQUAL(405, this->StatusOf("POST", "/v1/evacuations/x"));
  STRCMP_EQUAL("PUT, DELETE", this->responses.back().headers.at("Allow").c_str());
  LONGS_EQUAL(405, this->StatusOf("DELETE", "/v1/evacuations"));
  LONGS_EQUAL(404, this->StatusOf("GET", "/v1/other"));
  LONGS_EQUAL(0, this->orders.size());
}

// Guards against an acknowledgement of an order that isn't committed, and against a redirect to
// another resource or to nowhere.
TEST(OperatorApi, RedirectsToTheLeaderAndAdmitsUncertainty) {
  this->outcome = ProposalOutcome::kNotLeader;
  LONGS_EQUAL(307, this->StatusOf("PUT", "/v1/evacuations/a b"));
  STRCMP_EQUAL("http://10.0.0.2:80/v1/evacuations/a%20b",
               this->responses.back().headers.at("Location").c_str());
  this->leader = "";
  LONGS_EQUAL(503, this->StatusOf("PUT", "/v1/evacuations/x"));
  this->outcome = ProposalOutcome::kUnknown;
  LONGS_EQUAL(503, this->StatusOf("DELETE", "/v1/evacuations/x"));
  CHECK(this->responses.back().body.find("may have run") != std::string::npos);
}

// Guards against a list that lacks what an operator needs to know before a data centre is switched
// off.
TEST(OperatorApi, ListsEvacuationsWithTimeHostAndRunsLeft) {
  this->state.Apply({EvacuationOrder::Kind::kStart, DataCentreId("x"),
                     base::TimeOfDay(std::chrono::milliseconds(1700000000123)), HostId("h1:1")});
  this->run_counts = {{DataCentreId("x"), 3}, {DataCentreId("y"), 1}};
  STRCMP_EQUAL(R"({"evacuations":[{"accepted_by":"h1:1","data_centre":"x","runs_left":3,)"
               R"("since":"2023-11-14T22:13:20.123Z"}],"revision":1})",
               this->Handle("GET", "/v1/evacuations").body.c_str());
}
