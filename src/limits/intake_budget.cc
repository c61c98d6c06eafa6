#include "limits/intake_budget.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace sapphirecrank::limits {

namespace {

constexpr size_t kShardCount = 16;
// Ranks of what gives way, in the order in which it is closed.
constexpr int kSlowUploadRank = 0;
constexpr int kSlowResponseRank = 1;
constexpr int kIdleRank = 2;
constexpr int kActiveUploadRank = 3;

// When slow clients give way, they free this share of the limits, so that not every further charge
// has to look for others.
constexpr int64_t TargetBytes(int64_t maximum) { return maximum / 8 * 7; }
constexpr int64_t TargetConnections(int64_t maximum) { return maximum - maximum / 16; }

constexpr double kHighUsage = 0.8;
constexpr double kNormalUsage = 0.6;

size_t IndexOf(IntakeReason reason) { return static_cast<size_t>(reason); }

}  // namespace

IntakeBudget::IntakeBudget(const IntakeSettings& settings, Hooks hooks)
    : settings(settings),
      hooks(std::move(hooks)),
      maximum_connections(
          std::min<int64_t>(settings.maximum_connections.value(),
                            settings.maximum_bytes.value() / 4 * 3 /
                                std::max<int64_t>(1, settings.connection_cost.value()))),
      shards(kShardCount) {}

bool IntakeBudget::MakeRoomForConnection(const CallerAddress& address) {
  const int64_t cost = this->settings.connection_cost.value();
  const int64_t maximum_bytes = this->settings.maximum_bytes.value();
  if (this->open_connections - this->closing_connections >=
      TargetConnections(this->maximum_connections)) {
    this->MakeRoom({IntakeId(), address, cost, 0, 1}, IntakeReason::kConnections);
  }
  if (this->open_connections >= this->maximum_connections) {
    this->CountRefusal(IntakeReason::kConnections);
    return false;
  }
  if (this->used_bytes + cost > maximum_bytes) {
    this->MakeRoom({IntakeId(), address, cost, cost, 0}, IntakeReason::kBytes);
  }
  if (this->used_bytes + cost > maximum_bytes) {
    this->CountRefusal(IntakeReason::kBytes);
    return false;
  }
  return true;
}

std::optional<IntakeId> IntakeBudget::OpenConnection(const CallerAddress& address) {
  if (!this->MakeRoomForConnection(address)) {
    return std::nullopt;
  }
  // Other threads may have taken the room meanwhile.
  const int64_t cost = this->settings.connection_cost.value();
  if (!this->TryReserve(cost)) {
    this->CountRefusal(IntakeReason::kBytes);
    return std::nullopt;
  }
  if (++this->open_connections > this->maximum_connections) {
    --this->open_connections;
    this->used_bytes -= cost;
    this->CountRefusal(IntakeReason::kConnections);
    return std::nullopt;
  }
  const IntakeId id(this->next_id++);
  Connection connection;
  connection.address = address;
  connection.held_bytes = cost;
  this->EnterPhase(connection, Phase::kIdle);
  this->shards.WithShard(id, [&](Shard& shard) { shard.emplace(id, std::move(connection)); });
  this->CheckUsage();
  return id;
}

void IntakeBudget::CloseConnection(IntakeId id) {
  this->shards.WithShard(id, [&](Shard& shard) {
    const auto found = shard.find(id);
    if (found == shard.end()) {
      return;
    }
    this->used_bytes -= found->second.held_bytes;
    --this->open_connections;
    if (found->second.is_closing) {
      --this->closing_connections;
    }
    shard.erase(found);
  });
  this->CheckUsage();
}

void IntakeBudget::BeginHeaders(IntakeId id) {
  this->shards.WithShard(id, [&](Shard& shard) {
    const auto found = shard.find(id);
    if (found != shard.end()) {
      this->EnterPhase(found->second, Phase::kHeaders);
    }
  });
}

bool IntakeBudget::BeginBody(IntakeId id, base::ByteCount bytes) {
  this->shards.WithShard(id, [&](Shard& shard) {
    const auto found = shard.find(id);
    if (found != shard.end()) {
      this->EnterPhase(found->second, Phase::kBody);
    }
  });
  return this->Charge(id, bytes.value(), IntakeReason::kBytes);
}

