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

/// Parses HTTP requests of callers, targets and operators, and passes them to the hooks.
///
/// Thread safety: all methods may be called from any thread.
class ApiRouter {
 public:
  using ResponseCallback = std::function<void(const HttpResponse&)>;
  using ResultCallback = std::function<void(const WorkResult&)>;

  /// Functions that the router calls; all must be set.
  struct Hooks {
    /// Runs a request or job and calls the callback exactly once with its result.
    std::function<void(SubmittedWork, ResultCallback)> run_work;
    /// Cancels the queued tasks of a job. Error: `kNotFound` if the job isn't known.
    std::function<base::Result<void>(const base::SubmissionId&)> cancel_job;
    /// Processes a target announcement and returns the host that owns the target.
    std::function<base::Result<base::HostId>(const targets::TargetAnnouncement&)> on_announcement;
    /// Returns the team of a job in progress, empty if the job isn't known.
    std::function<base::TeamId(const base::SubmissionId&)> team_of_job;
    /// Called for work that is rejected before `run_work`.
    std::function<void(const base::Error&)> on_work_rejected;
    /// Starts a graceful shutdown of this host.
    std::function<void()> begin_drain;
    /// Returns the status document as JSON text.
    std::function<std::string()> status_document;
    /// Returns the metrics in Prometheus' text format.
    std::function<std::string()> metrics_text;
  };

  explicit ApiRouter(Hooks hooks);

  /// Handles one request. `respond` is called exactly once, at once or later.
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
