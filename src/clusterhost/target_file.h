#pragma once

#include <string>
#include <vector>

#include "base/result.h"
#include "runs/target_report.h"
#include "storage/atomic_file.h"

namespace sapphirecrank::clusterhost {

/// The targets that an allocator knew, so that after a restart it needs not wait for their next
/// heartbeats. A stale entry does no harm: a target is used only after it has answered under the
/// same id and start.
///
/// Thread safety: none.
class TargetFile {
 public:
  /// The file is in `folder`, which exists.
  TargetFile(const storage::FileSystem& files, const std::string& folder);

  /// Replaces the list. Errors: as `storage::AtomicFile::Save`.
  base::Result<void> Save(const std::vector<runs::TargetReport>& targets);

  /// Returns the list, empty if there is none. Errors: as `storage::AtomicFile::Load`.
  base::Result<std::vector<runs::TargetReport>> Load() const;

 private:
  storage::AtomicFile file;
};

}  // namespace sapphirecrank::clusterhost
