// Tests of the encoding of scheduling messages.
#include "libgateway/peerreport.h"
#include "libgateway/schedulingmessage.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <random>

using namespace primroseworks;
using namespace primroseworks::gateway;

namespace {

template <class Message> Message roundTrip(const Message &M) {
  const std::string Bytes = encodeSchedulingMessage(M);
  EXPECT_TRUE(isSchedulingMessage(Bytes));
  const Result<SchedulingMessage> Decoded = decodeSchedulingMessage(Bytes);
  EXPECT_TRUE(Decoded);
  return std::get<Message>(Decoded.value());
}

} // namespace

TEST(SchedulingMessage, RequestKeepsItsFields) {
  ScheduleRequest R;
  R.m_sender = {"vm-1", 1765000000000};
  R.m_ticket = 77;
  R.m_domain = "d1";
  R.m_query.m_service = "llm";
  R.m_query.m_model = "m1";
  R.m_query.m_adapter = "a3";
  R.m_query.m_account = "acme";
  R.m_query.m_size = {1631, 1460};
  R.m_query.m_rank = 2;
  R.m_query.m_affinity = 0xfeedfacecafebeefULL;
  R.m_query.m_excluded = {"e1", "e2"};
  R.m_query.m_mayRevisit = true;
  R.m_query.m_mayProbe = false;
  R.m_onTime = Milliseconds(-20);
  R.m_maxWait = Milliseconds(3500);
  const ScheduleRequest D = roundTrip(R);
  EXPECT_EQ(D.m_sender.m_name, "vm-1");
  EXPECT_EQ(D.m_sender.m_start, 1765000000000U);
  EXPECT_EQ(D.m_ticket, 77U);
  EXPECT_EQ(D.m_domain, "d1");
  EXPECT_EQ(D.m_query.m_service, "llm");
  EXPECT_EQ(D.m_query.m_model, "m1");
  EXPECT_EQ(D.m_query.m_adapter, "a3");
  EXPECT_EQ(D.m_query.m_account, "acme");
  EXPECT_EQ(D.m_query.m_size.m_kvTokens, 1631U);
  EXPECT_EQ(D.m_query.m_size.m_promptTokens, 1460U);
  EXPECT_EQ(D.m_query.m_rank, 2U);
  EXPECT_EQ(D.m_query.m_affinity, 0xfeedfacecafebeefULL);
  EXPECT_EQ(D.m_query.m_excluded, R.m_query.m_excluded);
  EXPECT_TRUE(D.m_query.m_mayRevisit);
  EXPECT_FALSE(D.m_query.m_mayProbe);
  EXPECT_EQ(D.m_onTime, Milliseconds(-20));
  EXPECT_EQ(D.m_maxWait, Milliseconds(3500));
}

// Guards against a request that is lost while gateways of two versions run: one
// without an account is encoded as by a version without accounts.
TEST(SchedulingMessage, RequestWithoutAccountHasTheFormOfOlderGateways) {
  ScheduleRequest R;
  const std::string Plain = encodeSchedulingMessage(R);
  EXPECT_EQ(static_cast<unsigned char>(Plain[0]), 0x91U) << "array of 17";
  EXPECT_TRUE(roundTrip(R).m_query.m_account.empty());
  R.m_query.m_account = "acme";
  EXPECT_EQ(encodeSchedulingMessage(R).size(), Plain.size() + 5);
}

TEST(SchedulingMessage, ReplyKeepsItsFields) {
  ScheduleReply R;
  R.m_ticket = 5;
  R.m_receiverStart = 9;
  R.m_sender = "vm-0";
  R.m_status = ScheduleStatus::Rejected;
  R.m_choice.m_obstacle = ChoiceObstacle::NoModel;
  R.m_choice.m_endpoint = "e1";
  R.m_choice.m_scoreMs = 71.5;
  R.m_choice.m_pendingPrefillTokens = 1460;
  R.m_choice.m_load = 7;
  R.m_choice.m_candidates = 3;
  R.m_expectedWait = Milliseconds(9000);
  const ScheduleReply D = roundTrip(R);
  EXPECT_EQ(D.m_ticket, 5U);
  EXPECT_EQ(D.m_receiverStart, 9U);
  EXPECT_EQ(D.m_sender, "vm-0");
  EXPECT_EQ(D.m_status, ScheduleStatus::Rejected);
  EXPECT_EQ(D.m_choice.m_obstacle, ChoiceObstacle::NoModel);
  EXPECT_EQ(D.m_choice.m_endpoint, "e1");
  EXPECT_DOUBLE_EQ(D.m_choice.m_scoreMs, 71.5);
  EXPECT_EQ(D.m_choice.m_pendingPrefillTokens, 1460U);
  EXPECT_EQ(D.m_choice.m_load, 7U);
  EXPECT_EQ(D.m_choice.m_candidates, 3U);
  EXPECT_EQ(D.m_expectedWait, Milliseconds(9000));
}

