// Placement policy: decides which models and adapters each engine of a service
// should hold.
//
// Load pattern: demand shifts to models with a single copy while the engines'
// memory is full of copies of models that were in demand before; engines fail
// with the only copy of a model; rarely used adapters are requested without
// warning. The policy evicts copies that are not needed, but never the last
// copy of a model. While the whole fleet is overloaded, the next copy goes to
// the model with the most requests per copy, since a copy relieves at most one
// engine's batch, however many requests its model has.
#ifndef PRIMROSEWORKS_LIBGATEWAY_PLACEMENT_H
#define PRIMROSEWORKS_LIBGATEWAY_PLACEMENT_H

#include "libgateway/engineledger.h"
#include "libgateway/types.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace primroseworks::gateway {

/// State of one engine, as input to the policy.
struct PlacementEngine {
  std::string m_id;
  std::vector<HeldModel> m_held;               ///< What requests may use.
  std::vector<std::string> m_loading;          ///< Models being loaded.
  std::vector<ArtifactName> m_loadingAdapters; ///< Adapters being loaded.
  std::vector<ArtifactName> m_unloading;       ///< Artifacts being unloaded.
  /// Everything that may take its memory or adapter slots.
  Occupancy m_occupancy;
  std::vector<std::string>
      m_cachedModels;  ///< Weights in host memory or on disk.
  bool m_busy = false; ///< Gets no order at present.
  bool m_leaving = false;
  bool m_unresponsive = false; ///< Its copies do not count as usable.
  double m_load = 0;           ///< Requests at the engine, running or queued.
};

/// Demand for one model and its adapters, summed over all VMs.
struct ModelDemand {
  double m_running = 0;  ///< Requests running at engines.
  double m_waiting = 0;  ///< Requests waiting in VMs.
  double m_arrivals = 0; ///< Requests per second.
};

/// Lower bound of PlacementInput::m_adapterIdleTimeout.
inline constexpr Milliseconds MinAdapterIdleTimeout{300};

struct PlacementInput {
  std::vector<PlacementEngine> m_engines;
  std::map<std::string, ModelDemand> m_models;
  /// Adapters that requests wait for, and the number of these requests.
  std::map<ArtifactName, unsigned> m_wantedAdapters;
  /// When each adapter was last requested.
  std::map<ArtifactName, TimePoint> m_adapterLastUsed;
  /// An adapter that was used within this time is not unloaded for another.
  Duration m_adapterIdleTimeout = MinAdapterIdleTimeout;
  unsigned m_loadsAllowed = 0; ///< Model loads that may start now.
};

struct PlacementMove {
  std::string m_engine;
  OrderKind m_kind = OrderKind::Load;
  std::string m_model;
  std::string m_adapter;
  std::string m_reason;
  std::string m_replacementModel; ///< For an unload: the model to load next.
};

/// Share of an engine's batch that each copy of a model should serve before the
/// model gets another copy.
inline constexpr double CopyTargetShare = 0.25;
/// Priority of loading a model that has no copy, in requests per copy: for
/// future requests alone, and while requests wait or arrive.
inline constexpr double MissingModelPriority = 0.5;
inline constexpr double WantedMissingModelPriority = 1e6;
/// Score penalty for an engine that must unload a model first, and bonus for
/// one that has the weights cached; both in requests at the engine.
inline constexpr double UnloadPenalty = 6;
/// Batch utilization above which no model is unloaded from an engine: an unload
/// waits for the model's requests, which are slow on a full engine.
inline constexpr double MaxBatchShareForUnload = 0.6;
inline constexpr double CachedWeightsBonus = 8;
/// An engine gets a further copy of a model only if its load is below this
/// share of the mean number of requests per existing copy.
inline constexpr double MaxLoadShareForCopy = 0.6;
/// Arrivals per second below which a model gets no additional copy.
inline constexpr double MinArrivalsForCopy = 1.0;
/// Idle timeout of adapters in a large fleet, in peer report intervals. An
/// adapter that is still in use is not unloaded at once and keeps its slot, so
/// lost or late reports must not make it look unused.
inline constexpr double AdapterIdleTimeoutReports = 2.5;

/// Returns the moves to order now: models before adapters, the highest benefit
/// first, and at most one move per engine.
std::vector<PlacementMove> planPlacement(const EngineSpec &Spec,
                                         const PlacementInput &Input,
                                         TimePoint Now);

/// Token bucket that limits model loads to the rate of the weight store.
class LoadLimiter {
public:
  /// Rate is in loads per second; up to Burst loads may start at once.
  LoadLimiter(double Rate, double Burst) : m_rate(Rate), m_burst(Burst) {}
  unsigned available(TimePoint Now);
  void take(TimePoint Now);
  /// Returns the unit of a load that did not begin.
  void giveBack(TimePoint Now);
  void setRate(double Rate) { m_rate = Rate; }

private:
  void refill(TimePoint Now);
  double m_rate;
  double m_burst;
  /// Loads that may start now. The first refill sets it to 1 instead of the
  /// burst, since the previous leader's loads are unknown.
  double m_credit = 0;
  TimePoint m_lastRefill{};
};

} // namespace primroseworks::gateway

#endif
