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

constexpr const char* kReadOnlyToken = "Bearer monitor:reading-secret-0001";
constexpr const char* kReadWriteToken = "Bearer on-call:changing-secret-002";
constexpr const char* kTeamKey = "Bearer tags:team-secret-000003";

}  // namespace

TEST_GROUP(AccessControl) {
  AccessControl MakeAccessControl(bool has_credentials) {
    Authenticator authenticator({}, {});
    if (has_credentials) {
      authenticator = Authenticator({{"monitor", OperatorRole::kReadOnly, "reading-secret-0001"},
                                     {"on-call", OperatorRole::kReadWrite, "changing-secret-002"}},
                                    {{base::TeamId("tags"), "team-secret-000003"}});
    }
    AccessControl::Hooks hooks;
    hooks.handle_request = [this](const HttpRequest& request,
                                  const AccessControl::ResponseCallback& respond) {
      this->handled_requests.push_back(request);
      respond(HttpResponse());
    };
    hooks.write_audit_entry = [this](const HttpRequest& request, const std::string& name,
                                     int status) {
      this->audit_entries.push_back(name + " " + request.path + " " + std::to_string(status));
    };
    hooks.on_request_rejected = [this](const HttpRequest&, const base::Error& error) {
      this->rejection_errors.push_back(error);
    };
    return AccessControl(authenticator, hooks);
  }

  int SendRequest(const std::string& method, const std::string& path, const std::string& credential,
                  bool has_credentials = true) {
    HttpRequest request;
    request.method = method;
    request.path = path;
    if (!credential.empty()) {
      request.headers["authorization"] = credential;
    }
    int response_count = 0;
    int status = 0;
    this->MakeAccessControl(has_credentials)
        .HandleRequest(request, [&](const HttpResponse& response) {
          ++response_count;
          status = response.status;
        });
    LONGS_EQUAL(1, response_count);
    return status;
  }

  std::vector<HttpRequest> handled_requests;
  std::vector<std::string> audit_entries;
  std::vector<base::Error> rejection_errors;
};

// Guards against a change by an operator without the role `kReadWrite`, and against an attempt that
// isn't audited.
TEST(AccessControl, ChangesWithoutTheRoleAreRejectedAndAudited) {
  LONGS_EQUAL(401, this->SendRequest("PUT", "/v1/preset", ""));
  LONGS_EQUAL(401, this->SendRequest("PUT", "/v1/preset", "Bearer on-call:changing-secret-003"));
  LONGS_EQUAL(401, this->SendRequest("PUT", "/v1/preset", "Bearer on-call:changing-secret-00"));
  LONGS_EQUAL(401, this->SendRequest("PUT", "/v1/preset", "Bearer on-call:"));
  LONGS_EQUAL(401, this->SendRequest("PUT", "/v1/preset", "Bearer nobody:changing-secret-002"));
  LONGS_EQUAL(401, this->SendRequest("PUT", "/v1/preset", kTeamKey));
  LONGS_EQUAL(403, this->SendRequest("PUT", "/v1/preset", kReadOnlyToken));
  LONGS_EQUAL(0, this->handled_requests.size());
  LONGS_EQUAL(7, this->audit_entries.size());
  STRCMP_EQUAL("monitor /v1/preset 403", this->audit_entries.back().c_str());
}

// Guards against an accepted change without an audit entry that names the operator.
TEST(AccessControl, AcceptedChangesAreAuditedWithTheName) {
  LONGS_EQUAL(200, this->SendRequest("POST", "/v1/drain", kReadWriteToken));
  LONGS_EQUAL(1, this->handled_requests.size());
  STRCMP_EQUAL("on-call /v1/drain 200", this->audit_entries.at(0).c_str());
}

// Guards against status and metrics that can be read without a token although tokens are
// configured.
TEST(AccessControl, ReadingRequiresAToken) {
  for (const char* path : {"/metrics", "/v1/status"}) {
    LONGS_EQUAL(401, this->SendRequest("GET", path, ""));
    LONGS_EQUAL(401, this->SendRequest("GET", path, kTeamKey));
    LONGS_EQUAL(200, this->SendRequest("GET", path, kReadOnlyToken));
    LONGS_EQUAL(200, this->SendRequest("GET", path, kReadWriteToken));
  }
  LONGS_EQUAL(4, this->rejection_errors.size());
}

// Guards against work without a team's key, and against an authenticated team that isn't passed on
// with the request.
TEST(AccessControl, WorkIsBoundToTheKeysTeam) {
  LONGS_EQUAL(401, this->SendRequest("POST", "/v1/jobs", ""));
  LONGS_EQUAL(401, this->SendRequest("POST", "/v1/requests", kReadWriteToken));
  LONGS_EQUAL(401, this->SendRequest("DELETE", "/v1/jobs/ba:1", kReadOnlyToken));
  LONGS_EQUAL(200, this->SendRequest("POST", "/v1/jobs", kTeamKey));
  STRCMP_EQUAL("tags", this->handled_requests.at(0).authenticated_team.value().c_str());
}

// Guards against an operator with the role `kReadWrite` who can't cancel a team's job, and against
// a cancellation that isn't audited.
TEST(AccessControl, ReadWriteOperatorsMayCancelAnyJob) {
  LONGS_EQUAL(200, this->SendRequest("DELETE", "/v1/jobs/ba:1", kReadWriteToken));
  CHECK_TRUE(this->handled_requests.at(0).authenticated_team.empty());
  LONGS_EQUAL(1, this->audit_entries.size());
}

// Guards against a resource that has no rule of its own and is therefore open to everyone.
TEST(AccessControl, UnknownResourcesRequireTheReadWriteRole) {
  LONGS_EQUAL(401, this->SendRequest("GET", "/v1/anything", ""));
  LONGS_EQUAL(403, this->SendRequest("GET", "/metrics/", kReadOnlyToken));
  LONGS_EQUAL(0, this->handled_requests.size());
}

// Guards against a host that rejects every request because no credentials are configured.
TEST(AccessControl, WithoutConfiguredCredentialsEverythingIsAllowed) {
  for (const char* path : {"/v1/jobs", "/v1/drain", "/v1/targets"}) {
    LONGS_EQUAL(200, this->SendRequest("POST", path, "", false));
  }
  LONGS_EQUAL(200, this->SendRequest("GET", "/metrics", "", false));
}
