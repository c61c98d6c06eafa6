#pragma once

namespace sapphirecrank::stored {

/// A stored job as its caller sees it.
enum class JobState {
  /// No such job is stored.
  kUnknown,
  /// No task has begun.
  kQueued,
  kRunning,
  /// All tasks are done.
  kCompleted,
  /// A task has failed as often as it may.
  kFailed,
  kCancelled,
};

}  // namespace sapphirecrank::stored
