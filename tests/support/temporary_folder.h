#pragma once

#include <string>

namespace sapphirecrank::testing {

/// An empty folder that is removed with this object.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();

  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  /// Returns the folder's name.
  const std::string& Path() const { return this->path; }

 private:
  std::string path;
};

}  // namespace sapphirecrank::testing
