// One gateway process: its ports, its view of the store and its part in the
// fleet.
#ifndef PRIMROSEWORKS_LIBGATEWAY_GATEWAY_H
#define PRIMROSEWORKS_LIBGATEWAY_GATEWAY_H

#include "libgateway/callers.h"
#include "libgateway/core.h"
#include "libgateway/peers.h"
#include "libgateway/placementleader.h"
#include "libgateway/store.h"
#include "libgateway/watchpause.h"

#include <asio/awaitable.hpp>
#include <asio/signal_set.hpp>
#include <memory>
#include <string>

namespace primroseworks::gateway {

/// Keys of the gateways in the store.
inline constexpr const char *GatewayPrefix = "primrose/";
inline constexpr const char *MemberPrefix = "primrose/member/";
inline constexpr const char *LeaderKey = "primrose/placement-leader";

/// Longest wait of one watch. A watch whose connection has fallen silent is
/// noticed when it is over.
inline constexpr Milliseconds WatchWait{4000};
/// Requests for adapters that come within this time share one report.
inline constexpr Milliseconds WantsPause{3};
/// Whole lists are read again after this time, whatever the watch told.
inline constexpr Seconds RelistInterval{120};
/// Pause after a failed call to the store: from the first to the longest.
inline constexpr Milliseconds StoreBackoffMin{100};
inline constexpr Milliseconds StoreBackoffMax{500};
/// The lease is renewed this many times within its length: by the leader, whose
/// orders end with it, and by the others, whose peers would miss them for a
/// second.
inline constexpr int LeaderRenewals = 4;
inline constexpr int MemberRenewals = 2;
/// The leader stops ordering this long before its lease ends at the store.
inline constexpr Milliseconds LeaseMargin{300};
/// Without contact for this long, entries of endpoints may have lapsed.
inline constexpr Milliseconds StoreAwayAfter{1200};
/// Housekeeping: expiry, waiting requests, the log.
inline constexpr Milliseconds TickInterval{50};
/// From SIGTERM until no caller connects any more: the platform asks for
/// readiness once a second and believes the second answer.
inline constexpr Milliseconds DrainAccept{2600};
/// Part of the time to stop after which requests that still wait are rejected,
/// so that their callers find another VM in time.
inline constexpr double TurnAwayShare = 0.6;
/// The process ends this long before it would be killed.
inline constexpr Milliseconds StopMargin{500};

class Gateway {
public:
  Gateway(asio::io_context &Io, Settings Options, const Dialect &Platform,
          MetadataStore &Store, ConnectionPool &StorePool,
          CrashSuspects Suspects, std::string SettingsPath);
  /// Opens the ports and starts all tasks; the process's loop runs them.
  Result<void> start();

private:
  asio::awaitable<void> followStore();
  asio::awaitable<Result<std::uint64_t>> listStore();
  asio::awaitable<void> holdLease();
  asio::awaitable<void> claimLeadership();
  asio::awaitable<void> tick();
  asio::awaitable<void> report();
  asio::awaitable<void> serveStatus(std::shared_ptr<asio::ip::tcp::acceptor> A,
                                    bool Metrics);
  asio::awaitable<void>
  answerStatus(std::shared_ptr<asio::ip::tcp::socket> Socket, bool Metrics);
  asio::awaitable<void> drain();
  asio::awaitable<void> awaitSignals();
  asio::awaitable<void> sleep(Duration Time);

  Result<void> openStatus(const std::string &Address, bool Metrics);
  void applyConfiguration(const StoreItem &Item);
  void applyEndpoints(const StoreRange &List);
  void applyEndpoint(const StoreChange &Change, bool Away);
  void applyGateways(std::uint64_t Revision);
  void applyChanges(const StoreChanges &Changes);
  void onStoreAnswer(bool Good, const char *What);
  bool storeWasAway(TimePoint Now) const;
  void wakePlacement();
  void announceHoldings();
  void reloadSettings();
  std::string statusText(bool Metrics, const HttpHead &Head, unsigned &Status);
  bool ready() const;
  /// Fencing token of a claim that is valid now, otherwise 0.
  std::uint64_t token() const;
  /// Whether this VM may order engines now. A leader cut off from the store
  /// stops to count as one before its lease ends.
  bool leads() const { return token() != 0; }

  asio::io_context &m_io;
  Core m_core;
  MetadataStore &m_store;
  ConnectionPool &m_storePool;
  std::string m_settingsPath;
  CallerListener m_callers;
  Peers m_peers;
  LeaderClaim m_claim;
  PlacementLeader m_leader;
  asio::signal_set m_signals;
  asio::steady_timer m_wakePlacement;
  asio::steady_timer m_announce;
  std::map<std::string, StoreItem> m_gatewayKeys; ///< By key.
  std::string m_leaderName; ///< Holder of the leader's key; empty if none.
  bool m_claiming = false;
  bool m_memberWritten = false; ///< Under the present lease.
  bool m_storeLost = false;
  TimePoint m_storeAnswered{};  ///< Last good answer.
  TimePoint m_storeAwayUntil{}; ///< Entries may have lapsed until then.
  std::size_t m_unusableEntries = 0;
};

} // namespace primroseworks::gateway

#endif
