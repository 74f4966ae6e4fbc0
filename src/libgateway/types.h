// Values that the parts of the gateway exchange: the operators' configuration,
// what endpoints say of themselves, and what a request asks for.
#ifndef PRIMROSEWORKS_LIBGATEWAY_TYPES_H
#define PRIMROSEWORKS_LIBGATEWAY_TYPES_H

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

/// What may be done again with the requests of a route.
enum class RouteKind {
  Repeatable,   ///< May run more than once.
  Unrepeatable, ///< Runs at most once for each attempt of the caller.
  Stream        ///< Answered by events; runs at most once unless resumable.
};
inline constexpr NameTable<RouteKind, 3> RouteKindNames = {
    {{RouteKind::Repeatable, "repeatable"},
     {RouteKind::Unrepeatable, "unrepeatable"},
     {RouteKind::Stream, "stream"}}};

/// A service that takes a part of a route's requests.
struct WeightedService {
  std::string m_service;
  double m_weight = 0; ///< Relative to the other services of the route.
};

struct Route {
  std::string m_name;
  std::string m_host;
  std::string m_pathPrefix; ///< Begins and ends with a slash.
  RouteKind m_kind = RouteKind::Unrepeatable;
  std::vector<WeightedService> m_services; ///< At least one.
  Milliseconds m_timeout{10000}; ///< Longest time to keep a caller waiting.
  Milliseconds m_latencyTarget{1000}; ///< Latency objective of the answer.
  unsigned m_maxAttempts = 1;  ///< Endpoints that one request may be sent to.
  unsigned m_rank = 0;         ///< 0 is the most urgent.
  bool m_resumable = false;    ///< A stream may go on at another endpoint.
  Milliseconds m_gapTarget{0}; ///< Longest pause of a stream on time.

  /// Callers of streams leave when nothing came for this long.
  Milliseconds callerTimeout() const;
  /// Whether a request that may have run may be sent once more.
  bool mayRunAgain() const {
    return m_kind == RouteKind::Repeatable ||
           (m_kind == RouteKind::Stream && m_resumable);
  }
};

/// A model that the engines of a service can hold.
struct EngineModel {
  double m_weightMb = 0;
  double m_adapterMb = 0;
  Duration m_loadTime{}; ///< From the weight store.
};

/// What all engines of a service have in common.
struct EngineSpec {
  unsigned m_slots = 0; ///< Requests in the batch.
  std::uint64_t m_kvTokens = 0;
  double m_memoryMb = 0; ///< For weights and adapters together.
  unsigned m_adapterSlots = 0;
  double m_loadsPerSecond = 0; ///< Of the weight store, over all engines.
  std::map<std::string, EngineModel> m_models;
};

struct Service {
  std::string m_name;
  unsigned m_maxConnections = 100;    ///< Per endpoint, from all VMs together.
  std::optional<EngineSpec> m_engine; ///< Empty for plain services.
};

/// What callers may send, and how long they may take.
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

  /// The route of Host with the longest prefix of Path; null if none matches.
  const Route *find(std::string_view Host, std::string_view Path) const;
};
using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// A model that an engine holds, with its adapters.
struct HeldModel {
  std::string m_name;
  std::uint64_t m_version = 0;
  std::set<std::string> m_adapters;
};

/// What an endpoint registered about itself.
struct EndpointRecord {
  std::string m_id;
  std::uint64_t m_incarnation = 0; ///< Differs after a restart under one id.
  std::string m_service;
  std::string m_address; ///< "IP:PORT".
  std::string m_failureDomain;
  unsigned m_slots = 0;
  bool m_draining = false;
  std::optional<Milliseconds> m_remaining; ///< Until it is gone, if it says so.
  std::vector<HeldModel> m_models;
  /// Models whose weights the engine has in its host's memory or on its disk.
  std::vector<std::string> m_cachedModels;
};

/// An engine's report of its present state.
struct EngineReport {
  bool m_busy = false;        ///< An order is in progress.
  std::uint64_t m_orders = 0; ///< Orders accepted since its start.
  std::vector<HeldModel> m_models;
  /// Adapters in transit, each with its model: they use places already.
  std::vector<std::pair<std::string, std::string>> m_loadingAdapters;
};

/// A part of a prompt that requests may share.
struct PromptPart {
  std::uint64_t m_id = 0;
  unsigned m_tokens = 0;
};

/// What a request says that the gateway decides on.
struct RequestMetadata {
  std::string m_id;
  std::optional<Milliseconds> m_deadline; ///< How long the caller waits.
  std::string m_model;                    ///< Empty for plain services.
  std::string m_adapter;                  ///< Empty: the base model.
  unsigned m_promptTokens = 0;
  unsigned m_maxOutputTokens = 0;
  std::vector<PromptPart> m_prompt;
  std::optional<std::uint64_t> m_lastEventId;

  std::uint64_t kvTokens() const {
    return std::uint64_t{m_promptTokens} + m_maxOutputTokens;
  }
};

/// An order to an engine.
enum class OrderKind { Load, Unload };
inline constexpr NameTable<OrderKind, 2> OrderKindNames = {
    {{OrderKind::Load, "load"}, {OrderKind::Unload, "unload"}}};

struct EngineOrder {
  OrderKind m_kind = OrderKind::Load;
  std::string m_model;
  std::string m_adapter;        ///< Empty: the model itself.
  std::uint64_t m_expected = 0; ///< Orders accepted before this one.
  std::string m_holder;
  std::uint64_t m_fencingToken = 0;
};

/// How an engine answered an order.
enum class OrderResult {
  Accepted,
  AlreadyHolds,
  Conflict, ///< Another order is in progress, or the count differs.
  Fenced,   ///< Another holder has a higher token.
  Rejected, ///< The order does not exist.
  WrongEndpoint,
  NotExecuted, ///< Refused without a reason; nothing happened.
  Unknown      ///< No answer; it may be carried out later.
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
