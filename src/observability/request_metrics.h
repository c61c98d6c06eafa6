#pragma once

#include <memory>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "base/priority_class.h"
#include "base/time.h"
#include "observability/message_kind.h"
#include "observability/wasted_message_cause.h"

namespace sapphirecrank::observability {

/// Counters and histograms of the requests that one entry host or gateway handles, in Prometheus'
/// text format.
///
/// The teams are fixed at construction, so that callers can't create label values: any other team
/// counts as "other". Thread safety: all methods may be called from any thread. Teams are looked up
/// without a lock; each histogram has its own lock.
class RequestMetrics {
 public:
  /// Teams beyond the first 550 count as "other".
  static constexpr size_t kMaximumTeams = 550;

  /// The series of a team and class are created with their first value.
  explicit RequestMetrics(const std::vector<base::TeamId>& teams);
  ~RequestMetrics();

  /// Records a complete response. `run_time` is the run time of the task that ran longest; zero
  /// means that it is unknown, and no slowdown is recorded then.
  void OnCompleteResponse(const base::TeamId& team, base::PriorityClass priority_class,
                          base::Duration response_time, base::Duration run_time);

  /// Counts the response to rejected or failed work by its verdict and error code.
  void OnErrorResponse(const base::Error& error);

  /// Counts the start of a task and records that it had waited for `queue_wait`.
  void OnTaskStart(const base::TeamId& team, base::PriorityClass priority_class,
                   base::Duration queue_wait);

  /// Counts a message that was sent.
  void OnMessage(MessageKind kind);

  /// Counts a message that had no effect.
  void OnWastedMessage(WastedMessageCause cause);

  /// Counts a task that was placed again.
  void OnRetry();

  /// Counts a target that was taken out of use.
  void OnEjection();

  /// Returns all series in Prometheus' text format.
  std::string PrometheusText() const;

 private:
  class Impl;

  std::unique_ptr<Impl> impl;
};

}  // namespace sapphirecrank::observability
