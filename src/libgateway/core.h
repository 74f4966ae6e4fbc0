// State shared by the components of one gateway process. It is accessed only
// by the process's single thread.
#ifndef PRIMROSEWORKS_LIBGATEWAY_CORE_H
#define PRIMROSEWORKS_LIBGATEWAY_CORE_H

#include "libaccounts/copyfreshness.h"
#include "libgateway/brokenattempts.h"
#include "libgateway/chooser.h"
#include "libgateway/connections.h"
#include "libgateway/demand.h"
#include "libgateway/dialect.h"
#include "libgateway/endpointprobe.h"
#include "libgateway/endpoints.h"
#include "libgateway/leadership.h"
#include "libgateway/metrics.h"
#include "libgateway/retrywindow.h"
#include "libgateway/settings.h"
#include "libgateway/waitqueue.h"
#include "libwarmstart/warmstart.h"
#include "primroseworks/suspects.h"

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace primroseworks::gateway {

/// Reads the clock. Only coroutines and handlers do; functions that decide take
/// the time as an argument.
inline TimePoint clockNow() { return std::chrono::steady_clock::now(); }
/// The same for the clock that runs on while the VM is frozen.
inline BootDuration bootNow() { return BootClock::now().time_since_epoch(); }

/// Receives the outcome for a request in the wait queue.
class Waiter {
public:
  virtual ~Waiter() = default;
  virtual void onDispatched(const Choice &Where, TimePoint Now) = 0;
  /// The request must be rejected immediately because this VM is stopping.
  virtual void onRejected() = 0;
  /// The request has left the full queue for one of another client account. It
  /// must be rejected as not run; ExpectedWait is as in Admission.
  virtual void onEvicted(Duration /*ExpectedWait*/) { onRejected(); }
};

/// What became of an endpoint that closed the connection of an attempt.
enum class EndpointFate { Unknown, Lives, Ended };

/// A request in progress, which a refusal of crash suspects may concern.
class RefusalListener {
public:
  virtual ~RefusalListener() = default;
  /// A request or a part of a prompt is refused from now on.
  virtual void onSuspectRefused(TimePoint Now) = 0;
};

/// How long a request may wait for an endpoint.
struct WaitLimits {
  TimePoint m_onTimeUntil{}; ///< If dispatched later, its response is late.
  Duration m_maxWait{};
};

/// Result of Core::admit().
struct Admission {
  ChoiceObstacle m_obstacle = ChoiceObstacle::None; ///< Unless dispatched.
  /// Of the queued request; 0 if it was dispatched at once or rejected.
  TicketId m_ticket = 0;
  bool m_rejected = false;
  /// Of a rejected request; zero if there is no estimate.
  Duration m_expectedWait{};
};

/// How a gateway treats crash suspects. A crash strikes all requests that ran
/// at its endpoint, mostly harmless ones whose callers wait: those with one
/// strike go on at once. From the second one on, suspects run apart.
inline SuspectOptions gatewaySuspectOptions() {
  SuspectOptions Options;
  Options.m_group = std::numeric_limits<unsigned>::max();
  Options.m_settleFrom = 2;
  Options.m_refusalRepeat = Options.m_refusal;
  return Options;
}

class SchedulerClient;
class QuotaClient;

class Core {
public:
  Core(asio::io_context &Io, Settings Options, const Dialect &Platform,
       CrashSuspects Suspects);

  Choice choose(const ChoiceQuery &Query, TimePoint Now) const;
  /// Dispatches a request to an endpoint, or queues it if one is expected to be
  /// available in time. Calls onDispatched() before it returns if the request
  /// was dispatched at once.
  Admission admit(ChoiceQuery Query, const WaitLimits &Limits, Waiter &W,
                  TimePoint Now);
  /// Removes a queued request. Returns why it was not dispatched.
  ChoiceObstacle cancel(TicketId Ticket);
  /// Estimated time until an endpoint is available for a request that this
  /// obstacle stopped; zero if there is no estimate.
  Duration expectedWait(const ChoiceQuery &Query, ChoiceObstacle Obstacle,
                        TimePoint OnTimeUntil, TimePoint Now) const;
  /// Dispatches waiting requests to endpoints with free capacity.
  void dispatchWaiting(TimePoint Now);
  /// Ends a request's use of Endpoint and dispatches waiting requests.
  void release(const std::string &Endpoint, const ChoiceQuery &Query,
               PlacedBy By, bool PrefillDone, TimePoint Now);
  void notifyLoadChanged(const std::string &Endpoint) const {
    if (m_onLoadChanged)
      m_onLoadChanged(Endpoint);
  }
  /// Takes what an endpoint said of itself.
  void onNotice(const std::string &Id, const EndpointNotice &Notice,
                NoticeSource Source, TimePoint Now);
  /// Takes what a response of an endpoint says of the endpoint itself.
  void onResponse(const std::string &Id, std::uint64_t Incarnation,
                  const HttpHead &Head, TimePoint Now);
  /// Nothing listens at the address of an endpoint: pauses it for a time.
  void onConnectionRefused(const std::string &Id, TimePoint Now);
  /// An endpoint closed the connection of an attempt that it had not answered.
  /// Finds out whether it has ended, which counts against the request.
  asio::awaitable<EndpointFate> onBroken(BrokenRequest Request,
                                         EndpointIncarnation Which,
                                         std::string Address);
  /// An endpoint closed the connection to end a response with neither a length
  /// nor chunks. If it lives, that is an answer; if it has ended, the response
  /// may be cut.
  asio::awaitable<void> onEndedByClose(BrokenRequest Request,
                                       std::vector<std::uint64_t> Parts,
                                       EndpointIncarnation Which,
                                       std::string Address);
  /// Drops strikes whose endpoint is still registered. To be called while the
  /// list of endpoints is current.
  void dropRefutedStrikes(TimePoint Now);
  /// An answer to a request with these parts of a prompt has gone on.
  void onAnswered(const std::vector<std::uint64_t> &Parts, TimePoint Now);
  /// Tells the requests in progress that a further suspect is refused.
  void notifyRefusal(TimePoint Now);
  /// Takes an endpoint's record from the store.
  void onRecord(const EndpointRecord &Record, TimePoint Now);
  /// Rejects all waiting requests, and from then on those that would have to
  /// wait.
  void rejectWaiting();
  RetryWindow &retries(const std::string &Service);
  const std::map<std::string, RetryWindow> &retryWindows() const {
    return m_retries;
  }
  /// Time since m_configuration was last known to be the newest one; nothing if
  /// it was not since the start or the last stall. With accounts, whose copy is
  /// confirmed by calls of its own, by m_copyFreshness; otherwise by
  /// m_copyConfirmedAt.
  std::optional<Duration> configurationAge() const;
  /// Whether a version that must be in effect by now may be missing here, so
  /// that what is not in m_configuration is no reason to refuse a request for
  /// good.
  bool configurationMayMissChanges();
  /// m_warmStart may have changed the use with which retry windows start.
  void onStartChanged();

  asio::io_context &m_io;
  const Settings m_settings;
  const Dialect &m_dialect;
  std::unique_ptr<Metrics> m_metrics;
  const TimePoint m_startedAt = std::chrono::steady_clock::now();
  ConfigurationPtr m_configuration; ///< Null until first read.
  TimePoint m_configurationAt{};    ///< When it was read.
  bool m_endpointsKnown = false;    ///< The list was read at least once.
  /// When a list, a watch or a relay last showed that the copies of the
  /// configuration and the endpoints are complete.
  TimePoint m_copyConfirmedAt{};
  WarmStart m_warmStart;
  CopyFreshness m_copyFreshness; ///< Of m_configuration, for its accounts.
  EndpointTable m_endpoints;
  Chooser m_chooser;
  WaitQueue m_queue;
  std::map<TicketId, Waiter *> m_waiters; ///< Of the tickets in m_queue.
  MemoryBudget m_memory;
  std::set<RefusalListener *> m_refusalListeners; ///< Requests in progress.
  ConnectionPool m_pool;
  CrashSuspects m_suspects;
  BrokenAttempts m_brokenAttempts;
  EndpointProbe m_endpointProbe;
  LocalDemand m_demand;
  FleetDemand m_fleetDemand;
  unsigned m_gatewayCount = 1; ///< Known gateways, including this one.
  /// Gateways that choose endpoints by the same load reports as this one,
  /// including this one.
  unsigned m_chooserCount = 1;
  /// Asks coordinators for endpoints; null if there are no other gateways.
  SchedulerClient *m_schedulerClient = nullptr;
  /// Charges the quotas of accounts; null if there are no other gateways.
  QuotaClient *m_quotas = nullptr;
  unsigned m_undecided = 0; ///< Requests that wait for a quota decision.
  bool m_stopping = false;  ///< Callers are directed to other VMs.
  /// While it stops: when requests that are still in progress are ended.
  TimePoint m_requestsEndAt = TimePoint::max();
  bool m_closing = false; ///< Connections close after their current request.
  bool m_rejectingWaiting = false; ///< New requests may not wait.
  /// Sends direct peers an immediate update after this VM's load at an endpoint
  /// changed.
  std::function<void(const std::string &)> m_onLoadChanged;
  std::function<void()> m_onStrike; ///< Tells the peers of new strikes at once.
  std::function<void()>
      m_onAdapterWanted; ///< Reports to the leader immediately.
  std::mt19937_64 m_random;

private:
  void startRetries(const std::string &Service, RetryWindow &Window) const;
  void strike(const FoundEnd &End, EndEvidence Evidence, TimePoint Now);
  void strikeParts(const FoundEnd &End, const BrokenRequest &Request,
                   std::uint64_t Crash, TimePoint Now);
  void onMemoryCut(const MemoryCut &Cut);
  void onPaceChange(const PaceChange &Change);
  bool fullByPaceLimit(const ChoiceQuery &Query, TimePoint Now) const;
  void evict(TicketId Victim, const std::string &For, TimePoint Now);
  void logRefusal(const ChoiceQuery &Query, Duration ExpectedWait,
                  WaitRefusal Why);

  std::map<std::string, RetryWindow> m_retries; ///< By service.
};

} // namespace primroseworks::gateway

#endif
