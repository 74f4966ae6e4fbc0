// The part of a request in the protection against requests that end endpoints:
// whether it may run, and what the end of an attempt shows.
#include "libgateway/exchange.h"

#include <algorithm>
#include <utility>

namespace primroseworks::gateway {

/// Rejects a request that crashed too many endpoints.
asio::awaitable<bool> Exchange::rejectSuspect(TimePoint Now) {
  const std::string Reason = "crashes_endpoints";
  m_core.m_suspects.onRefused(m_fingerprint);
  if (m_mayHaveRun || m_committed)
    co_return co_await fail(Reason);
  co_return co_await sendLocalResponse(
      503, Reason, m_core.m_suspects.remaining(m_fingerprint, Now));
}

/// Whether the endpoint that was chosen held the request back before, so that
/// no other one is left.
bool Exchange::heldBackTwice(AttemptOutcome Outcome) const {
  return Outcome == AttemptOutcome::HeldBack &&
         std::count(m_heldBackAt.begin(), m_heldBackAt.end(),
                    m_attempt.m_choice.m_endpoint) > 1;
}

/// Waits until a crash suspect that was held back may be looked at again.
/// Returns false if it was not held back or there is no time to wait.
asio::awaitable<bool> Exchange::waitHeldBack() {
  const TimePoint Now = clockNow();
  if (m_heldBackAt.empty() || m_callerGone ||
      maxEndpointWait(Now) < SuspectCheckInterval)
    co_return false;
  m_core.m_metrics->count("suspect_held_back");
  co_await waitForEndpoint(Now + SuspectCheckInterval);
  auto &Excluded = m_query.m_excluded;
  for (const std::string &Id : std::exchange(m_heldBackAt, {}))
    Excluded.erase(std::remove(Excluded.begin(), Excluded.end(), Id),
                   Excluded.end());
  co_return !m_callerGone;
}

/// Whether this request may run at Endpoint, as far as crash suspects go.
bool Exchange::mayRunAt(const std::string &Endpoint, TimePoint Now) {
  return !m_core.m_suspects.refused(m_fingerprint, Now) &&
         m_core.m_suspects.mayRun(m_fingerprint, Endpoint, Now);
}

/// What of the request may be blamed if the endpoint of its attempt has ended.
BrokenRequest Exchange::brokenRequest(TimePoint Now) const {
  const bool Proved = m_attempt.answerAge() >= AnswerProofPeriod;
  return {m_fingerprint, Proved ? std::vector<std::uint64_t>() : m_promptParts,
          Now};
}

/// Finds out whether an endpoint that broke off the attempt has ended.
asio::awaitable<void> Exchange::examineBreak(AttemptOutcome Outcome) {
  const bool NoAnswer =
      Outcome == AttemptOutcome::Broken || Outcome == AttemptOutcome::Silent;
  if (!NoAnswer || !m_attempt.m_closedByPeer)
    co_return;
  const EndpointIncarnation Which{m_attempt.m_choice.m_endpoint,
                                  m_attempt.m_incarnation};
  co_await m_core.onBroken(brokenRequest(clockNow()), Which,
                           m_attempt.m_address);
}

} // namespace primroseworks::gateway
