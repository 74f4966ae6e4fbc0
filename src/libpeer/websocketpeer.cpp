// Peer links over websockets. The links belong to one thread that runs the
// io_context; each connection and each peer is one coroutine, written straight
// down.
#include "libpeer/channel_pvt.h"
#include "libpeer/handshake_pvt.h"
#include "libpeer/peerbus_pvt.h"

#include <algorithm>
#include <random>
#include <spdlog/spdlog.h>
#include <thread>

namespace primroseworks {
namespace {

using pvt::ChannelPtr;
using Clock = std::chrono::steady_clock;
template <class T> using Task = asio::awaitable<T>;

constexpr Milliseconds MinBackoff{100};
constexpr Milliseconds MaxBackoff{2000};
/// The member with the higher name waits this long for the other to connect,
/// so that two members rarely open two links.
constexpr Milliseconds ConnectGrace{300};
/// An older link that was silent for this long gives way to a new one.
constexpr Milliseconds ReplaceSilence{1500};
/// Gossip waits while more than this is queued on a link.
constexpr std::size_t WritableBytes = 65'536;
/// While data is queued, the length of the queue is read this often.
constexpr Milliseconds QueuePoll{50};
constexpr Milliseconds ExpiryInterval{50};
constexpr Milliseconds LinkedPoll{500};
/// A stranger must not be able to fill the log.
constexpr Milliseconds RefusalLogInterval{10'000};
constexpr Milliseconds StopTimeout{2000};

/// An established link. The channel and the times belong to the network's
/// thread.
struct Link {
  std::string m_name;
  std::uint64_t m_incarnation = 0;
  bool m_called = false; ///< This side opened the connection.
  ChannelPtr m_channel;
  TimePoint m_lastSent;
  TimePoint m_lastHeard;
  TimePoint m_lastUse;
  /// Bytes accepted from senders and not yet given to the channel.
  std::atomic<std::size_t> m_posted{0};
  /// Bytes that the channel has not written, when last read.
  std::atomic<std::size_t> m_unwritten{0};

  std::size_t queued() const { return m_posted + m_unwritten; }
};

using LinkPtr = std::shared_ptr<Link>;

/// A listed member. m_waiting is guarded by the network's mutex.
struct Peer {
  explicit Peer(asio::io_context &Io) : m_wake(Io) {}
  PeerAddress m_address;
  bool m_removed = false;
  bool m_running = false; ///< Its coroutine exists.
  std::size_t m_waitingBytes = 0;
  std::vector<std::string> m_waiting; ///< Encoded, for a link to be opened.
  asio::steady_timer m_wake;          ///< Cancelled to end a pause.
};

using PeerPtr = std::shared_ptr<Peer>;

class WebsocketNetwork final : public WebsocketPeerNetwork,
                               public pvt::PeerTransport {
public:
  WebsocketNetwork(PeerNetworkOptions Options, pvt::TlsContext Tls)
      : m_options(std::move(Options)), m_tls(std::move(Tls)),
        m_bus(*this, m_options.m_name, m_options.m_incarnation),
        m_random(m_options.m_seed) {}
  ~WebsocketNetwork() override { stop(); }

  void setHandler(MessageType Type, PeerHandler Handler) override {
    m_bus.setHandler(Type, std::move(Handler));
  }
  void setLinkHandler(PeerLinkHandler Handler) override {
    m_bus.setLinkHandler(std::move(Handler));
  }
  Result<void> start() override;
  void stop() override;
  void setPeers(const std::vector<PeerAddress> &Peers) override;
  void setConfigRevision(std::uint64_t Revision) override {
    m_configRevision = Revision;
  }
  Result<void> send(const std::string &Peer, MessageBody Body) override {
    return transmit(Peer, Message{std::move(Body)});
  }
  void broadcast(MessageBody Body) override {
    m_bus.broadcast(std::move(Body));
  }
  void requestAsync(const std::string &Peer, MessageBody Body,
                    Milliseconds Timeout, PeerReplyHandler Handler) override {
    m_bus.request(Peer, std::move(Body), Clock::now() + Timeout, Handler);
  }
  bool writable(const std::string &Peer) const override;
  std::vector<PeerLinkStatus> links() const override;
  PeerCounters counters() const override;
  std::uint16_t boundPort() const override { return m_port; }
  Result<void> transmit(const std::string &To, const Message &Value) override;
  std::vector<std::string> linkedPeers() const override;

private:
  // Senders, any thread.
  Result<void> post(const LinkPtr &To, std::string Bytes, MessageType Type);
  Result<void> waitForLink(const PeerPtr &To, std::string Bytes);

  // Coroutines, network's thread.
  void spawn(Task<void> Work);
  Task<void> expireRequests();
  Task<void> acceptLink(ChannelPtr Accepted);
  Task<void> keepPeer(PeerPtr Target);
  Task<LinkPtr> call(PeerAddress To);
  Task<LinkPtr> challenge(ChannelPtr Accepted);
  Task<std::optional<Message>> expect(ChannelPtr From, MessageType Type,
                                      TimePoint Deadline);
  Task<void> runLink(LinkPtr Current);
  Task<void> pause(PeerPtr Target, Duration Length);

  void logRefusal();
  bool wantsLink(const Peer &Target) const;
  bool isLinked(const std::string &Name) const;
  bool establish(const LinkPtr &Next);
  void removeLink(const LinkPtr &Ended);
  void flushWaiting(const LinkPtr &To);
  void handle(const LinkPtr &From, const std::string &Bytes);
  void write(Link &To, const Message &Value);
  bool keepAlive(Link &Current);
  TimePoint nextWake(const Link &Current) const;
  void startPeer(const PeerPtr &Target);
  void updatePeers(const std::vector<PeerAddress> &Peers);
  void closeAll();
  Duration jitter(Duration Length);

  const PeerNetworkOptions m_options;
  const pvt::TlsContext m_tls;
  // Declared first of the parts that run: what coroutines hold at destruction
  // must still have its context.
  asio::io_context m_io;
  pvt::PeerBus m_bus;
  std::unique_ptr<pvt::Sockets> m_sockets;
  std::thread m_thread;
  std::mt19937_64 m_random;
  std::uint16_t m_port = 0;
  std::atomic<std::uint64_t> m_configRevision{0};
  std::atomic<bool> m_stopping{false};
  std::atomic<std::size_t> m_tasks{0};
  bool m_started = false;
  unsigned m_refused = 0; ///< Since the last log line.
  TimePoint m_lastRefusalLog;

  mutable std::mutex m_mutex; ///< Guards what follows.
  std::map<std::string, PeerPtr> m_peers;
  std::map<std::string, LinkPtr> m_links;
  std::set<ChannelPtr> m_channels; ///< All that are open, proved or not.
  PeerCounters m_counters;
};

Result<void> WebsocketNetwork::start() {
  m_sockets =
      pvt::createSockets(m_io, m_tls, [this](const ChannelPtr &Accepted) {
        spawn(acceptLink(Accepted));
      });
  auto Port = m_sockets->listen(m_options.m_address, m_options.m_port);
  if (!Port)
    return Port.error();
  m_port = Port.value();
  spawn(expireRequests());
  m_started = true;
  m_thread = std::thread([this] {
    auto Work = asio::make_work_guard(m_io);
    m_io.run();
  });
  return boost::outcome_v2::success();
}

void WebsocketNetwork::stop() {
  if (!m_started || m_stopping.exchange(true))
    return;
  asio::post(m_io, [this] {
    m_sockets->stopListening();
    closeAll();
  });
  const TimePoint Deadline = Clock::now() + StopTimeout;
  while (m_tasks != 0 && Clock::now() < Deadline)
    std::this_thread::sleep_for(Milliseconds(2));
  m_io.stop();
  m_thread.join();
  m_bus.close();
}

void WebsocketNetwork::closeAll() {
  std::set<ChannelPtr> Channels;
  std::map<std::string, PeerPtr> Peers;
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    Channels = m_channels;
    Peers = m_peers;
  }
  for (const ChannelPtr &Open : Channels)
    Open->close();
  for (const auto &[Name, Target] : Peers)
    Target->m_wake.cancel();
}

void WebsocketNetwork::spawn(Task<void> Work) {
  ++m_tasks;
  asio::co_spawn(m_io, std::move(Work), [this](const std::exception_ptr &) {
    --m_tasks; // Nothing in the tasks throws but allocation.
  });
}

Duration WebsocketNetwork::jitter(Duration Length) {
  std::uniform_real_distribution<double> Factor(0.5, 1.5);
  return fromSeconds(toSeconds(Length) * Factor(m_random));
}

Task<void> WebsocketNetwork::expireRequests() {
  asio::steady_timer Timer(m_io);
  while (!m_stopping) {
    Timer.expires_after(ExpiryInterval);
    asio::error_code Ignored;
    co_await Timer.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
    m_bus.expire(Clock::now());
  }
}

// --- Senders ---------------------------------------------------------------

Result<void> WebsocketNetwork::transmit(const std::string &To,
                                        const Message &Value) {
  auto Encoded = encodeMessage(Value);
  if (!Encoded)
    return Encoded.error();
  LinkPtr Current;
  PeerPtr Target;
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    if (auto It = m_links.find(To); It != m_links.end())
      Current = It->second;
    if (auto It = m_peers.find(To); It != m_peers.end())
      Target = It->second;
  }
  if (Current)
    return post(Current, std::move(Encoded.value()), Value.type());
  if (!Target)
    return makeError(ErrorKind::NotFound,
                     "no member " + To + " is known; wait for the VM list");
  return waitForLink(Target, std::move(Encoded.value()));
}

Result<void> WebsocketNetwork::post(const LinkPtr &To, std::string Bytes,
                                    MessageType Type) {
  const std::size_t Size = Bytes.size();
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    if (To->queued() + Size > m_options.m_maxQueueBytes) {
      ++m_counters.m_dropped;
      return makeError(ErrorKind::Unavailable,
                       "the queue to " + To->m_name + " is full; retry later");
    }
    To->m_posted += Size;
    ++m_counters.m_messagesSent;
    m_counters.m_bytesSent += Size;
    ++m_counters.m_sentByType[static_cast<std::size_t>(Type)];
  }
  asio::post(m_io, [To, Data = std::move(Bytes)] {
    To->m_lastSent = To->m_lastUse = Clock::now();
    To->m_channel->write(Data);
    To->m_unwritten = To->m_channel->unwritten();
    To->m_posted -= Data.size();
  });
  return boost::outcome_v2::success();
}

