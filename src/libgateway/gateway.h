// One gateway process: its listeners, its copy of the store's state and its
// membership in the fleet.
#ifndef PRIMROSEWORKS_LIBGATEWAY_GATEWAY_H
#define PRIMROSEWORKS_LIBGATEWAY_GATEWAY_H

#include "libgateway/batchtimer.h"
#include "libgateway/callers.h"
#include "libgateway/core.h"
#include "libgateway/peers.h"
#include "libgateway/placementleader.h"
#include "libgateway/quotaclient.h"
#include "libgateway/scheduler.h"
#include "libgateway/schedulerclient.h"
#include "libgateway/store.h"
#include "libgateway/storerelay.h"
#include "libgateway/tasks.h"
#include "libgateway/watchpause.h"
#include "libstoreversion/storeera.h"
#include "primroseworks/names.h"

#include <asio/awaitable.hpp>
#include <asio/signal_set.hpp>
#include <memory>
#include <optional>
#include <string>

namespace primroseworks::gateway {

/// Keys of the gateways in the metadata store.
inline constexpr const char *GatewayPrefix = "primrose/";
inline constexpr const char *MemberPrefix = "primrose/member/";
inline constexpr const char *LeaderKey = "primrose/placement-leader";
/// Names of the quotas' agents, one a line, also of those that left not long
/// ago. The leader writes it, so that a process which starts knows of them.
inline constexpr const char *QuotaAgentsKey = "primrose/quota-agents";

/// Adapter requests that arrive within this time share one report.
inline constexpr Milliseconds AdapterRequestBatchDelay{3};
/// A gateway that just started claims leadership only after this time, when it
/// knows the other gateways.
inline constexpr Milliseconds StartClaimDelay{400};
/// Additional delay of a claim by a gateway that is no coordinator.
inline constexpr Milliseconds DependentClaimDelay{500};
/// Renewals of the lease within its duration. The leader renews more often,
/// because it can give no orders without its lease; if another member loses its
/// lease, its peers only miss it for a second.
inline constexpr int LeaderRenewalsPerLease = 4;
inline constexpr int MemberRenewalsPerLease = 2;
/// The leader stops giving orders this long before its lease expires at the
/// store.
inline constexpr Milliseconds LeaderLeaseMargin{300};
/// The store counts as unavailable if no call succeeded for this long: the
/// leases of endpoint records may have expired meanwhile.
inline constexpr Milliseconds StoreUnavailableTimeout{1200};
/// Interval of periodic work: expiry, dispatch of waiting requests, log flush.
inline constexpr Milliseconds MaintenanceInterval{50};
/// Connections are accepted for this long after SIGTERM. The platform checks
/// readiness once a second and acts on the second response.
inline constexpr Milliseconds DrainAcceptPeriod{2600};
/// A coordinator confirms its copy of the configuration when so much of the
/// limit is left.
inline constexpr Milliseconds CoordinatorConfirmLeadTime{2500};
/// Interval between claims on the leader key that failed.
inline constexpr Milliseconds ClaimRetryInterval{500};
/// Share of the shutdown time after which waiting requests are rejected, so
/// that their callers can still use another VM in time.
inline constexpr double RejectWaitingShare = 0.6;
/// The process exits this long before it would be killed.
inline constexpr Milliseconds ShutdownMargin{500};
/// Requests that are still in progress are ended this long before that.
inline constexpr Milliseconds RequestEndMargin{200};

/// How a change of the store reached this gateway.
enum class ChangeSource { List, Watch, Relay, Confirmation };
inline constexpr NameTable<ChangeSource, 4> ChangeSourceNames = {
    {{ChangeSource::List, "list"},
     {ChangeSource::Watch, "watch"},
     {ChangeSource::Relay, "relay"},
     {ChangeSource::Confirmation, "confirmation"}}};

class Gateway {
public:
  Gateway(asio::io_context &Io, Settings Options, const Dialect &Platform,
          MetadataStore &Store, ConnectionPool &StorePool,
          CrashSuspects Suspects, std::string SettingsPath);
  /// Opens the listeners and starts all coroutines, which run on the
  /// io_context.
  Result<void> start();
  /// Runs the event loop until the process stops. An exception of a handler is
  /// logged and counted, and ends nothing else.
  void run();
  QuotaClient &quotas() { return m_quotas; }

private:
  asio::awaitable<void> watchStore();
  asio::awaitable<Result<StoreVersion>> listStore();
  void onPeersKnown();
  asio::awaitable<void> askPeers();
  asio::awaitable<void> maintainLease();
  asio::awaitable<bool> claimOnce();
  asio::awaitable<void> claimLeadership();
  void exportMemory();
  asio::awaitable<void> runMaintenance();
  asio::awaitable<void> sendReports();
  asio::awaitable<void>
  acceptStatusConnections(std::shared_ptr<asio::ip::tcp::acceptor> Acceptor,
                          bool Metrics);
  asio::awaitable<void>
  serveStatusConnection(std::shared_ptr<asio::ip::tcp::socket> Socket,
                        bool Metrics);
  asio::awaitable<void> drain();
  asio::awaitable<void> awaitSignals();
  asio::awaitable<void> sleep(Duration Time);
  void startLoop(const char *Name, TaskFactory Create);

