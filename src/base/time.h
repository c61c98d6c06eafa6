#pragma once

#include <chrono>
#include <functional>

namespace sapphirecrank::base {

using Duration = std::chrono::nanoseconds;
/// Monotonic time of this machine; it has no meaning on another machine.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
/// Returns the current time. Must be safe to call from any thread.
using Clock = std::function<TimePoint()>;
/// Time of day in UTC, for operators only: it may jump, and it differs between machines.
using TimeOfDay = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// Returns the machine's clock. It includes the time for which the machine was suspended, because
/// leases and time limits that other machines measure continue meanwhile.
Clock SteadyClock();

}  // namespace sapphirecrank::base
