#include "tests/support/temporary_folder.h"

#include <stdlib.h>

#include <filesystem>

namespace sapphirecrank::testing {

TemporaryFolder::TemporaryFolder() : path("/tmp/sapphirecrank-test-XXXXXX") {
  if (mkdtemp(this->path.data()) == nullptr) {
    std::abort();
  }
}

TemporaryFolder::~TemporaryFolder() { std::filesystem::remove_all(this->path); }

}  // namespace sapphirecrank::testing
