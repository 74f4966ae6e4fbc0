// Relays the events of a stream to the caller.
#include "libgateway/exchange.h"

#include <algorithm>
#include <asio/use_awaitable.hpp>
#include <fmt/format.h>

namespace primroseworks::gateway {

/// Records the first event of an attempt, which shows that the engine has
/// finished the prefill of its prompt.
void Exchange::recordFirstEvent() {
  const TimePoint Now = clockNow();
  m_attempt.m_prefillDone = true;
  m_core.m_endpoints.onPrefillDone(m_attempt.m_choice.m_endpoint,
                                   m_query.m_size, m_attempt.m_placedBy);
  m_core.m_endpoints.onFirstEvent(m_attempt.m_choice.m_endpoint,
                                  Now - m_attempt.m_sentAt,
                                  m_attempt.m_choice.m_pendingPrefillTokens +
                                      m_query.m_size.m_promptTokens);
  recordFirstEventSample(Now);
  if (m_attempt.m_placedBy == PlacedBy::Coordinator) {
    m_attempt.m_observation.m_firstEventMs = toMillis(Now - m_attempt.m_sentAt);
    observeNotice(Now);
    m_core.m_schedulerClient->onPrefillDone(m_attempt.m_coordinatorTicket,
                                            m_attempt.m_observation);
    m_attempt.m_observation = {};
  } else {
    m_core.notifyLoadChanged(m_attempt.m_choice.m_endpoint);
  }
  m_core.dispatchWaiting(Now);
}

/// Takes the first event as a sample for the endpoint's adaptive limit.
void Exchange::recordFirstEventSample(TimePoint Now) {
  if (!m_core.m_endpoints.pacingEnabled())
    return;
  const std::uint64_t Prompt = m_query.m_size.m_promptTokens;
  m_core.m_endpoints.onAnswer(
      m_attempt.m_choice.m_endpoint,
      {m_query.m_model, Now - m_attempt.m_sentAt,
       Prompt == 0 ? 0 : Prompt + m_attempt.m_choice.m_pendingPrefillTokens},
      Now);
}

/// Takes a complete answer that is not a stream as a sample for the endpoint's
/// adaptive limit.
void Exchange::recordWholeAnswer(TimePoint Now) {
  if (!m_core.m_endpoints.pacingEnabled())
    return;
  const Duration Latency = Now - m_attempt.m_sentAt;
  m_core.m_endpoints.onAnswer(m_attempt.m_choice.m_endpoint,
                              wholeAnswer(m_query, Latency), Now);
  // For plain services this field reports the time of the whole answer to the
  // coordinator. For engines it only ever means the first event.
  if (m_query.m_model.empty() && m_query.m_size.m_promptTokens == 0)
    m_attempt.m_observation.m_firstEventMs = toMillis(Latency);
}

/// Records the time since the previous events. A gap above the route's target
/// makes the response late and shows that the engine is slow, however soon its
/// first events come.
void Exchange::recordEventGap(TimePoint Now) {
  const Duration Gap = Now - m_lastEventsAt;
  m_longestEventGap = std::max(m_longestEventGap, Gap);
  m_core.m_endpoints.onInterval(m_attempt.m_choice.m_endpoint, Gap);
  if (m_attempt.m_stalled || m_route->m_gapTarget == Milliseconds::zero() ||
      Gap <= m_route->m_gapTarget)
    return;
  m_attempt.m_stalled = true;
  m_attempt.m_observation.m_stalled = true;
  m_core.m_endpoints.onStallSample(m_attempt.m_choice.m_endpoint, true);
}

/// Returns the complete events, and comments, that the caller does not have
/// yet.
Exchange::NewEvents Exchange::takeEvents() {
  NewEvents Out;
  while (std::optional<StreamEvent> Event = m_attempt.m_splitter.next()) {
    // Once events have ids, one without an id is no event of this stream.
    if (!Event->m_wellFormed ||
        (Event->m_hasFields && !Event->m_id && m_lastEventId)) {
      m_core.m_metrics->count("stream_event_refused");
      Out.m_invalid = true;
      break;
    }
    m_attempt.m_eventSeen = m_attempt.m_eventSeen || Event->m_hasFields;
    if (Event->m_id) {
      if (m_lastEventId && *Event->m_id <= *m_lastEventId)
        continue; // Already sent to the caller.
      if (m_lastEventId && *Event->m_id != *m_lastEventId + 1) {
        m_core.m_metrics->count("stream_gap_refused");
        Out.m_invalid = true;
        break;
      }
      m_lastEventId = Event->m_id;
    }
    Out.m_bytes += Event->m_bytes;
    Out.m_hasEvent = Out.m_hasEvent || Event->m_hasFields;
  }
  return Out;
}

/// Records that new events arrived. The endpoint is not silent any more, and
/// those that were left are not needed.
void Exchange::recordEvents(TimePoint Now) {
  m_failover.reset();
  recordWentOn(m_attempt);
  endSilentAttempts(SilenceEnd::OtherAnswered, Now);
  if (!m_attempt.m_prefillDone)
    recordFirstEvent();
  else
    recordEventGap(Now);
  m_lastEventsAt = Now;
  m_attempt.m_lastEventsAt = Now;
  if (m_attempt.m_eventBatches++ == 0)
    m_attempt.m_firstEventsAt = Now;
  recordProof(Now);
}

/// Forwards complete events to the caller as they arrive. The response head is
/// sent with the first event, so that the request can fail over to another
/// endpoint until then.
asio::awaitable<AttemptOutcome> Exchange::relayEvents(ConnectionPtr C) {
  const HttpHead Head = C->m_reader.head();
  const ResponseMetadata Metadata = m_core.m_dialect.responseMetadata(Head);
  if (!Metadata.m_signed || Metadata.m_encoded)
    co_return AttemptOutcome::Broken;
  EventSplitter &Splitter = m_attempt.m_splitter;
  const bool MayFailOver =
      m_route->m_resumable && attemptsThatMayHaveRun() < m_route->m_maxAttempts;
  for (;;) {
    Splitter.add(C->m_reader.takeBody());
    NewEvents New = takeEvents();
    if (New.m_hasEvent)
      recordEvents(clockNow());
    else if (!m_attempt.m_eventSeen)
      New.m_bytes.clear(); // Comments alone begin no answer.
    // Complete events are forwarded even if the stream is truncated after them:
    // they count as sent, and another endpoint continues after the last one.
    // A continuation without an event shows no end of the stream.
    const bool Empty = m_committed && !m_attempt.m_eventSeen;
    const bool Truncated =
        New.m_invalid || Splitter.pending() > MaxEventBytes ||
        (C->m_reader.complete() && (Splitter.pending() > 0 || Empty));
    const bool Complete = C->m_reader.complete() && !Truncated;
    std::string Out;
    if ((!New.m_bytes.empty() || Complete) && !m_committed) {
      m_committed = true;
      m_firstByteAt = clockNow();
      m_status = Head.m_status;
      Out = serializeResponseHead(Head, true, 0);
    }
    if (!New.m_bytes.empty())
      Out += fmt::format("{:x}\r\n", New.m_bytes.size()) + New.m_bytes + "\r\n";
    if (Complete) {
      Out += "0\r\n\r\n";
      releaseConnection(Metadata);
    }
    if (!Out.empty() && !co_await write(std::move(Out)))
      co_return AttemptOutcome::CallerGone;
    if (Complete) {
      if (!m_attempt.m_stalled) {
        m_attempt.m_observation.m_stalled = false;
        m_core.m_endpoints.onStallSample(m_attempt.m_choice.m_endpoint, false);
      }
      m_outcome = "ran";
      co_return AttemptOutcome::Delivered;
    }
    if (Truncated)
      co_return Splitter.pending() > MaxEventBytes ? AttemptOutcome::Overrun
                                                   : AttemptOutcome::Broken;
    if (New.m_hasEvent) {
      const TimePoint Latest = m_deadline + DeadlineGrace;
      limitAttempt(MayFailOver ? std::min<TimePoint>(
                                     Latest, clockNow() + StreamStallTimeout)
                               : Latest);
    }
    const Result<void> Step = co_await readMore(C);
    if (!Step)
      co_return outcomeOf(Step.error(), *C);
  }
}

} // namespace primroseworks::gateway
