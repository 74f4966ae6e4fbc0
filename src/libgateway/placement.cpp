// Implementation of the placement policy.
#include "libgateway/placement.h"

#include <algorithm>
#include <set>

namespace primroseworks::gateway {

namespace {

template <class T, class V> bool contains(const T &List, const V &Value) {
  return std::find(List.begin(), List.end(), Value) != List.end();
}

const HeldModel *heldModel(const PlacementEngine &E, const std::string &Model) {
  for (const HeldModel &M : E.m_held)
    if (M.m_name == Model)
      return &M;
  return nullptr;
}

bool usable(const PlacementEngine &E) {
  return !E.m_leaving && !E.m_unresponsive;
}

/// Builds the list of moves for one planning step.
class Plan {
public:
  Plan(const EngineSpec &Spec, const PlacementInput &Input, TimePoint Now)
      : m_spec(Spec), m_input(Input), m_now(Now),
        m_loadsLeft(Input.m_loadsAllowed) {
    for (const PlacementEngine &E : Input.m_engines) {
      if (!usable(E))
        continue;
      for (const HeldModel &M : E.m_held)
        ++m_copies[M.m_name];
      for (const std::string &M : E.m_loading)
        ++m_copies[M];
    }
  }

  void placeAdapters();
  void placeModels();
  std::vector<PlacementMove> take() { return std::move(m_moves); }

private:
  bool hasMove(const PlacementEngine &E) const {
    return m_enginesWithMove.count(E.m_id);
  }
  unsigned copies(const std::string &Model) const {
    auto It = m_copies.find(Model);
    return It == m_copies.end() ? 0 : It->second;
  }
  ModelDemand demand(const std::string &Model) const {
    auto It = m_input.m_models.find(Model);
    return It == m_input.m_models.end() ? ModelDemand() : It->second;
  }
  void move(const PlacementEngine &E, OrderKind Kind, const std::string &Model,
            const std::string &Adapter, std::string Reason) {
    m_moves.push_back({E.m_id, Kind, Model, Adapter, std::move(Reason), ""});
    m_enginesWithMove.insert(E.m_id);
  }
  bool fits(const PlacementEngine &E, const std::string &Model) const {
    return E.m_occupancy.hasRoomFor(m_spec, {Model, ""});
  }
  const HeldModel *evictableModel(const PlacementEngine &E,
                                  double NewDemand) const;
  const ArtifactName *evictableAdapter(const PlacementEngine &E,
                                       ArtifactName &Out) const;
  bool planLoad(const std::string &Model, double BelowLoad, const char *Reason);
  double targetRequestsPerCopy() const;
  double priority(const std::string &Model) const;

