// Tests of the time after which a rejected caller comes back.
#include "libgateway/retryafter.h"

#include <gtest/gtest.h>

using namespace primroseworks;
using namespace primroseworks::gateway;

// Load pattern: 100 requests of 15 s are rejected at one moment by processes
// that have just started, and the store stays away for 2 s more. Guards
// against returns that all meet the same outage.
TEST(RetryAfter, MostCallersReturnAfterAnOutageOfSeconds) {
  constexpr int Callers = 100;
  int AfterOutage = 0;
  int InSameTenth = 0;
  Duration Last{};
  for (int I = 0; I < Callers; ++I) {
    Rejection R;
    R.m_timeLeft = Seconds(15);
    R.m_random = static_cast<double>(I) / Callers;
    const Duration After = retryAfter(R);
    EXPECT_LE(After, Seconds(5));
    AfterOutage += After >= Seconds(2) ? 1 : 0;
    InSameTenth += I > 0 && After - Last < Milliseconds(1) ? 1 : 0;
    Last = After;
  }
  EXPECT_EQ(AfterOutage, Callers);
  EXPECT_EQ(InSameTenth, 0);
}

// Guards against a caller that could be on time elsewhere and is sent away for
// seconds.
TEST(RetryAfter, ACallerThatCanBeOnTimeReturnsInTime) {
  Rejection R;
  R.m_timeLeft = Seconds(15);
  R.m_onTimeLeft = Milliseconds(700);
  R.m_random = 0.99;
  EXPECT_LT(retryAfter(R), R.m_onTimeLeft);
  R.m_onTimeLeft = Duration::zero();
  R.m_localCause = true;
  EXPECT_LE(retryAfter(R), 2 * Duration(RetryAfterMin));
}

TEST(RetryAfter, FollowsAKnownWaitWithinWhatCallersHonour) {
  Rejection R;
  R.m_timeLeft = Seconds(12);
  R.m_expectedWait = Seconds(2);
  R.m_random = 0.5;
  EXPECT_NEAR(toSeconds(retryAfter(R)), 2, 0.01);
  R.m_expectedWait = Seconds(9);
  EXPECT_EQ(retryAfter(R), Duration(Seconds(4)));
  R.m_timeLeft = Milliseconds(100);
  EXPECT_EQ(retryAfter(R), Duration(RetryAfterMin));
}
