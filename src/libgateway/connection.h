// One outgoing HTTP connection: sends requests, reads responses, and knows how
// it ended.
#ifndef PRIMROSEWORKS_LIBGATEWAY_CONNECTION_H
#define PRIMROSEWORKS_LIBGATEWAY_CONNECTION_H

#include "libgateway/httpmessage.h"
#include "primroseworks/error.h"
#include "primroseworks/time.h"

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace primroseworks::gateway {

/// Parses "IP:PORT"; fails with InvalidArgument.
Result<asio::ip::tcp::endpoint> parseAddress(const std::string &Text);
/// Sets the socket options of a connection: no Nagle delay, and an end to the
/// connection once the peer has been unresponsive for SilenceTimeout.
void prepareSocket(asio::ip::tcp::socket &Socket, Milliseconds SilenceTimeout);

/// What a connection holds that was not read yet.
enum class InputState {
  None,  ///< Nothing.
  Bytes, ///< Bytes, and possibly the end behind them.
  Ended  ///< The end: the peer closed or reset it, or cannot be reached.
};

/// An outgoing connection; used by one exchange at a time. All calls on its
/// socket are made here, because the kernel reports an error to one call only:
/// after that a connection that was reset looks as if it had ended in order.
class Connection {
public:
  Connection(asio::io_context &Io, std::string Key)
      : m_key(std::move(Key)),
        m_reader(HttpRole::Response, MaxResponseHeadBytes), m_socket(Io) {}

  /// Connects to Peer; without an error the connection is open. SilenceTimeout:
  /// see prepareSocket().
  asio::awaitable<std::error_code> connect(asio::ip::tcp::endpoint Peer,
                                           Milliseconds SilenceTimeout);
  /// Sends Head and then Body, which must exist until then; fails with Closed.
  asio::awaitable<Result<void>> send(std::string Head,
                                     std::string_view Body = {});
  /// Reads until the response head is complete, the response is complete or a
  /// part of the body has arrived. Fails with Closed if the response is
  /// truncated, with Protocol if the bytes are not a valid response, with Full
  /// if its head is too large, with Timeout if it was interrupted. A response
  /// that has neither a length nor chunks is complete only if the peer closed
  /// the connection and no earlier call on it met a reset.
  asio::awaitable<Result<void>> readSome();
  /// Looks at what has arrived and takes nothing of it. None once the
  /// connection was closed here.
  InputState look();
  /// Calls OnInput once look() would not return None, or, with an error, when
  /// the connection is interrupted or closed here.
  void waitForInput(std::function<void(std::error_code)> OnInput);
  /// Ends the wait of readSome(), which may be called again, or of
  /// waitForInput().
  void interrupt();
  void close();
  /// Memory of the bytes that were received and not taken.
  std::size_t memoryBytes() const {
    return m_input.capacity() + m_reader.memoryBytes();
  }
  /// Whether no received bytes follow the current response.
  bool inputDrained() const { return m_input.empty(); }

  static constexpr std::size_t MaxResponseHeadBytes = 65'536;
  static constexpr std::size_t ReadSize = 16'384;

  std::string m_key;
  HttpReader m_reader;
  std::string m_input; ///< Received but not yet parsed.
  bool m_reused = false;
  bool m_open = false;
  /// The peer closed or reset it before the end of a response, or to end one
  /// that has neither a length nor chunks.
  bool m_closedByPeer = false;
  /// Idle time after which the peer closes it.
  Duration m_idleLimit = DefaultIdleLimit;
  TimePoint m_idleSince{};
  /// Incremented when it becomes idle or stops being so.
  std::uint64_t m_idleGeneration = 0;

  static constexpr Milliseconds DefaultIdleLimit{4000};

private:
  void recordEnd(std::error_code Ec);
  bool endedInOrder() const;

  asio::ip::tcp::socket m_socket;
  /// The first error that a call on the socket returned, or the end of its
  /// input; never replaced, since only the first one tells how it ended.
  std::error_code m_end;
};
using ConnectionPtr = std::shared_ptr<Connection>;

} // namespace primroseworks::gateway

#endif
