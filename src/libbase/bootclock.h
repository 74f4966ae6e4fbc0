// Clock of leases, credits and promises between processes.
#ifndef PRIMROSEWORKS_LIBBASE_BOOTCLOCK_H
#define PRIMROSEWORKS_LIBBASE_BOOTCLOCK_H

#include "primroseworks/time.h"

namespace primroseworks {

/// Clock that also advances while the VM is suspended, unlike the steady clock.
/// The validity of leases is measured with it.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static time_point now();
};
using BootTime = BootClock::time_point;

} // namespace primroseworks

#endif
