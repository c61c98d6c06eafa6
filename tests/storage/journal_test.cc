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

// Opens the journal, stores the payloads of its records in `read_payloads` and returns the journal
// or the error.
Result<std::unique_ptr<Journal>> OpenJournal(FaultyFileSystem& files,
                                             std::vector<std::string>* read_payloads,
                                             int64_t segment_bytes = 1 << 20) {
  read_payloads->clear();
  Journal::Options options{"data", ByteCount(segment_bytes)};
  return Journal::Open(
      files.MakeFileSystem(), options,
      [read_payloads](const JournalRecord& record) { read_payloads->push_back(record.payload); });
}

std::vector<JournalRecord> MakeBatch(const std::vector<std::string>& payloads) {
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
  std::vector<std::string> read_payloads;
};

// Guards against a batch that costs a sync for each record.
TEST(Journal, BatchIsSyncedOnce) {
  auto journal = OpenJournal(files, &read_payloads);
  int before = files.sync_count();
  CHECK((*journal)->Append(MakeBatch({"a", "b", "c"})).has_value());
  LONGS_EQUAL(before + 1, files.sync_count());
  files.Crash();
  CHECK(OpenJournal(files, &read_payloads).has_value());
  LONGS_EQUAL(3, read_payloads.size());
}

// Guards against an append that succeeds after a failed sync: the kernel may have dropped the data
// of the failed sync, and the next sync reports success nevertheless.
TEST(Journal, FailedSyncIsFinal) {
  auto journal = OpenJournal(files, &read_payloads);
  files.FailNextSync();
  CHECK_FALSE((*journal)->Append(MakeBatch({"a"})).has_value());
  CHECK_FALSE((*journal)->Append(MakeBatch({"b"})).has_value());
  CHECK((*journal)->failed());
}

// Guards against records that are appended after a partly written one on a full disk: reading stops
// at the incomplete record and would lose them.
TEST(Journal, FullDiskIsFinalAndKeepsEarlierRecords) {
  auto journal = OpenJournal(files, &read_payloads);
  CHECK((*journal)->Append(MakeBatch({"a"})).has_value());
  files.LimitSpace(10);
  CHECK_FALSE((*journal)->Append(MakeBatch({"b"})).has_value());
  files.LimitSpace(-1);
  CHECK_FALSE((*journal)->Append(MakeBatch({"c"})).has_value());
  files.Crash();
  CHECK(OpenJournal(files, &read_payloads).has_value());
  CHECK((std::vector<std::string>{"a"} == read_payloads));
}

// Guards against a corrupted record that is read as valid, and against durable records after it
// that are dropped silently.
TEST(Journal, CorruptionBeforeTheTailIsReportedWithFileAndOffset) {
  auto journal = OpenJournal(files, &read_payloads);
  CHECK((*journal)->Append(MakeBatch({"first"})).has_value());
  CHECK((*journal)->Append(MakeBatch({"second"})).has_value());
  std::string content = files.Content(kSegment1);
  // Ends where the frame of the last record begins: before its frame header of 24 bytes and its
  // record header of 8 bytes.
  for (size_t offset = 0; offset < content.find("second") - 32; ++offset) {
    files.SetContent(kSegment1, content);
    files.FlipBit(kSegment1, offset);
    auto reopened = OpenJournal(files, &read_payloads);
    CHECK_FALSE(reopened.has_value());
    CHECK(reopened.error().code == ErrorCode::kCorrupted);
    std::string expected_offset = offset < kSegmentHeaderBytes ? "offset 0" : "offset 28";
    CHECK(reopened.error().message.find(kSegment1) != std::string::npos);
    CHECK(reopened.error().message.find(expected_offset) != std::string::npos);
  }
}

// Guards against a journal that can't be opened after a crash in the middle of a write.
TEST(Journal, TornTailIsTruncatedAndAppendsContinue) {
  auto journal = OpenJournal(files, &read_payloads);
  CHECK((*journal)->Append(MakeBatch({"first"})).has_value());
  size_t size = files.Content(kSegment1).size();
  CHECK((*journal)->Append(MakeBatch({"second"})).has_value());
  std::string content = files.Content(kSegment1);
  for (size_t size_after_crash = size; size_after_crash < content.size(); ++size_after_crash) {
    files.SetContent(kSegment1, content.substr(0, size_after_crash));
    auto reopened = OpenJournal(files, &read_payloads);
    CHECK(reopened.has_value());
    CHECK((std::vector<std::string>{"first"} == read_payloads));
    CHECK((*reopened)->Append(MakeBatch({"third"})).has_value());
    CHECK(OpenJournal(files, &read_payloads).has_value());
    CHECK((std::vector<std::string>{"first", "third"} == read_payloads));
  }
}

// Guards against a missing segment that goes unnoticed, and against a newer format version that is
// read as the current one.
TEST(Journal, MissingSegmentAndUnknownFormatVersionAreRejected) {
  auto journal = OpenJournal(files, &read_payloads, 1);
  for (const char* payload : {"a", "b", "c"}) {
    CHECK((*journal)->Append(MakeBatch({payload})).has_value());
  }
  std::string content = files.Content(kSegment2);
  files.Delete(kSegment2);
  CHECK_FALSE(OpenJournal(files, &read_payloads).has_value());
  constexpr size_t kVersionOffset = 8;
  content[kVersionOffset] = 2;
  files.SetContent(kSegment2, content);
  CHECK_FALSE(OpenJournal(files, &read_payloads).has_value());
}

// Guards against a crash at any file operation that loses an acknowledged batch, keeps only a part
// of a batch, or leaves files that can't be opened.
TEST(Journal, CrashAtEachOperationKeepsAcknowledgedBatches) {
  bool holds = rc::check("acknowledged batches survive", [] {
    FaultyFileSystem disk(*rc::gen::arbitrary<uint64_t>());
    std::vector<std::string> expected;
    std::vector<std::string> read_payloads;
    int next_payload = 0;
    for (int restart = 0; restart < 4; ++restart) {
      auto journal = OpenJournal(disk, &read_payloads, 150);
      RC_ASSERT(journal.has_value());
      RC_ASSERT(read_payloads == expected);
      disk.CrashAfter(*rc::gen::inRange(0, 25));
      std::vector<std::string> attempted;
      bool replaces_records = false;
      while (!disk.crashed()) {
        attempted = {std::to_string(next_payload), std::to_string(next_payload + 1)};
        next_payload += 2;
        replaces_records = *rc::gen::inRange(0, 4) == 0;
        auto result = replaces_records ? (*journal)->ReplaceRecords(MakeBatch(attempted))
                                       : (*journal)->Append(MakeBatch(attempted));
        if (result && replaces_records) {
          expected.clear();
        }
        if (result) {
          expected.insert(expected.end(), attempted.begin(), attempted.end());
        }
      }
      disk.Crash();
      auto reopened = OpenJournal(disk, &read_payloads, 150);
      RC_ASSERT(reopened.has_value());
      // The last batch that was attempted may be complete. If it replaced all records, some of the
      // older segments may have been removed already.
      std::vector<std::string> with_last_attempt = expected;
      with_last_attempt.insert(with_last_attempt.end(), attempted.begin(), attempted.end());
      bool is_suffix =
          read_payloads.size() <= with_last_attempt.size() &&
          std::equal(read_payloads.rbegin(), read_payloads.rend(), with_last_attempt.rbegin());
      RC_ASSERT(read_payloads == expected || read_payloads == with_last_attempt ||
                (replaces_records && is_suffix && read_payloads.size() >= attempted.size()));
      expected = read_payloads;
    }
  });
  CHECK(holds);
}
