// Tests for the retry limit over sliding windows.
#include "libgateway/retrywindow.h"

#include <gtest/gtest.h>
#include <vector>

using namespace primroseworks;
using namespace primroseworks::gateway;

namespace {

RetryLimit limit() {
  RetryLimit L;
  L.m_share = 0.2;
  L.m_extra = 58;
  return L;
}

} // namespace

// Guards against a retry storm: nine VMs whose requests all fail at once must
// stay below their common limit in every window, whatever its bounds.
TEST(RetryWindow, AllVmsStayBelowTheLimitInEveryWindow) {
  constexpr unsigned Members = 9;
  std::vector<RetryWindow> Vms(Members, RetryWindow(limit()));
  std::vector<std::pair<int, bool>> Log; // Time in ms; true for a retry.
  const TimePoint Start = TimePoint() + Seconds(1000);
  for (int Ms = 0; Ms < 30000; Ms += 10) {
    RetryWindow &Vm = Vms[static_cast<std::size_t>(Ms / 10) % Members];
    const TimePoint Now = Start + Milliseconds(Ms);
    Vm.onRequest(Now);
    Log.emplace_back(Ms, false);
    for (int Try = 0; Try < 3; ++Try)
      if (Vm.tryAcquire(RetryUse::Needed, Members, Now))
        Log.emplace_back(Ms, true);
  }
  for (int From = 0; From <= 20000; From += 250) {
    double Requests = 0;
    double Retries = 0;
    for (const auto &[Ms, IsRetry] : Log)
      if (Ms >= From && Ms < From + 10000)
        (IsRetry ? Retries : Requests) += 1;
    EXPECT_LE(Retries, 0.2 * Requests + 58) << From;
  }
}

TEST(RetryWindow, AllowsRetriesAgainAfterTheWindow) {
  RetryWindow Vm(limit());
  const TimePoint Start = TimePoint() + Seconds(1000);
  unsigned First = 0;
  while (Vm.tryAcquire(RetryUse::Needed, 9, Start))
    ++First;
  EXPECT_GT(First, 0U);
  EXPECT_FALSE(Vm.tryAcquire(RetryUse::Needed, 9, Start + Seconds(9)));
  EXPECT_TRUE(Vm.tryAcquire(RetryUse::Needed, 9, Start + Seconds(11)));
}

// Guards against a request that fails (LOST) because silences of another
// endpoint used up the retries.
TEST(RetryWindow, SpareRetriesLeaveSomeForFailures) {
  const TimePoint Now = TimePoint() + Seconds(1000);
  RetryWindow Vm(limit());
  for (int I = 0; I < 100; ++I)
    Vm.onRequest(Now);
  // 0.75 of 0.2 x 100 + 58 retries are usable, half of them as spare ones.
  unsigned Spare = 0;
  while (Vm.tryAcquire(RetryUse::Spare, 1, Now))
    ++Spare;
  EXPECT_EQ(Spare, 29U);
  EXPECT_FALSE(Vm.allows(RetryUse::Spare, 1, Now));
  unsigned Needed = 0;
  while (Vm.tryAcquire(RetryUse::Needed, 1, Now))
    ++Needed;
  EXPECT_EQ(Needed, 29U);
  EXPECT_FALSE(Vm.tryAcquire(RetryUse::Spare, 1, Now));
}

// Guards against a VM that uses the budget of one window again after a restart:
// at most 0.75 of it before and 0.25 after.
TEST(RetryWindow, StartsAsFullAsSet) {
  const TimePoint Now = TimePoint() + Seconds(1000);
  const auto Retries = [](RetryWindow &Vm, TimePoint At) {
    unsigned Count = 0;
    while (Vm.tryAcquire(RetryUse::Needed, 1, At))
      ++Count;
    return Count;
  };
  RetryWindow Before(limit());
  EXPECT_EQ(Retries(Before, Now), 43U);
  EXPECT_NEAR(Before.used(1, Now), 43.0 / 58, 1e-9);
  RetryWindow After(limit());
  After.setInitialUse(0.5, Now);
  EXPECT_DOUBLE_EQ(After.used(1, Now), 0.5);
  EXPECT_FALSE(After.allows(RetryUse::Spare, 1, Now));
  EXPECT_EQ(Retries(After, Now), 14U);
  EXPECT_EQ(Retries(After, Now + Seconds(11)), 43U) << "the window has passed";
}
