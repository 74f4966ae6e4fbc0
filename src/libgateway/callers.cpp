// Accepts connections of callers and reads their requests.
#include "libgateway/callers.h"
#include "libgateway/log.h"
#include "libgateway/retryafter.h"
#include "libgateway/tasks.h"

#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>

namespace primroseworks::gateway {

namespace {

constexpr unsigned StatusUnavailable = 503;
constexpr std::size_t ReadBufferBytes = 8'192;
constexpr std::size_t DefaultMaxHeadBytes = 65'536;

std::string peerAddress(const asio::ip::tcp::socket &Socket) {
  std::error_code Ec;
  const asio::ip::tcp::endpoint Peer = Socket.remote_endpoint(Ec);
  return Ec ? std::string() : Peer.address().to_string();
}

} // namespace

CallerConnection::CallerConnection(Core &Shared, CallerListener &Listener,
                                   asio::ip::tcp::socket Socket)
    : m_core(Shared), m_listener(Listener), m_socket(std::move(Socket)),
      m_readTimer(Shared.m_io),
      m_reader(HttpRole::Request, DefaultMaxHeadBytes),
      m_peer(peerAddress(m_socket)) {}

asio::awaitable<bool> CallerConnection::reject(unsigned Status,
                                               std::string ExtraHeaders) {
  std::error_code Ignored;
  const std::string Out = statusLine(Status) + ExtraHeaders +
                          "Content-Length: 0\r\nConnection: close\r\n\r\n";
  m_core.m_metrics->count("caller_refused_" + std::to_string(Status));
  decisionlog::line(LogClass::Failure, "caller_refused")
      .number("status", Status);
  m_lingers = true;
  co_await asio::async_write(
      m_socket, asio::buffer(Out),
      asio::redirect_error(asio::use_awaitable, Ignored));
  co_return false;
}

/// Frees the body of a request that is not served. Its head stays: the
/// connection is busy until its caller has the refusal.
void CallerConnection::dropRequest() {
  freeText(m_body);
  freeText(m_input);
  m_memory.reset();
}

/// Rejects a request that was not read completely, since memory is short at
/// this VM. Another one may have enough.
asio::awaitable<bool> CallerConnection::rejectForMemory() {
  m_core.m_metrics->count("caller_refused_for_memory");
  dropRequest();
  Rejection R;
  R.m_localCause = true;
  R.m_random = std::uniform_real_distribution<double>(0, 1)(m_core.m_random);
  co_return co_await reject(StatusUnavailable,
                            fmt::format("X-Primrose-Outcome: not-run\r\n"
                                        "Retry-After: {:.2f}\r\n",
                                        toSeconds(retryAfter(R))));
}

/// Limits of the configuration in force.
CallerLimits CallerConnection::limits() const {
  if (m_core.m_configuration)
    return m_core.m_configuration->m_limits;
  CallerLimits Limits;
  Limits.m_headerBytes = DefaultMaxHeadBytes;
  return Limits;
}

/// Limits the wait for the next request. Callers reuse a connection for as long
/// as the newest configuration allows, so an older limit is extended to it.
void CallerConnection::limitIdleTime() {
  const auto Latest = [this] {
    if (m_core.m_closing)
      return m_idleSince;
    return m_idleSince + limits().m_idleTimeout;
  };
  m_readTimer.arm(
      Latest(),
      [this] {
        std::error_code Ignored;
        m_socket.cancel(Ignored);
      },
      [Latest](TimePoint) { return Latest(); });
}

/// Limits the time until the request, or its next part, is complete.
void CallerConnection::limitRequestTime(Milliseconds Timeout) {
  m_readTimer.arm(clockNow() + Timeout, [this] {
    std::error_code Ignored;
    m_socket.cancel(Ignored);
  });
}

/// Waits for bytes and appends them to the input.
asio::awaitable<CallerConnection::ReadEnd> CallerConnection::readMore() {
  char Buffer[ReadBufferBytes];
  std::error_code Ec;
  std::size_t N = co_await m_socket.async_read_some(
      asio::buffer(Buffer), asio::redirect_error(asio::use_awaitable, Ec));
  if (N == 0 && m_readTimer.fired()) {
    // Bytes that arrived before the connection closes are a request all the
    // same.
    const ssize_t Available =
        recv(m_socket.native_handle(), Buffer, sizeof(Buffer), MSG_DONTWAIT);
    N = Available > 0 ? static_cast<std::size_t>(Available) : 0;
    if (N > 0)
      m_core.m_metrics->count("caller_bytes_at_time_limit");
  }
  m_input.append(Buffer, N);
  if (N > 0)
    co_return ReadEnd::Bytes;
  co_return m_readTimer.fired() ? ReadEnd::TimedOut : ReadEnd::Closed;
}

/// Parses the input. Returns the status to refuse the request with, if it has
/// to be refused.
std::optional<unsigned> CallerConnection::parse(const CallerLimits &Limits) {
  while (!m_input.empty() && !m_reader.complete()) {
    const Result<std::size_t> Consumed = m_reader.read(m_input);
    if (!Consumed)
      return Consumed.error().m_kind == ErrorKind::Full ? 431 : 400;
    m_input.erase(0, Consumed.value());
    if (const std::optional<unsigned> Status = takeBody(Limits))
      return Status;
    if (Consumed.value() == 0)
      break;
  }
  return std::nullopt;
}

/// Takes the bytes of the body that were parsed, as far as the limits and the
/// memory of this process allow.
std::optional<unsigned> CallerConnection::takeBody(const CallerLimits &Limits) {
  const std::string Part = m_reader.takeBody();
  const std::uint64_t Length = m_reader.head().m_length.value_or(0);
  const std::size_t Size =
      std::max<std::size_t>(Length, m_body.size() + Part.size());
  if (Size > Limits.m_bodyBytes)
    return 413;
  if (m_reader.headComplete() && !m_core.m_memory.admitsRequest(Size))
    return StatusUnavailable;
  const bool Granted = m_memory->append(
      m_body, Part, m_input.capacity() + m_reader.memoryBytes(),
      m_reader.head().m_length ? Size : Limits.m_bodyBytes);
  return Granted ? std::nullopt : std::optional(StatusUnavailable);
}

/// Sends the interim response that a caller waits for before it sends the
/// body. Returns false if the expectation is unknown; it is refused then.
asio::awaitable<bool>
CallerConnection::answerExpectation(Milliseconds BodyTimeout) {
  m_expectationAnswered = true;
  if (const std::string *Expect = m_reader.head().find("expect")) {
    if (lowerCase(*Expect) != "100-continue")
      co_return co_await reject(417);
    std::error_code Ignored;
    const std::string Line = "HTTP/1.1 100 Continue\r\n\r\n";
    co_await asio::async_write(
        m_socket, asio::buffer(Line),
        asio::redirect_error(asio::use_awaitable, Ignored));
  }
  limitRequestTime(BodyTimeout);
  co_return true;
}

/// Ends a connection whose caller sent nothing more. Always returns false.
asio::awaitable<bool> CallerConnection::onReadEnded(ReadEnd End) {
  if (End == ReadEnd::TimedOut && m_reader.started())
    co_return co_await reject(408);
  m_lingers = false; // The caller waits for no response.
  if (End == ReadEnd::TimedOut && !m_core.m_closing) {
    m_core.m_metrics->count("caller_idle_closed");
    const TimePoint Now = clockNow();
    decisionlog::line(LogClass::KnownState, "caller_idle_closed")
        .real("idle_ms", toMillis(Now - m_idleSince))
        .real("config_age_ms", toMillis(Now - m_core.m_configurationAt));
  }
  co_return false;
}

/// Reads the next request. Returns false if the connection has to be closed.
asio::awaitable<bool> CallerConnection::readRequest() {
  m_reader.reset();
  m_body.clear();
  m_expectationAnswered = false;
  m_memory = m_core.m_memory.claim(MemoryKind::Request, m_peer);
  m_memory->setRevocation([this] {
    freeText(m_body);
    std::error_code Ignored;
    m_socket.cancel(Ignored);
  });
  CallerLimits Limits = limits();
  bool Started = !m_input.empty();
  m_idleSince = clockNow();
  m_firstByteAt = m_idleSince;
  if (Started)
    limitRequestTime(Limits.m_headerTimeout);
  else
    limitIdleTime();
  for (;;) {
    m_reader.setMaxHeadBytes(Limits.m_headerBytes);
    const std::optional<unsigned> Status = parse(Limits);
    if (Status || m_memory->revoked()) {
      m_readTimer.disarm();
      if (Status.value_or(StatusUnavailable) == StatusUnavailable)
        co_return co_await rejectForMemory();
      co_return co_await reject(*Status);
    }
    if (m_reader.complete()) {
      m_readTimer.disarm();
      m_memory->pin();
      m_requestMemory = m_memory->bytes();
      co_return true;
    }
    if (m_reader.headComplete() && !m_expectationAnswered &&
        !co_await answerExpectation(Limits.m_idleTimeout))
      co_return false;
    const ReadEnd End =
        m_readTimer.fired() ? ReadEnd::TimedOut : co_await readMore();
    if (m_memory->revoked())
      continue;
    if (End != ReadEnd::Bytes) {
      m_readTimer.disarm();
      co_return co_await onReadEnded(End);
    }
    if (!Started) {
      Started = true;
      // The connection may have been idle while the configuration changed.
      Limits = limits();
      m_firstByteAt = clockNow();
      limitRequestTime(Limits.m_headerTimeout);
    }
  }
}

void CallerConnection::startMonitoring() {
  m_monitoring = true;
  waitReadable();
}

void CallerConnection::waitReadable() {
  m_socket.async_wait(asio::ip::tcp::socket::wait_read,
                      [Self = shared_from_this()](std::error_code Ec) {
                        Self->onReadable(Ec);
                      });
}

/// While a request is served: buffers bytes of the next request, and notifies
/// the exchange when the caller closes the connection.
void CallerConnection::onReadable(std::error_code Ec) {
  if (!m_monitoring || Ec == asio::error::operation_aborted)
    return;
  char Buffer[ReadBufferBytes];
  const ssize_t N =
      recv(m_socket.native_handle(), Buffer, sizeof(Buffer), MSG_DONTWAIT);
  if (N > 0) {
    m_input.append(Buffer, static_cast<std::size_t>(N));
    if (m_input.size() < MaxPipelinedBytes &&
        m_memory->resize(m_requestMemory + m_input.capacity()))
      waitReadable();
    return;
  }
  if (N < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
    waitReadable();
    return;
  }
  m_monitoring = false;
  if (m_exchange)
    m_exchange->onCallerGone();
}

void CallerConnection::stopMonitoring() {
  if (!m_monitoring)
    return;
  m_monitoring = false;
  std::error_code Ignored;
  m_socket.cancel(Ignored);
}

void CallerConnection::closeIfIdle() {
  if (idle() && m_input.empty())
    m_readTimer.expireNow();
}

void CallerConnection::endRequest() {
  if (m_exchange)
    m_exchange->onProcessEnding();
}

/// Waits until the caller has read the last response and closed its side.
asio::awaitable<void> CallerConnection::linger() {
  std::error_code Ec;
  m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ec);
  limitRequestTime(LingerTime);
  char Buffer[ReadBufferBytes];
  while (!Ec && !m_readTimer.fired())
    co_await m_socket.async_read_some(
        asio::buffer(Buffer), asio::redirect_error(asio::use_awaitable, Ec));
}

