// Forwarding with faults.
#include "proxy.h"

#include "libgateway/connections.h"

#include <array>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <utility>

namespace primroseworks::soak {

namespace {

constexpr std::chrono::milliseconds HoldPoll{10};
constexpr std::chrono::milliseconds LinkDelay{120};
constexpr std::size_t BufferBytes = 16384;
/// TCP sends a lost packet again after this time, a lost one that opens a
/// connection after ConnectRetry; doubled with each further loss.
constexpr std::chrono::milliseconds PacketRetry{200};
constexpr std::chrono::milliseconds ConnectRetry{1000};
constexpr unsigned OneLostPacketIn = 5;
/// Connections that the system accepts before Proxy::accept() takes them.
constexpr int Backlog = 256;

asio::awaitable<void> pause(asio::io_context &Io,
                            std::chrono::milliseconds Time) {
  asio::steady_timer Timer(Io, Time);
  std::error_code Ignored;
  co_await Timer.async_wait(asio::redirect_error(asio::use_awaitable, Ignored));
}

} // namespace

Proxy::Proxy(asio::io_context &Io, const std::string &Ip, std::string Target)
    : m_io(Io), m_acceptor(Io, {asio::ip::make_address(Ip), 0}),
      m_address(m_acceptor.local_endpoint()), m_target(std::move(Target)) {
  asio::co_spawn(
      m_io, [this] { return accept(); }, asio::detached);
}

std::string Proxy::address() const {
  return m_address.address().to_string() + ':' +
         std::to_string(m_address.port());
}

/// Listens again after connections were refused.
void Proxy::listen() {
  m_acceptor = asio::ip::tcp::acceptor(m_io, m_address);
  asio::co_spawn(
      m_io, [this] { return accept(); }, asio::detached);
}

void Proxy::setState(LinkState State) {
  const LinkState Before = std::exchange(m_state, State);
  m_lastFault = std::chrono::steady_clock::now();
  if (State == LinkState::Refused) {
    std::error_code Ignored;
    m_acceptor.close(Ignored);
    reset();
    return;
  }
  if (Before == LinkState::Refused)
    listen();
  // The system drops packets that open a connection while its queue is full.
  std::error_code Ignored;
  m_acceptor.listen(State == LinkState::Unreachable ? 0 : Backlog, Ignored);
  for (const LinkPtr &L : m_links)
    L->m_old = true;
}

void Proxy::end(const LinkPtr &L, bool Reset) {
  std::error_code Ignored;
  for (asio::ip::tcp::socket *S : {&L->m_near, &L->m_far}) {
    if (Reset && S->is_open())
      S->set_option(asio::socket_base::linger(true, 0), Ignored);
    S->close(Ignored);
  }
}

void Proxy::reset() {
  m_lastFault = std::chrono::steady_clock::now();
  for (const LinkPtr &L : m_links)
    end(L, true);
}

bool Proxy::holds(const Link &L, bool Back) const {
  switch (m_state) {
  case LinkState::Up:
  case LinkState::Delayed:
  case LinkState::Lossy:
  case LinkState::Unreachable:
  case LinkState::Refused:
    return false;
  case LinkState::OneWay:
    return Back;
  case LinkState::Silent:
    return true;
  case LinkState::OldSilent:
    return L.m_old;
  }
  return false;
}

asio::awaitable<void> Proxy::accept() {
  for (;;) {
    auto L = std::make_shared<Link>(m_io);
    std::error_code Ec;
    co_await m_acceptor.async_accept(
        L->m_near, asio::redirect_error(asio::use_awaitable, Ec));
    if (Ec)
      co_return;
    while (m_state == LinkState::Unreachable)
      co_await pause(m_io, HoldPoll);
    asio::co_spawn(
        m_io, [this, L] { return connect(L); }, asio::detached);
  }
}

asio::awaitable<void> Proxy::connect(LinkPtr L) {
  m_links.insert(L);
  co_await pauseForLostPackets(ConnectRetry);
  std::error_code Ec;
  co_await L->m_far.async_connect(
      gateway::parseAddress(m_target).value(),
      asio::redirect_error(asio::use_awaitable, Ec));
  if (Ec) {
    end(L, true);
    m_links.erase(L);
    co_return;
  }
  asio::co_spawn(
      m_io, [this, L] { return pump(L, true); }, asio::detached);
  co_await pump(L, false);
  m_links.erase(L);
}

asio::awaitable<void>
Proxy::pauseForLostPackets(std::chrono::milliseconds First) {
  for (auto Time = First;
       m_state == LinkState::Lossy && m_random() % OneLostPacketIn == 0;
       Time *= 2)
    co_await pause(m_io, Time);
}

asio::awaitable<void> Proxy::pump(LinkPtr L, bool Back) {
  asio::ip::tcp::socket &From = Back ? L->m_far : L->m_near;
  asio::ip::tcp::socket &To = Back ? L->m_near : L->m_far;
  std::array<char, BufferBytes> Buffer;
  for (;;) {
    std::error_code Ec;
    const std::size_t N = co_await From.async_read_some(
        asio::buffer(Buffer), asio::redirect_error(asio::use_awaitable, Ec));
    while (From.is_open() && holds(*L, Back))
      co_await pause(m_io, HoldPoll);
    if (m_state == LinkState::Delayed)
      co_await pause(m_io, LinkDelay);
    co_await pauseForLostPackets(PacketRetry);
    if (Ec == asio::error::eof) {
      // The other direction may still carry the rest of an answer.
      To.shutdown(asio::ip::tcp::socket::shutdown_send, Ec);
      co_return;
    }
    if (Ec) {
      end(L, true);
      co_return;
    }
    co_await asio::async_write(To, asio::buffer(Buffer.data(), N),
                               asio::redirect_error(asio::use_awaitable, Ec));
    if (Ec) {
      end(L, true);
      co_return;
    }
  }
}

} // namespace primroseworks::soak
