// One request of a caller, from its arrival to the end of its response.
#ifndef PRIMROSEWORKS_LIBGATEWAY_EXCHANGE_H
#define PRIMROSEWORKS_LIBGATEWAY_EXCHANGE_H

#include "libaccounts/keycheck.h"
#include "libgateway/attempt.h"
#include "libgateway/core.h"
#include "libgateway/failoverprobe.h"
#include "libgateway/quotaclient.h"

#include <asio/awaitable.hpp>
#include <memory>
#include <string>
#include <vector>

namespace primroseworks::gateway {

/// Share of its remaining time that a request may wait for an endpoint. The
/// rest is left for a retry by the caller.
inline constexpr double EndpointWaitShare = 0.5;
/// The first configuration usually arrives within this time after the start.
inline constexpr Milliseconds TypicalConfigurationDelay{1000};

class Exchange : public std::enable_shared_from_this<Exchange>,
                 public Waiter,
                 public RefusalListener,
                 public ScheduleWaiter {
public:
  Exchange(Core &Shared, asio::ip::tcp::socket &Caller, HttpHead Head,
           std::string Body, TimePoint Arrived);
  /// Serves the request. Returns true if the caller's connection can be reused.
  asio::awaitable<bool> run();
  /// Called when the caller has closed its connection.
  void onCallerGone();
  /// Called when this process is about to end: the caller gets what can be said
  /// of the request now, without a response of an endpoint.
  void onProcessEnding();
  void onDispatched(const Choice &Placement, TimePoint Now) override;
  void onRejected() override { m_waitTimer.cancel(); }
  void onGranted(const Choice &Placement,
                 const CoordinatorTicket &Ticket) override;
  void onScheduleRejected(ChoiceObstacle Obstacle,
                          Duration ExpectedWait) override;
  void onScheduleWaiting(ChoiceObstacle Obstacle) override;
  void onNoCoordinator() override;
  void onSuspectRefused(TimePoint Now) override;

private:
  asio::awaitable<bool> serve();
  asio::awaitable<bool> endAfterException();
  void withdrawWait();
  asio::awaitable<bool> rejectUnconfigured(TimePoint Now);
  KeyVerdict identifyAccount();
  unsigned rank() const;
  bool forwardsHeader(const HttpHeader &Header) const;
  asio::awaitable<bool> rejectKey(KeyVerdict Verdict);
  asio::awaitable<bool> rejectUnrouted();
  asio::awaitable<bool> rejectStale(std::string Reason);
  asio::awaitable<void> chargeUntilDecided(quota::Amount Cost);
  asio::awaitable<bool> chargeQuota();
  void settleQuota();
  asio::awaitable<bool> finishAfterAttempt(AttemptOutcome Outcome);
  asio::awaitable<bool> acquireEndpoint();
  bool isRefusedSuspect(TimePoint Now);
  asio::awaitable<bool> rejectSuspect(TimePoint Now);
  asio::awaitable<bool> waitHeldBack();
  bool heldBackTwice(AttemptOutcome Outcome) const;
  bool mayRunAt(const std::string &Endpoint, TimePoint Now);
  asio::awaitable<bool> acquireFromCoordinator();
  asio::awaitable<void> waitForEndpoint(TimePoint Until);
  void place(const Choice &Placement, PlacedBy By);
  void releaseEndpoint(Attempt &A, TimePoint Now);
  WaitLimits waitLimits(TimePoint Now) const;
  unsigned attemptsThatMayHaveRun() const {
    return m_sentAttempts - m_refusedAttempts;
  }
  asio::awaitable<AttemptOutcome> attempt();
  asio::awaitable<AttemptOutcome> resumeSilentAttempt();
  asio::awaitable<AttemptOutcome> readAnswer();
  BrokenRequest brokenRequest(TimePoint Now) const;
  void recordProof(TimePoint Now);
  asio::awaitable<void> examineBreak(AttemptOutcome Outcome);
  void limitAttempt(TimePoint Until);
  void onAttemptTimeout(TimePoint Now);
  bool canResume(AttemptOutcome Outcome) const;
  void endAttempt(AttemptOutcome Outcome, TimePoint Now);
  void setAside(AttemptOutcome Outcome);
  Attempt *attemptOf(const ConnectionPtr &C);
  std::vector<Attempt>::iterator nextSilentAttempt();
  void watchSilentAttempts(TimePoint Now);
  bool silentEndpointWentOn();
  void giveWay();
  void recordWentOn(Attempt &A);
  void endSilentAttempts(SilenceEnd Why, TimePoint Now);
  asio::awaitable<Result<void>> readMore(ConnectionPtr C);
  bool claimMemory(const Connection &C);
  AttemptOutcome cutOutcome(const Connection &C) const;
  AttemptOutcome outcomeOf(const Error &E, const Connection &C) const;
  bool answersRequest(const ResponseMetadata &Metadata,
                      const Connection &C) const;
  asio::awaitable<Result<void>> readHead(ConnectionPtr C);
  void releaseConnection(const ResponseMetadata &Metadata);
  void holdForCaller();
  asio::awaitable<AttemptOutcome> readResponse(ConnectionPtr C);
  asio::awaitable<AttemptOutcome> relayEvents(ConnectionPtr C);
  asio::awaitable<bool> write(std::string Head, std::string_view Body = {});
  asio::awaitable<bool> sendLocalResponse(unsigned Status, std::string Reason,
                                          Duration RetryAfter);
  asio::awaitable<bool> forwardResponse(const HttpHead &Head, std::string Body);
  asio::awaitable<bool> forwardFailure();
  asio::awaitable<bool> rejectNotRun(std::string Reason);
  asio::awaitable<bool> fail(std::string Reason);
  asio::awaitable<bool> sendUnknownOutcome(std::string Reason);

  void initFromRequest(TimePoint Now);
  /// What of a stream is new to the caller.
  struct NewEvents {
    std::string m_bytes;
    bool m_hasEvent = false; ///< Not only comments.
    bool m_invalid = false;  ///< One is missing, or the rest is no event.
  };
  NewEvents takeEvents();
  void recordEvents(TimePoint Now);
  void recordFirstEvent();
  void recordFirstEventSample(TimePoint Now);
  void recordWholeAnswer(TimePoint Now);
  void recordEventGap(TimePoint Now);
  std::string serializeRequestHead(TimePoint Now) const;
  std::string serializeResponseHead(const HttpHead &Head, bool Chunked,
                                    std::size_t Length);
  bool takeRetry(TimePoint Now);
  bool mayTryAgain(AttemptOutcome Outcome, TimePoint Now);
  bool wouldBeCut() const;
  RetryUse retryUse(TimePoint Now) const;
  TimePoint lastMoment() const;
  TimePoint latestEnd() const;
  bool canFailOver(TimePoint Now);
  Watchdog::Extension extendUnlessFailover();
  TimePoint attemptDeadline(TimePoint Now) const;
  Duration maxEndpointWait(TimePoint Now) const;
  Duration currentRetryAfter(TimePoint Now);
  void recordAttempt(AttemptOutcome Outcome, TimePoint Now);
  void observeNotice(TimePoint Now);
  void logCompletion(TimePoint Now) const;

  Core &m_core;
  asio::ip::tcp::socket &m_callerSocket;
  HttpHead m_head;
  std::string m_body;
  TimePoint m_arrivedAt;
  TimePoint m_deadline{};           ///< From the caller or the route's timeout.
  ConfigurationPtr m_configuration; ///< In force when the request arrived.
  const Route *m_route = nullptr;   ///< Points into m_configuration.
  /// Points into m_configuration; null if the request has none.
  const ClientAccount *m_account = nullptr;
  RequestMetadata m_requestMetadata;
  ChoiceQuery m_query;
  std::optional<QuotaCharged> m_quota; ///< Until its outcome is reported.
  std::uint64_t m_fingerprint = 0; ///< Equal for a retry of the same request.
  /// Parts of its prompt that other requests may share, each once.
  std::vector<std::uint64_t> m_promptParts;
  bool m_engineService = false; ///< The service's endpoints are engines.

  /// Limits the wait for an endpoint; cancelled to end it.
  asio::steady_timer m_waitTimer;
  TicketId m_ticket = 0; ///< Set while the request is in the wait queue.
  TicketId m_scheduleTicket = 0; ///< Set while a coordinator is asked.
  bool m_placed = false;         ///< m_attempt has an endpoint.
  /// The coordinator's answer is the final one: it is not asked again and this
  /// VM does not choose itself.
  bool m_scheduleDecided = false;
  Attempt m_attempt; ///< The current one; its obstacle if there is none.
  Watchdog m_attemptTimer;
  /// Attempts that were left for another endpoint and may still answer, the
  /// oldest first. They are ended once one attempt has begun an answer that
  /// goes on, or with the request.
  std::vector<Attempt> m_silentAttempts;
  Watchdog m_silenceWatch; ///< Armed while there are any beside m_attempt.
  /// The current attempt is set aside, because a silent endpoint went on.
  bool m_givingWay = false;
  /// The current attempt is given up, because a part of the prompt was refused.
  bool m_givenUpAsSuspect = false;
  std::unique_ptr<FailoverProbe> m_failover; ///< While the endpoint is silent.
  /// Endpoints at which this request may not run now, as a crash suspect. They
  /// are excluded until it waited for a while.
  std::vector<std::string> m_heldBackAt;
  /// Expected wait for an endpoint when the request was last rejected.
  Duration m_expectedWait{};
  bool m_callerGone = false;
  bool m_processEnding = false;
  bool m_keepAlive = false; ///< The caller's connection can be reused.

  unsigned m_sentAttempts = 0; ///< Attempts that were sent to an endpoint.
  /// Sent attempts whose endpoint stated that it did not run the request.
  unsigned m_refusedAttempts = 0;
  /// An attempt ended without a statement that it did not run.
  bool m_mayHaveRun = false;
  unsigned m_silences = 0;  ///< Attempts that were set aside.
  bool m_committed = false; ///< The response head was sent to the caller.
  /// Latest event that was sent to the caller.
  std::optional<std::uint64_t> m_lastEventId;
  HttpClientResponse
      m_failureResponse; ///< Latest complete failure; status 0 if none.
  MemoryClaimPtr m_failureMemory; ///< Of m_failureResponse.
  TimePoint m_lastEventsAt{};     ///< When the latest events arrived.
  Duration m_longestEventGap{};   ///< Over all attempts.

  std::string m_outcome; ///< Written to the log and the metrics.
  std::string m_reason;
  unsigned m_status = 0;
  Duration m_waited{};
  TimePoint m_firstByteAt{};
};

} // namespace primroseworks::gateway

#endif
