// The requests of a scenario, drawn from a seed.
#ifndef PRIMROSEWORKS_BENCH_WORKLOAD_H
#define PRIMROSEWORKS_BENCH_WORKLOAD_H

#include "primrose-bench/deployment.h"

namespace primroseworks::bench {

/// One request of a caller.
struct WorkItem {
  double m_arrival = 0; ///< Seconds.
  Rank m_rank = Rank::Standard;
  std::size_t m_model = 0;
  std::string m_adapter;
  std::size_t m_region = 0;
  std::string m_caller;
  std::vector<std::uint64_t> m_prefixHashes;
  unsigned m_promptTokens = 0;
  unsigned m_tokens = 0;
  double m_cost = 0; ///< Accelerator milliseconds, without cache hits.
};

/// All requests in the order of arrival.
std::vector<WorkItem> makeWork(const Deployment &D, const Scenario &S,
                               std::uint64_t Seed);

} // namespace primroseworks::bench

#endif
