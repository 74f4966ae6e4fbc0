// Executes placement moves while this VM is the placement leader. Sends orders
// to the engines, one at a time per engine, and enters their outcomes and the
// engines' reports in a ledger for each of them.
#ifndef PRIMROSEWORKS_LIBGATEWAY_PLACEMENTLEADER_H
#define PRIMROSEWORKS_LIBGATEWAY_PLACEMENTLEADER_H

#include "libgateway/core.h"
#include "libgateway/engineledger.h"
#include "libgateway/leadership.h"
#include "libgateway/peeraudience.h"
#include "libgateway/placement.h"
#include "libgateway/tasks.h"

#include <asio/awaitable.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace primroseworks::gateway {

/// Timeout of an order or of the request for an engine's report.
inline constexpr Milliseconds OrderTimeout{700};
/// Largest responses of engines to orders and to requests for reports.
inline constexpr std::size_t MaxOrderResponseBytes = 65'536;
inline constexpr std::size_t MaxReportBytes = 1'048'576;
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
/// Interval between the reports that are read while only a report can show the
/// effect of an order.
inline constexpr Milliseconds UnsettledPollInterval{500};
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
  /// Number of engines with a ledger.
  std::size_t ledgerCount() const { return m_ledgers.size(); }

private:
  /// A move in progress at one engine.
  struct PendingOrder {
    PlacementMove m_move;
    TimePoint m_since{};
  };
  PlacementInput input(const std::string &ServiceName, TimePoint Now);
  void start(const char *Name, TaskFactory Create,
             std::function<void()> OnFailure = nullptr);
  asio::awaitable<void> executeMove(PlacementMove Move);
  void onMoveFailed(const std::string &Engine);
  asio::awaitable<OrderResult> send(PlacementMove Move, EngineOrder Order);
  asio::awaitable<bool> refreshFromReport(std::string Id);
  asio::awaitable<bool> awaitModel(PlacementMove Move, TimePoint Since);
  void logInput(const PlacementInput &In, TimePoint Now);
  static void logReport(const std::string &Id, const EngineReport &R,
                        std::optional<std::uint64_t> KnownOrders);
  PlacementEngine engineState(const Endpoint &E, TimePoint Now) const;
  void discardLedgers();
  /// Discards what is known of engines that are gone.
  void forgetGoneEngines();
  unsigned pendingReplacementLoads() const;
  /// The ledger of an engine's present incarnation; null if there is no such
  /// engine or no ledger yet.
  EngineLedger *ledger(const std::string &Id);
  const EngineLedger *ledger(const std::string &Id) const;
  EngineLedger &obtainLedger(const Endpoint &E);
  /// Makes what requests may use of an engine known here and to the peers.
  void publish(const std::string &Id, TimePoint Now);
  void pollUnsettled(TimePoint Now);
  bool mayLoad(const Endpoint &E, const PlacementMove &Load) const;
  asio::awaitable<bool> executeOrder(PlacementMove Move);
  asio::awaitable<void> finishAdapterLoad(PlacementMove Move);
  asio::awaitable<bool> onOrderNotAccepted(PlacementMove Move,
                                           OrderResult Outcome);
  asio::awaitable<void> sleepFor(Duration Time);

  Core &m_core;
  LeaderClaim &m_claim;
  std::string m_holder;
  std::function<void(const std::string &)> m_onChanged;
  LoadLimiter m_loadLimiter;
  TimePoint m_lastInputLog{}; ///< Last log line on the planning input.
  std::map<std::string, PendingOrder> m_pendingOrders; ///< By endpoint id.
  std::map<std::string, EngineLedger> m_ledgers;       ///< By endpoint id.
  std::map<std::string, TimePoint> m_nextPoll;         ///< By endpoint id.
  std::map<std::string, TimePoint>
      m_backoff; ///< By endpoint id: no order before this time.
};

} // namespace primroseworks::gateway

#endif
