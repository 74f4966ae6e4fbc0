// Scores endpoints for one request.
#include "libgateway/chooser.h"
#include "primroseworks/hash.h"

#include <algorithm>

namespace primroseworks::gateway {

namespace {

std::string regionOf(const std::map<std::string, std::string> &Regions,
                     const std::string &Domain) {
  auto It = Regions.find(Domain);
  return It == Regions.end() ? Domain : It->second;
}

/// Whether the engine has a place for a request of this rank.
bool hasPlace(const ChoiceQuery &Query, const Service &Target,
              const EndpointLoad &Load, unsigned Slots, double ReadMs) {
  if (!Target.m_engine)
    return Load.m_requests < Slots + PlainQueueDepth;
  double Places = Slots;
  if (Query.m_rank >= FirstLowRank)
    Places *= LowRankShare;
  if (Load.m_requests >= Places)
    return false;
  if (ReadMs * static_cast<double>(Load.m_pendingPrefillTokens) > UnreadLimitMs)
    return false;
  if (Load.m_requests == 0 || Target.m_engine->m_kvTokens == 0)
    return true;
  return static_cast<double>(Load.m_kvTokens + Query.m_size.m_kvTokens) <=
         KvFillLimit * static_cast<double>(Target.m_engine->m_kvTokens);
}

} // namespace

Chooser::Chooser(std::string Domain, std::map<std::string, std::string> Regions)
    : m_domain(std::move(Domain)), m_regions(std::move(Regions)),
      m_region(regionOf(m_regions, m_domain)) {}

double Chooser::distanceMs(const std::string &Domain) const {
  if (Domain == m_domain)
    return 0;
  return regionOf(m_regions, Domain) == m_region ? OtherDomainPenaltyMs
                                                 : OtherRegionPenaltyMs;
}

double Chooser::scoreMs(const ChoiceQuery &Query, const Endpoint &E,
                        const EndpointLoad &Load, unsigned Slots,
                        double ReadMs) const {
  double Base = E.m_firstByteMs > 0 ? E.m_firstByteMs : TypicalLatencyMs;
  if (!Query.m_model.empty())
    Base += ReadMs * static_cast<double>(Load.m_pendingPrefillTokens);
  const double Fill = static_cast<double>(Load.m_requests) / Slots;
  double Score = Base * (1 + Fill) + distanceMs(E.m_record.m_failureDomain);
  Score += PausesPenaltyMs * E.m_stallShare + E.m_intervalMs;
  if (Fill > 1)
    Score += Base * (Fill - 1) * 2;
  if (Query.m_affinity != 0 && !Query.m_model.empty()) {
    // The endpoint that ranks first for this prompt has most likely read it.
    const std::uint64_t Rank =
        hash::number(E.m_record.m_id + std::to_string(Query.m_affinity));
    Score -= AffinityBonusMs * (static_cast<double>(Rank % 1024) / 1024.0);
  }
  const double Spread =
      std::min(SpreadMostMs, SpreadPerChooserMs * (Query.m_choosers - 1));
  const std::uint64_t Drawn =
      hash::number(E.m_record.m_id + std::to_string(Query.m_spreadSeed));
  Score += Spread * static_cast<double>(Drawn % 1024) / 1024.0;
  return Score;
}

Choice Chooser::choose(const ChoiceQuery &Query, const EndpointTable &Table,
                       const Service &Target, TimePoint Now) const {
  struct Candidate {
    const Endpoint *m_endpoint;
    EndpointLoad m_load;
    unsigned m_slots;
    bool m_avoided;
  };
  std::vector<Candidate> Fit;
  const double ReadMs = Table.prefillMsPerToken(Query.m_service);
  Choice Out;
  auto Note = [&Out](ChoiceObstacle O) {
    // The obstacle nearest to success is the one that tells what to change.
    if (static_cast<int>(O) > static_cast<int>(Out.m_obstacle))
      Out.m_obstacle = O;
  };
  for (const auto &[Id, E] : Table.all()) {
    if (E.m_record.m_service != Query.m_service || E.m_record.m_draining)
      continue;
    Note(ChoiceObstacle::NoEndpoint);
    if (!Query.m_model.empty() && Target.m_engine) {
      Note(ChoiceObstacle::NoModel);
      const HeldModel *M = E.held(Query.m_model);
      if (!M)
        continue;
      Note(ChoiceObstacle::NoAdapter);
      if (!E.holds(Query.m_model, Query.m_adapter))
        continue;
      auto Refused = E.m_rejectedArtifacts.find(
          EndpointTable::artifactKey(Query.m_model, Query.m_adapter));
      if (Refused != E.m_rejectedArtifacts.end() && Refused->second > Now)
        continue;
    }
    if (std::find(Query.m_excluded.begin(), Query.m_excluded.end(), Id) !=
        Query.m_excluded.end()) {
      Note(ChoiceObstacle::Excluded);
      continue;
    }
    unsigned Slots = E.m_record.m_slots;
    if (Target.m_engine && Target.m_engine->m_slots > 0)
      Slots = Target.m_engine->m_slots;
    Slots = std::max(1U, Slots);
    const EndpointLoad Load = E.load();
    if (!hasPlace(Query, Target, Load, Slots, ReadMs)) {
      Note(ChoiceObstacle::Full);
      continue;
    }
    Fit.push_back({&E, Load, Slots, E.m_failureShare > MaxFailureShare});
  }
  if (Fit.empty())
    return Out;
  // Avoided endpoints are used for a probe that is due, or if none is left.
  const Candidate *Best = nullptr;
  double BestScore = 0;
  const bool AllAvoided = std::all_of(
      Fit.begin(), Fit.end(), [](const Candidate &C) { return C.m_avoided; });
  for (const Candidate &C : Fit) {
    const bool Probe = C.m_avoided && Query.m_mayProbe &&
                       C.m_endpoint->m_nextProbe <= Now &&
                       C.m_endpoint->m_localLoad.m_requests == 0;
    if (C.m_avoided && !AllAvoided && !Probe)
      continue;
    double Score = scoreMs(Query, *C.m_endpoint, C.m_load, C.m_slots, ReadMs);
    if (C.m_avoided && !AllAvoided)
      Score -= 1000; // A due probe goes first.
    else
      Score *= 1 + C.m_endpoint->m_failureShare;
    if (!Best || Score < BestScore) {
      Best = &C;
      BestScore = Score;
    }
  }
  if (!Best)
    return Out; // Every fit endpoint is avoided, and none is due a probe.
  Out.m_obstacle = ChoiceObstacle::None;
  Out.m_endpoint = Best->m_endpoint->m_record.m_id;
  Out.m_scoreMs = BestScore;
  Out.m_load = Best->m_load.m_requests;
  Out.m_tokensAhead = Best->m_load.m_pendingPrefillTokens;
  Out.m_candidates = static_cast<unsigned>(Fit.size());
  return Out;
}

} // namespace primroseworks::gateway
