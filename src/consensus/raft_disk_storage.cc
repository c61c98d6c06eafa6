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

// Numbers of record types are part of the file format.
enum RecordType : uint32_t {
  /// First membership of the group.
  kInitialMembershipRecord = 1,
  kHardStateRecord = 2,
  kEntryRecord = 3,
  /// Index of the snapshot that the records from here on rely on; drops all entries before.
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

RaftDiskStorage::RaftDiskStorage(const storage::FileSystem& files, const std::string& directory)
    : directory(directory), snapshot_file(files, directory, kSnapshotFileName) {}

Result<std::unique_ptr<RaftDiskStorage>> RaftDiskStorage::Open(const storage::FileSystem& files,
                                                               const std::string& directory,
                                                               const RaftMembership& initial) {
  std::unique_ptr<RaftDiskStorage> disk(new RaftDiskStorage(files, directory));
  auto loaded = disk->Load(files, initial);
  if (!loaded) {
    return tl::make_unexpected(loaded.error());
  }
  return disk;
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

Result<void> RaftDiskStorage::Load(const storage::FileSystem& files,
                                   const RaftMembership& initial) {
  auto created = files.create_directory(this->directory);
  if (!created) {
    return created;
  }
  auto snapshot = this->LoadSnapshot(initial);
  if (!snapshot) {
    return snapshot;
  }
  storage::Journal::Options options;
  options.directory = this->directory;
  bool empty = true;
  auto opened = storage::Journal::Open(files, options, [&](const JournalRecord& record) {
    empty = false;
    this->ReplayRecord(record);
  });
  if (!opened) {
    return tl::make_unexpected(opened.error());
  }
  this->journal = std::move(*opened);
  if (!empty) {
    auto checked = this->ReconcileEntries();
    return checked ? this->CompleteSnapshot() : checked;
  }
  if (this->state.snapshot.index > LogIndex()) {
    return base::MakeErrorResult(ErrorCode::kCorrupted,
                                 fmt::format("{}: the snapshot has no journal", this->directory));
  }
  ByteWriter membership;
  RaftEncoding::Write(membership, initial);
  return this->journal->Append({{kInitialMembershipRecord, membership.TakeBytes()}});
}

Result<void> RaftDiskStorage::LoadSnapshot(const RaftMembership& initial) {
  this->state.snapshot.membership = initial;
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
        fmt::format("{}/{}: undecodable snapshot", this->directory, kSnapshotFileName));
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
    return base::MakeErrorResult(ErrorCode::kCorrupted,
                                 fmt::format("{}: undecodable journal record", this->directory));
  }
  const RaftSnapshot& snapshot = this->state.snapshot;
  if (snapshot.index < this->required_snapshot_index) {
    return base::MakeErrorResult(ErrorCode::kCorrupted,
                                 fmt::format("{}: the snapshot at {} is missing", this->directory,
                                             this->required_snapshot_index.value()));
  }
  // After a crash between snapshot and journal, the journal still has entries that the snapshot
  // covers; what follows counts only if it follows the same entry.
  std::vector<LogEntry> following;
  bool same_history = this->required_snapshot_index == snapshot.index;
  for (LogEntry& entry : this->state.entries) {
    same_history = same_history || (entry.index == snapshot.index && entry.term == snapshot.term);
    if (entry.index > snapshot.index && same_history) {
      following.push_back(std::move(entry));
    }
  }
  LogIndex expected = snapshot.index;
  for (const LogEntry& entry : following) {
    expected = expected.Next();
    if (entry.index != expected) {
      return base::MakeErrorResult(
          ErrorCode::kCorrupted,
          fmt::format("{}: entry {} is missing", this->directory, expected.value()));
    }
  }
  this->state.entries = std::move(following);
  // The term of a received snapshot may have reached the disk without the hard state; this host
  // has answered nothing in that term.
  if (this->state.hard_state.term < snapshot.term) {
    this->state.hard_state = HardState{snapshot.term, base::HostId()};
  }
  return {};
}

// Entries written from now on follow the snapshot, and the journal must say so.
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

Result<void> RaftDiskStorage::RewriteJournal(LogIndex base, const HardState& hard_state,
                                             const std::vector<LogEntry>& entries) {
  ByteWriter index;
  index.WriteU64(base.value());
  std::vector<JournalRecord> records = EncodeRecords(hard_state, entries);
  records.insert(records.begin(), JournalRecord{kSnapshotIndexRecord, index.TakeBytes()});
  return this->journal->ReplaceRecords(records);
}

}  // namespace sapphirecrank::consensus
