#include "storage/atomic_file.h"

#include <CppUTest/TestHarness.h>

#include "tests/storage/faulty_file_system.h"

using sapphirecrank::base::ErrorCode;
using sapphirecrank::storage::AtomicFile;
using sapphirecrank::storage::FaultyFileSystem;

TEST_GROUP(AtomicFile){};

// Guards against a crash at any file operation that leaves neither the old nor the new value.
TEST(AtomicFile, CrashKeepsOldOrNewValue) {
  for (uint64_t seed = 0; seed < 20; ++seed) {
    for (int operations_until_crash = 0; operations_until_crash < 8; ++operations_until_crash) {
      FaultyFileSystem files(seed);
      AtomicFile before_crash(files.MakeFileSystem(), "data", "snapshot");
      CHECK(before_crash.Save("old").has_value());
      files.CrashAfter(operations_until_crash);
      bool saved = before_crash.Save("new").has_value();
      files.Crash();
      AtomicFile after_crash(files.MakeFileSystem(), "data", "snapshot");
      auto loaded = after_crash.Load();
      CHECK(loaded.has_value() && loaded->has_value());
      CHECK(**loaded == "new" || (!saved && **loaded == "old"));
      CHECK(after_crash.Save("newer").has_value());
      CHECK(**after_crash.Load() == "newer");
    }
  }
}

// Guards against a snapshot with a flipped bit that is loaded as valid.
TEST(AtomicFile, CorruptionIsDetected) {
  FaultyFileSystem files(1);
  AtomicFile file(files.MakeFileSystem(), "data", "snapshot");
  CHECK(file.Save("some value").has_value());
  std::string content = files.Content("data/snapshot");
  for (size_t offset = 0; offset < content.size(); ++offset) {
    files.SetContent("data/snapshot", content);
    files.FlipBit("data/snapshot", offset);
    auto loaded = file.Load();
    CHECK_FALSE(loaded.has_value());
    CHECK(loaded.error().code == ErrorCode::kCorrupted);
  }
}