bool IntakeBudget::ReceiveBody(IntakeId id, base::ByteCount received, base::ByteCount charge) {
  this->shards.WithShard(id, [&](Shard& shard) {
    const auto found = shard.find(id);
    if (found != shard.end()) {
      found->second.received_bytes += received.value();
      found->second.last_progress_at = this->hooks.now();
    }
  });
  return charge == base::ByteCount(0) || this->Charge(id, charge.value(), IntakeReason::kBytes);
}

bool IntakeBudget::BeginHandling(IntakeId id, base::ByteCount bytes) {
  if (!this->Charge(id, bytes.value(), IntakeReason::kBytes)) {
    return false;
  }
  return this->shards.WithShard(id, [&](Shard& shard) {
    const auto found = shard.find(id);
    if (found == shard.end() || found->second.is_closing) {
      return false;
    }
    this->EnterPhase(found->second, Phase::kHandled);
    return true;
  });
}

bool IntakeBudget::BeginResponse(IntakeId id, base::ByteCount bytes) {
  // The connection still counts as handled while room is made, so that it can't be closed.
  if (bytes > base::ByteCount(0) && !this->Charge(id, bytes.value(), IntakeReason::kBytes)) {
    return false;
  }
  this->shards.WithShard(id, [&](Shard& shard) {
    const auto found = shard.find(id);
    if (found != shard.end()) {
      this->EnterPhase(found->second, Phase::kResponse);
    }
  });
  return true;
}

void IntakeBudget::Release(IntakeId id, base::ByteCount bytes) {
  this->shards.WithShard(id, [&](Shard& shard) {
    const auto found = shard.find(id);
    if (found == shard.end()) {
      return;
    }
    // What a connection that is being closed holds was given back before.
    const int64_t request_bytes = found->second.held_bytes - this->settings.connection_cost.value();
    const int64_t released = std::min(bytes.value(), request_bytes);
    found->second.held_bytes -= released;
    this->used_bytes -= released;
  });
  this->CheckUsage();
}

void IntakeBudget::EndRequest(IntakeId id) {
  this->shards.WithShard(id, [&](Shard& shard) {
    const auto found = shard.find(id);
    if (found == shard.end()) {
      return;
    }
    Connection& connection = found->second;
    const int64_t cost = this->settings.connection_cost.value();
    this->used_bytes -= connection.held_bytes - cost;
    connection.held_bytes = cost;
    connection.received_bytes = 0;
    this->EnterPhase(connection, Phase::kIdle);
  });
  this->CheckUsage();
}

bool IntakeBudget::IsClosing(IntakeId id) {
  return this->shards.WithShard(id, [&](Shard& shard) {
    const auto found = shard.find(id);
    return found == shard.end() || found->second.is_closing;
  });
}

void IntakeBudget::CloseExpired() {
  const base::TimePoint now = this->hooks.now();
  const base::Duration interval = this->CheckInterval();
  const base::Duration late =
      this->last_check_at ? now - *this->last_check_at - interval : base::Duration(0);
  this->last_check_at = now;
  // A process that stood still has not read what its clients have sent meanwhile.
  const base::Duration forgiven = late > interval ? late : base::Duration(0);
  std::vector<Closing> closings;
  this->shards.ForEachShard([&](Shard& shard) {
    for (auto& [id, connection] : shard) {
      connection.phase_started_at += forgiven;
      connection.last_progress_at += forgiven;
      const auto reason = this->ExpiredReason(connection, now);
      if (reason && !connection.is_closing) {
        this->BeginClosing(connection);
        closings.push_back({id, *reason});
      }
    }
  });
  this->CloseConnections(closings);
}

base::Duration IntakeBudget::CheckInterval() const { return this->settings.slow_after; }

void IntakeBudget::CountRefusal(IntakeReason reason) { ++this->refused.at(IndexOf(reason)); }

IntakeUsage IntakeBudget::Usage() const {
  IntakeUsage usage;
  usage.bytes = base::ByteCount(this->used_bytes);
  usage.maximum_bytes = this->settings.maximum_bytes;
  usage.connections = base::ConnectionCount(static_cast<int32_t>(this->open_connections));
  usage.maximum_connections =
      base::ConnectionCount(static_cast<int32_t>(this->maximum_connections));
  for (size_t i = 0; i < kIntakeReasonCount; ++i) {
    usage.closed.at(i) = this->closed.at(i);
    usage.refused.at(i) = this->refused.at(i);
  }
  return usage;
}

