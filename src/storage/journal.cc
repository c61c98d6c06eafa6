#include "storage/journal.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "storage/byte_reader.h"
#include "storage/byte_writer.h"
#include "storage/journal_frame.h"

namespace sapphirecrank::storage {
namespace {

using base::ErrorCode;
using base::Result;

constexpr std::string_view kSegmentPrefix = "journal-";
constexpr std::string_view kSegmentSuffix = ".log";
constexpr std::string_view kMagic = "SPHCJRNL";
constexpr uint32_t kFormatVersion = 1;
constexpr size_t kSegmentNumberDigits = 20;
// Magic, format version, segment number, checksum.
constexpr size_t kSegmentHeaderBytes = 8 + 4 + 8 + 8;

std::string EncodeSegmentHeader(uint64_t segment) {
  ByteWriter header;
  header.WriteBytes(kMagic);
  header.WriteU32(kFormatVersion);
  header.WriteU64(segment);
  header.WriteU64(XXH64(header.written_bytes().data(), header.written_bytes().size(), 0));
  return header.TakeBytes();
}

auto CorruptionError(const std::string& path, size_t offset, std::string_view reason) {
  return base::MakeErrorResult(ErrorCode::kCorrupted,
                               fmt::format("{}: {} at offset {}", path, reason, offset));
}

bool HasValidFrameAfter(std::string_view content, uint64_t segment, size_t offset) {
  for (size_t i = offset + 1; i + JournalFrame::kHeaderBytes <= content.size(); ++i) {
    if (JournalFrame::Decode(content, segment, i).decode_status ==
        JournalFrame::DecodeStatus::kValid) {
      return true;
    }
  }
  return false;
}

// Tells whether an invalid frame is an interrupted write at the end of the last segment. Every
// batch is synced before the next one is written, so only the last frame can be incomplete after a
// crash.
bool IsTornTail(const JournalFrame& frame, std::string_view content, uint64_t segment,
                size_t offset) {
  switch (frame.decode_status) {
    case JournalFrame::DecodeStatus::kIncomplete:
      return true;
    case JournalFrame::DecodeStatus::kBadPayload:
      return frame.end_offset == content.size();
    case JournalFrame::DecodeStatus::kBadHeader:
      return !HasValidFrameAfter(content, segment, offset);
    case JournalFrame::DecodeStatus::kValid:
      break;
  }
  return false;
}

bool ParseSegmentName(std::string_view name, uint64_t* segment) {
  if (name.size() != kSegmentPrefix.size() + kSegmentNumberDigits + kSegmentSuffix.size() ||
      name.substr(0, kSegmentPrefix.size()) != kSegmentPrefix ||
      name.substr(name.size() - kSegmentSuffix.size()) != kSegmentSuffix) {
    return false;
  }
  const char* digits_begin = name.data() + kSegmentPrefix.size();
  const char* digits_end = digits_begin + kSegmentNumberDigits;
  auto conversion = std::from_chars(digits_begin, digits_end, *segment);
  return conversion.ec == std::errc() && conversion.ptr == digits_end;
}

}  // namespace

Journal::Journal(const FileSystem& file_system, const Options& options)
    : file_system(file_system), options(options) {}

Journal::~Journal() {
  if (this->is_file_open) {
    this->file_system.close(this->file);
  }
}

Result<std::unique_ptr<Journal>> Journal::Open(const FileSystem& file_system,
                                               const Options& options, const RecordVisitor& visit) {
  std::unique_ptr<Journal> journal(new Journal(file_system, options));
  auto segments = journal->ListSegments();
  if (!segments) {
    return tl::make_unexpected(segments.error());
  }
  for (size_t i = 0; i < segments->size(); ++i) {
    uint64_t segment = (*segments)[i];
    if (i > 0 && segment != (*segments)[i - 1] + 1) {
      return CorruptionError(journal->SegmentPath(segment), 0, "the preceding segment is missing");
    }
    auto read = journal->ReadSegment(segment, i + 1 == segments->size(), visit);
    if (!read) {
      return tl::make_unexpected(read.error());
    }
  }
  // An earlier process may have written the last records without syncing them. They have been
  // passed to the caller, who relies on them from now on.
  auto ready = journal->is_file_open ? journal->file_system.sync(journal->file)
                                     : journal->CreateSegment(journal->current_segment + 1);
  if (!ready) {
    return tl::make_unexpected(ready.error());
  }
  return journal;
}

Result<void> Journal::Append(const std::vector<JournalRecord>& records) {
  if (this->has_failed) {
    return base::MakeErrorResult(
        ErrorCode::kStorageFailed,
        "the journal can't be written because an earlier operation on it failed");
  }
  if (this->current_segment_size >= static_cast<size_t>(this->options.segment_bytes.value())) {
    auto created = this->LatchFailure(this->CreateSegment(this->current_segment + 1));
    if (!created) {
      return created;
    }
  }
  return this->LatchFailure(this->WriteBatch(records));
}

Result<void> Journal::ReplaceRecords(const std::vector<JournalRecord>& records) {
  if (this->has_failed) {
    return base::MakeErrorResult(
        ErrorCode::kStorageFailed,
        "the journal can't be written because an earlier operation on it failed");
  }
  auto created = this->LatchFailure(this->CreateSegment(this->current_segment + 1));
  if (!created) {
    return created;
  }
  auto written = this->LatchFailure(this->WriteBatch(records));
  if (!written) {
    return written;
  }
  return this->LatchFailure(this->RemoveSegmentsBefore(this->current_segment));
}

std::string Journal::SegmentPath(uint64_t segment) const {
  return fmt::format("{}/{}{:020}{}", this->options.directory, kSegmentPrefix, segment,
                     kSegmentSuffix);
}

Result<std::vector<uint64_t>> Journal::ListSegments() const {
  auto names = this->file_system.list_directory(this->options.directory);
  if (!names) {
    return tl::make_unexpected(names.error());
  }
  std::vector<uint64_t> segments;
  for (const std::string& name : *names) {
    uint64_t segment = 0;
    if (ParseSegmentName(name, &segment)) {
      segments.push_back(segment);
    }
  }
  std::sort(segments.begin(), segments.end());
  return segments;
}

Result<void> Journal::ReadSegment(uint64_t segment, bool is_last_segment,
                                  const RecordVisitor& visit) {
  std::string path = this->SegmentPath(segment);
  auto content = this->file_system.read(path);
  if (!content) {
    return tl::make_unexpected(content.error());
  }
  std::string_view header = *content;
  if (header.substr(0, kSegmentHeaderBytes) != EncodeSegmentHeader(segment)) {
    // The header is synced before the first frame is written, so nothing follows an incomplete
    // header.
    if (is_last_segment && content->size() <= kSegmentHeaderBytes) {
      return this->TruncateTail(segment, 0);
    }
    return CorruptionError(path, 0, "invalid header or unknown format version");
  }
  size_t offset = kSegmentHeaderBytes;
  while (offset < content->size()) {
    JournalFrame frame = JournalFrame::Decode(*content, segment, offset);
    if (frame.decode_status != JournalFrame::DecodeStatus::kValid) {
      if (is_last_segment && IsTornTail(frame, *content, segment, offset)) {
        return this->TruncateTail(segment, offset);
      }
      return CorruptionError(path, offset, "invalid record");
    }
    for (const JournalRecord& record : frame.records) {
      visit(record);
    }
    offset = frame.end_offset;
  }
  this->current_segment = segment;
  return is_last_segment ? this->OpenSegment(segment, offset) : Result<void>();
}

Result<void> Journal::TruncateTail(uint64_t segment, size_t offset) {
  std::string path = this->SegmentPath(segment);
  if (offset == 0) {
    this->current_segment = segment - 1;
    auto removed = this->file_system.remove(path);
    return removed ? this->file_system.sync_directory(this->options.directory) : removed;
  }
  auto truncated = this->file_system.truncate(path, base::ByteCount(static_cast<int64_t>(offset)));
  return truncated ? this->OpenSegment(segment, offset) : truncated;
}

Result<void> Journal::OpenSegment(uint64_t segment, size_t size) {
  auto opened = this->file_system.open_for_append(this->SegmentPath(segment));
  if (!opened) {
    return tl::make_unexpected(opened.error());
  }
  if (this->is_file_open) {
    this->file_system.close(this->file);
  }
  this->file = *opened;
  this->is_file_open = true;
  this->current_segment = segment;
  this->current_segment_size = size;
  return {};
}

Result<void> Journal::CreateSegment(uint64_t segment) {
  auto opened = this->OpenSegment(segment, kSegmentHeaderBytes);
  if (!opened) {
    return opened;
  }
  auto written = this->file_system.append(this->file, EncodeSegmentHeader(segment));
  if (!written) {
    return written;
  }
  auto synced = this->file_system.sync(this->file);
  return synced ? this->file_system.sync_directory(this->options.directory) : synced;
}

Result<void> Journal::WriteBatch(const std::vector<JournalRecord>& records) {
  std::string frame =
      JournalFrame::Encode(records, this->current_segment, this->current_segment_size);
  this->current_segment_size += frame.size();
  auto written = this->file_system.append(this->file, frame);
  return written ? this->file_system.sync(this->file) : written;
}

Result<void> Journal::RemoveSegmentsBefore(uint64_t segment) {
  auto segments = this->ListSegments();
  if (!segments) {
    return tl::make_unexpected(segments.error());
  }
  for (uint64_t old_segment : *segments) {
    if (old_segment >= segment) {
      break;
    }
    auto removed = this->file_system.remove(this->SegmentPath(old_segment));
    if (!removed) {
      return removed;
    }
    // Synced after each removal. If removals became durable out of order, a segment would seem to
    // be missing after a crash.
    auto synced = this->file_system.sync_directory(this->options.directory);
    if (!synced) {
      return synced;
    }
  }
  return {};
}

Result<void> Journal::LatchFailure(Result<void> result) {
  this->has_failed = this->has_failed || !result;
  return result;
}

}  // namespace sapphirecrank::storage
