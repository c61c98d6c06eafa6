#include "consensus/raft_disk_storage.h"

#include <CppUTest/TestHarness.h>

#include <memory>

#include "tests/storage/faulty_file_system.h"

using sapphirecrank::base::ErrorCode;
using sapphirecrank::base::HostId;
using sapphirecrank::base::LogIndex;
using sapphirecrank::base::Term;
using sapphirecrank::consensus::HardState;
using sapphirecrank::consensus::LogEntry;
using sapphirecrank::consensus::RaftDiskStorage;
using sapphirecrank::consensus::RaftMembership;
using sapphirecrank::consensus::RaftSnapshot;
using sapphirecrank::storage::FaultyFileSystem;

namespace {

constexpr int kMaxOperationsBeforeCrash = 20;

std::vector<LogEntry> MakeEntries(uint64_t first_index, uint64_t last_index, uint64_t term) {
  std::vector<LogEntry> entries;
  for (uint64_t i = first_index; i <= last_index; ++i) {
    LogEntry entry;
    entry.index = LogIndex(i);
    entry.term = Term(term);
    entry.command = std::to_string(i);
    entries.push_back(entry);
  }
  return entries;
}

}  // namespace

TEST_GROUP(RaftDiskStorage) {
  RaftMembership membership{{HostId("h0"), HostId("h1"), HostId("h2")}, {}, {}};
  HardState old_state{Term(1), HostId("h1")};
  HardState new_state{Term(3), HostId("h2")};

  std::unique_ptr<RaftDiskStorage> OpenStorage(FaultyFileSystem & file_system) {
    auto opened = RaftDiskStorage::Open(file_system.MakeFileSystem(), "data", membership);
    CHECK(opened.has_value());
    return std::move(*opened);
  }
};

// Guards against a restart that forgets that a voter is being replaced, or that misreads the
// memberships of earlier program versions, which have no outgoing voters.
TEST(RaftDiskStorage, KeepsMembershipsWithAndWithoutOutgoingVoters) {
  FaultyFileSystem file_system(1);
  std::vector<LogEntry> entries = MakeEntries(1, 2, 1);
  for (LogEntry& entry : entries) {
    entry.kind = LogEntry::Kind::kMembership;
    entry.membership = membership;
  }
  entries[1].membership.outgoing_voters = {HostId("h0"), HostId("h1"), HostId("h3")};
  auto storage = OpenStorage(file_system);
  CHECK(storage->MakeStorageHooks().append_entries(old_state, entries).has_value());
  storage.reset();
  CHECK(OpenStorage(file_system)->recovered_state().entries == entries);
}

// Guards against two effects of a crash at any file operation of storing a snapshot: entries that
// are acknowledged after the restart are lost at the next one, or entries are kept that don't
// follow the snapshot.
TEST(RaftDiskStorage, CrashWhileStoringASnapshot) {
  for (uint64_t last_index : {5, 30}) {
    for (int operations_before_crash = 0; operations_before_crash < kMaxOperationsBeforeCrash;
         ++operations_before_crash) {
      FaultyFileSystem file_system(static_cast<uint64_t>(operations_before_crash));
      {
        auto disk_storage = OpenStorage(file_system);
        CHECK(disk_storage->MakeStorageHooks()
                  .append_entries(old_state, MakeEntries(1, last_index, 1))
                  .has_value());
        file_system.CrashAfter(operations_before_crash);
        (void)disk_storage->MakeStorageHooks().save_snapshot(
            {LogIndex(20), Term(3), membership, "state"}, new_state, {});
      }
      file_system.Crash();
      auto disk_storage = OpenStorage(file_system);
      bool is_snapshot_stored = disk_storage->recovered_state().snapshot.index == LogIndex(20);
      LONGS_EQUAL(is_snapshot_stored ? 0 : last_index,
                  disk_storage->recovered_state().entries.size());
      CHECK(is_snapshot_stored || disk_storage->recovered_state().hard_state == old_state);
      CHECK_FALSE(is_snapshot_stored && disk_storage->recovered_state().hard_state.term < Term(3));
      uint64_t next_index = is_snapshot_stored ? 21 : last_index + 1;
      CHECK(disk_storage->MakeStorageHooks()
                .append_entries(new_state, MakeEntries(next_index, next_index + 2, 3))
                .has_value());
      disk_storage.reset();
      file_system.Crash();
      disk_storage = OpenStorage(file_system);
      CHECK(disk_storage->recovered_state().hard_state == new_state);
      LONGS_EQUAL(is_snapshot_stored ? 3 : last_index + 3,
                  disk_storage->recovered_state().entries.size());
      CHECK(disk_storage->recovered_state().entries.back() ==
            MakeEntries(next_index + 2, next_index + 2, 3).back());
    }
  }
}

// Guards against the loss of a vote when a snapshot replaces the journal that contains it.
TEST(RaftDiskStorage, SnapshotKeepsTheHardState) {
  FaultyFileSystem file_system(1);
  auto disk_storage = OpenStorage(file_system);
  CHECK(disk_storage->MakeStorageHooks()
            .append_entries(new_state, MakeEntries(1, 30, 3))
            .has_value());
  RaftSnapshot snapshot{LogIndex(20), Term(3), membership, "state"};
  CHECK(disk_storage->MakeStorageHooks()
            .save_snapshot(snapshot, new_state, MakeEntries(21, 30, 3))
            .has_value());
  disk_storage.reset();
  file_system.Crash();
  disk_storage = OpenStorage(file_system);
  CHECK(disk_storage->recovered_state().hard_state == new_state);
  LONGS_EQUAL(10, disk_storage->recovered_state().entries.size());
}

// Guards against a start without the snapshot that the journal continues, or with a gap in the
// journal's entries.
TEST(RaftDiskStorage, OpenFailsIfSnapshotOrEntriesAreMissing) {
  FaultyFileSystem file_system(1);
  auto disk_storage = OpenStorage(file_system);
  RaftSnapshot snapshot{LogIndex(20), Term(3), membership, "state"};
  CHECK(disk_storage->MakeStorageHooks()
            .save_snapshot(snapshot, new_state, MakeEntries(21, 25, 3))
            .has_value());
  std::string content = file_system.Content("data/snapshot");
  file_system.Delete("data/snapshot");
  auto opened = RaftDiskStorage::Open(file_system.MakeFileSystem(), "data", membership);
  CHECK(!opened.has_value() && opened.error().code == ErrorCode::kCorrupted);
  file_system.SetContent("data/snapshot", content);
  CHECK(disk_storage->MakeStorageHooks()
            .append_entries(new_state, MakeEntries(27, 28, 3))
            .has_value());
  opened = RaftDiskStorage::Open(file_system.MakeFileSystem(), "data", membership);
  CHECK(!opened.has_value() && opened.error().code == ErrorCode::kCorrupted);
}
