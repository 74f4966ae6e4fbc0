// Callers of the soak: they send requests over kept connections and check each
// answer.
#ifndef PRIMROSE_SOAK_CALLERS_H
#define PRIMROSE_SOAK_CALLERS_H

#include "checker.h"
#include "gatewayprocess.h"
#include "noticechecker.h"

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace primroseworks::soak {

/// Where callers report what they see, and the limit that they keep.
struct CallerChecks {
  Checker &m_check;
  NoticeChecker &m_notices;
  /// Idle time of callers' connections in the newest configuration.
  const std::chrono::milliseconds &m_idleTimeout;
};

class Callers {
public:
  Callers(asio::io_context &Io, const CallerChecks &Checks,
          std::vector<std::unique_ptr<GatewayProcess>> &Gateways,
          std::uint64_t Seed)
      : m_io(Io), m_check(Checks.m_check), m_notices(Checks.m_notices),
        m_idleTimeout(Checks.m_idleTimeout), m_gateways(Gateways),
        m_random(Seed) {}
  /// Starts callers that go on until stop.
  void start(unsigned Count);
  void stop() { m_stopped = true; }
  bool idle() const { return m_active == 0; }
  /// Whether a connection that ends without an answer breaks a promise now: no
  /// fault excuses it.
  bool m_calm = false;

  /// Status of one request for Path at a gateway; 0 without an answer. Its id
  /// begins with Prefix, its prompt has PromptPart.
  asio::awaitable<unsigned> probe(std::string Address, std::string Path,
                                  char Prefix = 'p', std::string Artifact = "",
                                  std::string PromptPart = "");

private:
  using Socket = asio::ip::tcp::socket;

  /// A caller's way to a gateway.
  struct Connection {
    explicit Connection(asio::io_context &Io) : m_socket(Io) {}
    Socket m_socket;
    GatewayProcess *m_gateway = nullptr;
    /// Of the gateway, when the connection was opened.
    unsigned m_interruptions = 0;
    Clock::time_point m_idleSince;
  };

  asio::awaitable<void> run();
  /// Waits until the next request. Callers that idle use up the idle time.
  asio::awaitable<void> rest(Connection &C, bool Idles);
  asio::awaitable<Verdict> attempt(Connection &C, std::string Id, Work W,
                                   std::string Artifact);
  /// Whether the gateway has to read a request that is sent now: it was not
  /// interrupted, and the connection stays within the idle time.
  bool mustBeRead(const Connection &C) const;

  asio::io_context &m_io;
  Checker &m_check;
  NoticeChecker &m_notices;
  const std::chrono::milliseconds &m_idleTimeout;
  std::vector<std::unique_ptr<GatewayProcess>> &m_gateways;
  std::mt19937_64 m_random;
  unsigned m_next = 0;
  unsigned m_active = 0;
  bool m_stopped = false;
};

} // namespace primroseworks::soak

#endif