Result<void> WebsocketNetwork::waitForLink(const PeerPtr &To,
                                           std::string Bytes) {
  std::lock_guard<std::mutex> Lock(m_mutex);
  const std::string &Name = To->m_address.m_name;
  if (To->m_address.m_standing || m_stopping)
    return makeError(ErrorKind::Unavailable,
                     "the link to " + Name + " is down; retry later");
  if (To->m_waitingBytes + Bytes.size() > m_options.m_maxQueueBytes) {
    ++m_counters.m_dropped;
    return makeError(ErrorKind::Unavailable,
                     "the queue to " + Name + " is full; retry later");
  }
  To->m_waitingBytes += Bytes.size();
  To->m_waiting.push_back(std::move(Bytes));
  asio::post(m_io, [this, To] { startPeer(To); });
  return boost::outcome_v2::success();
}

bool WebsocketNetwork::writable(const std::string &Peer) const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  auto It = m_links.find(Peer);
  return It != m_links.end() && It->second->queued() < WritableBytes;
}

std::vector<PeerLinkStatus> WebsocketNetwork::links() const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  std::vector<PeerLinkStatus> Out;
  for (const auto &[Name, Current] : m_links)
    Out.push_back({Name, Current->m_incarnation, true});
  return Out;
}

PeerCounters WebsocketNetwork::counters() const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  return m_counters;
}

