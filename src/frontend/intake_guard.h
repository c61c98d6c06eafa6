#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "base/sharded.h"
#include "base/timer_queue.h"
#include "limits/intake_budget.h"

namespace sapphirecrank::frontend {

class IntakeConnection;

/// Keeps the connections of all HTTP servers of a process within one `limits::IntakeBudget`: closes
/// those that the budget takes, and those whose time is over.
///
/// Thread safety: all methods may be called from any thread.
class IntakeGuard {
 public:
  using UsageCallback = std::function<void(const limits::IntakeUsage&)>;

  /// Starts the thread that closes connections whose time is over. `on_high_usage` is called when
  /// 80 % of a limit is in use; it may run on any thread and must not wait.
  IntakeGuard(const limits::IntakeSettings& settings, UsageCallback on_high_usage);
  ~IntakeGuard();

  IntakeGuard(const IntakeGuard&) = delete;
  IntakeGuard& operator=(const IntakeGuard&) = delete;

  /// Adds a connection, which the guard may close until `RemoveConnection`. Returns the id, or none
  /// if there is no room; the connection must then be closed.
  std::optional<limits::IntakeId> AddConnection(const std::shared_ptr<IntakeConnection>& connection,
                                                const limits::CallerAddress& address);

  /// Removes a connection with all that it holds. Must be called after
  /// `IntakeConnection::OnClosed`.
  void RemoveConnection(limits::IntakeId id);

  /// Returns the budget, which the servers charge for their requests.
  limits::IntakeBudget& budget() { return this->intake_budget; }

 private:
  using Connections = std::map<limits::IntakeId, std::shared_ptr<IntakeConnection>>;

  void CloseConnection(limits::IntakeId id);

  base::Sharded<limits::IntakeId, Connections> connections;
  limits::IntakeBudget intake_budget;
  // Last, so that its thread ends before the other members are destroyed.
  base::TimerQueue timer_queue;
};

}  // namespace sapphirecrank::frontend
