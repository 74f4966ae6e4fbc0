// Tests of the evidence that an endpoint has ended.
#include "libgateway/brokenattempts.h"

#include <gtest/gtest.h>

using namespace primroseworks;
using namespace primroseworks::gateway;

namespace {

const TimePoint Start{Seconds(1000)};
const EndpointIncarnation First{"i-1", 7};

EndpointRecord record(const std::string &Id, std::uint64_t Incarnation,
                      const std::string &Address) {
  EndpointRecord R;
  R.m_id = Id;
  R.m_incarnation = Incarnation;
  R.m_address = Address;
  return R;
}

std::vector<std::uint64_t> fingerprints(const FoundEnd &End) {
  std::vector<std::uint64_t> Out;
  for (const BrokenRequest &R : End.m_requests)
    Out.push_back(R.m_fingerprint);
  return Out;
}

} // namespace

TEST(BrokenAttempts, RefusedConnectionsShowAnEnd) {
  BrokenAttempts B;
  EXPECT_FALSE(B.onBroken({1, {}, Start}, First, "a:1"));
  EXPECT_FALSE(B.onBroken({2, {}, Start}, First, "a:1"));
  EXPECT_FALSE(B.onBroken({3, {}, Start}, {"i-2", 7}, "a:2"));
  const FoundEnd End = B.onRefused(First, Start + Milliseconds(20));
  EXPECT_EQ(fingerprints(End), (std::vector<std::uint64_t>{1, 2}));
  // A further attempt that the same end broke off.
  EXPECT_TRUE(B.onBroken({4, {}, Start + Milliseconds(30)}, First, "a:1"));
}

// Guards against an end that is missed because the process started again before
// its address was asked.
TEST(BrokenAttempts, AnotherIncarnationShowsAnEnd) {
  for (const EndpointRecord &Next :
       {record("i-1", 8, "a:1"), record("i-9", 9, "a:1")}) {
    BrokenAttempts B;
    B.onBroken({1, {}, Start}, First, "a:1");
    EXPECT_TRUE(B.onRecord(record("i-1", 7, "a:1"), Start).empty());
    EXPECT_TRUE(B.onRecord(record("i-2", 9, "a:2"), Start).empty());
    // Records of an older list.
    EXPECT_TRUE(B.onRecord(record("i-1", 6, "a:1"), Start).empty());
    EXPECT_TRUE(B.onRecord(record("i-0", 6, "a:1"), Start).empty());
    const std::vector<FoundEnd> Ends = B.onRecord(Next, Start + Seconds(1));
    ASSERT_EQ(Ends.size(), 1U);
    EXPECT_EQ(Ends[0].m_incarnation.m_incarnation, 7U);
    EXPECT_EQ(fingerprints(Ends[0]), std::vector<std::uint64_t>{1});
    EXPECT_TRUE(B.onRecord(Next, Start + Seconds(1)).empty());
  }
}

// Guards against a request that is blamed for an end because the endpoint reset
// its connection some time before.
TEST(BrokenAttempts, AnsweredRequestShowsThatTheEndpointLived) {
  BrokenAttempts B;
  B.onBroken({1, {}, Start}, First, "a:1");
  B.onBroken({2, {}, Start + Milliseconds(50)}, First, "a:1");
  B.onAnswered(First, Start + Milliseconds(20));
  const FoundEnd End = B.onRefused(First, Start + Milliseconds(100));
  EXPECT_EQ(fingerprints(End), std::vector<std::uint64_t>{2});
  B.onAnswered(First, Start + Milliseconds(200));
  EXPECT_FALSE(B.onBroken({3, {}, Start + Milliseconds(300)}, First, "a:1"));
}

TEST(BrokenAttempts, LateEvidenceDoesNotCount) {
  BrokenAttempts B;
  B.onBroken({1, {}, Start}, First, "a:1");
  const TimePoint Late = Start + EndEvidencePeriod + Milliseconds(1);
  EXPECT_TRUE(B.onRefused(First, Late).m_requests.empty());
}

// Guards against memory that a flood of broken attempts exhausts.
TEST(BrokenAttempts, MemoryIsBounded) {
  BrokenAttempts B;
  for (std::uint64_t I = 0; I < BrokenAttemptsMax + 100; ++I)
    B.onBroken({I, {}, Start}, {"i-" + std::to_string(I % 50), 1}, "a:1");
  EXPECT_EQ(B.size(), BrokenAttemptsMax);
  B.expire(Start + EndEvidencePeriod + Milliseconds(1));
  EXPECT_EQ(B.size(), 0U);
  EXPECT_FALSE(B.onBroken({1, {}, Start + Seconds(6)}, First, "a:1"));
}
