// Implementation of one outgoing HTTP connection.
#include "libgateway/connection.h"

#include <algorithm>
#include <array>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>
#include <cerrno>
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

/// Whether the peer closed or reset the connection; not if it cannot be
/// reached.
bool isClose(std::error_code Ec) {
  return Ec == asio::error::eof || Ec == asio::error::connection_reset ||
         Ec == asio::error::broken_pipe;
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

} // namespace primroseworks::gateway
