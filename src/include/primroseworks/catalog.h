// The operators' configuration in typed form: what is served, to whom, with
// which targets. A Catalog is immutable once built; a new revision is a new
// Catalog.
#ifndef PRIMROSEWORKS_CATALOG_H
#define PRIMROSEWORKS_CATALOG_H

#include "primroseworks/names.h"
#include "primroseworks/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace primroseworks {

/// Ranks of work, most urgent first.
enum class Rank { Urgent, Standard, Batch };
inline constexpr std::size_t RankCount = 3;
inline constexpr NameTable<Rank, RankCount> RankNames = {
    {{Rank::Urgent, "urgent"},
     {Rank::Standard, "standard"},
     {Rank::Batch, "batch"}}};

/// Targets and weight of one rank.
struct RankPolicy {
  Milliseconds m_firstTokenTarget{1500};
  Milliseconds m_tokenGapTarget{40};
  double m_worth = 1.0; ///< Relative value of one request within its targets.
  double m_guaranteedShare = 0.0; ///< Share of service kept in any flood, 0 to
                                  ///< 1; the sum is at most 1.
  Milliseconds m_maxQueueTime{
      10000}; ///< Queued longer than this is refused with `not-run`.
};

/// A model and the version being served.
struct ModelSpec {
  std::string m_name;
  std::string m_version = "1";
  std::string m_nextVersion; ///< Version being rolled out; empty if none.
  double m_rolloutShare = 0; ///< Share of requests for m_nextVersion, 0 to 1.
  std::uint64_t m_weightBytes = 0;
  std::vector<std::string> m_regions; ///< Where it may run; empty means all.
  unsigned m_minReplicas = 2;         ///< In different failure domains.
};

/// An adapter of a base model.
struct AdapterSpec {
  std::string m_name;
  std::string m_base; ///< Name of the base model.
  std::string m_version = "1";
  std::uint64_t m_bytes = 0;
};

/// Calls of a service that match a method and a path prefix.
struct ServiceRoute {
  std::string m_method; ///< Empty matches every method.
  std::string m_pathPrefix = "/";
  bool m_repeatable = false;
};

/// A plain service beside the engines.
struct ServiceSpec {
  std::string m_name;
  std::vector<ServiceRoute> m_routes; ///< First match wins; none matched means
                                      ///< not repeatable, except GET and HEAD.
  Milliseconds m_timeout{10000};
};

/// Rules for engines whose names start with m_prefix.
struct EngineRule {
  std::string m_prefix;
  bool m_checksFencing = false; ///< Refuses orders with an old fencing number.
};

/// Limits of the weight store and of adapter loads, for the whole deployment.
struct LoadLimits {
  double m_loadsPerSecond = 1.0;
  unsigned m_concurrentLoads = 3;
  unsigned m_concurrentAdapterLoads = 25;
};

/// One revision of the operators' configuration.
struct Catalog {
  std::uint64_t m_revision = 0;
  std::string m_deployment;
  std::array<RankPolicy, RankCount> m_ranks;
  std::map<std::string, ModelSpec> m_models;
  std::map<std::string, AdapterSpec> m_adapters;
  std::map<std::string, ServiceSpec> m_services;
  std::vector<EngineRule> m_engineRules; ///< Longest matching prefix wins.
  LoadLimits m_loadLimits;
  std::map<std::string, double>
      m_linkPrice; ///< "from/to" region pair to price per megabyte.
  std::map<std::string, Rank> m_callerRanks; ///< Default rank by caller key.

  const RankPolicy &rank(Rank R) const {
    return m_ranks[static_cast<std::size_t>(R)];
  }
};

} // namespace primroseworks

#endif
