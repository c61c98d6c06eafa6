#include "frontend/intake_guard.h"

#include <utility>

#include "frontend/intake_connection.h"

namespace sapphirecrank::frontend {

using limits::IntakeId;
using limits::IntakeReason;

namespace {
constexpr size_t kShardCount = 16;
}  // namespace

IntakeGuard::IntakeGuard(const limits::IntakeSettings& settings, UsageCallback on_high_usage)
    : connections(kShardCount),
      intake_budget(settings,
                    {base::SteadyClock(),
                     [this](IntakeId id, IntakeReason /*reason*/) { this->CloseConnection(id); },
                     std::move(on_high_usage)}),
      timer_queue("intake") {
  this->timer_queue.RunEvery(this->intake_budget.CheckInterval(),
                             [this] { this->intake_budget.CloseExpired(); });
}

IntakeGuard::~IntakeGuard() = default;

std::optional<IntakeId> IntakeGuard::AddConnection(
    const std::shared_ptr<IntakeConnection>& connection, const limits::CallerAddress& address) {
  const auto id = this->intake_budget.OpenConnection(address);
  if (id) {
    this->connections.WithShard(*id, [&](Connections& shard) { shard.emplace(*id, connection); });
    if (this->intake_budget.IsClosing(*id)) {
      // The budget has taken it before it could be found here.
      connection->Close();
    }
  }
  return id;
}

void IntakeGuard::RemoveConnection(IntakeId id) {
  this->connections.WithShard(id, [id](Connections& shard) { shard.erase(id); });
  this->intake_budget.CloseConnection(id);
}

void IntakeGuard::CloseConnection(IntakeId id) {
  const auto connection = this->connections.WithShard(
      id, [id](Connections& shard) -> std::shared_ptr<IntakeConnection> {
        const auto found = shard.find(id);
        return found == shard.end() ? nullptr : found->second;
      });
  if (connection != nullptr) {
    connection->Close();
  }
}

}  // namespace sapphirecrank::frontend
