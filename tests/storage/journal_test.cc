#include "storage/journal.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <optional>

#include "tests/storage/faulty_file_system.h"

using sapphirecrank::base::ByteCount;
using sapphirecrank::base::ErrorCode;
using sapphirecrank::base::Result;
using sapphirecrank::storage::FaultyFileSystem;
using sapphirecrank::storage::Journal;
using sapphirecrank::storage::JournalRecord;

namespace {

constexpr char kSegment1[] = "data/journal-00000000000000000001.log";
constexpr char kSegment2[] = "data/journal-00000000000000000002.log";
constexpr size_t kSegmentHeaderBytes = 28;

// Opens the journal and returns what it holds, or the error.
Result<std::unique_ptr<Journal>> OpenJournal(FaultyFileSystem& files,
                                             std::vector<std::string>* found,
                                             int64_t segment_bytes = 1 << 20) {
  found->clear();
  Journal::Options options{"data", ByteCount(segment_bytes)};
  return Journal::Open(files.Hooks(), options,
                       [found](const JournalRecord& record) { found->push_back(record.payload); });
}

std::vector<JournalRecord> Batch(const std::vector<std::string>& payloads) {
  std::vector<JournalRecord> records;
  records.reserve(payloads.size());
  for (const std::string& payload : payloads) {
    records.push_back({1, payload});
  }
  return records;
}

}  // namespace

TEST_GROUP(Journal) {
  FaultyFileSystem files{1};
  std::vector<std::string> found;
};

// Guards against a group commit that pays a sync for each record.
TEST(Journal, BatchIsSyncedOnce) {
  auto journal = OpenJournal(files, &found);
  int before = files.syncs();
  CHECK((*journal)->Append(Batch({"a", "b", "c"})).has_value());
  LONGS_EQUAL(before + 1, files.syncs());
  files.Crash();
  CHECK(OpenJournal(files, &found).has_value());
  LONGS_EQUAL(3, found.size());
}

// Guards against a second sync that reports success after the kernel has dropped the data.
TEST(Journal, FailedSyncIsFinal) {
  auto journal = OpenJournal(files, &found);
  files.FailNextSync();
  CHECK_FALSE((*journal)->Append(Batch({"a"})).has_value());
  CHECK_FALSE((*journal)->Append(Batch({"b"})).has_value());
  CHECK((*journal)->failed());
}

// Guards against records that follow a partly written one on a full disk and are lost with it.
TEST(Journal, FullDiskIsFinalAndKeepsEarlierRecords) {
  auto journal = OpenJournal(files, &found);
  CHECK((*journal)->Append(Batch({"a"})).has_value());
  files.LimitSpace(10);
  CHECK_FALSE((*journal)->Append(Batch({"b"})).has_value());
  files.LimitSpace(-1);
  CHECK_FALSE((*journal)->Append(Batch({"c"})).has_value());
  files.Crash();
  CHECK(OpenJournal(files, &found).has_value());
  CHECK((std::vector<std::string>{"a"} == found));
}

// Guards against reading a damaged record, or silently dropping acknowledged ones after it.
TEST(Journal, DamageBeforeTheTailIsRefusedWithFileAndOffset) {
  auto journal = OpenJournal(files, &found);
  CHECK((*journal)->Append(Batch({"first"})).has_value());
  CHECK((*journal)->Append(Batch({"second"})).has_value());
  std::string content = files.Content(kSegment1);
  for (size_t offset = 0; offset < content.find("second") - 32; ++offset) {
    files.SetContent(kSegment1, content);
    files.Damage(kSegment1, offset);
    auto reopened = OpenJournal(files, &found);
    CHECK_FALSE(reopened.has_value());
    CHECK(reopened.error().code == ErrorCode::kCorrupted);
    std::string place = offset < kSegmentHeaderBytes ? "offset 0" : "offset 28";
    CHECK(reopened.error().message.find(kSegment1) != std::string::npos);
    CHECK(reopened.error().message.find(place) != std::string::npos);
  }
}

// Guards against a process that can't start after a crash in the middle of a write.
TEST(Journal, TornTailIsCutAndWritingGoesOn) {
  auto journal = OpenJournal(files, &found);
  CHECK((*journal)->Append(Batch({"first"})).has_value());
  size_t size = files.Content(kSegment1).size();
  CHECK((*journal)->Append(Batch({"second"})).has_value());
  std::string content = files.Content(kSegment1);
  for (size_t cut = size; cut < content.size(); ++cut) {
    files.SetContent(kSegment1, content.substr(0, cut));
    auto reopened = OpenJournal(files, &found);
    CHECK(reopened.has_value());
    CHECK((std::vector<std::string>{"first"} == found));
    CHECK((*reopened)->Append(Batch({"third"})).has_value());
    CHECK(OpenJournal(files, &found).has_value());
    CHECK((std::vector<std::string>{"first", "third"} == found));
  }
}

// Guards against a lost segment that goes unnoticed, and against a newer format read as this one.
TEST(Journal, MissingSegmentAndUnknownFormatAreRefused) {
  auto journal = OpenJournal(files, &found, 1);
  for (const char* payload : {"a", "b", "c"}) {
    CHECK((*journal)->Append(Batch({payload})).has_value());
  }
  std::string content = files.Content(kSegment2);
  files.Delete(kSegment2);
  CHECK_FALSE(OpenJournal(files, &found).has_value());
  constexpr size_t kVersionOffset = 8;
  content[kVersionOffset] = 2;
  files.SetContent(kSegment2, content);
  CHECK_FALSE(OpenJournal(files, &found).has_value());
}

// Guards against a crash at any operation that loses an acknowledged batch, keeps a part of one, or
// leaves files that can't be opened.
TEST(Journal, CrashAtEachOperationKeepsAcknowledgedBatches) {
  bool holds = rc::check("acknowledged batches survive", [] {
    FaultyFileSystem disk(*rc::gen::arbitrary<uint64_t>());
    std::vector<std::string> expected;
    std::vector<std::string> found;
    int next = 0;
    for (int restart = 0; restart < 4; ++restart) {
      auto journal = OpenJournal(disk, &found, 150);
      RC_ASSERT(journal.has_value());
      RC_ASSERT(found == expected);
      disk.CrashAfter(*rc::gen::inRange(0, 25));
      std::vector<std::string> attempted;
      bool start_over = false;
      while (!disk.crashed()) {
        attempted = {std::to_string(next), std::to_string(next + 1)};
        next += 2;
        start_over = *rc::gen::inRange(0, 4) == 0;
        auto outcome = start_over ? (*journal)->ReplaceRecords(Batch(attempted))
                                  : (*journal)->Append(Batch(attempted));
        if (outcome && start_over) {
          expected.clear();
        }
        if (outcome) {
          expected.insert(expected.end(), attempted.begin(), attempted.end());
        }
      }
      disk.Crash();
      auto reopened = OpenJournal(disk, &found, 150);
      RC_ASSERT(reopened.has_value());
      // The batch that was being written may be there whole; a new start may have removed some of
      // what was before it.
      std::vector<std::string> whole = expected;
      whole.insert(whole.end(), attempted.begin(), attempted.end());
      bool suffix =
          found.size() <= whole.size() && std::equal(found.rbegin(), found.rend(), whole.rbegin());
      RC_ASSERT(found == expected || found == whole ||
                (start_over && suffix && found.size() >= attempted.size()));
      expected = found;
    }
  });
  CHECK(holds);
}
