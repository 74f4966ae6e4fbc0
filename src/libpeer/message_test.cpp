// Tests of the message codec.
#include "primroseworks/message.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <random>

using namespace primroseworks;

namespace {

template <std::size_t I = 0> MessageBody emptyBody(std::size_t Index) {
  if constexpr (I < MessageTypeCount) {
    if (Index == I)
      return MessageBody(std::in_place_index<I>);
    return emptyBody<I + 1>(Index);
  }
  return {};
}

GossipMessage sampleGossip() {
  GossipMessage Body;
  Body.m_incarnation = 70'000;
  Body.m_configRevision = 12;
  RowDelta Whole;
  Whole.m_incarnation = 5;
  Whole.m_version = 9;
  Whole.m_hasIdentity = true;
  Whole.m_identity = {"entry-1", "highland", "rack-1", "0.1.0"};
  Whole.m_hasCount = true;
  Whole.m_endpointCount = 1;
  Whole.m_details = {{0, "engine-1", 1, {"a", "b"}}};
  Whole.m_loads = {{0, 33}};
  RowDelta Loads;
  Loads.m_incarnation = 6;
  Loads.m_version = 100;
  Loads.m_base = 99;
  Loads.m_loads = {{0, 1}, {3, 200}};
  RowDelta Progress;
  Progress.m_incarnation = 7;
  Progress.m_version = 4;
  Progress.m_base = 2;
  Body.m_rows = {Whole, Loads, Progress};
  SummaryDelta Summary;
  Summary.m_incarnation = 5;
  Summary.m_version = 3;
  Summary.m_base = 2;
  Summary.m_region = "islands";
  Summary.m_models = {{"m1", 0, 2, 17}, {"", 4, 1, 18}};
  Summary.m_joined = {{44, "entry-9"}};
  Summary.m_left = {41};
  Body.m_summaries = {Summary};
  Body.m_isDigest = true;
  Body.m_rowVersions = {{5, 9}};
  Body.m_wantRows = {6};
  return Body;
}

std::vector<MessageBody> sampleBodies() {
  std::vector<MessageBody> Out;
  for (std::size_t I = 0; I < MessageTypeCount; ++I)
    Out.push_back(emptyBody(I));
  Out.push_back(sampleGossip());
  Out.push_back(JournalClaimMessage{"key", "hash", "r-1", "entry-1", 9, "e"});
  Out.push_back(JournalReplyMessage{JournalStatus::Recorded, "r-1", "entry-1",
                                    9, "e", 201, "text/plain",
                                    std::string("\0\xff", 2)});
  Out.push_back(StrikesMessage{{{1ULL << 63, 2}}, {7}});
  Out.push_back(DemandReportMessage{
      {{{ArtifactKind::Adapter, "a", "2"}, "islands", {1234.0, 5.0, 0.0}}}});
  ConfigDocumentMessage Patched;
  Patched.m_revision = 8;
  Patched.m_hash = "h8";
  Patched.m_base = 7;
  Patched.m_patches = {{8, "h8", 10, 2, "new"}};
  Out.push_back(Patched);
  return Out;
}

} // namespace

// Guards against a field that is lost or changed on the way.
TEST(Message, RoundTripOfAllTypes) {
  for (const MessageBody &Body : sampleBodies()) {
    Message Sent{Body, 3, 4, 5, 6};
    const auto Encoded = encodeMessage(Sent);
    ASSERT_TRUE(Encoded);
    const auto Received = decodeMessage(Encoded.value());
    ASSERT_TRUE(Received) << Received.error().m_message;
    EXPECT_EQ(Received.value().type(), Sent.type());
    EXPECT_EQ(Received.value().m_request, 3U);
    EXPECT_EQ(Received.value().m_sequence, 6U);
    EXPECT_EQ(encodeMessage(Received.value()).value(), Encoded.value());
  }
}

// Guards against gossip rows that decode to other rows.
TEST(Message, GossipRows) {
  const auto Encoded = encodeMessage({sampleGossip()});
  const auto Received = decodeMessage(Encoded.value());
  ASSERT_TRUE(Received);
  const auto &Body = std::get<GossipMessage>(Received.value().m_body);
  ASSERT_EQ(Body.m_rows.size(), 3U);
  EXPECT_EQ(Body.m_rows[0].m_base, 0U);
  EXPECT_EQ(Body.m_rows[0].m_details[0].m_models.size(), 2U);
  EXPECT_EQ(Body.m_rows[1].m_base, 99U);
  EXPECT_EQ(Body.m_rows[1].m_loads[1], std::make_pair(3U, 200U));
  EXPECT_EQ(Body.m_rows[2].m_base, 2U);
  ASSERT_EQ(Body.m_summaries.size(), 1U);
  EXPECT_EQ(Body.m_summaries[0].m_models[0].m_model, "m1");
  EXPECT_EQ(Body.m_summaries[0].m_joined[0].second, "entry-9");
  EXPECT_TRUE(Body.m_isDigest);
}