/// Serves requests until one of them is the last.
asio::awaitable<void> CallerConnection::serveRequests() {
  for (;;) {
    if (!co_await readRequest())
      break;
    if (m_core.m_closing) {
      // This VM is shutting down: the request is rejected before it is sent to
      // an endpoint.
      m_core.m_metrics->count("refused_while_closing");
      (void)co_await reject(503);
      break;
    }
    m_exchange = std::make_shared<Exchange>(m_core, m_socket, m_reader.head(),
                                            std::move(m_body), m_firstByteAt);
    m_reader.reset();
    startMonitoring();
    const bool KeepAlive = co_await m_exchange->run();
    const bool CallerGone = !m_monitoring && m_input.size() < MaxPipelinedBytes;
    stopMonitoring();
    m_exchange = nullptr;
    m_lingers = !CallerGone;
    if (!KeepAlive || CallerGone)
      break;
  }
}

asio::awaitable<void> CallerConnection::run() {
  const std::shared_ptr<CallerConnection> Self = shared_from_this();
  const auto Report = [this] {
    reportException(*m_core.m_metrics, "caller_connection",
                    std::current_exception());
  };
  try {
    co_await serveRequests();
  } catch (const std::exception &) {
    Report();
  }
  stopMonitoring();
  m_exchange = nullptr;
  dropRequest();
  try {
    if (m_lingers)
      co_await linger();
  } catch (const std::exception &) {
    Report();
  }
  m_readTimer.disarm();
  std::error_code Ignored;
  m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
  m_socket.close(Ignored);
  m_listener.onConnectionClosed(this);
}

