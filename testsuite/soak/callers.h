// Callers of the soak: they send requests over kept connections and check each
// answer.
#ifndef PRIMROSE_SOAK_CALLERS_H
#define PRIMROSE_SOAK_CALLERS_H

#include "checker.h"
#include "gatewayprocess.h"

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace primroseworks::soak {

class Callers {
public:
  Callers(asio::io_context &Io, Checker &Check,
          std::vector<std::unique_ptr<GatewayProcess>> &Gateways,
          std::uint64_t Seed)
      : m_io(Io), m_check(Check), m_gateways(Gateways), m_random(Seed) {}
  /// Starts callers that go on until stop.
  void start(unsigned Count);
  void stop() { m_stopped = true; }
  bool idle() const { return m_active == 0; }
  /// Whether a connection that ends without an answer breaks a promise now: no
  /// fault excuses it.
  bool m_calm = false;

  /// Status of one request for Path at a gateway; 0 without an answer.
  asio::awaitable<unsigned> probe(std::string Address, std::string Path);

private:
  using Socket = asio::ip::tcp::socket;

  asio::awaitable<void> run();
  asio::awaitable<Verdict> attempt(Socket &S, std::string Address,
                                   std::string Id, Work W,
                                   std::string Artifact);

  asio::io_context &m_io;
  Checker &m_check;
  std::vector<std::unique_ptr<GatewayProcess>> &m_gateways;
  std::mt19937_64 m_random;
  unsigned m_next = 0;
  unsigned m_active = 0;
  bool m_stopped = false;
};

} // namespace primroseworks::soak

#endif
