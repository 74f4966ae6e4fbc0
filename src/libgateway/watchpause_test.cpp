// Tests of the pause between watches of the store.
#include "libgateway/watchpause.h"

#include <gtest/gtest.h>

using namespace primroseworks;
using namespace primroseworks::gateway;

namespace {

constexpr Milliseconds ChangeLimit{4000};
constexpr unsigned CallsPerSecondLimit = 100;

/// Watches a second of a fleet in which a change comes at every moment.
double watchesPerSecond(unsigned Members) {
  double Sum = 0;
  for (unsigned I = 0; I < Members; ++I)
    Sum += 1 / toSeconds(watchPause(Members, I == 0, ChangeLimit));
  return Sum;
}

} // namespace

// Load pattern: models move all the time, so that every watch returns at once.
// Guards against calls that grow with the size of the fleet.
TEST(WatchPause, AFleetThatChangesAllTheTimeMakesFewCalls) {
  for (const unsigned Members : {1U, 9U, 30U, 88U})
    EXPECT_LE(watchesPerSecond(Members), CallsPerSecondLimit) << Members;
  // At the target of 400 daemons the store gives about 2,000 reads a second.
  EXPECT_LE(watchesPerSecond(400), 400);
}

// Guards against a configuration that is late because of the pause.
TEST(WatchPause, LeavesMostOfTheTimeThatAChangeHas) {
  for (const unsigned Members : {1U, 9U, 88U, 400U})
    EXPECT_LE(watchPause(Members, false, ChangeLimit),
              Duration(ChangeLimit) / 2)
        << Members;
  EXPECT_EQ(watchPause(400, true, ChangeLimit), Duration(WatchPauseMin));
}
