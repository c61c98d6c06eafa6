#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "storage/journal_record.h"

namespace sapphirecrank::storage {

/// The records of one batch, with checksums. A frame is valid as a whole or not at all.
///
/// Layout: payload length (4 bytes), record count (4), checksum of the payload (8), checksum of the
/// first 16 bytes (8), payload. Layout of a record in the payload: type (4), length (4), bytes. The
/// checksums are seeded with segment and offset, so that a frame is valid only at its own position.
struct JournalFrame {
  /// Result of decoding. `kIncomplete`: the content ends before the frame does.
  enum class DecodeStatus { kValid, kBadHeader, kBadPayload, kIncomplete };

  static constexpr size_t kHeaderBytes = 24;

  DecodeStatus decode_status = DecodeStatus::kIncomplete;
  /// Offset of the first byte after the frame, if the header is valid.
  size_t end_offset = 0;
  std::vector<JournalRecord> records;

  /// Encodes a frame that is to start at `offset` of segment `segment`. Thread safety: pure.
  static std::string Encode(const std::vector<JournalRecord>& records, uint64_t segment,
                            size_t offset);

  /// Decodes the frame at `offset` of segment `segment`. `content` is the whole content of the
  /// segment. Thread safety: pure.
  static JournalFrame Decode(std::string_view content, uint64_t segment, size_t offset);
};

}  // namespace sapphirecrank::storage
