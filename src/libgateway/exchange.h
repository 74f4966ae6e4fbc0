// One request of a caller, from its arrival to the end of its response.
#ifndef PRIMROSEWORKS_LIBGATEWAY_EXCHANGE_H
#define PRIMROSEWORKS_LIBGATEWAY_EXCHANGE_H

#include "libgateway/core.h"
#include "libgateway/events.h"
#include "libgateway/failoverprobe.h"

#include <asio/awaitable.hpp>
#include <memory>
#include <string>

namespace primroseworks::gateway {

/// Outcome of one attempt at an endpoint.
enum class AttemptOutcome {
  Delivered,    ///< The response was forwarded to the caller.
  NotConnected, ///< No connection; nothing was sent.
  NotRun,       ///< The endpoint stated that it did not run the request.
  Failure,      ///< A complete response that reports a failure.
  Broken,       ///< The response was truncated or invalid.
  Silent,       ///< No response, or no further event, before the timeout.
  CallerGone    ///< The caller closed its connection.
};
inline constexpr NameTable<AttemptOutcome, 7> AttemptOutcomeNames = {
    {{AttemptOutcome::Delivered, "delivered"},
     {AttemptOutcome::NotConnected, "not_connected"},
     {AttemptOutcome::NotRun, "not_run"},
     {AttemptOutcome::Failure, "failure"},
     {AttemptOutcome::Broken, "broken"},
     {AttemptOutcome::Silent, "silent"},
     {AttemptOutcome::CallerGone, "caller_gone"}}};

/// Timeout for opening a connection to an endpoint.
inline constexpr Milliseconds EndpointConnectTimeout{400};
/// A connection to an endpoint is closed if the TCP stack at its other end has
/// not acknowledged data or keep-alive probes for this long.
inline constexpr Milliseconds EndpointUnresponsiveTimeout{2000};
/// Share of its remaining time that a request may wait for an endpoint. The
/// rest is left for a retry by the caller.
inline constexpr double EndpointWaitShare = 0.5;
/// Added to the deadline of an attempt: an engine may respond right at its
/// deadline, and the response takes time to arrive.
inline constexpr Milliseconds DeadlineGrace{60};
/// A resumable stream without an event for this long is continued at another
/// endpoint.
inline constexpr Milliseconds StreamStallTimeout{1200};
/// Shortest timeout for the first event of a stream that may be sent to another
/// endpoint; twice the route's latency target if that is longer.
inline constexpr Milliseconds MinFirstEventTimeout{2000};
/// An attempt that timed out goes on while no other endpoint has capacity. This
/// is the interval between checks for one.
inline constexpr Milliseconds FailoverCheckInterval{150};
/// Shortest timeout of an attempt of a repeatable request before the request is
/// sent to another endpoint.
inline constexpr Milliseconds MinAttemptTimeout{250};
/// Largest event of a stream. An endpoint in trouble may send bytes without
/// end.
inline constexpr std::size_t MaxEventBytes = 1'048'576;
/// Interim responses (1xx) that are skipped before a response.
inline constexpr unsigned MaxInterimResponses = 8;
/// The first configuration usually arrives within this time after the start.
inline constexpr Milliseconds TypicalConfigurationDelay{1000};

class Exchange : public std::enable_shared_from_this<Exchange>,
                 public Waiter,
                 public ScheduleWaiter {
public:
  Exchange(Core &Shared, asio::ip::tcp::socket &Caller, HttpHead Head,
           std::string Body, TimePoint Arrived);
  /// Serves the request. Returns true if the caller's connection can be reused.
  asio::awaitable<bool> run();
  /// Called when the caller has closed its connection.
  void onCallerGone();
  void onDispatched(const Choice &Placement, TimePoint Now) override;
  void onRejected() override { m_waitTimer.cancel(); }
  void onGranted(const Choice &Placement,
                 const CoordinatorTicket &Ticket) override;
  void onScheduleRejected(ChoiceObstacle Obstacle,
                          Duration ExpectedWait) override;
  void onScheduleWaiting(ChoiceObstacle Obstacle) override;
  void onNoCoordinator() override;

private:
  asio::awaitable<bool> serve();
  asio::awaitable<bool> rejectUnconfigured(TimePoint Now);
  asio::awaitable<bool> finishAfterAttempt(AttemptOutcome Outcome);
  asio::awaitable<bool> acquireEndpoint();
  asio::awaitable<bool> acquireFromCoordinator();
  asio::awaitable<void> waitForEndpoint(TimePoint Until);
  void place(const Choice &Placement, PlacedBy By);
  void releaseEndpoint(TimePoint Now);
  WaitLimits waitLimits(TimePoint Now) const;
  unsigned attemptsThatMayHaveRun() const {
    return m_sentAttempts - m_refusedAttempts;
  }
  asio::awaitable<AttemptOutcome> attempt();
  asio::awaitable<Result<void>> readHead(ConnectionPtr C);
  asio::awaitable<AttemptOutcome> readResponse(ConnectionPtr C);
  asio::awaitable<AttemptOutcome> relayEvents(ConnectionPtr C,
                                              Watchdog &AttemptTimer);
  asio::awaitable<bool> write(std::string Bytes);
  asio::awaitable<bool> sendLocalResponse(unsigned Status, std::string Reason,
                                          Duration RetryAfter);
  asio::awaitable<bool> forwardResponse(const HttpHead &Head, std::string Body);
  asio::awaitable<bool> rejectNotRun(std::string Reason);
  asio::awaitable<bool> fail(std::string Reason);

  void initFromRequest(TimePoint Now);
  void recordFirstEvent();
  void recordEventGap(TimePoint Now);
  std::string serializeRequest(TimePoint Now) const;
  std::string serializeResponseHead(const HttpHead &Head, bool Chunked,
                                    std::size_t Length) const;
  bool takeRetry(TimePoint Now);
  bool canFailOver(TimePoint Now);
  Watchdog::Extension extendUnlessFailover();
  TimePoint attemptDeadline(TimePoint Now) const;
  Duration maxEndpointWait(TimePoint Now) const;
  Duration currentRetryAfter(TimePoint Now);
  void recordAttempt(AttemptOutcome Outcome, TimePoint Now);
  void logCompletion(TimePoint Now) const;

  Core &m_core;
  asio::ip::tcp::socket &m_callerSocket;
  HttpHead m_head;
  std::string m_body;
  TimePoint m_arrivedAt;
  TimePoint m_deadline{};           ///< From the caller or the route's timeout.
  ConfigurationPtr m_configuration; ///< In force when the request arrived.
  const Route *m_route = nullptr;   ///< Points into m_configuration.
  RequestMetadata m_requestMetadata;
  ChoiceQuery m_query;
  std::uint64_t m_fingerprint = 0; ///< Equal for a retry of the same request.
  bool m_engineService = false;    ///< The service's endpoints are engines.

  /// Limits the wait for an endpoint; cancelled to end it.
  asio::steady_timer m_waitTimer;
  TicketId m_ticket = 0; ///< Set while the request is in the wait queue.
  bool m_placed = false;
  PlacedBy m_placedBy = PlacedBy::Local;
  CoordinatorTicket m_coordinatorTicket; ///< If a coordinator placed it.
  /// The coordinator's answer is the final one: it is not asked again and this
  /// VM does not choose itself.
  bool m_scheduleDecided = false;
  Choice m_choice;
  std::unique_ptr<FailoverProbe> m_failover; ///< While the endpoint is silent.
  /// Expected wait for an endpoint when the request was last rejected.
  Duration m_expectedWait{};
  ConnectionPtr m_connection; ///< Used by the current attempt.
  bool m_callerGone = false;
  bool m_keepAlive = false; ///< The caller's connection can be reused.

  unsigned m_sentAttempts = 0; ///< Attempts that were sent to an endpoint.
  /// Sent attempts whose endpoint stated that it did not run the request.
  unsigned m_refusedAttempts = 0;
  /// An attempt ended without a statement that it did not run.
  bool m_mayHaveRun = false;
  bool m_committed = false; ///< The response head was sent to the caller.
  /// Latest event that was sent to the caller.
  std::optional<std::uint64_t> m_lastEventId;
  HttpClientResponse
      m_failureResponse;        ///< Latest complete failure; status 0 if none.
  unsigned m_attemptStatus = 0; ///< Of the last attempt's response; 0 if none.
  /// Another endpoint responded at the address of the chosen one.
  bool m_endpointReplaced = false;
  TimePoint m_sentAt{};        ///< When the current attempt was sent.
  TimePoint m_lastEventsAt{};  ///< When the latest events arrived.
  TimePoint m_firstEventsAt{}; ///< When the attempt's first events arrived.
  unsigned m_eventBatches = 0; ///< Reads with events in this attempt.
  /// What the current attempt has shown so far, for its coordinator.
  AttemptObservation m_observation;
  Duration m_longestEventGap{}; ///< Over all attempts.
  bool m_stalled = false;      ///< The attempt exceeded the route's gap target.
  bool m_prefillDone = false;  ///< The current attempt has got its first event.
  bool m_closedByPeer = false; ///< The last attempt failed without a timeout.

  std::string m_outcome; ///< Written to the log and the metrics.
  std::string m_reason;
  unsigned m_status = 0;
  Duration m_waited{};
  TimePoint m_firstByteAt{};
};

} // namespace primroseworks::gateway

#endif
