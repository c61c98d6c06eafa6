#pragma once

#include "scheduling/task_links.h"
#include "scheduling/task_record.h"

namespace sapphirecrank::scheduling {

/// Intrusive first-in first-out list of tasks, linked through the member `Links`. All operations
/// take constant time. Thread safety: none; the owner holds its lock.
template <TaskLinks TaskRecord::*Links>
class TaskList {
 public:
  /// Returns the first task, or null.
  TaskRecord* front() const { return this->first; }

  /// Tells whether the list has no tasks.
  bool empty() const { return this->first == nullptr; }

  /// Appends a task. Precondition: the task is in no list through `Links`.
  void PushBack(TaskRecord& task) {
    (task.*Links).previous = this->last;
    (task.*Links).next = nullptr;
    if (this->last != nullptr) {
      (this->last->*Links).next = &task;
    } else {
      this->first = &task;
    }
    this->last = &task;
  }

  /// Removes a task. Precondition: the task is in this list.
  void Remove(TaskRecord& task) {
    const TaskLinks links = task.*Links;
    if (links.previous != nullptr) {
      (links.previous->*Links).next = links.next;
    } else {
      this->first = links.next;
    }
    if (links.next != nullptr) {
      (links.next->*Links).previous = links.previous;
    } else {
      this->last = links.previous;
    }
    task.*Links = TaskLinks();
  }

 private:
  TaskRecord* first = nullptr;
  TaskRecord* last = nullptr;
};

}  // namespace sapphirecrank::scheduling
