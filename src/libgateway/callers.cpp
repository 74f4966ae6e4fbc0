// Connections of callers.
#include "libgateway/callers.h"
#include "libgateway/log.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>

#if defined(__GNUC__) && !defined(__clang__)
// g++ 12 inlines one half of Asio's pair of allocation functions for coroutine
// frames and takes the other for a foreign one.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"
#endif

namespace primroseworks::gateway {

namespace {

constexpr std::size_t ReadSize = 8'192;
constexpr std::size_t DefaultHeadLimit = 65'536;

} // namespace

CallerConnection::CallerConnection(Core &Shared, CallerListener &Port,
                                   asio::ip::tcp::socket Socket)
    : m_core(Shared), m_port(Port), m_socket(std::move(Socket)),
      m_timer(Shared.m_io),
      m_reader(HttpRole::Request,
               Shared.m_configuration
                   ? Shared.m_configuration->m_limits.m_headerBytes
                   : DefaultHeadLimit) {}

asio::awaitable<bool> CallerConnection::refuse(unsigned Status) {
  std::error_code Ignored;
  const std::string Out =
      statusLine(Status) + "Content-Length: 0\r\nConnection: close\r\n\r\n";
  m_core.m_metrics->count("caller_refused_" + std::to_string(Status));
  decisionlog::line(LogClass::Failure, "caller_refused")
      .number("status", Status);
  co_await asio::async_write(
      m_socket, asio::buffer(Out),
      asio::redirect_error(asio::use_awaitable, Ignored));
  co_return false;
}

/// Reads the next request; false if the connection is to be closed.
asio::awaitable<bool> CallerConnection::readRequest() {
  m_reader.reset();
  m_body.clear();
  m_timedOut = false;
  bool Continued = false;
  bool Started = !m_input.empty();
  m_firstByte = std::chrono::steady_clock::now();
  const CallerLimits Limits = m_core.m_configuration
                                  ? m_core.m_configuration->m_limits
                                  : CallerLimits();
  auto Arm = [this](Duration Limit) {
    m_timer.expires_after(Limit);
    m_timer.async_wait([Self = shared_from_this()](std::error_code Ec) {
      if (Ec)
        return;
      Self->m_timedOut = true;
      std::error_code Ignored;
      Self->m_socket.cancel(Ignored);
    });
  };
  Arm(Started ? Limits.m_headerTimeout : Limits.m_idleTimeout);
  for (;;) {
    if (!m_input.empty()) {
      const Result<std::size_t> Used = m_reader.read(m_input);
      if (!Used) {
        m_timer.cancel();
        co_return co_await refuse(Used.error().m_kind == ErrorKind::Full ? 431
                                                                         : 400);
      }
      m_input.erase(0, Used.value());
      m_body += m_reader.takeBody();
      if (m_body.size() > Limits.m_bodyBytes ||
          m_reader.head().m_length.value_or(0) > Limits.m_bodyBytes) {
        m_timer.cancel();
        co_return co_await refuse(413);
      }
      if (m_reader.complete()) {
        m_timer.cancel();
        co_return true;
      }
      if (m_reader.headComplete() && !Continued) {
        Continued = true;
        if (const std::string *Expect = m_reader.head().find("expect")) {
          if (lowerCase(*Expect) != "100-continue") {
            m_timer.cancel();
            co_return co_await refuse(417);
          }
          std::error_code Ec;
          const std::string Line = "HTTP/1.1 100 Continue\r\n\r\n";
          co_await asio::async_write(
              m_socket, asio::buffer(Line),
              asio::redirect_error(asio::use_awaitable, Ec));
        }
        Arm(Limits.m_idleTimeout); // For the body.
      }
      if (Used.value() > 0 && !m_input.empty())
        continue;
    }
    char Buffer[ReadSize];
    std::error_code Ec;
    const std::size_t N = co_await m_socket.async_read_some(
        asio::buffer(Buffer), asio::redirect_error(asio::use_awaitable, Ec));
    if (m_timedOut && m_reader.started())
      co_return co_await refuse(408);
    if (Ec || m_timedOut) {
      m_timer.cancel();
      co_return false;
    }
    if (!Started) {
      Started = true;
      m_firstByte = std::chrono::steady_clock::now();
      Arm(Limits.m_headerTimeout);
    }
    m_input.append(Buffer, N);
  }
}

void CallerConnection::startWatching() {
  m_watching = true;
  watchOnce();
}

void CallerConnection::watchOnce() {
  m_socket.async_wait(asio::ip::tcp::socket::wait_read,
                      [Self = shared_from_this()](std::error_code Ec) {
                        Self->onReadable(Ec);
                      });
}

/// While a request is served: keeps bytes of the next one, and tells the
/// exchange when the caller leaves.
void CallerConnection::onReadable(std::error_code Ec) {
  if (!m_watching || Ec == asio::error::operation_aborted)
    return;
  char Buffer[ReadSize];
  const ssize_t N =
      recv(m_socket.native_handle(), Buffer, sizeof(Buffer), MSG_DONTWAIT);
  if (N > 0) {
    m_input.append(Buffer, static_cast<std::size_t>(N));
    if (m_input.size() < PipelinedBytesLimit)
      watchOnce();
    return;
  }
  if (N < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
    watchOnce();
    return;
  }
  m_watching = false;
  if (m_exchange)
    m_exchange->onCallerGone();
}

void CallerConnection::stopWatching() {
  if (!m_watching)
    return;
  m_watching = false;
  std::error_code Ignored;
  m_socket.cancel(Ignored);
}

void CallerConnection::closeIfIdle() {
  if (!idle() || !m_input.empty())
    return;
  std::error_code Ignored;
  m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, Ignored);
}

