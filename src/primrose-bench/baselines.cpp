// Simple policies to compare with.
#include "primrose-bench/baselines.h"

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>

namespace primroseworks::bench {

namespace {
struct KnownEndpoint {
  EndpointInfo m_info;
  std::set<Artifact> m_resident;
  std::set<std::string> m_adapters;
  unsigned m_outstanding = 0;
};

struct Waiting {
  DispatchRequest m_request;
  TimePoint m_since;
};

class BaselineDispatcher : public Dispatcher {
public:
  BaselineDispatcher(Routing Kind, std::uint64_t Seed)
      : m_kind(Kind), m_random(Seed) {}

  void setCatalog(std::shared_ptr<const Catalog> Next, TimePoint) override {
    m_catalog = std::move(Next);
  }
  void setEndpoint(const EndpointInfo &Info, TimePoint) override {
    m_endpoints[Info.m_name].m_info = Info;
  }
  void removeEndpoint(const std::string &Name, TimePoint) override {
    m_endpoints.erase(Name);
  }
  void onReport(const std::string &Endpoint, const LoadReport &Report,
                TimePoint) override {
    auto It = m_endpoints.find(Endpoint);
    if (It == m_endpoints.end())
      return;
    It->second.m_resident.clear();
    It->second.m_adapters.clear();
    for (const ResidentArtifact &R : Report.m_resident) {
      It->second.m_resident.insert(R.m_artifact);
      if (R.m_artifact.m_kind == ArtifactKind::Adapter)
        It->second.m_adapters.insert(R.m_artifact.m_name);
    }
  }
  void onCacheEvents(const std::string &, const std::vector<CacheEvent> &,
                     TimePoint) override {}
  void onPeerLoad(const std::string &, unsigned, TimePoint) override {}
  void submit(DispatchRequest Request, TimePoint Now) override {
    m_queue.push_back({std::move(Request), Now});
  }
  void withdraw(const std::string &RequestId, TimePoint) override {
    m_queue.erase(std::remove_if(m_queue.begin(), m_queue.end(),
                                 [&](const Waiting &W) {
                                   return W.m_request.m_id == RequestId;
                                 }),
                  m_queue.end());
  }
  Decisions poll(TimePoint Now) override;
  void onFirstToken(const std::string &, TimePoint) override {}
  void onFinished(const std::string &RequestId, AttemptOutcome,
                  const StreamEnd *, TimePoint) override;
  unsigned addStrike(std::uint64_t, std::uint64_t, TimePoint) override {
    return 0;
  }
  std::vector<std::pair<std::uint64_t, std::uint64_t>> takeStrikes() override {
    return {};
  }
  std::vector<std::pair<std::uint64_t, std::uint64_t>>
  repeatStrikes(TimePoint) override {
    return {};
  }
  void clearSuspect(std::uint64_t) override {}
  std::size_t queued(Rank) const override { return m_queue.size(); }
  std::size_t inFlight() const override { return m_inFlight.size(); }

private:
  KnownEndpoint *choose(const DispatchRequest &Request);

