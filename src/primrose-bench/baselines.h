// Simple policies to compare with, behind the same interfaces as the policy:
// first-come dispatch, static placement, load on demand.
#ifndef PRIMROSEWORKS_BENCH_BASELINES_H
#define PRIMROSEWORKS_BENCH_BASELINES_H

#include "primroseworks/dispatcher.h"
#include "primroseworks/names.h"
#include "primroseworks/placement.h"

namespace primroseworks::bench {

/// How a request's endpoint is chosen among those that hold its model.
enum class Routing { Policy, Random, RoundRobin, LeastOutstanding };
inline constexpr NameTable<Routing, 4> RoutingNames = {
    {{Routing::Policy, "policy"},
     {Routing::Random, "random"},
     {Routing::RoundRobin, "round-robin"},
     {Routing::LeastOutstanding, "least-outstanding"}}};

enum class Placing { Policy, Static, LeastRecentlyUsed };
inline constexpr NameTable<Placing, 3> PlacingNames = {
    {{Placing::Policy, "policy"},
     {Placing::Static, "static"},
     {Placing::LeastRecentlyUsed, "lru"}}};

/// Sends every request at once, in the order of arrival, to an endpoint that
/// holds its model. It never refuses work that an endpoint could take.
std::unique_ptr<Dispatcher> createBaselineDispatcher(Routing Kind,
                                                     std::uint64_t Seed);

/// Never moves anything.
std::unique_ptr<PlacementPlanner> createStaticPlanner();

/// Loads a model when it is asked for and no copy is resident, or when all its
/// copies are busy; makes room by unloading what was used least recently.
std::unique_ptr<PlacementPlanner> createLruPlanner();

} // namespace primroseworks::bench

#endif