  const EngineSpec &m_spec;
  const PlacementInput &m_input;
  TimePoint m_now;
  unsigned m_loadsLeft;
  std::map<std::string, unsigned> m_copies; ///< By model, on usable engines.
  std::set<std::string> m_enginesWithMove;  ///< Ids of engines with a move.
  std::vector<PlacementMove> m_moves;
};

/// Returns the model with the least demand per copy that the engine can give
/// up, or null. Another copy must remain, and the remaining copies must be able
/// to serve the model's demand.
const HeldModel *Plan::evictableModel(const PlacementEngine &E,
                                      double NewDemand) const {
  const HeldModel *Best = nullptr;
  double BestDemand = 0;
  for (const HeldModel &M : E.m_held) {
    const unsigned Copies = copies(M.m_name);
    if (Copies < 2 && usable(E))
      continue;
    const ModelDemand D = demand(M.m_name);
    const double PerCopyLeft =
        (D.m_running + D.m_waiting) / std::max(1U, Copies - 1);
    if (PerCopyLeft > targetRequestsPerCopy() ||
        D.m_running + D.m_waiting > 0.7 * NewDemand)
      continue;
    const double PerCopy = (D.m_running + D.m_waiting + D.m_arrivals) / Copies;
    if (!Best || PerCopy < BestDemand) {
      Best = &M;
      BestDemand = PerCopy;
    }
  }
  return Best;
}

const ArtifactName *Plan::evictableAdapter(const PlacementEngine &E,
                                           ArtifactName &Out) const {
  bool Found = false;
  TimePoint Oldest{};
  for (const HeldModel &M : E.m_held)
    for (const std::string &A : M.m_adapters) {
      const ArtifactName Name{M.m_name, A};
      if (m_input.m_wantedAdapters.count(Name))
        continue; // Requests wait for it.
      auto It = m_input.m_adapterLastUsed.find(Name);
      const TimePoint Used =
          It == m_input.m_adapterLastUsed.end() ? TimePoint{} : It->second;
      if (Found && Used >= Oldest)
        continue;
      Found = true;
      Oldest = Used;
      Out = Name;
    }
  return Found && m_now - Oldest > m_input.m_adapterIdleTimeout ? &Out
                                                                : nullptr;
}

void Plan::placeAdapters() {
  std::vector<std::pair<unsigned, ArtifactName>> Wanted;
  for (const auto &[Name, Count] : m_input.m_wantedAdapters)
    Wanted.emplace_back(Count, Name);
  std::sort(Wanted.rbegin(), Wanted.rend());
  for (const auto &[Count, Name] : Wanted) {
    const PlacementEngine *Best = nullptr;
    double BestScore = 0;
    bool Loading = false;
    for (const PlacementEngine &E : m_input.m_engines) {
      if (!usable(E) || !heldModel(E, Name.first) ||
          contains(E.m_unloading, ArtifactName{Name.first, ""}) ||
          contains(E.m_unloading, Name))
        continue;
      Loading = Loading || contains(E.m_loadingAdapters, Name);
      if (heldModel(E, Name.first)->m_adapters.count(Name.second) ||
          hasMove(E) || E.m_busy)
        continue;
      ArtifactName Evictable;
      const bool Full = !E.m_occupancy.hasRoomFor(m_spec, Name);
      if (Full && !evictableAdapter(E, Evictable))
        continue;
      const double Score = E.m_load / std::max(1U, m_spec.m_slots) +
                           static_cast<double>(E.m_occupancy.adapterSlots()) /
                               std::max(1U, m_spec.m_adapterSlots) +
                           (Full ? 1 : 0);
      if (!Best || Score < BestScore) {
        Best = &E;
        BestScore = Score;
      }
    }
    if (!Best || Loading)
      continue;
    ArtifactName Evictable;
    if (Best->m_occupancy.hasRoomFor(m_spec, Name))
      move(*Best, OrderKind::Load, Name.first, Name.second, "adapter_wanted");
    else if (evictableAdapter(*Best, Evictable))
      move(*Best, OrderKind::Unload, Evictable.first, Evictable.second,
           "adapter_idle");
  }
}

/// Adds a load of Model on the best-scoring engine with a load below BelowLoad,
/// or the unload that makes room for it. Returns false if no engine is
/// suitable.
bool Plan::planLoad(const std::string &Model, double BelowLoad,
                    const char *Reason) {
  const ModelDemand D = demand(Model);
  const PlacementEngine *Best = nullptr;
  double BestScore = 0;
  for (const PlacementEngine &E : m_input.m_engines) {
    if (!usable(E) || E.m_busy || hasMove(E) || heldModel(E, Model) ||
        contains(E.m_loading, Model) || E.m_load >= BelowLoad)
      continue;
    const bool Fits = fits(E, Model);
    // An unload waits for the model's running requests, which are slow on a
    // full engine.
    if (!Fits && E.m_load > MaxBatchShareForUnload * m_spec.m_slots)
      continue;
    const bool Cached = contains(E.m_cachedModels, Model);
    if (!Cached && m_loadsLeft == 0)
      continue; // Only cached weights load without the weight store.
    const double NewDemand =
        copies(Model) == 0 ? 1e9 : D.m_running + D.m_waiting;
    if (!Fits && !evictableModel(E, NewDemand))
      continue;
    const double Score = E.m_load + (Fits ? 0 : UnloadPenalty) -
                         (Cached ? CachedWeightsBonus : 0);
    if (!Best || Score < BestScore) {
      Best = &E;
      BestScore = Score;
    }
  }
  if (!Best)
    return false;
  if (!contains(Best->m_cachedModels, Model))
    --m_loadsLeft;
  if (fits(*Best, Model)) {
    move(*Best, OrderKind::Load, Model, "", Reason);
    ++m_copies[Model];
    return true;
  }
  const double NewDemand = copies(Model) == 0 ? 1e9 : D.m_running + D.m_waiting;
  const HeldModel *Evicted = evictableModel(*Best, NewDemand);
  move(*Best, OrderKind::Unload, Evicted->m_name, "",
       std::string("room_for_") + Reason);
  m_moves.back().m_replacementModel = Model;
  --m_copies[Evicted->m_name];
  ++m_copies[Model];
  return true;
}

/// Number of requests per copy above which a model gets another copy if a less
/// loaded engine exists.
double Plan::targetRequestsPerCopy() const {
  return CopyTargetShare * m_spec.m_slots;
}

/// Requests per copy above the target, which decide which model gets a copy
/// first; 0 if the model needs none.
double Plan::priority(const std::string &Model) const {
  const ModelDemand D = demand(Model);
  const unsigned Copies = copies(Model);
  if (Copies == 0) {
    const double Wanting = D.m_waiting + D.m_arrivals;
    return Wanting > 0 ? WantedMissingModelPriority + Wanting
                       : MissingModelPriority;
  }
  const double PerCopy = (D.m_running + D.m_waiting) / Copies;
  if (D.m_arrivals < MinArrivalsForCopy || PerCopy <= targetRequestsPerCopy())
    return 0;
  for (const PlacementEngine &E : m_input.m_engines)
    if (usable(E) && heldModel(E, Model) && E.m_load < targetRequestsPerCopy())
      return 0; // An existing copy still has capacity.
  return PerCopy - targetRequestsPerCopy();
}

void Plan::placeModels() {
  std::vector<std::pair<double, std::string>> Wanted;
  for (const auto &[Name, Model] : m_spec.m_models) {
    const double Priority = priority(Name);
    if (Priority > 0)
      Wanted.emplace_back(Priority, Name);
  }
  std::sort(Wanted.rbegin(), Wanted.rend());
  for (const auto &[Priority, Name] : Wanted) {
    const ModelDemand D = demand(Name);
    const unsigned Copies = copies(Name);
    if (Copies == 0)
      planLoad(Name, 1e9, "missing_model");
    else
      planLoad(Name,
               std::max(1.0, MaxLoadShareForCopy * (D.m_running + D.m_waiting) /
                                 Copies),
               "hot_model");
  }
}

} // namespace

std::vector<PlacementMove> planPlacement(const EngineSpec &Spec,
                                         const PlacementInput &Input,
                                         TimePoint Now) {
  Plan P(Spec, Input, Now);
  P.placeModels();
  P.placeAdapters();
  return P.take();
}

void LoadLimiter::refill(TimePoint Now) {
  if (m_lastRefill != TimePoint{})
    m_credit = std::clamp(m_credit + m_rate * toSeconds(Now - m_lastRefill),
                          0.0, m_burst);
  else
    m_credit = 1;
  m_lastRefill = Now;
}

unsigned LoadLimiter::available(TimePoint Now) {
  refill(Now);
  return static_cast<unsigned>(m_credit);
}

void LoadLimiter::take(TimePoint Now) {
  refill(Now);
  m_credit = std::max(0.0, m_credit - 1);
}

void LoadLimiter::giveBack(TimePoint Now) {
  refill(Now);
  m_credit = std::min(m_burst, m_credit + 1);
}

} // namespace primroseworks::gateway
