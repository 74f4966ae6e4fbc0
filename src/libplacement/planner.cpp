// The placement planner: demand per model and region, home regions, and one
// plan per region.
#include "primroseworks/placement.h"

#include "libplacement/demand.h"
#include "libplacement/regionplan.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <optional>
#include <set>
#include <tuple>

namespace primroseworks {

using namespace pvt;

namespace {
// Regions after the home region load a model that lacks copies only after this
// long each, so that several planners do not load the same model at once.
constexpr Seconds CoverDelay{15};
// The same after regions that have no memory for the model: the time of a few
// plans, for summaries to follow. With 15 s, models of a home region that lost
// most of its engines had one full copy for 18 s.
constexpr Seconds CoverPause{3};
// How long a later region must have been required to keep its copy before this
// one gives up its own. Longer than an unload that the later region planned
// before takes to show here: summaries come every 3 s.
constexpr Seconds KeptDelay{12};
// Time constants of rising demand until the estimate is used for moves: by then
// it has reached seven eighths of a steady demand.
constexpr int DemandWarmUp = 2;
// Time constant of the average utilization of a region.
constexpr Seconds UtilizationAverage{5};
// After a copy that relieves others, until it is loaded and the utilization of
// the other copies shows the effect.
constexpr Seconds ReliefPause{15};
// A rise of demand below this load, in accelerators, is not taken for steep.
constexpr double MinSteepLoad = 0.5;
// After a steep rise to less than this load per copy, in accelerators, other
// models can make room by using their other copies.
constexpr double MinCopyLoad = 0.75;
// How long a steep rise lets copies count as full early.
constexpr Seconds SteepAge{5};
// Copies are full above this utilization: requests start to wait. In a steep
// rise the copies that are past the lower one fill up within a second.
constexpr double FullUtilization = 0.97;
constexpr double RisingUtilization = 0.8;
// How long all copies of a model must be full before a load pays. Bursts of a
// few seconds are absorbed by the queues.
constexpr Seconds FullTime{20};
// Between the first region that may add a copy of a full model and the next:
// the time to load it and see its effect.
constexpr Seconds TurnTime{10};
// Utilization outside this range says little about the capacity: below it noise
// dominates, above it queues hide the demand.
constexpr double MinUsableUtilization = 0.1;
constexpr double MaxUsableUtilization = 0.9;
// The corrected capacity stays within this factor of the option.
constexpr double MaxCapacityFactor = 4;
// Weight of one plan's observation in the capacity estimate.
constexpr double CapacityGain = 0.02;

std::uint64_t homeHash(const std::string &Model, const std::string &Region) {
  std::string Key = "home/" + Model + "/" + Region;
  return XXH3_64bits(Key.data(), Key.size());
}

std::uint64_t freeBytes(const AcceleratorView &A) {
  return A.m_memoryBytes - std::min(A.m_memoryBytes, A.m_claimedBytes);
}

bool allowed(const ModelSpec &Spec, const std::string &Region) {
  return Spec.m_regions.empty() ||
         std::find(Spec.m_regions.begin(), Spec.m_regions.end(), Region) !=
             Spec.m_regions.end();
}

/// Demand for one model by callers of one region.
struct ModelDemand {
  std::array<DemandRate, RankCount> m_byRank;
};

class DemandPlanner : public PlacementPlanner {
public:
  explicit DemandPlanner(PlannerOptions Options)
      : m_options(std::move(Options)),
        m_capacity(m_options.m_acceleratorTokensPerSecond) {}

