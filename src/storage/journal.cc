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

// Every batch is synced before the next one is written, so that only the last frame can be torn.
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

bool ParseSegmentName(std::string_view name, uint64_t* number) {
  if (name.size() != kSegmentPrefix.size() + kSegmentNumberDigits + kSegmentSuffix.size() ||
      name.substr(0, kSegmentPrefix.size()) != kSegmentPrefix ||
      name.substr(name.size() - kSegmentSuffix.size()) != kSegmentSuffix) {
    return false;
  }
  const char* first = name.data() + kSegmentPrefix.size();
  const char* last = first + kSegmentNumberDigits;
  auto parsed = std::from_chars(first, last, *number);
  return parsed.ec == std::errc() && parsed.ptr == last;
}

}  // namespace

Journal::Journal(const FileSystem& files, const Options& options)
    : file_system(files), options(options) {}

Journal::~Journal() {
  if (this->is_file_open) {
    this->file_system.close(this->file);
  }
}

Result<std::unique_ptr<Journal>> Journal::Open(const FileSystem& files, const Options& options,
                                               const RecordVisitor& visit) {
  std::unique_ptr<Journal> journal(new Journal(files, options));
  auto segments = journal->ListSegments();
  if (!segments) {
    return tl::make_unexpected(segments.error());
  }
  for (size_t i = 0; i < segments->size(); ++i) {
    uint64_t segment = (*segments)[i];
    if (i > 0 && segment != (*segments)[i - 1] + 1) {
      return CorruptionError(journal->SegmentPath(segment), 0,
                             "the segment before this one is missing");
    }
    auto read = journal->ReadSegment(segment, i + 1 == segments->size(), visit);
    if (!read) {
      return tl::make_unexpected(read.error());
    }
  }
  // What an earlier process wrote but didn't sync has been read back too, and is relied on now.
  auto ready = journal->is_file_open ? journal->file_system.sync(journal->file)
                                     : journal->CreateSegment(journal->current_segment + 1);
  if (!ready) {
    return tl::make_unexpected(ready.error());
  }
  return journal;
}

Result<void> Journal::Append(const std::vector<JournalRecord>& records) {
  if (this->has_failed) {
    return base::MakeErrorResult(ErrorCode::kStorageFailed, "the journal failed earlier");
  }
  if (this->current_segment_size >= static_cast<size_t>(this->options.segment_bytes.value())) {
    auto started = this->LatchFailure(this->CreateSegment(this->current_segment + 1));
    if (!started) {
      return started;
    }
  }
  return this->LatchFailure(this->WriteBatch(records));
}

Result<void> Journal::ReplaceRecords(const std::vector<JournalRecord>& records) {
  if (this->has_failed) {
    return base::MakeErrorResult(ErrorCode::kStorageFailed, "the journal failed earlier");
  }
  auto started = this->LatchFailure(this->CreateSegment(this->current_segment + 1));
  if (!started) {
    return started;
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
    uint64_t number = 0;
    if (ParseSegmentName(name, &number)) {
      segments.push_back(number);
    }
  }
  std::sort(segments.begin(), segments.end());
  return segments;
}

Result<void> Journal::ReadSegment(uint64_t segment, bool last, const RecordVisitor& visit) {
  std::string path = this->SegmentPath(segment);
  auto content = this->file_system.read(path);
  if (!content) {
    return tl::make_unexpected(content.error());
  }
  std::string_view header = *content;
  if (header.substr(0, kSegmentHeaderBytes) != EncodeSegmentHeader(segment)) {
    // The header is synced before the first frame, so that a torn one is followed by nothing.
    if (last && content->size() <= kSegmentHeaderBytes) {
      return this->TruncateTail(segment, 0);
    }
    return CorruptionError(path, 0, "bad header or unknown format version");
  }
  size_t offset = kSegmentHeaderBytes;
  while (offset < content->size()) {
    JournalFrame frame = JournalFrame::Decode(*content, segment, offset);
    if (frame.decode_status != JournalFrame::DecodeStatus::kValid) {
      if (last && IsTornTail(frame, *content, segment, offset)) {
        return this->TruncateTail(segment, offset);
      }
      return CorruptionError(path, offset, "damaged record");
    }
    for (const JournalRecord& record : frame.records) {
      visit(record);
    }
    offset = frame.end_offset;
  }
  this->current_segment = segment;
  return last ? this->OpenSegment(segment, offset) : Result<void>();
}

Result<void> Journal::TruncateTail(uint64_t segment, size_t offset) {
  std::string path = this->SegmentPath(segment);
  if (offset == 0) {
    this->current_segment = segment - 1;
    auto removed = this->file_system.remove(path);
    return removed ? this->file_system.sync_directory(this->options.directory) : removed;
  }
  auto cut = this->file_system.truncate(path, base::ByteCount(static_cast<int64_t>(offset)));
  return cut ? this->OpenSegment(segment, offset) : cut;
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
  for (uint64_t old : *segments) {
    if (old >= segment) {
      break;
    }
    auto removed = this->file_system.remove(this->SegmentPath(old));
    if (!removed) {
      return removed;
    }
    // Removals that become durable out of order would look like a missing segment.
    auto synced = this->file_system.sync_directory(this->options.directory);
    if (!synced) {
      return synced;
    }
  }
  return {};
}

Result<void> Journal::LatchFailure(Result<void> outcome) {
  this->has_failed = this->has_failed || !outcome;
  return outcome;
}

}  // namespace sapphirecrank::storage
