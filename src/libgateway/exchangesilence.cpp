// The part of a request at endpoints that fall silent: when another endpoint is
// tried, and which of the attempts goes on.
//
// Silence does not tell a sound endpoint that pauses from one that hangs. The
// request is sent to another endpoint, and the silent attempt is kept until one
// of them has begun an answer that goes on: with the next event of a stream, or
// with the whole of another response.
#include "libgateway/exchange.h"
#include "libgateway/log.h"

#include <algorithm>
#include <utility>

namespace primroseworks::gateway {

namespace {

/// A body without a stated length counts as arriving if it grows by this much
/// between two looks; a trickle may go on for ever.
constexpr std::size_t MinArrivingBytes = 256;
/// Whether a body that had Before bytes at the last look is worth waiting for.
/// One of stated length is if at its present rate it takes no more than twice
/// the time that is left.
bool isArriving(const Attempt &A, std::size_t Before, Duration TimeLeft) {
  const std::size_t Size = A.m_body.size();
  if (Size <= Before)
    return false; // Also if a revoked claim has freed the body.
  if (Before == 0)
    return true;
  const std::size_t New = Size - Before;
  const std::optional<std::uint64_t> Length =
      A.m_connection->m_reader.head().m_length;
  if (!Length)
    return New >= MinArrivingBytes;
  const double Looks =
      static_cast<double>(*Length - Size) / static_cast<double>(New);
  return toSeconds(FailoverCheckInterval) * Looks <= 2 * toSeconds(TimeLeft);
}

/// Part of a request's time after which a silence counts as a hang, if that is
/// sooner than EndpointHangTimeout.
constexpr double HangShare = 0.75;

/// Whether more of the response, or its end, has arrived.
bool isReadable(const Attempt &A) {
  return A.m_connection->look() != InputState::None;
}

/// Whether more of the response has arrived.
bool hasGoneOn(const Attempt &A) {
  return A.m_connection->look() == InputState::Bytes;
}

} // namespace

/// What a retry is for now: spare while an attempt may still answer that has
/// not been silent for long.
RetryUse Exchange::retryUse(TimePoint Now) const {
  TimePoint LastSign{};
  if (m_attempt.m_connection)
    LastSign = m_attempt.lastSign();
  for (const Attempt &A : m_silentAttempts)
    LastSign = std::max(LastSign, A.lastSign());
  const Duration Hang = std::min<Duration>(
      EndpointHangTimeout,
      fromSeconds(HangShare * toSeconds(m_deadline - m_arrivedAt)));
  return Now - LastSign < Hang ? RetryUse::Spare : RetryUse::Needed;
}

/// Whether another endpoint takes the request at once; one that a coordinator
/// granted stays reserved for it. Takes nothing from the retry limit.
bool Exchange::canFailOver(TimePoint Now) {
  // One that is not sent completely could not be resumed.
  const bool Sending = !m_attempt.m_sent && retryUse(Now) == RetryUse::Spare;
  if (Sending || attemptsThatMayHaveRun() >= m_route->m_maxAttempts ||
      !m_core.retries(m_query.m_service)
           .allows(retryUse(Now), m_core.m_gatewayCount, Now))
    return false;
  ChoiceQuery Query = m_query;
  Query.m_excluded.push_back(m_attempt.m_choice.m_endpoint);
  Query.m_mayRevisit = false;
  if (!m_failover)
    m_failover = std::make_unique<FailoverProbe>(m_core);
  return m_failover->poll(Query, Now);
}

/// Extends an attempt that timed out until another endpoint has capacity for
/// the request or its deadline has passed: an endpoint that has not responded
/// for long may still respond. One whose response is arriving is not left.
Watchdog::Extension Exchange::extendUnlessFailover() {
  return [this](TimePoint Now) {
    const TimePoint Latest = latestEnd();
    const std::size_t Before =
        std::exchange(m_attempt.m_checkedBodyBytes, m_attempt.m_body.size());
    const bool Arriving = isArriving(m_attempt, Before, m_deadline - Now);
    if (Now >= Latest || (!Arriving && canFailOver(Now)))
      return Now;
    return std::min<TimePoint>(Latest, Now + FailoverCheckInterval);
  };
}

/// Whether the endpoint may still answer the attempt, since it was only left
/// for another endpoint.
bool Exchange::canResume(AttemptOutcome Outcome) const {
  const bool Left = Outcome == AttemptOutcome::Silent ||
                    Outcome == AttemptOutcome::Superseded;
  return Left && m_attempt.m_connection && m_attempt.m_connection->m_open;
}

/// Sets the current attempt aside; its connection stays open.
void Exchange::setAside(AttemptOutcome Outcome) {
  if (Outcome == AttemptOutcome::Silent) {
    m_attempt.m_silent = true;
    ++m_silences;
  }
  m_silentAttempts.push_back(std::move(m_attempt));
  m_attempt = Attempt();
}

/// The attempt whose connection C is, or null if it has ended.
Attempt *Exchange::attemptOf(const ConnectionPtr &C) {
  if (m_attempt.m_connection == C)
    return &m_attempt;
  for (Attempt &A : m_silentAttempts)
    if (A.m_connection == C)
      return &A;
  return nullptr;
}

/// The silent attempt to go on with: one whose endpoint went on or ended it, or
/// else the oldest.
std::vector<Attempt>::iterator Exchange::nextSilentAttempt() {
  const auto It = std::find_if(m_silentAttempts.begin(), m_silentAttempts.end(),
                               isReadable);
  return It == m_silentAttempts.end() ? m_silentAttempts.begin() : It;
}

/// Whether a silent endpoint has gone on, or ended its attempt.
bool Exchange::silentEndpointWentOn() {
  return !m_silentAttempts.empty() && isReadable(*nextSilentAttempt());
}

/// Looks from time to time whether a silent endpoint goes on before the current
/// attempt does. That one is then set aside in its turn: the request may still
/// need it.
void Exchange::watchSilentAttempts(TimePoint Now) {
  if (m_silentAttempts.empty())
    return;
  m_silenceWatch.arm(
      Now + SilenceCheckInterval, [this] { giveWay(); },
      [this](TimePoint Now) -> TimePoint {
        return m_attempt.m_connection && silentEndpointWentOn()
                   ? Now
                   : Now + SilenceCheckInterval;
      });
}

/// Ends the wait for the current attempt. One that is still being sent cannot
/// be resumed.
void Exchange::giveWay() {
  if (!m_attempt.m_connection)
    return;
  m_givingWay = true;
  if (m_attempt.m_sent)
    m_attempt.m_connection->interrupt();
  else
    m_attempt.m_connection->close();
}

/// The endpoint of an attempt has gone on: takes back what its silence showed.
void Exchange::recordWentOn(Attempt &A) {
  if (!std::exchange(A.m_silent, false))
    return;
  m_core.m_endpoints.onWentOn(A.m_choice.m_endpoint);
  A.m_observation.m_health = std::nullopt;
}

/// Leaves the endpoints of the silent attempts for good.
void Exchange::endSilentAttempts(SilenceEnd Why, TimePoint Now) {
  m_silenceWatch.disarm();
  std::vector<Attempt> Ended = std::exchange(m_silentAttempts, {});
  std::vector<bool> WentOn;
  for (Attempt &A : Ended) {
    WentOn.push_back(hasGoneOn(A));
    if (WentOn.back())
      recordWentOn(A);
    A.m_connection->close();
  }
  // Logged last: what is held is given back whatever fails.
  for (Attempt &A : Ended)
    releaseEndpoint(A, Now);
  for (std::size_t I = 0; I < Ended.size(); ++I) {
    m_core.m_metrics->count("silent_attempt_left");
    decisionlog::line(LogClass::Failure, "silent_attempt_left")
        .text("id", m_requestMetadata.m_id)
        .text("endpoint", Ended[I].m_choice.m_endpoint)
        .text("next", m_attempt.m_choice.m_endpoint)
        .text("reason", nameOf(SilenceEndNames, Why))
        .real("silent_ms", toMillis(Now - Ended[I].lastSign()))
        .number("went_on", WentOn[I] ? 1 : 0)
        .number("sends", m_sentAttempts);
  }
}

/// Goes on with a silent attempt, since no other endpoint took the request or
/// its own endpoint went on.
asio::awaitable<AttemptOutcome> Exchange::resumeSilentAttempt() {
  m_failover.reset();
  const auto Next = nextSilentAttempt();
  m_attempt = std::move(*Next);
  m_silentAttempts.erase(Next);
  const TimePoint Now = clockNow();
  m_core.m_metrics->count("silent_attempt_resumed");
  decisionlog::line(LogClass::Failure, "silent_attempt_resumed")
      .text("id", m_requestMetadata.m_id)
      .text("endpoint", m_attempt.m_choice.m_endpoint)
      .real("silent_ms", toMillis(Now - m_attempt.lastSign()))
      .number("went_on", hasGoneOn(m_attempt) ? 1 : 0)
      .number("sends", m_sentAttempts);
  limitAttempt(std::min<TimePoint>(latestEnd(), Now + StreamStallTimeout));
  watchSilentAttempts(Now);
  co_return co_await readAnswer();
}

} // namespace primroseworks::gateway
