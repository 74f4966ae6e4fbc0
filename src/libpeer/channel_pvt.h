// Websockets as channels that a coroutine reads in sequence.
#ifndef PRIMROSEWORKS_CHANNEL_PVT_H
#define PRIMROSEWORKS_CHANNEL_PVT_H

#include "primroseworks/error.h"
#include "primroseworks/peer.h"

#include <asio.hpp>
#include <asio/ssl.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace primroseworks::pvt {

inline constexpr Milliseconds HandshakeTimeout{2000};

/// Longer than any hello; a stranger cannot make the daemon hold more.
inline constexpr std::size_t MaxHandshakeBytes = 1024;

/// Messages that a side may send ahead during the handshake.
inline constexpr std::size_t MaxHandshakeInbox = 2;

/// Accepted connections that have not proved the cluster key yet. A restart of
/// all neighbours at the target size is some 30 connections.
inline constexpr std::size_t MaxUnproved = 64;

/// One websocket, open or not. Used on the network's thread only, except for
/// the atomic members.
class Channel {
public:
  explicit Channel(asio::io_context &Io) : m_signal(Io) {}
  virtual ~Channel() = default;
  virtual void write(const std::string &Bytes) = 0;
  virtual void close() = 0;
  virtual std::size_t unwritten() const = 0;
  virtual void allowLargeMessages() = 0;

  void opened() {
    m_open = true;
    m_signal.cancel();
  }
  void arrived(const std::string &Bytes) {
    if (!m_proved && m_inbox.size() >= MaxHandshakeInbox) {
      close();
      return;
    }
    m_inbox.push_back(Bytes);
    m_signal.cancel();
  }
  void closed() {
    m_closed = true;
    m_signal.cancel();
  }

  /// Waits until a message is there, the state changed, or Deadline.
  asio::awaitable<void> wait(TimePoint Deadline) {
    if (!m_inbox.empty() || m_closed)
      co_return;
    m_signal.expires_at(Deadline);
    asio::error_code Ignored;
    co_await m_signal.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
  }

  asio::steady_timer m_signal;
  std::deque<std::string> m_inbox;
  bool m_open = false;
  bool m_closed = false;
  bool m_proved = false;
};

using ChannelPtr = std::shared_ptr<Channel>;

using TlsContext = std::shared_ptr<asio::ssl::context>;
using AcceptHandler = std::function<void(ChannelPtr Accepted)>;

/// Creates the channels of one security mode.
class Sockets {
public:
  virtual ~Sockets() = default;
  /// Returns the port.
  virtual Result<std::uint16_t> listen(const std::string &Address,
                                       std::uint16_t Port) = 0;
  virtual void stopListening() = 0;
  /// A channel that is connecting; null if the address is not understood.
  virtual ChannelPtr connect(const std::string &Address,
                             std::uint16_t Port) = 0;
  /// The accepted channel was proved or closed: it no longer counts towards
  /// MaxUnproved.
  virtual void settled(const Channel &Accepted) = 0;
};

/// Without Tls the sockets are plain. Io must outlive the result.
std::unique_ptr<Sockets> createSockets(asio::io_context &Io,
                                       const TlsContext &Tls,
                                       AcceptHandler Accepted);

} // namespace primroseworks::pvt

#endif