std::vector<std::string> WebsocketNetwork::linkedPeers() const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  std::vector<std::string> Out;
  for (const auto &[Name, Current] : m_links)
    Out.push_back(Name);
  return Out;
}

// --- Peers -----------------------------------------------------------------

void WebsocketNetwork::setPeers(const std::vector<PeerAddress> &Peers) {
  asio::post(m_io, [this, Peers] { updatePeers(Peers); });
}

void WebsocketNetwork::updatePeers(const std::vector<PeerAddress> &Peers) {
  std::vector<PeerPtr> Started;
  std::vector<ChannelPtr> Dropped;
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    std::map<std::string, PeerPtr> Next;
    for (const PeerAddress &Address : Peers) {
      if (Address.m_name == m_options.m_name)
        continue;
      auto It = m_peers.find(Address.m_name);
      PeerPtr Target =
          It != m_peers.end() ? It->second : std::make_shared<Peer>(m_io);
      Target->m_address = Address;
      Next[Address.m_name] = Target;
      if (Address.m_standing)
        Started.push_back(Target);
    }
    for (const auto &[Name, Target] : m_peers) {
      if (Next.count(Name) != 0)
        continue;
      Target->m_removed = true;
      Target->m_wake.cancel();
      if (auto It = m_links.find(Name); It != m_links.end())
        Dropped.push_back(It->second->m_channel);
    }
    m_peers = std::move(Next);
  }
  for (const ChannelPtr &Old : Dropped)
    Old->close();
  for (const PeerPtr &Target : Started)
    startPeer(Target);
}

