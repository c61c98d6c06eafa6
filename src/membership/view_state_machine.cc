#include "membership/view_state_machine.h"

#include <algorithm>
#include <utility>

#include "storage/byte_reader.h"
#include "storage/byte_writer.h"

namespace sapphirecrank::membership {

using base::Duration;
using base::Epoch;

namespace {

// One view for hosts that start or fail within a short time.
constexpr Duration kStabilizationDelay = std::chrono::milliseconds(200);
constexpr Duration kProposalRetryInterval = std::chrono::milliseconds(500);

std::string EncodeView(Epoch epoch, const std::vector<ViewStateMachine::Member>& members) {
  storage::ByteWriter writer;
  writer.WriteU64(epoch.value());
  writer.WriteU32(static_cast<uint32_t>(members.size()));
  for (const ViewStateMachine::Member& member : members) {
    writer.WriteString(member.host.value());
    writer.WriteU64(member.incarnation.value());
    writer.WriteString(member.data_centre.value());
  }
  return writer.TakeBytes();
}

/// Decodes a view; false if the bytes are not one.
bool DecodeView(const std::string& bytes, Epoch& epoch,
                std::vector<ViewStateMachine::Member>& members) {
  storage::ByteReader reader(bytes);
  epoch = Epoch(reader.ReadU64());
  const uint32_t count = reader.ReadU32();
  for (uint32_t i = 0; i < count && reader.ok(); ++i) {
    const base::HostId host(reader.ReadString());
    const base::Incarnation incarnation(reader.ReadU64());
    members.push_back({host, incarnation, base::DataCentreId(reader.ReadString())});
  }
  return reader.ok() && reader.remaining_size() == 0;
}

}  // namespace

ViewStateMachine::ViewStateMachine(Hooks hooks) : hooks(std::move(hooks)) {}

void ViewStateMachine::Tick() {
  const base::TimePoint now = this->hooks.now();
  std::vector<Member> live = this->hooks.reachable_members();
  std::sort(live.begin(), live.end());
  if (live != this->reachable_members) {
    this->reachable_members = std::move(live);
    this->reachable_since = now;
  }
  const bool is_due = this->reachable_members != this->members &&
                      now - this->reachable_since >= kStabilizationDelay &&
                      now >= this->next_proposal_at;
  if (is_due && this->hooks.is_leader()) {
    this->next_proposal_at = now + kProposalRetryInterval;
    this->hooks.propose_command(EncodeView(this->epoch, this->reachable_members));
  }
}

void ViewStateMachine::Apply(const std::string& command) {
  Epoch replaced;
  std::vector<Member> proposed;
  if (!DecodeView(command, replaced, proposed) || replaced != this->epoch) {
    return;
  }
  this->InstallView(this->epoch.Next(), std::move(proposed));
}

std::string ViewStateMachine::TakeSnapshot() const {
  return EncodeView(this->epoch, this->members);
}

void ViewStateMachine::Restore(const std::string& state) {
  Epoch stored;
  std::vector<Member> agreed;
  if (DecodeView(state, stored, agreed) && stored > this->epoch) {
    this->InstallView(stored, std::move(agreed));
  }
}

void ViewStateMachine::InstallView(Epoch next, std::vector<Member> agreed) {
  this->epoch = next;
  this->members = std::move(agreed);
  this->hooks.on_view_agreed(this->epoch, this->members);
}

}  // namespace sapphirecrank::membership
