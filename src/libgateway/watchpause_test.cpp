// Tests of the times of watch calls to the metadata store.
#include "libgateway/watchpause.h"

#include <gtest/gtest.h>

using namespace primroseworks;
using namespace primroseworks::gateway;

namespace {

constexpr Milliseconds ChangeLimit{4000};
constexpr unsigned MaxCallsPerSecond = 100;

/// Watch calls per second of a fleet whose state changes continuously.
double watchesPerSecond(unsigned Members) {
  double Sum = 0;
  for (unsigned I = 0; I < Members; ++I)
    Sum += 1 / toSeconds(watchPause(Members, I == 0, ChangeLimit));
  return Sum;
}

} // namespace

// Load pattern: models are moved continuously, so every watch call returns
// immediately. Guards against a call rate that grows with the size of the
// fleet.
TEST(WatchPause, ContinuousChangesCauseFewCalls) {
  for (const unsigned Members : {1U, 9U, 30U, 88U})
    EXPECT_LE(watchesPerSecond(Members), MaxCallsPerSecond) << Members;
  // At the target size of 400 daemons the store allows about 2,000 reads per
  // second.
  EXPECT_LE(watchesPerSecond(400), 400);
}

// Guards against a configuration that takes effect too late because of the
// pause.
TEST(WatchPause, LeavesMostOfTheTimeUntilAChangeMustBeInEffect) {
  for (const unsigned Members : {1U, 9U, 88U, 400U})
    EXPECT_LE(watchPause(Members, false, ChangeLimit),
              Duration(ChangeLimit) / 2)
        << Members;
  EXPECT_EQ(watchPause(400, true, ChangeLimit), Duration(MinWatchPause));
}

// Guards against a configuration that takes effect too late because the
// response to a watch was lost.
TEST(WatchWait, OneLostResponseKeepsTheLimit) {
  for (const Milliseconds Limit :
       {Milliseconds(2000), Milliseconds(2500), ChangeLimit})
    for (const unsigned Members : {1U, 9U, 11U, 88U, 400U})
      for (const bool IsLeader : {false, true}) {
        const Duration Pause = watchPause(Members, IsLeader, Limit);
        const Duration LostCall = watchWait(Pause, Limit) + WatchResponseMargin;
        EXPECT_LE(Pause + LostCall + MinStoreBackoff + FollowingCallTime, Limit)
            << Members << " gateways, limit " << Limit.count();
      }
}

// Guards against complete lists that take up a VM's control traffic when the
// configuration has 100,000 keys.
TEST(RelistInterval, GrowsWithTheConfiguration) {
  EXPECT_EQ(relistInterval(130'000), Duration(MinRelistInterval));
  EXPECT_EQ(relistInterval(6'000'000), Duration(Seconds(2000)));
}