TEST(SchedulingMessage, UpdateKeepsItsObservations) {
  AttemptUpdate U;
  U.m_sender = {"vm-3", 4};
  U.m_ticket = 6;
  U.m_stage = AttemptStage::Ended;
  U.m_observation.m_health = AttemptHealth::Silent;
  U.m_observation.m_firstByteMs = 80.1;
  U.m_observation.m_firstEventMs = 95.2;
  U.m_observation.m_intervalMs = 31.3;
  U.m_observation.m_stalled = true;
  U.m_observation.m_artifactRejected = true;
  const AttemptUpdate D = roundTrip(U);
  EXPECT_EQ(D.m_stage, AttemptStage::Ended);
  EXPECT_EQ(D.m_observation.m_health, AttemptHealth::Silent);
  EXPECT_DOUBLE_EQ(D.m_observation.m_firstByteMs, 80.1);
  EXPECT_DOUBLE_EQ(D.m_observation.m_firstEventMs, 95.2);
  EXPECT_DOUBLE_EQ(D.m_observation.m_intervalMs, 31.3);
  EXPECT_EQ(D.m_observation.m_stalled, true);
  EXPECT_TRUE(D.m_observation.m_artifactRejected);
  EXPECT_FALSE(D.m_observation.m_endpointReplaced);
  EXPECT_FALSE(roundTrip(AttemptUpdate()).m_observation.m_health);
  EXPECT_FALSE(roundTrip(AttemptUpdate()).m_observation.m_stalled);
}

TEST(SchedulingMessage, RelayKeepsAnyBytes) {
  StoreRelay R;
  R.m_sender = "vm-0";
  R.m_from = {0, 11};
  R.m_to = {0, 13};
  R.m_changes = {{"k1", std::string("\0\xff{}", 4), {0, 12}, 7},
                 {"k2", std::nullopt, {0, 13}, 0}};
  EXPECT_FALSE(roundTrip(R).m_age);
  R.m_age = Milliseconds(512);
  const StoreRelay D = roundTrip(R);
  EXPECT_EQ(D.m_age, Milliseconds(512));
  EXPECT_EQ(D.m_from, R.m_from);
  EXPECT_EQ(D.m_to, R.m_to);
  ASSERT_EQ(D.m_changes.size(), 2U);
  EXPECT_EQ(D.m_changes[0].m_value, R.m_changes[0].m_value);
  EXPECT_EQ(D.m_changes[0].m_lease, 7U);
  EXPECT_FALSE(D.m_changes[1].m_value);
  EXPECT_EQ(roundTrip(OpenTickets{{"vm-1", 2}, {3, 4}}).m_tickets,
            (std::vector<TicketId>{3, 4}));
}

// Guards against revisions of different eras that are taken for each other, and
// against a changed message where the store states no era.
TEST(SchedulingMessage, RelayKeepsTheEra) {
  StoreRelay R;
  R.m_sender = "vm-0";
  R.m_from = {3, 11};
  R.m_to = {3, 13};
  R.m_changes = {{"k1", "v", {3, 12}, 7}};
  const StoreRelay D = roundTrip(R);
  EXPECT_EQ(D.m_from, R.m_from);
  EXPECT_EQ(D.m_to, R.m_to);
  EXPECT_EQ(D.m_changes.at(0).m_version, R.m_changes[0].m_version);
  R.m_from = {0, 11};
  R.m_to = {0, 13};
  R.m_changes.clear();
  const std::string Bytes = encodeSchedulingMessage(R);
  EXPECT_EQ(
      nlohmann::json::from_cbor(Bytes),
      nlohmann::json::array({4, "vm-0", 11, 13, nlohmann::json::array()}));
  for (const StoreVersion &Odd : {StoreVersion{MaxStoreEra + 1, 1},
                                  StoreVersion{1, std::uint64_t{1} << 40}}) {
    R.m_from = R.m_to = Odd;
    EXPECT_FALSE(decodeSchedulingMessage(encodeSchedulingMessage(R)));
  }
}

TEST(SchedulingMessage, PeerReportsAreToldApart) {
  EXPECT_FALSE(isSchedulingMessage(encodePeerReport(PeerReport())));
  EXPECT_FALSE(isSchedulingMessage(""));
}

// Guards against a process that foreign or damaged datagrams end.
TEST(SchedulingMessage, DamagedMessagesFail) {
  ScheduleRequest R;
  R.m_query.m_excluded = {"e1"};
  const std::string Valid = encodeSchedulingMessage(R);
  EXPECT_FALSE(decodeSchedulingMessage(""));
  EXPECT_FALSE(decodeSchedulingMessage("\x81\x18\x63"));
  for (std::size_t I = 0; I < Valid.size(); ++I)
    EXPECT_FALSE(decodeSchedulingMessage(Valid.substr(0, I)));
  std::mt19937 Random(1);
  for (int I = 0; I < 20000; ++I) {
    std::string Damaged = Valid;
    Damaged[Random() % Damaged.size()] = static_cast<char>(Random());
    (void)decodeSchedulingMessage(Damaged);
  }
}

TEST(SchedulingMessage, StartQueryKeepsItsFields) {
  const StartQuery D = roundTrip(StartQuery{{"vm-1", 1765000000000}, "d1"});
  EXPECT_EQ(D.m_sender.m_name, "vm-1");
  EXPECT_EQ(D.m_sender.m_start, 1765000000000U);
  EXPECT_EQ(D.m_domain, "d1");
}
