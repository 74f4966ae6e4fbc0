// Outgoing HTTP connections: opened with a timeout, pooled while they are idle,
// and closed as soon as an idle one receives unsolicited data.
#ifndef PRIMROSEWORKS_LIBGATEWAY_CONNECTIONS_H
#define PRIMROSEWORKS_LIBGATEWAY_CONNECTIONS_H

#include "libgateway/httpmessage.h"
#include "libgateway/memorybudget.h"
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

/// Largest body that is read into memory: of a response that is not a stream,
/// or of a list of the store.
inline constexpr std::size_t MaxResponseBodyBytes = 8'388'608;

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
  /// Whether any byte of the current response has arrived.
  bool responseStarted() const { return m_reader.started(); }
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
  bool m_sent = false; ///< Bytes of the current request may have been sent.
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

/// How an attempt to open a connection ended.
enum class ConnectOutcome {
  Accepted,
  Refused,    ///< Nothing listens at the address.
  Unreachable ///< No answer in time, or another error.
};

/// An idle connection is closed this long before the peer would close it, so
/// that no request races with the close.
inline constexpr Milliseconds IdleMargin{500};

class ConnectionPool {
public:
  explicit ConnectionPool(asio::io_context &Io) : m_io(Io) {}
  /// Counts the responses of calls against Budget from now on, which must
  /// exist as long as the pool.
  void limitMemory(MemoryBudget &Budget) { m_memory = &Budget; }
  MemoryBudget *memory() const { return m_memory; }
  /// Returns an idle connection of Key, or a new one to Address. Fails with
  /// NotFound if nothing listens at Address, with Unavailable if no connection
  /// is open within Timeout.
  asio::awaitable<Result<ConnectionPtr>> acquire(std::string Key,
                                                 std::string Address,
                                                 Milliseconds Timeout,
                                                 Milliseconds SilenceTimeout);
  /// Opens a new connection to Address, whatever is idle, and keeps it for
  /// later requests of Key.
  asio::awaitable<ConnectOutcome> probe(std::string Key, std::string Address,
                                        Milliseconds Timeout,
                                        Milliseconds SilenceTimeout);
  /// Returns a connection to the pool if its response is complete and it can be
  /// reused; closes it otherwise.
  void release(const ConnectionPtr &C, TimePoint Now);
  /// Returns a connection on which nothing was sent since it was acquired.
  void releaseUnused(const ConnectionPtr &C, TimePoint Now);
  /// Closes connections that have reached their idle limit.
  void expire(TimePoint Now);
  /// Closes the idle connections of Key.
  void drop(const std::string &Key);
  std::uint64_t opened() const { return m_opened; }
  unsigned inUse(const std::string &Key) const;

private:
  asio::awaitable<std::error_code> open(ConnectionPtr C, std::string Address,
                                        Milliseconds Timeout,
                                        Milliseconds SilenceTimeout);
  void addIdle(const ConnectionPtr &C, TimePoint Now);
  void watchIdle(const ConnectionPtr &C);
  ConnectionPtr acquireIdle(const std::string &Key);

  asio::io_context &m_io;
  MemoryBudget *m_memory = nullptr; ///< Null: unlimited.
  std::map<std::string, std::vector<ConnectionPtr>> m_idle;
  std::uint64_t m_opened = 0;
};

/// A complete response.
struct HttpClientResponse {
  HttpHead m_head;
  std::string m_body;
};

/// Limits of a call.
struct CallLimits {
  /// Both time limits are Total.
  CallLimits(Milliseconds Total, std::size_t BodyBytes = MaxResponseBodyBytes)
      : CallLimits(Total, Total, BodyBytes) {}
  CallLimits(Milliseconds Silence, Milliseconds Total,
             std::size_t BodyBytes = MaxResponseBodyBytes)
      : m_silence(Silence), m_total(Total), m_bodyBytes(BodyBytes) {}

  Milliseconds m_silence;  ///< Until the next part of the response arrives.
  Milliseconds m_total;    ///< Until the response is complete.
  std::size_t m_bodyBytes; ///< Largest body of the response.
};

/// After which responses of a call its connection is used again.
enum class ConnectionReuse {
  Always,
  /// After 2xx only: a server in trouble may repeat a refusal, which then would
  /// count as the response to the next call.
  AfterSuccess
};

/// Sends one request and reads the complete response. Fails with Unavailable
/// (not sent), Timeout (sent, but no complete response arrived in time) or Full
/// (the response exceeds its limit or the memory of this process).
asio::awaitable<Result<HttpClientResponse>>
callHttp(asio::io_context &Io, ConnectionPool &Pool, std::string Key,
         std::string Address, std::string Request, CallLimits Limits,
         ConnectionReuse Reuse = ConnectionReuse::Always);

/// Limits the time of a task's wait on a socket. After disarm() or a later
/// arm() an earlier limit has no effect, even if its time has already passed.
class Watchdog {
public:
  using Action = std::function<void()>;
  /// Called when the time has come; returning a later time extends the wait.
  using Extension = std::function<TimePoint(TimePoint Now)>;

  explicit Watchdog(asio::io_context &Io) : m_timer(Io) {}
  ~Watchdog() { disarm(); }
  Watchdog(const Watchdog &) = delete;
  Watchdog &operator=(const Watchdog &) = delete;
  /// Calls OnExpired at the time At, unless it is disarmed or rearmed before,
  /// or Extend returns a later time.
  void arm(TimePoint At, Action OnExpired, Extension Extend = nullptr);
  /// Closes C in the same way.
  void arm(const ConnectionPtr &C, TimePoint At, Extension Extend = nullptr);
  /// Expires at once if it is armed.
  void expireNow();
  void disarm();
  bool fired() const { return m_state->m_fired; }

private:
  struct State {
    bool m_fired = false;
    /// Incremented when armed and when disarmed.
    std::uint64_t m_generation = 0;
    Action m_onExpired; ///< Null unless armed.
  };
  static void expire(State &S);

  asio::steady_timer m_timer;
  /// Shared with timer handlers that are already queued.
  std::shared_ptr<State> m_state = std::make_shared<State>();
};

} // namespace primroseworks::gateway

#endif