Result<void> CallerListener::open(const std::string &Address) {
  Result<asio::ip::tcp::endpoint> ListenAddress = parseAddress(Address);
  if (!ListenAddress)
    return ListenAddress.error();
  std::error_code Ec;
  m_acceptor.open(ListenAddress.value().protocol(), Ec);
  if (!Ec)
    m_acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), Ec);
  if (!Ec)
    m_acceptor.bind(ListenAddress.value(), Ec);
  if (!Ec)
    m_acceptor.listen(AcceptBacklog, Ec);
  if (Ec)
    return makeError(ErrorKind::Unavailable,
                     "cannot listen at " + Address + ": " + Ec.message() +
                         "; stop the process that uses this port or change "
                         "listen.callers");
  return boost::outcome_v2::success();
}

asio::awaitable<void> CallerListener::run() {
  const std::size_t MaxConnections =
      m_core.m_settings.m_descriptors > 2 * ReservedDescriptors
          ? m_core.m_settings.m_descriptors - ReservedDescriptors
          : m_core.m_settings.m_descriptors / 2;
  while (m_acceptor.is_open()) {
    std::error_code Ec;
    asio::ip::tcp::socket Socket = co_await m_acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, Ec));
    if (!m_acceptor.is_open())
      break;
    if (Ec) {
      m_core.m_metrics->count("accept_failed");
      asio::steady_timer RetryDelay(m_core.m_io, Milliseconds(20));
      std::error_code Ignored;
      co_await RetryDelay.async_wait(
          asio::redirect_error(asio::use_awaitable, Ignored));
      continue;
    }
    if (m_connections.size() >= MaxConnections) {
      m_core.m_metrics->count("caller_connections_full");
      continue; // Closes the socket without reading from it.
    }
    prepareSocket(Socket, CallerUnresponsiveTimeout);
    auto C =
        std::make_shared<CallerConnection>(m_core, *this, std::move(Socket));
    m_connections.insert(C.get());
    try {
      spawnTask(m_core.m_io, *m_core.m_metrics, "caller_connection",
                [C] { return C->run(); });
    } catch (...) {
      m_connections.erase(C.get());
      throw;
    }
  }
}

void CallerListener::stopAccepting() {
  std::error_code Ignored;
  m_acceptor.close(Ignored);
}

void CallerListener::closeIdleConnections() {
  for (CallerConnection *C : m_connections)
    C->closeIfIdle();
}

void CallerListener::endRequests() {
  for (CallerConnection *C : m_connections)
    C->endRequest();
}

std::size_t CallerListener::busyConnections() const {
  std::size_t Count = 0;
  for (const CallerConnection *C : m_connections)
    if (!C->idle())
      ++Count;
  return Count;
}

} // namespace primroseworks::gateway