void WebsocketNetwork::startPeer(const PeerPtr &Target) {
  if (Target->m_running || m_stopping)
    return;
  Target->m_running = true;
  spawn(keepPeer(Target));
}

bool WebsocketNetwork::wantsLink(const Peer &Target) const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  return !m_stopping && !Target.m_removed &&
         (Target.m_address.m_standing || !Target.m_waiting.empty());
}

bool WebsocketNetwork::isLinked(const std::string &Name) const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  return m_links.count(Name) != 0;
}

Task<void> WebsocketNetwork::pause(PeerPtr Target, Duration Length) {
  Target->m_wake.expires_after(Length);
  asio::error_code Ignored;
  co_await Target->m_wake.async_wait(
      asio::redirect_error(asio::use_awaitable, Ignored));
}

/// Keeps the link to one peer up as long as it is wanted.
Task<void> WebsocketNetwork::keepPeer(PeerPtr Target) {
  const std::string Name = Target->m_address.m_name;
  Duration Backoff = MinBackoff;
  if (Target->m_address.m_standing && m_options.m_name > Name)
    co_await pause(Target, jitter(ConnectGrace));
  while (wantsLink(*Target)) {
    if (isLinked(Name)) { // The peer opened it.
      co_await pause(Target, LinkedPoll);
      continue;
    }
    LinkPtr Opened = co_await call(Target->m_address);
    if (Opened && establish(Opened)) {
      Backoff = MinBackoff;
      co_await runLink(Opened);
      removeLink(Opened);
    } else if (!Target->m_address.m_standing) {
      std::lock_guard<std::mutex> Lock(m_mutex);
      Target->m_waiting.clear(); // Their requests time out.
      Target->m_waitingBytes = 0;
    }
    co_await pause(Target, jitter(Backoff));
    Backoff = std::min<Duration>(2 * Backoff, MaxBackoff);
  }
  Target->m_running = false;
  if (wantsLink(*Target))
    startPeer(Target);
}

// --- Handshake -------------------------------------------------------------

/// The next message if it is one of Type.
Task<std::optional<Message>> WebsocketNetwork::expect(ChannelPtr From,
                                                      MessageType Type,
                                                      TimePoint Deadline) {
  while (From->m_inbox.empty() && !From->m_closed && Clock::now() < Deadline)
    co_await From->wait(Deadline);
  if (From->m_inbox.empty())
    co_return std::nullopt;
  auto Received = decodeMessage(From->m_inbox.front());
  From->m_inbox.pop_front();
  if (!Received || Received.value().type() != Type)
    co_return std::nullopt;
  co_return std::move(Received.value());
}

