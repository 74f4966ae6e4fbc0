// Implementation of outgoing HTTP connections.
#include "libgateway/connections.h"

#include <algorithm>
#include <array>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>
#include <charconv>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace primroseworks::gateway {

namespace {

constexpr int KeepAliveProbes = 2;

template <class T> void setOption(int Socket, int Level, int Name, T Value) {
  // On failure the kernel's default stays in effect, which only delays the
  // detection of an unresponsive peer.
  (void)setsockopt(Socket, Level, Name, &Value, sizeof(Value));
}

/// Longest idle time that a peer's header is read as.
constexpr long MaxIdleSeconds = 86'400;

/// Whether the peer closed or reset the connection; not if it cannot be
/// reached.
bool isClose(std::error_code Ec) {
  return Ec == asio::error::eof || Ec == asio::error::connection_reset ||
         Ec == asio::error::broken_pipe;
}

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

Result<asio::ip::tcp::endpoint> parseAddress(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  std::error_code Ec;
  const auto Ip = asio::ip::make_address(
      Colon == std::string::npos ? Text : Text.substr(0, Colon), Ec);
  unsigned short Port = 0;
  if (Colon != std::string::npos) {
    const char *End = Text.data() + Text.size();
    const auto [Rest, Error] =
        std::from_chars(Text.data() + Colon + 1, End, Port);
    if (Error != std::errc() || Rest != End)
      Port = 0;
  }
  if (Ec || Port == 0)
    return makeError(ErrorKind::InvalidArgument,
                     "'" + Text + "' is not a valid address; write IP:PORT");
  return asio::ip::tcp::endpoint(Ip, Port);
}

void prepareSocket(asio::ip::tcp::socket &Socket, Milliseconds SilenceTimeout) {
  const int Fd = Socket.native_handle();
  const int Pause = static_cast<int>(
      std::max<long>(1, SilenceTimeout.count() / 1000 / KeepAliveProbes));
  setOption(Fd, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(Fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Fd, IPPROTO_TCP, TCP_KEEPIDLE, Pause);
  setOption(Fd, IPPROTO_TCP, TCP_KEEPINTVL, Pause);
  setOption(Fd, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
  setOption(Fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<unsigned>(SilenceTimeout.count()));
}

/// Keeps how the connection ended. Waits that were cancelled here do not end
/// it.
void Connection::recordEnd(std::error_code Ec) {
  if (Ec && Ec != asio::error::operation_aborted && !m_end)
    m_end = Ec;
}

/// Whether the peer closed its side before anything else ended the connection.
/// A send after that is answered by a reset, which the kernel reports as a
/// broken pipe.
bool Connection::endedInOrder() const {
  return m_end == asio::error::eof || m_end == asio::error::broken_pipe;
}

asio::awaitable<std::error_code>
Connection::connect(asio::ip::tcp::endpoint Peer, Milliseconds SilenceTimeout) {
  std::error_code Ec;
  co_await m_socket.async_connect(
      Peer, asio::redirect_error(asio::use_awaitable, Ec));
  recordEnd(Ec);
  if (Ec)
    co_return Ec;
  prepareSocket(m_socket, SilenceTimeout);
  m_open = true;
  co_return Ec;
}

asio::awaitable<Result<void>> Connection::send(std::string Head,
                                               std::string_view Body) {
  std::error_code Ec;
  m_sent = true;
  // A named variable, because g++ 12 destroys an aggregate that is created
  // within a co_await expression twice.
  const std::array<asio::const_buffer, 2> Parts = {asio::buffer(Head),
                                                   asio::buffer(Body)};
  co_await asio::async_write(m_socket, Parts,
                             asio::redirect_error(asio::use_awaitable, Ec));
  recordEnd(Ec);
  if (Ec)
    co_return makeError(ErrorKind::Closed,
                        "the connection was closed while sending: " +
                            Ec.message() + "; use another endpoint");
  co_return boost::outcome_v2::success();
}

asio::awaitable<Result<void>> Connection::readSome() {
  for (;;) {
    if (!m_input.empty()) {
      const bool HeadWasComplete = m_reader.headComplete();
      Result<std::size_t> Used = m_reader.read(m_input);
      if (!Used) {
        m_open = false;
        co_return Used.error();
      }
      m_input.erase(0, Used.value());
      if (m_reader.complete() || m_reader.headComplete() != HeadWasComplete ||
          m_reader.bodySize() > 0)
        co_return boost::outcome_v2::success();
    }
    char Buffer[ReadSize];
    std::error_code Ec;
    const std::size_t N = co_await m_socket.async_read_some(
        asio::buffer(Buffer), asio::redirect_error(asio::use_awaitable, Ec));
    if (Ec == asio::error::operation_aborted && m_open)
      co_return makeError(
          ErrorKind::Timeout,
          "no more of the response in time; wait again or use another "
          "endpoint");
    if (Ec) {
      recordEnd(Ec);
      const std::error_code End = m_end ? m_end : Ec;
      m_open = false;
      m_closedByPeer = isClose(End);
      if (Ec == asio::error::eof && endedInOrder() && m_reader.finishAtEnd())
        co_return boost::outcome_v2::success();
      co_return makeError(
          ErrorKind::Closed,
          "the connection was closed before the end of the response: " +
              End.message() + "; use another endpoint");
    }
    m_input.append(Buffer, N);
  }
}

InputState Connection::look() {
  if (!m_open)
    return InputState::None;
  char Byte = 0;
  const ssize_t N =
      recv(m_socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (N > 0)
    return InputState::Bytes;
  const int Error = errno;
  if (N < 0 && (Error == EAGAIN || Error == EWOULDBLOCK || Error == EINTR))
    return InputState::None;
  recordEnd(N == 0 ? make_error_code(asio::error::eof)
                   : std::error_code(Error, asio::system_category()));
  return InputState::Ended;
}

void Connection::waitForInput(std::function<void(std::error_code)> OnInput) {
  m_socket.async_wait(asio::ip::tcp::socket::wait_read, std::move(OnInput));
}

void Connection::interrupt() {
  std::error_code Ignored;
  m_socket.cancel(Ignored);
}

void Connection::close() {
  m_open = false;
  std::error_code Ignored;
  m_socket.close(Ignored);
}

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
    Idle->m_sent = false;
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
  while (Step && Fits && !C->m_reader.complete()) {
    Step = co_await C->readSome();
    SilentSince = std::chrono::steady_clock::now();
    Fits = C->m_reader.bodySize() <= Limits.m_bodyBytes &&
           C->m_reader.head().m_length.value_or(0) <= Limits.m_bodyBytes &&
           (!Memory || Memory->resize(C->memoryBytes()));
  }
  Guard.disarm();
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