bool IntakeBudget::Charge(IntakeId id, int64_t bytes, IntakeReason reason) {
  if (!this->TryReserve(bytes)) {
    Demand demand;
    demand.id = id;
    demand.bytes = bytes;
    this->shards.WithShard(id, [&](Shard& shard) {
      const auto found = shard.find(id);
      if (found != shard.end()) {
        demand.address = found->second.address;
        demand.held_bytes = found->second.held_bytes + bytes;
      }
    });
    this->MakeRoom(demand, reason);
    if (!this->TryReserve(bytes)) {
      this->CountRefusal(reason);
      return false;
    }
  }
  const bool was_added = this->shards.WithShard(id, [&](Shard& shard) {
    const auto found = shard.find(id);
    if (found == shard.end() || found->second.is_closing) {
      return false;
    }
    found->second.held_bytes += bytes;
    return true;
  });
  if (!was_added) {
    this->used_bytes -= bytes;
  }
  this->CheckUsage();
  return was_added;
}

bool IntakeBudget::TryReserve(int64_t bytes) {
  int64_t used = this->used_bytes;
  do {
    if (used + bytes > this->settings.maximum_bytes.value()) {
      return false;
    }
  } while (!this->used_bytes.compare_exchange_weak(used, used + bytes));
  return true;
}

void IntakeBudget::MakeRoom(const Demand& demand, IntakeReason reason) {
  const int64_t maximum_bytes = this->settings.maximum_bytes.value();
  std::vector<Closing> closings;
  int64_t response_bytes = 0;
  for (const Candidate& candidate : this->FindCandidates(demand)) {
    const bool is_active = candidate.rank == kActiveUploadRank;
    const int64_t byte_target = is_active ? maximum_bytes : TargetBytes(maximum_bytes);
    // Responses give their bytes back later. The present charge may be refused, but no more clients
    // give way for it than needed.
    const bool needs_bytes =
        demand.bytes > 0 && this->used_bytes + demand.bytes - response_bytes > byte_target;
    const bool needs_connections =
        demand.connections > 0 && !is_active &&
        this->open_connections - this->closing_connections + demand.connections >
            TargetConnections(this->maximum_connections);
    if (!needs_bytes && !needs_connections) {
      break;
    }
    this->shards.WithShard(candidate.id, [&](Shard& shard) {
      const auto found = shard.find(candidate.id);
      // It may have been closed, or its request passed to its handler, since it was found.
      if (found != shard.end() && !found->second.is_closing &&
          this->RankOf(found->second, this->hooks.now()).has_value()) {
        const int64_t held_bytes = this->BeginClosing(found->second);
        response_bytes += candidate.rank == kSlowResponseRank ? held_bytes : 0;
        closings.push_back({candidate.id, reason});
      }
    });
  }
  this->CloseConnections(closings);
}

std::vector<IntakeBudget::Candidate> IntakeBudget::FindCandidates(const Demand& demand) {
  const base::TimePoint now = this->hooks.now();
  std::map<CallerAddress, int64_t> bytes_by_address;
  std::vector<Candidate> candidates;
  this->shards.ForEachShard([&](Shard& shard) {
    for (const auto& [id, connection] : shard) {
      if (connection.is_closing) {
        continue;
      }
      bytes_by_address[connection.address] += connection.held_bytes;
      const auto rank = this->RankOf(connection, now);
      if (id != demand.id && rank) {
        candidates.push_back({id, connection.address, *rank, connection.held_bytes, 0});
      }
    }
  });
  for (Candidate& candidate : candidates) {
    candidate.address_bytes = bytes_by_address[candidate.address];
  }
  const int64_t own_address_bytes = bytes_by_address[demand.address] + demand.bytes;
  candidates.erase(
      std::remove_if(candidates.begin(), candidates.end(),
                     [&](const Candidate& candidate) {
                       const bool holds_more = candidate.held_bytes > demand.held_bytes;
                       const bool holds_as_much = candidate.held_bytes >= demand.held_bytes &&
                                                  candidate.address_bytes > own_address_bytes;
                       return candidate.rank == kActiveUploadRank && !holds_more && !holds_as_much;
                     }),
      candidates.end());
  std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
    return std::make_tuple(a.rank, -a.address_bytes, -a.held_bytes, a.id.value()) <
           std::make_tuple(b.rank, -b.address_bytes, -b.held_bytes, b.id.value());
  });
  return candidates;
}

