#include "configuration/secret_file.h"

#include <CppUTest/TestHarness.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstdlib>
#include <string>

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using configuration::ReadSecretFile;

TEST_GROUP(SecretFile) {
  void setup() override {
    char name[] = "/tmp/sapphirecrank-secret-XXXXXX";
    const int descriptor = mkstemp(name);
    LONGS_EQUAL(6, write(descriptor, "secret", 6));
    close(descriptor);
    this->path = name;
  }
  void teardown() override { unlink(this->path.c_str()); }

  std::string path;
};

// Guards against a secret that other users of the machine can read or replace.
TEST(SecretFile, FilesAccessibleByGroupOrOthersAreRejected) {
  for (const mode_t mode : {0640U, 0604U, 0620U, 0601U}) {
    chmod(this->path.c_str(), mode);
    const auto text = ReadSecretFile(this->path);
    CHECK_FALSE(text.has_value());
    CHECK(text.error().code == base::ErrorCode::kPermissionDenied);
    CHECK(text.error().message.find(this->path) != std::string::npos);
  }
  chmod(this->path.c_str(), 0600);
  STRCMP_EQUAL("secret", ReadSecretFile(this->path)->c_str());
}

// Guards against an empty secret, and against a process that hangs at its start because it waits
// for the writer of a named pipe.
TEST(SecretFile, EmptyMissingAndSpecialFilesAreRejected) {
  LONGS_EQUAL(0, truncate(this->path.c_str(), 0));
  CHECK_FALSE(ReadSecretFile(this->path).has_value());
  unlink(this->path.c_str());
  CHECK(ReadSecretFile(this->path).error().code == base::ErrorCode::kNotFound);
  LONGS_EQUAL(0, mkfifo(this->path.c_str(), 0600));
  CHECK_FALSE(ReadSecretFile(this->path).has_value());
}
