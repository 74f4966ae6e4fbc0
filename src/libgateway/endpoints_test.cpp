// Tests of the known state of the endpoints.
#include "libgateway/endpoints.h"

#include <gtest/gtest.h>

using namespace primroseworks;
using namespace primroseworks::gateway;

namespace {

const TimePoint Start = TimePoint() + Seconds(100);

EndpointRecord record(const std::string &Id, std::uint64_t Incarnation = 1) {
  EndpointRecord R;
  R.m_id = Id;
  R.m_incarnation = Incarnation;
  R.m_service = "llm";
  R.m_address = "10.0.0.1:80";
  R.m_failureDomain = "d1";
  R.m_slots = 8;
  R.m_models = {HeldModel{"m1", 1, {}}};
  return R;
}

} // namespace

// Guards against sending requests to deregistered endpoints, and against
// dropping endpoints whose records lapsed during a store outage.
TEST(EndpointTable, EntriesMissingAfterAnOutageGetTimeToReturn) {
  EndpointTable Table;
  Table.onList({record("e1"), record("e2")}, TimePoint(), Start);
  Table.onList({record("e1")}, TimePoint(), Start);
  EXPECT_EQ(Table.find("e2"), nullptr);
  Table.onList({}, Start + Seconds(13), Start + Seconds(10));
  ASSERT_NE(Table.find("e1"), nullptr);
  Table.expire(Start + Seconds(12));
  ASSERT_NE(Table.find("e1"), nullptr);
  Table.onRecord(record("e1"), Start + Seconds(12));
  Table.expire(Start + Seconds(20));
  ASSERT_NE(Table.find("e1"), nullptr);
  Table.onList({}, Start + Seconds(23), Start + Seconds(20));
  Table.expire(Start + Seconds(23));
  EXPECT_EQ(Table.find("e1"), nullptr);
}

// Guards against requests at an endpoint that is kept for longer and longer: a
// second outage or a later list must not extend the time of its return.
TEST(EndpointTable, LaterRemovalsKeepAMissingEndpointNoLonger) {
  EndpointTable Table;
  Table.onRecord(record("e1"), Start);
  Table.onRemoved("e1", Start + Seconds(3), Start + Seconds(1));
  Table.onRemoved("e1", Start + Seconds(9), Start + Seconds(2));
  Table.expire(Start + Seconds(3));
  EXPECT_EQ(Table.find("e1"), nullptr);
  Table.onRecord(record("e2"), Start);
  Table.onRemoved("e2", Start + Seconds(3), Start + Seconds(1));
  Table.onRemoved("e2", TimePoint(), Start + Seconds(2));
  EXPECT_EQ(Table.find("e2"), nullptr);
}

// Guards against requests that reach an endpoint later than a leaving one may
// get any, because its record counts as lapsed.
TEST(LapsedRecordGrace, EndsInTimeForTheLastRequest) {
  for (const int LimitMs : {0, 200, 1000, 2500, 4000, 60000}) {
    const Milliseconds Limit(LimitMs);
    const Milliseconds Grace = lapsedRecordGrace(Limit);
    EXPECT_GE(Grace, Milliseconds(0));
    EXPECT_TRUE(Grace == Milliseconds(0) || Grace + DispatchTime <= Limit)
        << LimitMs;
  }
  EXPECT_GE(lapsedRecordGrace(Milliseconds(2500)), Seconds(2));
}

// Guards against keeping the holdings of an earlier incarnation: a restarted
// engine is empty.
TEST(EndpointTable, ARestartUnderTheSameIdForgetsWhatWasHeld) {
  EndpointTable Table;
  Table.onRecord(record("e1", 1), Start);
  Table.onHeld("e1", 1, 7, {HeldModel{"m1", 1, {"a1"}}}, Start);
  EndpointRecord Again = record("e1", 2);
  Again.m_models.clear();
  Table.onRecord(Again, Start + Milliseconds(10));
  EXPECT_FALSE(Table.find("e1")->holds("m1", ""));
  EXPECT_FALSE(Table.find("e1")->m_orders);
  Table.onHeld("e1", 1, 8, {HeldModel{"m1", 1, {}}}, Start);
  EXPECT_FALSE(Table.find("e1")->holds("m1", ""))
      << "an order to the previous incarnation";
}

// Guards against losing known holdings: a record written before a load ended
// replaced them with fewer models. Seen as a LIMIT violation of 26.9 s on
// dentelle trouble-3, and in similar cases.
TEST(EndpointTable, EntriesDoNotReplaceWhatALeaderKnows) {
  EndpointTable Table;
  Table.onRecord(record("e1"), Start);
  Table.onHeld("e1", 1, 1, {HeldModel{"m1", 1, {}}, HeldModel{"m2", 1, {}}},
               Start);
  Table.onRecord(record("e1"), Start + Seconds(1));
  EXPECT_TRUE(Table.find("e1")->holds("m2", ""));
  Table.find("e1")->m_controlledHere = true;
  Table.onRecord(record("e1"), Start + Seconds(60));
  EXPECT_TRUE(Table.find("e1")->holds("m2", ""));
  Table.find("e1")->m_controlledHere = false;
  Table.onRecord(record("e1"), Start + Seconds(61));
  EXPECT_FALSE(Table.find("e1")->holds("m2", ""));
}

