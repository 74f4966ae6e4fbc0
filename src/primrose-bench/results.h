// Tables, JSON and bounds of bench runs.
#ifndef PRIMROSEWORKS_BENCH_RESULTS_H
#define PRIMROSEWORKS_BENCH_RESULTS_H

#include "primrose-bench/simulation.h"

namespace primroseworks::bench {

/// All contenders in one scenario with one seed; the policy comes first.
struct Comparison {
  std::string m_deployment;
  Scenario m_scenario;
  std::uint64_t m_seed = 1;
  std::vector<std::pair<Contender, RunResult>> m_runs;
};

/// One bound of the design page's section 6 and whether a run keeps it.
struct BoundCheck {
  std::string m_text; ///< The bound and the measured figure.
  bool m_kept = false;
  bool m_baseline = false; ///< Compares with baselines.
};

/// The policy and every combination of baselines.
std::vector<Contender> allContenders();

Comparison compare(const Deployment &D, const std::string &DeploymentName,
                   const Scenario &S, std::uint64_t Seed,
                   const std::vector<Contender> &Contenders = allContenders(),
                   const PolicyOptions &Options = {});
std::vector<BoundCheck> checkBounds(const Deployment &D, const Comparison &C);
std::string toTable(const Comparison &C);
std::string toJson(const Comparison &C, const std::vector<BoundCheck> &Bounds);

} // namespace primroseworks::bench

#endif
