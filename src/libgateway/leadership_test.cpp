// Tests for the leadership claim.
#include "libgateway/leadership.h"

#include <gtest/gtest.h>

using namespace primroseworks;
using namespace primroseworks::gateway;

namespace {

BootTime at(int Ms) {
  return BootTime(std::chrono::seconds(100)) + Milliseconds(Ms);
}

} // namespace

// Guards against orders under a lease that the store has ended. A renewal
// counts from the time at which it was sent, and time spent suspended counts
// too.
TEST(LeaderClaim, EndsBeforeTheLeaseDoes) {
  LeaderClaim Claim(Milliseconds(2000), Milliseconds(300));
  EXPECT_FALSE(Claim.tokenAt(at(0)));
  Claim.onLeaseRenewed(7, at(0));
  EXPECT_FALSE(Claim.tokenAt(at(1))) << "a lease alone is not a claim";
  Claim.onClaimed({0, 41});
  EXPECT_EQ(Claim.tokenAt(at(1699)), 41U);
  EXPECT_FALSE(Claim.tokenAt(at(1700)));
  Claim.onLeaseRenewed(7, at(1000));
  EXPECT_EQ(Claim.tokenAt(at(2600)), 41U);
}

TEST(LeaderClaim, ALateAnswerToAnOlderRenewalDoesNotShortenIt) {
  LeaderClaim Claim(Milliseconds(2000), Milliseconds(300));
  Claim.onLeaseRenewed(7, at(1000));
  Claim.onLeaseRenewed(7, at(500));
  EXPECT_TRUE(Claim.leaseValid(at(2600)));
}

// Guards against use of an old fencing token under a new lease.
TEST(LeaderClaim, ANewLeaseNeedsANewClaim) {
  LeaderClaim Claim(Milliseconds(2000), Milliseconds(300));
  Claim.onLeaseRenewed(7, at(0));
  Claim.onClaimed({0, 41});
  Claim.onLeaseRenewed(8, at(10));
  EXPECT_FALSE(Claim.tokenAt(at(20)));
  Claim.onClaimed({0, 55});
  Claim.onFenced();
  EXPECT_FALSE(Claim.tokenAt(at(30)));
  Claim.onLeaseLost();
  EXPECT_FALSE(Claim.leaseValid(at(30)));
}

// Guards against a leader that gives up its claim because of a store response
// from before the claim. Its key would remain, so no other VM could claim
// leadership either.
TEST(LeaderClaim, AnOlderViewOfTheStoreDoesNotEndTheClaim) {
  LeaderClaim C(Milliseconds(2000), Milliseconds(300));
  const BootTime Start = BootTime() + std::chrono::seconds(100);
  C.onLeaseRenewed(7, Start);
  C.onClaimed({0, 5});
  EXPECT_FALSE(C.onForeignKey({0, 4}));
  EXPECT_TRUE(C.tokenAt(Start));
  EXPECT_TRUE(C.onForeignKey({0, 6}));
  EXPECT_FALSE(C.tokenAt(Start));
}

// Guards against a new leader that engines refuse, because its claim has a
// lower revision than one that the store has lost, and against a claim that a
// view of the former era ends.
TEST(LeaderClaim, TokenStaysAboveThoseOfFormerEras) {
  LeaderClaim Former(Milliseconds(2000), Milliseconds(300));
  Former.onLeaseRenewed(7, at(0));
  Former.onClaimed({0, 900});
  LeaderClaim C(Milliseconds(2000), Milliseconds(300));
  C.onLeaseRenewed(7, at(0));
  C.onClaimed({1, 3});
  EXPECT_GT(C.tokenAt(at(1)), Former.tokenAt(at(1)));
  EXPECT_FALSE(C.onForeignKey({0, 950}));
  EXPECT_TRUE(C.onForeignKey({1, 4}));
}
