#include "consensus/raft_disk_storage.h"

#include <fmt/format.h>

#include <utility>

#include "consensus/raft_encoding.h"
#include "storage/byte_reader.h"
#include "storage/byte_writer.h"
#include "storage/journal_record.h"

namespace sapphirecrank::consensus {
namespace {

using base::ErrorCode;
using base::LogIndex;
using base::Result;
using storage::ByteReader;
using storage::ByteWriter;
using storage::JournalRecord;

constexpr char kSnapshotFileName[] = "snapshot";

// The numbers are part of the file format.
enum RecordType : uint32_t {
  /// Initial membership of the group.
  kInitialMembershipRecord = 1,
  kHardStateRecord = 2,
  kEntryRecord = 3,
  /// Index of the snapshot that the following records continue. All entry records before this
  /// record are obsolete.
  kSnapshotIndexRecord = 4,
};

JournalRecord EncodeHardStateRecord(const HardState& state) {
  ByteWriter writer;
  RaftEncoding::Write(writer, state);
  return {kHardStateRecord, writer.TakeBytes()};
}

std::vector<JournalRecord> EncodeRecords(const HardState& state,
                                         const std::vector<LogEntry>& entries) {
  std::vector<JournalRecord> records;
  records.reserve(entries.size() + 1);
  records.push_back(EncodeHardStateRecord(state));
  for (const LogEntry& entry : entries) {
    ByteWriter writer;
    RaftEncoding::Write(writer, entry);
    records.push_back({kEntryRecord, writer.TakeBytes()});
  }
  return records;
}

}  // namespace

RaftDiskStorage::RaftDiskStorage(const storage::FileSystem& file_system,
                                 const std::string& directory)
    : directory(directory), snapshot_file(file_system, directory, kSnapshotFileName) {}

Result<std::unique_ptr<RaftDiskStorage>> RaftDiskStorage::Open(
    const storage::FileSystem& file_system, const std::string& directory,
    const RaftMembership& initial_membership) {
  std::unique_ptr<RaftDiskStorage> disk_storage(new RaftDiskStorage(file_system, directory));
  auto loaded = disk_storage->Load(file_system, initial_membership);
  if (!loaded) {
    return tl::make_unexpected(loaded.error());
  }
  return disk_storage;
}

RaftStorage RaftDiskStorage::MakeStorageHooks() {
  RaftStorage hooks;
  hooks.append_entries = [this](const HardState& hard_state, const std::vector<LogEntry>& entries) {
    return this->AppendEntries(hard_state, entries);
  };
  hooks.save_snapshot = [this](const RaftSnapshot& snapshot, const HardState& hard_state,
                               const std::vector<LogEntry>& entries) {
    return this->SaveSnapshot(snapshot, hard_state, entries);
  };
  return hooks;
}

Result<void> RaftDiskStorage::Load(const storage::FileSystem& file_system,
                                   const RaftMembership& initial_membership) {
  auto created = file_system.create_directory(this->directory);
  if (!created) {
    return created;
  }
  auto snapshot = this->LoadSnapshot(initial_membership);
  if (!snapshot) {
    return snapshot;
  }
  storage::Journal::Options options;
  options.directory = this->directory;
  bool is_journal_empty = true;
  auto opened = storage::Journal::Open(file_system, options, [&](const JournalRecord& record) {
    is_journal_empty = false;
    this->ReplayRecord(record);
  });
  if (!opened) {
    return tl::make_unexpected(opened.error());
  }
  this->journal = std::move(*opened);
  if (!is_journal_empty) {
    auto checked = this->ReconcileEntries();
    return checked ? this->CompleteSnapshot() : checked;
  }
  if (this->state.snapshot.index > LogIndex()) {
    return base::MakeErrorResult(
        ErrorCode::kCorrupted,
        fmt::format("{}: there is a snapshot but the journal is empty", this->directory));
  }
  ByteWriter writer;
  RaftEncoding::Write(writer, initial_membership);
  return this->journal->Append({{kInitialMembershipRecord, writer.TakeBytes()}});
}

Result<void> RaftDiskStorage::LoadSnapshot(const RaftMembership& initial_membership) {
  this->state.snapshot.membership = initial_membership;
  auto content = this->snapshot_file.Load();
  if (!content) {
    return tl::make_unexpected(content.error());
  }
  if (!*content) {
    return {};
  }
  ByteReader reader(**content);
  this->state.snapshot = RaftEncoding::ReadSnapshot(reader);
  if (!reader.ok()) {
    return base::MakeErrorResult(
        ErrorCode::kCorrupted,
        fmt::format("{}/{}: the snapshot cannot be decoded", this->directory, kSnapshotFileName));
  }
  return {};
}

void RaftDiskStorage::ReplayRecord(const JournalRecord& record) {
  ByteReader reader(record.payload);
  std::vector<LogEntry>& entries = this->state.entries;
  switch (record.type) {
    case kInitialMembershipRecord: {
      RaftMembership membership = RaftEncoding::ReadMembership(reader);
      if (this->state.snapshot.index == LogIndex()) {
        this->state.snapshot.membership = std::move(membership);
      }
      break;
    }
    case kHardStateRecord:
      this->state.hard_state = RaftEncoding::ReadHardState(reader);
      break;
    case kEntryRecord: {
      LogEntry entry = RaftEncoding::ReadEntry(reader);
      while (!entries.empty() && entries.back().index >= entry.index) {
        entries.pop_back();
      }
      entries.push_back(std::move(entry));
      break;
    }
    case kSnapshotIndexRecord:
      this->required_snapshot_index = LogIndex(reader.ReadU64());
      entries.clear();
      break;
    default:
      this->has_undecodable_record = true;
  }
  this->has_undecodable_record = this->has_undecodable_record || !reader.ok();
}

Result<void> RaftDiskStorage::ReconcileEntries() {
  if (this->has_undecodable_record) {
    return base::MakeErrorResult(
        ErrorCode::kCorrupted,
        fmt::format("{}: a journal record cannot be decoded", this->directory));
  }
  const RaftSnapshot& snapshot = this->state.snapshot;
  if (snapshot.index < this->required_snapshot_index) {
    return base::MakeErrorResult(
        ErrorCode::kCorrupted, fmt::format("{}: the snapshot at index {} is missing",
                                           this->directory, this->required_snapshot_index.value()));
  }
  // After a crash between storing the snapshot and rewriting the journal, the journal still has
  // entries that the snapshot covers. Later entries are kept only if they follow the last entry
  // that the snapshot covers.
  std::vector<LogEntry> following_entries;
  bool follows_snapshot = this->required_snapshot_index == snapshot.index;
  for (LogEntry& entry : this->state.entries) {
    follows_snapshot =
        follows_snapshot || (entry.index == snapshot.index && entry.term == snapshot.term);
    if (entry.index > snapshot.index && follows_snapshot) {
      following_entries.push_back(std::move(entry));
    }
  }
  LogIndex expected_index = snapshot.index;
  for (const LogEntry& entry : following_entries) {
    expected_index = expected_index.Next();
    if (entry.index != expected_index) {
      return base::MakeErrorResult(
          ErrorCode::kCorrupted,
          fmt::format("{}: log entry {} is missing", this->directory, expected_index.value()));
    }
  }
  this->state.entries = std::move(following_entries);
  // A crash may have occurred after a received snapshot was stored, but before the hard state of
  // its term was stored. This host has sent no message in that term, so it may start the term
  // without a vote.
  if (this->state.hard_state.term < snapshot.term) {
    this->state.hard_state = HardState{snapshot.term, base::HostId()};
  }
  return {};
}

// Completes a snapshot whose journal was not rewritten before a crash: entries that are appended
// from now on follow this snapshot, and the journal must record that.
Result<void> RaftDiskStorage::CompleteSnapshot() {
  if (this->required_snapshot_index == this->state.snapshot.index) {
    return {};
  }
  return this->RewriteJournal(this->state.snapshot.index, this->state.hard_state,
                              this->state.entries);
}

Result<void> RaftDiskStorage::AppendEntries(const HardState& hard_state,
                                            const std::vector<LogEntry>& entries) {
  return this->journal->Append(EncodeRecords(hard_state, entries));
}

Result<void> RaftDiskStorage::SaveSnapshot(const RaftSnapshot& snapshot,
                                           const HardState& hard_state,
                                           const std::vector<LogEntry>& entries) {
  ByteWriter writer;
  RaftEncoding::Write(writer, snapshot);
  auto saved = this->snapshot_file.Save(writer.written_bytes());
  if (!saved) {
    return saved;
  }
  return this->RewriteJournal(snapshot.index, hard_state, entries);
}

Result<void> RaftDiskStorage::RewriteJournal(LogIndex snapshot_index, const HardState& hard_state,
                                             const std::vector<LogEntry>& entries) {
  ByteWriter writer;
  writer.WriteU64(snapshot_index.value());
  std::vector<JournalRecord> records = EncodeRecords(hard_state, entries);
  records.insert(records.begin(), JournalRecord{kSnapshotIndexRecord, writer.TakeBytes()});
  return this->journal->ReplaceRecords(records);
}

}  // namespace sapphirecrank::consensus
