// A TCP proxy on loopback whose links can be made to fail.
#ifndef PRIMROSE_SOAK_PROXY_H
#define PRIMROSE_SOAK_PROXY_H

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <set>
#include <string>

namespace primroseworks::soak {

enum class LinkState {
  Up,
  Delayed,  ///< Bytes wait for 120 ms.
  OneWay,   ///< Bytes to the target pass, bytes back wait.
  Silent,   ///< Bytes wait in both directions, on new connections too.
  OldSilent ///< As Silent, for connections that were open when it began.
};

class Proxy {
public:
  /// Listens at a free port of Ip and forwards to Target, "IP:PORT".
  Proxy(asio::io_context &Io, const std::string &Ip, std::string Target);
  std::string address() const;
  void setState(LinkState State);
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

  asio::awaitable<void> accept();
  asio::awaitable<void> connect(LinkPtr L);
  asio::awaitable<void> pump(LinkPtr L, bool Back);
  bool holds(const Link &L, bool Back) const;
  static void end(const LinkPtr &L, bool Reset);

  asio::io_context &m_io;
  asio::ip::tcp::acceptor m_acceptor;
  std::string m_target;
  LinkState m_state = LinkState::Up;
  std::set<LinkPtr> m_links;
};

} // namespace primroseworks::soak

#endif
