// Plans the moves of this daemon's region.
#include "primrosed/placementtask.h"

#include <algorithm>
#include <spdlog/spdlog.h>

namespace primroseworks {

namespace {

// A move whose result no report shows after this is planned anew.
constexpr Seconds SentTimeout{60};

// An engine whose last report is older is taken for dead, and its models are
// placed elsewhere, unless its state is known to be current (see EngineStatus).
// Without rows reports are read every second; the limit leaves 2 s of the 5 s
// within which a lost model has to start loading.
constexpr Seconds ReportMaxAge{3};

// An accelerator whose owner refused a load is no target for it this long. The
// owner's ledger frees the claim of an order without answer after 30 s at the
// most; each second the same load was refused by the same owner 20 times.
constexpr Seconds RefusalTime{5};

// Weight of a new reading of an engine's utilization, one reading a second.
constexpr double UtilizationWeight = 0.1;

// Without a summary of this age, the direct reads tell of a region. It is the
// age from which its engines are read directly.
constexpr Seconds SummaryMaxAge{30};

bool holds(const std::vector<ResidentArtifact> &Resident, const Artifact &A) {
  return std::any_of(
      Resident.begin(), Resident.end(),
      [&](const ResidentArtifact &R) { return R.m_artifact == A; });
}

} // namespace

Result<std::unique_ptr<PlacementTask>>
PlacementTask::create(DaemonContext &Context, Fleet &Endpoints,
                      MoveSender Send) {
  std::unique_ptr<PlacementTask> Made(
      new PlacementTask(Context, Endpoints, std::move(Send)));
  PlannerOptions Options;
  Options.m_region = Context.m_settings.m_region;
  BOOST_OUTCOME_TRY(Planner, createPlacementPlanner(Options));
  Made->m_planner = std::move(Planner);
  return Made;
}

void PlacementTask::observe(const Artifact &Wanted, double Tokens, Rank R) {
  std::lock_guard<std::mutex> Lock(m_mutex);
  m_demand[{Wanted, R}] += Tokens;
}

void PlacementTask::passDemand(unsigned Members, TimePoint Now) {
  std::map<std::pair<Artifact, Rank>, double> Seen;
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    Seen.swap(m_demand);
  }
  for (const auto &[Key, Tokens] : Seen)
    m_planner->observeDemand(Key.first, m_context.m_settings.m_region,
                             Tokens * Members, Now, Key.second);
}

double PlacementTask::smoothedUtilization(const EngineStatus &E) {
  double &Smooth = m_utilization[E.m_vm.m_name];
  Smooth += UtilizationWeight * (throughputShare(*E.m_report) - Smooth);
  return Smooth;
}

void PlacementTask::addRemote(const EngineStatus &E, RemoteSums &Sums) {
  RemoteSum &Sum = Sums[E.m_vm.m_region];
  if (E.m_vm.m_state == VmState::Leaving)
    return;
  ++Sum.m_live;
  const std::uint64_t Size = E.m_report->m_memoryBytes;
  Sum.m_largestFree = std::max(Sum.m_largestFree,
                               Size - std::min(Size, heldBytes(*E.m_report)));
  double Used = smoothedUtilization(E);
  Sum.m_utilization += Used;
  auto Config = m_context.m_catalog.get();
  for (const ResidentArtifact &Held : E.m_report->m_resident) {
    auto Model = Config->m_models.find(Held.m_artifact.m_name);
    if (Held.m_artifact.m_kind == ArtifactKind::Model &&
        Model != Config->m_models.end() &&
        Model->second.m_version == Held.m_artifact.m_version) {
      Sum.m_domains[Model->first].insert(E.m_vm.m_failureDomain);
      auto [Least, New] =
          Sum.m_leastUtilization.try_emplace(Model->first, Used);
      Least->second = std::min(Least->second, Used);
    }
  }
}

