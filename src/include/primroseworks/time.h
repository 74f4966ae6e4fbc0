// Time types. Functions that decide take the present time as their argument
// `Now`, so that tests and the bench can pass any time.
#ifndef PRIMROSEWORKS_TIME_H
#define PRIMROSEWORKS_TIME_H

#include <chrono>

namespace primroseworks {

/// Monotonic time: deadlines, intervals, rates.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/// Calendar time in milliseconds since 1970: retention of stored records.
using WallMillis = std::chrono::duration<long long, std::milli>;

/// Length of Interval in seconds, with fractions.
inline double toSeconds(Duration Interval) {
  return std::chrono::duration<double>(Interval).count();
}

/// Length of Interval in milliseconds, with fractions.
inline double toMillis(Duration Interval) {
  return std::chrono::duration<double, std::milli>(Interval).count();
}

/// Interval from a number of seconds.
inline Duration fromSeconds(double Value) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Value));
}

} // namespace primroseworks

#endif
