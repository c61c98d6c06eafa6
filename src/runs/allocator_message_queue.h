#pragma once

#include <variant>
#include <vector>

#include "runs/batch_result.h"
#include "runs/returned_tasks.h"
#include "runs/run_event.h"
#include "runs/scheduler_actions.h"

namespace sapphirecrank::runs {

/// Messages about batches to gateways and to the stored job manager, in the order in which the
/// scheduler has decided them.
///
/// Tasks can be returned by one thread, and the rest of their batch can end on another one. A
/// gateway that gets the result first would take the returned tasks for done. One thread at a time
/// delivers messages, without a lock, also those that other threads add meanwhile. Thread safety:
/// none.
class AllocatorMessageQueue {
 public:
  using Message = std::variant<std::vector<RunEvent>, ReturnedTasks, BatchResult>;

  /// Adds the messages in `actions`: run events first, then returned tasks and results. Returns
  /// whether there were any.
  bool Add(const SchedulerActions& actions);

  /// Returns the messages that the caller has to deliver, in this order. It has to call
  /// `ContinueDelivery` then. Returns none while another caller delivers.
  std::vector<Message> BeginDelivery();

  /// Returns further messages for the caller that delivers. If there are none, the delivery ends.
  std::vector<Message> ContinueDelivery();

 private:
  std::vector<Message> messages;
  bool is_delivering = false;
};

}  // namespace sapphirecrank::runs
