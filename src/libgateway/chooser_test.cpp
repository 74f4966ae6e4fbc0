// Tests for the choice of an endpoint.
#include "libgateway/chooser.h"

#include <gtest/gtest.h>
#include <map>

using namespace primroseworks;
using namespace primroseworks::gateway;

namespace {

const TimePoint Start = TimePoint() + Seconds(100);

struct Fleet {
  EndpointTable m_table;
  Service m_llm;
  Service m_plain;
  Chooser m_chooser{"d1", {{"d1", "r1"}, {"d2", "r2"}}};

  Fleet() {
    m_llm.m_name = "llm";
    m_llm.m_engine = EngineSpec();
    m_llm.m_engine->m_slots = 64;
    m_llm.m_engine->m_kvTokens = 100000;
    m_plain.m_name = "plain";
  }
  void add(const std::string &Id, const std::string &Domain,
           const std::string &Service = "llm") {
    EndpointRecord R;
    R.m_id = Id;
    R.m_service = Service;
    R.m_address = "10.0.0.1:80";
    R.m_failureDomain = Domain;
    R.m_slots = Service == "llm" ? 64 : 6;
    if (Service == "llm")
      R.m_models = {HeldModel{"m1", 1, {"a1"}}};
    m_table.onRecord(R, Start);
  }
  ChoiceQuery query(const std::string &Model = "m1") const {
    ChoiceQuery Q;
    Q.m_service = "llm";
    Q.m_model = Model;
    Q.m_size = {1500, 1400};
    return Q;
  }
  Choice choose(const ChoiceQuery &Q, TimePoint Now = Start) const {
    return m_chooser.choose(Q, m_table, Q.m_service == "llm" ? m_llm : m_plain,
                            Now);
  }
};

} // namespace

TEST(Chooser, ReportsTheObstacle) {
  Fleet F;
  EXPECT_EQ(F.choose(F.query()).m_obstacle, ChoiceObstacle::NoEndpoint);
  F.add("e1", "d1");
  EXPECT_EQ(F.choose(F.query("m9")).m_obstacle, ChoiceObstacle::NoModel);
  ChoiceQuery Adapter = F.query();
  Adapter.m_adapter = "a9";
  EXPECT_EQ(F.choose(Adapter).m_obstacle, ChoiceObstacle::NoAdapter);
  Adapter.m_adapter = "a1";
  EXPECT_EQ(F.choose(Adapter).m_endpoint, "e1");
  ChoiceQuery Excluded = F.query();
  Excluded.m_excluded = {"e1"};
  EXPECT_EQ(F.choose(Excluded).m_obstacle, ChoiceObstacle::Excluded);
}

// Guards against a request that is given up (a stream that is broken off)
// because it failed at one endpoint while another one was full for a moment.
TEST(Chooser, RequestThatFailedAtOneEndpointMayWaitForAFullOne) {
  Fleet F;
  F.add("e1", "d1");
  F.add("e2", "d1");
  ChoiceQuery Query = F.query();
  Query.m_excluded = {"e1"};
  while (F.choose(Query).m_obstacle == ChoiceObstacle::None)
    F.m_table.onSent("e2", Query.m_size);
  EXPECT_EQ(F.choose(Query).m_obstacle, ChoiceObstacle::Full);
}

TEST(Chooser, PrefersItsRegionUntilAnotherIsFaster) {
  Fleet F;
  F.add("near", "d1");
  F.add("far", "d2");
  EXPECT_EQ(F.choose(F.query()).m_endpoint, "near");
  F.m_table.onPeerLoad("p", "near", {60, 0, 0}, Start);
  EXPECT_EQ(F.choose(F.query()).m_endpoint, "far");
}

// Load pattern: a new replica has free slots for all waiting requests at once,
// but it may only be sent as many prompts as it can prefill in time.
TEST(Chooser, LimitsThePrefillBacklogOfAnEngine) {
  Fleet F;
  F.add("e1", "d1");
  unsigned Sent = 0;
  while (Sent < 100 && F.choose(F.query()).m_obstacle == ChoiceObstacle::None) {
    F.m_table.onSent("e1", F.query().m_size);
    ++Sent;
  }
  // 1,400 tokens take 84 ms at the default prefill speed.
  EXPECT_GE(Sent, 2U);
  EXPECT_LE(Sent, 4U);
  for (unsigned I = 0; I < Sent; ++I)
    F.m_table.onPrefillDone("e1", F.query().m_size);
  EXPECT_EQ(F.choose(F.query()).m_obstacle, ChoiceObstacle::None);
}

// Load pattern: a flood of batch requests must leave slots for urgent ones.
TEST(Chooser, LowRanksMayNotFillTheBatch) {
  Fleet F;
  F.add("e1", "d1");
  F.m_table.onPeerLoad("p", "e1", {50, 0, 0}, Start);
  ChoiceQuery Low = F.query();
  Low.m_rank = 2;
  EXPECT_EQ(F.choose(Low).m_obstacle, ChoiceObstacle::Full);
  EXPECT_EQ(F.choose(F.query()).m_obstacle, ChoiceObstacle::None);
}

