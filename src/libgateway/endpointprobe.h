// Asks the addresses of endpoints whether they accept connections.
#ifndef PRIMROSEWORKS_LIBGATEWAY_ENDPOINTPROBE_H
#define PRIMROSEWORKS_LIBGATEWAY_ENDPOINTPROBE_H

#include "libgateway/connections.h"

#include <map>
#include <memory>
#include <string>

namespace primroseworks::gateway {

/// Timeout of the connection. Requests that were broken off wait for it before
/// they are sent to another endpoint.
inline constexpr Milliseconds EndpointProbeTimeout{200};

class EndpointProbe {
public:
  EndpointProbe(asio::io_context &Io, ConnectionPool &Pool)
      : m_io(Io), m_pool(Pool) {}
  /// Opens a connection, which the pool keeps under Key. Whoever asks for the
  /// same key meanwhile gets the same result.
  asio::awaitable<ConnectOutcome> ask(std::string Key, std::string Address,
                                      Milliseconds SilenceTimeout);

private:
  struct Pending {
    explicit Pending(asio::io_context &Io)
        : m_done(Io, asio::steady_timer::time_point::max()) {}
    asio::steady_timer m_done; ///< Cancelled when m_outcome is known.
    ConnectOutcome m_outcome = ConnectOutcome::Unreachable;
  };

  asio::io_context &m_io;
  ConnectionPool &m_pool;
  std::map<std::string, std::shared_ptr<Pending>> m_pending; ///< By key.
};

} // namespace primroseworks::gateway

#endif
