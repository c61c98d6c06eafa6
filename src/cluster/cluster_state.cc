#include "cluster/cluster_state.h"

#include <utility>

#include "storage/byte_reader.h"
#include "storage/byte_writer.h"

namespace sapphirecrank::cluster {

namespace {

// The first byte of a command is its type.
constexpr char kConfigurationCommand = 'c';
constexpr char kViewCommand = 'v';
constexpr char kJobsCommand = 'j';
constexpr char kEvacuationCommand = 'e';

std::string EncodeConfigurationRecord(const ConfigurationRecord& record) {
  storage::ByteWriter writer;
  writer.WriteU64(record.version.value());
  writer.WriteString(record.document);
  return writer.TakeBytes();
}

ConfigurationRecord ReadConfigurationRecord(storage::ByteReader& reader) {
  ConfigurationRecord record;
  record.version = base::Version(reader.ReadU64());
  record.document = reader.ReadString();
  return record;
}

}  // namespace

ClusterState::ClusterState(Hooks hooks)
    : hooks(std::move(hooks)),
      view_state_machine(
          {this->hooks.now, this->hooks.reachable_members, this->hooks.is_leader,
           [this](const std::string& command) {
             this->hooks.propose_command(kViewCommand + command);
           },
           [this](base::Epoch epoch, const std::vector<ClusterView::Member>& members) {
             this->current_view = {epoch, members};
             this->hooks.on_state_change();
           }}) {}

std::string ClusterState::EncodeConfigurationCommand(const ConfigurationRecord& record) {
  return kConfigurationCommand + EncodeConfigurationRecord(record);
}

std::string ClusterState::EncodeJobsCommand(const std::string& change) {
  return kJobsCommand + change;
}

std::string ClusterState::EncodeEvacuationCommand(const EvacuationOrder& order) {
  return kEvacuationCommand + order.Encode();
}

void ClusterState::Tick() { this->view_state_machine.Tick(); }

void ClusterState::Apply(const std::string& command) {
  if (command.empty()) {
    return;
  }
  if (command.front() == kViewCommand) {
    this->view_state_machine.Apply(command.substr(1));
    return;
  }
  if (command.front() == kJobsCommand) {
    this->hooks.apply_jobs_command(command.substr(1));
    return;
  }
  const std::string body = command.substr(1);
  if (command.front() == kEvacuationCommand) {
    const auto order = EvacuationOrder::Decode(body);
    if (order && this->evacuation_state.Apply(*order)) {
      this->hooks.on_state_change();
    }
    return;
  }
  storage::ByteReader reader(body);
  ConfigurationRecord record = ReadConfigurationRecord(reader);
  if (reader.ok() && record.version > this->configuration_record.version) {
    this->configuration_record = std::move(record);
    this->hooks.on_state_change();
  }
}

std::string ClusterState::TakeSnapshot() const {
  storage::ByteWriter writer;
  writer.WriteString(EncodeConfigurationRecord(this->configuration_record));
  writer.WriteString(this->view_state_machine.TakeSnapshot());
  writer.WriteString(this->hooks.take_jobs_snapshot());
  writer.WriteString(this->evacuation_state.TakeSnapshot());
  return writer.TakeBytes();
}

void ClusterState::Restore(const std::string& state) {
  if (state.empty()) {
    return;
  }
  storage::ByteReader reader(state);
  const std::string record_bytes = reader.ReadString();
  const std::string view_snapshot = reader.ReadString();
  // Snapshots of program versions without stored jobs end here.
  const std::string jobs_snapshot = reader.remaining_size() > 0 ? reader.ReadString() : "";
  // Those of program versions without evacuations end here.
  const std::string evacuation_snapshot = reader.remaining_size() > 0 ? reader.ReadString() : "";
  if (!reader.ok()) {
    return;
  }
  if (this->evacuation_state.Restore(evacuation_snapshot)) {
    this->hooks.on_state_change();
  }
  storage::ByteReader record_reader(record_bytes);
  ConfigurationRecord restored_record = ReadConfigurationRecord(record_reader);
  if (record_reader.ok() && restored_record.version > this->configuration_record.version) {
    this->configuration_record = std::move(restored_record);
    this->hooks.on_state_change();
  }
  this->view_state_machine.Restore(view_snapshot);
  this->hooks.restore_jobs_snapshot(jobs_snapshot);
}

}  // namespace sapphirecrank::cluster