TEST(Chooser, RespectsTheKvMemoryOfAnEngine) {
  Fleet F;
  F.add("e1", "d1");
  F.m_table.onPeerLoad("p", "e1", {10, 94500, 0}, Start);
  EXPECT_EQ(F.choose(F.query()).m_obstacle, ChoiceObstacle::Full);
  F.m_table.onPeerLoad("p", "e1", {0, 0, 0}, Start);
  ChoiceQuery Huge = F.query();
  Huge.m_size.m_kvTokens = 200000;
  EXPECT_EQ(F.choose(Huge).m_obstacle, ChoiceObstacle::None)
      << "an idle engine checks the size of a request itself";
}

// Load pattern: an engine fails part of its requests (a gray failure). It gets
// an occasional probe, and all other requests go to other endpoints.
TEST(Chooser, AvoidsFailingEndpointsButProbesThem) {
  Fleet F;
  F.add("good", "d2");
  F.add("grey", "d1");
  for (int I = 0; I < 4; ++I)
    F.m_table.onHealth("grey", AttemptHealth::Failed, Start);
  EXPECT_EQ(F.choose(F.query()).m_endpoint, "good");
  const TimePoint Later = Start + AvoidedProbeInterval + Milliseconds(1);
  EXPECT_EQ(F.choose(F.query(), Later).m_endpoint, "grey");
  ChoiceQuery NoProbe = F.query();
  NoProbe.m_mayProbe = false;
  EXPECT_EQ(F.choose(NoProbe, Later).m_endpoint, "good");
  ChoiceQuery Only = F.query();
  Only.m_excluded = {"good"};
  EXPECT_EQ(F.choose(Only).m_endpoint, "grey")
      << "an avoided endpoint is used if no other is left";
}

// Load pattern: an engine sends its first events fast and the following ones
// slowly (incident d548). Its streams are late, so new ones must go elsewhere.
TEST(Chooser, AvoidsEnginesWhoseStreamsStall) {
  Fleet F;
  F.add("slow", "d1");
  F.add("far", "d2");
  EXPECT_EQ(F.choose(F.query()).m_endpoint, "slow");
  F.m_table.onStallSample("slow", true);
  EXPECT_EQ(F.choose(F.query()).m_endpoint, "far");
  for (int I = 0; I < 12; ++I)
    F.m_table.onStallSample("slow", false);
  EXPECT_EQ(F.choose(F.query()).m_endpoint, "slow");
}

// Load pattern: an engine generates events eight times as slowly as others.
// Each pause is within the target, but its longer streams miss their deadline.
TEST(Chooser, AvoidsEnginesThatGenerateEventsSlowly) {
  Fleet F;
  F.add("slow", "d1");
  F.add("far", "d2");
  for (int I = 0; I < 60; ++I) {
    F.m_table.onInterval("slow", Milliseconds(250));
    F.m_table.onInterval("far", Milliseconds(35));
  }
  EXPECT_EQ(F.choose(F.query()).m_endpoint, "far");
}

TEST(Chooser, SendsNothingToDrainingEndpoints) {
  Fleet F;
  F.add("e1", "d1");
  EndpointRecord R = F.m_table.find("e1")->m_record;
  R.m_draining = true;
  F.m_table.onRecord(R, Start);
  EXPECT_EQ(F.choose(F.query()).m_obstacle, ChoiceObstacle::NoEndpoint);
}

// Guards against requests that reach an endpoint later than a leaving one may
// get any, because its missing record was kept until the next expiry.
TEST(Chooser, SendsNothingOnceAMissingRecordDidNotReturn) {
  const TimePoint Until = Start + lapsedRecordGrace(Milliseconds(2500));
  Fleet F;
  F.add("e1", "d1");
  F.m_table.onRemoved("e1", Until, Start);
  EXPECT_EQ(F.choose(F.query(), Until - Milliseconds(1)).m_endpoint, "e1");
  EXPECT_EQ(F.choose(F.query(), Until).m_obstacle, ChoiceObstacle::NoEndpoint);
}

// Load pattern: 88 gateways with the same load reports choose at the same
// moment, before the next report. Guards against all of them choosing the same
// endpoint.
TEST(Chooser, GatewaysWithTheSameViewSpreadOverEqualEndpoints) {
  constexpr unsigned Gateways = 88;
  Fleet F;
  for (const char *Id : {"e1", "e2", "e3", "e4"})
    F.add(Id, "d1");
  std::map<std::string, unsigned> Chosen;
  for (unsigned I = 0; I < Gateways; ++I) {
    ChoiceQuery Q = F.query();
    Q.m_affinity = 77;
    Q.m_gatewayCount = Gateways;
    Q.m_jitterSeed = I * 1000003ULL;
    ++Chosen[F.choose(Q).m_endpoint];
  }
  EXPECT_EQ(Chosen.size(), 4U);
  for (const auto &[Id, Count] : Chosen)
    EXPECT_LE(Count, Gateways / 2) << Id;
}

// Guards against engines with large batches that idle between two prompts, and
// against prompts that pause the streams of engines with small ones.
TEST(Chooser, PausesBoundThePromptsOfEnginesWithSmallBatches) {
  Fleet F;
  F.add("e1", "d1");
  F.m_llm.m_gapTarget = Milliseconds(300);
  F.m_table.onSent("e1", F.query().m_size);
  EXPECT_EQ(F.choose(F.query()).m_endpoint, "e1");
  F.m_llm.m_engine->m_slots = 12;
  EXPECT_EQ(F.choose(F.query()).m_obstacle, ChoiceObstacle::Full);
  F.m_llm.m_gapTarget = Milliseconds(0);
  EXPECT_EQ(F.choose(F.query()).m_endpoint, "e1");
}
