// State that the parts of one gateway process share. All of it is used by the
// process's single thread.
#ifndef PRIMROSEWORKS_LIBGATEWAY_CORE_H
#define PRIMROSEWORKS_LIBGATEWAY_CORE_H

#include "libgateway/chooser.h"
#include "libgateway/connections.h"
#include "libgateway/demand.h"
#include "libgateway/dialect.h"
#include "libgateway/endpoints.h"
#include "libgateway/metrics.h"
#include "libgateway/retrywindow.h"
#include "libgateway/settings.h"
#include "libgateway/waitqueue.h"
#include "primroseworks/suspects.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace primroseworks::gateway {

/// Called when a waiting request gets an endpoint.
class Waiter {
public:
  virtual ~Waiter() = default;
  virtual void onDispatched(const Choice &Where) = 0;
  /// The request is to be rejected at once: this VM stops soon.
  virtual void onRejected() = 0;
};

class Core {
public:
  Core(asio::io_context &Io, Settings Options, const Dialect &Platform,
       CrashSuspects Suspects);

  Choice choose(const ChoiceQuery &Query, TimePoint Now) const;
  /// Gives free places to waiting requests.
  void dispatchWaiting(TimePoint Now);
  /// A request that used Endpoint has ended there.
  void release(const std::string &Endpoint, const ChoiceQuery &Query,
               bool PromptRead, TimePoint Now);
  void notifyLoadChanged(const std::string &Endpoint) const {
    if (m_onLoadChanged)
      m_onLoadChanged(Endpoint);
  }
  /// Rejects all waiting requests, and those that would have to wait.
  void rejectWaiting();
  RetryWindow &retries(const std::string &Service);

  asio::io_context &m_io;
  const Settings m_settings;
  const Dialect &m_dialect;
  std::unique_ptr<Metrics> m_metrics;
  const TimePoint m_startedAt = std::chrono::steady_clock::now();
  ConfigurationPtr m_configuration; ///< Null until one was read.
  TimePoint m_configurationAt{};    ///< When it was read.
  bool m_endpointsKnown = false;    ///< The list was read once.
  TimePoint m_endpointsAt{};        ///< When it was last confirmed.
  EndpointTable m_endpoints;
  Chooser m_chooser;
  WaitQueue m_queue;
  std::map<TicketId, Waiter *> m_waiters; ///< Of the tickets in m_queue.
  ConnectionPool m_pool;
  CrashSuspects m_suspects;
  OwnDemand m_demand;
  FleetDemand m_fleetDemand;
  unsigned m_gatewayCount = 1;     ///< Gateways known, this one included.
  bool m_stopping = false;         ///< Callers are sent to other VMs.
  bool m_closing = false;          ///< Connections end after their request.
  bool m_rejectingWaiting = false; ///< No request may wait any more.
  /// Tells close peers at once that an endpoint got or lost work of this VM.
  std::function<void(const std::string &)> m_onLoadChanged;
  std::function<void()> m_onAdapterWanted; ///< Tells the leader at once.
  std::mt19937_64 m_random;

private:
  std::map<std::string, RetryWindow> m_retries; ///< By service.
};

} // namespace primroseworks::gateway

#endif
