// The port for callers: accepts connections, reads requests within the
// operators' limits and runs one exchange after the other on each.
#ifndef PRIMROSEWORKS_LIBGATEWAY_CALLERS_H
#define PRIMROSEWORKS_LIBGATEWAY_CALLERS_H

#include "libgateway/core.h"
#include "libgateway/exchange.h"

#include <asio/awaitable.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <set>

namespace primroseworks::gateway {

/// A caller that takes no bytes for this long has gone.
inline constexpr Milliseconds CallerSilenceLimit{8000};
/// Bytes of further requests that are read while one is served.
inline constexpr std::size_t PipelinedBytesLimit = 65'536;
/// Connections waiting to be accepted.
inline constexpr int AcceptBacklog = 1024;
/// Descriptors left for everything but callers: endpoints, store, files.
inline constexpr unsigned ReservedDescriptors = 700;

class CallerListener;

/// One connection of a caller.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
  CallerConnection(Core &Shared, CallerListener &Port,
                   asio::ip::tcp::socket Socket);
  /// Serves requests until the connection ends.
  asio::awaitable<void> run();
  /// Closes the connection if it serves no request now.
  void closeIfIdle();
  bool idle() const { return !m_exchange && !m_reader.started(); }

private:
  asio::awaitable<bool> readRequest();
  asio::awaitable<bool> refuse(unsigned Status);
  void startWatching();
  void stopWatching();
  void watchOnce();
  void onReadable(std::error_code Ec);

  Core &m_core;
  CallerListener &m_port;
  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_timer;
  std::string m_input; ///< Read and not yet given to the reader.
  HttpReader m_reader;
  std::string m_body;
  TimePoint m_firstByte{};
  std::shared_ptr<Exchange> m_exchange; ///< In progress.
  bool m_watching = false;
  bool m_timedOut = false;
};

class CallerListener {
public:
  explicit CallerListener(Core &Shared)
      : m_core(Shared), m_acceptor(Shared.m_io) {}
  /// Listens at Address. Fails with Unavailable if it is taken.
  Result<void> open(const std::string &Address);
  asio::awaitable<void> run();
  /// Takes no further connections.
  void stopAccepting();
  void closeIdle();
  /// Connections that serve a request.
  std::size_t busy() const;
  std::size_t size() const { return m_connections.size(); }
  void onEnded(CallerConnection *C) { m_connections.erase(C); }

private:
  Core &m_core;
  asio::ip::tcp::acceptor m_acceptor;
  std::set<CallerConnection *> m_connections; ///< Alive while they run.
};

} // namespace primroseworks::gateway

#endif
