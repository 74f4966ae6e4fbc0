// Executes placement moves while this VM is the placement leader. Sends orders
// to the engines, one at a time per engine, and keeps track of what each engine
// holds afterwards.
#ifndef PRIMROSEWORKS_LIBGATEWAY_PLACEMENTLEADER_H
#define PRIMROSEWORKS_LIBGATEWAY_PLACEMENTLEADER_H

#include "libgateway/core.h"
#include "libgateway/leadership.h"
#include "libgateway/peeraudience.h"
#include "libgateway/placement.h"

#include <asio/awaitable.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace primroseworks::gateway {

/// Timeout of an order or of the request for an engine's report.
inline constexpr Milliseconds OrderTimeout{700};
/// Time from the acceptance of an adapter load until requests may use the
/// adapter.
inline constexpr Milliseconds AdapterLoadTime{30};
/// Interval between polls of an engine that loads or unloads a model: a share
/// of the time elapsed, and its minimum.
inline constexpr double PollIntervalShare = 0.2;
inline constexpr Milliseconds MinPollInterval{300};
/// The leader stops waiting for the end of a model's load or unload after this
/// time.
inline constexpr Seconds ModelOrderTimeout{25};
/// Loads that may start at once.
inline constexpr double LoadBurst = 3;
/// Time without new orders to an engine after an order to it failed.
inline constexpr Milliseconds OrderBackoff{400};

/// Time for which an adapter whose unload waits for its requests counts as
/// occupying its slot: a report may omit it before the slot is free.
inline constexpr Seconds MaxUnloadWait{20};
/// Interval between log lines on the planning input.
inline constexpr Milliseconds InputLogInterval{1000};

class PlacementLeader {
public:
  /// OnChanged is called with the id of an engine whose holdings changed.
  PlacementLeader(Core &Shared, LeaderClaim &Claim, std::string Holder,
                  std::function<void(const std::string &)> OnChanged)
      : m_core(Shared), m_claim(Claim), m_holder(std::move(Holder)),
        m_onChanged(std::move(OnChanged)), m_loadLimiter(1, LoadBurst) {}

  /// Plans moves and starts their execution. Does nothing unless this VM leads.
  void step(TimePoint Now);
  /// Discards state that is only valid under the lost claim.
  void onClaimLost();

private:
  /// A move in progress at one engine.
  struct PendingOrder {
    PlacementMove m_move;
    TimePoint m_since{};
  };
  PlacementInput input(const std::string &ServiceName, TimePoint Now);
  asio::awaitable<void> executeMove(PlacementMove Move);
  asio::awaitable<OrderResult> send(PlacementMove Move, std::uint64_t Expected);
  asio::awaitable<bool> refreshFromReport(std::string Id);
  asio::awaitable<bool> awaitModel(PlacementMove Move, TimePoint Since);
  void logInput(const PlacementInput &In, TimePoint Now);
  PlacementEngine engineState(const Endpoint &E, TimePoint Now) const;
  void requireFreshReports();
  unsigned pendingReplacementLoads() const;
  bool fits(const Endpoint &E, TimePoint Now) const;
  asio::awaitable<bool> orderModel(PlacementMove Move);
  asio::awaitable<bool> orderAdapter(PlacementMove Move);
  void reserveUntilUnloaded(const PlacementMove &Move);
  asio::awaitable<void> finishAdapterLoad(PlacementMove Move);
  asio::awaitable<void> onOrderNotAccepted(PlacementMove Move,
                                           OrderResult Outcome);
  void applyToHoldings(const PlacementMove &Move, std::uint64_t Orders,
                       TimePoint Now);
  asio::awaitable<void> sleepFor(Duration Time);

  Core &m_core;
  LeaderClaim &m_claim;
  std::string m_holder;
  std::function<void(const std::string &)> m_onChanged;
  LoadLimiter m_loadLimiter;
  TimePoint m_lastInputLog{}; ///< Last log line on the planning input.
  std::map<std::string, PendingOrder> m_pendingOrders; ///< By endpoint id.
  /// Adapters being loaded, by endpoint id.
  std::map<std::string, std::set<ArtifactName>> m_loadingAdapters;
  /// Adapters whose unload waits for their requests, by endpoint id, with the
  /// time until which each of them occupies its slot.
  std::map<std::string, std::map<ArtifactName, TimePoint>> m_unloadingAdapters;
  std::map<std::string, TimePoint>
      m_backoff; ///< By endpoint id: no order before this time.
  /// Load orders without a response, by endpoint id: they may use memory.
  std::map<std::string, std::vector<PlacementMove>> m_unansweredOrders;
};

} // namespace primroseworks::gateway

#endif
