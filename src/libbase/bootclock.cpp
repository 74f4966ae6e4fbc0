// Reads the boot-time clock of the system.
#include "libbase/bootclock.h"

#include <ctime>

namespace primroseworks {

BootTime BootClock::now() {
  timespec T{};
  clock_gettime(CLOCK_BOOTTIME, &T);
  return BootTime(std::chrono::seconds(T.tv_sec) +
                  std::chrono::nanoseconds(T.tv_nsec));
}

} // namespace primroseworks
