#pragma once

namespace sapphirecrank::limits {

/// Why a failed attempt is not tried again.
enum class RetryDenial {
  /// Another attempt could run it twice.
  kUnsafe,
  /// It could not end before the deadline.
  kDeadline,
  /// Retries have reached their share of real work.
  kBudget,
  /// The preset in force switches retries off.
  kSwitchedOff,
};

}  // namespace sapphirecrank::limits