// Guards against a newer program's extra field breaking an older program.
TEST(Message, UnknownFieldsAreIgnored) {
  nlohmann::json Map = {{"v", 1},   {"type", "heartbeat"}, {"i", 4}, {"c", 5},
                        {"x", "?"}, {"later", {1, 2, 3}}};
  const auto Cbor = nlohmann::json::to_cbor(Map);
  const auto Received =
      decodeMessage({reinterpret_cast<const char *>(Cbor.data()), Cbor.size()});
  ASSERT_TRUE(Received);
  EXPECT_EQ(std::get<HeartbeatMessage>(Received.value().m_body).m_incarnation,
            4U);
}

// Guards against demand reports that older versions refuse, and against
// refusing theirs: they know the tokens of all ranks together only.
TEST(Message, DemandReportOfAnotherVersion) {
  DemandReportMessage Body{
      {{{ArtifactKind::Model, "m", "1"}, "islands", {10.0, 20.0, 3.0}}}};
  const std::string Encoded = encodeMessage({Body}).value();
  nlohmann::json Map = nlohmann::json::from_cbor(Encoded);
  EXPECT_EQ(Map["entries"],
            nlohmann::json::array({"model", "m", "1", "islands", 33}));
  Map.erase("ranks");
  const auto Cbor = nlohmann::json::to_cbor(Map);
  const auto Received =
      decodeMessage({reinterpret_cast<const char *>(Cbor.data()), Cbor.size()});
  ASSERT_TRUE(Received) << Received.error().m_message;
  const auto &Got = std::get<DemandReportMessage>(Received.value().m_body);
  ASSERT_EQ(Got.m_entries.size(), 1U);
  EXPECT_EQ(Got.m_entries[0].m_tokens,
            (std::array<double, RankCount>{0.0, 33.0, 0.0}));
}

// Guards against untyped errors and against a field of another kind being
// taken for its value.
TEST(Message, RefusesWrongInput) {
  const std::vector<nlohmann::json> Wrong = {
      nlohmann::json::array(),
      {{"type", "heartbeat"}},
      {{"v", 2}, {"type", "heartbeat"}},
      {{"v", 1}, {"type", "strange"}},
      {{"v", 1}, {"type", "heartbeat"}, {"i", "text"}},
      {{"v", 1}, {"type", "heartbeat"}, {"i", -1}},
      {{"v", 1}, {"type", "gossip"}, {"r", {1, 2}}},
      {{"v", 1}, {"type", "gossip"}, {"dr", {1, 2, 3}}},
      {{"v", 1},
       {"type", "demand_report"},
       {"entries", {"model", "m", "1", "r", 5}},
       {"ranks", {1, 2}}},
      {{"v", 1}, {"type", "journal_result"}, {"status_code", 99}},
      {{"v", 1}, {"type", "journal_result"}, {"status_code", 600}},
      {{"v", 1}, {"type", "journal_reply"}, {"status", "?"}}};
  for (const auto &Map : Wrong) {
    const auto Cbor = nlohmann::json::to_cbor(Map);
    const auto Received = decodeMessage(
        {reinterpret_cast<const char *>(Cbor.data()), Cbor.size()});
    ASSERT_FALSE(Received) << Map;
    EXPECT_EQ(Received.error().m_kind, ErrorKind::Protocol);
  }
}

// Guards against exhausting the stack with 1 MB of nested array heads.
TEST(Message, RefusesDeepNesting) {
  for (const char Head : {'\x81', '\x9f', '\xa1'}) {
    const auto Received = decodeMessage(std::string(MaxMessageBytes, Head));
    ASSERT_FALSE(Received);
    EXPECT_EQ(Received.error().m_kind, ErrorKind::Protocol);
  }
}

// Guards against messages over the limit in either direction.
TEST(Message, SizeLimit) {
  JournalResultMessage Body;
  Body.m_body.assign(MaxMessageBytes, 'x');
  const auto Encoded = encodeMessage({Body});
  ASSERT_FALSE(Encoded);
  EXPECT_EQ(Encoded.error().m_kind, ErrorKind::InvalidArgument);
  EXPECT_FALSE(decodeMessage(std::string(MaxMessageBytes + 1, 'x')));
}

// Guards against a crash on damaged bytes: 20,000 seeded mutations of valid
// messages either decode or fail with Protocol.
TEST(Message, SeededMutations) {
  std::mt19937_64 Random(1);
  std::vector<std::string> Corpus;
  for (const MessageBody &Body : sampleBodies())
    Corpus.push_back(encodeMessage({Body, 1, 2}).value());
  for (int Round = 0; Round < 20'000; ++Round) {
    std::string Bytes = Corpus[Random() % Corpus.size()];
    for (unsigned Edit = 0, Edits = 1 + Random() % 4; Edit < Edits; ++Edit) {
      const std::size_t At = Random() % (Bytes.size() + 1);
      if (Random() % 3 == 0 && At < Bytes.size())
        Bytes.erase(At, 1 + Random() % 8);
      else if (Random() % 2 == 0 && At < Bytes.size())
        Bytes[At] = static_cast<char>(Random());
      else
        Bytes.insert(At, 1, static_cast<char>(Random()));
    }
    const auto Received = decodeMessage(Bytes);
    if (!Received)
      ASSERT_EQ(Received.error().m_kind, ErrorKind::Protocol);
    else
      (void)encodeMessage(Received.value());
  }
}