Task<LinkPtr> WebsocketNetwork::call(PeerAddress To) {
  const TimePoint Deadline = Clock::now() + pvt::HandshakeTimeout;
  ChannelPtr Opened = m_sockets->connect(To.m_address, To.m_port);
  if (!Opened)
    co_return nullptr;
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_channels.insert(Opened);
  }
  LinkPtr Out;
  std::optional<Message> Challenged =
      co_await expect(Opened, MessageType::Challenge, Deadline);
  if (auto Nonce = pvt::makeNonce(); Challenged && Nonce) {
    const auto &Asked = std::get<ChallengeMessage>(Challenged->m_body);
    HelloMessage Hello{m_options.m_name, m_options.m_incarnation, To.m_name,
                       Nonce.value(), ""};
    Hello.m_mac = pvt::helloMac(m_options.m_clusterKey, Asked.m_nonce, Hello);
    auto Encoded = encodeMessage({Hello});
    if (Encoded)
      Opened->write(Encoded.value());
    std::optional<Message> Welcomed =
        co_await expect(Opened, MessageType::Welcome, Deadline);
    if (Welcomed) {
      const auto &Answer = std::get<WelcomeMessage>(Welcomed->m_body);
      if (Answer.m_member == To.m_name &&
          pvt::sameMac(Answer.m_mac,
                       pvt::welcomeMac(m_options.m_clusterKey, Asked.m_nonce,
                                       Hello, Answer))) {
        Out = std::make_shared<Link>();
        Out->m_name = Answer.m_member;
        Out->m_incarnation = Answer.m_incarnation;
        Out->m_called = true;
        Out->m_channel = Opened;
      }
    }
  }
  if (!Out) {
    Opened->close();
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_channels.erase(Opened);
  }
  co_return Out;
}

Task<LinkPtr> WebsocketNetwork::challenge(ChannelPtr Accepted) {
  auto Nonce = pvt::makeNonce();
  if (!Nonce)
    co_return nullptr;
  auto Encoded = encodeMessage({ChallengeMessage{Nonce.value()}});
  Accepted->write(Encoded.value());
  std::optional<Message> Received = co_await expect(
      Accepted, MessageType::Hello, Clock::now() + pvt::HandshakeTimeout);
  if (!Received)
    co_return nullptr;
  const auto &Hello = std::get<HelloMessage>(Received->m_body);
  if (Hello.m_target != m_options.m_name || Hello.m_member.empty() ||
      Hello.m_nonce.size() != pvt::NonceBytes ||
      !pvt::sameMac(Hello.m_mac, pvt::helloMac(m_options.m_clusterKey,
                                               Nonce.value(), Hello))) {
    logRefusal();
    co_return nullptr;
  }
  WelcomeMessage Answer{m_options.m_name, m_options.m_incarnation, ""};
  Answer.m_mac =
      pvt::welcomeMac(m_options.m_clusterKey, Nonce.value(), Hello, Answer);
  auto Welcome = encodeMessage({Answer});
  Accepted->write(Welcome.value());
  auto Out = std::make_shared<Link>();
  Out->m_name = Hello.m_member;
  Out->m_incarnation = Hello.m_incarnation;
  Out->m_channel = Accepted;
  co_return Out;
}

void WebsocketNetwork::logRefusal() {
  const TimePoint Now = Clock::now();
  ++m_refused;
  if (Now - m_lastRefusalLog < RefusalLogInterval)
    return;
  spdlog::warn("peer: refused {} connections that did not prove the cluster "
               "key; set the same key on all daemons",
               m_refused);
  m_refused = 0;
  m_lastRefusalLog = Now;
}

