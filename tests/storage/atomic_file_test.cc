#include "storage/atomic_file.h"

#include <CppUTest/TestHarness.h>

#include "tests/storage/faulty_file_system.h"

using sapphirecrank::base::ErrorCode;
using sapphirecrank::storage::AtomicFile;
using sapphirecrank::storage::FaultyFileSystem;

TEST_GROUP(AtomicFile){};

// Guards against a crash at any operation that leaves neither the old nor the new value.
TEST(AtomicFile, CrashKeepsOldOrNewValue) {
  for (uint64_t seed = 0; seed < 20; ++seed) {
    for (int operations = 0; operations < 8; ++operations) {
      FaultyFileSystem files(seed);
      AtomicFile first(files.Hooks(), "data", "snapshot");
      CHECK(first.Save("old").has_value());
      files.CrashAfter(operations);
      bool saved = first.Save("new").has_value();
      files.Crash();
      AtomicFile second(files.Hooks(), "data", "snapshot");
      auto loaded = second.Load();
      CHECK(loaded.has_value() && loaded->has_value());
      CHECK(**loaded == "new" || (!saved && **loaded == "old"));
      CHECK(second.Save("newer").has_value());
      CHECK(**second.Load() == "newer");
    }
  }
}

// Guards against a damaged snapshot that is taken for a good one.
TEST(AtomicFile, DamageIsRefused) {
  FaultyFileSystem files(1);
  AtomicFile file(files.Hooks(), "data", "snapshot");
  CHECK(file.Save("some value").has_value());
  std::string content = files.Content("data/snapshot");
  for (size_t offset = 0; offset < content.size(); ++offset) {
    files.SetContent("data/snapshot", content);
    files.Damage("data/snapshot", offset);
    auto loaded = file.Load();
    CHECK_FALSE(loaded.has_value());
    CHECK(loaded.error().code == ErrorCode::kCorrupted);
  }
}
