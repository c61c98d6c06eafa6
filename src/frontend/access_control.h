#pragma once

#include <functional>
#include <string>

#include "base/error.h"
#include "frontend/authenticator.h"
#include "frontend/http_request.h"
#include "frontend/http_response.h"

namespace sapphirecrank::frontend {

/// Stands before the router: refuses requests without the right credential and reports changes by
/// operators for the audit log.
///
/// Reading the status and metrics needs the reading role; work needs a team's key and is bound to
/// that team; announcements of targets are open; everything else needs the changing role. A
/// changing operator may also cancel any job. Thread safety: all methods may be called from any
/// thread.
class AccessControl {
 public:
  using ResponseCallback = std::function<void(const HttpResponse&)>;

  /// Behaviour handed in; all members must be set.
  struct Hooks {
    /// Handles an allowed request; calls the second argument exactly once, now or later.
    std::function<void(const HttpRequest&, const ResponseCallback&)> handle_request;
    /// Told once for each change that an operator asked for: the operator's name, empty if unknown,
    /// and the status of the answer.
    std::function<void(const HttpRequest&, const std::string& name, int status)> write_audit_entry;
    /// Told for each other request that is refused.
    std::function<void(const HttpRequest&, const base::Error&)> on_request_rejected;
  };

  AccessControl(Authenticator authenticator, Hooks hooks);

  /// Handles one request; `respond` is called exactly once, now or later.
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