  Result<void> openStatusListener(const std::string &Address, bool Metrics);
  void applyConfiguration(const StoreItem &Item, ChangeSource Source);
  /// Applies a complete list of the endpoints. The copy of the store is as of
  /// ReadAt then.
  void applyEndpoints(const StoreRange &List, TimePoint ReadAt);
  void applyEndpoint(const StoreChange &Change);
  void applyGateways(const StoreVersion &Version);
  asio::awaitable<bool> awaitRelayEnd();
  asio::awaitable<bool> watchOnce(Duration &Backoff);
  Milliseconds nextWatchWait(TimePoint Now) const;
  void endUnansweredWatch(TimePoint Now);
  void applyChanges(const std::vector<StoreChange> &Changes,
                    const StoreVersion &Version, ChangeSource Source);
  void onMessage(const SchedulingMessage &Message);
  QuotaLinks quotaLinks();
  void applyQuotaAgents();
  void recordQuotaAgents(TimePoint Now);
  void onRelay(const StoreRelay &Relay);
  Duration ownReportInterval() const;
  void onStoreResult(bool Success, const char *Operation);
  /// Takes the era of an answer of the store; returns whether it counts.
  bool onStoreEra(std::uint64_t Era);
  void onNewEra(std::uint64_t Before);
  /// Whether the copy of the store is from its present era.
  bool copyIsOfEra() const {
    return m_storeFollower.version().m_era == m_storeEra.era();
  }
  /// Waits for this gateway's turn to read and write after a new era.
  asio::awaitable<void> awaitRestoreTurn();
  asio::awaitable<void> awaitClaimTime();
  std::vector<Member> knownMembers();
  /// Until when endpoints whose records are missing are kept: records that
  /// lapsed in an outage of the store return soon after it.
  TimePoint lapsedRecordsUntil(TimePoint Now) const;
  void onCopyConfirmed(TimePoint Now);
  void onAccountsApplied();
  void checkAccountsAge(BootDuration Now);
  void reportAccountsAge(BootDuration Now);
  /// The answer to a call that was sent at SentAt showed that the copy of the
  /// configuration is complete.
  void confirmCopy(BootDuration SentAt);
  Duration confirmLeadTime() const;
  asio::awaitable<void> confirmAccounts();
  asio::awaitable<bool> confirmAccountsOnce();
  void relayChanges(std::vector<StoreRelay> Relays, BootDuration SentAt,
                    bool Complete);
  void checkCopyAge(TimePoint Now);
  /// Time since the copy of the store was last confirmed; 0 before the first
  /// time.
  double confirmedMsAgo(TimePoint Now) const;
  /// Time within which a change in the store must be in effect here.
  Milliseconds changeLimit() const;
  /// Pause after a watch that returned changes.
  Duration pauseBetweenWatches() const;
  void place(TimePoint Now);
  void validateSettings();
  std::string statusBody(bool Metrics, const HttpHead &Head, unsigned &Status);
  std::string operatorPage(const HttpHead &Head, unsigned &Status);
  bool isReady() const;
  /// Fencing token of the leadership claim; 0 if no claim is valid now.
  std::uint64_t fencingToken() const;
  /// Whether this VM may give orders to engines now. A leader without contact
  /// to the store loses this right before its lease expires.
  bool isLeader() const { return fencingToken() != 0; }

  asio::io_context &m_io;
  Core m_core;
  MetadataStore &m_store;
  ConnectionPool &m_storePool;
  std::string m_settingsPath;
  CallerListener m_callerListener;
  Peers m_peers;
  Scheduler m_scheduler;
  SchedulerClient m_schedulerClient;
  QuotaClient m_quotas;
  TimePoint m_quotaAgentsWrittenAt{}; ///< Last attempt.
  StoreFollower m_storeFollower;
  asio::steady_timer m_relayTimer;        ///< Cancelled when relays have a gap.
  std::optional<TimePoint> m_watchSentAt; ///< Of the watch under way.
  /// When a relay showed the changes that are missing now.
  TimePoint m_gapNoticedAt{};
  StoreEra<BootTime> m_storeEra;
  /// Of members, whose gateways have not written them in this era yet.
  FormerKeys m_formerMembers;
  /// After a new era: when this gateway reads and writes again.
  TimePoint m_restoreTurn{};
  asio::steady_timer m_leaseTimer; ///< Cancelled by a new era.
  TimePoint m_fleetLoadsSentAt{};
  LeaderClaim m_leaderClaim;
  PlacementLeader m_placementLeader;
  asio::signal_set m_signals;
  BatchTimer m_placement;
  BatchTimer m_announcement;
  /// Versions of the last lists of endpoints and of gateways: changes up to
  /// them are included.
  StoreVersion m_endpointsListedAt;
  StoreVersion m_gatewaysListedAt;
  std::map<std::string, StoreItem> m_gatewayItems; ///< By key.
  std::string m_leaderName; ///< Value of LeaderKey; empty if none.
  bool m_claimInProgress = false;
  bool m_memberWritten = false; ///< Written under the current lease.
  bool m_storeUnavailable = false;
  TimePoint m_lastStoreSuccess{}; ///< Last successful call.
  /// "store_copy_stale" was logged, and no confirmation followed yet.
  bool m_copyStale = false;
  std::size_t m_configurationBytes = 0; ///< Of the document in the store.
  /// The newest configuration in the store cannot be decoded: it may have
  /// removed keys, so nothing confirms the one in force.
  bool m_configurationUnreadable = false;
  bool m_confirming = false;    ///< confirmAccounts() runs.
  bool m_accountsStale = false; ///< As last logged.
  /// Until when records that lapsed in the last outage may return.
  TimePoint m_lapsedRecordsUntil{};
  std::size_t m_unusableEntries = 0;
};

} // namespace primroseworks::gateway

#endif
