#pragma once

#include <functional>
#include <string>

#include "base/result.h"
#include "frontend/http_request.h"
#include "frontend/http_response.h"
#include "frontend/submitted_work.h"
#include "frontend/work_result.h"
#include "targets/target_announcement.h"

namespace sapphirecrank::frontend {

/// Routes HTTP requests of callers, targets and operators to the decisions.
///
/// Thread safety: all methods may be called from any thread.
class ApiRouter {
 public:
  using ResponseCallback = std::function<void(const HttpResponse&)>;
  using ResultCallback = std::function<void(const WorkResult&)>;

  /// Behaviour handed in; all members must be set.
  struct Hooks {
    /// Runs a request or job; the second argument is called exactly once.
    std::function<void(SubmittedWork, ResultCallback)> run_work;
    /// Drops what is queued of a job; `kNotFound` if it isn't known.
    std::function<base::Result<void>(const base::SubmissionId&)> cancel_job;
    /// Takes in an announcement and returns the host that owns the target.
    std::function<base::Result<base::HostId>(const targets::TargetAnnouncement&)> on_announcement;
    /// Returns the team of a job that is under way, empty if it isn't known.
    std::function<base::TeamId(const base::SubmissionId&)> team_of_job;
    /// Told of work that is refused before it reaches `run`.
    std::function<void(const base::Error&)> on_work_rejected;
    /// Starts a graceful shutdown of this host.
    std::function<void()> begin_drain;
    /// Returns the status document as JSON text.
    std::function<std::string()> status_document;
    /// Returns the metrics in Prometheus' text format.
    std::function<std::string()> metrics_text;
  };

  explicit ApiRouter(Hooks hooks);

  /// Handles one request; `respond` is called exactly once, now or later.
  void HandleRequest(const HttpRequest& request, const ResponseCallback& respond) const;

 private:
  void RunJob(const HttpRequest& request, const ResponseCallback& respond) const;
  void RunRequest(const HttpRequest& request, const ResponseCallback& respond) const;
  void RejectWork(const base::Error& error, const ResponseCallback& respond) const;
  void CancelJob(const HttpRequest& request, const ResponseCallback& respond) const;
  void HandleAnnouncement(const HttpRequest& request, const ResponseCallback& respond) const;

  Hooks hooks;
};

}  // namespace sapphirecrank::frontend