  Routing m_kind;
  std::mt19937_64 m_random;
  std::shared_ptr<const Catalog> m_catalog;
  std::map<std::string, KnownEndpoint> m_endpoints;
  std::deque<Waiting> m_queue;
  std::map<std::string, std::string> m_inFlight;
  std::map<std::string, std::size_t> m_turns; ///< Per model.
};

KnownEndpoint *BaselineDispatcher::choose(const DispatchRequest &Request) {
  std::vector<KnownEndpoint *> Able;
  Artifact Model{ArtifactKind::Model, Request.m_model, Request.m_version};
  for (auto &[Name, Known] : m_endpoints)
    if (Known.m_info.m_state == EndpointState::Live &&
        Known.m_resident.count(Model) != 0 &&
        (Request.m_adapter.empty() ||
         Known.m_adapters.count(Request.m_adapter) != 0) &&
        std::find(Request.m_exclude.begin(), Request.m_exclude.end(), Name) ==
            Request.m_exclude.end())
      Able.push_back(&Known);
  if (Able.empty())
    return nullptr;
  std::size_t Any = m_random() % Able.size();
  switch (m_kind) {
  case Routing::RoundRobin:
    return Able[m_turns[Request.m_model]++ % Able.size()];
  case Routing::LeastOutstanding:
    // Starts at a random endpoint, so that ties are spread.
    std::rotate(Able.begin(), Able.begin() + static_cast<std::ptrdiff_t>(Any),
                Able.end());
    return *std::min_element(Able.begin(), Able.end(),
                             [](const auto *A, const auto *B) {
                               return A->m_outstanding < B->m_outstanding;
                             });
  default:
    return Able[Any];
  }
}

Decisions BaselineDispatcher::poll(TimePoint Now) {
  Decisions Out;
  std::deque<Waiting> Left;
  for (Waiting &W : m_queue) {
    KnownEndpoint *To = choose(W.m_request);
    if (To != nullptr) {
      ++To->m_outstanding;
      m_inFlight[W.m_request.m_id] = To->m_info.m_name;
      Out.m_grants.push_back({W.m_request.m_id, To->m_info.m_name, "", {}});
    } else if (Now - W.m_since >
               m_catalog->rank(W.m_request.m_rank).m_maxQueueTime) {
      Out.m_refusals.push_back(
          {W.m_request.m_id, RefusalReason::QueueTimeout, Milliseconds(1000)});
    } else {
      Left.push_back(std::move(W));
    }
  }
  m_queue = std::move(Left);
  return Out;
}

void BaselineDispatcher::onFinished(const std::string &RequestId,
                                    AttemptOutcome, const StreamEnd *,
                                    TimePoint) {
  auto It = m_inFlight.find(RequestId);
  if (It == m_inFlight.end())
    return;
  auto Known = m_endpoints.find(It->second);
  if (Known != m_endpoints.end() && Known->second.m_outstanding > 0)
    --Known->second.m_outstanding;
  m_inFlight.erase(It);
}

class StaticPlanner : public PlacementPlanner {
public:
  void setCatalog(std::shared_ptr<const Catalog>, TimePoint) override {}
  void observeDemand(const Artifact &, const std::string &, double, TimePoint,
                     Rank) override {}
  void setRemoteRegions(std::vector<RemoteRegion>) override {}
  std::vector<Move> plan(const std::vector<AcceleratorView> &, LoadBudget,
                         TimePoint) override {
    return {};
  }
};

// A copy counts as busy above this utilization, and demand as present when a
// request came within RecentUse.
constexpr double BusyUtilization = 0.9;
constexpr Seconds RecentUse{5};

class LruPlanner : public PlacementPlanner {
public:
  void setCatalog(std::shared_ptr<const Catalog> Next, TimePoint) override {
    m_catalog = std::move(Next);
  }
  void observeDemand(const Artifact &Wanted, const std::string &, double,
                     TimePoint Now, Rank) override {
    auto Adapter = m_catalog->m_adapters.find(Wanted.m_name);
    m_used[Wanted.m_kind == ArtifactKind::Adapter &&
                   Adapter != m_catalog->m_adapters.end()
               ? Adapter->second.m_base
               : Wanted.m_name] = Now;
  }
  void setRemoteRegions(std::vector<RemoteRegion>) override {}
  std::vector<Move> plan(const std::vector<AcceleratorView> &View,
                         LoadBudget Budget, TimePoint Now) override;

private:
  bool needsCopy(const ModelSpec &Spec,
                 const std::vector<AcceleratorView> &View) const;
  bool place(const ModelSpec &Spec, const std::vector<AcceleratorView> &View,
             std::vector<Move> &Moves) const;
  bool makeRoom(const AcceleratorView &A, std::uint64_t Bytes,
                const std::vector<AcceleratorView> &View,
                std::vector<Move> &Moves) const;
  void loadAdapters(const AcceleratorView &A, LoadBudget &Budget,
                    std::vector<Move> &Moves) const;