bool IntakeBudget::IsSlow(const Connection& connection, base::TimePoint now) const {
  const base::Duration slow_after = this->settings.slow_after;
  const base::Duration elapsed = now - connection.phase_started_at;
  if (elapsed <= slow_after) {
    return false;
  }
  if (connection.phase != Phase::kBody || now - connection.last_progress_at > slow_after) {
    return true;
  }
  const double seconds = std::chrono::duration<double>(elapsed).count();
  return static_cast<double>(connection.received_bytes) <
         seconds * static_cast<double>(this->settings.minimum_body_rate.value());
}

std::optional<int> IntakeBudget::RankOf(const Connection& connection, base::TimePoint now) const {
  const bool is_slow = this->IsSlow(connection, now);
  switch (connection.phase) {
    case Phase::kHeaders:
    case Phase::kBody:
      return is_slow ? kSlowUploadRank : kActiveUploadRank;
    case Phase::kResponse:
      return is_slow ? std::make_optional(kSlowResponseRank) : std::nullopt;
    case Phase::kIdle:
      return is_slow ? std::make_optional(kIdleRank) : std::nullopt;
    case Phase::kHandled:
      break;
  }
  return std::nullopt;
}

std::optional<IntakeReason> IntakeBudget::ExpiredReason(const Connection& connection,
                                                        base::TimePoint now) const {
  const base::Duration elapsed = now - connection.phase_started_at;
  switch (connection.phase) {
    case Phase::kIdle:
      return elapsed > this->settings.idle_timeout ? std::make_optional(IntakeReason::kIdle)
                                                   : std::nullopt;
    case Phase::kHeaders:
      return elapsed > this->settings.header_timeout
                 ? std::make_optional(IntakeReason::kSlowHeaders)
                 : std::nullopt;
    case Phase::kBody: {
      const base::Duration time_at_minimum_rate =
          std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(
              static_cast<double>(connection.received_bytes) /
              static_cast<double>(std::max<int64_t>(1, this->settings.minimum_body_rate.value()))));
      const bool is_over = now - connection.last_progress_at > this->settings.body_stall_timeout ||
                           elapsed > this->settings.body_grace + time_at_minimum_rate;
      return is_over ? std::make_optional(IntakeReason::kSlowBody) : std::nullopt;
    }
    case Phase::kResponse:
      return elapsed > this->settings.response_timeout
                 ? std::make_optional(IntakeReason::kSlowResponse)
                 : std::nullopt;
    case Phase::kHandled:
      break;
  }
  return std::nullopt;
}

int64_t IntakeBudget::BeginClosing(Connection& connection) {
  const int64_t cost = this->settings.connection_cost.value();
  // The library sends a response from its memory until it has closed the connection.
  if (connection.phase != Phase::kResponse) {
    this->used_bytes -= connection.held_bytes - cost;
    connection.held_bytes = cost;
  }
  connection.is_closing = true;
  ++this->closing_connections;
  return connection.held_bytes;
}

void IntakeBudget::CloseConnections(const std::vector<Closing>& closings) {
  for (const Closing& closing : closings) {
    ++this->closed.at(IndexOf(closing.reason));
    this->hooks.close_connection(closing.id, closing.reason);
  }
}

void IntakeBudget::EnterPhase(Connection& connection, Phase phase) const {
  connection.phase = phase;
  connection.phase_started_at = this->hooks.now();
  connection.last_progress_at = connection.phase_started_at;
}

void IntakeBudget::CheckUsage() {
  const double byte_share = static_cast<double>(this->used_bytes) /
                            static_cast<double>(this->settings.maximum_bytes.value());
  const double connection_share =
      static_cast<double>(this->open_connections) / static_cast<double>(this->maximum_connections);
  const double share = std::max(byte_share, connection_share);
  if (share < kNormalUsage) {
    this->is_usage_high = false;
  } else if (share >= kHighUsage && !this->is_usage_high.exchange(true)) {
    this->hooks.on_high_usage(this->Usage());
  }
}

}  // namespace sapphirecrank::limits
