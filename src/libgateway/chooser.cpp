// Scores the endpoints for one request.
#include "libgateway/chooser.h"
#include "primroseworks/hash.h"

#include <algorithm>
#include <array>

namespace primroseworks::gateway {

namespace {

/// Region of a failure domain; a domain that is not listed is its own region.
std::string regionOf(const std::map<std::string, std::string> &Regions,
                     const std::string &Domain) {
  auto It = Regions.find(Domain);
  return It == Regions.end() ? Domain : It->second;
}

/// Obstacles, from the one farthest from success to the closest.
constexpr std::array<ChoiceObstacle, 7> ObstacleOrder = {
    ChoiceObstacle::None,     ChoiceObstacle::NoEndpoint,
    ChoiceObstacle::NoModel,  ChoiceObstacle::NoAdapter,
    ChoiceObstacle::Excluded, ChoiceObstacle::Paused,
    ChoiceObstacle::Full};

bool closerToSuccess(ChoiceObstacle A, ChoiceObstacle B) {
  const auto Position = [](ChoiceObstacle O) {
    return std::find(ObstacleOrder.begin(), ObstacleOrder.end(), O);
  };
  return Position(A) > Position(B);
}

/// Largest batch of an engine whose prompts are bounded by the pauses of its
/// streams. Engines with large batches read prompts for much of their time; one
/// prompt at a time would leave them idle between two.
constexpr unsigned MaxPauseBoundSlots = 16;

/// Longest pause of the streams on the service's engines that bounds their
/// prompts; zero: only the backlog does.
Milliseconds boundingPause(const Service &Target) {
  const bool Bounded =
      Target.m_engine && Target.m_engine->m_slots <= MaxPauseBoundSlots;
  return Bounded ? Target.m_gapTarget : Milliseconds::zero();
}

/// Prefill at an engine if it is sent the request now.
PrefillWork prefillWork(const ChoiceQuery &Query, const EndpointLoad &Load,
                        double MsPerToken) {
  return {MsPerToken * static_cast<double>(Load.m_pendingPrefillTokens),
          MsPerToken * static_cast<double>(Query.m_size.m_promptTokens)};
}

/// Whether the endpoint has capacity for a request of this rank.
bool hasCapacity(const ChoiceQuery &Query, const Service &Target,
                 const EndpointLoad &Load, unsigned Slots,
                 const PrefillWork &Prefill) {
  if (!Target.m_engine)
    return Load.m_requests < Slots + MaxPlainQueueDepth;
  double MaxRequests = Slots;
  if (Query.m_rank >= FirstLowRank)
    MaxRequests *= MaxLowRankShare;
  if (Load.m_requests >= MaxRequests)
    return false;
  if (!mayPrefill(Prefill, boundingPause(Target)))
    return false;
  if (Load.m_requests == 0 || Target.m_engine->m_kvTokens == 0)
    return true;
  return static_cast<double>(Load.m_kvTokens + Query.m_size.m_kvTokens) <=
         MaxKvFill * static_cast<double>(Target.m_engine->m_kvTokens);
}

} // namespace

Chooser::Chooser(std::string Domain, std::map<std::string, std::string> Regions)
    : m_domain(std::move(Domain)), m_regions(std::move(Regions)) {}

double Chooser::distancePenaltyMs(const std::string &From,
                                  const std::string &To) const {
  if (From == To)
    return 0;
  return regionOf(m_regions, From) == regionOf(m_regions, To)
             ? OtherDomainPenaltyMs
             : OtherRegionPenaltyMs;
}

double Chooser::scoreMs(const ChoiceQuery &Query, const Endpoint &E,
                        const EndpointLoad &Load, unsigned Slots,
                        const PrefillWork &Prefill,
                        Milliseconds GapTarget) const {
  double BaseMs = E.m_firstByteMs > 0 ? E.m_firstByteMs : DefaultLatencyMs;
  if (!Query.m_model.empty())
    BaseMs += Prefill.m_pendingMs;
  const double Fill = static_cast<double>(Load.m_requests) / Slots;
  double ScoreMs =
      BaseMs * (1 + Fill) +
      distancePenaltyMs(Query.m_domain.empty() ? m_domain : Query.m_domain,
                        E.m_record.m_failureDomain);
  ScoreMs += StallPenaltyMs * E.m_stallShare + E.m_intervalMs;
  if (pausesStreams(Prefill, GapTarget))
    ScoreMs += StallPenaltyMs * Fill;
  if (Fill > 1)
    ScoreMs += BaseMs * (Fill - 1) * 2;
  if (Query.m_affinity != 0 && !Query.m_model.empty()) {
    // Rendezvous hashing: the endpoint with the highest hash for this prompt
    // has most likely cached its prefix.
    const std::uint64_t AffinityHash =
        hash::number(E.m_record.m_id + std::to_string(Query.m_affinity));
    ScoreMs -= PrefixCacheBonusMs *
               (static_cast<double>(AffinityHash % 1024) / 1024.0);
  }
  const double JitterRangeMs =
      std::min(MaxJitterMs, JitterPerGatewayMs * (Query.m_gatewayCount - 1));
  const std::uint64_t JitterHash =
      hash::number(E.m_record.m_id + std::to_string(Query.m_jitterSeed));
  ScoreMs += JitterRangeMs * static_cast<double>(JitterHash % 1024) / 1024.0;
  return ScoreMs;
}

Choice Chooser::choose(const ChoiceQuery &Query, const EndpointTable &Table,
                       const Service &Target, TimePoint Now) const {
  struct Candidate {
    const Endpoint *m_endpoint;
    EndpointLoad m_load;
    unsigned m_slots;
    PrefillWork m_prefill;
    bool m_avoided;
  };
  std::vector<Candidate> Candidates;
  Choice Out;
  auto RecordObstacle = [&Out](ChoiceObstacle O) {
    // Reports the obstacle that is closest to success: it tells what to change.
    if (closerToSuccess(O, Out.m_obstacle))
      Out.m_obstacle = O;
  };
  TimePoint PauseEnd = TimePoint::max();
  TimePoint ExcludedPauseEnd = TimePoint::max();
  const bool NeedsModel = !Query.m_model.empty() && Target.m_engine;
  if (NeedsModel) {
    const auto &All = Table.holders(Query.m_service, "");
    if (std::any_of(All.begin(), All.end(),
                    [Now](const Endpoint *E) { return E->available(Now); }))
      RecordObstacle(ChoiceObstacle::NoModel);
  }
  for (const Endpoint *Holder :
       Table.holders(Query.m_service, NeedsModel ? Query.m_model : "")) {
    const Endpoint &E = *Holder;
    const std::string &Id = E.m_record.m_id;
    if (!E.available(Now))
      continue;
    RecordObstacle(ChoiceObstacle::NoEndpoint);
    if (NeedsModel) {
      RecordObstacle(ChoiceObstacle::NoAdapter);
      if (!E.holds(Query.m_model, Query.m_adapter))
        continue;
      auto Rejected = E.m_rejectedArtifacts.find(
          EndpointTable::artifactKey(Query.m_model, Query.m_adapter));
      if (Rejected != E.m_rejectedArtifacts.end() && Rejected->second > Now)
        continue;
    }
    if (std::find(Query.m_excluded.begin(), Query.m_excluded.end(), Id) !=
        Query.m_excluded.end()) {
      RecordObstacle(ChoiceObstacle::Excluded);
      if (E.paused(Now))
        ExcludedPauseEnd = std::min(ExcludedPauseEnd, E.m_notice.m_pausedUntil);
      continue;
    }
    if (!E.acceptsRequests(Now)) {
      RecordObstacle(ChoiceObstacle::Paused);
      PauseEnd = std::min(PauseEnd, E.m_notice.m_pausedUntil);
      continue;
    }
    // After a refused connection, one request finds out whether it is back.
    if (E.m_refusedConnections > 0 && E.m_localLoad.m_requests > 0) {
      RecordObstacle(ChoiceObstacle::Full);
      continue;
    }
    unsigned Slots = E.m_record.m_slots;
    if (Target.m_engine && Target.m_engine->m_slots > 0)
      Slots = Target.m_engine->m_slots;
    Slots = std::max(1U, Slots);
    const EndpointLoad Load = E.load();
    const PrefillPace &Pace = Table.prefillPace();
    const double MsPerToken = boundingPause(Target) > Milliseconds::zero()
                                  ? Pace.msPerToken(Query.m_service, Id)
                                  : Pace.msPerToken(Query.m_service);
    const PrefillWork Prefill = prefillWork(Query, Load, MsPerToken);
    if (!hasCapacity(Query, Target, Load, Slots, Prefill)) {
      RecordObstacle(ChoiceObstacle::Full);
      continue;
    }
    if (E.atPaceLimit(Load)) {
      RecordObstacle(ChoiceObstacle::Full);
      Out.m_limited = true;
      continue;
    }
    Candidates.push_back(
        {&E, Load, Slots, Prefill, E.m_failureShare > MaxFailureShare});
  }
  if (Candidates.empty()) {
    if (Out.m_obstacle == ChoiceObstacle::Paused)
      Out.m_pausedUntil = PauseEnd;
    else if (Out.m_obstacle == ChoiceObstacle::Excluded &&
             ExcludedPauseEnd < TimePoint::max())
      Out.m_pausedUntil = ExcludedPauseEnd;
    return Out;
  }
  // An avoided endpoint is used only for a due probe, or if all are avoided.
  const Candidate *Best = nullptr;
  double BestScoreMs = 0;
  const bool AllAvoided =
      std::all_of(Candidates.begin(), Candidates.end(),
                  [](const Candidate &C) { return C.m_avoided; });
  for (const Candidate &C : Candidates) {
    const bool Probe = C.m_avoided && Query.m_mayProbe &&
                       C.m_endpoint->m_nextProbe <= Now &&
                       C.m_endpoint->m_localLoad.m_requests == 0;
    if (C.m_avoided && !AllAvoided && !Probe)
      continue;
    double ScoreMs = scoreMs(Query, *C.m_endpoint, C.m_load, C.m_slots,
                             C.m_prefill, boundingPause(Target));
    if (C.m_avoided && !AllAvoided)
      ScoreMs -= 1000; // A due probe takes precedence.
    else
      ScoreMs *= 1 + C.m_endpoint->m_failureShare;
    if (!Best || ScoreMs < BestScoreMs) {
      Best = &C;
      BestScoreMs = ScoreMs;
    }
  }
  if (!Best)
    return Out; // Not reached: if every candidate is avoided, all are scored.
  Out.m_obstacle = ChoiceObstacle::None;
  Out.m_endpoint = Best->m_endpoint->m_record.m_id;
  Out.m_scoreMs = BestScoreMs;
  Out.m_load = Best->m_load.m_requests;
  Out.m_pendingPrefillTokens = Best->m_load.m_pendingPrefillTokens;
  Out.m_candidates = static_cast<unsigned>(Candidates.size());
  return Out;
}

} // namespace primroseworks::gateway
