#pragma once

namespace sapphirecrank::limits {

/// Why a failed attempt is not retried.
enum class RetryDenial {
  /// A retry could run the work twice.
  kUnsafe,
  /// A retry could not end before the deadline.
  kDeadline,
  /// The retry budget is used up.
  kBudget,
  /// The preset in force disables retries.
  kDisabled,
};

}  // namespace sapphirecrank::limits
