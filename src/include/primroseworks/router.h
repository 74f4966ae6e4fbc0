// Chooses the endpoint of a request among those that hold its model: beliefs
// about load and cache, latency prediction, ejection of failing endpoints.
#ifndef PRIMROSEWORKS_ROUTER_H
#define PRIMROSEWORKS_ROUTER_H

#include "primroseworks/belief.h"
#include "primroseworks/dispatcher.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace primroseworks {

struct RouterOptions {
  std::string m_region;
  Milliseconds m_failureDomainDelay{1};
  Milliseconds m_regionDelay{12};
  std::uint64_t m_seed = 1;
  RoutingParts m_parts;
};

/// Why no endpoint was chosen.
enum class RouteObstacle {
  None,
  NotResident, ///< No usable endpoint holds the model.
  Busy,        ///< Every endpoint examined is at its limit for the rank.
  Request ///< Endpoints have room, but not for this request: excluded, crash
          ///< suspects, or its first token would be late there.
};

/// A request as the router sees it. The pointers are borrowed for the call.
struct RouteQuery {
  ModelId m_model = 0;
  AdapterId m_adapter = 0;
  Rank m_rank = Rank::Standard;
  const std::vector<std::uint64_t> *m_prefixHashes = nullptr;
  unsigned m_promptTokens = 0;
  unsigned m_maxTokens = 0;
  bool m_entitled = false; ///< Its rank is below its guaranteed share.
  bool m_mayProbe = true;  ///< May be sent to an ejected endpoint as its probe.
  const std::vector<std::string> *m_exclude = nullptr;
  TimePoint m_deadline = TimePoint::max();
  /// Further condition on the endpoint's name, if set.
  std::function<bool(const std::string &)> m_allowed;
};

struct RouteChoice {
  RouteObstacle m_obstacle = RouteObstacle::None;
  EndpointId m_endpoint = 0;
  double m_firstTokenMillis = 0; ///< Predicted.
  unsigned m_cachedTokens = 0;   ///< Predicted.
  bool m_probe = false;
  std::string m_reason;
  std::vector<Candidate> m_candidates; ///< Best first.
};

/// A request in progress, as the router counts it.
struct RouteAttempt {
  EndpointId m_endpoint = 0;
  ModelId m_model = 0;
  AdapterId m_adapter = 0;
  unsigned m_promptTokens = 0;
  unsigned m_cachedTokens = 0;
  double m_predictedMillis = 0;
  TimePoint m_started{};
  bool m_firstToken = false;
  std::vector<std::uint64_t> m_prefixHashes;
};

class Router {
public:
  /// Fails with InvalidArgument if a delay is negative.
  static Result<std::unique_ptr<Router>> create(RouterOptions Options);

  void setCatalog(const Catalog &Next);
  EndpointId setEndpoint(const EndpointInfo &Info, TimePoint Now);
  void removeEndpoint(const std::string &Name);
  /// Unknown endpoints are ignored, here and below.
  std::optional<EndpointId> onReport(const std::string &Name,
                                     const LoadReport &Report, TimePoint Now);
  void onCacheEvents(const std::string &Name,
                     const std::vector<CacheEvent> &Events, TimePoint Now);
  std::optional<EndpointId> onPeerLoad(const std::string &Name,
                                       unsigned InFlight, TimePoint Now);

  ModelId model(const std::string &Name, const std::string &Version);
  AdapterId adapter(const std::string &Name);

  RouteChoice choose(const RouteQuery &Query, TimePoint Now);
  /// Counts the request at the chosen endpoint.
  RouteAttempt start(const RouteQuery &Query, const RouteChoice &Choice,
                     TimePoint Now);
  void onFirstToken(RouteAttempt &Attempt, TimePoint Now);
  void onEnded(const RouteAttempt &Attempt, AttemptOutcome Outcome,
               const StreamEnd *End, TimePoint Now);

