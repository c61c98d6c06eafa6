#pragma once

#include <string>

namespace sapphirecrank::testing {

/// A new folder under /tmp; the destructor removes it with its contents.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();

  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  /// Returns the folder's absolute path.
  const std::string& Path() const { return this->path; }

 private:
  std::string path;
};

}  // namespace sapphirecrank::testing
