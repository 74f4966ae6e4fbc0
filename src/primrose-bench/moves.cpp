// Engines in a run: load reports, losses, and the moves that planners order.
#include "primrose-bench/simulation_pvt.h"

#include <fmt/format.h>

#include <algorithm>

namespace primroseworks::bench::pvt {

namespace {
constexpr double OrderDelay = 0.005;
constexpr double AdapterLoadSeconds = 0.03;
constexpr double DrainPollInterval = 0.1;
constexpr double DrainTime = 0.5;   ///< Until all daemons know of a drain.
constexpr double LossDetection = 3; ///< Until all know that an engine is gone.
} // namespace

void Simulation::report(std::size_t EngineIndex) {
  Engine &E = m_engines[EngineIndex];
  if (E.m_dead)
    return;
  LoadReport Report = E.m_fake->report();
  // Artifacts that are being drained are not offered to the dispatchers.
  auto &Resident = Report.m_resident;
  Resident.erase(std::remove_if(Resident.begin(), Resident.end(),
                                [&](const ResidentArtifact &R) {
                                  return E.m_fake->draining(R.m_artifact);
                                }),
                 Resident.end());
  E.m_sentSince.assign(m_dispatchers.size(), 0);
  std::vector<CacheEvent> Events = E.m_fake->takeCacheEvents();
  for (std::size_t D = 0; D < m_dispatchers.size(); ++D)
    after(delay(D, EngineIndex) + m_scenario.m_reportLag, [this, D, EngineIndex,
                                                           Report, Events] {
      if (m_engines[EngineIndex].m_gone)
        return;
      const std::string &Name = m_deployment.m_engines[EngineIndex].m_name;
      m_dispatchers[D]->onReport(Name, Report, at(m_now));
      if (!Events.empty())
        m_dispatchers[D]->onCacheEvents(Name, Events, at(m_now));
      poll(D);
    });
  after(ReportInterval / 2, [this, EngineIndex] { tellPeers(EngineIndex); });
  after(ReportInterval, [this, EngineIndex] { report(EngineIndex); });
}

// Daemons tell each other what they have sent since the last report.
void Simulation::tellPeers(std::size_t EngineIndex) {
  const Engine &E = m_engines[EngineIndex];
  if (E.m_gone)
    return;
  unsigned All = 0;
  for (unsigned Sent : E.m_sentSince)
    All += Sent;
  for (std::size_t D = 0; D < m_dispatchers.size(); ++D)
    m_dispatchers[D]->onPeerLoad(m_deployment.m_engines[EngineIndex].m_name,
                                 All - E.m_sentSince[D], at(m_now));
}

void Simulation::killEngine(std::size_t EngineIndex) {
  Engine &E = m_engines[EngineIndex];
  E.m_dead = true;
  for (const EngineJob &Job : E.m_fake->takeAll()) {
    std::size_t Index = std::stoul(Job.m_id);
    serve(Job);
    m_result.m_wastedTokens += Job.m_prefilled - Job.m_cachedTokens;
    m_live[Index].m_generated += Job.m_generated;
    after(delay(m_live[Index].m_daemon, EngineIndex),
          [this, Index, EngineIndex] {
            attemptFailed(Index, EngineIndex, AttemptOutcome::EndpointDied);
          });
  }
  after(LossDetection, [this, EngineIndex] {
    m_engines[EngineIndex].m_gone = true;
    for (auto &Dispatcher : m_dispatchers)
      Dispatcher->removeEndpoint(m_deployment.m_engines[EngineIndex].m_name,
                                 at(m_now));
  });
}

AcceleratorView Simulation::view(std::size_t EngineIndex) const {
  const FakeEngine &Fake = *m_engines[EngineIndex].m_fake;
  const EndpointInfo &Info = m_deployment.m_engines[EngineIndex];
  AcceleratorView View;
  View.m_endpoint = Info.m_name;
  View.m_region = Info.m_region;
  View.m_failureDomain = Info.m_failureDomain;
  View.m_memoryBytes = m_deployment.m_engine.m_memoryBytes;
  View.m_claimedBytes = m_deployment.m_engine.m_kvBytes + Fake.claimedBytes();
  for (const auto &[A, Bytes] : Fake.residents())
    View.m_resident.push_back({A, Bytes});
  for (const auto &[A, Bytes] : Fake.loading())
    View.m_loading.push_back(A);
  View.m_unloading.assign(Fake.drainingSet().begin(), Fake.drainingSet().end());
  View.m_utilization = Fake.utilization();
  return View;
}

std::vector<RemoteRegion> Simulation::summaries() const {
  std::vector<RemoteRegion> All;
  for (const std::string &Region : m_deployment.m_regions) {
    RemoteRegion Summary;
    Summary.m_region = Region;
    std::set<std::pair<std::string, std::string>> Seen;
    for (std::size_t E = 0; E < m_engines.size(); ++E) {
      if (m_deployment.m_engines[E].m_region != Region || m_engines[E].m_gone)
        continue;
      if (++Summary.m_liveAccelerators == 1) {
        Summary.m_utilization = 0;
        Summary.m_largestFree = 0;
      }
      const AcceleratorView Now = view(E);
      Summary.m_largestFree = std::max(
          Summary.m_largestFree,
          Now.m_memoryBytes - std::min(Now.m_memoryBytes, Now.m_claimedBytes));
      Summary.m_utilization +=
          (m_engines[E].m_fake->utilization() - Summary.m_utilization) /
          Summary.m_liveAccelerators;
      for (const auto &[A, Bytes] : m_engines[E].m_fake->residents())
        if (A.m_kind == ArtifactKind::Model &&
            !m_engines[E].m_fake->draining(A)) {
          if (Seen.insert({m_deployment.m_engines[E].m_failureDomain, A.m_name})
                  .second)
            ++Summary.m_replicas[A.m_name];
          double Used = m_engines[E].m_fake->utilization();
          auto [Least, New] =
              Summary.m_leastUtilization.try_emplace(A.m_name, Used);
          Least->second = std::min(Least->second, Used);
        }
    }
    All.push_back(std::move(Summary));
  }
  return All;
}

void Simulation::plan(std::size_t Planner) {
  const LoadLimits &Limits = m_deployment.m_catalog->m_loadLimits;
  m_loadCredit =
      std::min(static_cast<double>(Limits.m_concurrentLoads),
               m_loadCredit + (m_now - m_creditTime) * Limits.m_loadsPerSecond);
  m_creditTime = m_now;
  std::vector<AcceleratorView> View;
  for (std::size_t E = 0; E < m_engines.size(); ++E)
    if (!m_engines[E].m_gone &&
        (m_plannerRegions[Planner].empty() ||
         m_deployment.m_engines[E].m_region == m_plannerRegions[Planner]))
      View.push_back(view(E));
  m_planners[Planner]->setRemoteRegions(summaries());
  LoadBudget Budget;
  Budget.m_models =
      std::min(static_cast<unsigned>(m_loadCredit),
               Limits.m_concurrentLoads -
                   std::min(Limits.m_concurrentLoads, m_modelLoads));
  Budget.m_adapters = Limits.m_concurrentAdapterLoads -
                      std::min(Limits.m_concurrentAdapterLoads, m_adapterLoads);
  for (const Move &M : m_planners[Planner]->plan(View, Budget, at(m_now))) {
    std::size_t E = engineIndex(M.m_endpoint);
    if (m_trace && M.m_artifact.m_kind == ArtifactKind::Model)
      fmt::print(stderr, "{} at {:.1f} s: {} {} on {}: {}\n",
                 m_contender.name(), m_now, nameOf(MoveKindNames, M.m_kind),
                 M.m_artifact.m_name, M.m_endpoint, M.m_reason);
    if (M.m_kind == MoveKind::Load)
      startLoad(E, M);
    else
      startUnload(E, M);
  }
  after(PlanInterval, [this, Planner] { plan(Planner); });
}

void Simulation::startLoad(std::size_t EngineIndex, const Move &M) {
  Engine &E = m_engines[EngineIndex];
  if (E.m_dead || !E.m_fake->claim(M.m_artifact, M.m_bytes))
    return;
  const LoadLimits &Limits = m_deployment.m_catalog->m_loadLimits;
  bool Model = M.m_artifact.m_kind == ArtifactKind::Model;
  unsigned &InFlight = Model ? m_modelLoads : m_adapterLoads;
  unsigned Limit =
      Model ? Limits.m_concurrentLoads : Limits.m_concurrentAdapterLoads;
  ++InFlight;
  double Crowd =
      std::max(1.0, static_cast<double>(InFlight) / static_cast<double>(Limit));
  double Time = Model ? static_cast<double>(M.m_bytes) / LoadBytesPerSecond
                      : AdapterLoadSeconds;
  if (Model) {
    ++m_result.m_modelLoads;
    m_result.m_repairs += M.m_required ? 1 : 0;
    m_loadCredit -= 1;
    m_result.m_peakLoads = std::max(m_result.m_peakLoads, InFlight);
  } else {
    ++m_result.m_adapterLoads;
    m_result.m_peakAdapterLoads =
        std::max(m_result.m_peakAdapterLoads, InFlight);
  }
  after(OrderDelay + Time * Crowd * m_scenario.m_storeSlowdown,
        [this, EngineIndex, A = M.m_artifact, &InFlight] {
          --InFlight;
          m_engines[EngineIndex].m_fake->finishLoad(A);
        });
}

void Simulation::startUnload(std::size_t EngineIndex, const Move &M) {
  Engine &E = m_engines[EngineIndex];
  if (E.m_dead || !E.m_fake->resident(M.m_artifact) ||
      E.m_fake->draining(M.m_artifact))
    return;
  if (M.m_artifact.m_kind == ArtifactKind::Model)
    ++m_result.m_modelUnloads;
  E.m_fake->startDrain(M.m_artifact);
  after(DrainTime + m_scenario.m_reportLag,
        [this, EngineIndex, A = M.m_artifact] { watchDrain(EngineIndex, A); });
}

void Simulation::watchDrain(std::size_t EngineIndex, const Artifact &A) {
  FakeEngine &Fake = *m_engines[EngineIndex].m_fake;
  if (!Fake.inUse(A))
    Fake.unload(A);
  else
    after(DrainPollInterval,
          [this, EngineIndex, A] { watchDrain(EngineIndex, A); });
}

void Simulation::watchOutages() {
  for (std::size_t M = 0; M < m_outage.size(); ++M) {
    Artifact Model{ArtifactKind::Model, m_deployment.m_models[M], "1"};
    bool Resident =
        std::any_of(m_engines.begin(), m_engines.end(), [&](const Engine &E) {
          return !E.m_dead && E.m_fake->resident(Model) &&
                 !E.m_fake->draining(Model);
        });
    m_outage[M] = Resident ? 0 : m_outage[M] + OutageInterval;
    if (m_outage[M] > 0) {
      double LoadTime =
          static_cast<double>(
              m_deployment.m_catalog->m_models.at(Model.m_name).m_weightBytes) /
          LoadBytesPerSecond;
      m_result.m_worstOutage =
          std::max(m_result.m_worstOutage, m_outage[M] - LoadTime);
    }
  }
  if (m_now < m_scenario.m_length)
    after(OutageInterval, [this] { watchOutages(); });
}

} // namespace primroseworks::bench::pvt