  const std::string &name(EndpointId Id) const { return m_names.name(Id); }
  /// Models resident at an endpoint, as last reported.
  const std::vector<ModelId> &modelsAt(EndpointId Id) const {
    return m_endpoints[Id].m_models;
  }
  /// Live endpoints that hold the model.
  std::size_t replicas(ModelId Model) const;
  bool isReplica(EndpointId Id, ModelId Model) const;
  const LoadBelief &load(EndpointId Id) const { return m_endpoints[Id].m_load; }
  /// Mean time that a completed request was at the endpoint, in ms.
  double holdMillis(EndpointId Id) const {
    return m_endpoints[Id].m_holdMillis;
  }
  double weight(EndpointId Id) const { return m_endpoints[Id].m_weight; }
  /// An endpoint of the model, by position from 0 to replicas() - 1.
  EndpointId replicaAt(ModelId Model, std::size_t Position) const {
    return m_models[Model].m_replicas[Position];
  }
  /// Whether the endpoint gets only probes for the model.
  bool ejected(EndpointId Id, ModelId Model);
  /// Sequences of a rank and the ranks above it that may be at the endpoint.
  double capacity(EndpointId Id, Rank R) const;
  /// Cost of a prompt token in generated tokens, measured from the reports: one
  /// prefill step computes many prompt tokens at once.
  double promptWeight() const { return m_promptWeight; }
  /// Candidates scored since the start: the cost of the decisions.
  std::uint64_t evaluations() const { return m_evaluations; }

private:
  explicit Router(RouterOptions Options);
  struct EndpointRecord {
    EndpointInfo m_info;
    bool m_known = false; ///< Between setEndpoint and removeEndpoint.
    LoadBelief m_load;
    std::vector<ModelId> m_models;
    std::vector<AdapterId> m_adapters; ///< Resident, or on their way.
    double m_weight = 1;               ///< In (0, 1]; halved by a failure.
    TimePoint m_lastFailure{};
    TimePoint m_nextProbe{};
    double m_latencyRatio = 1; ///< Observed over predicted first token.
    double m_holdMillis = 0;   ///< Mean time that a request stays there.
    std::uint64_t m_eventSequence = 0;
    std::vector<std::pair<ModelId, TimePoint>>
        m_refusals; ///< Models it refused to run, and until when that counts.
    double m_price = 0; ///< Of a megabyte between this daemon and there.
  };
  struct ModelRecord {
    std::vector<EndpointId> m_replicas; ///< Live endpoints that hold it.
    bool m_changed = false; ///< m_usable and m_ejected are out of date.
    std::vector<std::uint32_t> m_usable;  ///< Indices of m_replicas.
    std::vector<std::uint32_t> m_ejected; ///< Likewise; disjoint from usable.
    std::vector<EndpointId> m_freed;      ///< Lately freed a slot; newest last.
  };
  struct Scored {
    EndpointId m_endpoint = 0;
    double m_score = 0;
    double m_fixed = 0; ///< Part of the score that does not depend on load.
    double m_firstToken = 0;
    double m_gap = 0;
    double m_uncertainty = 0; ///< Of the score, from unseen changes of load.
    unsigned m_cached = 0;
    double m_price = 0;
    const char *m_note = "";
  };
  struct Prefixes {
    std::vector<std::pair<EndpointId, double>> m_cached; ///< Expected tokens.
  };
  struct Search;

  EndpointRecord *find(const std::string &Name);
  static bool refuses(EndpointRecord &E, ModelId Model, TimePoint Now);
  void index(EndpointId Id, const LoadReport &Report);
  void unindex(EndpointId Id);
  void markChanged(const EndpointRecord &E);
  void refresh(ModelRecord &M);
  void fail(EndpointId Id, bool Died, TimePoint Now);
  void priceOf(EndpointRecord &E);
  Prefixes expectedPrefixes(const RouteQuery &Query, TimePoint Now) const;
  void collect(const RouteQuery &Query, ModelRecord &M, Search &S,
               TimePoint Now);
  void examine(const RouteQuery &Query, EndpointId Id, Search &S,
               TimePoint Now);
  Scored score(const RouteQuery &Query, EndpointId Id, double Cached,
               TimePoint Now) const;
  std::optional<EndpointId> dueProbe(const RouteQuery &Query, ModelRecord &M,
                                     TimePoint Now);
  RouteChoice decide(Search &S);
  std::size_t drawTwo(const std::vector<Scored> &Fit);
  double unitRandom();

  RouterOptions m_options;
  std::mt19937_64 m_random;
  Interner m_names;
  Interner m_modelNames;
  Interner m_adapterNames;
  std::vector<EndpointRecord> m_endpoints; ///< By EndpointId.
  std::vector<ModelRecord> m_models;       ///< By ModelId.
  PrefixBelief m_prefixes;
  ReportAge m_reportAge;
  GapModel m_typicalGap; ///< Of all endpoints, for those without a gap yet.
  std::map<std::string, double> m_linkPrice;
  double m_gapTarget = 40;
  double m_promptWeight = 0.1; ///< Typical until reports tell.
  std::uint64_t m_evaluations = 0;
};

/// Endpoints drawn at random and examined for one decision, so that one with
/// room is found when one in four has room in 9 of 10 draws.
inline constexpr std::size_t RouteSample = 8;
/// An endpoint below this weight (three failures) gets only probes.
inline constexpr double EjectBelow = 0.2;
/// Pause between probes of an ejected endpoint.
inline constexpr Milliseconds ProbeInterval{1000};

} // namespace primroseworks

#endif
