#pragma once

#include <string>
#include <vector>

#include "base/result.h"
#include "runs/target_report.h"
#include "storage/atomic_file.h"

namespace sapphirecrank::clusterhost {

/// File with the targets that an allocator knows, so that it needn't wait for their next heartbeats
/// after a restart. A stale entry does no harm: a target is used only after it has responded with
/// the same id and incarnation.
///
/// Thread safety: none.
class TargetFile {
 public:
  /// Precondition: `folder` exists.
  TargetFile(const storage::FileSystem& file_system, const std::string& folder);

  /// Replaces the saved targets. Errors: as `storage::AtomicFile::Save`.
  base::Result<void> Save(const std::vector<runs::TargetReport>& targets);

  /// Returns the saved targets; none if there is no file. Errors: as `storage::AtomicFile::Load`,
  /// and `kCorrupted` if the contents can't be decoded.
  base::Result<std::vector<runs::TargetReport>> Load() const;

 private:
  storage::AtomicFile file;
};

}  // namespace sapphirecrank::clusterhost