RemoteRegion
PlacementTask::fromSummary(const RegionCapacity &Region,
                           const std::map<std::string, EngineStatus> &Engines) {
  RemoteRegion Out;
  Out.m_region = Region.m_region;
  Out.m_liveAccelerators = Region.m_capacity->m_liveAccelerators;
  Out.m_utilization = Region.m_capacity->m_utilizationPercent / 100.0;
  Out.m_largestFree = Region.m_capacity->m_largestFree;
  auto Config = m_context.m_catalog.get();
  std::map<std::string, std::set<std::string>> Domains;
  for (const auto &[Name, Endpoint] : Region.m_endpoints) {
    auto E = Engines.find(Name);
    // This daemon may know later than the summary that an engine is dead.
    if (E == Engines.end() || !E->second.m_reachable ||
        E->second.m_vm.m_state == VmState::Leaving ||
        Endpoint.m_state != SummaryState::Live)
      continue;
    for (const std::string &Text : Endpoint.m_models) {
      auto Held = gossipArtifact(Text);
      if (!Held || Held->m_kind != ArtifactKind::Model)
        continue;
      auto Model = Config->m_models.find(Held->m_name);
      if (Model == Config->m_models.end() ||
          Model->second.m_version != Held->m_version)
        continue;
      Domains[Held->m_name].insert(E->second.m_vm.m_failureDomain);
      auto Load = Region.m_models.find(Text);
      if (Load != Region.m_models.end())
        Out.m_leastUtilization[Held->m_name] =
            Load->second.m_leastPercent / 100.0;
    }
  }
  for (const auto &[Model, In] : Domains)
    Out.m_replicas[Model] = static_cast<unsigned>(In.size());
  return Out;
}

AcceleratorView PlacementTask::localView(const EngineStatus &E,
                                         const std::vector<Move> &InFlight) {
  const LoadReport &R = *E.m_report;
  AcceleratorView V;
  V.m_endpoint = E.m_vm.m_name;
  V.m_region = E.m_vm.m_region;
  V.m_failureDomain = E.m_vm.m_failureDomain;
  V.m_leaving = E.m_vm.m_state == VmState::Leaving;
  V.m_memoryBytes = R.m_memoryBytes;
  V.m_resident = R.m_resident;
  V.m_claimedBytes = heldBytes(R);
  for (const Move &M : InFlight) {
    if (M.m_endpoint != V.m_endpoint)
      continue;
    if (M.m_kind == MoveKind::Unload) {
      V.m_unloading.push_back(M.m_artifact);
    } else if (!holds(R.m_resident, M.m_artifact)) {
      V.m_loading.push_back(M.m_artifact);
      V.m_claimedBytes += M.m_bytes;
    }
  }
  for (const Sent &Refused : m_refused)
    if (Refused.m_move.m_endpoint == V.m_endpoint)
      V.m_refused.push_back(Refused.m_move.m_artifact);
  V.m_utilization = smoothedUtilization(E);
  return V;
}

std::vector<AcceleratorView>
PlacementTask::view(std::vector<RemoteRegion> &Remote,
                    const std::map<std::string, RegionCapacity> &Regions,
                    TimePoint Now) {
  std::vector<AcceleratorView> Out;
  RemoteSums Sums;
  std::vector<Move> InFlight = pending();
  std::map<std::string, EngineStatus> Engines;
  for (EngineStatus &E : m_fleet.engines())
    Engines.emplace(E.m_vm.m_name, std::move(E));
  std::set<std::string> Told;
  for (const auto &[Name, Region] : Regions)
    if (Region.m_capacity && Now - Region.m_progressed <= SummaryMaxAge &&
        Name != m_context.m_settings.m_region) {
      Told.insert(Name);
      Remote.push_back(fromSummary(Region, Engines));
    }
  for (const auto &[Name, E] : Engines) {
    bool Old = Now - E.m_reportedAt > ReportMaxAge && Now >= E.m_currentUntil;
    if (!E.m_report || !E.m_reachable || Old)
      continue;
    if (E.m_vm.m_region == m_context.m_settings.m_region)
      Out.push_back(localView(E, InFlight));
    else if (Told.count(E.m_vm.m_region) == 0)
      addRemote(E, Sums);
  }
  for (const auto &[Name, Sum] : Sums) {
    RemoteRegion Each;
    Each.m_region = Name;
    Each.m_liveAccelerators = Sum.m_live;
    Each.m_largestFree = Sum.m_largestFree;
    if (Sum.m_live > 0)
      Each.m_utilization = Sum.m_utilization / Sum.m_live;
    for (const auto &[Model, Domains] : Sum.m_domains)
      Each.m_replicas[Model] = static_cast<unsigned>(Domains.size());
    Each.m_leastUtilization = Sum.m_leastUtilization;
    Remote.push_back(std::move(Each));
  }
  return Out;
}

