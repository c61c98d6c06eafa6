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
/// A batch is written as one frame and synced once; after a crash it is there whole or not at all.
/// At opening, an invalid frame with nothing valid after it in the last segment is a torn tail and
/// is cut off. A damaged frame anywhere else, a missing segment or an unknown format version is
/// refused. Damage to the very last frame can't be told from a torn write and is cut off too.
///
/// Thread safety: none; `GroupCommit` shares a journal among threads.
class Journal {
 public:
  struct Options {
    /// Existing directory of the segment files.
    std::string directory;
    /// Size from which the next batch starts a new segment.
    base::ByteCount segment_bytes{16 << 20};
  };
  using RecordVisitor = std::function<void(const JournalRecord&)>;

  /// Opens the journal and passes all records to `visit` in order. Errors: `kCorrupted` with file
  /// and offset, `kStorageFailed`.
  static base::Result<std::unique_ptr<Journal>> Open(const FileSystem& files,
                                                     const Options& options,
                                                     const RecordVisitor& visit);

  ~Journal();
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  /// Appends a batch with one write and one sync; on success it is durable. A failure is final:
  /// each later call fails at once, because a later sync may succeed without the lost data.
  base::Result<void> Append(const std::vector<JournalRecord>& records);

  /// Writes `records` into a new segment, then removes all older segments. A crash in between
  /// leaves older records in front of the new ones. A failure is final.
  base::Result<void> ReplaceRecords(const std::vector<JournalRecord>& records);

  /// Tells whether an earlier call failed.
  bool failed() const { return this->has_failed; }

 private:
  Journal(const FileSystem& files, const Options& options);

  std::string SegmentPath(uint64_t segment) const;
  base::Result<std::vector<uint64_t>> ListSegments() const;
  base::Result<void> ReadSegment(uint64_t segment, bool last, const RecordVisitor& visit);
  base::Result<void> TruncateTail(uint64_t segment, size_t offset);
  base::Result<void> OpenSegment(uint64_t segment, size_t size);
  base::Result<void> CreateSegment(uint64_t segment);
  base::Result<void> WriteBatch(const std::vector<JournalRecord>& records);
  base::Result<void> RemoveSegmentsBefore(uint64_t segment);
  base::Result<void> LatchFailure(base::Result<void> outcome);

  FileSystem file_system;
  Options options;
  FileHandle file;
  bool is_file_open = false;
  bool has_failed = false;
  uint64_t current_segment = 0;
  size_t current_segment_size = 0;
};

}  // namespace sapphirecrank::storage
