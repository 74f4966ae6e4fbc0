// Typical messages of each kind, with names of the length used at the target
// size.
#include "primrose-controlbench/messages.h"
#include "primroseworks/time.h"

#include <iostream>
#include <spdlog/fmt/fmt.h>

namespace primroseworks::controlbench {
namespace {

constexpr int Rounds = 20'000;

void measure(const std::string &Name, MessageBody Body) {
  Message Value{std::move(Body)};
  Value.m_request = 100'000;
  std::size_t Size = 0;
  std::size_t Decoded = 0;
  const auto Start = std::chrono::steady_clock::now();
  for (int Round = 0; Round < Rounds; ++Round) {
    const auto Encoded = encodeMessage(Value);
    Size = Encoded.value().size();
    Decoded += decodeMessage(Encoded.value()).has_value();
  }
  const double Micros =
      toSeconds(std::chrono::steady_clock::now() - Start) * 1e6 / Rounds;
  std::cout << fmt::format("{:<34} {:>6} bytes {:>7.2f} us encode + decode{}\n",
                           Name, Size, Micros,
                           Decoded == Rounds ? "" : " (not decoded)");
}

const std::string Key = "caller-0123/7f3c2a90-88aa-4c1e-9b5e-3b1f0a2c4d5e";
const std::string RequestId = "entry-123-70000-000000123456";

} // namespace

GossipMessage sampleGossip(std::uint64_t Version) {
  GossipMessage Out;
  Out.m_incarnation = 70'000;
  Out.m_configRevision = 90'000;
  for (unsigned I = 0; I < 14; ++I) {
    RowDelta Row;
    Row.m_incarnation = 70'000 + I;
    Row.m_version = 100'000 + Version;
    Row.m_base = Row.m_version - 1;
    Row.m_loads = {{I % 9, 80}, {(I + 3) % 9, 97}};
    Out.m_rows.push_back(std::move(Row));
  }
  return Out;
}

void measureMessages() {
  measure("heartbeat", HeartbeatMessage{70'000, 90'000});
  measure("gossip, 14 rows, 2 loads each", sampleGossip(1));
  measure("journal_claim",
          JournalClaimMessage{Key, std::string(32, 'a'), RequestId, "entry-123",
                              70'000, "engine-1234"});
  JournalReplyMessage Claimed;
  Claimed.m_status = JournalStatus::Claimed;
  Claimed.m_requestId = RequestId;
  measure("journal_reply, claimed", Claimed);
  measure("journal_result, 1 KB body",
          JournalResultMessage{Key, RequestId, 200, "application/json",
                               std::string(1000, 'x'), "hash"});
  StrikesMessage Strikes;
  for (std::uint64_t I = 0; I < 8; ++I)
    Strikes.m_strikes.emplace_back((1ULL << 63) + I, 1);
  measure("strikes, 8 fingerprints", Strikes);
  PlannedMoveMessage Planned;
  Planned.m_plannerIncarnation = 70'000;
  Planned.m_move = {MoveKind::Load,
                    "engine-1234",
                    {ArtifactKind::Model, "model-123", "17"},
                    16'000'000'000,
                    "demand 3.2 of 2.0 replicas"};
  measure("planned_move", Planned);
  DemandReportMessage Demand;
  for (int I = 0; I < 20; ++I)
    Demand.m_entries.push_back(
        {{ArtifactKind::Model, fmt::format("model-{:03}", I), "17"},
         "region-1",
         {600, 1200, 600}});
  measure("demand_report, 20 models", Demand);
  measure("demand_report, empty", DemandReportMessage{});
  measure("config_fetch", ConfigFetchMessage{90'001, 90'000});
  ConfigDocumentMessage Patch;
  Patch.m_revision = 90'001;
  Patch.m_base = 90'000;
  Patch.m_hash = std::string(32, 'a');
  Patch.m_patches = {{90'001, Patch.m_hash, 65'000, 24, std::string(24, 'x')}};
  measure("config_document, one line", Patch);
  ConfigDocumentMessage Whole;
  Whole.m_revision = 90'001;
  Whole.m_hash = Patch.m_hash;
  Whole.m_document = std::string(130'000, 'x');
  measure("config_document, whole 130 KB", Whole);
  measure("stream_lookup", StreamLookupMessage{RequestId});
  measure("stream_location",
          StreamLocationMessage{true, "engine-1234", "model-123"});
}

} // namespace primroseworks::controlbench
