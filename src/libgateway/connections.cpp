// Outgoing connections.
#include "libgateway/connections.h"

#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#if defined(__GNUC__) && !defined(__clang__)
// g++ 12 inlines one half of Asio's pair of allocation functions for coroutine
// frames and takes the other for a foreign one.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"
#endif

namespace primroseworks::gateway {

namespace {

constexpr int KeepAliveProbes = 2;

template <class T> void setOption(int Socket, int Level, int Name, T Value) {
  // A failure leaves the kernel's default, which only delays the detection of
  // a silent peer.
  (void)setsockopt(Socket, Level, Name, &Value, sizeof(Value));
}

Duration keepAliveOf(const HttpHead &Head) {
  const std::string *Value = Head.find("keep-alive");
  if (!Value)
    return Connection::DefaultIdleLimit;
  const std::size_t At = Value->find("timeout=");
  if (At == std::string::npos)
    return Connection::DefaultIdleLimit;
  const long Whole = std::strtol(Value->c_str() + At + 8, nullptr, 10);
  return Whole > 0 ? Duration(Seconds(Whole)) : Duration(Milliseconds(500));
}

} // namespace

Result<asio::ip::tcp::endpoint> parseAddress(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  std::error_code Ec;
  const auto Ip = asio::ip::make_address(
      Colon == std::string::npos ? Text : Text.substr(0, Colon), Ec);
  const long Port = Colon == std::string::npos
                        ? 0
                        : std::strtol(Text.c_str() + Colon + 1, nullptr, 10);
  if (Ec || Port <= 0 || Port > 65535)
    return makeError(ErrorKind::InvalidArgument,
                     "'" + Text + "' is no address; write IP:PORT");
  return asio::ip::tcp::endpoint(Ip, static_cast<unsigned short>(Port));
}

void prepareSocket(asio::ip::tcp::socket &Socket, Milliseconds SilenceLimit) {
  const int Fd = Socket.native_handle();
  const int Pause = static_cast<int>(
      std::max<long>(1, SilenceLimit.count() / 1000 / KeepAliveProbes));
  setOption(Fd, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(Fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Fd, IPPROTO_TCP, TCP_KEEPIDLE, Pause);
  setOption(Fd, IPPROTO_TCP, TCP_KEEPINTVL, Pause);
  setOption(Fd, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
  setOption(Fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<unsigned>(SilenceLimit.count()));
}

asio::awaitable<Result<void>> Connection::send(std::string Bytes) {
  std::error_code Ec;
  m_sent = true;
  co_await asio::async_write(m_socket, asio::buffer(Bytes),
                             asio::redirect_error(asio::use_awaitable, Ec));
  if (Ec)
    co_return makeError(ErrorKind::Closed,
                        "the connection ended while sending: " + Ec.message() +
                            "; use another endpoint");
  co_return boost::outcome_v2::success();
}

asio::awaitable<Result<void>> Connection::readSome() {
  for (;;) {
    if (!m_input.empty()) {
      const bool HadHead = m_reader.headComplete();
      Result<std::size_t> Used = m_reader.read(m_input);
      if (!Used) {
        m_open = false;
        co_return Used.error();
      }
      m_input.erase(0, Used.value());
      if (m_reader.complete() || m_reader.headComplete() != HadHead ||
          m_reader.bodySize() > 0)
        co_return boost::outcome_v2::success();
    }
    char Buffer[ReadSize];
    std::error_code Ec;
    const std::size_t N = co_await m_socket.async_read_some(
        asio::buffer(Buffer), asio::redirect_error(asio::use_awaitable, Ec));
    if (Ec) {
      m_open = false;
      if (Ec == asio::error::eof && m_reader.finishAtEnd())
        co_return boost::outcome_v2::success();
      co_return makeError(ErrorKind::Closed,
                          "the connection ended early: " + Ec.message() +
                              "; use another endpoint");
    }
    m_input.append(Buffer, N);
  }
}

void Connection::close() {
  m_open = false;
  std::error_code Ignored;
  m_socket.close(Ignored);
}

ConnectionPtr ConnectionPool::takeIdle(const std::string &Key) {
  auto It = m_idle.find(Key);
  if (It == m_idle.end())
    return nullptr;
  const TimePoint Now = std::chrono::steady_clock::now();
  while (!It->second.empty()) {
    ConnectionPtr C = It->second.back();
    It->second.pop_back();
    ++C->m_idleTurn;
    if (!C->m_open || Now - C->m_idleSince > C->m_idleLimit - IdleMargin) {
      C->close();
      continue;
    }
    // Bytes or an end that the loop has not seen yet make it useless.
    char Byte = 0;
    const ssize_t N =
        recv(C->m_socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (N >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) {
      C->close();
      continue;
    }
    std::error_code Ignored;
    C->m_socket.cancel(Ignored);
    return C;
  }
  return nullptr;
}

asio::awaitable<Result<ConnectionPtr>>
ConnectionPool::acquire(std::string Key, std::string Address,
                        Milliseconds Limit, Milliseconds SilenceLimit) {
  if (ConnectionPtr Idle = takeIdle(Key)) {
    Idle->m_reused = true;
    Idle->m_sent = false;
    Idle->m_reader.reset();
    co_return Idle;
  }
  Result<asio::ip::tcp::endpoint> Target = parseAddress(Address);
  if (!Target)
    co_return Target.error();
  auto C = std::make_shared<Connection>(m_io, Key);
  Watchdog Dog(m_io);
  Dog.arm(C, std::chrono::steady_clock::now() + Limit);
  std::error_code Ec;
  ++m_opened;
  co_await C->m_socket.async_connect(
      Target.value(), asio::redirect_error(asio::use_awaitable, Ec));
  Dog.disarm();
  if (Ec || Dog.fired()) {
    C->close();
    co_return makeError(
        ErrorKind::Unavailable,
        "no connection to " + Address + ": " +
            (Dog.fired() ? std::string("time limit") : Ec.message()) +
            "; use another endpoint");
  }
  prepareSocket(C->m_socket, SilenceLimit);
  C->m_open = true;
  co_return C;
}

void ConnectionPool::watchIdle(const ConnectionPtr &C) {
  const std::uint64_t Turn = C->m_idleTurn;
  C->m_socket.async_wait(asio::ip::tcp::socket::wait_read,
                         [C, Turn](std::error_code Ec) {
                           // Anything that an idle connection says belongs to
                           // no request.
                           if (!Ec && C->m_idleTurn == Turn)
                             C->close();
                         });
}

void ConnectionPool::release(const ConnectionPtr &C, TimePoint Now) {
  if (!C->m_open || !C->m_reader.complete() ||
      !C->m_reader.head().m_keepAlive || !C->clean()) {
    C->close();
    return;
  }
  C->m_idleLimit = keepAliveOf(C->m_reader.head());
  C->m_idleSince = Now;
  ++C->m_idleTurn;
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
      ++List[I]->m_idleTurn;
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
    ++C->m_idleTurn;
    C->close();
  }
  m_idle.erase(It);
}

void Watchdog::arm(const ConnectionPtr &C, TimePoint At, Extension Extend) {
  m_state->m_fired = false;
  const std::uint64_t Turn = ++m_state->m_turn;
  m_timer.expires_at(At);
  m_timer.async_wait([this, C, Turn, State = m_state,
                      Extend = std::move(Extend)](std::error_code Ec) {
    // While the turn is the same, this object has not ended.
    if (Ec || State->m_turn != Turn)
      return;
    const TimePoint Now = std::chrono::steady_clock::now();
    const TimePoint Next = Extend ? Extend(Now) : Now;
    if (Next > Now) {
      arm(C, Next, Extend);
      return;
    }
    State->m_fired = true;
    C->close();
  });
}

void Watchdog::disarm() {
  ++m_state->m_turn;
  m_timer.cancel();
}

asio::awaitable<Result<HttpClientResponse>>
callHttp(asio::io_context &Io, ConnectionPool &Pool, std::string Key,
         std::string Address, std::string Request, Milliseconds Limit) {
  const TimePoint End = std::chrono::steady_clock::now() + Limit;
  Result<ConnectionPtr> Opened =
      co_await Pool.acquire(Key, Address, Limit, Limit);
  if (!Opened)
    co_return Opened.error();
  ConnectionPtr C = Opened.value();
  Watchdog Dog(Io);
  Dog.arm(C, End);
  Result<void> Step = co_await C->send(std::move(Request));
  while (Step && !C->m_reader.complete())
    Step = co_await C->readSome();
  Dog.disarm();
  if (!Step || !C->m_reader.complete()) {
    C->close();
    co_return makeError(
        ErrorKind::Timeout,
        "no whole answer from " + Address + ": " +
            (Step ? std::string("time limit") : Step.error().m_message));
  }
  HttpClientResponse Answer{C->m_reader.head(), C->m_reader.takeBody()};
  Pool.release(C, std::chrono::steady_clock::now());
  co_return Answer;
}

} // namespace primroseworks::gateway
