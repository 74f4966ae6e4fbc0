// The attempts of a request at endpoints: sending it and reading the response.
#include "libgateway/exchange.h"
#include "libgateway/log.h"

#include <algorithm>
#include <utility>

namespace primroseworks::gateway {

namespace {

constexpr unsigned StatusMisdirected = 421;

/// A response without a stated length that is cut for memory shows a fault of
/// its endpoint from this size on.
constexpr std::size_t MinOverrunBytes = 1'048'576;

} // namespace

/// The head of the request for the endpoint: hop-by-hop headers are removed and
/// the gateway's own headers are set for this attempt.
std::string Exchange::serializeRequestHead(TimePoint Now) const {
  std::string Request =
      m_head.m_method + ' ' + m_head.m_target + " HTTP/1.1\r\n";
  for (const HttpHeader &H : m_head.m_headers)
    if (forwardsHeader(H))
      Request += H.m_name + ": " + H.m_value + "\r\n";
  AttemptMetadata Metadata;
  Metadata.m_endpoint = m_attempt.m_choice.m_endpoint;
  Metadata.m_deadline =
      std::max(Milliseconds(1),
               std::chrono::duration_cast<Milliseconds>(m_deadline - Now));
  Metadata.m_rank = rank();
  Metadata.m_account = m_query.m_account;
  Metadata.m_lastEventId = m_lastEventId;
  Metadata.m_engine = m_engineService;
  Request += m_core.m_dialect.attemptHeaders(Metadata);
  if (!m_body.empty() || m_head.m_length || m_head.m_chunked)
    Request += "Content-Length: " + std::to_string(m_body.size()) + "\r\n";
  return Request + "\r\n";
}

/// Time at which an attempt without a response times out.
TimePoint Exchange::attemptDeadline(TimePoint Now) const {
  const TimePoint Latest = m_deadline + DeadlineGrace;
  if (!m_route->mayRunAgain() ||
      attemptsThatMayHaveRun() >= m_route->m_maxAttempts)
    return Latest;
  if (m_route->m_kind == RouteKind::Stream)
    return std::min<TimePoint>(
        Latest, Now + std::max<Duration>(MinFirstEventTimeout,
                                         2 * m_route->m_latencyTarget));
  const Duration Half = (m_deadline - Now) / 2;
  return std::min<TimePoint>(Latest,
                             Now + std::max<Duration>(MinAttemptTimeout, Half));
}

/// Whether the response is to this request. One without a request id is, unless
/// the connection was used before: it may repeat an earlier response then.
bool Exchange::answersRequest(const ResponseMetadata &Metadata,
                              const Connection &C) const {
  return Metadata.m_requestId == m_requestMetadata.m_id ||
         (Metadata.m_requestId.empty() && !C.m_reused);
}

/// Reads the head of the response to this request. Skips interim responses and
/// late responses to earlier requests on the connection.
asio::awaitable<Result<void>> Exchange::readHead(ConnectionPtr C) {
  unsigned Interim = 0;
  for (;;) {
    while (!C->m_reader.headComplete()) {
      BOOST_OUTCOME_CO_TRYV(co_await readMore(C));
    }
    const HttpHead &Head = C->m_reader.head();
    const bool IsInterim = Head.isInterim();
    const ResponseMetadata Metadata = m_core.m_dialect.responseMetadata(Head);
    const bool IsOwn = IsInterim || answersRequest(Metadata, *C);
    if (IsOwn)
      m_core.onResponse(m_attempt.m_choice.m_endpoint, m_attempt.m_incarnation,
                        Head, clockNow());
    if (!IsInterim && IsOwn)
      co_return boost::outcome_v2::success();
    if (!IsInterim && Metadata.m_requestId.empty()) {
      m_core.m_metrics->count("answer_without_id");
      co_return makeError(ErrorKind::Protocol,
                          "a response names no request on a connection with "
                          "earlier ones; use another connection");
    }
    if (IsInterim && ++Interim > MaxInterimResponses)
      co_return makeError(ErrorKind::Protocol,
                          "too many interim responses; use another endpoint");
    if (!IsInterim)
      m_core.m_metrics->count("foreign_answer");
    std::size_t Skipped = 0;
    while (!C->m_reader.complete()) {
      BOOST_OUTCOME_CO_TRYV(co_await readMore(C));
      Skipped += C->m_reader.takeBody().size();
      if (Skipped > MaxResponseBodyBytes)
        co_return makeError(
            ErrorKind::Full,
            "a response to another request has no end; use another endpoint");
    }
    C->m_reader.reset();
  }
}

/// Reads more of the response unless the attempt has timed out.
asio::awaitable<Result<void>> Exchange::readMore(ConnectionPtr C) {
  if (m_attemptTimer.fired())
    co_return makeError(ErrorKind::Timeout,
                        "no response in time; use another endpoint");
  if (m_givingWay)
    co_return makeError(ErrorKind::Timeout,
                        "another endpoint went on; read its response first");
  BOOST_OUTCOME_CO_TRYV(co_await C->readSome());
  if (!claimMemory(*C))
    co_return makeError(ErrorKind::Unavailable,
                        "the memory of this process is short; use another "
                        "endpoint");
  co_return boost::outcome_v2::success();
}

/// Claims the memory of what has arrived of the response. Returns false if it
/// is not granted.
bool Exchange::claimMemory(const Connection &C) {
  return m_attempt.m_memory->resize(m_attempt.m_body.capacity() +
                                    m_attempt.m_splitter.memoryBytes() +
                                    C.memoryBytes());
}

/// Outcome of an attempt whose response was cut for memory. The endpoint is at
/// fault if much has arrived and the response states no rightful length.
AttemptOutcome Exchange::cutOutcome(const Connection &C) const {
  const bool Bounded = C.m_reader.headComplete() &&
                       C.m_reader.head().m_length &&
                       *C.m_reader.head().m_length <= MaxResponseBodyBytes;
  return Bounded || m_attempt.m_memory->bytes() < MinOverrunBytes
             ? AttemptOutcome::MemoryShort
             : AttemptOutcome::Overrun;
}

/// Outcome of an attempt whose response could not be read.
AttemptOutcome Exchange::outcomeOf(const Error &E, const Connection &C) const {
  if (m_attempt.m_memory->revoked() || E.m_kind == ErrorKind::Unavailable)
    return cutOutcome(C);
  if (m_attemptTimer.fired())
    return AttemptOutcome::Silent;
  return E.m_kind == ErrorKind::Full ? AttemptOutcome::Overrun
                                     : AttemptOutcome::Broken;
}

/// Limits the wait for the next part of the response.
void Exchange::limitAttempt(TimePoint Until) {
  m_attemptTimer.arm(
      Until, [this] { onAttemptTimeout(clockNow()); }, extendUnlessFailover());
}

/// Ends the wait. The connection of an attempt that may be resumed stays open.
void Exchange::onAttemptTimeout(TimePoint Now) {
  if (m_attempt.m_sent && Now < m_deadline)
    m_attempt.m_connection->interrupt();
  else
    m_attempt.m_connection->close();
}

asio::awaitable<AttemptOutcome> Exchange::attempt() {
  const Endpoint *E = m_core.m_endpoints.find(m_attempt.m_choice.m_endpoint);
  if (!E)
    co_return AttemptOutcome::NotConnected;
  const std::string Address = E->m_record.m_address;
  const std::string Key = m_attempt.m_choice.m_endpoint + '@' + Address;
  TimePoint Now = clockNow();
  const Milliseconds TimeLeft =
      std::chrono::duration_cast<Milliseconds>(m_deadline - Now);
  Result<ConnectionPtr> Opened = co_await m_core.m_pool.acquire(
      Key, Address, std::min(EndpointConnectTimeout, TimeLeft),
      EndpointUnresponsiveTimeout);
  if (!Opened) {
    m_attempt.m_connectionRefused =
        Opened.error().m_kind == ErrorKind::NotFound;
    if (m_attempt.m_connectionRefused)
      m_core.onConnectionRefused(m_attempt.m_choice.m_endpoint, clockNow());
    co_return m_callerGone ? AttemptOutcome::CallerGone
                           : AttemptOutcome::NotConnected;
  }
  ConnectionPtr C = Opened.value();
  m_core.m_endpoints.onConnected(m_attempt.m_choice.m_endpoint);
  if (m_callerGone) {
    // Nothing was sent, so the connection could be reused; it is closed all the
    // same.
    C->close();
    co_return AttemptOutcome::CallerGone;
  }
  // The endpoint may have started to drain, or may have been removed, while
  // the connection was opened.
  E = m_core.m_endpoints.find(m_attempt.m_choice.m_endpoint);
  Now = clockNow();
  if (!E || Now >= m_deadline) {
    C->close();
    co_return AttemptOutcome::NotConnected;
  }
  // The connection leads to an earlier incarnation if the address has changed.
  if (E->m_record.m_address != Address ||
      !m_core.m_endpoints.maySend(m_attempt.m_choice.m_endpoint, Now) ||
      wouldBeCut() || m_processEnding) {
    m_core.m_pool.releaseUnused(C, Now);
    co_return AttemptOutcome::NotSent;
  }
  if (silentEndpointWentOn()) {
    m_core.m_pool.releaseUnused(C, Now);
    co_return AttemptOutcome::Superseded;
  }
  if (!mayRunAt(m_attempt.m_choice.m_endpoint, Now)) {
    m_core.m_pool.releaseUnused(C, Now);
    co_return AttemptOutcome::HeldBack;
  }
  // Whatever may fail before the request is sent comes before it counts as
  // sent.
  std::string RequestHead = serializeRequestHead(Now);
  if (E->m_keptUntil)
    m_core.m_metrics->count("sent_to_lapsed_endpoint");
  m_core.m_suspects.onStarted(m_fingerprint, m_attempt.m_choice.m_endpoint);
  m_core.m_suspects.parts().onStarted(m_promptParts);
  m_attempt.m_running = true;
  m_attempt.m_incarnation = E->m_record.m_incarnation;
  m_attempt.m_address = Address;
  m_attempt.m_connection = C;
  m_attempt.m_memory = m_core.m_memory.claim(MemoryKind::Response, Key);
  m_attempt.m_memory->setRevocation([this, C] {
    C->close();
    if (Attempt *A = attemptOf(C)) {
      freeText(A->m_body);
      A->m_splitter.clear();
    }
  });
  m_attempt.m_sentAt = Now;
  ++m_sentAttempts;
  limitAttempt(attemptDeadline(Now));
  watchSilentAttempts(Now);
  const Result<void> Sent = co_await C->send(std::move(RequestHead), m_body);
  m_attempt.m_sent = Sent.has_value();
  if (!Sent && m_callerGone)
    co_return AttemptOutcome::CallerGone;
  // An endpoint may respond and close the connection before it has read a long
  // body, so a failed send does not mean that there is no response.
  co_return co_await readAnswer();
}

/// Reads the response of the current attempt, or goes on reading it.
asio::awaitable<AttemptOutcome> Exchange::readAnswer() {
  const ConnectionPtr C = m_attempt.m_connection;
  AttemptOutcome Outcome = AttemptOutcome::Broken;
  const Result<void> HeadRead = co_await readHead(C);
  if (HeadRead) {
    if (m_attempt.m_observation.m_firstByteMs == 0) {
      const Duration Latency = clockNow() - m_attempt.m_sentAt;
      m_core.m_endpoints.onFirstByte(m_attempt.m_choice.m_endpoint, Latency);
      m_attempt.m_observation.m_firstByteMs = toMillis(Latency);
    }
    m_core.m_brokenAttempts.onAnswered(
        {m_attempt.m_choice.m_endpoint, m_attempt.m_incarnation},
        m_attempt.m_sentAt);
    const bool IsStream =
        m_route->m_kind == RouteKind::Stream && C->m_reader.head().isSuccess();
    Outcome = IsStream ? co_await relayEvents(C) : co_await readResponse(C);
  } else {
    Outcome = outcomeOf(HeadRead.error(), *C);
  }
  m_attempt.m_closedByPeer = C->m_closedByPeer;
  m_attemptTimer.disarm();
  if (m_callerGone)
    co_return AttemptOutcome::CallerGone;
  if (Outcome == AttemptOutcome::Broken || Outcome == AttemptOutcome::Overrun ||
      Outcome == AttemptOutcome::MemoryShort ||
      Outcome == AttemptOutcome::Silent || Outcome == AttemptOutcome::Failure)
    m_mayHaveRun = true;
  if (std::exchange(m_givingWay, false) && Outcome == AttemptOutcome::Broken &&
      (C->m_open || !m_attempt.m_sent))
    co_return AttemptOutcome::Superseded;
  if (std::exchange(m_givenUpAsSuspect, false) &&
      Outcome == AttemptOutcome::Broken)
    co_return AttemptOutcome::Suspect;
  co_return Outcome;
}

/// Releases the endpoint of the current attempt, or sets the attempt aside.
void Exchange::endAttempt(AttemptOutcome Outcome, TimePoint Now) {
  m_attemptTimer.disarm();
  m_silenceWatch.disarm();
  m_givingWay = false;
  recordAttempt(Outcome, Now);
  m_expectedWait = m_attempt.m_observation.m_pause;
  if (Outcome == AttemptOutcome::Delivered)
    m_failover.reset();
  else if (Outcome == AttemptOutcome::HeldBack)
    m_heldBackAt.push_back(m_attempt.m_choice.m_endpoint);
  const bool Untried =
      Outcome == AttemptOutcome::Superseded && !m_attempt.m_connection;
  if (Outcome != AttemptOutcome::Delivered && !Untried)
    m_query.m_excluded.push_back(m_attempt.m_choice.m_endpoint);
  if (canResume(Outcome)) {
    setAside(Outcome);
    return;
  }
  if (m_attempt.m_connection && Outcome != AttemptOutcome::Delivered)
    m_attempt.m_connection->close();
  m_attempt.m_connection = nullptr;
  freeText(m_attempt.m_body);
  m_attempt.m_splitter.clear();
  m_attempt.m_memory.reset();
  releaseEndpoint(m_attempt, Now);
}

/// Returns the connection of a complete response to the pool. One whose engine
/// names no request is not reused: a repeated response could not be told from
/// the next one. The attempt has no time limit any more.
void Exchange::releaseConnection(const ResponseMetadata &Metadata) {
  m_attemptTimer.disarm();
  m_silenceWatch.disarm();
  // From now on the connection may serve another request.
  if (m_attempt.m_memory)
    m_attempt.m_memory->setRevocation(nullptr);
  const ConnectionPtr C = std::move(m_attempt.m_connection);
  m_attempt.m_connection = nullptr;
  if (Metadata.m_requestId.empty())
    C->close();
  else
    m_core.m_pool.release(C, clockNow());
}

/// What has arrived is complete: a revocation ends the wait for the caller.
void Exchange::holdForCaller() {
  if (!m_attempt.m_memory)
    return;
  m_attempt.m_memory->setComplete();
  m_attempt.m_memory->setRevocation([this] {
    std::error_code Ignored;
    m_callerSocket.cancel(Ignored);
  });
}

/// Reads a complete response that is not a stream. Forwards it if it reports
/// success; otherwise the request may still be sent to another endpoint.
asio::awaitable<AttemptOutcome> Exchange::readResponse(ConnectionPtr C) {
  std::string &Body = m_attempt.m_body;
  const std::uint64_t Length =
      C->m_reader.head().m_length.value_or(MaxResponseBodyBytes);
  if (Length > MaxResponseBodyBytes)
    co_return AttemptOutcome::Overrun;
  for (;;) {
    const std::string Part = C->m_reader.takeBody();
    if (!m_attempt.m_memory->append(Body, Part, C->memoryBytes(), Length))
      co_return cutOutcome(*C);
    if (C->m_reader.complete())
      break;
    if (Body.size() > MaxResponseBodyBytes)
      co_return AttemptOutcome::Overrun;
    const Result<void> Step = co_await readMore(C);
    if (!Step)
      co_return outcomeOf(Step.error(), *C);
  }
  recordWentOn(m_attempt);
  const HttpHead Head = C->m_reader.head();
  m_attempt.m_status = Head.m_status;
  const ResponseMetadata Metadata = m_core.m_dialect.responseMetadata(Head);
  releaseConnection(Metadata);
  holdForCaller();
  if (Metadata.m_notExecuted || Head.m_status == StatusMisdirected) {
    if (Head.m_status == StatusMisdirected && !Metadata.m_endpoint.empty() &&
        Metadata.m_endpoint != m_attempt.m_choice.m_endpoint)
      m_attempt.m_endpointReplaced = true;
    co_return AttemptOutcome::NotRun;
  }
  if (Head.isSuccess()) {
    if (!Metadata.m_signed || Metadata.m_encoded)
      co_return AttemptOutcome::Broken;
    recordWholeAnswer(clockNow());
    endSilentAttempts(SilenceEnd::OtherAnswered, clockNow());
    (void)co_await forwardResponse(Head, std::move(Body));
    co_return AttemptOutcome::Delivered;
  }
  m_failureResponse = HttpClientResponse{Head, std::move(Body)};
  m_failureMemory = std::move(m_attempt.m_memory);
  m_failureMemory->setRevocation([this] {
    freeText(m_failureResponse.m_body);
    m_failureResponse.m_head = HttpHead();
  });
  co_return AttemptOutcome::Failure;
}

/// Adds what the endpoint has said of itself to what the attempt shows.
void Exchange::observeNotice(TimePoint Now) {
  const Endpoint *E = m_core.m_endpoints.find(m_attempt.m_choice.m_endpoint);
  if (!E)
    return;
  AttemptObservation &O = m_attempt.m_observation;
  O.m_leaving = E->m_notice.m_leaving;
  O.m_pause =
      std::max(Milliseconds::zero(), std::chrono::duration_cast<Milliseconds>(
                                         E->m_notice.m_pausedUntil - Now));
  O.m_incarnation = E->m_notice.m_incarnation;
}

/// Updates the health of the endpoint and the crash suspects with the outcome
/// of an attempt, and logs an attempt that failed.
void Exchange::recordAttempt(AttemptOutcome Outcome, TimePoint Now) {
  EndpointTable &Table = m_core.m_endpoints;
  const std::string &Id = m_attempt.m_choice.m_endpoint;
  AttemptHealth Health = AttemptHealth::Good;
  observeNotice(Now);
  switch (Outcome) {
  case AttemptOutcome::Delivered:
    // One that its endpoint ended by closing may be cut: see onEndedByClose().
    if (!m_attempt.m_closedByPeer) {
      m_core.m_suspects.onCompleted(m_fingerprint);
      m_core.onAnswered(m_promptParts, Now);
    }
    break;
  case AttemptOutcome::CallerGone:
    return;
  case AttemptOutcome::NotRun:
    ++m_refusedAttempts;
    Health = AttemptHealth::Refused;
    m_attempt.m_observation.m_endpointReplaced = m_attempt.m_endpointReplaced;
    m_attempt.m_observation.m_artifactRejected =
        !m_attempt.m_endpointReplaced && m_engineService;
    if (!m_attempt.m_endpointReplaced)
      Table.onRefused(Id, Now);
    if (m_attempt.m_endpointReplaced)
      Table.onReplaced(Id);
    else if (m_engineService)
      Table.onArtifactRejected(Id, m_query.m_model, m_query.m_adapter, Now);
    break;
  case AttemptOutcome::NotSent:
  case AttemptOutcome::HeldBack:
  case AttemptOutcome::MemoryShort:
  case AttemptOutcome::Superseded:
  case AttemptOutcome::Suspect:
    Health = AttemptHealth::Refused;
    break;
  case AttemptOutcome::NotConnected:
  case AttemptOutcome::Silent:
    Health = AttemptHealth::Silent;
    break;
  case AttemptOutcome::Failure:
  case AttemptOutcome::Broken:
    Health = AttemptHealth::Failed;
    break;
  case AttemptOutcome::Overrun:
    Health = AttemptHealth::Overrun;
    break;
  }
  Table.onHealth(Id, Health, Now);
  m_attempt.m_observation.m_health = Health;
  if (m_attempt.m_eventBatches > 1)
    m_attempt.m_observation.m_intervalMs =
        toMillis(m_lastEventsAt - m_attempt.m_firstEventsAt) /
        (m_attempt.m_eventBatches - 1);
  if (Outcome == AttemptOutcome::Delivered)
    return;
  const Endpoint *E = Table.find(Id);
  decisionlog::line(LogClass::Failure, "attempt")
      .text("id", m_requestMetadata.m_id)
      .text("endpoint", Id)
      .number("incarnation", static_cast<std::int64_t>(m_attempt.m_incarnation))
      .text("end", nameOf(AttemptOutcomeNames, Outcome))
      .number("closed_by_peer", m_attempt.m_closedByPeer ? 1 : 0)
      .number("connection_refused", m_attempt.m_connectionRefused ? 1 : 0)
      .number("event_batches", m_attempt.m_eventBatches)
      .real("answer_ms", toMillis(m_attempt.answerAge()))
      .hex("fingerprint", m_fingerprint)
      .number("strikes", m_core.m_suspects.strikes(m_fingerprint, Now))
      .number("status", m_attempt.m_status)
      .number("load", m_attempt.m_choice.m_load)
      .real("score_ms", m_attempt.m_choice.m_scoreMs)
      .real("failures", E ? E->m_failureShare : -1)
      .number("sends", m_sentAttempts)
      .real("list_age_ms", toMillis(Now - m_core.m_copyConfirmedAt))
      .number("leaving", m_attempt.m_observation.m_leaving ? 1 : 0)
      .real("pause_ms", toMillis(m_attempt.m_observation.m_pause))
      .text("model", m_query.m_model)
      .text("adapter", m_query.m_adapter);
  m_core.m_metrics->count("attempt_" +
                          std::string(nameOf(AttemptOutcomeNames, Outcome)));
}

} // namespace primroseworks::gateway
