#pragma once

namespace sapphirecrank::scheduling {

struct TaskRecord;

/// Links to the neighbours of a task in a `TaskList`; null at the ends.
struct TaskLinks {
  TaskRecord* previous = nullptr;
  TaskRecord* next = nullptr;
};

}  // namespace sapphirecrank::scheduling
