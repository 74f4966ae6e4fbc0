// What the caller gets: responses of endpoints, refusals of this VM, and the
// line that the log has of the request.
#include "libgateway/exchange.h"
#include "libgateway/log.h"
#include "libgateway/retryafter.h"

#include <algorithm>
#include <array>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>

namespace primroseworks::gateway {

namespace {

constexpr unsigned StatusUnauthorized = 401;
constexpr unsigned StatusNotFound = 404;

/// Statuses that promise a caller that its request did not run and will not.
constexpr std::array<unsigned, 4> NotRunStatuses = {408, 421, 429, 503};

bool promisesNotRun(unsigned Status) {
  return std::find(NotRunStatuses.begin(), NotRunStatuses.end(), Status) !=
         NotRunStatuses.end();
}

} // namespace

std::string Exchange::serializeResponseHead(const HttpHead &Head, bool Chunked,
                                            std::size_t Length) {
  std::string Out = statusLine(Head.m_status);
  for (const HttpHeader &H : Head.m_headers)
    if (!Head.isHopByHop(H) && H.m_lowerName != "content-length")
      Out += H.m_name + ": " + H.m_value + "\r\n";
  Out += Chunked ? std::string("Transfer-Encoding: chunked\r\n")
                 : "Content-Length: " + std::to_string(Length) + "\r\n";
  // The connection closes after this response only if the response says so: the
  // caller may already have sent its next request otherwise.
  m_keepAlive = m_keepAlive && !m_core.m_stopping;
  if (!m_keepAlive)
    Out += "Connection: close\r\n";
  return Out + "\r\n";
}

asio::awaitable<bool> Exchange::forwardResponse(const HttpHead &Head,
                                                std::string Body) {
  m_firstByteAt = clockNow();
  m_status = Head.m_status;
  m_committed = true;
  m_outcome = Head.isSuccess() ? "ran" : "endpoint_failure";
  std::string Out = serializeResponseHead(Head, false, Body.size());
  const bool Written = co_await write(std::move(Out), Body);
  if (!Written && m_attempt.m_memory && m_attempt.m_memory->revoked()) {
    m_outcome = "broken_off";
    m_reason = "memory_short";
  }
  co_return Written;
}

/// Forwards the latest failure of an endpoint, which did not state that the
/// request did not run. Its status must not say so either if the request may
/// run once only, because the caller would send it again.
asio::awaitable<bool> Exchange::forwardFailure() {
  if (!m_route->mayRunAgain() &&
      promisesNotRun(m_failureResponse.m_head.m_status)) {
    m_core.m_metrics->count("endpoint_promise_not_stated");
    co_return co_await sendUnknownOutcome("endpoint_promise_not_stated");
  }
  if (m_failureMemory)
    m_attempt.m_memory = std::move(m_failureMemory);
  holdForCaller();
  co_return co_await forwardResponse(m_failureResponse.m_head,
                                     std::move(m_failureResponse.m_body));
}

/// Writes Head and then Body, which must exist until then, to the caller.
asio::awaitable<bool> Exchange::write(std::string Head, std::string_view Body) {
  if (m_callerGone)
    co_return false;
  std::error_code Ec;
  const std::array<asio::const_buffer, 2> Parts = {asio::buffer(Head),
                                                   asio::buffer(Body)};
  co_await asio::async_write(m_callerSocket, Parts,
                             asio::redirect_error(asio::use_awaitable, Ec));
  if (Ec)
    m_callerGone = true;
  co_return !Ec;
}

/// Sends a response of the gateway itself. Without a Retry-After header if
/// RetryAfter is zero.
asio::awaitable<bool> Exchange::sendLocalResponse(unsigned Status,
                                                  std::string Reason,
                                                  Duration RetryAfter) {
  const bool NotRun = !m_mayHaveRun;
  m_status = Status;
  m_reason = Reason;
  m_outcome = NotRun ? "not_run" : "unknown";
  std::string Body = "{\"error\":\"" + Reason + "\"}\n";
  std::string Out = statusLine(Status);
  Out += "Content-Type: application/json\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n";
  Out += std::string("X-Primrose-Outcome: ") +
         (NotRun ? "not-run" : "unknown") + "\r\n";
  if (RetryAfter > Duration::zero())
    Out += fmt::format("Retry-After: {:.2f}\r\n", toSeconds(RetryAfter));
  if (Status == 401)
    Out += "WWW-Authenticate: Bearer\r\n";
  m_keepAlive = m_keepAlive && !m_core.m_stopping;
  if (!m_keepAlive)
    Out += "Connection: close\r\n";
  Out += "\r\n" + Body;
  co_return co_await write(std::move(Out));
}

/// Retry-After for a request that is rejected now.
Duration Exchange::currentRetryAfter(TimePoint Now) {
  Rejection R;
  R.m_timeLeft = std::max(Duration::zero(), m_deadline - Now);
  if (m_route)
    R.m_onTimeLeft = m_arrivedAt + Duration(m_route->m_latencyTarget) - Now;
  R.m_expectedWait = m_expectedWait;
  R.m_ofAccount = !m_query.m_account.empty() &&
                  m_attempt.m_choice.m_obstacle == ChoiceObstacle::Full;
  R.m_localCause = m_core.m_rejectingWaiting || m_core.m_stopping;
  R.m_random = std::uniform_real_distribution<double>(0, 1)(m_core.m_random);
  return retryAfter(R);
}

asio::awaitable<bool> Exchange::rejectNotRun(std::string Reason) {
  if (m_mayHaveRun || m_committed)
    co_return co_await fail(std::move(Reason));
  const Duration RetryAfter = currentRetryAfter(clockNow());
  co_return co_await sendLocalResponse(503, std::move(Reason), RetryAfter);
}

/// Ends a request that may or may not have run, or whose response is truncated.
/// Once the response head is sent, only closing the connection can report the
/// error to the caller.
asio::awaitable<bool> Exchange::fail(std::string Reason) {
  if (m_committed) {
    m_outcome = "broken_off";
    m_reason = std::move(Reason);
    m_keepAlive = false;
    co_return false;
  }
  // An error response from an earlier attempt tells the caller more than an
  // error of the gateway.
  if (m_failureResponse.m_head.m_status != 0)
    co_return co_await forwardFailure();
  if (!m_mayHaveRun) {
    const Duration RetryAfter = currentRetryAfter(clockNow());
    co_return co_await sendLocalResponse(503, std::move(Reason), RetryAfter);
  }
  co_return co_await sendUnknownOutcome(std::move(Reason));
}

/// Answers a request that may have run with a status that promises nothing.
asio::awaitable<bool> Exchange::sendUnknownOutcome(std::string Reason) {
  const bool Late = clockNow() >= m_deadline;
  co_return co_await sendLocalResponse(Late ? 504 : 502, std::move(Reason),
                                       Duration::zero());
}

void Exchange::logCompletion(TimePoint Now) const {
  const bool Good = m_outcome == "ran";
  const Duration FirstByte = m_firstByteAt == TimePoint{}
                                 ? Duration::zero()
                                 : m_firstByteAt - m_arrivedAt;
  if (m_silences > 0 && !Good && !m_callerGone)
    m_core.m_metrics->count("answer_lost_after_silence");
  const std::string Kind =
      m_route ? std::string(nameOf(RouteKindNames, m_route->m_kind)) : "none";
  const unsigned Rank = m_route ? rank() : 0;
  const std::string Reason = m_reason.empty() ? "none" : m_reason;
  m_core.m_metrics->request(Kind, Rank, m_outcome, Reason, m_waited, FirstByte,
                            Now - m_arrivedAt);
  const bool Late = Good && m_route &&
                    (FirstByte > m_route->m_latencyTarget ||
                     (m_route->m_gapTarget > Milliseconds::zero() &&
                      m_longestEventGap > m_route->m_gapTarget));
  LogLine Line = decisionlog::line(
      Good && !Late ? LogClass::Success : LogClass::Failure, "request");
  Line.text("id", m_requestMetadata.m_id)
      .text("route", m_route ? m_route->m_name : "")
      .text("outcome", Late ? "late" : m_outcome)
      .text("reason", Reason)
      .number("status", m_status)
      .text("endpoint", m_attempt.m_choice.m_endpoint)
      .text("coordinator", m_attempt.m_coordinatorTicket.m_coordinator)
      .text("obstacle",
            nameOf(ChoiceObstacleNames, m_attempt.m_choice.m_obstacle))
      .number("load", m_attempt.m_choice.m_load)
      .number("candidates", m_attempt.m_choice.m_candidates)
      .number("sends", m_sentAttempts)
      .number("silences", m_silences)
      .real("waited_ms", toMillis(m_waited))
      .real("first_ms", toMillis(FirstByte))
      .real("pause_ms", toMillis(m_longestEventGap))
      .real("total_ms", toMillis(Now - m_arrivedAt))
      .text("model", m_query.m_model)
      .text("adapter", m_query.m_adapter)
      .number("rank", Rank)
      .text("account", m_query.m_account)
      .number("config", m_configuration ? static_cast<std::int64_t>(
                                              m_configuration->m_version)
                                        : 0)
      .real("config_age_ms", toMillis(Now - m_core.m_configurationAt))
      .number("waiting", static_cast<std::int64_t>(m_core.m_queue.size()));
  // What this VM did not find may be in a newer configuration.
  const std::optional<Duration> Age = m_core.configurationAge();
  if (m_status == StatusUnauthorized || m_status == StatusNotFound)
    Line.real("config_confirmed_ms_ago", Age ? toMillis(*Age) : -1);
}

} // namespace primroseworks::gateway