  std::shared_ptr<const Catalog> m_catalog;
  std::map<std::string, TimePoint> m_used;
};

bool has(const AcceleratorView &A, const Artifact &Wanted) {
  for (const ResidentArtifact &R : A.m_resident)
    if (R.m_artifact == Wanted)
      return true;
  return std::find(A.m_loading.begin(), A.m_loading.end(), Wanted) !=
         A.m_loading.end();
}

bool isLeaving(const AcceleratorView &A, const Artifact &Held) {
  return std::find(A.m_unloading.begin(), A.m_unloading.end(), Held) !=
         A.m_unloading.end();
}

bool LruPlanner::needsCopy(const ModelSpec &Spec,
                           const std::vector<AcceleratorView> &View) const {
  Artifact Model{ArtifactKind::Model, Spec.m_name, Spec.m_version};
  for (const AcceleratorView &A : View) {
    bool Loading = std::find(A.m_loading.begin(), A.m_loading.end(), Model) !=
                   A.m_loading.end();
    if (Loading || (has(A, Model) && !isLeaving(A, Model) &&
                    A.m_utilization < BusyUtilization))
      return false;
  }
  return true;
}

bool LruPlanner::makeRoom(const AcceleratorView &A, std::uint64_t Bytes,
                          const std::vector<AcceleratorView> &View,
                          std::vector<Move> &Moves) const {
  std::vector<std::pair<TimePoint, const ResidentArtifact *>> Order;
  for (const ResidentArtifact &R : A.m_resident) {
    if (R.m_artifact.m_kind != ArtifactKind::Model ||
        isLeaving(A, R.m_artifact))
      continue;
    auto Copies = std::count_if(View.begin(), View.end(), [&](const auto &B) {
      return has(B, R.m_artifact) && !isLeaving(B, R.m_artifact);
    });
    auto Used = m_used.find(R.m_artifact.m_name);
    if (Copies > 1)
      Order.emplace_back(Used == m_used.end() ? TimePoint() : Used->second, &R);
  }
  std::sort(Order.begin(), Order.end());
  std::uint64_t Free = A.m_memoryBytes - A.m_claimedBytes;
  for (const auto &[Used, R] : Order) {
    if (Free >= Bytes)
      break;
    Free += R->m_bytes;
    Moves.push_back({MoveKind::Unload, A.m_endpoint, R->m_artifact, R->m_bytes,
                     "least recently used", true});
    for (const ResidentArtifact &Other : A.m_resident) {
      auto Adapter = m_catalog->m_adapters.find(Other.m_artifact.m_name);
      if (Other.m_artifact.m_kind == ArtifactKind::Adapter &&
          Adapter->second.m_base == R->m_artifact.m_name) {
        Free += Other.m_bytes;
        Moves.push_back({MoveKind::Unload, A.m_endpoint, Other.m_artifact,
                         Other.m_bytes, "base model leaves", true});
      }
    }
  }
  return Free >= Bytes;
}

bool LruPlanner::place(const ModelSpec &Spec,
                       const std::vector<AcceleratorView> &View,
                       std::vector<Move> &Moves) const {
  Artifact Model{ArtifactKind::Model, Spec.m_name, Spec.m_version};
  std::uint64_t Bytes = Spec.m_weightBytes;
  for (const auto &[Name, Adapter] : m_catalog->m_adapters)
    if (Adapter.m_base == Spec.m_name)
      Bytes += Adapter.m_bytes;
  const AcceleratorView *Best = nullptr;
  for (const AcceleratorView &A : View)
    if (!A.m_leaving && !has(A, Model) && A.m_unloading.empty() &&
        (Spec.m_regions.empty() ||
         std::find(Spec.m_regions.begin(), Spec.m_regions.end(), A.m_region) !=
             Spec.m_regions.end()) &&
        (Best == nullptr || A.m_utilization < Best->m_utilization))
      Best = &A;
  if (Best == nullptr || Best->m_utilization >= BusyUtilization)
    return false;
  if (Best->m_claimedBytes + Bytes > Best->m_memoryBytes) {
    makeRoom(*Best, Bytes, View, Moves);
    return false;
  }
  Moves.push_back({MoveKind::Load, Best->m_endpoint, Model, Spec.m_weightBytes,
                   "asked for"});
  return true;
}

void LruPlanner::loadAdapters(const AcceleratorView &A, LoadBudget &Budget,
                              std::vector<Move> &Moves) const {
  std::uint64_t Free = A.m_memoryBytes - A.m_claimedBytes;
  for (const Move &M : Moves)
    if (M.m_kind == MoveKind::Load && M.m_endpoint == A.m_endpoint)
      Free -= std::min(Free, M.m_bytes);
  for (const auto &[Name, Adapter] : m_catalog->m_adapters) {
    const ModelSpec &Base = m_catalog->m_models.at(Adapter.m_base);
    Artifact Model{ArtifactKind::Model, Base.m_name, Base.m_version};
    Artifact Wanted{ArtifactKind::Adapter, Name, Adapter.m_version};
    bool Resident = has(A, Model) && !isLeaving(A, Model) &&
                    std::find(A.m_loading.begin(), A.m_loading.end(), Model) ==
                        A.m_loading.end();
    if (!Resident || has(A, Wanted) || Budget.m_adapters == 0 ||
        Free < Adapter.m_bytes)
      continue;
    --Budget.m_adapters;
    Free -= Adapter.m_bytes;
    Moves.push_back({MoveKind::Load, A.m_endpoint, Wanted, Adapter.m_bytes,
                     "base model is here"});
  }
}

std::vector<Move> LruPlanner::plan(const std::vector<AcceleratorView> &View,
                                   LoadBudget Budget, TimePoint Now) {
  std::vector<Move> Moves;
  std::vector<std::pair<TimePoint, const ModelSpec *>> Asked;
  for (const auto &[Name, Used] : m_used)
    if (Now - Used <= RecentUse)
      Asked.emplace_back(Used, &m_catalog->m_models.at(Name));
  std::sort(Asked.rbegin(), Asked.rend());
  for (const auto &[Used, Spec] : Asked) {
    if (Budget.m_models == 0)
      break;
    if (needsCopy(*Spec, View) && place(*Spec, View, Moves))
      --Budget.m_models;
  }
  for (const AcceleratorView &A : View)
    loadAdapters(A, Budget, Moves);
  return Moves;
}
} // namespace

std::unique_ptr<Dispatcher> createBaselineDispatcher(Routing Kind,
                                                     std::uint64_t Seed) {
  return std::make_unique<BaselineDispatcher>(Kind, Seed);
}

std::unique_ptr<PlacementPlanner> createStaticPlanner() {
  return std::make_unique<StaticPlanner>();
}

std::unique_ptr<PlacementPlanner> createLruPlanner() {
  return std::make_unique<LruPlanner>();
}

} // namespace primroseworks::bench