Task<void> WebsocketNetwork::acceptLink(ChannelPtr Accepted) {
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_channels.insert(Accepted);
  }
  LinkPtr Opened = co_await challenge(Accepted);
  m_sockets->settled(*Accepted);
  if (Opened && !m_stopping && establish(Opened)) {
    co_await runLink(Opened);
    removeLink(Opened);
  }
  Accepted->close();
  std::lock_guard<std::mutex> Lock(m_mutex);
  m_channels.erase(Accepted);
}

// --- Links -----------------------------------------------------------------

/// Decides between two links to the same member; both ends decide alike. The
/// link opened by the lower name stays, unless the older one is silent or of
/// an earlier incarnation. Returns false if Next has to go.
bool WebsocketNetwork::establish(const LinkPtr &Next) {
  const TimePoint Now = Clock::now();
  Next->m_lastSent = Next->m_lastHeard = Next->m_lastUse = Now;
  LinkPtr Old;
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    auto It = m_links.find(Next->m_name);
    if (It != m_links.end())
      Old = It->second;
    const bool LowerCalled =
        Next->m_called == (m_options.m_name < Next->m_name);
    const bool Keep = !Old || LowerCalled ||
                      Old->m_incarnation != Next->m_incarnation ||
                      Now - Old->m_lastHeard >= ReplaceSilence;
    if (!Keep || m_stopping) {
      Next->m_channel->close();
      m_channels.erase(Next->m_channel);
      return false;
    }
    m_links[Next->m_name] = Next;
  }
  Next->m_channel->allowLargeMessages();
  if (Old) {
    Old->m_channel->close();
    m_bus.linkDown(Next->m_name);
  }
  flushWaiting(Next);
  m_bus.linkUp(Next->m_name);
  return true;
}

void WebsocketNetwork::flushWaiting(const LinkPtr &To) {
  std::vector<std::string> Waiting;
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    auto It = m_peers.find(To->m_name);
    if (It == m_peers.end())
      return;
    Waiting.swap(It->second->m_waiting);
    It->second->m_waitingBytes = 0;
    for (const std::string &Bytes : Waiting) {
      ++m_counters.m_messagesSent;
      m_counters.m_bytesSent += Bytes.size();
    }
  }
  for (const std::string &Bytes : Waiting)
    To->m_channel->write(Bytes);
}

void WebsocketNetwork::removeLink(const LinkPtr &Ended) {
  Ended->m_channel->close();
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_channels.erase(Ended->m_channel);
    auto It = m_links.find(Ended->m_name);
    if (It == m_links.end() || It->second != Ended)
      return; // Replaced by a newer link.
    m_links.erase(It);
  }
  m_bus.linkDown(Ended->m_name);
}

TimePoint WebsocketNetwork::nextWake(const Link &Current) const {
  TimePoint Out = std::min(Current.m_lastSent + PeerHeartbeatInterval,
                           Current.m_lastHeard + PeerSilenceTimeout);
  if (Current.m_unwritten != 0)
    Out = std::min<TimePoint>(Out, Clock::now() + QueuePoll);
  return Out;
}

/// Sends a heartbeat if one is due. Returns false if the link has to close.
bool WebsocketNetwork::keepAlive(Link &Current) {
  const TimePoint Now = Clock::now();
  Current.m_unwritten = Current.m_channel->unwritten();
  if (Now - Current.m_lastHeard >= PeerSilenceTimeout) {
    spdlog::warn("peer: no message from {} for {} ms, closing the link",
                 Current.m_name, PeerSilenceTimeout.count());
    return false;
  }
  if (Current.m_called && Now - Current.m_lastUse >= PeerIdleTimeout) {
    std::lock_guard<std::mutex> Lock(m_mutex);
    auto It = m_peers.find(Current.m_name);
    if (It == m_peers.end() || !It->second->m_address.m_standing)
      return false;
  }
  if (Now - Current.m_lastSent >= PeerHeartbeatInterval)
    write(Current,
          {HeartbeatMessage{m_options.m_incarnation, m_configRevision}});
  return true;
}

