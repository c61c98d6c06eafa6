#include "cluster/evacuation_state.h"

#include <utility>

#include "storage/byte_reader.h"
#include "storage/byte_writer.h"

namespace sapphirecrank::cluster {

bool EvacuationState::Apply(const EvacuationOrder& order) {
  const bool is_changed =
      order.kind == EvacuationOrder::Kind::kStart
          ? this->current_evacuations
                .emplace(order.data_centre, Evacuation{order.ordered_at, order.accepted_by})
                .second
          : this->current_evacuations.erase(order.data_centre) > 0;
  if (is_changed) {
    this->current_revision = this->current_revision.Next();
  }
  return is_changed;
}

std::string EvacuationState::TakeSnapshot() const {
  storage::ByteWriter writer;
  writer.WriteU64(this->current_revision.value());
  writer.WriteU32(static_cast<uint32_t>(this->current_evacuations.size()));
  for (const auto& [data_centre, evacuation] : this->current_evacuations) {
    writer.WriteString(data_centre.value());
    writer.WriteU64(static_cast<uint64_t>(evacuation.since.time_since_epoch().count()));
    writer.WriteString(evacuation.accepted_by.value());
  }
  return writer.TakeBytes();
}

bool EvacuationState::Restore(std::string_view snapshot) {
  storage::ByteReader reader(snapshot);
  const base::EvacuationRevision revision(reader.ReadU64());
  const uint32_t count = reader.ReadU32();
  std::map<base::DataCentreId, Evacuation> evacuations;
  for (uint32_t i = 0; i < count && reader.ok(); ++i) {
    const base::DataCentreId data_centre(reader.ReadString());
    const std::chrono::milliseconds since(static_cast<int64_t>(reader.ReadU64()));
    evacuations[data_centre] = {base::TimeOfDay(since), base::HostId(reader.ReadString())};
  }
  if (!reader.ok() || revision <= this->current_revision) {
    return false;
  }
  this->current_revision = revision;
  this->current_evacuations = std::move(evacuations);
  return true;
}

std::set<base::DataCentreId> EvacuationState::DataCentres() const {
  std::set<base::DataCentreId> data_centres;
  for (const auto& [data_centre, evacuation] : this->current_evacuations) {
    data_centres.insert(data_centre);
  }
  return data_centres;
}

}  // namespace sapphirecrank::cluster
