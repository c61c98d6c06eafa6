#pragma once

#include <functional>

#include "base/ids.h"

namespace sapphirecrank::base {

/// Identifies a task by its submission and its index.
struct TaskKey {
  SubmissionId submission;
  TaskIndex index;

  friend bool operator==(const TaskKey& a, const TaskKey& b) {
    return a.index == b.index && a.submission == b.submission;
  }
  friend bool operator!=(const TaskKey& a, const TaskKey& b) { return !(a == b); }
  friend bool operator<(const TaskKey& a, const TaskKey& b) {
    return a.submission == b.submission ? a.index < b.index : a.submission < b.submission;
  }
};

}  // namespace sapphirecrank::base

template <>
struct std::hash<sapphirecrank::base::TaskKey> {
  size_t operator()(const sapphirecrank::base::TaskKey& key) const {
    constexpr size_t kMultiplier = 0x9e3779b97f4a7c15;
    return std::hash<sapphirecrank::base::SubmissionId>()(key.submission) ^
           (key.index.value() * kMultiplier);
  }
};