void WebsocketNetwork::write(Link &To, const Message &Value) {
  auto Encoded = encodeMessage(Value);
  if (!Encoded)
    return;
  To.m_lastSent = Clock::now();
  To.m_channel->write(Encoded.value());
  std::lock_guard<std::mutex> Lock(m_mutex);
  ++m_counters.m_messagesSent;
  m_counters.m_bytesSent += Encoded.value().size();
  ++m_counters.m_sentByType[static_cast<std::size_t>(Value.type())];
}

void WebsocketNetwork::handle(const LinkPtr &From, const std::string &Bytes) {
  From->m_lastHeard = Clock::now();
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    ++m_counters.m_messagesReceived;
    m_counters.m_bytesReceived += Bytes.size();
  }
  const auto Received = decodeMessage(Bytes);
  if (!Received) {
    spdlog::warn("peer: {}: {}", From->m_name, Received.error().m_message);
    return;
  }
  if (Received.value().type() != MessageType::Heartbeat &&
      Received.value().type() != MessageType::Gossip)
    From->m_lastUse = From->m_lastHeard;
  m_bus.receive(From->m_name, Received.value());
}

Task<void> WebsocketNetwork::runLink(LinkPtr Current) {
  ChannelPtr Open = Current->m_channel;
  while (!Open->m_closed && !m_stopping) {
    if (Open->m_inbox.empty()) {
      if (!keepAlive(*Current))
        break;
      co_await Open->wait(nextWake(*Current));
      continue;
    }
    const std::string Bytes = std::move(Open->m_inbox.front());
    Open->m_inbox.pop_front();
    handle(Current, Bytes);
  }
}

// --- Creation --------------------------------------------------------------

Result<pvt::TlsContext> makeTls(const PeerNetworkOptions &Options) {
  try {
    auto Out = std::make_shared<asio::ssl::context>(asio::ssl::context::tls);
    Out->set_options(
        asio::ssl::context::default_workarounds | asio::ssl::context::no_sslv2 |
        asio::ssl::context::no_sslv3 | asio::ssl::context::no_tlsv1 |
        asio::ssl::context::no_tlsv1_1);
    Out->use_certificate_chain_file(Options.m_certificateFile);
    Out->use_private_key_file(Options.m_keyFile, asio::ssl::context::pem);
    Out->load_verify_file(Options.m_caFile);
    // Certificates show membership; the name is proved by the hello.
    Out->set_verify_mode(asio::ssl::verify_peer |
                         asio::ssl::verify_fail_if_no_peer_cert);
    return Out;
  } catch (const std::exception &Failure) {
    return makeError(ErrorKind::InvalidArgument,
                     std::string("TLS files for peers cannot be used: ") +
                         Failure.what() +
                         "; set PEM files of a certificate, its key and its "
                         "CA");
  }
}

} // namespace

Result<std::unique_ptr<WebsocketPeerNetwork>>
createPeerNetwork(PeerNetworkOptions Options) {
  if (Options.m_name.empty())
    return makeError(ErrorKind::InvalidArgument,
                     "member name is empty; set the name of this VM");
  if (Options.m_clusterKey.size() < MinClusterKeyBytes)
    return makeError(ErrorKind::InvalidArgument,
                     "cluster key is shorter than " +
                         std::to_string(MinClusterKeyBytes) +
                         " bytes; set a longer random key");
  const int Files = !Options.m_certificateFile.empty() +
                    !Options.m_keyFile.empty() + !Options.m_caFile.empty();
  if (Files != 0 && Files != 3)
    return makeError(ErrorKind::InvalidArgument,
                     "only some TLS files are set; set certificate, key and "
                     "CA, or none of them");
  pvt::TlsContext Tls;
  if (Files == 3) {
    BOOST_OUTCOME_TRY(Loaded, makeTls(Options));
    Tls = std::move(Loaded);
  }
  return std::unique_ptr<WebsocketPeerNetwork>(
      std::make_unique<WebsocketNetwork>(std::move(Options), std::move(Tls)));
}

} // namespace primroseworks
