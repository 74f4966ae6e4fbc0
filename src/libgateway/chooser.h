// Chooses the endpoint of one request.
//
// Load pattern: a model's demand exceeds its copies while other engines idle,
// one engine is slow or fails, and the caller's region is not the one with
// room. Requests go where the first answer byte is expected soonest, with a
// price on distance, and never where the batch has no place for their rank.
#ifndef PRIMROSEWORKS_LIBGATEWAY_CHOOSER_H
#define PRIMROSEWORKS_LIBGATEWAY_CHOOSER_H

#include "libgateway/endpoints.h"

#include <functional>
#include <random>

namespace primroseworks::gateway {

/// A request as the chooser sees it.
struct ChoiceQuery {
  std::string m_service;
  std::string m_model;
  std::string m_adapter;
  RequestSize m_size;
  unsigned m_rank = 0;
  std::uint64_t m_affinity = 0; ///< Hash of the shared parts of the prompt.
  std::vector<std::string> m_excluded; ///< Endpoints not to be used again.
  bool m_mayProbe = true; ///< A failure there does no harm beyond time.
  /// Gateways that choose with loads told some time ago, this one included.
  unsigned m_gateways = 1;
  std::uint64_t m_jitterSeed = 0; ///< Differs by request.
};

/// Why no endpoint was chosen.
enum class ChoiceObstacle {
  None,
  NoEndpoint, ///< The service has no usable endpoint.
  NoModel,    ///< No usable endpoint holds the model.
  NoAdapter,  ///< One holds the model, none holds the adapter too.
  Full,       ///< All that hold it are at their limit for this rank.
  Excluded    ///< Only endpoints that failed this request are left.
};
inline constexpr NameTable<ChoiceObstacle, 6> ChoiceObstacleNames = {
    {{ChoiceObstacle::None, "none"},
     {ChoiceObstacle::NoEndpoint, "no_endpoint"},
     {ChoiceObstacle::NoModel, "no_model"},
     {ChoiceObstacle::NoAdapter, "no_adapter"},
     {ChoiceObstacle::Full, "full"},
     {ChoiceObstacle::Excluded, "excluded"}}};

struct Choice {
  ChoiceObstacle m_obstacle = ChoiceObstacle::NoEndpoint;
  std::string m_endpoint;
  double m_scoreMs = 0;
  std::uint64_t m_pendingPrefillTokens =
      0;                     ///< Prompt tokens to be read before its own.
  unsigned m_load = 0;       ///< Requests believed there, own and peers'.
  unsigned m_candidates = 0; ///< Endpoints that could have been chosen.
};

/// Cost of another region, as time: the round trip and the price of its bytes.
inline constexpr double OtherRegionPenaltyMs = 40;
/// Cost of another failure domain of the region, as time.
inline constexpr double OtherDomainPenaltyMs = 4;
/// Time that a prompt found in the engine's cache saves.
inline constexpr double AffinityBonusMs = 12;
/// Cost of an engine all of whose streams pause too long, as time: its answers
/// are late however soon they begin.
inline constexpr double PausesPenaltyMs = 500;
/// First answer byte expected of an endpoint that has not answered yet.
inline constexpr double TypicalLatencyMs = 60;
/// Random cost that keeps gateways which see the same loads from choosing the
/// same endpoint until the next report, as time: for each gateway and at most.
inline constexpr double SpreadPerChooserMs = 0.25;
inline constexpr double SpreadMostMs = 40;
/// Ranks from here on are low: they leave a part of each engine to the others.
inline constexpr unsigned FirstLowRank = 2;
/// Share of an engine's batch that the low ranks may fill:
/// every further sequence slows the tokens of those that run.
inline constexpr double LowRankShare = 0.7;
/// Part of an engine's KV memory that believed requests may fill.
inline constexpr double KvFillLimit = 0.95;
/// Prompts that an engine has still to read when one more is sent to it, as
/// reading time: what waits longer waits here, where urgent work overtakes it
/// and another engine may get it.
inline constexpr double UnreadLimitMs = 250;
/// Requests beyond its slots that a plain service may have waiting.
inline constexpr unsigned PlainQueueDepth = 6;

class Chooser {
public:
  /// Domain is this VM's failure domain; Regions maps domains to regions.
  Chooser(std::string Domain, std::map<std::string, std::string> Regions);
  Choice choose(const ChoiceQuery &Query, const EndpointTable &Table,
                const Service &Target, TimePoint Now) const;

private:
  double distanceMs(const std::string &Domain) const;
  double scoreMs(const ChoiceQuery &Query, const Endpoint &E,
                 const EndpointLoad &Load, unsigned Slots, double ReadMs) const;

  std::string m_domain;
  std::map<std::string, std::string> m_regions;
  std::string m_region;
};

} // namespace primroseworks::gateway

#endif
