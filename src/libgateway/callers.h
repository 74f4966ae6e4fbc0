// Listener for callers: accepts connections, reads requests within the
// configured limits and runs one exchange at a time on each connection.
#ifndef PRIMROSEWORKS_LIBGATEWAY_CALLERS_H
#define PRIMROSEWORKS_LIBGATEWAY_CALLERS_H

#include "libgateway/core.h"
#include "libgateway/exchange.h"

#include <asio/awaitable.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <set>

namespace primroseworks::gateway {

/// A caller that has not accepted data or acknowledged keep-alive probes for
/// this long is considered gone.
inline constexpr Milliseconds CallerUnresponsiveTimeout{8000};
/// Bytes of pipelined requests that are buffered while a request is served.
inline constexpr std::size_t MaxPipelinedBytes = 65'536;
/// After the last response on a connection, bytes of its caller are read and
/// dropped for this long, unless it closes earlier. Closing a socket with
/// unread bytes resets the connection, and the caller may lose the response.
inline constexpr Milliseconds LingerTime{500};
/// Length of the queue of connections that are not yet accepted.
inline constexpr int AcceptBacklog = 1024;
/// File descriptors reserved for everything but callers: endpoints, store and
/// files.
inline constexpr unsigned ReservedDescriptors = 700;

class CallerListener;

/// One connection of a caller.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
  CallerConnection(Core &Shared, CallerListener &Listener,
                   asio::ip::tcp::socket Socket);
  /// Serves requests until the connection is closed.
  asio::awaitable<void> run();
  /// Closes the connection unless a request is being read or served or has
  /// already arrived.
  void closeIfIdle();
  /// Ends the current request, see Exchange::onProcessEnding().
  void endRequest();
  bool idle() const { return !m_exchange && !m_reader.started(); }

private:
  /// How a wait for bytes of the caller ended.
  enum class ReadEnd { Bytes, TimedOut, Closed };

  asio::awaitable<void> serveRequests();
  asio::awaitable<bool> readRequest();
  std::optional<unsigned> parse(const CallerLimits &Limits);
  std::optional<unsigned> takeBody(const CallerLimits &Limits);
  asio::awaitable<bool> answerExpectation(Milliseconds BodyTimeout);
  asio::awaitable<ReadEnd> readMore();
  asio::awaitable<bool> onReadEnded(ReadEnd End);
  CallerLimits limits() const;
  void limitIdleTime();
  void limitRequestTime(Milliseconds Timeout);
  asio::awaitable<bool> reject(unsigned Status, std::string ExtraHeaders = "");
  asio::awaitable<bool> rejectForMemory();
  void dropRequest();
  asio::awaitable<void> linger();
  void startMonitoring();
  void stopMonitoring();
  void waitReadable();
  void onReadable(std::error_code Ec);

  Core &m_core;
  CallerListener &m_listener;
  asio::ip::tcp::socket m_socket;
  Watchdog m_readTimer; ///< Cancels the read when it expires.
  std::string m_input;  ///< Received but not yet parsed.
  HttpReader m_reader;
  std::string m_body;
  const std::string m_peer; ///< Address of the caller.
  /// Of the request that is read or served, and of bytes that follow it.
  MemoryClaimPtr m_memory;
  std::size_t m_requestMemory = 0;    ///< Part of m_memory without those bytes.
  bool m_expectationAnswered = false; ///< Of the request that is being read.
  TimePoint m_idleSince{};            ///< When the wait for a request began.
  TimePoint m_firstByteAt{};
  std::shared_ptr<Exchange> m_exchange; ///< The current request; null if none.
  bool m_monitoring = false;
  /// The caller may still read a response that was sent last.
  bool m_lingers = false;
};

class CallerListener {
public:
  explicit CallerListener(Core &Shared)
      : m_core(Shared), m_acceptor(Shared.m_io) {}
  /// Listens on Address. Fails with Unavailable if that is not possible, for
  /// example because the port is in use.
  Result<void> open(const std::string &Address);
  asio::awaitable<void> run();
  /// Stops accepting connections.
  void stopAccepting();
  void closeIdleConnections();
  /// Ends all requests, since this process is about to end.
  void endRequests();
  /// Number of connections that read or serve a request.
  std::size_t busyConnections() const;
  std::size_t size() const { return m_connections.size(); }
  void onConnectionClosed(CallerConnection *C) { m_connections.erase(C); }

private:
  Core &m_core;
  asio::ip::tcp::acceptor m_acceptor;
  /// Connections remove themselves when they are closed.
  std::set<CallerConnection *> m_connections;
};

} // namespace primroseworks::gateway

#endif