// Guards against a deposed leader's announcements replacing known holdings.
TEST(EndpointTable, AnnouncementsDoNotReplaceWhatALeaderKnows) {
  EndpointTable Table;
  Table.onRecord(record("e1"), Start);
  Table.onHeld("e1", 1, 5, {HeldModel{"m1", 1, {}}, HeldModel{"m2", 1, {}}},
               Start);
  Table.find("e1")->m_controlledHere = true;
  Table.onAnnouncedHoldings("e1", 1, 6, {HeldModel{"m1", 1, {}}}, Start);
  EXPECT_TRUE(Table.find("e1")->holds("m2", ""));
}

TEST(EndpointTable, LoadIsTheSumOfOwnAndRecentPeers) {
  EndpointTable Table;
  Table.onRecord(record("e1"), Start);
  Table.onSent("e1", {100, 60});
  Table.onPeerLoad("p", "e1", {3, 50, 20}, Start);
  EXPECT_EQ(Table.find("e1")->load().m_requests, 4U);
  EXPECT_EQ(Table.find("e1")->load().m_pendingPrefillTokens, 80U);
  Table.onPrefillDone("e1", {100, 60});
  Table.onEnded("e1", {100, 60}, true);
  EXPECT_EQ(Table.find("e1")->load().m_requests, 3U);
  EXPECT_EQ(Table.find("e1")->load().m_pendingPrefillTokens, 20U);
  Table.expire(Start + Milliseconds(1));
  EXPECT_EQ(Table.find("e1")->load().m_requests, 0U);
}

// Guards against a sum of peer loads that drifts from its parts.
TEST(EndpointTable, PeersLoadsAreReplacedAndForgotten) {
  EndpointTable Table;
  Table.onRecord(record("e1"), Start);
  Table.onPeerLoad("vm-2", "e1", {3, 300, 30}, Start);
  Table.onPeerLoad("vm-2", "e1", {5, 500, 50}, Start);
  Table.onPeerLoad("vm-3", "e1", {1, 100, 10}, Start);
  EXPECT_EQ(Table.find("e1")->load().m_requests, 6U);
  Table.removePeerLoads("vm-3");
  EXPECT_EQ(Table.find("e1")->load().m_kvTokens, 500U);
  Table.onPeerLoad("vm-3", "e1", {1, 100, 10}, Start + Seconds(2));
  Table.expire(Start + Seconds(1));
  EXPECT_EQ(Table.find("e1")->load().m_pendingPrefillTokens, 10U);
  Table.removeAllPeerLoads();
  EXPECT_EQ(Table.find("e1")->load().m_requests, 0U);
}

// Guards against each VM paying for responses without end of its own before it
// avoids their endpoint.
TEST(EndpointTable, OverrunIsAvoidedAtOnceHereAndAtPeers) {
  EndpointTable Own;
  Own.onRecord(record("e1", 7), Start);
  Own.onHealth("e1", AttemptHealth::Overrun, Start);
  EXPECT_GT(Own.find("e1")->m_failureShare, MaxFailureShare);
  EXPECT_EQ(Own.find("e1")->m_overrunAt, Start);
  EndpointTable Peer;
  Peer.onRecord(record("e1", 7), Start);
  Peer.onPeerOverrun("e1", 6, Start);
  EXPECT_EQ(Peer.find("e1")->m_failureShare, 0);
  Peer.onPeerOverrun("e1", 7, Start);
  EXPECT_GT(Peer.find("e1")->m_failureShare, MaxFailureShare);
  // What a peer told is not told again.
  EXPECT_EQ(Peer.find("e1")->m_overrunAt, TimePoint());
}

// Guards against an endpoint that is avoided after a silence that ended.
TEST(EndpointTable, SilenceThatEndedIsNoFailure) {
  EndpointTable Table;
  Table.onRecord(record("e1", 7), Start);
  Table.onHealth("e1", AttemptHealth::Failed, Start);
  const double Before = Table.find("e1")->m_failureShare;
  Table.onHealth("e1", AttemptHealth::Silent, Start);
  Table.onHealth("e1", AttemptHealth::Silent, Start);
  EXPECT_GT(Table.find("e1")->m_failureShare, MaxFailureShare);
  Table.onWentOn("e1");
  EXPECT_EQ(Table.find("e1")->m_failureShare, Before);
  EXPECT_EQ(Table.find("e1")->m_consecutiveSilent, 0U);
  // One that has not been silent since is as it was.
  Table.onHealth("e1", AttemptHealth::Failed, Start);
  const double After = Table.find("e1")->m_failureShare;
  Table.onWentOn("e1");
  EXPECT_EQ(Table.find("e1")->m_failureShare, After);
}
