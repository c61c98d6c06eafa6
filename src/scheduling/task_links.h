#pragma once

namespace sapphirecrank::scheduling {

struct TaskRecord;

/// Neighbours of a task in one list; null at the ends.
struct TaskLinks {
  TaskRecord* previous = nullptr;
  TaskRecord* next = nullptr;
};

}  // namespace sapphirecrank::scheduling
