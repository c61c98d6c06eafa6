#include "membership/view_state_machine.h"

#include <algorithm>
#include <utility>

#include "storage/byte_reader.h"
#include "storage/byte_writer.h"

namespace sapphirecrank::membership {

using base::Duration;
using base::Epoch;

namespace {

// The reachable members must be unchanged for this time, so that one view covers several hosts that
// start or fail together.
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

// Decodes a view. Returns false if `bytes` is not an encoded view.
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
  std::vector<Member> reachable = this->hooks.reachable_members();
  std::sort(reachable.begin(), reachable.end());
  if (reachable != this->reachable_members) {
    this->reachable_members = std::move(reachable);
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
  Epoch replaced_epoch;
  std::vector<Member> proposed_members;
  if (!DecodeView(command, replaced_epoch, proposed_members) || replaced_epoch != this->epoch) {
    return;
  }
  this->InstallView(this->epoch.Next(), std::move(proposed_members));
}

std::string ViewStateMachine::TakeSnapshot() const {
  return EncodeView(this->epoch, this->members);
}

void ViewStateMachine::Restore(const std::string& state) {
  Epoch restored_epoch;
  std::vector<Member> agreed_members;
  if (DecodeView(state, restored_epoch, agreed_members) && restored_epoch > this->epoch) {
    this->InstallView(restored_epoch, std::move(agreed_members));
  }
}

void ViewStateMachine::InstallView(Epoch next_epoch, std::vector<Member> agreed_members) {
  this->epoch = next_epoch;
  this->members = std::move(agreed_members);
  this->hooks.on_view_agreed(this->epoch, this->members);
}

}  // namespace sapphirecrank::membership
