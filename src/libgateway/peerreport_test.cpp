// Tests of the peer report encoding and of the demand that reports carry.
#include "libgateway/demand.h"
#include "libgateway/peerreport.h"

#include <gtest/gtest.h>

using namespace primroseworks;
using namespace primroseworks::gateway;

namespace {

const TimePoint Start = TimePoint() + Seconds(100);

PeerReport sample() {
  PeerReport R;
  R.m_sender = "vm-1";
  R.m_start = 1234567890123;
  R.m_sequence = 9;
  R.m_loads = {{"e1", {3, 4000, 1200}}};
  R.m_demands = {{"m1", {5, 2, 1.25}}};
  R.m_wantedAdapters = {{{"m1", "a2"}, 3}};
  R.m_usedAdapters = {{"m1", "a2"}};
  R.m_holdings = {{"e1", 77, 12, {HeldModel{"m1", 3, {"a1", "a2"}}}}};
  R.m_strikes = {{~0ULL, 5}};
  R.m_partStrikes = {{~0ULL, 5, 9, Milliseconds(70)}};
  R.m_overruns = {{"e1", 77}};
  R.m_leaderToken = 41;
  R.m_fleetLoads = {{"e2", {7, 9000, 300}}};
  return R;
}

} // namespace

TEST(PeerReport, RoundTripsThroughCbor) {
  Result<PeerReport> R = decodePeerReport(encodePeerReport(sample()));
  ASSERT_TRUE(R) << R.error().m_message;
  EXPECT_EQ(R.value().m_sender, "vm-1");
  EXPECT_EQ(R.value().m_start, 1234567890123U);
  EXPECT_EQ(R.value().m_loads[0].m_load.m_pendingPrefillTokens, 1200U);
  EXPECT_DOUBLE_EQ(R.value().m_demands[0].m_demand.m_arrivals, 1.25);
  EXPECT_EQ(R.value().m_wantedAdapters[0].m_artifact.second, "a2");
  EXPECT_EQ(R.value().m_holdings[0].m_held[0].m_adapters.size(), 2U);
  EXPECT_EQ(R.value().m_strikes[0].m_fingerprint, ~0ULL);
  ASSERT_EQ(R.value().m_partStrikes.size(), 1U);
  EXPECT_EQ(R.value().m_partStrikes[0].m_part, ~0ULL);
  EXPECT_EQ(R.value().m_partStrikes[0].m_request, 9U);
  EXPECT_EQ(R.value().m_partStrikes[0].m_age, Milliseconds(70));
  ASSERT_EQ(R.value().m_overruns.size(), 1U);
  EXPECT_EQ(R.value().m_overruns[0].m_endpoint, "e1");
  EXPECT_EQ(R.value().m_overruns[0].m_incarnation, 77U);
  EXPECT_EQ(R.value().m_leaderToken, 41U);
  EXPECT_EQ(R.value().m_fleetLoads.at(0).m_load.m_requests, 7U);
}

// Guards against a datagram of another version, or from an unrelated sender,
// terminating the gateway process.
TEST(PeerReport, TruncatedAndForeignBytesAreRejected) {
  const std::string Bytes = encodePeerReport(sample());
  for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
    EXPECT_FALSE(decodePeerReport(Bytes.substr(0, Size))) << Size;
  EXPECT_FALSE(decodePeerReport("\x80"));
  EXPECT_FALSE(decodePeerReport("{\"n\":1}"));
}

TEST(PeerReport, EncodedSizeIsLimited) {
  PeerReport R = sample();
  for (int I = 0; I < 5000; ++I) {
    R.m_wantedAdapters.push_back({{"model-with-a-name", std::to_string(I)}, 1});
    R.m_usedAdapters.emplace_back("model-with-a-name", std::to_string(I));
  }
  EXPECT_LE(encodePeerReport(R).size(), MaxPeerReportBytes);
}

// Guards against the demand of a VM that has left the fleet causing model loads
// indefinitely.
TEST(FleetDemand, SumsRecentReportsOnly) {
  FleetDemand Fleet;
  PeerReport One = sample();
  PeerReport Two = sample();
  Two.m_sender = "vm-2";
  Fleet.onReport(One, Start);
  Fleet.onReport(Two, Start + Seconds(1));
  PlacementInput In;
  Fleet.fill(In, Start + Seconds(1), reportLifetime(2));
  EXPECT_DOUBLE_EQ(In.m_models["m1"].m_running, 10);
  EXPECT_EQ((In.m_wantedAdapters[{"m1", "a2"}]), 6U);
  PlacementInput Later;
  Fleet.fill(Later, Start + reportLifetime(2) + Milliseconds(500),
             reportLifetime(2));
  EXPECT_DOUBLE_EQ(Later.m_models["m1"].m_running, 5);
}

TEST(LocalDemand, AdaptersInUseStayInTheReports) {
  LocalDemand Local;
  WaitQueue Queue;
  Local.onRequest("m1", "a1");
  Local.onStarted("m1", "a1");
  for (int I = 0; I < 3; ++I) {
    PeerReport R;
    Local.fill(R, Queue);
    EXPECT_EQ(R.m_usedAdapters.size(), 1U) << I;
  }
  Local.onEnded("m1", "a1");
  PeerReport Idle;
  Local.fill(Idle, Queue);
  EXPECT_TRUE(Idle.m_usedAdapters.empty());
}