void PlacementTask::forgetFinished(const std::vector<AcceleratorView> &View,
                                   TimePoint Now) {
  std::lock_guard<std::mutex> Lock(m_mutex);
  auto Finished = [&](const Sent &S) {
    if (Now - S.m_at > SentTimeout)
      return true;
    auto At =
        std::find_if(View.begin(), View.end(), [&](const AcceleratorView &V) {
          return V.m_endpoint == S.m_move.m_endpoint;
        });
    if (At == View.end())
      return true;
    bool Held = holds(At->m_resident, S.m_move.m_artifact);
    return Held == (S.m_move.m_kind == MoveKind::Load);
  };
  m_sent.erase(std::remove_if(m_sent.begin(), m_sent.end(), Finished),
               m_sent.end());
}

LoadBudget PlacementTask::budget() const {
  const LoadLimits &Limits = m_context.m_catalog.get()->m_loadLimits;
  LoadBudget Out{Limits.m_concurrentLoads, Limits.m_concurrentAdapterLoads};
  std::lock_guard<std::mutex> Lock(m_mutex);
  for (const Sent &S : m_sent) {
    if (S.m_move.m_kind != MoveKind::Load)
      continue;
    unsigned &Left = S.m_move.m_artifact.m_kind == ArtifactKind::Model
                         ? Out.m_models
                         : Out.m_adapters;
    Left -= std::min(Left, 1U);
  }
  return Out;
}

bool PlacementTask::step(bool Planning, unsigned Members,
                         const std::map<std::string, RegionCapacity> &Regions,
                         TimePoint Now) {
  auto Config = m_context.m_catalog.get();
  if (!Config)
    return false;
  if (Config->m_revision != m_revision) {
    m_planner->setCatalog(Config, Now);
    m_revision = Config->m_revision;
  }
  m_refused.erase(std::remove_if(m_refused.begin(), m_refused.end(),
                                 [&](const Sent &Refused) {
                                   return Now - Refused.m_at > RefusalTime;
                                 }),
                  m_refused.end());
  // Demand is followed always, so that a new planner knows it at once.
  passDemand(Members, Now);
  std::vector<RemoteRegion> Remote;
  std::vector<AcceleratorView> View = view(Remote, Regions, Now);
  forgetFinished(View, Now);
  if (!Planning || View.empty())
    return false;
  bool Rejected = false;
  m_planner->setRemoteRegions(std::move(Remote));
  for (const Move &Wanted : m_planner->plan(View, budget(), Now)) {
    auto Accepted = m_send(Wanted);
    if (!Accepted) {
      spdlog::info("event=move_rejected kind={} endpoint={} artifact={} "
                   "error=\"{}\"",
                   nameOf(MoveKindNames, Wanted.m_kind), Wanted.m_endpoint,
                   Wanted.m_artifact.m_name, Accepted.error().m_message);
      Rejected |= Wanted.m_kind == MoveKind::Load &&
                  Wanted.m_artifact.m_kind == ArtifactKind::Model;
      if (Wanted.m_kind == MoveKind::Load &&
          Accepted.error().m_kind == ErrorKind::Unavailable)
        m_refused.push_back({Wanted, Now});
      continue;
    }
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_sent.push_back({Wanted, Now});
  }
  return Rejected;
}

std::vector<Move> PlacementTask::pending() const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  std::vector<Move> Out;
  for (const Sent &S : m_sent)
    Out.push_back(S.m_move);
  return Out;
}

} // namespace primroseworks
