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

constexpr int kMaxOperations = 20;

std::vector<LogEntry> Entries(uint64_t first, uint64_t last, uint64_t term) {
  std::vector<LogEntry> entries;
  for (uint64_t i = first; i <= last; ++i) {
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
  RaftMembership membership{{HostId("h0"), HostId("h1"), HostId("h2")}, {}};
  HardState old_state{Term(1), HostId("h1")};
  HardState new_state{Term(3), HostId("h2")};

  std::unique_ptr<RaftDiskStorage> Open(FaultyFileSystem & files) {
    auto opened = RaftDiskStorage::Open(files.Hooks(), "data", membership);
    CHECK(opened.has_value());
    return std::move(*opened);
  }
};

// Guards against a crash at any operation of storing a snapshot, after which entries that are
// acknowledged later are dropped at the next restart, or entries that don't follow the snapshot are
// kept.
TEST(RaftDiskStorage, CrashWhileStoringASnapshot) {
  for (uint64_t last : {5, 30}) {
    for (int operations = 0; operations < kMaxOperations; ++operations) {
      FaultyFileSystem files(static_cast<uint64_t>(operations));
      {
        auto disk = Open(files);
        CHECK(disk->MakeStorageHooks().append_entries(old_state, Entries(1, last, 1)).has_value());
        files.CrashAfter(operations);
        (void)disk->MakeStorageHooks().save_snapshot({LogIndex(20), Term(3), membership, "state"},
                                                     new_state, {});
      }
      files.Crash();
      auto disk = Open(files);
      bool stored = disk->recovered_state().snapshot.index == LogIndex(20);
      LONGS_EQUAL(stored ? 0 : last, disk->recovered_state().entries.size());
      CHECK(stored || disk->recovered_state().hard_state == old_state);
      CHECK_FALSE(stored && disk->recovered_state().hard_state.term < Term(3));
      uint64_t next = stored ? 21 : last + 1;
      CHECK(disk->MakeStorageHooks()
                .append_entries(new_state, Entries(next, next + 2, 3))
                .has_value());
      disk.reset();
      files.Crash();
      disk = Open(files);
      CHECK(disk->recovered_state().hard_state == new_state);
      LONGS_EQUAL(stored ? 3 : last + 3, disk->recovered_state().entries.size());
      CHECK(disk->recovered_state().entries.back() == Entries(next + 2, next + 2, 3).back());
    }
  }
}

// Guards against a vote that is forgotten because the journal that held it was replaced.
TEST(RaftDiskStorage, SnapshotKeepsTheHardState) {
  FaultyFileSystem files(1);
  auto disk = Open(files);
  CHECK(disk->MakeStorageHooks().append_entries(new_state, Entries(1, 30, 3)).has_value());
  RaftSnapshot snapshot{LogIndex(20), Term(3), membership, "state"};
  CHECK(
      disk->MakeStorageHooks().save_snapshot(snapshot, new_state, Entries(21, 30, 3)).has_value());
  disk.reset();
  files.Crash();
  disk = Open(files);
  CHECK(disk->recovered_state().hard_state == new_state);
  LONGS_EQUAL(10, disk->recovered_state().entries.size());
}

// Guards against a start without the snapshot that the journal continues, and with a journal that
// lacks entries.
TEST(RaftDiskStorage, MissingSnapshotOrEntriesAreRefused) {
  FaultyFileSystem files(1);
  auto disk = Open(files);
  RaftSnapshot snapshot{LogIndex(20), Term(3), membership, "state"};
  CHECK(
      disk->MakeStorageHooks().save_snapshot(snapshot, new_state, Entries(21, 25, 3)).has_value());
  std::string content = files.Content("data/snapshot");
  files.Delete("data/snapshot");
  auto refused = RaftDiskStorage::Open(files.Hooks(), "data", membership);
  CHECK(!refused.has_value() && refused.error().code == ErrorCode::kCorrupted);
  files.SetContent("data/snapshot", content);
  CHECK(disk->MakeStorageHooks().append_entries(new_state, Entries(27, 28, 3)).has_value());
  refused = RaftDiskStorage::Open(files.Hooks(), "data", membership);
  CHECK(!refused.has_value() && refused.error().code == ErrorCode::kCorrupted);
}
