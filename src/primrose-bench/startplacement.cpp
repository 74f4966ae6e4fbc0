// The placement that every contender of a run starts with.
#include "primrose-bench/simulation_pvt.h"

#include <algorithm>

namespace primroseworks::bench {

namespace {
constexpr double SettleSeconds = 600;

/// Tokens per second that callers of one region ask of one model.
struct SteadyDemand {
  std::size_t m_model;
  std::string m_region;
  Rank m_rank;
  double m_tokens;
};

std::vector<SteadyDemand> steadyDemand(const Deployment &D, double Load) {
  std::vector<SteadyDemand> All;
  for (const auto &Row : RankNames) {
    std::vector<double> Shares = D.popularity(Row.m_value);
    const RankWork &Work = D.m_work[static_cast<std::size_t>(Row.m_value)];
    double Tokens =
        D.rate(Row.m_value, Load) * (Work.m_promptTokens + Work.m_tokens);
    for (std::size_t M = 0; M < Shares.size(); ++M)
      for (std::size_t R = 0; R < D.m_regions.size(); ++R)
        All.push_back({M, D.m_regions[R], Row.m_value,
                       Tokens * Shares[M] * D.m_regionShares[R]});
  }
  return All;
}

// Utilization when each region's callers use the copies of their region, or all
// copies if it has none.
void utilize(const Deployment &D, const std::vector<SteadyDemand> &Demand,
             std::vector<AcceleratorView> &View) {
  for (AcceleratorView &A : View)
    A.m_utilization = 0;
  for (const SteadyDemand &Part : Demand) {
    Artifact Model{ArtifactKind::Model, D.m_models[Part.m_model], "1"};
    std::vector<AcceleratorView *> Near;
    std::vector<AcceleratorView *> All;
    for (AcceleratorView &A : View)
      for (const ResidentArtifact &R : A.m_resident)
        if (R.m_artifact == Model) {
          All.push_back(&A);
          if (A.m_region == Part.m_region)
            Near.push_back(&A);
        }
    const auto &Copies = Near.empty() ? All : Near;
    for (AcceleratorView *A : Copies)
      A->m_utilization += Part.m_tokens / D.tokensPerSecond() /
                          static_cast<double>(Copies.size());
  }
  for (AcceleratorView &A : View)
    A.m_utilization = std::min(1.0, A.m_utilization);
}

void applyMove(const Move &M, std::vector<AcceleratorView> &View) {
  auto A = std::find_if(View.begin(), View.end(), [&](const auto &V) {
    return V.m_endpoint == M.m_endpoint;
  });
  auto &Resident = A->m_resident;
  if (M.m_kind == MoveKind::Load) {
    Resident.push_back({M.m_artifact, M.m_bytes});
    A->m_claimedBytes += M.m_bytes;
    return;
  }
  Resident.erase(std::remove_if(Resident.begin(), Resident.end(),
                                [&](const ResidentArtifact &R) {
                                  return R.m_artifact == M.m_artifact;
                                }),
                 Resident.end());
  A->m_claimedBytes -= M.m_bytes;
}
} // namespace

StartPlacement settlePlacement(const Deployment &D, double Load) {
  PlannerOptions Options;
  Options.m_acceleratorTokensPerSecond = D.tokensPerSecond();
  auto Planner = std::move(createPlacementPlanner(Options).value());
  Planner->setCatalog(D.m_catalog, pvt::at(0));
  std::vector<AcceleratorView> View;
  for (const EndpointInfo &Info : D.m_engines) {
    AcceleratorView A;
    A.m_endpoint = Info.m_name;
    A.m_region = Info.m_region;
    A.m_failureDomain = Info.m_failureDomain;
    A.m_memoryBytes = D.m_engine.m_memoryBytes;
    A.m_claimedBytes = D.m_engine.m_kvBytes;
    View.push_back(std::move(A));
  }
  std::vector<SteadyDemand> Demand = steadyDemand(D, Load);
  for (int Second = 0; Second < static_cast<int>(SettleSeconds); ++Second) {
    for (const SteadyDemand &Part : Demand)
      Planner->observeDemand(
          {ArtifactKind::Model, D.m_models[Part.m_model], "1"}, Part.m_region,
          Part.m_tokens, pvt::at(Second), Part.m_rank);
    utilize(D, Demand, View);
    for (const Move &M : Planner->plan(View, {3, 100}, pvt::at(Second + 1.0)))
      applyMove(M, View);
  }
  StartPlacement Start;
  for (const AcceleratorView &A : View) {
    Start.emplace_back();
    for (const ResidentArtifact &R : A.m_resident)
      Start.back().insert(R.m_artifact);
  }
  return Start;
}

} // namespace primroseworks::bench
