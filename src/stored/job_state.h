#pragma once

namespace sapphirecrank::stored {

/// The state of a stored job as its caller sees it.
enum class JobState {
  /// No such job is stored.
  kUnknown,
  /// No task has begun.
  kQueued,
  kRunning,
  /// All tasks have succeeded.
  kCompleted,
  /// A task has used up its attempts.
  kFailed,
  kCancelled,
};

}  // namespace sapphirecrank::stored
