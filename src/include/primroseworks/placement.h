// Plans which model and adapter versions each accelerator should hold. Pure
// decisions: the caller turns moves into claims and orders.
#ifndef PRIMROSEWORKS_PLACEMENT_H
#define PRIMROSEWORKS_PLACEMENT_H

#include "primroseworks/catalog.h"
#include "primroseworks/engine.h"
#include "primroseworks/error.h"
#include "primroseworks/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace primroseworks {

/// An accelerator as the planner sees it.
struct AcceleratorView {
  std::string m_endpoint;
  std::string m_region;
  std::string m_failureDomain;
  bool m_leaving = false;
  std::uint64_t m_memoryBytes = 0;
  std::uint64_t m_claimedBytes = 0; ///< Sum of all claims of the ledger.
  std::vector<ResidentArtifact> m_resident;
  std::vector<Artifact> m_loading;
  std::vector<Artifact> m_unloading;
  /// Loads that its owner has just refused for lack of memory: its ledger can
  /// hold claims that no report shows, such as that of an order without answer.
  std::vector<Artifact> m_refused;
  /// Share of the throughput in use, smoothed; see throughputShare().
  double m_utilization = 0;
};

enum class MoveKind { Load, Unload };
inline constexpr NameTable<MoveKind, 2> MoveKindNames = {
    {{MoveKind::Load, "load"}, {MoveKind::Unload, "unload"}}};

/// One planned move, most valuable first.
struct Move {
  MoveKind m_kind = MoveKind::Load;
  std::string m_endpoint;
  Artifact m_artifact;
  std::uint64_t m_bytes = 0;
  std::string m_reason;
  /// For an unload: stop routing to the artifact here and let its requests
  /// finish before the order is sent. List it in m_unloading from then on.
  bool m_drainFirst = false;
  /// For a load: the model lacks required copies, rather than capacity.
  bool m_required = false;
};

/// What the planner of one region knows about another one.
struct RemoteRegion {
  std::string m_region;
  unsigned m_liveAccelerators = 0;
  /// Mean of its live accelerators; negative if unknown.
  double m_utilization = -1;
  /// For each model, the number of failure domains in which its current version
  /// is resident on a live accelerator.
  std::map<std::string, unsigned> m_replicas;
  /// For each of these models, the utilization of its least used copy.
  std::map<std::string, double> m_leastUtilization;
  /// Free memory of the live accelerator that has most of it, in bytes; the
  /// highest value if unknown.
  std::uint64_t m_largestFree = ~std::uint64_t{0};
};

/// How many loads may start now.
struct LoadBudget {
  unsigned m_models = 0;
  unsigned m_adapters = 0;
};

struct PlannerOptions {
  Seconds m_demandRise{20};  ///< Time constant of rising demand.
  Seconds m_demandFall{300}; ///< Time constant of falling demand.
  double m_minGain = 0.2;    ///< Hysteresis: gain over cost needed for a move.
  /// Region to plan for; empty plans for every region in the view.
  std::string m_region;
  /// Tokens per second of one accelerator at utilization 1. A first value; it
  /// is corrected from demand and utilization.
  double m_acceleratorTokensPerSecond = 2000;
  /// Load of an accelerator, 0 to 1, above which its models get more replicas.
  double m_targetUtilization = 0.8;
  /// How long the first replica of a new version serves before others load it.
  Seconds m_rolloutObservation{60};
  std::uint64_t m_seed = 1;
};

class PlacementPlanner {
public:
  virtual ~PlacementPlanner() = default;
  virtual void setCatalog(std::shared_ptr<const Catalog> Next,
                          TimePoint Now) = 0;
  /// Tokens (prompt and generated) asked of an artifact by callers in Region.
  /// Call it once per request, with the adapter if the request names one: the
  /// demand of an adapter counts for its base model too.
  virtual void observeDemand(const Artifact &Wanted, const std::string &Region,
                             double Tokens, TimePoint Now,
                             Rank R = Rank::Standard) = 0;
  /// What is known about regions whose accelerators are not in the view.
  virtual void setRemoteRegions(std::vector<RemoteRegion> Remote) = 0;
  /// Moves to start now, within Budget. Never plans beyond m_memoryBytes.
  virtual std::vector<Move> plan(const std::vector<AcceleratorView> &View,
                                 LoadBudget Budget, TimePoint Now) = 0;
};

/// Share of an engine's throughput that is in use, 0 to 1, from its batch. A
/// step with a full batch takes about three times as long as one with a single
/// sequence, so a half full batch already gives three quarters of the
/// throughput. Smooth it over a few seconds.
double throughputShare(const LoadReport &Report);

/// The planner that the daemon uses. Fails with InvalidArgument if an option is
/// out of range.
Result<std::unique_ptr<PlacementPlanner>>
createPlacementPlanner(PlannerOptions Options);

} // namespace primroseworks

#endif
