#include "frontend/access_control.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using frontend::AccessControl;
using frontend::Authenticator;
using frontend::HttpRequest;
using frontend::HttpResponse;
using frontend::OperatorRole;

namespace {

constexpr const char* kReadingToken = "Bearer monitor:reading-secret-0001";
constexpr const char* kChangingToken = "Bearer on-call:changing-secret-002";
constexpr const char* kTeamKey = "Bearer tags:team-secret-000003";

}  // namespace

TEST_GROUP(AccessControl) {
  AccessControl MakeControl(bool has_credentials) {
    Authenticator authenticator({}, {});
    if (has_credentials) {
      authenticator = Authenticator({{"monitor", OperatorRole::kReadOnly, "reading-secret-0001"},
                                     {"on-call", OperatorRole::kReadWrite, "changing-secret-002"}},
                                    {{base::TeamId("tags"), "team-secret-000003"}});
    }
    AccessControl::Hooks hooks;
    hooks.handle_request = [this](const HttpRequest& request,
                                  const AccessControl::ResponseCallback& respond) {
      this->handled.push_back(request);
      respond(HttpResponse());
    };
    hooks.write_audit_entry = [this](const HttpRequest& request, const std::string& name,
                                     int status) {
      this->audit.push_back(name + " " + request.path + " " + std::to_string(status));
    };
    hooks.on_request_rejected = [this](const HttpRequest&, const base::Error& error) {
      this->refused.push_back(error);
    };
    return AccessControl(authenticator, hooks);
  }

  int Send(const std::string& method, const std::string& path, const std::string& credential,
           bool has_credentials = true) {
    HttpRequest request;
    request.method = method;
    request.path = path;
    if (!credential.empty()) {
      request.headers["authorization"] = credential;
    }
    int answers = 0;
    int status = 0;
    this->MakeControl(has_credentials).HandleRequest(request, [&](const HttpResponse& response) {
      ++answers;
      status = response.status;
    });
    LONGS_EQUAL(1, answers);
    return status;
  }

  std::vector<HttpRequest> handled;
  std::vector<std::string> audit;
  std::vector<base::Error> refused;
};

// Guards against a change by someone without the changing role, and against one that isn't audited.
TEST(AccessControl, ChangesWithoutTheRoleAreRefusedAndAudited) {
  LONGS_EQUAL(401, this->Send("PUT", "/v1/preset", ""));
  LONGS_EQUAL(401, this->Send("PUT", "/v1/preset", "Bearer on-call:changing-secret-003"));
  LONGS_EQUAL(401, this->Send("PUT", "/v1/preset", "Bearer on-call:changing-secret-00"));
  LONGS_EQUAL(401, this->Send("PUT", "/v1/preset", "Bearer on-call:"));
  LONGS_EQUAL(401, this->Send("PUT", "/v1/preset", "Bearer nobody:changing-secret-002"));
  LONGS_EQUAL(401, this->Send("PUT", "/v1/preset", kTeamKey));
  LONGS_EQUAL(403, this->Send("PUT", "/v1/preset", kReadingToken));
  LONGS_EQUAL(0, this->handled.size());
  LONGS_EQUAL(7, this->audit.size());
  STRCMP_EQUAL("monitor /v1/preset 403", this->audit.back().c_str());
}

// Guards against an accepted change that leaves no trace of who made it.
TEST(AccessControl, AcceptedChangesAreAuditedWithTheName) {
  LONGS_EQUAL(200, this->Send("POST", "/v1/drain", kChangingToken));
  LONGS_EQUAL(1, this->handled.size());
  STRCMP_EQUAL("on-call /v1/drain 200", this->audit.at(0).c_str());
}

// Guards against a status or metrics that anyone can read although tokens are configured.
TEST(AccessControl, ReadingNeedsAToken) {
  for (const char* path : {"/metrics", "/v1/status"}) {
    LONGS_EQUAL(401, this->Send("GET", path, ""));
    LONGS_EQUAL(401, this->Send("GET", path, kTeamKey));
    LONGS_EQUAL(200, this->Send("GET", path, kReadingToken));
    LONGS_EQUAL(200, this->Send("GET", path, kChangingToken));
  }
  LONGS_EQUAL(4, this->refused.size());
}

// Guards against work in another team's name, and against a team that is lost on the way.
TEST(AccessControl, WorkIsBoundToTheKeysTeam) {
  LONGS_EQUAL(401, this->Send("POST", "/v1/jobs", ""));
  LONGS_EQUAL(401, this->Send("POST", "/v1/requests", kChangingToken));
  LONGS_EQUAL(401, this->Send("DELETE", "/v1/jobs/ba:1", kReadingToken));
  LONGS_EQUAL(200, this->Send("POST", "/v1/jobs", kTeamKey));
  STRCMP_EQUAL("tags", this->handled.at(0).authenticated_team.value().c_str());
}

// Guards against an operator who can't stop a team's job, or whose cancellation isn't audited.
TEST(AccessControl, ChangingOperatorsMayCancelAnyJob) {
  LONGS_EQUAL(200, this->Send("DELETE", "/v1/jobs/ba:1", kChangingToken));
  CHECK_TRUE(this->handled.at(0).authenticated_team.empty());
  LONGS_EQUAL(1, this->audit.size());
}

// Guards against a resource that is added without a rule and is open to everyone.
TEST(AccessControl, UnknownResourcesNeedTheChangingRole) {
  LONGS_EQUAL(401, this->Send("GET", "/v1/anything", ""));
  LONGS_EQUAL(403, this->Send("GET", "/metrics/", kReadingToken));
  LONGS_EQUAL(0, this->handled.size());
}

// Guards against hosts without credentials that refuse everything.
TEST(AccessControl, WithoutCredentialsEverythingIsOpen) {
  for (const char* path : {"/v1/jobs", "/v1/drain", "/v1/targets"}) {
    LONGS_EQUAL(200, this->Send("POST", path, "", false));
  }
  LONGS_EQUAL(200, this->Send("GET", "/metrics", "", false));
}
