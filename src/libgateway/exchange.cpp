// The life of one request: route, endpoint, attempts, answer.
#include "libgateway/exchange.h"
#include "libgateway/log.h"
#include "libgateway/retryafter.h"
#include "primroseworks/hash.h"

#include <algorithm>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>

namespace primroseworks::gateway {

namespace {

TimePoint clockNow() { return std::chrono::steady_clock::now(); }

constexpr unsigned StatusMisdirected = 421;

bool isSuccess(unsigned Status) { return Status >= 200 && Status < 300; }

/// Hash of the parts of the prompt that other requests may share: all but the
/// last.
std::uint64_t affinityOf(const RequestFacts &Facts) {
  if (Facts.m_prompt.size() < 2)
    return 0;
  std::uint64_t Hash = 0;
  for (std::size_t I = 0; I + 1 < Facts.m_prompt.size(); ++I)
    Hash = Hash * 1099511628211ULL + Facts.m_prompt[I].m_id;
  return Hash | 1;
}

const std::string &drawService(const Route &R, std::mt19937_64 &Random) {
  double Sum = 0;
  for (const WeightedService &S : R.m_services)
    Sum += S.m_weight;
  double Drawn = std::uniform_real_distribution<double>(0, Sum)(Random);
  for (const WeightedService &S : R.m_services) {
    Drawn -= S.m_weight;
    if (Drawn <= 0)
      return S.m_service;
  }
  return R.m_services.back().m_service;
}

} // namespace

Exchange::Exchange(Core &Shared, asio::ip::tcp::socket &Caller, HttpHead Head,
                   std::string Body, TimePoint Arrived)
    : m_core(Shared), m_caller(Caller), m_head(std::move(Head)),
      m_body(std::move(Body)), m_arrived(Arrived), m_wake(Shared.m_io) {}

void Exchange::onCallerGone() {
  m_gone = true;
  m_wake.cancel();
  if (m_connection)
    m_connection->close();
}

void Exchange::onPlaced(const Choice &Where) {
  m_placed = true;
  m_choice = Where;
  m_ticket = 0;
  m_core.m_endpoints.onSent(Where.m_endpoint, m_query.m_size);
  m_core.noteLoadChanged(Where.m_endpoint);
  m_promptRead = false;
  m_core.m_demand.onStarted(m_query.m_model, m_query.m_adapter);
  m_wake.cancel();
}

asio::awaitable<bool> Exchange::run() {
  m_keep = m_head.m_keepAlive;
  const bool Keep = co_await serve();
  const TimePoint Now = clockNow();
  if (m_gone && m_outcome.empty()) {
    m_outcome = "caller_gone";
    m_reason = "caller_closed_its_connection";
  }
  logEnd(Now);
  co_return Keep && !m_gone && m_keep;
}

/// Fills what the decisions need from the request, its route and the time.
void Exchange::describe(TimePoint Now) {
  m_facts = m_core.m_dialect.requestFacts(m_head);
  m_lastEvent = m_facts.m_lastEventId;
  Duration Limit = m_route->m_timeout;
  if (m_facts.m_deadline)
    Limit = std::min<Duration>(Limit, *m_facts.m_deadline);
  m_endBy = m_arrived + Limit;
  m_query.m_service = drawService(*m_route, m_core.m_random);
  m_query.m_model = m_facts.m_model;
  m_query.m_adapter = m_facts.m_adapter;
  m_query.m_size = {m_facts.kvTokens(), m_facts.m_promptTokens};
  m_query.m_rank = m_route->m_rank;
  m_query.m_affinity = affinityOf(m_facts);
  m_query.m_mayProbe = m_route->mayRunAgain();
  m_query.m_choosers = m_core.m_members;
  m_query.m_spreadSeed = m_core.m_random();
  auto Target = m_configuration->m_services.find(m_query.m_service);
  m_engine = Target != m_configuration->m_services.end() &&
             Target->second.m_engine.has_value();
  m_fingerprint = hash::number(m_head.m_method + ' ' + m_head.m_target + '\n' +
                               m_facts.m_model + '\n' + m_body);
  m_core.retries(m_query.m_service).onRequest(Now);
  if (m_engine)
    m_core.m_demand.onRequest(m_query.m_model, m_query.m_adapter);
}

/// Rejects a request that came before the configuration did.
asio::awaitable<bool> Exchange::rejectUnconfigured(TimePoint Now) {
  m_facts = m_core.m_dialect.requestFacts(m_head);
  Rejection R;
  R.m_left = m_facts.m_deadline.value_or(Milliseconds::zero());
  R.m_local = Now - m_core.m_startedAt < ConfigurationUsual;
  R.m_drawn = std::uniform_real_distribution<double>(0, 1)(m_core.m_random);
  const Duration After = retryAfter(R);
  co_return co_await answerOwn(503, "no_configuration", After);
}

asio::awaitable<bool> Exchange::serve() {
  const TimePoint Start = clockNow();
  m_configuration = m_core.m_configuration;
  if (!m_configuration)
    co_return co_await rejectUnconfigured(Start);
  const std::string *Host = m_head.find("host");
  if (!Host)
    co_return co_await answerOwn(400, "no_host", Duration::zero());
  m_route = m_configuration->find(*Host, m_head.path());
  if (!m_route)
    co_return co_await answerOwn(404, "no_route", Duration::zero());
  describe(Start);
  // A request that crashed several endpoints comes again with the same path,
  // model and body.
  if (m_core.m_suspects.refused(m_fingerprint, Start))
    co_return co_await answerOwn(
        503, "crashes_endpoints",
        m_core.m_suspects.remaining(m_fingerprint, Start));
  for (;;) {
    if (clockNow() >= m_endBy)
      co_return co_await fail("time_limit");
    if (!co_await acquireEndpoint()) {
      if (m_gone)
        co_return false;
      co_return co_await rejectNotRun(
          std::string("no_endpoint_") +
          std::string(nameOf(ChoiceObstacleNames, m_choice.m_obstacle)));
    }
    if (m_gone) {
      m_core.release(m_choice.m_endpoint, m_query, false, clockNow());
      co_return false;
    }
    const std::string Endpoint = m_choice.m_endpoint;
    const AttemptEnd End = co_await attempt();
    const TimePoint Now = clockNow();
    if (m_connection && End != AttemptEnd::Delivered)
      m_connection->close();
    m_connection = nullptr;
    noteAttempt(End, Now);
    m_core.release(Endpoint, m_query, m_promptRead, Now);
    if (End == AttemptEnd::Delivered)
      co_return true;
    if (m_gone || End == AttemptEnd::CallerGone)
      co_return false;
    m_query.m_excluded.push_back(Endpoint);
    const bool Unconnected = End == AttemptEnd::NotConnected;
    const bool Again =
        Unconnected || ((End == AttemptEnd::NotRun || m_route->mayRunAgain()) &&
                        mayRepeat(Now));
    if (Again)
      continue;
    co_return co_await afterAttempt(End);
  }
}

/// Ends a request whose last attempt failed and that is not sent again.
asio::awaitable<bool> Exchange::afterAttempt(AttemptEnd End) {
  if (End == AttemptEnd::Failure && !m_committed)
    co_return co_await deliver(m_failure.m_head, std::move(m_failure.m_body));
  if (End == AttemptEnd::NotRun)
    co_return co_await rejectNotRun("endpoint_refused");
  co_return co_await fail("endpoint_" +
                          std::string(nameOf(AttemptEndNames, End)));
}

/// Whether one more endpoint may get the request: attempts, time and the
/// service's retry limit allow it.
bool Exchange::mayRepeat(TimePoint Now) {
  if (m_sends >= m_route->m_maxAttempts || Now >= m_endBy)
    return false;
  if (m_core.retries(m_query.m_service).take(m_core.m_members, Now))
    return true;
  m_core.m_metrics->count("retry_limit_reached");
  return false;
}

/// Whether another endpoint could have the request at once.
bool Exchange::canMove(TimePoint Now) {
  if (m_sends >= m_route->m_maxAttempts ||
      !m_core.retries(m_query.m_service).allows(m_core.m_members, Now))
    return false;
  ChoiceQuery Query = m_query;
  Query.m_excluded.push_back(m_choice.m_endpoint);
  return m_core.choose(Query, Now).m_obstacle == ChoiceObstacle::None;
}

/// An endpoint that is silent for long may still answer: it is given up only
/// for another one that has a place, or at the end.
Watchdog::Extension Exchange::keepUnlessMovable() {
  return [this](TimePoint Now) {
    const TimePoint End = m_endBy + DeadlineGrace;
    if (Now >= End || canMove(Now))
      return Now;
    return std::min<TimePoint>(End, Now + MoveLookPause);
  };
}

/// Longest wait for an endpoint that still leaves the answer a use.
Duration Exchange::waitLimit(TimePoint Now) const {
  if (m_committed)
    return StreamStallTimeout;
  const Duration ToEnd = fromSeconds(toSeconds(m_endBy - Now) * WaitShare);
  const Duration ToLeave =
      m_arrived + Duration(m_route->patience()) * 7 / 10 - Now;
  return std::max(Duration::zero(), std::min(ToEnd, ToLeave));
}

/// Wait that is known to lie ahead of the request; zero if nothing is known.
Duration Exchange::expectedWait(ChoiceObstacle Obstacle, TimePoint Now) const {
  if (Obstacle == ChoiceObstacle::NoModel) {
    const auto Target = m_configuration->m_services.find(m_query.m_service);
    if (Target != m_configuration->m_services.end() &&
        Target->second.m_engine) {
      const auto &Models = Target->second.m_engine->m_models;
      const auto Model = Models.find(m_query.m_model);
      if (Model != Models.end())
        return Model->second.m_loadTime;
    }
  }
  return m_core.m_queue.expectedWait(m_query, Now).value_or(Duration::zero());
}

asio::awaitable<bool> Exchange::acquireEndpoint() {
  TimePoint Now = clockNow();
  m_placed = false;
  ChoiceObstacle Obstacle = ChoiceObstacle::Full;
  if (m_core.m_queue.empty()) {
    const Choice C = m_core.choose(m_query, Now);
    if (C.m_obstacle == ChoiceObstacle::None) {
      onPlaced(C);
      co_return true;
    }
    m_choice = C;
    Obstacle = C.m_obstacle;
  }
  // Endpoints that failed a request are tried again only if nothing was sent
  // to them: the others may have run it.
  if (Obstacle == ChoiceObstacle::Excluded) {
    if (m_sends > 0)
      co_return false;
    m_query.m_excluded.clear();
  }
  const Duration Patience = waitLimit(Now);
  if (m_core.m_turningAway && !m_committed) {
    m_choice.m_obstacle = Obstacle;
    co_return false;
  }
  if (expectedWait(Obstacle, Now) > Patience) {
    m_choice.m_obstacle = Obstacle;
    co_return false;
  }
  const TimePoint OnTimeUntil =
      m_committed ? TimePoint::max()
                  : m_arrived + Duration(m_route->m_target) * 6 / 10;
  m_ticket = m_core.m_queue.add(m_query, Obstacle, OnTimeUntil, Now);
  if (m_ticket == 0) {
    m_core.m_metrics->count("wait_queue_full");
    co_return false;
  }
  const TicketId Id = m_ticket;
  m_core.m_waiters[Id] = this;
  if (m_core.m_queue.size() > 1)
    m_core.placeWaiting(Now);
  if (!m_placed) {
    if (!m_query.m_adapter.empty() && m_core.m_onAdapterWanted)
      m_core.m_onAdapterWanted();
    m_wake.expires_at(Now + Patience);
    std::error_code Ignored;
    co_await m_wake.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
  }
  m_waited += clockNow() - Now;
  if (m_placed)
    co_return true;
  m_core.m_queue.visit([&](const Ticket &T) {
    if (T.m_id == Id)
      m_choice.m_obstacle = T.m_obstacle;
  });
  m_core.m_queue.remove(Id);
  m_core.m_waiters.erase(Id);
  m_ticket = 0;
  co_return false;
}

/// Head and body for the endpoint; the gateway's own headers are set anew.
std::string Exchange::requestBytes(TimePoint Now) const {
  std::string Out = m_head.m_method + ' ' + m_head.m_target + " HTTP/1.1\r\n";
  for (const HttpHeader &H : m_head.m_headers) {
    if (m_head.isHopByHop(H) || H.m_lowerName == "content-length" ||
        !m_core.m_dialect.forwardsHeader(H.m_lowerName))
      continue;
    Out += H.m_name + ": " + H.m_value + "\r\n";
  }
  AttemptFacts Facts;
  Facts.m_endpoint = m_choice.m_endpoint;
  Facts.m_deadline = std::max(
      Milliseconds(1), std::chrono::duration_cast<Milliseconds>(m_endBy - Now));
  Facts.m_rank = m_route->m_rank;
  Facts.m_lastEventId = m_lastEvent;
  Facts.m_engine = m_engine;
  Out += m_core.m_dialect.attemptHeaders(Facts);
  if (!m_body.empty() || m_head.m_length || m_head.m_chunked)
    Out += "Content-Length: " + std::to_string(m_body.size()) + "\r\n";
  Out += "\r\n";
  Out += m_body;
  return Out;
}

/// When an attempt without an answer is given up.
TimePoint Exchange::attemptLimit(TimePoint Now) const {
  const TimePoint End = m_endBy + DeadlineGrace;
  if (!m_route->mayRunAgain() || m_sends >= m_route->m_maxAttempts)
    return End;
  if (m_route->m_kind == RouteKind::Stream)
    return std::min<TimePoint>(
        End, Now + std::max<Duration>(FirstEventLimit, 2 * m_route->m_target));
  const Duration Half = (m_endBy - Now) / 2;
  return std::min<TimePoint>(End,
                             Now + std::max<Duration>(RepeatableLimit, Half));
}

asio::awaitable<AttemptEnd> Exchange::attempt() {
  m_endedByPeer = false;
  m_endpointReplaced = false;
  m_attemptStatus = 0;
  const Endpoint *E = m_core.m_endpoints.find(m_choice.m_endpoint);
  if (!E)
    co_return AttemptEnd::NotConnected;
  const std::string Address = E->m_record.m_address;
  const std::string Key = m_choice.m_endpoint + '@' + Address;
  TimePoint Now = clockNow();
  const Milliseconds Left =
      std::chrono::duration_cast<Milliseconds>(m_endBy - Now);
  Result<ConnectionPtr> Opened = co_await m_core.m_pool.acquire(
      Key, Address, std::min(EndpointConnectLimit, Left), EndpointSilenceLimit);
  if (!Opened) {
    co_return m_gone ? AttemptEnd::CallerGone : AttemptEnd::NotConnected;
  }
  ConnectionPtr C = Opened.value();
  if (m_gone) {
    // Nothing was sent, so the connection stays good for others.
    C->close();
    co_return AttemptEnd::CallerGone;
  }
  // The endpoint may have begun to leave while the connection was opened.
  E = m_core.m_endpoints.find(m_choice.m_endpoint);
  if (!E || E->m_record.m_draining) {
    C->close();
    co_return AttemptEnd::NotConnected;
  }
  Now = clockNow();
  if (Now >= m_endBy) {
    C->close();
    co_return AttemptEnd::NotConnected;
  }
  m_connection = C;
  m_sentAt = Now;
  m_paused = false;
  ++m_sends;
  Watchdog Dog(m_core.m_io);
  Dog.arm(C, attemptLimit(Now), keepUnlessMovable());
  const Result<void> Sent = co_await C->send(requestBytes(Now));
  AttemptEnd End = AttemptEnd::Broken;
  // An endpoint may answer and close before it has read a long body.
  if (Sent || !m_gone) {
    Result<void> HeadRead = boost::outcome_v2::success();
    for (;;) {
      while (HeadRead && !C->m_reader.headComplete())
        HeadRead = co_await C->readSome();
      if (!HeadRead)
        break;
      const AnswerFacts Facts =
          m_core.m_dialect.answerFacts(C->m_reader.head());
      if (Facts.m_requestId.empty() || Facts.m_requestId == m_facts.m_id)
        break;
      // A late second answer to an earlier request of the connection.
      m_core.m_metrics->count("foreign_answer");
      while (HeadRead && !C->m_reader.complete())
        HeadRead = co_await C->readSome();
      if (HeadRead)
        C->m_reader.reset();
    }
    if (HeadRead) {
      m_core.m_endpoints.onFirstByte(m_choice.m_endpoint, clockNow() - Now);
      const bool Events = m_route->m_kind == RouteKind::Stream &&
                          isSuccess(C->m_reader.head().m_status);
      End = Events ? co_await relayEvents(C, Dog) : co_await readAnswer(C);
    }
  }
  const bool TimedOut = Dog.fired();
  Dog.disarm();
  if (m_gone)
    co_return AttemptEnd::CallerGone;
  if (End == AttemptEnd::Broken) {
    m_mayHaveRun = true;
    m_endedByPeer = !TimedOut;
    co_return TimedOut ? AttemptEnd::Silent : AttemptEnd::Broken;
  }
  if (End == AttemptEnd::Failure)
    m_mayHaveRun = true;
  co_return End;
}

/// Reads a whole answer that is not a stream and delivers it, unless the
/// request may be sent once more.
asio::awaitable<AttemptEnd> Exchange::readAnswer(ConnectionPtr C) {
  std::string Body;
  for (;;) {
    Body += C->m_reader.takeBody();
    if (C->m_reader.complete())
      break;
    if (Body.size() > AnswerBodyLimit)
      co_return AttemptEnd::Broken;
    const Result<void> Step = co_await C->readSome();
    if (!Step) {
      co_return AttemptEnd::Broken;
    }
  }
  const HttpHead Head = C->m_reader.head();
  m_attemptStatus = Head.m_status;
  const AnswerFacts Facts = m_core.m_dialect.answerFacts(Head);
  m_core.m_pool.release(C, clockNow());
  m_connection = nullptr;
  if (Facts.m_notExecuted || Head.m_status == StatusMisdirected) {
    if (Head.m_status == StatusMisdirected && !Facts.m_endpoint.empty() &&
        Facts.m_endpoint != m_choice.m_endpoint)
      m_endpointReplaced = true;
    co_return AttemptEnd::NotRun;
  }
  if (isSuccess(Head.m_status)) {
    if (!Facts.m_signed || Facts.m_encoded)
      co_return AttemptEnd::Broken;
    (void)co_await deliver(Head, std::move(Body));
    co_return AttemptEnd::Delivered;
  }
  m_failure = HttpAnswer{Head, std::move(Body)};
  co_return AttemptEnd::Failure;
}

/// The first event of an attempt came: its prompt is read.
void Exchange::notePromptRead() {
  const TimePoint Now = clockNow();
  m_promptRead = true;
  m_core.m_endpoints.onPromptRead(m_choice.m_endpoint, m_query.m_size);
  m_core.noteLoadChanged(m_choice.m_endpoint);
  m_core.m_endpoints.onFirstEvent(m_query.m_service, Now - m_sentAt,
                                  m_choice.m_tokensAhead +
                                      m_query.m_size.m_promptTokens);
  m_core.placeWaiting(Now);
}

/// Events came after a pause: one over the route's target makes the answer late
/// and tells that the engine is slow, however fast its first events are.
void Exchange::notePause(TimePoint Now) {
  const Duration Pause = Now - m_lastRead;
  m_longestPause = std::max(m_longestPause, Pause);
  m_core.m_endpoints.onInterval(m_choice.m_endpoint, Pause);
  if (m_paused || m_route->m_gapTarget == Milliseconds::zero() ||
      Pause <= m_route->m_gapTarget)
    return;
  m_paused = true;
  m_core.m_endpoints.onPause(m_choice.m_endpoint, true);
}

/// Sends whole events to the caller as they come. The answer's head goes out
/// with the first event, so that until then another endpoint may be used.
asio::awaitable<AttemptEnd> Exchange::relayEvents(ConnectionPtr C,
                                                  Watchdog &Dog) {
  const HttpHead Head = C->m_reader.head();
  const AnswerFacts Facts = m_core.m_dialect.answerFacts(Head);
  if (!Facts.m_signed || Facts.m_encoded)
    co_return AttemptEnd::Broken;
  EventSplitter Splitter;
  const bool MayMove = m_route->m_resumable && m_sends < m_route->m_maxAttempts;
  for (;;) {
    Splitter.add(C->m_reader.takeBody());
    std::string Ready;
    bool Gap = false;
    while (std::optional<StreamEvent> Event = Splitter.next()) {
      if (Event->m_id) {
        if (m_lastEvent && *Event->m_id <= *m_lastEvent)
          continue; // The caller has it.
        if (m_lastEvent && *Event->m_id != *m_lastEvent + 1) {
          m_core.m_metrics->count("stream_gap_refused");
          Gap = true;
          break;
        }
        m_lastEvent = Event->m_id;
      }
      Ready += Event->m_bytes;
    }
    if (!Ready.empty()) {
      if (!m_promptRead)
        notePromptRead();
      else
        notePause(clockNow());
      m_lastRead = clockNow();
    }
    // What came whole is passed on even if the stream then breaks: it counts
    // as sent, and another endpoint goes on behind it.
    const bool Cut = Gap || (C->m_reader.complete() && Splitter.pending() > 0);
    const bool Done = C->m_reader.complete() && !Cut;
    std::string Out;
    if ((!Ready.empty() || Done) && !m_committed) {
      m_committed = true;
      m_firstByte = clockNow();
      m_status = Head.m_status;
      Out = answerHead(Head, true, 0);
    }
    if (!Ready.empty())
      Out += fmt::format("{:x}\r\n", Ready.size()) + Ready + "\r\n";
    if (Done) {
      Out += "0\r\n\r\n";
      m_core.m_pool.release(C, clockNow());
      m_connection = nullptr;
    }
    if (!Out.empty() && !co_await write(std::move(Out)))
      co_return AttemptEnd::CallerGone;
    if (Done) {
      if (!m_paused)
        m_core.m_endpoints.onPause(m_choice.m_endpoint, false);
      m_outcome = "ran";
      co_return AttemptEnd::Delivered;
    }
    if (Cut)
      co_return AttemptEnd::Broken;
    if (!Ready.empty()) {
      const TimePoint End = m_endBy + DeadlineGrace;
      Dog.arm(C,
              MayMove
                  ? std::min<TimePoint>(End, clockNow() + StreamStallTimeout)
                  : End,
              keepUnlessMovable());
    }
    const Result<void> Step = co_await C->readSome();
    if (!Step)
      co_return AttemptEnd::Broken;
  }
}

std::string Exchange::answerHead(const HttpHead &Head, bool Chunked,
                                 std::size_t Length) const {
  std::string Out = statusLine(Head.m_status);
  for (const HttpHeader &H : Head.m_headers)
    if (!Head.isHopByHop(H) && H.m_lowerName != "content-length")
      Out += H.m_name + ": " + H.m_value + "\r\n";
  Out += Chunked ? std::string("Transfer-Encoding: chunked\r\n")
                 : "Content-Length: " + std::to_string(Length) + "\r\n";
  if (!m_keep || m_core.m_stopping)
    Out += "Connection: close\r\n";
  return Out + "\r\n";
}

asio::awaitable<bool> Exchange::deliver(const HttpHead &Head,
                                        std::string Body) {
  m_firstByte = clockNow();
  m_status = Head.m_status;
  m_committed = true;
  m_outcome = isSuccess(Head.m_status) ? "ran" : "endpoint_failure";
  std::string Out = answerHead(Head, false, Body.size());
  Out += Body;
  const bool Written = co_await write(std::move(Out));
  if (m_core.m_stopping)
    m_keep = false;
  co_return Written;
}

asio::awaitable<bool> Exchange::write(std::string Bytes) {
  if (m_gone)
    co_return false;
  std::error_code Ec;
  co_await asio::async_write(m_caller, asio::buffer(Bytes),
                             asio::redirect_error(asio::use_awaitable, Ec));
  if (Ec)
    m_gone = true;
  co_return !Ec;
}

/// An answer of the gateway itself. RetryAfter zero leaves the header out.
asio::awaitable<bool> Exchange::answerOwn(unsigned Status, std::string Reason,
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
  if (!m_keep || m_core.m_stopping) {
    Out += "Connection: close\r\n";
    m_keep = false;
  }
  Out += "\r\n" + Body;
  co_return co_await write(std::move(Out));
}

/// When the caller should come back.
Duration Exchange::retryAfterNow(TimePoint Now) {
  Rejection R;
  R.m_left = std::max(Duration::zero(), m_endBy - Now);
  if (m_route)
    R.m_onTimeLeft = m_arrived + Duration(m_route->m_target) - Now;
  R.m_expected = expectedWait(m_choice.m_obstacle, Now);
  R.m_local = m_core.m_turningAway || m_core.m_stopping;
  R.m_drawn = std::uniform_real_distribution<double>(0, 1)(m_core.m_random);
  return retryAfter(R);
}

asio::awaitable<bool> Exchange::rejectNotRun(std::string Reason) {
  if (m_mayHaveRun || m_committed)
    co_return co_await fail(std::move(Reason));
  const Duration After = retryAfterNow(clockNow());
  co_return co_await answerOwn(503, std::move(Reason), After);
}

/// Ends a request of which nobody knows whether it ran, or whose answer broke
/// off. A closed connection is the only way to say so within an answer.
asio::awaitable<bool> Exchange::fail(std::string Reason) {
  if (m_committed) {
    m_outcome = "broken_off";
    m_reason = std::move(Reason);
    m_keep = false;
    co_return false;
  }
  // An earlier attempt's own answer tells more than a failure of ours.
  if (m_failure.m_head.m_status != 0)
    co_return co_await deliver(m_failure.m_head, std::move(m_failure.m_body));
  if (!m_mayHaveRun) {
    const Duration After = retryAfterNow(clockNow());
    co_return co_await answerOwn(503, std::move(Reason), After);
  }
  const bool Late = clockNow() >= m_endBy;
  co_return co_await answerOwn(Late ? 504 : 502, std::move(Reason),
                               Duration::zero());
}

/// What the attempt tells about the endpoint and the request.
void Exchange::noteAttempt(AttemptEnd End, TimePoint Now) {
  EndpointTable &Table = m_core.m_endpoints;
  const std::string &Id = m_choice.m_endpoint;
  AttemptHealth Health = AttemptHealth::Good;
  switch (End) {
  case AttemptEnd::Delivered:
    m_core.m_suspects.onCompleted(m_fingerprint);
    break;
  case AttemptEnd::CallerGone:
    return;
  case AttemptEnd::NotRun:
    Health = AttemptHealth::Refused;
    if (m_endpointReplaced)
      Table.onReplaced(Id);
    else if (m_engine)
      Table.onRefusedArtifact(Id, m_query.m_model, m_query.m_adapter, Now);
    break;
  case AttemptEnd::NotConnected:
  case AttemptEnd::Silent:
    Health = AttemptHealth::Silent;
    break;
  case AttemptEnd::Failure:
  case AttemptEnd::Broken:
    Health = AttemptHealth::Failed;
    break;
  }
  Table.onHealth(Id, Health, Now);
  if (End == AttemptEnd::Broken && m_endedByPeer && m_engine)
    if (const Endpoint *E = Table.find(Id))
      m_core.m_suspects.strike(
          m_fingerprint,
          CrashSuspects::crashId(Id, E->m_record.m_incarnation + 1), Now);
  if (End == AttemptEnd::Delivered)
    return;
  const Endpoint *E = Table.find(Id);
  decisionlog::line(LogClass::Failure, "attempt")
      .text("id", m_facts.m_id)
      .text("endpoint", Id)
      .text("end", nameOf(AttemptEndNames, End))
      .number("status", m_attemptStatus)
      .number("load", m_choice.m_load)
      .real("score_ms", m_choice.m_scoreMs)
      .real("failures", E ? E->m_failures : -1)
      .number("sends", m_sends)
      .real("list_age_ms", toMillis(Now - m_core.m_endpointsAt))
      .text("model", m_query.m_model)
      .text("adapter", m_query.m_adapter);
  m_core.m_metrics->count("attempt_" +
                          std::string(nameOf(AttemptEndNames, End)));
}

void Exchange::logEnd(TimePoint Now) const {
  const bool Good = m_outcome == "ran";
  const Duration FirstByte =
      m_firstByte == TimePoint{} ? Duration::zero() : m_firstByte - m_arrived;
  const std::string Kind =
      m_route ? std::string(nameOf(RouteKindNames, m_route->m_kind)) : "none";
  const unsigned Rank = m_route ? m_route->m_rank : 0;
  const std::string Reason = m_reason.empty() ? "none" : m_reason;
  m_core.m_metrics->request(Kind, Rank, m_outcome, Reason, m_waited, FirstByte,
                            Now - m_arrived);
  const bool Late = Good && m_route &&
                    (FirstByte > m_route->m_target ||
                     (m_route->m_gapTarget > Milliseconds::zero() &&
                      m_longestPause > m_route->m_gapTarget));
  decisionlog::line(Good && !Late ? LogClass::Success : LogClass::Failure,
                    "request")
      .text("id", m_facts.m_id)
      .text("route", m_route ? m_route->m_name : "")
      .text("outcome", Late ? "late" : m_outcome)
      .text("reason", Reason)
      .number("status", m_status)
      .text("endpoint", m_choice.m_endpoint)
      .text("obstacle", nameOf(ChoiceObstacleNames, m_choice.m_obstacle))
      .number("load", m_choice.m_load)
      .number("candidates", m_choice.m_candidates)
      .number("sends", m_sends)
      .real("waited_ms", toMillis(m_waited))
      .real("first_ms", toMillis(FirstByte))
      .real("pause_ms", toMillis(m_longestPause))
      .real("total_ms", toMillis(Now - m_arrived))
      .text("model", m_query.m_model)
      .text("adapter", m_query.m_adapter)
      .number("rank", Rank)
      .number("config", m_configuration ? static_cast<std::int64_t>(
                                              m_configuration->m_version)
                                        : 0)
      .real("config_age_ms", toMillis(Now - m_core.m_configurationAt))
      .number("waiting", static_cast<std::int64_t>(m_core.m_queue.size()));
}

} // namespace primroseworks::gateway