asio::awaitable<void> CallerConnection::run() {
  const std::shared_ptr<CallerConnection> Self = shared_from_this();
  for (;;) {
    if (!co_await readRequest())
      break;
    if (m_core.m_closing) {
      // Too late for this VM: the request is read and goes nowhere.
      m_core.m_metrics->count("refused_while_closing");
      (void)co_await refuse(503);
      break;
    }
    m_exchange = std::make_shared<Exchange>(m_core, m_socket, m_reader.head(),
                                            std::move(m_body), m_firstByte);
    m_reader.reset();
    startWatching();
    const bool Keep = co_await m_exchange->run();
    const bool Left = !m_watching && m_input.size() < PipelinedBytesLimit;
    stopWatching();
    m_exchange = nullptr;
    if (!Keep || Left || m_core.m_closing)
      break;
  }
  m_timer.cancel();
  std::error_code Ignored;
  m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
  m_socket.close(Ignored);
  m_port.onEnded(this);
}

Result<void> CallerListener::open(const std::string &Address) {
  Result<asio::ip::tcp::endpoint> At = parseAddress(Address);
  if (!At)
    return At.error();
  std::error_code Ec;
  m_acceptor.open(At.value().protocol(), Ec);
  if (!Ec)
    m_acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), Ec);
  if (!Ec)
    m_acceptor.bind(At.value(), Ec);
  if (!Ec)
    m_acceptor.listen(AcceptBacklog, Ec);
  if (Ec)
    return makeError(ErrorKind::Unavailable,
                     "cannot listen at " + Address + ": " + Ec.message() +
                         "; end the program that holds it or change "
                         "listen.callers");
  return boost::outcome_v2::success();
}

asio::awaitable<void> CallerListener::run() {
  const std::size_t Limit =
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
      asio::steady_timer Pause(m_core.m_io, Milliseconds(20));
      std::error_code Ignored;
      co_await Pause.async_wait(
          asio::redirect_error(asio::use_awaitable, Ignored));
      continue;
    }
    if (m_connections.size() >= Limit) {
      m_core.m_metrics->count("caller_connections_full");
      continue; // Closed without having read anything.
    }
    prepareSocket(Socket, CallerSilenceLimit);
    auto C =
        std::make_shared<CallerConnection>(m_core, *this, std::move(Socket));
    m_connections.insert(C.get());
    asio::co_spawn(
        m_core.m_io, [C]() { return C->run(); }, asio::detached);
  }
}

void CallerListener::stopAccepting() {
  std::error_code Ignored;
  m_acceptor.close(Ignored);
}

void CallerListener::closeIdle() {
  for (CallerConnection *C : m_connections)
    C->closeIfIdle();
}

std::size_t CallerListener::busy() const {
  std::size_t Count = 0;
  for (const CallerConnection *C : m_connections)
    if (!C->idle())
      ++Count;
  return Count;
}

} // namespace primroseworks::gateway
