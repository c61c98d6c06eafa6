#include "clusterhost/target_file.h"

#include "storage/byte_reader.h"
#include "storage/byte_writer.h"

namespace sapphirecrank::clusterhost {

using runs::TargetReport;

namespace {

constexpr const char* kFileName = "targets";

void WriteReport(storage::ByteWriter& writer, const TargetReport& report) {
  writer.WriteString(report.id.value());
  writer.WriteString(report.service.value());
  writer.WriteString(report.address.value());
  writer.WriteString(report.data_centre.value());
  writer.WriteString(report.rack.value());
  writer.WriteU64(report.incarnation.value());
  writer.WriteU64(report.sequence_number.value());
  writer.WriteU64(static_cast<uint64_t>(report.capacity.processors.value()));
  writer.WriteU64(static_cast<uint64_t>(report.capacity.memory.value()));
  writer.WriteU32(static_cast<uint32_t>(report.capacity.accelerators.value()));
}

TargetReport ReadReport(storage::ByteReader& reader) {
  TargetReport report;
  report.id = base::TargetId(reader.ReadString());
  report.service = base::ServiceId(reader.ReadString());
  report.address = base::NetworkAddress(reader.ReadString());
  report.data_centre = base::DataCentreId(reader.ReadString());
  report.rack = base::RackId(reader.ReadString());
  report.incarnation = base::Incarnation(reader.ReadU64());
  report.sequence_number = base::SequenceNumber(reader.ReadU64());
  report.capacity.processors = base::MilliCores(static_cast<int64_t>(reader.ReadU64()));
  report.capacity.memory = base::ByteCount(static_cast<int64_t>(reader.ReadU64()));
  report.capacity.accelerators = base::AcceleratorCount(static_cast<int32_t>(reader.ReadU32()));
  return report;
}

}  // namespace

TargetFile::TargetFile(const storage::FileSystem& file_system, const std::string& folder)
    : file(file_system, folder, kFileName) {}

base::Result<void> TargetFile::Save(const std::vector<TargetReport>& targets) {
  storage::ByteWriter writer;
  writer.WriteU32(static_cast<uint32_t>(targets.size()));
  for (const TargetReport& report : targets) {
    WriteReport(writer, report);
  }
  return this->file.Save(writer.TakeBytes());
}

base::Result<std::vector<TargetReport>> TargetFile::Load() const {
  const auto stored = this->file.Load();
  if (!stored) {
    return tl::make_unexpected(stored.error());
  }
  std::vector<TargetReport> targets;
  if (!*stored) {
    return targets;
  }
  storage::ByteReader reader(**stored);
  const uint32_t count = reader.ReadU32();
  for (uint32_t i = 0; i < count && reader.ok(); ++i) {
    targets.push_back(ReadReport(reader));
  }
  if (!reader.ok()) {
    return base::MakeErrorResult(base::ErrorCode::kCorrupted, "the target file can't be decoded");
  }
  return targets;
}

}  // namespace sapphirecrank::clusterhost
