// Handles one request: route lookup, endpoint selection, retries.
#include "libgateway/exchange.h"
#include "libgateway/retryafter.h"
#include "libgateway/tasks.h"
#include "primroseworks/hash.h"

#include <algorithm>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

namespace primroseworks::gateway {

namespace {

/// Time left for a failure of an endpoint to reach the caller.
constexpr Milliseconds FailureForwardTime{100};

/// Hash of the prompt parts that other requests may share, which are all but
/// the last. 0 if there are none.
std::uint64_t affinityHash(const RequestMetadata &Metadata) {
  if (Metadata.m_prompt.size() < 2)
    return 0;
  std::uint64_t Hash = 0;
  for (std::size_t I = 0; I + 1 < Metadata.m_prompt.size(); ++I)
    Hash = Hash * 1099511628211ULL + Metadata.m_prompt[I].m_id;
  return Hash | 1;
}

/// Ids of the prompt parts that other requests may share, each once.
std::vector<std::uint64_t> sharedParts(const RequestMetadata &Metadata) {
  std::vector<std::uint64_t> Out;
  for (std::size_t I = 0; I + 1 < Metadata.m_prompt.size(); ++I) {
    const std::uint64_t Id = Metadata.m_prompt[I].m_id;
    if (Out.size() < SuspectPartsMax &&
        std::find(Out.begin(), Out.end(), Id) == Out.end())
      Out.push_back(Id);
  }
  return Out;
}

const std::string &pickService(const Route &R, std::mt19937_64 &Random) {
  double Sum = 0;
  for (const WeightedService &S : R.m_services)
    Sum += S.m_weight;
  double Remaining = std::uniform_real_distribution<double>(0, Sum)(Random);
  for (const WeightedService &S : R.m_services) {
    Remaining -= S.m_weight;
    if (Remaining <= 0)
      return S.m_service;
  }
  return R.m_services.back().m_service;
}

} // namespace

Exchange::Exchange(Core &Shared, asio::ip::tcp::socket &Caller, HttpHead Head,
                   std::string Body, TimePoint Arrived)
    : m_core(Shared), m_callerSocket(Caller), m_head(std::move(Head)),
      m_body(std::move(Body)), m_arrivedAt(Arrived), m_waitTimer(Shared.m_io),
      m_attemptTimer(Shared.m_io), m_silenceWatch(Shared.m_io) {}

void Exchange::onCallerGone() {
  m_callerGone = true;
  m_waitTimer.cancel();
  if (m_attempt.m_connection)
    m_attempt.m_connection->close();
  for (const Attempt &A : m_silentAttempts)
    A.m_connection->close();
}

void Exchange::onProcessEnding() {
  m_processEnding = true;
  m_waitTimer.cancel();
  if (m_attempt.m_connection)
    m_attempt.m_connection->close();
}

void Exchange::onDispatched(const Choice &Placement, TimePoint) {
  m_ticket = 0;
  place(Placement, PlacedBy::Local);
  m_core.notifyLoadChanged(Placement.m_endpoint);
}

void Exchange::onGranted(const Choice &Placement,
                         const CoordinatorTicket &Ticket) {
  m_attempt.m_coordinatorTicket = Ticket;
  m_scheduleDecided = true;
  place(Placement, PlacedBy::Coordinator);
}

void Exchange::onScheduleRejected(ChoiceObstacle Obstacle,
                                  Duration ExpectedWait) {
  m_attempt.m_choice.m_obstacle = Obstacle;
  m_expectedWait = ExpectedWait;
  m_scheduleDecided = true;
  m_waitTimer.cancel();
}

void Exchange::onScheduleWaiting(ChoiceObstacle Obstacle) {
  m_attempt.m_choice.m_obstacle = Obstacle;
}

void Exchange::onNoCoordinator() { m_waitTimer.cancel(); }

/// Counts the request at its endpoint.
void Exchange::place(const Choice &Placement, PlacedBy By) {
  m_placed = true;
  m_attempt.m_counted = true;
  m_attempt.m_choice = Placement;
  m_attempt.m_placedBy = By;
  m_core.m_endpoints.onSent(Placement.m_endpoint, m_query.m_size, By);
  m_core.m_demand.onStarted(m_query.m_model, m_query.m_adapter);
  m_waitTimer.cancel();
}

/// Ends an attempt's use of its endpoint.
void Exchange::releaseEndpoint(Attempt &A, TimePoint Now) {
  A.m_counted = false;
  if (A.m_running) {
    m_core.m_suspects.onEnded(m_fingerprint, A.m_choice.m_endpoint);
    m_core.m_suspects.parts().onEnded(m_promptParts);
  }
  m_core.release(A.m_choice.m_endpoint, m_query, A.m_placedBy, A.m_prefillDone,
                 Now);
  if (A.m_placedBy == PlacedBy::Coordinator)
    m_core.m_schedulerClient->onEnded(A.m_coordinatorTicket, A.m_observation);
}

asio::awaitable<bool> Exchange::run() {
  m_keepAlive = m_head.m_keepAlive;
  bool Keep = false;
  std::exception_ptr Thrown;
  m_core.m_refusalListeners.insert(this);
  try {
    Keep = co_await serve();
  } catch (const std::exception &) {
    Thrown = std::current_exception();
  }
  if (Thrown) {
    reportException(*m_core.m_metrics, "request", Thrown);
    Keep = co_await endAfterException();
  }
  m_core.m_refusalListeners.erase(this);
  const TimePoint Now = clockNow();
  endSilentAttempts(SilenceEnd::RequestEnded, Now);
  settleQuota();
  if (m_callerGone && m_outcome.empty()) {
    m_outcome = "caller_gone";
    m_reason = "caller_closed_its_connection";
  }
  logCompletion(Now);
  co_return Keep && !m_callerGone && m_keepAlive;
}

/// Gives back what a request holds whose service an exception ended, and tells
/// its caller what is known.
asio::awaitable<bool> Exchange::endAfterException() {
  // First what holds places of endpoints: each of these steps may fail, too.
  const TimePoint Now = clockNow();
  m_attemptTimer.disarm();
  if (m_attempt.m_connection)
    m_attempt.m_connection->close();
  if (m_attempt.m_counted)
    releaseEndpoint(m_attempt, Now);
  endSilentAttempts(SilenceEnd::RequestEnded, Now);
  withdrawWait();
  m_mayHaveRun = m_mayHaveRun || attemptsThatMayHaveRun() > 0;
  co_return !m_callerGone && co_await fail("internal_error");
}

/// Ends all waits of the request for an endpoint.
void Exchange::withdrawWait() {
  if (m_ticket != 0)
    m_attempt.m_choice.m_obstacle = m_core.cancel(m_ticket);
  m_ticket = 0;
  if (m_scheduleTicket != 0)
    m_core.m_schedulerClient->withdraw(m_scheduleTicket);
  m_scheduleTicket = 0;
}

/// Initializes the deadline, the endpoint query and the fingerprint from the
/// request and its route, and counts the request in the retry window and the
/// demand.
void Exchange::initFromRequest(TimePoint Now) {
  m_lastEventId = m_requestMetadata.m_lastEventId;
  Duration Timeout = m_route->m_timeout;
  if (m_requestMetadata.m_deadline)
    Timeout = std::min<Duration>(Timeout, *m_requestMetadata.m_deadline);
  m_deadline = m_arrivedAt + Timeout;
  m_query.m_service = pickService(*m_route, m_core.m_random);
  m_query.m_model = m_requestMetadata.m_model;
  m_query.m_adapter = m_requestMetadata.m_adapter;
  m_query.m_size = {m_requestMetadata.kvTokens(),
                    m_requestMetadata.m_promptTokens};
  m_query.m_rank = rank();
  m_query.m_affinity = affinityHash(m_requestMetadata);
  m_query.m_mayProbe = m_route->mayRunAgain();
  m_query.m_gatewayCount = m_core.m_chooserCount;
  m_query.m_jitterSeed = m_core.m_random();
  auto Target = m_configuration->m_services.find(m_query.m_service);
  m_engineService = Target != m_configuration->m_services.end() &&
                    Target->second.m_engine.has_value();
  m_fingerprint = hash::number(m_head.m_method + ' ' + m_head.m_target + '\n' +
                               m_requestMetadata.m_model + '\n' + m_body);
  m_promptParts = sharedParts(m_requestMetadata);
  m_core.retries(m_query.m_service).onRequest(Now);
  if (m_engineService)
    m_core.m_demand.onRequest(m_query.m_model, m_query.m_adapter);
}

/// Rejects a request that arrived before the first configuration was read.
asio::awaitable<bool> Exchange::rejectUnconfigured(TimePoint Now) {
  Rejection R;
  R.m_timeLeft = m_requestMetadata.m_deadline.value_or(Milliseconds::zero());
  R.m_localCause = Now - m_core.m_startedAt < TypicalConfigurationDelay;
  R.m_random = std::uniform_real_distribution<double>(0, 1)(m_core.m_random);
  const Duration RetryAfter = retryAfter(R);
  co_return co_await sendLocalResponse(503, "no_configuration", RetryAfter);
}

/// Rejects a request without a route: for good, unless a newer configuration
/// may have one.
asio::awaitable<bool> Exchange::rejectUnrouted() {
  if (m_core.configurationMayMissChanges())
    co_return co_await rejectStale("configuration_stale");
  co_return co_await sendLocalResponse(404, "no_route", Duration::zero());
}

asio::awaitable<bool> Exchange::serve() {
  const TimePoint Start = clockNow();
  m_requestMetadata = m_core.m_dialect.requestMetadata(m_head);
  m_configuration = m_core.m_configuration;
  if (!m_configuration)
    co_return co_await rejectUnconfigured(Start);
  const std::string *Host = m_head.find("host");
  if (!Host)
    co_return co_await sendLocalResponse(400, "no_host", Duration::zero());
  m_route = m_configuration->find(*Host, m_head.path());
  if (!m_route)
    co_return co_await rejectUnrouted();
  const KeyVerdict Verdict = identifyAccount();
  if (Verdict != KeyVerdict::Known && Verdict != KeyVerdict::NotUsed)
    co_return co_await rejectKey(Verdict);
  initFromRequest(Start);
  if (!co_await chargeQuota())
    co_return !m_callerGone;
  bool MaySend = true;
  for (;;) {
    const TimePoint Begin = clockNow();
    if (m_processEnding)
      co_return co_await fail("stopping");
    const bool WentOn = silentEndpointWentOn();
    if (Begin >= lastMoment() && !WentOn)
      co_return co_await fail("time_limit");
    if (wouldBeCut())
      co_return co_await rejectNotRun("stopping");
    const bool Refused = isRefusedSuspect(Begin);
    if (Refused && m_silentAttempts.empty())
      co_return co_await rejectSuspect(Begin);
    const bool Acquired =
        MaySend && !Refused && !WentOn && co_await acquireEndpoint();
    if (m_callerGone) {
      if (Acquired)
        releaseEndpoint(m_attempt, clockNow());
      co_return false;
    }
    // Its last strike may have ended the wait.
    if (!Acquired && m_silentAttempts.empty() && isRefusedSuspect(clockNow()))
      continue;
    if (!Acquired && m_silentAttempts.empty() && co_await waitHeldBack())
      continue;
    if (!Acquired && m_silentAttempts.empty())
      co_return co_await rejectNotRun(
          std::string("no_endpoint_") +
          std::string(
              nameOf(ChoiceObstacleNames, m_attempt.m_choice.m_obstacle)));
    const AttemptOutcome Outcome =
        Acquired ? co_await attempt() : co_await resumeSilentAttempt();
    co_await examineBreak(Outcome);
    const TimePoint Now = clockNow();
    endAttempt(Outcome, Now);
    if (Outcome == AttemptOutcome::Delivered)
      co_return true;
    if (m_callerGone || Outcome == AttemptOutcome::CallerGone)
      co_return false;
    if (m_silentAttempts.empty() && heldBackTwice(Outcome) &&
        !co_await waitHeldBack())
      co_return !m_callerGone && co_await rejectNotRun("suspect_held_back");
    MaySend = mayTryAgain(Outcome, Now);
    if (!MaySend && m_silentAttempts.empty())
      co_return co_await finishAfterAttempt(Outcome);
  }
}

/// When the request is given up. An endpoint's failure must still reach the
/// caller in time.
TimePoint Exchange::lastMoment() const {
  const bool HasFailure =
      !m_committed && m_failureResponse.m_head.m_status != 0;
  return HasFailure ? m_deadline - FailureForwardTime : m_deadline;
}

/// When an attempt ends at the latest: an engine may respond right at its
/// deadline.
TimePoint Exchange::latestEnd() const {
  const TimePoint Last = lastMoment();
  return Last < m_deadline ? Last : m_deadline + DeadlineGrace;
}

/// Whether this process may end before the request, which may not be sent again
/// if it is cut. Others are taken: most end in time.
bool Exchange::wouldBeCut() const {
  return m_core.m_stopping && !m_route->mayRunAgain() && !m_mayHaveRun &&
         m_deadline > m_core.m_requestsEndAt;
}

/// Whether the request may be sent to another endpoint after this outcome.
bool Exchange::mayTryAgain(AttemptOutcome Outcome, TimePoint Now) {
  if (Outcome == AttemptOutcome::NotConnected ||
      Outcome == AttemptOutcome::NotSent)
    return true;
  if (Outcome == AttemptOutcome::HeldBack)
    return m_silentAttempts.empty(); // It goes on there instead.
  if (Outcome == AttemptOutcome::Superseded ||
      Outcome == AttemptOutcome::Suspect)
    return false;
  return (Outcome == AttemptOutcome::NotRun || m_route->mayRunAgain()) &&
         takeRetry(Now);
}

/// Responds to a request whose last attempt failed and that is not retried.
asio::awaitable<bool> Exchange::finishAfterAttempt(AttemptOutcome Outcome) {
  if (Outcome == AttemptOutcome::Failure && !m_committed &&
      m_failureResponse.m_head.m_status != 0)
    co_return co_await forwardFailure();
  if (Outcome == AttemptOutcome::Suspect)
    co_return co_await rejectSuspect(clockNow());
  if (Outcome == AttemptOutcome::NotRun)
    co_return co_await rejectNotRun("endpoint_refused");
  co_return co_await fail("endpoint_" +
                          std::string(nameOf(AttemptOutcomeNames, Outcome)));
}

/// Whether the request may be sent to one more endpoint: the number of
/// attempts, the deadline and the service's retry limit allow it. Takes one
/// retry from that limit if so.
bool Exchange::takeRetry(TimePoint Now) {
  if (attemptsThatMayHaveRun() >= m_route->m_maxAttempts || Now >= m_deadline)
    return false;
  const RetryUse Use = retryUse(Now);
  if (!m_core.retries(m_query.m_service)
           .tryAcquire(Use, m_core.m_gatewayCount, Now)) {
    m_core.m_metrics->count("retry_limit_reached");
    return false;
  }
  m_core.m_metrics->count("retry_" + std::string(nameOf(RetryUseNames, Use)));
  return true;
}

/// Longest time to wait for an endpoint so that the caller can still use the
/// response.
Duration Exchange::maxEndpointWait(TimePoint Now) const {
  const Duration CallerTimeout = Duration(m_route->callerTimeout()) * 7 / 10;
  // A stream that has begun is broken off if no endpoint continues it, so it
  // waits as long as its caller does.
  const Duration UntilDeadline =
      m_committed
          ? m_deadline - Now
          : fromSeconds(toSeconds(m_deadline - Now) * EndpointWaitShare);
  const TimePoint LastSign = m_committed ? m_lastEventsAt : m_arrivedAt;
  const Duration UntilCallerLeaves = LastSign + CallerTimeout - Now;
  return std::max(Duration::zero(), std::min(UntilDeadline, UntilCallerLeaves));
}

WaitLimits Exchange::waitLimits(TimePoint Now) const {
  WaitLimits Limits;
  Limits.m_maxWait = maxEndpointWait(Now);
  Limits.m_onTimeUntil =
      m_committed ? TimePoint::max()
                  : m_arrivedAt + Duration(m_route->m_latencyTarget) * 6 / 10;
  return Limits;
}

asio::awaitable<void> Exchange::waitForEndpoint(TimePoint Until) {
  const TimePoint Start = clockNow();
  m_waitTimer.expires_at(Until);
  std::error_code Ignored;
  co_await m_waitTimer.async_wait(
      asio::redirect_error(asio::use_awaitable, Ignored));
  m_waited += clockNow() - Start;
}

/// Asks the coordinators for an endpoint. Returns true if one of them decided,
/// or if the wait is over; m_placed tells whether the request has an endpoint.
asio::awaitable<bool> Exchange::acquireFromCoordinator() {
  if (!m_core.m_schedulerClient)
    co_return false;
  const TimePoint Now = clockNow();
  const WaitLimits Limits = waitLimits(Now);
  m_scheduleDecided = false;
  m_scheduleTicket =
      m_core.m_schedulerClient->request(m_query, Limits, *this, Now);
  if (m_scheduleTicket == 0)
    co_return false;
  const TimePoint Until = Now + Limits.m_maxWait;
  co_await waitForEndpoint(Until);
  if (!m_placed)
    m_core.m_schedulerClient->withdraw(m_scheduleTicket);
  m_scheduleTicket = 0;
  co_return m_scheduleDecided || m_callerGone || clockNow() >= Until;
}

asio::awaitable<bool> Exchange::acquireEndpoint() {
  m_placed = false;
  Attempt Next;
  Next.m_choice = m_attempt.m_choice; // The request's log line names the last.
  m_attempt = std::move(Next);
  m_expectedWait = {};
  const std::unique_ptr<FailoverProbe> Failover = std::move(m_failover);
  if (const auto Reserved = Failover ? Failover->take() : std::nullopt) {
    onGranted(Reserved->m_choice, Reserved->m_ticket);
    co_return true;
  }
  // Endpoints at which the request failed are tried again only if nothing was
  // sent to any of them: an endpoint that got the request may have run it.
  m_query.m_mayRevisit = m_sentAttempts == 0;
  // A silent endpoint is left only for one that is available at once.
  const bool AtOnce = !m_silentAttempts.empty();
  if (!AtOnce && co_await acquireFromCoordinator())
    co_return m_placed;
  const TimePoint Now = clockNow();
  if (AtOnce || (m_core.m_rejectingWaiting && !m_committed)) {
    const Choice C = m_core.choose(m_query, Now);
    if (C.m_obstacle == ChoiceObstacle::None)
      onDispatched(C, Now);
    m_attempt.m_choice = C;
    co_return m_placed;
  }
  const WaitLimits Limits = waitLimits(Now);
  const Admission A = m_core.admit(m_query, Limits, *this, Now);
  if (m_placed)
    co_return true;
  m_attempt.m_choice.m_obstacle = A.m_obstacle;
  m_expectedWait = A.m_expectedWait;
  if (A.m_rejected)
    co_return false;
  m_ticket = A.m_ticket;
  if (!m_query.m_adapter.empty() && m_core.m_onAdapterWanted)
    m_core.m_onAdapterWanted();
  co_await waitForEndpoint(Now + Limits.m_maxWait);
  if (m_placed)
    co_return true;
  withdrawWait();
  m_expectedWait = m_core.expectedWait(m_query, m_attempt.m_choice.m_obstacle,
                                       Limits.m_onTimeUntil, clockNow());
  co_return false;
}

} // namespace primroseworks::gateway
