// Value types shared by the gateway's modules: the operators' configuration,
// the state that endpoints publish, and the metadata of a request.
#ifndef PRIMROSEWORKS_LIBGATEWAY_TYPES_H
#define PRIMROSEWORKS_LIBGATEWAY_TYPES_H

#include "libaccounts/account.h"
#include "primroseworks/names.h"
#include "primroseworks/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace primroseworks::gateway {

/// Whether the requests of a route may be executed again.
enum class RouteKind {
  Repeatable,   ///< May execute more than once.
  Unrepeatable, ///< Executes at most once per attempt of the caller.
  Stream ///< Answered with events; executes at most once unless resumable.
};
inline constexpr NameTable<RouteKind, 3> RouteKindNames = {
    {{RouteKind::Repeatable, "repeatable"},
     {RouteKind::Unrepeatable, "unrepeatable"},
     {RouteKind::Stream, "stream"}}};

/// A service that receives a share of a route's requests.
struct WeightedService {
  std::string m_service;
  double m_weight = 0; ///< Relative to the other services of the route.
};

struct Route {
  std::string m_name;
  std::string m_host;
  std::string m_pathPrefix; ///< Starts and ends with a slash.
  RouteKind m_kind = RouteKind::Unrepeatable;
  std::vector<WeightedService> m_services; ///< At least one.
  /// Maximum time that a caller is kept waiting.
  Milliseconds m_timeout{10000};
  Milliseconds m_latencyTarget{1000}; ///< Latency objective of the response.
  /// Maximum number of endpoints that one request is sent to.
  unsigned m_maxAttempts = 1;
  unsigned m_rank = 0;      ///< 0 is the most urgent.
  bool m_resumable = false; ///< A stream may continue at another endpoint.
  bool m_public = false;    ///< Requests need no API key.
  /// Maximum pause between events of a stream that is on time.
  Milliseconds m_gapTarget{0};

  /// Time after which a caller gives up: for streams the time without any
  /// event, otherwise the route's timeout.
  Milliseconds callerTimeout() const;
  /// Whether a request may be sent again although it may have been executed.
  bool mayRunAgain() const {
    return m_kind == RouteKind::Repeatable ||
           (m_kind == RouteKind::Stream && m_resumable);
  }
};

/// A model that the engines of a service can load.
struct EngineModel {
  double m_weightMb = 0;
  double m_adapterMb = 0;
  Duration m_loadTime{}; ///< Time to load it from the weight store.
};

/// Properties common to all engines of a service.
struct EngineSpec {
  unsigned m_slots = 0; ///< Maximum number of requests in the batch.
  std::uint64_t m_kvTokens = 0;
  double m_memoryMb = 0; ///< For weights and adapters together.
  unsigned m_adapterSlots = 0;
  /// Load rate of the weight store, for all engines together.
  double m_loadsPerSecond = 0;
  std::map<std::string, EngineModel> m_models;
};

struct Service {
  std::string m_name;
  unsigned m_maxConnections = 100;    ///< Per endpoint, for all VMs together.
  std::optional<EngineSpec> m_engine; ///< Empty for plain services.
  /// Shortest of the longest pauses that routes to it allow between the events
  /// of a stream; zero if no route states one.
  Milliseconds m_gapTarget{0};
};

/// Limits on the size of callers' requests and on the time to send them.
struct CallerLimits {
  std::size_t m_headerBytes = 16384;
  std::size_t m_bodyBytes = 4194304;
  Milliseconds m_headerTimeout{3000};
  Milliseconds m_idleTimeout{15000};
};

/// One version of the operators' configuration.
struct Configuration {
  std::uint64_t m_version = 0;
  std::vector<Route> m_routes;
  std::map<std::string, Service> m_services;
  CallerLimits m_limits;
  AccountTablePtr m_accounts; ///< Null if the configuration has no accounts.

  /// Returns the route of Host whose path prefix is the longest match for Path,
  /// or null if none matches.
  const Route *find(std::string_view Host, std::string_view Path) const;
};
using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// A model loaded in an engine, with its loaded adapters.
struct HeldModel {
  std::string m_name;
  std::uint64_t m_version = 0;
  std::set<std::string> m_adapters;
};

using ArtifactName = std::pair<std::string, std::string>; ///< {model, adapter}

/// An endpoint's record of itself in the metadata store.
struct EndpointRecord {
  std::string m_id;
  /// Changes when an endpoint restarts under the same id.
  std::uint64_t m_incarnation = 0;
  std::string m_service;
  std::string m_address; ///< "IP:PORT".
  std::string m_failureDomain;
  unsigned m_slots = 0;
  bool m_draining = false;
  /// Time until it shuts down, if it states one.
  std::optional<Milliseconds> m_remaining;
  std::vector<HeldModel> m_models;
  /// Models whose weights are cached in the host's memory or on its disk.
  std::vector<std::string> m_cachedModels;
};

/// An engine's report of its current state.
struct EngineReport {
  bool m_busy = false;        ///< An order is in progress.
  std::uint64_t m_orders = 0; ///< Orders accepted since the engine started.
  std::vector<HeldModel> m_models;
  /// Adapters being loaded, as (model, adapter); they already occupy adapter
  /// slots.
  std::vector<ArtifactName> m_loadingAdapters;
};

/// A segment of a prompt that other requests may share.
struct PromptPart {
  std::uint64_t m_id = 0;
  unsigned m_tokens = 0;
};

/// The metadata of a request on which routing decisions are based.
struct RequestMetadata {
  std::string m_id;
  /// Time that the caller waits, if stated.
  std::optional<Milliseconds> m_deadline;
  std::string m_model;   ///< Empty for plain services.
  std::string m_adapter; ///< Empty for the base model.
  unsigned m_promptTokens = 0;
  unsigned m_maxOutputTokens = 0;
  std::vector<PromptPart> m_prompt;
  std::optional<std::uint64_t> m_lastEventId;

  std::uint64_t kvTokens() const {
    return std::uint64_t{m_promptTokens} + m_maxOutputTokens;
  }
};

/// Operation of an order to an engine.
enum class OrderKind { Load, Unload };
inline constexpr NameTable<OrderKind, 2> OrderKindNames = {
    {{OrderKind::Load, "load"}, {OrderKind::Unload, "unload"}}};

struct EngineOrder {
  OrderKind m_kind = OrderKind::Load;
  std::string m_model;
  std::string m_adapter;        ///< Empty for the model itself.
  std::uint64_t m_expected = 0; ///< Number of orders accepted before this one.
  std::string m_holder;
  std::uint64_t m_fencingToken = 0;
};

/// An engine's response to an order.
enum class OrderResult {
  Accepted,
  AlreadyHolds,
  Conflict, ///< Another order is in progress, or m_expected differs.
  Fenced,   ///< The engine has seen a higher fencing token.
  Rejected, ///< The engine does not know such an order.
  WrongEndpoint,
  NotExecuted, ///< Rejected without a reason; the order had no effect.
  Unknown      ///< No response; the order may still be executed later.
};
inline constexpr NameTable<OrderResult, 8> OrderResultNames = {
    {{OrderResult::Accepted, "accepted"},
     {OrderResult::AlreadyHolds, "already_holds"},
     {OrderResult::Conflict, "conflict"},
     {OrderResult::Fenced, "fenced"},
     {OrderResult::Rejected, "rejected"},
     {OrderResult::WrongEndpoint, "wrong_endpoint"},
     {OrderResult::NotExecuted, "not_executed"},
     {OrderResult::Unknown, "unknown"}}};

} // namespace primroseworks::gateway

#endif