  void setCatalog(std::shared_ptr<const Catalog> Next, TimePoint Now) override;
  void observeDemand(const Artifact &Wanted, const std::string &Region,
                     double Tokens, TimePoint Now, Rank R) override;
  void setRemoteRegions(std::vector<RemoteRegion> Remote) override {
    m_remote = std::move(Remote);
  }
  std::vector<Move> plan(const std::vector<AcceleratorView> &View,
                         LoadBudget Budget, TimePoint Now) override;

private:
  using Regions = std::map<std::string, RemoteRegion>;
  Regions summarize(const std::vector<AcceleratorView> &View) const;
  void updateDemand(TimePoint Now);
  void smoothUtilization(Regions &Live, TimePoint Now);
  void updateCapacity(const Regions &Live);
  std::vector<RankedMove> planRegion(const std::string &Region,
                                     const std::vector<AcceleratorView> &View,
                                     const Regions &Live, LoadBudget Budget,
                                     TimePoint Now);
  unsigned homeRank(const ModelSpec &Spec, const std::string &Region,
                    const Regions &Live) const;
  Duration coverDelay(const ModelSpec &Spec, unsigned Rank,
                      const Regions &Live) const;
  unsigned copiesBefore(const ModelSpec &Spec, unsigned Rank,
                        const std::string &Except, const Regions &Live) const;
  unsigned requiredCopies(const ModelSpec &Spec, const std::string &Region,
                          const Regions &Live, TimePoint Now);
  bool mayEvict(const ModelSpec &Spec, const std::string &Region,
                const Regions &Live, TimePoint Now) const;
  bool keptElsewhere(const ModelSpec &Spec, const std::string &Region,
                     const Regions &Live, TimePoint Now);
  void addWants(RegionPlan &Plan, const std::string &Region,
                const Regions &Live, TimePoint Now);
  unsigned rolloutReplicas(const Want &Current, TimePoint Now) const;
  void noteRollouts(const std::vector<AcceleratorView> &View, TimePoint Now);
  void addDemand(Want &W, const std::string &Region, const Regions &Live,
                 bool Home) const;
  void noteFull(const Regions &Live, TimePoint Now);
  bool mayRelieve(const ModelSpec &Spec, const std::string &Region,
                  const Regions &Live, TimePoint Now) const;

