// A TCP proxy on loopback whose links can be made to fail.
#ifndef PRIMROSE_SOAK_PROXY_H
#define PRIMROSE_SOAK_PROXY_H

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace primroseworks::soak {

enum class LinkState {
  Up,
  Delayed,   ///< Bytes wait for 120 ms.
  OneWay,    ///< Bytes to the target pass, bytes back wait.
  Silent,    ///< Bytes wait in both directions, on new connections too.
  OldSilent, ///< As Silent, for connections that were open when it began.
  /// Packets get lost: some bytes wait until they are sent again, and some
  /// connections open late.
  Lossy,
  Unreachable, ///< New connections are not accepted; connecting takes forever.
  Refused      ///< New connections are refused, as if the target had ended.
};

class Proxy {
public:
  /// Listens at a free port of Ip and forwards to Target, "IP:PORT".
  Proxy(asio::io_context &Io, const std::string &Ip, std::string Target);
  std::string address() const;
  void setState(LinkState State);
  /// When it last had a fault; Now, while it has one.
  std::chrono::steady_clock::time_point
  lastFault(std::chrono::steady_clock::time_point Now) const {
    return m_state == LinkState::Up ? m_lastFault : Now;
  }
  /// Resets the open connections.
  void reset();

private:
  struct Link {
    explicit Link(asio::io_context &Io) : m_near(Io), m_far(Io) {}
    asio::ip::tcp::socket m_near; ///< Of who connected.
    asio::ip::tcp::socket m_far;  ///< Of the target.
    bool m_old = false;           ///< Open when the state was last set.
  };
  using LinkPtr = std::shared_ptr<Link>;

  void listen();
  asio::awaitable<void> accept();
  asio::awaitable<void> connect(LinkPtr L);
  asio::awaitable<void> pump(LinkPtr L, bool Back);
  bool holds(const Link &L, bool Back) const;
  /// Waits as long as a packet that may get lost, more than once, is late.
  asio::awaitable<void> pauseForLostPackets(std::chrono::milliseconds First);
  static void end(const LinkPtr &L, bool Reset);

  asio::io_context &m_io;
  asio::ip::tcp::acceptor m_acceptor;
  asio::ip::tcp::endpoint m_address;
  std::string m_target;
  LinkState m_state = LinkState::Up;
  std::chrono::steady_clock::time_point m_lastFault; ///< Its end.
  std::minstd_rand m_random{1}; ///< Draws the packets that get lost.
  std::set<LinkPtr> m_links;
};

} // namespace primroseworks::soak

#endif
