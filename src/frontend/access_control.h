#pragma once

#include <functional>
#include <string>

#include "base/error.h"
#include "frontend/authenticator.h"
#include "frontend/http_request.h"
#include "frontend/http_response.h"

namespace sapphirecrank::frontend {

/// Authorizes requests before the router handles them, and reports changes by operators to the
/// audit log.
///
/// Reading the status and metrics requires an operator's token; work requires a team's key and is
/// bound to that team; target announcements require no credential; everything else requires the
/// role `kReadWrite`. An operator with this role may also cancel any job. Thread safety: all
/// methods may be called from any thread.
class AccessControl {
 public:
  using ResponseCallback = std::function<void(const HttpResponse&)>;

  /// Functions that access control calls; all must be set.
  struct Hooks {
    /// Handles an authorized request. Must call the callback exactly once, at once or later.
    std::function<void(const HttpRequest&, const ResponseCallback&)> handle_request;
    /// Called once for each change that was requested, with the operator's name (empty if unknown)
    /// and the HTTP status of the response.
    std::function<void(const HttpRequest&, const std::string& name, int status)> write_audit_entry;
    /// Called for each other request that is rejected.
    std::function<void(const HttpRequest&, const base::Error&)> on_request_rejected;
  };

  AccessControl(Authenticator authenticator, Hooks hooks);

  /// Handles one request. `respond` is called exactly once, at once or later. Precondition: this
  /// object outlives that call.
  void HandleRequest(const HttpRequest& request, const ResponseCallback& respond) const;

 private:
  void AuthorizeRead(const HttpRequest& request, const ResponseCallback& respond) const;
  void AuthorizeChange(const HttpRequest& request, const ResponseCallback& respond) const;
  void AuthorizeWork(const HttpRequest& request, const ResponseCallback& respond) const;
  void RejectRequest(const HttpRequest& request, const base::Error& error,
                     const ResponseCallback& respond) const;

  Authenticator authenticator;
  Hooks hooks;
};

}  // namespace sapphirecrank::frontend