  PlannerOptions m_options;
  std::shared_ptr<const Catalog> m_catalog;
  std::map<std::string, std::vector<const AdapterSpec *>> m_adaptersOf;
  std::map<std::string, std::map<std::string, ModelDemand>> m_demand;
  std::map<std::string, DemandRate> m_total; ///< By model.
  /// By model, when its demand last rose steeply.
  std::map<std::string, TimePoint> m_steepAt;
  std::optional<TimePoint> m_demandSince; ///< First observation.
  std::vector<RemoteRegion> m_remote;
  /// By region and model, when it last planned a copy that follows demand.
  std::map<std::pair<std::string, std::string>, TimePoint> m_reliefAt;
  /// By model: the number of copies, which are full, and from when another one
  /// pays.
  std::map<std::string, std::pair<unsigned, TimePoint>> m_reliefFrom;
  /// By region: smoothed, and when it was updated.
  std::map<std::string, std::pair<double, TimePoint>> m_utilization;
  double m_capacity;            ///< Tokens per second of one accelerator.
  unsigned m_capacityCount = 0; ///< Observations that went into it.
  /// Since when the regions before this one have had too few copies.
  std::map<std::pair<std::string, std::string>, TimePoint> m_shortSince;
  /// By model and region: since when a later region has had to keep a copy.
  std::map<std::pair<std::string, std::string>, TimePoint> m_keptSince;
  /// Since when a copy of a version being rolled out has been resident.
  std::map<std::pair<std::string, std::string>, TimePoint> m_rolloutSince;
};

void DemandPlanner::setCatalog(std::shared_ptr<const Catalog> Next,
                               TimePoint /*Now*/) {
  m_catalog = std::move(Next);
  m_adaptersOf.clear();
  for (const auto &[Name, Adapter] : m_catalog->m_adapters)
    m_adaptersOf[Adapter.m_base].push_back(&Adapter);
  for (auto It = m_demand.begin(); It != m_demand.end();)
    It = m_catalog->m_models.count(It->first) == 0 ? m_demand.erase(It)
                                                   : std::next(It);
}

void DemandPlanner::observeDemand(const Artifact &Wanted,
                                  const std::string &Region, double Tokens,
                                  TimePoint Now, Rank R) {
  if (!m_catalog)
    return;
  if (!m_demandSince)
    m_demandSince = Now;
  std::string Model = Wanted.m_name;
  if (Wanted.m_kind == ArtifactKind::Adapter) {
    auto Adapter = m_catalog->m_adapters.find(Wanted.m_name);
    if (Adapter == m_catalog->m_adapters.end())
      return;
    Model = Adapter->second.m_base;
  }
  if (m_catalog->m_models.count(Model) == 0)
    return;
  m_demand[Model][Region].m_byRank[static_cast<std::size_t>(R)].add(Tokens);
  m_total[Model].add(Tokens);
}

void DemandPlanner::updateDemand(TimePoint Now) {
  for (auto &[Model, ByRegion] : m_demand) {
    // The sum over ranks and regions fluctuates least.
    DemandRate &Total = m_total[Model];
    Total.update(Now, m_options.m_demandRise, m_options.m_demandFall);
    bool Steep =
        Total.steep(Now, m_options.m_demandRise, MinSteepLoad * m_capacity);
    if (Steep) {
      Total.adoptLatest();
      m_steepAt[Model] = Now;
    }
    for (auto &[Region, Demand] : ByRegion)
      for (DemandRate &Rate : Demand.m_byRank) {
        Rate.update(Now, m_options.m_demandRise, m_options.m_demandFall);
        if (Steep)
          Rate.adoptLatest();
      }
  }
}

// Utilization follows bursts of a second or two; moves answer what lasts as
// long as the demand estimate needs to rise.
void DemandPlanner::smoothUtilization(Regions &Live, TimePoint Now) {
  for (auto &[Region, Summary] : Live) {
    if (Summary.m_utilization < 0)
      continue;
    auto [It, New] =
        m_utilization.try_emplace(Region, Summary.m_utilization, Now);
    auto &[Value, Last] = It->second;
    double Elapsed = toSeconds(Now - Last);
    Value += (1 - std::exp(-Elapsed / toSeconds(UtilizationAverage))) *
             (Summary.m_utilization - Value);
    Last = Now;
    Summary.m_utilization = std::min(Value, Summary.m_utilization);
  }
}

// Tokens per second of an accelerator, from what callers ask and accelerators
// do. Only regions of which both are known count: one region alone also serves
// callers of others.
void DemandPlanner::updateCapacity(const Regions &Live) {
  std::map<std::string, double> AskedIn;
  for (const auto &[Model, ByRegion] : m_demand)
    for (const auto &[Region, Demand] : ByRegion)
      for (const DemandRate &Rate : Demand.m_byRank)
        AskedIn[Region] += Rate.recent();
  double Used = 0;
  double Asked = 0;
  unsigned Count = 0;
  for (const auto &[Region, Summary] : Live) {
    auto Demand = AskedIn.find(Region);
    if (Summary.m_utilization < 0 || Demand == AskedIn.end())
      continue;
    Used += Summary.m_utilization * Summary.m_liveAccelerators;
    Count += Summary.m_liveAccelerators;
    Asked += Demand->second;
  }
  if (Count == 0 || Asked <= 0 || Used < MinUsableUtilization * Count ||
      Used > MaxUsableUtilization * Count)
    return;
  double Nominal = m_options.m_acceleratorTokensPerSecond;
  double Seen = std::clamp(Asked / Used, Nominal / MaxCapacityFactor,
                           Nominal * MaxCapacityFactor);
  // The first observations are averaged. While the demand estimate still rises
  // after a start, a low capacity makes up for it.
  double Weight = std::max(CapacityGain, 1.0 / ++m_capacityCount);
  m_capacity += Weight * (Seen - m_capacity);
}

DemandPlanner::Regions
DemandPlanner::summarize(const std::vector<AcceleratorView> &View) const {
  Regions Live;
  for (const RemoteRegion &Remote : m_remote)
    if (Remote.m_liveAccelerators > 0)
      Live[Remote.m_region] = Remote;
  // The view is more recent than a summary of the same region.
  for (const AcceleratorView &A : View)
    Live.erase(A.m_region);
  std::set<std::tuple<std::string, std::string, std::string>> Seen;
  for (const AcceleratorView &A : View) {
    if (A.m_leaving)
      continue;
    RemoteRegion &Summary = Live[A.m_region];
    Summary.m_region = A.m_region;
    if (++Summary.m_liveAccelerators == 1) {
      Summary.m_utilization = 0;
      Summary.m_largestFree = 0;
    }
    Summary.m_largestFree = std::max(Summary.m_largestFree, freeBytes(A));
    Summary.m_utilization +=
        (A.m_utilization - Summary.m_utilization) / Summary.m_liveAccelerators;
    for (const ResidentArtifact &R : A.m_resident) {
      auto Spec = m_catalog->m_models.find(R.m_artifact.m_name);
      if (R.m_artifact.m_kind == ArtifactKind::Model &&
          Spec != m_catalog->m_models.end() &&
          Spec->second.m_version == R.m_artifact.m_version &&
          !contains(A.m_unloading, R.m_artifact)) {
        if (Seen.insert({A.m_region, A.m_failureDomain, R.m_artifact.m_name})
                .second)
          ++Summary.m_replicas[R.m_artifact.m_name];
        auto [Least, New] = Summary.m_leastUtilization.try_emplace(
            R.m_artifact.m_name, A.m_utilization);
        Least->second = std::min(Least->second, A.m_utilization);
      }
    }
  }
  return Live;
}

// 0 for the home region of the model, 1 for the one that follows it, and so on.
unsigned DemandPlanner::homeRank(const ModelSpec &Spec,
                                 const std::string &Region,
                                 const Regions &Live) const {
  std::uint64_t Own = homeHash(Spec.m_name, Region);
  unsigned Rank = 0;
  for (const auto &[Other, Summary] : Live)
    if (Other != Region && allowed(Spec, Other) &&
        homeHash(Spec.m_name, Other) > Own)
      ++Rank;
  return Rank;
}

// Copies in the allowed regions of a lower rank, without Except. Copies where
// the model may not run are about to leave.
unsigned DemandPlanner::copiesBefore(const ModelSpec &Spec, unsigned Rank,
                                     const std::string &Except,
                                     const Regions &Live) const {
  unsigned Count = 0;
  for (const auto &[Other, Summary] : Live) {
    auto Copies = Summary.m_replicas.find(Spec.m_name);
    if (Other != Except && Copies != Summary.m_replicas.end() &&
        allowed(Spec, Other) && homeRank(Spec, Other, Live) < Rank)
      Count += Copies->second;
  }
  return Count;
}

// How long a region of this rank waits for those before it to load copies that
// the model lacks. Regions without memory for it are not waited for.
Duration DemandPlanner::coverDelay(const ModelSpec &Spec, unsigned Rank,
                                   const Regions &Live) const {
  std::uint64_t Bytes = Spec.m_weightBytes;
  if (auto It = m_adaptersOf.find(Spec.m_name); It != m_adaptersOf.end())
    for (const AdapterSpec *Adapter : It->second)
      Bytes += Adapter->m_bytes;
  int Able = 0;
  for (const auto &[Other, Summary] : Live) {
    auto Copies = Summary.m_replicas.find(Spec.m_name);
    // An accelerator holds one copy of a model.
    bool Full = Copies != Summary.m_replicas.end() &&
                Copies->second >= Summary.m_liveAccelerators;
    if (allowed(Spec, Other) && homeRank(Spec, Other, Live) < Rank && !Full &&
        Summary.m_largestFree >= Bytes)
      ++Able;
  }
  return std::max<Duration>(CoverPause, CoverDelay * Able);
}

// Copies that the region must hold: all of the minimum at home. A later region
// by hash holds those that the regions before it have lacked for too long, for
// want of memory or because they are cut off.
unsigned DemandPlanner::requiredCopies(const ModelSpec &Spec,
                                       const std::string &Region,
                                       const Regions &Live, TimePoint Now) {
  unsigned Rank = homeRank(Spec, Region, Live);
  unsigned Minimum = std::max(1U, Spec.m_minReplicas);
  if (Rank == 0)
    return Minimum;
  auto Own = Live.find(Region);
  bool Held =
      Own != Live.end() && Own->second.m_replicas.count(Spec.m_name) != 0;
  // A region that holds a copy counts only those before it, so that two regions
  // do not both take the other's copy for the required one.
  unsigned Before = copiesBefore(
      Spec, Held ? Rank : std::numeric_limits<unsigned>::max(), Region, Live);
  if (Before >= Minimum) {
    m_shortSince.erase({Spec.m_name, Region});
    return 0;
  }
  TimePoint Since =
      m_shortSince.emplace(std::pair(Spec.m_name, Region), Now).first->second;
  return Held || Now - Since >= coverDelay(Spec, Rank, Live) ? Minimum - Before
                                                             : 0;
}

// A region that covers for others takes memory from other models only after
// each allowed region had its turn: one of them may have free memory.
bool DemandPlanner::mayEvict(const ModelSpec &Spec, const std::string &Region,
                             const Regions &Live, TimePoint Now) const {
  auto Since = m_shortSince.find({Spec.m_name, Region});
  unsigned Turns = homeRank(Spec, Region, Live);
  for (const auto &[Other, Summary] : Live)
    Turns += allowed(Spec, Other) ? 1 : 0;
  return Since != m_shortSince.end() &&
         Now - Since->second >= CoverDelay * static_cast<int>(Turns);
}

// Whether a region after this one by hash holds a copy that it may not give up,
// because the regions before it hold fewer than the minimum. Regions rely only
// on later ones in this, so that two of them never rely on each other.
bool DemandPlanner::keptElsewhere(const ModelSpec &Spec,
                                  const std::string &Region,
                                  const Regions &Live, TimePoint Now) {
  auto Own = Live.find(Region);
  if (Own == Live.end() || Own->second.m_replicas.count(Spec.m_name) == 0)
    return false;
  const unsigned Rank = homeRank(Spec, Region, Live);
  bool Kept = false;
  for (const auto &[Other, Summary] : Live) {
    const unsigned OtherRank = homeRank(Spec, Other, Live);
    if (!allowed(Spec, Other) || OtherRank <= Rank ||
        Summary.m_replicas.count(Spec.m_name) == 0)
      continue;
    Kept = Kept || copiesBefore(Spec, OtherRank, Other, Live) <
                       std::max(1U, Spec.m_minReplicas);
  }
  if (!Kept) {
    m_keptSince.erase({Spec.m_name, Region});
    return false;
  }
  TimePoint Since =
      m_keptSince.emplace(std::pair(Spec.m_name, Region), Now).first->second;
  return Now - Since >= KeptDelay;
}

void DemandPlanner::noteRollouts(const std::vector<AcceleratorView> &View,
                                 TimePoint Now) {
  std::set<std::pair<std::string, std::string>> Present;
  for (const AcceleratorView &A : View)
    for (const ResidentArtifact &R : A.m_resident) {
      auto Spec = m_catalog->m_models.find(R.m_artifact.m_name);
      if (R.m_artifact.m_kind == ArtifactKind::Model && !A.m_leaving &&
          Spec != m_catalog->m_models.end() &&
          Spec->second.m_nextVersion == R.m_artifact.m_version)
        Present.insert({R.m_artifact.m_name, R.m_artifact.m_version});
    }
  for (const auto &Key : Present)
    m_rolloutSince.emplace(Key, Now);
  for (auto It = m_rolloutSince.begin(); It != m_rolloutSince.end();)
    It = Present.count(It->first) == 0 ? m_rolloutSince.erase(It)
                                       : std::next(It);
}

// One copy first; more, in proportion to the share of requests, once it has
// been resident for the time of observation.
unsigned DemandPlanner::rolloutReplicas(const Want &Current,
                                        TimePoint Now) const {
  const ModelSpec &Spec = *Current.m_spec;
  auto Since = m_rolloutSince.find({Spec.m_name, Spec.m_nextVersion});
  if (Since == m_rolloutSince.end() ||
      Now - Since->second < m_options.m_rolloutObservation)
    return 1;
  double Share = std::clamp(Spec.m_rolloutShare, 0.0, 1.0);
  double Copies =
      std::max(std::ceil(Current.m_load / m_options.m_targetUtilization),
               static_cast<double>(Spec.m_minReplicas));
  return std::max(1U, static_cast<unsigned>(std::ceil(Share * Copies)));
}

// Demand that the region serves: that of its own callers and, at home, that of
// regions without a copy.
void DemandPlanner::addDemand(Want &W, const std::string &Region,
                              const Regions &Live, bool Home) const {
  auto Demand = m_demand.find(W.m_spec->m_name);
  if (Demand == m_demand.end())
    return;
  for (const auto &[From, Rates] : Demand->second) {
    bool Own = From == Region;
    auto Other = Live.find(From);
    bool HasCopy = Other != Live.end() &&
                   Other->second.m_replicas.count(W.m_spec->m_name) != 0;
    if (!Own && (!Home || HasCopy))
      continue;
    for (std::size_t R = 0; R < RankCount; ++R) {
      double Rate = Rates.m_byRank[R].recent();
      W.m_load += Rate / m_capacity;
      W.m_heldLoad += Rates.m_byRank[R].rate() / m_capacity;
      W.m_value += Rate * m_catalog->m_ranks[R].m_worth;
      if (!Own)
        continue;
      W.m_localLoad += Rate / m_capacity;
      W.m_lastingLoad += Rates.m_byRank[R].lasting() / m_capacity;
    }
  }
}

// A model is full when no copy has room in any region: a copy with room takes
// requests of all regions, so another one does not pay. In a steep
// rise, while the utilization follows, the demand tells; later the utilization
// does, because prompts in the cache cost less than their tokens.
void DemandPlanner::noteFull(const Regions &Live, TimePoint Now) {
  for (const auto &[Name, Spec] : m_catalog->m_models) {
    double Least = 2;
    unsigned Copies = 0;
    for (const auto &[Region, Summary] : Live) {
      if (Summary.m_replicas.count(Name) == 0)
        continue;
      Copies += Summary.m_replicas.at(Name);
      auto Known = Summary.m_leastUtilization.find(Name);
      Least = std::min(Least, Known == Summary.m_leastUtilization.end()
                                  ? Summary.m_utilization
                                  : Known->second);
    }
    auto Total = m_total.find(Name);
    double CopyLoad = Total == m_total.end() || Copies == 0
                          ? 0
                          : Total->second.recent() / (m_capacity * Copies);
    auto Rise = m_steepAt.find(Name);
    bool Early = Rise != m_steepAt.end() && Now - Rise->second <= SteepAge &&
                 (CopyLoad >= 1 ||
                  (CopyLoad >= MinCopyLoad && Least >= RisingUtilization));
    if (!Early && Least < FullUtilization) {
      m_reliefFrom.erase(Name);
      continue;
    }
    TimePoint From = Early ? Now : Now + FullTime;
    auto [It, New] = m_reliefFrom.try_emplace(Name, std::pair(Copies, From));
    // After a new copy the wait starts again: it may be enough.
    if (It->second.first < Copies)
      It->second = {Copies, Now + FullTime};
    It->second = {Copies, std::min(It->second.second, From)};
  }
}

// Regions add copies of a full model in turn, the least used one first, so that
// planners that do not see each other's loads do not all answer the same rise.
bool DemandPlanner::mayRelieve(const ModelSpec &Spec, const std::string &Region,
                               const Regions &Live, TimePoint Now) const {
  auto From = m_reliefFrom.find(Spec.m_name);
  if (From == m_reliefFrom.end())
    return false;
  auto Last = m_reliefAt.find({Region, Spec.m_name});
  if (Last != m_reliefAt.end() && Now - Last->second < ReliefPause)
    return false;
  double Own = Live.at(Region).m_utilization;
  int Before = 0;
  for (const auto &[Other, Summary] : Live)
    Before +=
        Other != Region && allowed(Spec, Other) &&
                std::pair(Summary.m_utilization, Other) < std::pair(Own, Region)
            ? 1
            : 0;
  return Now >= From->second.second + TurnTime * Before;
}

void DemandPlanner::addWants(RegionPlan &Plan, const std::string &Region,
                             const Regions &Live, TimePoint Now) {
  for (const auto &[Name, Spec] : m_catalog->m_models) {
    if (!allowed(Spec, Region)) {
      for (const auto &[Other, Summary] : Live)
        if (allowed(Spec, Other) && Summary.m_replicas.count(Name) != 0)
          Plan.addServedElsewhere(Name);
      continue;
    }
    Want W;
    W.m_artifact = {ArtifactKind::Model, Name, Spec.m_version};
    W.m_spec = &Spec;
    W.m_bytes = Spec.m_weightBytes;
    auto Adapters = m_adaptersOf.find(Name);
    if (Adapters != m_adaptersOf.end())
      W.m_adapters = Adapters->second;
    for (const AdapterSpec *Adapter : W.m_adapters)
      W.m_bytes += Adapter->m_bytes;
    for (const auto &[Other, Summary] : Live) {
      auto Count = Summary.m_replicas.find(Name);
      if (Count == Summary.m_replicas.end() || Other == Region)
        continue;
      W.m_remoteReplicas += Count->second;
      if (W.m_remoteRegion.empty() ||
          Summary.m_utilization < Live.at(W.m_remoteRegion).m_utilization)
        W.m_remoteRegion = Other;
    }
    bool Home = homeRank(Spec, Region, Live) == 0;
    W.m_minReplicas = requiredCopies(Spec, Region, Live, Now);
    W.m_mayEvict = Home || mayEvict(Spec, Region, Live, Now);
    W.m_keptElsewhere = keptElsewhere(Spec, Region, Live, Now);
    addDemand(W, Region, Live, Home);
    W.m_mayRelieve = mayRelieve(Spec, Region, Live, Now);
    if (Home && !Spec.m_nextVersion.empty() &&
        Spec.m_nextVersion != Spec.m_version) {
      Want Next = W;
      Next.m_artifact.m_version = Spec.m_nextVersion;
      double Share = std::clamp(Spec.m_rolloutShare, 0.0, 1.0);
      Next.m_minReplicas = rolloutReplicas(W, Now);
      Next.m_maxReplicas = Next.m_minReplicas;
      for (double Want::*Load : {&Want::m_load, &Want::m_heldLoad,
                                 &Want::m_localLoad, &Want::m_lastingLoad}) {
        Next.*Load *= Share;
        W.*Load *= 1 - Share;
      }
      Plan.addWant(std::move(Next));
    }
    Plan.addWant(std::move(W));
  }
}

std::vector<RankedMove> DemandPlanner::planRegion(
    const std::string &Region, const std::vector<AcceleratorView> &View,
    const Regions &Live, LoadBudget Budget, TimePoint Now) {
  RegionPlan Plan(*m_catalog, m_options, Budget);
  addWants(Plan, Region, Live, Now);
  if (!m_demandSince ||
      Now - *m_demandSince < DemandWarmUp * m_options.m_demandRise)
    Plan.setRequiredOnly();
  for (const AcceleratorView &A : View)
    if (A.m_region == Region && !A.m_leaving)
      Plan.addAccelerator(A);
  std::vector<RankedMove> Moves = Plan.make();
  for (const RankedMove &M : Moves)
    if (M.m_class == MoveClass::Local || M.m_class == MoveClass::Overload)
      m_reliefAt[{Region, M.m_move.m_artifact.m_name}] = Now;
  return Moves;
}

std::vector<Move> DemandPlanner::plan(const std::vector<AcceleratorView> &View,
                                      LoadBudget Budget, TimePoint Now) {
  if (!m_catalog)
    return {};
  updateDemand(Now);
  noteRollouts(View, Now);
  Regions Live = summarize(View);
  smoothUtilization(Live, Now);
  updateCapacity(Live);
  noteFull(Live, Now);
  std::vector<RankedMove> All;
  for (const auto &[Region, Summary] : Live) {
    if (!m_options.m_region.empty() && Region != m_options.m_region)
      continue;
    std::vector<RankedMove> Moves = planRegion(Region, View, Live, Budget, Now);
    std::move(Moves.begin(), Moves.end(), std::back_inserter(All));
  }
  std::stable_sort(All.begin(), All.end(),
                   [](const RankedMove &A, const RankedMove &B) {
                     if (A.m_class != B.m_class)
                       return A.m_class < B.m_class;
                     return A.m_value > B.m_value;
                   });
  std::vector<Move> Chosen;
  for (RankedMove &M : All) {
    if (M.m_move.m_kind == MoveKind::Load) {
      unsigned &Left = M.m_move.m_artifact.m_kind == ArtifactKind::Model
                           ? Budget.m_models
                           : Budget.m_adapters;
      if (Left == 0)
        continue;
      --Left;
    }
    Chosen.push_back(std::move(M.m_move));
  }
  return Chosen;
}
} // namespace

double throughputShare(const LoadReport &Report) {
  if (Report.m_maxBatch == 0)
    return 0;
  // Step time of a full batch is (1 + Growth) times that of an empty one.
  constexpr double Growth = 2;
  double Batch =
      std::min(1.0, static_cast<double>(Report.m_running) / Report.m_maxBatch);
  return (1 + Growth) * Batch / (1 + Growth * Batch);
}

Result<std::unique_ptr<PlacementPlanner>>
createPlacementPlanner(PlannerOptions Options) {
  if (Options.m_demandRise <= Seconds(0) || Options.m_demandFall <= Seconds(0))
    return makeError(ErrorKind::InvalidArgument,
                     "a time constant of demand is not positive; set it to at "
                     "least 1 s");
  if (Options.m_minGain < 0 || Options.m_acceleratorTokensPerSecond <= 0 ||
      Options.m_targetUtilization <= 0 || Options.m_targetUtilization > 1)
    return makeError(ErrorKind::InvalidArgument,
                     "planner option out of range; use a gain of at least 0, a "
                     "positive capacity and a target utilization up to 1");
  return std::unique_ptr<PlacementPlanner>(
      std::make_unique<DemandPlanner>(std::move(Options)));
}

} // namespace primroseworks
