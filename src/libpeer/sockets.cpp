// Channels over websocketpp; the only unit that includes its headers.
#include "libpeer/channel_pvt.h"

#include <map>
#include <set>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio.hpp>
#include <websocketpp/config/asio_client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace primroseworks::pvt {
namespace {

using Handle = websocketpp::connection_hdl;

/// Channel over one kind of websocketpp connection.
template <class Connection> class SocketChannel final : public Channel {
public:
  SocketChannel(asio::io_context &Io, std::shared_ptr<Connection> Socket)
      : Channel(Io), m_socket(std::move(Socket)) {}

  void write(const std::string &Bytes) override {
    if (m_closed || !m_open)
      return;
    if (m_socket->send(Bytes, websocketpp::frame::opcode::binary))
      close();
  }
  void close() override {
    if (m_closed)
      return;
    // A silent peer never answers a closing handshake.
    asio::error_code Ignored;
    m_socket->get_raw_socket().close(Ignored);
    closed();
  }
  std::size_t unwritten() const override {
    return m_socket->get_buffered_amount();
  }
  void allowLargeMessages() override {
    m_proved = true;
    m_socket->set_max_message_size(MaxMessageBytes);
  }

private:
  std::shared_ptr<Connection> m_socket;
};

template <class ServerConfig, class ClientConfig>
class SocketsOf final : public Sockets {
  using Server = websocketpp::server<ServerConfig>;
  using Client = websocketpp::client<ClientConfig>;

public:
  SocketsOf(asio::io_context &Io, const TlsContext &Tls, AcceptHandler Accepted)
      : m_io(Io), m_accepted(std::move(Accepted)) {
    prepare(m_server, Tls);
    prepare(m_client, Tls);
    m_server.set_reuse_addr(true);
    m_server.set_tcp_pre_init_handler(
        [this](const Handle &Socket) { limitUnproved(Socket); });
    m_server.set_open_handler([this](const Handle &Socket) {
      ChannelPtr Opened = attach(Socket);
      Opened->opened();
      m_accepted(Opened);
    });
    m_server.set_fail_handler(
        [this](const Handle &Socket) { m_unproved.erase(Socket); });
  }

  Result<std::uint16_t> listen(const std::string &Address,
                               std::uint16_t Port) override {
    asio::error_code Failure;
    const auto Ip = asio::ip::make_address(Address, Failure);
    websocketpp::lib::error_code ListenFailure;
    if (!Failure)
      m_server.listen(asio::ip::tcp::endpoint(Ip, Port), ListenFailure);
    if (!Failure && !ListenFailure)
      m_server.start_accept(ListenFailure);
    if (Failure || ListenFailure)
      return makeError(ErrorKind::Unavailable,
                       "cannot listen on " + Address + " port " +
                           std::to_string(Port) +
                           "; set a free port of this VM's address");
    return m_server.get_local_endpoint(Failure).port();
  }

  void stopListening() override {
    websocketpp::lib::error_code Ignored;
    if (m_server.is_listening())
      m_server.stop_listening(Ignored);
  }

  ChannelPtr connect(const std::string &Address, std::uint16_t Port) override {
    const bool V6 = Address.find(':') != std::string::npos;
    const std::string Uri = std::string(Secure ? "wss://" : "ws://") +
                            (V6 ? "[" + Address + "]" : Address) + ":" +
                            std::to_string(Port);
    websocketpp::lib::error_code Failure;
    auto Socket = m_client.get_connection(Uri, Failure);
    if (Failure)
      return nullptr;
    using Connection = typename Client::connection_type;
    auto Out = std::make_shared<SocketChannel<Connection>>(m_io, Socket);
    bind(Socket, Out);
    std::weak_ptr<Channel> Weak = Out;
    Socket->set_open_handler([this, Weak](const Handle &Opened) {
      setNoDelay(m_client.get_con_from_hdl(Opened));
      if (ChannelPtr Receiver = Weak.lock())
        Receiver->opened();
    });
    Socket->set_fail_handler([Weak](const Handle &) {
      if (ChannelPtr Receiver = Weak.lock())
        Receiver->closed();
    });
    m_client.connect(Socket);
    return Out;
  }

  void settled(const Channel &Accepted) override {
    auto It = m_handles.find(&Accepted);
    if (It == m_handles.end())
      return;
    m_unproved.erase(It->second);
    m_handles.erase(It);
  }

private:
  static constexpr bool Secure =
      std::is_same_v<ServerConfig, websocketpp::config::asio_tls>;

  template <class Endpoint>
  void prepare(Endpoint &Target, const TlsContext &Tls) {
    Target.clear_access_channels(websocketpp::log::alevel::all);
    Target.clear_error_channels(websocketpp::log::elevel::all);
    Target.init_asio(&m_io);
    Target.set_open_handshake_timeout(HandshakeTimeout.count());
    Target.set_max_message_size(MaxHandshakeBytes);
    Target.set_max_http_body_size(MaxHandshakeBytes);
    if constexpr (Secure)
      Target.set_tls_init_handler([Tls](const Handle &) { return Tls; });
  }

  void limitUnproved(const Handle &Socket) {
    if (m_unproved.size() < MaxUnproved) {
      m_unproved.insert(Socket);
      return;
    }
    asio::error_code Ignored;
    m_server.get_con_from_hdl(Socket)->get_raw_socket().close(Ignored);
  }

  template <class Socket> void setNoDelay(const Socket &Target) {
    asio::error_code Ignored;
    Target->get_raw_socket().set_option(asio::ip::tcp::no_delay(true), Ignored);
  }

  template <class Socket, class Target>
  void bind(const Socket &From, const std::shared_ptr<Target> &To) {
    // The connection owns its handlers; a strong reference to the channel,
    // which owns the connection, would be a cycle.
    std::weak_ptr<Channel> Weak = To;
    From->set_message_handler([Weak](const Handle &, auto Message) {
      if (ChannelPtr Receiver = Weak.lock())
        Receiver->arrived(Message->get_payload());
    });
    From->set_close_handler([Weak](const Handle &) {
      if (ChannelPtr Receiver = Weak.lock())
        Receiver->closed();
    });
  }

  ChannelPtr attach(const Handle &Socket) {
    using Connection = typename Server::connection_type;
    auto Accepted = m_server.get_con_from_hdl(Socket);
    setNoDelay(Accepted);
    auto Out = std::make_shared<SocketChannel<Connection>>(m_io, Accepted);
    bind(Accepted, Out);
    m_handles[Out.get()] = Socket;
    return Out;
  }

  using HandleSet = std::set<Handle, std::owner_less<Handle>>;
  asio::io_context &m_io;
  AcceptHandler m_accepted;
  HandleSet m_unproved;
  std::map<const Channel *, Handle> m_handles;
  Server m_server;
  Client m_client;
};

} // namespace

std::unique_ptr<Sockets> createSockets(asio::io_context &Io,
                                       const TlsContext &Tls,
                                       AcceptHandler Accepted) {
  if (Tls)
    return std::make_unique<SocketsOf<websocketpp::config::asio_tls,
                                      websocketpp::config::asio_tls_client>>(
        Io, Tls, std::move(Accepted));
  return std::make_unique<
      SocketsOf<websocketpp::config::asio, websocketpp::config::asio_client>>(
      Io, nullptr, std::move(Accepted));
}

} // namespace primroseworks::pvt
