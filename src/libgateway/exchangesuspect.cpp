// The part of a request in the protection against requests that end endpoints:
// whether it may run, and what the end of an attempt shows.
#include "libgateway/exchange.h"
#include "libgateway/log.h"
#include "libgateway/tasks.h"

#include <algorithm>
#include <utility>

namespace primroseworks::gateway {

/// Whether the request, or a part of its prompt, ended too many endpoints. A
/// request that is sent again has the same fingerprint.
bool Exchange::isRefusedSuspect(TimePoint Now) {
  return m_core.m_suspects.refused(m_fingerprint, Now) ||
         m_core.m_suspects.parts().firstRefused(m_promptParts, Now) != nullptr;
}

/// Rejects a request that is refused as a suspect.
asio::awaitable<bool> Exchange::rejectSuspect(TimePoint Now) {
  CrashSuspects &Suspects = m_core.m_suspects;
  const std::uint64_t *Part = Suspects.parts().firstRefused(m_promptParts, Now);
  const std::string Reason =
      Part ? "prompt_part_crashes_endpoints" : "crashes_endpoints";
  const Duration Remaining = Part ? Suspects.parts().remaining(*Part, Now)
                                  : Suspects.remaining(m_fingerprint, Now);
  if (Part)
    Suspects.parts().onRefused(*Part);
  else
    Suspects.onRefused(m_fingerprint);
  decisionlog::line(LogClass::Failure, "suspect_refused")
      .text("id", m_requestMetadata.m_id)
      .hex(Part ? "part" : "fingerprint", Part ? *Part : m_fingerprint)
      .number("ends", Part ? Suspects.parts().ends(*Part)
                           : Suspects.strikes(m_fingerprint, Now))
      .real("remaining_ms", toMillis(Remaining));
  if (m_mayHaveRun || m_committed)
    co_return co_await fail(Reason);
  co_return co_await sendLocalResponse(503, Reason, Remaining);
}

/// A request that waits is rejected at once. One whose engine has not begun to
/// answer leaves it, which drops it; it may have run.
void Exchange::onSuspectRefused(TimePoint Now) {
  if (!isRefusedSuspect(Now))
    return;
  m_waitTimer.cancel();
  const bool Begun = m_committed || m_attempt.m_eventBatches > 0;
  if (!m_engineService || Begun || !m_attempt.m_connection ||
      !m_core.m_suspects.parts().firstRefused(m_promptParts, Now))
    return;
  m_givenUpAsSuspect = true;
  m_attempt.m_connection->close();
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
  return !isRefusedSuspect(Now) &&
         m_core.m_suspects.parts().mayStart(m_promptParts, Now) &&
         m_core.m_suspects.mayRun(m_fingerprint, Endpoint, Now);
}

/// What of the request may be blamed if the endpoint of its attempt has ended.
BrokenRequest Exchange::brokenRequest(TimePoint Now) const {
  const bool Proved = m_attempt.answerAge() >= AnswerProofPeriod;
  return {m_fingerprint, Proved ? std::vector<std::uint64_t>() : m_promptParts,
          Now};
}

/// The answer of the attempt has gone on: that speaks for the parts.
void Exchange::recordProof(TimePoint Now) {
  if (m_promptParts.empty() || m_attempt.answerAge() < AnswerProofPeriod ||
      Now - m_attempt.m_provedAt < AnswerProofPeriod)
    return;
  m_attempt.m_provedAt = Now;
  m_core.onAnswered(m_promptParts, Now);
}

/// Finds out whether an endpoint that broke off the attempt has ended.
asio::awaitable<void> Exchange::examineBreak(AttemptOutcome Outcome) {
  const bool Delivered = Outcome == AttemptOutcome::Delivered;
  const bool Failed = Outcome == AttemptOutcome::Broken ||
                      Outcome == AttemptOutcome::Silent ||
                      Outcome == AttemptOutcome::Failure;
  if (!m_attempt.m_closedByPeer || !(Failed || Delivered))
    co_return;
  const EndpointIncarnation Which{m_attempt.m_choice.m_endpoint,
                                  m_attempt.m_incarnation};
  if (Delivered) {
    // The caller has its response and does not wait for this.
    spawnTask(m_core.m_io, *m_core.m_metrics, "ended_by_close",
              [&Shared = m_core, Request = brokenRequest(clockNow()),
               Parts = m_promptParts, Which, Address = m_attempt.m_address] {
                return Shared.onEndedByClose(Request, Parts, Which, Address);
              });
    co_return;
  }
  co_await m_core.onBroken(brokenRequest(clockNow()), Which,
                           m_attempt.m_address);
}

} // namespace primroseworks::gateway
