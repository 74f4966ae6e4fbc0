// Chooses the endpoint for one request.
//
// Load pattern: the demand for a model exceeds the capacity of its replicas
// while other engines are idle, one engine is slow or failing, and free
// capacity is in a region other than the caller's. A request is sent to the
// endpoint with the lowest expected time to the first response byte, plus a
// penalty for distance, and never to an engine whose batch has no capacity for
// its rank.
#ifndef PRIMROSEWORKS_LIBGATEWAY_CHOOSER_H
#define PRIMROSEWORKS_LIBGATEWAY_CHOOSER_H

#include "libgateway/endpoints.h"
#include "libprefill/prefillbound.h"

#include <functional>
#include <random>

namespace primroseworks::gateway {

/// Properties of a request that determine the choice of its endpoint.
struct ChoiceQuery {
  std::string m_service;
  std::string m_model;
  std::string m_adapter;
  std::string m_account; ///< Name of the client account; empty if none.
  RequestSize m_size;
  unsigned m_rank = 0;
  std::uint64_t m_affinity = 0; ///< Hash of the shared segments of the prompt.
  /// Failure domain of the gateway that has the request; empty: the local one.
  std::string m_domain;
  /// Endpoints that must not be used again.
  std::vector<std::string> m_excluded;
  /// Excluded endpoints may be used again if no other one remains: nothing was
  /// sent to any of them.
  bool m_mayRevisit = false;
  /// May be sent as a probe to an avoided endpoint: a failed probe costs the
  /// request only time.
  bool m_mayProbe = true;
  /// Number of gateways that choose by the same, already outdated load reports,
  /// including this one.
  unsigned m_gatewayCount = 1;
  std::uint64_t m_jitterSeed = 0; ///< Different for each request.
};

/// The sample that a complete answer, which is no stream, gives for the
/// adaptive limit of its endpoint. An engine's work is then the whole request.
inline AnswerSample wholeAnswer(const ChoiceQuery &Query, Duration Latency) {
  if (Query.m_size.m_promptTokens == 0)
    return {Query.m_model, Latency, 0};
  return {Query.m_model + " whole", Latency, Query.m_size.m_kvTokens};
}

/// Why no endpoint was chosen.
enum class ChoiceObstacle {
  None,
  NoEndpoint, ///< The service has no usable endpoint.
  NoModel,    ///< No usable endpoint has the model loaded.
  NoAdapter,  ///< The model is loaded somewhere, but not with the adapter.
  Full,       ///< All suitable endpoints are at their limit for this rank.
  Excluded,   ///< All remaining endpoints have already failed this request.
  Paused      ///< All remaining endpoints want no requests for some time.
};
inline constexpr NameTable<ChoiceObstacle, 7> ChoiceObstacleNames = {
    {{ChoiceObstacle::None, "none"},
     {ChoiceObstacle::NoEndpoint, "no_endpoint"},
     {ChoiceObstacle::NoModel, "no_model"},
     {ChoiceObstacle::NoAdapter, "no_adapter"},
     {ChoiceObstacle::Full, "full"},
     {ChoiceObstacle::Excluded, "excluded"},
     {ChoiceObstacle::Paused, "paused"}}};

struct Choice {
  ChoiceObstacle m_obstacle = ChoiceObstacle::NoEndpoint;
  std::string m_endpoint;
  double m_scoreMs = 0;
  /// Prompt tokens that the endpoint prefills before those of the request.
  std::uint64_t m_pendingPrefillTokens = 0;
  /// Known requests at the endpoint, of this VM and of its peers.
  unsigned m_load = 0;
  unsigned m_candidates = 0; ///< Number of eligible endpoints.
  /// An endpoint with capacity was left out because of its adaptive limit.
  bool m_limited = false;
  /// When the first paused endpoint takes requests again, if the obstacle is
  /// Paused, or Excluded and an excluded endpoint is paused.
  std::optional<TimePoint> m_pausedUntil;
};

/// Penalty for another region: the round trip and the price of its traffic.
inline constexpr double OtherRegionPenaltyMs = 40;
/// Penalty for another failure domain of the same region.
inline constexpr double OtherDomainPenaltyMs = 4;
/// Time saved when the prompt's prefix is in the engine's cache.
inline constexpr double PrefixCacheBonusMs = 12;
/// Penalty for an engine all of whose streams stall: its responses are late
/// even if their first byte is early.
inline constexpr double StallPenaltyMs = 500;
/// Assumed time to the first response byte of an endpoint that has not
/// responded yet.
inline constexpr double DefaultLatencyMs = 60;
/// Random jitter on the score, per gateway and in total. It keeps gateways that
/// have the same load reports from all choosing the same endpoint until the
/// next report.
inline constexpr double JitterPerGatewayMs = 0.25;
inline constexpr double MaxJitterMs = 40;
/// Ranks from this one on are low: a part of each engine is reserved for the
/// ranks above.
inline constexpr unsigned FirstLowRank = 2;
/// Maximum share of an engine's batch for the low ranks: each additional
/// sequence slows down token generation for the running ones.
inline constexpr double MaxLowRankShare = 0.7;
/// Maximum share of an engine's KV memory that its known requests may fill.
inline constexpr double MaxKvFill = 0.95;
/// Maximum number of requests queued at an endpoint of a plain service, beyond
/// its slots.
inline constexpr unsigned MaxPlainQueueDepth = 6;

class Chooser {
public:
  /// Domain is this VM's failure domain; Regions maps failure domains to
  /// regions.
  Chooser(std::string Domain, std::map<std::string, std::string> Regions);
  Choice choose(const ChoiceQuery &Query, const EndpointTable &Table,
                const Service &Target, TimePoint Now) const;

private:
  double distancePenaltyMs(const std::string &From,
                           const std::string &To) const;
  double scoreMs(const ChoiceQuery &Query, const Endpoint &E,
                 const EndpointLoad &Load, unsigned Slots,
                 const PrefillWork &Prefill, Milliseconds GapTarget) const;

  std::string m_domain;
  std::map<std::string, std::string> m_regions;
};

} // namespace primroseworks::gateway

#endif
