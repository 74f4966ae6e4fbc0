// Runs one scenario in virtual time: several dispatchers and planners over the
// same fake engines.
#ifndef PRIMROSEWORKS_BENCH_SIMULATION_H
#define PRIMROSEWORKS_BENCH_SIMULATION_H

#include "primrose-bench/baselines.h"
#include "primrose-bench/workload.h"

#include <set>

namespace primroseworks::bench {

/// What decides in a run.
struct Contender {
  Routing m_routing = Routing::Policy;
  Placing m_placing = Placing::Policy;
  std::string name() const;
};

/// Requests of one rank that arrived within a window.
struct RankCounts {
  unsigned m_offered = 0;
  unsigned m_attained = 0; ///< Complete and within the rank's targets.
  unsigned m_strict = 0;   ///< Complete, first token in 1.5 s, gap 40 ms.
  unsigned m_completed = 0;
  unsigned m_refused = 0;
  unsigned m_abandoned = 0; ///< The caller gave up waiting.
  unsigned m_lateFirst = 0; ///< Complete, but the first token was late.
  unsigned m_slowGap = 0;   ///< Complete, but the gap was too long.
  double m_offeredWork = 0; ///< Accelerator milliseconds.
  double m_attainedWork = 0;
  /// Attained share of what was offered, by work; 1 if nothing was offered.
  double attainedShare() const {
    return m_offeredWork > 0 ? m_attainedWork / m_offeredWork : 1;
  }
};

struct RunResult {
  std::array<RankCounts, RankCount> m_before; ///< 30 s up to the disturbance.
  std::array<RankCounts, RankCount> m_during; ///< The measured window.
  /// Accelerator milliseconds computed for each rank in the measured window.
  std::array<double, RankCount> m_servedWork{};
  unsigned m_modelLoads = 0;
  unsigned m_modelUnloads = 0;
  unsigned m_repairs = 0; ///< Model loads that restore required copies.
  unsigned m_adapterLoads = 0;
  unsigned m_peakLoads = 0;        ///< Model loads in flight at once.
  unsigned m_peakAdapterLoads = 0; ///< Adapter loads in flight at once.
  unsigned m_preemptions = 0;
  std::uint64_t m_wastedTokens = 0;
  std::uint64_t m_billedBytes = 0;
  /// Longest time a model was resident nowhere, beyond its load time, seconds.
  double m_worstOutage = 0;
  unsigned m_models = 0; ///< Models resident somewhere at the end.
  double m_score = 0;    ///< Worth of attained requests per accelerator second.

  unsigned moves() const { return m_modelLoads + m_modelUnloads; }
  unsigned refusals() const;
  /// Attained share of a rank in the window relative to before it.
  double kept(Rank R) const;
};

/// Which artifacts each engine holds at the start of every run.
using StartPlacement = std::vector<std::set<Artifact>>;

/// What the planner settles on for the demand before the disturbance. Every
/// contender starts with it.
StartPlacement settlePlacement(const Deployment &D, double Load);

RunResult runScenario(const Deployment &D, const Scenario &S, Contender C,
                      std::uint64_t Seed);

/// Options of the planners and dispatchers of the policy, for ablations.
struct PolicyOptions {
  PlannerOptions m_planner;
  DispatcherOptions m_dispatcher;
  bool m_trace = false; ///< Prints each move to the standard error.
};
RunResult runScenario(const Deployment &D, const Scenario &S, Contender C,
                      std::uint64_t Seed, const PolicyOptions &Options);

} // namespace primroseworks::bench

#endif
