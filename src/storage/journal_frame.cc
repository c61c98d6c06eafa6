#include "storage/journal_frame.h"

#include <xxhash.h>

#include <utility>

#include "storage/byte_reader.h"
#include "storage/byte_writer.h"

namespace sapphirecrank::storage {
namespace {

constexpr size_t kChecksummedHeaderBytes = 16;

uint64_t Checksum(std::string_view bytes, uint64_t segment, size_t offset) {
  constexpr uint64_t kMultiplier = 0x9e3779b97f4a7c15;
  return XXH64(bytes.data(), bytes.size(), segment * kMultiplier + offset + 1);
}

}  // namespace

std::string JournalFrame::Encode(const std::vector<JournalRecord>& records, uint64_t segment,
                                 size_t offset) {
  ByteWriter payload;
  for (const JournalRecord& record : records) {
    payload.WriteU32(record.type);
    payload.WriteString(record.payload);
  }
  ByteWriter frame;
  frame.WriteU32(static_cast<uint32_t>(payload.written_bytes().size()));
  frame.WriteU32(static_cast<uint32_t>(records.size()));
  frame.WriteU64(Checksum(payload.written_bytes(), segment, offset));
  frame.WriteU64(Checksum(frame.written_bytes(), segment, offset));
  frame.WriteBytes(payload.written_bytes());
  return frame.TakeBytes();
}

JournalFrame JournalFrame::Decode(std::string_view content, uint64_t segment, size_t offset) {
  JournalFrame frame;
  std::string_view bytes = content.substr(offset);
  if (bytes.size() < kHeaderBytes) {
    return frame;
  }
  ByteReader reader(bytes);
  uint32_t payload_size = reader.ReadU32();
  uint32_t record_count = reader.ReadU32();
  uint64_t payload_checksum = reader.ReadU64();
  uint64_t header_checksum = reader.ReadU64();
  if (header_checksum != Checksum(bytes.substr(0, kChecksummedHeaderBytes), segment, offset)) {
    frame.decode_status = DecodeStatus::kBadHeader;
    return frame;
  }
  frame.end_offset = offset + kHeaderBytes + payload_size;
  if (frame.end_offset > content.size()) {
    return frame;
  }
  std::string_view payload = reader.ReadBytes(payload_size);
  frame.decode_status = DecodeStatus::kBadPayload;
  if (payload_checksum != Checksum(payload, segment, offset)) {
    return frame;
  }
  ByteReader payload_reader(payload);
  for (uint32_t i = 0; i < record_count && payload_reader.ok(); ++i) {
    JournalRecord record;
    record.type = payload_reader.ReadU32();
    record.payload = payload_reader.ReadString();
    frame.records.push_back(std::move(record));
  }
  if (payload_reader.ok() && payload_reader.remaining_size() == 0) {
    frame.decode_status = DecodeStatus::kValid;
  }
  return frame;
}

}  // namespace sapphirecrank::storage
