#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "base/sharded.h"
#include "base/time.h"
#include "base/units.h"
#include "limits/caller_address.h"
#include "limits/intake_id.h"
#include "limits/intake_reason.h"
#include "limits/intake_settings.h"
#include "limits/intake_usage.h"

namespace sapphirecrank::limits {

/// Limits the bytes and connections that clients have under way at one process, and decides who
/// gives way when a limit is reached.
///
/// Each connection is charged for itself and for what its request holds. When a charge doesn't
/// fit, connections are closed in this order until it does: slow or stalled uploads, responses
/// that aren't read, connections without a request, and then uploads that hold more than the one
/// to be charged, or as much from an address that holds more in total. Within each kind, addresses
/// that hold the most come first, and then the largest uploads. A request that was passed to its
/// handler is never taken. If this doesn't make enough room, the charge is refused.
///
/// The sum of all charges never exceeds `IntakeSettings::maximum_bytes`.
///
/// Thread safety: all methods may be called from any thread; calls for one connection, other than
/// those of `CloseExpired`, only from one thread at a time.
class IntakeBudget {
 public:
  /// Callbacks of the budget; all must be set. They run without a lock and must not wait.
  struct Hooks {
    /// Current time.
    base::Clock now;
    /// Frees what the connection's request holds before it returns, except a response that is being
    /// sent, and closes the connection, whose owner then calls `CloseConnection`. Called at most
    /// once for each connection.
    std::function<void(IntakeId, IntakeReason)> close_connection;
    /// Called when 80 % of a limit is in use; again only after both were below 60 %.
    std::function<void(const IntakeUsage&)> on_high_usage;
  };

  IntakeBudget(const IntakeSettings& settings, Hooks hooks);

  /// Tells whether another connection from `address` fits. If not, counts a refusal. Connections
  /// that give way are then being closed, so that a later attempt succeeds.
  bool MakeRoomForConnection(const CallerAddress& address);

  /// Adds a connection without a request. Returns none if it doesn't fit, as
  /// `MakeRoomForConnection`.
  std::optional<IntakeId> OpenConnection(const CallerAddress& address);

  /// Gives back all charges of a connection. Unknown ids are ignored.
  void CloseConnection(IntakeId id);

  /// The request line has arrived.
  void BeginHeaders(IntakeId id);

  /// The headers are complete and hold `bytes`. Returns false if the charge is refused.
  bool BeginBody(IntakeId id, base::ByteCount bytes);

  /// `received` bytes of the body have arrived, which hold `charge` more bytes. Returns false if
  /// the charge is refused; the bytes then count as received, but not as held.
  bool ReceiveBody(IntakeId id, base::ByteCount received, base::ByteCount charge);

  /// The request is complete, and its handler is about to be called, which holds `bytes` more.
  /// From then on the connection isn't closed. Returns false if the charge is refused or the
  /// connection is being closed; the request must then not be handled.
  bool BeginHandling(IntakeId id, base::ByteCount bytes);

  /// Begins a response that holds `bytes`. Returns false if the charge is refused; the connection
  /// must then be closed without the response.
  bool BeginResponse(IntakeId id, base::ByteCount bytes);

  /// Gives back some of the charges of the present request, at most all of them.
  void Release(IntakeId id, base::ByteCount bytes);

  /// Gives back all charges of the request; the connection is then without one.
  void EndRequest(IntakeId id);

  /// Tells whether the connection is being closed, or unknown.
  bool IsClosing(IntakeId id);

  /// Closes the connections whose time is over. Must be called about every `CheckInterval`. If it
  /// wasn't, the process stood still, and its clients get that time in addition.
  void CloseExpired();

  /// Returns the time between two calls of `CloseExpired`.
  base::Duration CheckInterval() const;

  /// Counts a request that was refused for `reason` by someone else than this object.
  void CountRefusal(IntakeReason reason);

  IntakeUsage Usage() const;

 private:
  enum class Phase { kIdle, kHeaders, kBody, kHandled, kResponse };

  struct Connection {
    CallerAddress address;
    Phase phase = Phase::kIdle;
    bool is_closing = false;
    // Includes the cost of the connection.
    int64_t held_bytes = 0;
    int64_t received_bytes = 0;
    base::TimePoint phase_started_at;
    base::TimePoint last_progress_at;
  };
  using Shard = std::map<IntakeId, Connection>;

  /// A connection that may be closed to make room.
  struct Candidate {
    IntakeId id;
    CallerAddress address;
    // The lower the rank, the earlier the connection is closed.
    int rank = 0;
    int64_t held_bytes = 0;
    int64_t address_bytes = 0;
  };

  struct Closing {
    IntakeId id;
    IntakeReason reason;
  };

  /// What has to give way, and to whom.
  struct Demand {
    IntakeId id;
    CallerAddress address;
    // What the connection would hold.
    int64_t held_bytes = 0;
    int64_t bytes = 0;
    int64_t connections = 0;
  };

  bool Charge(IntakeId id, int64_t bytes, IntakeReason reason);
  bool TryReserve(int64_t bytes);
  void MakeRoom(const Demand& demand, IntakeReason reason);
  std::vector<Candidate> FindCandidates(const Demand& demand);
  bool IsSlow(const Connection& connection, base::TimePoint now) const;
  std::optional<int> RankOf(const Connection& connection, base::TimePoint now) const;
  /// Returns the reason if the connection's time is over.
  std::optional<IntakeReason> ExpiredReason(const Connection& connection,
                                            base::TimePoint now) const;
  /// Marks a connection as being closed and gives back what its request holds, except a response.
  /// Returns the bytes that will be given back when the connection is closed.
  int64_t BeginClosing(Connection& connection);
  void CloseConnections(const std::vector<Closing>& closings);
  void EnterPhase(Connection& connection, Phase phase) const;
  void CheckUsage();

  IntakeSettings settings;
  Hooks hooks;
  int64_t maximum_connections;
  base::Sharded<IntakeId, Shard> shards;
  std::atomic<uint64_t> next_id{1};
  std::atomic<int64_t> used_bytes{0};
  std::atomic<int64_t> open_connections{0};
  // Of the open connections, those that are being closed.
  std::atomic<int64_t> closing_connections{0};
  std::atomic<bool> is_usage_high{false};
  std::array<std::atomic<uint64_t>, kIntakeReasonCount> closed{};
  std::array<std::atomic<uint64_t>, kIntakeReasonCount> refused{};
  // Used by `CloseExpired` only.
  std::optional<base::TimePoint> last_check_at;
};

}  // namespace sapphirecrank::limits
