#pragma once

#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "gateway/job.h"
#include "stored/task_outcome.h"

namespace sapphirecrank::stored {

/// A change of the stored jobs, as the group's log holds it.
struct JobCommand {
  struct Submit {
    gateway::Job job;
  };
  struct RecordOutcomes {
    std::vector<TaskOutcome> outcomes;
  };
  struct Cancel {
    base::SubmissionId id;
  };
  /// Drops the records of jobs that have ended.
  struct RemoveRecords {
    std::vector<base::SubmissionId> ids;
  };

  std::variant<Submit, RecordOutcomes, Cancel, RemoveRecords> change;

  /// Returns the bytes for the log. Thread safety: pure.
  std::string Encode() const;

  /// Error: `kInvalidArgument` if the bytes hold no command. Thread safety: pure.
  static base::Result<JobCommand> Decode(const std::string& bytes);
};

}  // namespace sapphirecrank::stored
