#include "storage/group_commit.h"

#include <CppUTest/TestHarness.h>
#include <stdlib.h>

#include <atomic>
#include <filesystem>
#include <thread>

#include "storage/posix_file_system.h"

using sapphirecrank::base::Result;
using sapphirecrank::storage::GroupCommit;
using sapphirecrank::storage::Journal;
using sapphirecrank::storage::JournalRecord;
using sapphirecrank::storage::MakePosixFileSystem;

TEST_GROUP(GroupCommit) {
  std::string directory;
  void setup() override {
    char name[] = "/tmp/sapphirecrank-test-XXXXXX";
    directory = mkdtemp(name);
  }
  void teardown() override { std::filesystem::remove_all(directory); }
};

// Guards against records of concurrent threads that are lost or whose callback isn't called. Uses
// real files.
TEST(GroupCommit, ConcurrentRecordsAreAllDurable) {
  constexpr int kThreads = 4;
  constexpr int kRecords = 50;
  Journal::Options options;
  options.directory = directory;
  std::atomic<int> durable_count{0};
  {
    auto journal = Journal::Open(MakePosixFileSystem(), options, [](const JournalRecord&) {});
    CHECK(journal.has_value());
    GroupCommit commit("journal", std::move(*journal));
    std::vector<std::thread> threads;
    threads.reserve(kThreads);
    for (int i = 0; i < kThreads; ++i) {
      threads.emplace_back([&] {
        for (int k = 0; k < kRecords; ++k) {
          commit.AppendAsync({1, "record"},
                             [&](const Result<void>& result) { durable_count += result ? 1 : 0; });
        }
      });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
  }
  LONGS_EQUAL(kThreads * kRecords, durable_count.load());
  int read_count = 0;
  auto journal =
      Journal::Open(MakePosixFileSystem(), options, [&](const JournalRecord&) { ++read_count; });
  CHECK(journal.has_value());
  LONGS_EQUAL(kThreads * kRecords, read_count);
}
