// TCP proxies in front of the daemons' peer ports.
#include "peerproxy.h"

#include "primroseworks/time.h"

#include <array>
#include <asio.hpp>
#include <atomic>
#include <deque>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <mutex>
#include <sstream>
#include <sys/socket.h>
#include <thread>

namespace primroseworks::faults {

namespace {

using asio::ip::tcp;

constexpr std::size_t BufferBytes = 16384;
constexpr Milliseconds CutPoll{20};

tcp::endpoint loopback(std::uint16_t Port) {
  return {asio::ip::address_v4::loopback(), Port};
}

/// Inodes of the TCP connections with this local port.
std::vector<std::string> inodesOf(std::uint16_t Port) {
  std::vector<std::string> Out;
  std::ifstream In("/proc/net/tcp");
  const std::string Suffix = fmt::format(":{:04X}", Port);
  for (std::string Line; std::getline(In, Line);) {
    std::istringstream Fields(Line);
    std::vector<std::string> F;
    for (std::string Field; Fields >> Field;)
      F.push_back(Field);
    constexpr std::size_t Local = 1;
    constexpr std::size_t Inode = 9;
    if (F.size() > Inode && F[Local].size() > Suffix.size() &&
        F[Local].compare(F[Local].size() - Suffix.size(), Suffix.size(),
                         Suffix) == 0)
      Out.push_back(F[Inode]);
  }
  return Out;
}

/// One proxied connection, forwarded by a thread in each direction.
struct Pair {
  explicit Pair(tcp::socket Accepted)
      : m_caller(std::move(Accepted)), m_daemon(m_caller.get_executor()) {}
  /// Ends both directions. The sockets are closed with the last thread.
  void shutdown() {
    asio::error_code Ignored;
    m_caller.shutdown(tcp::socket::shutdown_both, Ignored);
    m_daemon.shutdown(tcp::socket::shutdown_both, Ignored);
  }
  tcp::socket m_caller;
  tcp::socket m_daemon;
  std::optional<unsigned> m_from;
  unsigned m_to = 0;
};
using PairPtr = std::shared_ptr<Pair>;

class PeerProxyImpl final : public PeerProxy {
public:
  explicit PeerProxyImpl(PeerProxyOptions Options)
      : m_options(std::move(Options)) {}
  ~PeerProxyImpl() override {
    m_stopping = true;
    for (tcp::acceptor &Acceptor : m_acceptors)
      ::shutdown(Acceptor.native_handle(), SHUT_RDWR);
    for (std::thread &Accepting : m_accepting)
      Accepting.join();
    std::vector<std::thread> Forwarding;
    {
      std::lock_guard<std::mutex> Lock(m_mutex);
      for (const auto &Weak : m_pairs)
        if (PairPtr P = Weak.lock())
          P->shutdown();
      Forwarding.swap(m_forwarding);
    }
    for (std::thread &Each : Forwarding)
      Each.join();
  }

  Result<void> start() {
    for (const ProxiedPort &Port : m_options.m_ports) {
      tcp::acceptor &Acceptor = m_acceptors.emplace_back(m_io);
      asio::error_code Failed;
      Acceptor.open(tcp::v4(), Failed);
      Acceptor.set_option(tcp::acceptor::reuse_address(true), Failed);
      Acceptor.bind(loopback(Port.m_advertised), Failed);
      if (!Failed)
        Acceptor.listen(asio::socket_base::max_listen_connections, Failed);
      if (Failed)
        return makeError(ErrorKind::Unavailable,
                         "a proxy cannot listen: " + Failed.message());
    }
    for (unsigned To = 0; To < m_acceptors.size(); ++To)
      m_accepting.emplace_back([this, To] { accept(To); });
    return boost::outcome_v2::success();
  }

  void setCut(std::function<bool(unsigned, unsigned)> IsCut) override {
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_isCut = std::move(IsCut);
  }

private:
  bool isCut(const Pair &P) const {
    std::lock_guard<std::mutex> Lock(m_mutex);
    return m_isCut && P.m_from && m_isCut(*P.m_from, P.m_to);
  }

  void accept(unsigned To) {
    while (!m_stopping) {
      asio::error_code Failed;
      tcp::socket Accepted = m_acceptors[To].accept(Failed);
      if (Failed)
        continue;
      auto P = std::make_shared<Pair>(std::move(Accepted));
      const tcp::endpoint Caller = P->m_caller.remote_endpoint(Failed);
      P->m_from = m_options.m_daemonAt(Caller.port());
      P->m_to = To;
      std::lock_guard<std::mutex> Lock(m_mutex);
      m_pairs.push_back(P);
      m_forwarding.emplace_back([this, P] { serve(P); });
    }
  }

  void serve(const PairPtr &P) {
    asio::error_code Failed;
    if (isCut(*P)) {
      // The request to connect is lost: nothing answers until it gives up.
      std::array<char, BufferBytes> Ignored{};
      while (!Failed)
        P->m_caller.read_some(asio::buffer(Ignored), Failed);
      return;
    }
    P->m_daemon.connect(loopback(m_options.m_ports[P->m_to].m_real), Failed);
    if (Failed)
      return P->shutdown();
    std::thread Back([&] { forward(*P, P->m_daemon, P->m_caller); });
    forward(*P, P->m_caller, P->m_daemon);
    Back.join();
  }

  void forward(Pair &P, tcp::socket &From, tcp::socket &To) {
    std::array<char, BufferBytes> Buffer{};
    asio::error_code Failed;
    while (!Failed) {
      const std::size_t Size = From.read_some(asio::buffer(Buffer), Failed);
      while (isCut(P) && !m_stopping)
        std::this_thread::sleep_for(CutPoll);
      if (!Failed)
        asio::write(To, asio::buffer(Buffer.data(), Size), Failed);
    }
    P.shutdown();
  }

  PeerProxyOptions m_options;
  asio::io_context m_io;
  std::deque<tcp::acceptor> m_acceptors;
  std::vector<std::thread> m_accepting;
  std::atomic<bool> m_stopping{false};
  mutable std::mutex m_mutex; ///< Guards what follows.
  std::function<bool(unsigned, unsigned)> m_isCut;
  std::vector<std::weak_ptr<Pair>> m_pairs;
  std::vector<std::thread> m_forwarding;
};

} // namespace

bool holdsPort(int Pid, std::uint16_t Port) {
  const auto Inodes = inodesOf(Port);
  std::error_code Failed;
  std::filesystem::directory_iterator Open(fmt::format("/proc/{}/fd", Pid),
                                           Failed);
  if (Failed)
    return false;
  for (const auto &File : Open) {
    std::error_code Closed; // Between the listing and the reading.
    const std::string Target =
        std::filesystem::read_symlink(File.path(), Closed).string();
    for (const std::string &Inode : Inodes)
      if (!Closed && Target == "socket:[" + Inode + "]")
        return true;
  }
  return false;
}

Result<std::unique_ptr<PeerProxy>> PeerProxy::create(PeerProxyOptions Options) {
  auto Made = std::make_unique<PeerProxyImpl>(std::move(Options));
  BOOST_OUTCOME_TRYV(Made->start());
  return std::unique_ptr<PeerProxy>(std::move(Made));
}

} // namespace primroseworks::faults
