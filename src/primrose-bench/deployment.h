// The two deployments and the scenarios that the bench runs.
#ifndef PRIMROSEWORKS_BENCH_DEPLOYMENT_H
#define PRIMROSEWORKS_BENCH_DEPLOYMENT_H

#include "primrose-bench/fakeengine.h"
#include "primroseworks/catalog.h"
#include "primroseworks/dispatcher.h"
#include "primroseworks/error.h"

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace primroseworks::bench {

/// Requests of one rank.
struct RankWork {
  double m_share = 0; ///< Of the work in steady state, by cost.
  unsigned m_promptTokens = 0;
  unsigned m_tokens = 0;
  std::size_t m_firstModel = 0; ///< Most popular model of this kind of work.
};

struct Deployment {
  std::shared_ptr<const Catalog> m_catalog;
  std::vector<std::string> m_regions;
  std::vector<double> m_regionShares; ///< Of the callers.
  std::vector<EndpointInfo> m_engines;
  std::vector<std::string> m_daemonRegions; ///< One entry per daemon.
  std::vector<std::string> m_models;        ///< By index.
  std::array<RankWork, RankCount> m_work;
  EngineFigures m_engine;
  double m_keptWeight = 1; ///< Weight in the score, during a flood, of the
                           ///< ranks that are not flooded.

  /// Largest batch within the token gap of the bounds, 40 ms. The capacity of
  /// an engine is its throughput with this batch.
  unsigned targetBatch() const;
  /// Prompt and generated tokens per second of one engine at its capacity.
  double tokensPerSecond() const;
  /// Accelerator milliseconds of a mean request of the rank.
  double cost(Rank R) const;
  /// Requests per second of the rank when the fleet is loaded to Load.
  double rate(Rank R, double Load) const;
  /// Share of the rank's requests that ask for each model; sums to 1.
  std::vector<double> popularity(Rank R) const;
};

/// "braidwell" or "dentelle".
Result<Deployment> makeDeployment(const std::string &Name);

struct Scenario {
  std::string m_name;
  double m_load = 0.7;   ///< Of the fleet's capacity, before the disturbance.
  double m_start = 60;   ///< Seconds: when the disturbance starts.
  double m_stop = 150;   ///< When it ends.
  double m_length = 150; ///< When arrivals end.
  double m_from = 60;    ///< Arrivals from here are measured ...
  double m_to = 150;     ///< ... up to here.
  std::optional<Rank> m_flood;
  double m_floodFactor = 10;
  /// Models whose demand rises tenfold while the whole load stays the same.
  std::vector<std::size_t> m_shifted;
  /// Adds the rise to the load instead of keeping it the same.
  bool m_addShift = false;
  std::vector<std::size_t> m_lostEngines;
  double m_storeSlowdown = 1;
  double m_reportLag = 0; ///< Seconds beyond the network's delay.
};

std::vector<std::string> scenarioNames();
Result<Scenario> makeScenario(const std::string &Name, const Deployment &D);

} // namespace primroseworks::bench

#endif
