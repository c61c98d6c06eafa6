#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "base/units.h"
#include "storage/file_system.h"
#include "storage/journal_record.h"

namespace sapphirecrank::storage {

/// Durable sequence of records in numbered segment files of one directory.
///
/// A batch is written as one frame and synced once; after a crash it is complete or absent. `Open`
/// treats an invalid frame of the last segment as a torn write and truncates the segment to the
/// frames before it, unless a valid frame follows, or the frame has a valid header and any bytes
/// follow it. Corruption of the very last frame can't be distinguished from a torn write and is
/// truncated too. `Open` fails with `kCorrupted` if any other frame is invalid, a segment is
/// missing or the format version is unknown.
///
/// Thread safety: none; `GroupCommit` shares a journal among threads.
class Journal {
 public:
  struct Options {
    /// Directory of the segment files. Precondition: it exists.
    std::string directory;
    /// A batch starts a new segment if the current one has at least this size.
    base::ByteCount segment_bytes{16 << 20};
  };
  /// Receives each record of the journal.
  using RecordVisitor = std::function<void(const JournalRecord&)>;

  /// Opens the journal and passes all records to `visit` in order. Errors: `kCorrupted` with file
  /// and offset in the message, `kStorageFailed`.
  static base::Result<std::unique_ptr<Journal>> Open(const FileSystem& file_system,
                                                     const Options& options,
                                                     const RecordVisitor& visit);

  ~Journal();
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  /// Appends a batch with one write and one sync. On success the batch is durable. After a failure
  /// each later call fails at once, because a later sync may succeed although data was lost. Error:
  /// `kStorageFailed`.
  base::Result<void> Append(const std::vector<JournalRecord>& records);

  /// Writes `records` into a new segment, then removes all older segments. A crash in between
  /// leaves older records in front of the new ones. After a failure each later call fails. Error:
  /// `kStorageFailed`.
  base::Result<void> ReplaceRecords(const std::vector<JournalRecord>& records);

  /// Tells whether an earlier call failed.
  bool failed() const { return this->has_failed; }

 private:
  Journal(const FileSystem& file_system, const Options& options);

  std::string SegmentPath(uint64_t segment) const;
  base::Result<std::vector<uint64_t>> ListSegments() const;
  base::Result<void> ReadSegment(uint64_t segment, bool is_last_segment,
                                 const RecordVisitor& visit);
  base::Result<void> TruncateTail(uint64_t segment, size_t offset);
  base::Result<void> OpenSegment(uint64_t segment, size_t size);
  base::Result<void> CreateSegment(uint64_t segment);
  base::Result<void> WriteBatch(const std::vector<JournalRecord>& records);
  base::Result<void> RemoveSegmentsBefore(uint64_t segment);
  base::Result<void> LatchFailure(base::Result<void> result);

  FileSystem file_system;
  Options options;
  FileHandle file;
  bool is_file_open = false;
  bool has_failed = false;
  uint64_t current_segment = 0;
  size_t current_segment_size = 0;
};

}  // namespace sapphirecrank::storage
