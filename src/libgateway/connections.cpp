// The pool of outgoing HTTP connections, their time limits, and single calls.
#include "libgateway/connections.h"

#include <algorithm>

namespace primroseworks::gateway {

namespace {

/// Longest idle time that a peer's header is read as.
constexpr long MaxIdleSeconds = 86'400;

Duration idleLimitOf(const HttpHead &Head) {
  const std::string *Value = Head.find("keep-alive");
  if (!Value)
    return Connection::DefaultIdleLimit;
  const std::size_t At = Value->find("timeout=");
  if (At == std::string::npos)
    return Connection::DefaultIdleLimit;
  const long Whole = std::strtol(Value->c_str() + At + 8, nullptr, 10);
  return Whole > 0 ? Duration(Seconds(std::min(Whole, MaxIdleSeconds)))
                   : Duration(Milliseconds(500));
}

} // namespace

ConnectionPtr ConnectionPool::acquireIdle(const std::string &Key) {
  auto It = m_idle.find(Key);
  if (It == m_idle.end())
    return nullptr;
  const TimePoint Now = std::chrono::steady_clock::now();
  while (!It->second.empty()) {
    ConnectionPtr C = It->second.back();
    It->second.pop_back();
    ++C->m_idleGeneration;
    if (!C->m_open || Now - C->m_idleSince > C->m_idleLimit - IdleMargin) {
      C->close();
      continue;
    }
    // The connection is unusable if the peer has sent data or closed it and the
    // event loop has not processed that yet.
    if (C->look() != InputState::None) {
      C->close();
      continue;
    }
    C->interrupt();
    return C;
  }
  return nullptr;
}

asio::awaitable<Result<ConnectionPtr>>
ConnectionPool::acquire(std::string Key, std::string Address,
                        Milliseconds Timeout, Milliseconds SilenceTimeout) {
  if (ConnectionPtr Idle = acquireIdle(Key)) {
    Idle->m_reused = true;
    Idle->m_reader.reset();
    co_return Idle;
  }
  auto C = std::make_shared<Connection>(m_io, Key);
  const std::error_code Ec = co_await open(C, Address, Timeout, SilenceTimeout);
  if (Ec)
    co_return makeError(Ec == asio::error::connection_refused
                            ? ErrorKind::NotFound
                            : ErrorKind::Unavailable,
                        "no connection to " + Address + ": " + Ec.message() +
                            "; use another endpoint");
  co_return C;
}

/// Opens C; closes it and returns the error otherwise.
asio::awaitable<std::error_code>
ConnectionPool::open(ConnectionPtr C, std::string Address, Milliseconds Timeout,
                     Milliseconds SilenceTimeout) {
  const Result<asio::ip::tcp::endpoint> Target = parseAddress(Address);
  if (!Target)
    co_return make_error_code(std::errc::invalid_argument);
  Watchdog Guard(m_io);
  Guard.arm(C, std::chrono::steady_clock::now() + Timeout);
  ++m_opened;
  std::error_code Ec = co_await C->connect(Target.value(), SilenceTimeout);
  Guard.disarm();
  if (Guard.fired())
    Ec = asio::error::timed_out;
  if (Ec)
    C->close();
  co_return Ec;
}

asio::awaitable<ConnectOutcome>
ConnectionPool::probe(std::string Key, std::string Address,
                      Milliseconds Timeout, Milliseconds SilenceTimeout) {
  auto C = std::make_shared<Connection>(m_io, Key);
  const std::error_code Ec = co_await open(C, Address, Timeout, SilenceTimeout);
  if (!Ec) {
    releaseUnused(C, std::chrono::steady_clock::now());
    co_return ConnectOutcome::Accepted;
  }
  co_return Ec == asio::error::connection_refused ? ConnectOutcome::Refused
                                                  : ConnectOutcome::Unreachable;
}

void ConnectionPool::watchIdle(const ConnectionPtr &C) {
  const std::uint64_t Generation = C->m_idleGeneration;
  C->waitForInput([C, Generation](std::error_code Ec) {
    // Data received while idle belongs to no request.
    if (!Ec && C->m_idleGeneration == Generation)
      C->close();
  });
}

void ConnectionPool::release(const ConnectionPtr &C, TimePoint Now) {
  if (!C->m_open || !C->m_reader.complete() ||
      !C->m_reader.head().m_keepAlive || !C->inputDrained()) {
    C->close();
    return;
  }
  C->m_idleLimit = idleLimitOf(C->m_reader.head());
  addIdle(C, Now);
}

void ConnectionPool::releaseUnused(const ConnectionPtr &C, TimePoint Now) {
  if (C->m_open)
    addIdle(C, C->m_reused ? C->m_idleSince : Now);
}

void ConnectionPool::addIdle(const ConnectionPtr &C, TimePoint Now) {
  C->m_idleSince = Now;
  ++C->m_idleGeneration;
  m_idle[C->m_key].push_back(C);
  watchIdle(C);
}

void ConnectionPool::expire(TimePoint Now) {
  for (auto It = m_idle.begin(); It != m_idle.end();) {
    std::vector<ConnectionPtr> &List = It->second;
    for (std::size_t I = 0; I < List.size();) {
      if (List[I]->m_open &&
          Now - List[I]->m_idleSince <= List[I]->m_idleLimit - IdleMargin) {
        ++I;
        continue;
      }
      ++List[I]->m_idleGeneration;
      List[I]->close();
      List.erase(List.begin() + static_cast<std::ptrdiff_t>(I));
    }
    It = List.empty() ? m_idle.erase(It) : std::next(It);
  }
}

void ConnectionPool::drop(const std::string &Key) {
  auto It = m_idle.find(Key);
  if (It == m_idle.end())
    return;
  for (const ConnectionPtr &C : It->second) {
    ++C->m_idleGeneration;
    C->close();
  }
  m_idle.erase(It);
}

void Watchdog::arm(TimePoint At, Action OnExpired, Extension Extend) {
  m_state->m_fired = false;
  m_state->m_onExpired = std::move(OnExpired);
  const std::uint64_t Generation = ++m_state->m_generation;
  m_timer.expires_at(At);
  m_timer.async_wait([this, Generation, State = m_state,
                      Extend = std::move(Extend)](std::error_code Ec) {
    // A cancelled timer whose time has passed completes without an error. An
    // unchanged generation means that this object still exists.
    if (Ec || State->m_generation != Generation)
      return;
    const TimePoint Now = std::chrono::steady_clock::now();
    try {
      const TimePoint Next = Extend ? Extend(Now) : Now;
      if (Next > Now) {
        arm(Next, Action(State->m_onExpired), Extend);
        return;
      }
    } catch (const std::exception &) {
      // A wait that cannot be extended ends: without a timer it might not.
    }
    expire(*State);
  });
}

void Watchdog::arm(const ConnectionPtr &C, TimePoint At, Extension Extend) {
  arm(
      At, [C] { C->close(); }, std::move(Extend));
}

void Watchdog::expire(State &S) {
  S.m_fired = true;
  const Action OnExpired = std::move(S.m_onExpired);
  S.m_onExpired = nullptr;
  OnExpired();
}

void Watchdog::expireNow() {
  if (!m_state->m_onExpired)
    return;
  const std::shared_ptr<State> Expiring = m_state;
  ++Expiring->m_generation;
  m_timer.cancel();
  expire(*Expiring);
}

void Watchdog::disarm() {
  ++m_state->m_generation;
  m_state->m_onExpired = nullptr;
  m_timer.cancel();
}

asio::awaitable<Result<HttpClientResponse>>
callHttp(asio::io_context &Io, ConnectionPool &Pool, std::string Key,
         std::string Address, std::string Request, CallLimits Limits,
         ConnectionReuse Reuse) {
  const TimePoint Begin = std::chrono::steady_clock::now();
  const Milliseconds Silence = Limits.m_silence;
  Result<ConnectionPtr> Opened =
      co_await Pool.acquire(Key, Address, Silence, Silence);
  if (!Opened)
    co_return makeError(ErrorKind::Unavailable, Opened.error().m_message);
  ConnectionPtr C = Opened.value();
  if (Limits.m_handle)
    Limits.m_handle->begin(C);
  const TimePoint End = Begin + Limits.m_total;
  MemoryClaimPtr Memory;
  if (Pool.memory()) {
    Memory = Pool.memory()->claim(MemoryKind::Call, Address);
    Memory->setRevocation([C] {
      C->close();
      (void)C->m_reader.takeBody();
    });
  }
  TimePoint SilentSince = Begin;
  Watchdog Guard(Io);
  Guard.arm(C, std::min(End, Begin + Silence),
            [&SilentSince, Silence, End](TimePoint) {
              return std::min(End, SilentSince + Silence);
            });
  Result<void> Step = co_await C->send(std::move(Request));
  bool Fits = true;
  unsigned Interim = 0;
  while (Step && Fits && !C->m_reader.complete()) {
    Step = co_await C->readSome();
    if (Step && C->m_reader.complete() && C->m_reader.head().isInterim()) {
      if (++Interim > MaxInterimResponsesOfCall)
        Step = makeError(ErrorKind::Protocol, "too many interim responses");
      else
        C->m_reader.reset();
    }
    SilentSince = std::chrono::steady_clock::now();
    Fits = C->m_reader.bodySize() <= Limits.m_bodyBytes &&
           C->m_reader.head().m_length.value_or(0) <= Limits.m_bodyBytes &&
           (!Memory || Memory->resize(C->memoryBytes()));
  }
  Guard.disarm();
  if (Limits.m_handle)
    Limits.m_handle->finish();
  if (!Step || !Fits) {
    C->close();
    if (!Fits)
      co_return makeError(ErrorKind::Full,
                          "the response from " + Address + " exceeds " +
                              std::to_string(Limits.m_bodyBytes) +
                              " bytes, or memory is short; check what listens "
                              "at this address");
    co_return makeError(
        ErrorKind::Timeout,
        "no complete response from " + Address + ": " +
            (Step ? std::string("timed out") : Step.error().m_message));
  }
  HttpClientResponse Response{C->m_reader.head(), C->m_reader.takeBody()};
  if (Reuse == ConnectionReuse::Always || Response.m_head.isSuccess())
    Pool.release(C, std::chrono::steady_clock::now());
  else
    C->close();
  co_return Response;
}

} // namespace primroseworks::gateway
