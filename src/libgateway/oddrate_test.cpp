// Tests of the load limiter with rates that no weight store has.
#include "libgateway/placement.h"

#include <gtest/gtest.h>

using namespace primroseworks;
using namespace primroseworks::gateway;

// Guards against a leader that loads no model any more after the configuration
// contained a negative rate for a while.
TEST(LoadLimiter, NegativeRateLeavesNoDebt) {
  TimePoint Now = TimePoint() + Seconds(100);
  for (const double Rate : {-1000.0, -1e308}) {
    LoadLimiter Limiter(1, 2);
    EXPECT_EQ(Limiter.available(Now), 1U);
    Limiter.setRate(Rate);
    Now += Seconds(20);
    EXPECT_EQ(Limiter.available(Now), 0U);
    Limiter.setRate(1);
    Now += Seconds(2);
    EXPECT_EQ(Limiter.available(Now), 2U) << Rate;
  }
}
