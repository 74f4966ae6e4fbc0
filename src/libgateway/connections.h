// Outgoing HTTP connections: opened with a timeout, pooled while they are idle,
// and closed as soon as an idle one receives unsolicited data. Calls that use
// them for one request.
#ifndef PRIMROSEWORKS_LIBGATEWAY_CONNECTIONS_H
#define PRIMROSEWORKS_LIBGATEWAY_CONNECTIONS_H

#include "libgateway/connection.h"
#include "libgateway/memorybudget.h"
#include "primroseworks/error.h"
#include "primroseworks/time.h"

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
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

/// Ends a call from outside, before or while it waits for its response.
class CallHandle {
public:
  void begin(const ConnectionPtr &C) {
    m_connection = C;
    if (m_ended)
      C->close();
  }
  /// The connection is no longer that of the call.
  void finish() { m_connection.reset(); }
  void end() {
    m_ended = true;
    if (const ConnectionPtr C = m_connection.lock())
      C->close();
  }

private:
  std::weak_ptr<Connection> m_connection;
  bool m_ended = false;
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
  /// Must exist until the call returns; null if nothing ends the call early.
  CallHandle *m_handle = nullptr;
};

/// After which responses of a call its connection is used again.
enum class ConnectionReuse {
  Always,
  /// After 2xx only: a server in trouble may repeat a refusal, which then would
  /// count as the response to the next call.
  AfterSuccess
};

/// Most 1xx responses of a call before its final one.
inline constexpr unsigned MaxInterimResponsesOfCall = 8;

/// Sends one request and reads the complete response, whose status is a final
/// one. Fails with Unavailable (not sent), Timeout (sent, but no complete and
/// valid response arrived in time) or Full (the response exceeds its limit or
/// the memory of this process).
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
