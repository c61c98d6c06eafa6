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

/// Counters and histograms of one entry host, in Prometheus' text format.
///
/// The teams are fixed at construction, so that a caller can't create label values: any other team
/// counts as "other". Thread safety: all methods may be called from any thread. A call looks the
/// team up without a lock; each series has a lock of its own.
class EntryHostMetrics {
 public:
  /// Teams beyond the first 550 count as "other".
  static constexpr size_t kMaximumTeams = 550;

  /// Series of a team and class come into being with their first value.
  explicit EntryHostMetrics(const std::vector<base::TeamId>& teams);
  ~EntryHostMetrics();

  /// Notes a complete answer. `run_time` is the time of the task that ran longest; zero means that
  /// it isn't known, and no slowdown is noted.
  void OnCompleteResponse(const base::TeamId& team, base::PriorityClass work_class,
                          base::Duration response_time, base::Duration run_time);

  /// Notes a refused or failed answer.
  void OnErrorResponse(const base::Error& error);

  /// Notes the start of a task that had waited for `queue_wait`.
  void OnTaskStart(const base::TeamId& team, base::PriorityClass work_class,
                   base::Duration queue_wait);

  /// Notes a message that was sent.
  void OnMessage(MessageKind kind);

  void OnWastedMessage(WastedMessageCause cause);

  /// Notes that a task was placed again.
  void OnRetry();

  /// Notes that a target was taken out of use.
  void OnEjection();

  /// Returns all series in Prometheus' text format.
  std::string PrometheusText() const;

 private:
  class Impl;

  std::unique_ptr<Impl> impl;
};

}  // namespace sapphirecrank::observability
