#pragma once

#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "gateway/job.h"
#include "stored/task_outcome.h"

namespace sapphirecrank::stored {

/// A command to the replicated `JobStateMachine`, as the group's log holds it.
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
  /// For each task, all runs with lower numbers are superseded. Must be committed before a task is
  /// started again, because a later leader has no other record of it.
  struct SupersedeRuns {
    std::vector<runs::RunKey> lowest_valid_runs;
  };
  /// Removes the records of jobs that have ended. Open jobs are kept.
  struct RemoveRecords {
    std::vector<base::SubmissionId> ids;
  };

  std::variant<Submit, RecordOutcomes, Cancel, RemoveRecords, SupersedeRuns> change;

  /// Returns the encoding for the log. Thread safety: pure.
  std::string Encode() const;

  /// Decodes a command. Error: `kInvalidArgument` if the bytes aren't a valid command. Thread
  /// safety: pure.
  static base::Result<JobCommand> Decode(const std::string& bytes);
};

}  // namespace sapphirecrank::stored
