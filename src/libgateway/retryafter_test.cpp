// Tests for the Retry-After of rejected requests.
#include "libgateway/retryafter.h"

#include <gtest/gtest.h>

using namespace primroseworks;
using namespace primroseworks::gateway;

// Load pattern: processes that have just started reject 100 requests with a
// deadline of 15 s at the same moment, and the metadata store stays unavailable
// for another 2 s. Guards against retries that all fall into the same outage.
TEST(RetryAfter, CallersRetryAfterAnOutageOfSeconds) {
  constexpr int Callers = 100;
  int AfterOutage = 0;
  int AtSameMoment = 0;
  Duration Last{};
  for (int I = 0; I < Callers; ++I) {
    Rejection R;
    R.m_timeLeft = Seconds(15);
    R.m_random = static_cast<double>(I) / Callers;
    const Duration After = retryAfter(R);
    EXPECT_LE(After, Seconds(5));
    AfterOutage += After >= Seconds(2) ? 1 : 0;
    AtSameMoment += I > 0 && After - Last < Milliseconds(1) ? 1 : 0;
    Last = After;
  }
  EXPECT_EQ(AfterOutage, Callers);
  EXPECT_EQ(AtSameMoment, 0);
}

// Guards against telling a caller to wait for seconds when another VM could
// still respond in time.
TEST(RetryAfter, ACallerThatCanBeOnTimeRetriesInTime) {
  Rejection R;
  R.m_timeLeft = Seconds(15);
  R.m_onTimeLeft = Milliseconds(700);
  R.m_random = 0.99;
  EXPECT_LT(retryAfter(R), R.m_onTimeLeft);
  R.m_onTimeLeft = Duration::zero();
  R.m_localCause = true;
  EXPECT_LE(retryAfter(R), 2 * Duration(MinRetryAfter));
}

// Load pattern: 100 callers of an account that floods are refused at the same
// moment. Guards against retries that meet again, also where the wait exceeds
// the longest Retry-After, which would otherwise be the answer to all of them.
TEST(RetryAfter, RetriesOfAnAccountAreSpreadOverTheDrainOfItsBacklog) {
  for (const int WaitSeconds : {2, 9}) {
    constexpr int Callers = 100;
    Rejection R;
    R.m_timeLeft = Seconds(12);
    R.m_ofAccount = true;
    R.m_expectedWait = Seconds(WaitSeconds);
    Duration Last = Duration::zero();
    for (int I = 0; I < Callers; ++I) {
      R.m_random = static_cast<double>(I) / Callers;
      const Duration After = retryAfter(R);
      EXPECT_GE(After, Duration(MinRetryAfter));
      EXPECT_LE(After, std::min<Duration>(R.m_expectedWait, Seconds(4)));
      EXPECT_GT(After - Last, Milliseconds(10));
      Last = After;
    }
  }
}

TEST(RetryAfter, FollowsAKnownWaitWithinItsLimits) {
  Rejection R;
  R.m_timeLeft = Seconds(12);
  R.m_expectedWait = Seconds(2);
  R.m_random = 0.5;
  EXPECT_NEAR(toSeconds(retryAfter(R)), 2, 0.01);
  R.m_expectedWait = Seconds(9);
  EXPECT_EQ(retryAfter(R), Duration(Seconds(4)));
  R.m_timeLeft = Milliseconds(100);
  EXPECT_EQ(retryAfter(R), Duration(MinRetryAfter));
}
