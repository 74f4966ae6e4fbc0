// Decides which models and adapters the engines of one service should hold.
//
// Load pattern: demand moves to models with one copy while the engines' memory
// is full of copies of yesterday's models; engines are lost with the only copy
// of a model; rare adapters are asked for at once. Copies that nobody needs
// make room, the last copy of a model stays.
#ifndef PRIMROSEWORKS_LIBGATEWAY_PLACEMENT_H
#define PRIMROSEWORKS_LIBGATEWAY_PLACEMENT_H

#include "libgateway/types.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace primroseworks::gateway {

using ArtifactName = std::pair<std::string, std::string>; ///< Model, adapter.

/// An engine as the policy sees it.
struct PlacementEngine {
  std::string m_id;
  std::vector<HeldModel> m_held;
  std::vector<std::string> m_loading;          ///< Models on their way.
  std::vector<ArtifactName> m_loadingAdapters; ///< Adapters on their way.
  std::vector<std::string> m_atHand;    ///< Weights in its memory or on disk.
  std::vector<std::string> m_unloading; ///< Models that still use memory.
  bool m_busy = false;                  ///< Takes no order for a model now.
  bool m_leaving = false;
  bool m_avoided = false; ///< Fails or is silent: its copies serve nobody.
  double m_load = 0;      ///< Requests there, running or waiting.
};

/// What callers of all VMs want of one model, adapters included.
struct ModelDemand {
  double m_running = 0;  ///< Requests at engines.
  double m_waiting = 0;  ///< Requests that wait in VMs.
  double m_arrivals = 0; ///< Requests per second.
};

/// Shortest time for which an unused adapter is kept.
inline constexpr Milliseconds AdapterKeepLeast{300};

struct PlacementInput {
  std::vector<PlacementEngine> m_engines;
  std::map<std::string, ModelDemand> m_models;
  /// Adapters that requests wait for, with their number.
  std::map<ArtifactName, unsigned> m_wantedAdapters;
  /// When each adapter was last asked for.
  std::map<ArtifactName, TimePoint> m_adapterUse;
  /// An adapter unused for less than this is not unloaded for another.
  Duration m_adapterKeepTime = AdapterKeepLeast;
  unsigned m_loadsAllowed = 0; ///< Loads of models that may start now.
};

struct PlacementMove {
  std::string m_engine;
  OrderKind m_kind = OrderKind::Load;
  std::string m_model;
  std::string m_adapter;
  std::string m_reason;
  std::string m_thenLoad; ///< For an unload: the model that it makes room for.
};

/// Share of a batch that a copy of a model is to carry before it gets another.
inline constexpr double CopyTargetShare = 0.25;
/// What a copy of a model without one is worth, in requests relieved: a part
/// that stands for callers to come, and a weight of those that wait.
inline constexpr double MissingModelBenefit = 0.5;
inline constexpr double MissingModelWeight = 3;
/// Cost of an unload before the load, and gain of weights that the engine has
/// in its memory or on its disk, in requests at the engine.
inline constexpr double UnloadPenalty = 6;
/// Share of its batch above which no model is unloaded from an engine.
inline constexpr double UnloadBelowShare = 0.6;
inline constexpr double AtHandBonus = 8;
/// Another engine must be below this share of the copies' load for a new copy.
inline constexpr double RelievedShare = 0.6;
/// Arrivals per second below which a model gets no further copy.
inline constexpr double ArrivalsForCopy = 1.0;
/// Reports of its users that may be missing before an adapter counts as unused:
/// one that is in use is not unloaded at once, and keeps its place.
inline constexpr double AdapterKeepReports = 2.5;

/// Moves to order now, most valuable first; at most one for each engine.
std::vector<PlacementMove> planPlacement(const EngineSpec &Spec,
                                         const PlacementInput &Input,
                                         TimePoint Now);

/// Memory in MB that the engine's models and adapters use, those on their way
/// included.
double usedMemoryMb(const EngineSpec &Spec, const PlacementEngine &Engine);

/// Keeps the starts of loads below the weight store's rate.
class LoadLimiter {
public:
  /// Rate in loads per second; Burst loads may start together.
  LoadLimiter(double Rate, double Burst) : m_rate(Rate), m_burst(Burst) {}
  unsigned available(TimePoint Now);
  void take(TimePoint Now);
  void setRate(double Rate) { m_rate = Rate; }

private:
  void refill(TimePoint Now);
  double m_rate;
  double m_burst;
  double m_credit = 0; ///< A new leader does not know its predecessor's loads.
  TimePoint m_last{};
};

} // namespace primroseworks::gateway

#endif
