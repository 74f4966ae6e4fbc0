// Outgoing HTTP connections: opened with a time limit, kept while they are
// idle and dropped as soon as they say anything unasked.
#ifndef PRIMROSEWORKS_LIBGATEWAY_CONNECTIONS_H
#define PRIMROSEWORKS_LIBGATEWAY_CONNECTIONS_H

#include "libgateway/httpmessage.h"
#include "primroseworks/error.h"
#include "primroseworks/time.h"

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace primroseworks::gateway {

/// Parses "IP:PORT"; fails with InvalidArgument.
Result<asio::ip::tcp::endpoint> parseAddress(const std::string &Text);
/// Sets the options of a connection: no delay, and an end to a peer that has
/// fallen silent after SilenceLimit.
void prepareSocket(asio::ip::tcp::socket &Socket, Milliseconds SilenceLimit);

/// One outgoing connection; used by one exchange at a time.
class Connection {
public:
  Connection(asio::io_context &Io, std::string Key)
      : m_socket(Io), m_key(std::move(Key)),
        m_reader(HttpRole::Response, AnswerHeadLimit) {}

  /// Sends Bytes; fails with Closed.
  asio::awaitable<Result<void>> send(std::string Bytes);
  /// Reads until the answer's head is complete, the answer is complete or a
  /// piece of the body has come. Fails with Closed if the connection ended
  /// early, with Protocol if the bytes are no answer.
  asio::awaitable<Result<void>> readSome();
  void close();
  /// Whether a byte of the present answer has come.
  bool answered() const { return m_reader.started(); }
  /// No byte follows the present answer.
  bool clean() const { return m_input.empty(); }

  static constexpr std::size_t AnswerHeadLimit = 65'536;
  static constexpr std::size_t ReadSize = 16'384;

  asio::ip::tcp::socket m_socket;
  std::string m_key;
  HttpReader m_reader;
  std::string m_input; ///< Read and not yet given to the reader.
  bool m_reused = false;
  bool m_open = false;
  bool m_sent = false; ///< Bytes of the present request may have left.
  Duration m_idleLimit = DefaultIdleLimit; ///< The peer closes it after this.
  TimePoint m_idleSince{};
  std::uint64_t m_idleTurn = 0; ///< Counts how often it became idle.

  static constexpr Milliseconds DefaultIdleLimit{4000};
};
using ConnectionPtr = std::shared_ptr<Connection>;

/// An idle connection is dropped this long before the peer would close it, so
/// that no request crosses the close.
inline constexpr Milliseconds IdleMargin{500};

class ConnectionPool {
public:
  explicit ConnectionPool(asio::io_context &Io) : m_io(Io) {}
  /// An idle connection to Address, or a new one. Fails with Unavailable if
  /// none is open within Limit.
  asio::awaitable<Result<ConnectionPtr>> acquire(std::string Key,
                                                 std::string Address,
                                                 Milliseconds Limit,
                                                 Milliseconds SilenceLimit);
  /// Keeps a connection whose answer is complete, if it may be kept.
  void release(const ConnectionPtr &C, TimePoint Now);
  /// Closes idle connections that are due.
  void expire(TimePoint Now);
  /// Closes the idle connections of Key.
  void drop(const std::string &Key);
  std::uint64_t opened() const { return m_opened; }
  unsigned inUse(const std::string &Key) const;

private:
  void watchIdle(const ConnectionPtr &C);
  ConnectionPtr takeIdle(const std::string &Key);

  asio::io_context &m_io;
  std::map<std::string, std::vector<ConnectionPtr>> m_idle;
  std::uint64_t m_opened = 0;
};

/// A whole answer.
struct HttpClientResponse {
  HttpHead m_head;
  std::string m_body;
};

/// Sends one request and reads the whole answer within Limit. Fails with
/// Unavailable (not sent) or Timeout (sent, and no whole answer came).
asio::awaitable<Result<HttpClientResponse>>
callHttp(asio::io_context &Io, ConnectionPool &Pool, std::string Key,
         std::string Address, std::string Request, Milliseconds Limit);

/// Ends a task's wait on a socket at a time: closes the connection.
class Watchdog {
public:
  /// Asked when the time is up: a later time lets the wait go on until then.
  using Extension = std::function<TimePoint(TimePoint Now)>;

  explicit Watchdog(asio::io_context &Io) : m_timer(Io) {}
  ~Watchdog() { disarm(); }
  Watchdog(const Watchdog &) = delete;
  Watchdog &operator=(const Watchdog &) = delete;
  /// Closes C at At unless disarmed or armed anew before, or Extend tells a
  /// later time.
  void arm(const ConnectionPtr &C, TimePoint At, Extension Extend = nullptr);
  void disarm();
  bool fired() const { return m_state->m_fired; }

private:
  struct State {
    bool m_fired = false;
    std::uint64_t m_turn = 0; ///< Rises with each arming and disarming.
  };
  asio::steady_timer m_timer;
  /// Shared with waits whose end is already on its way.
  std::shared_ptr<State> m_state = std::make_shared<State>();
};

} // namespace primroseworks::gateway

#endif
