#include "cluster/evacuation_order.h"

#include "storage/byte_reader.h"
#include "storage/byte_writer.h"

namespace sapphirecrank::cluster {

namespace {

constexpr uint64_t kVersionForEarlierPrograms = 0;
constexpr uint32_t kStartCode = 1;
constexpr uint32_t kFinishCode = 2;

}  // namespace

std::string EvacuationOrder::Encode() const {
  storage::ByteWriter writer;
  writer.WriteU64(kVersionForEarlierPrograms);
  writer.WriteU32(this->kind == Kind::kStart ? kStartCode : kFinishCode);
  writer.WriteString(this->data_centre.value());
  writer.WriteU64(static_cast<uint64_t>(this->ordered_at.time_since_epoch().count()));
  writer.WriteString(this->accepted_by.value());
  return writer.TakeBytes();
}

std::optional<EvacuationOrder> EvacuationOrder::Decode(std::string_view bytes) {
  storage::ByteReader reader(bytes);
  const uint64_t version = reader.ReadU64();
  const uint32_t code = reader.ReadU32();
  EvacuationOrder order;
  order.kind = code == kStartCode ? Kind::kStart : Kind::kFinish;
  order.data_centre = base::DataCentreId(reader.ReadString());
  order.ordered_at =
      base::TimeOfDay(std::chrono::milliseconds(static_cast<int64_t>(reader.ReadU64())));
  order.accepted_by = base::HostId(reader.ReadString());
  const bool is_valid = reader.ok() && version == kVersionForEarlierPrograms &&
                        (code == kStartCode || code == kFinishCode) && !order.data_centre.empty();
  return is_valid ? std::optional<EvacuationOrder>(order) : std::nullopt;
}

}  // namespace sapphirecrank::cluster
