// Peer links within one process: calls of members and of tests.
#include "libpeer/localpeer_pvt.h"

namespace primroseworks {
namespace pvt {
namespace {

constexpr std::size_t MaxWaiting = 256; ///< Messages while a link is opened.
constexpr Milliseconds RealTimeStep{1};

} // namespace

LocalFabric::~LocalFabric() {
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_stopping = true;
  }
  if (m_thread.joinable())
    m_thread.join();
}

std::unique_ptr<PeerNetwork>
LocalFabric::createMember(const std::string &Name, std::uint64_t Incarnation) {
  return std::make_unique<LocalMember>(*this, Name, Incarnation);
}

void LocalFabric::advance(TimePoint Now) {
  std::lock_guard<std::recursive_mutex> Delivery(m_delivery);
  while (true) {
    FabricEvent Event;
    {
      std::lock_guard<std::mutex> Lock(m_mutex);
      if (m_events.empty() || m_events.top().m_time > Now) {
        m_now = std::max(m_now, Now);
        break;
      }
      Event = m_events.top();
      m_events.pop();
      m_now = std::max(m_now, Event.m_time);
    }
    run(Event);
  }
  expireRequests(Now);
}

void LocalFabric::runInRealTime() {
  m_thread = std::thread([this] {
    while (true) {
      {
        std::lock_guard<std::mutex> Lock(m_mutex);
        if (m_stopping)
          return;
      }
      advance(std::chrono::steady_clock::now());
      std::this_thread::sleep_for(RealTimeStep);
    }
  });
}

void LocalFabric::setDelay(const std::string &A, const std::string &B,
                           Milliseconds Delay) {
  std::lock_guard<std::mutex> Lock(m_mutex);
  m_delays[pairOf(A, B)] = Delay;
}

void LocalFabric::setDefaultDelay(Milliseconds Delay) {
  std::lock_guard<std::mutex> Lock(m_mutex);
  m_defaultDelay = Delay;
}

void LocalFabric::setCut(const std::string &A, const std::string &B, bool Cut) {
  std::lock_guard<std::recursive_mutex> Delivery(m_delivery);
  const PairKey Pair = pairOf(A, B);
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    if (Cut)
      m_cuts.insert(Pair);
    else
      m_cuts.erase(Pair);
    if (!Cut)
      scheduleConnect(Pair, m_now);
  }
  if (Cut)
    drop(Pair);
}

void LocalFabric::goSilent(const std::string &A, const std::string &B) {
  std::lock_guard<std::mutex> Lock(m_mutex);
  auto It = m_links.find(pairOf(A, B));
  if (It != m_links.end())
    It->second.m_silent = true;
}

void LocalFabric::powerOff(const std::string &Name) {
  std::lock_guard<std::mutex> Lock(m_mutex);
  m_members.erase(Name);
  for (auto &[Pair, Link] : m_links)
    if (Pair.first == Name || Pair.second == Name)
      Link.m_silent = true;
}

TimePoint LocalFabric::now() const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  return m_now;
}

void LocalFabric::join(LocalMember &Member) {
  std::lock_guard<std::recursive_mutex> Delivery(m_delivery);
  std::vector<PairKey> Old;
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    for (const auto &[Pair, Link] : m_links)
      if (Pair.first == Member.m_name || Pair.second == Member.m_name)
        Old.push_back(Pair);
  }
  for (const PairKey &Pair : Old)
    drop(Pair);
  std::lock_guard<std::mutex> Lock(m_mutex);
  Member.m_started = true;
  m_members[Member.m_name] = &Member;
  for (const auto &[Name, Other] : m_members)
    if (wanted(pairOf(Name, Member.m_name)))
      scheduleConnect(pairOf(Name, Member.m_name), m_now);
}

void LocalFabric::leave(LocalMember &Member) {
  std::lock_guard<std::recursive_mutex> Delivery(m_delivery);
  std::vector<PairKey> Lost;
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    if (!Member.m_started)
      return;
    Member.m_started = false;
    auto It = m_members.find(Member.m_name);
    if (It == m_members.end() || It->second != &Member)
      return;
    for (const auto &[Peer, Incarnation] : Member.m_linked)
      Lost.push_back(pairOf(Member.m_name, Peer));
  }
  for (const PairKey &Pair : Lost)
    drop(Pair);
  std::lock_guard<std::mutex> Lock(m_mutex);
  m_members.erase(Member.m_name);
}

void LocalFabric::setPeers(LocalMember &Member,
                           const std::vector<PeerAddress> &Peers) {
  std::lock_guard<std::recursive_mutex> Delivery(m_delivery);
  std::vector<PairKey> Unlisted;
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    Member.m_peers.clear();
    for (const PeerAddress &Peer : Peers)
      if (Peer.m_name != Member.m_name)
        Member.m_peers[Peer.m_name] = Peer.m_standing;
    if (!Member.m_started)
      return;
    for (const auto &[Name, Standing] : Member.m_peers)
      if (Standing && Member.m_linked.count(Name) == 0)
        scheduleConnect(pairOf(Member.m_name, Name), m_now);
    for (const auto &[Name, Incarnation] : Member.m_linked)
      if (Member.m_peers.count(Name) == 0)
        Unlisted.push_back(pairOf(Member.m_name, Name));
  }
  for (const PairKey &Pair : Unlisted)
    drop(Pair);
}

Result<void> LocalFabric::transmit(LocalMember &From, const std::string &To,
                                   const Message &Value) {
  auto Encoded = encodeMessage(Value);
  if (!Encoded)
    return Encoded.error();
  std::lock_guard<std::mutex> Lock(m_mutex);
  if (isOff(From))
    return boost::outcome_v2::success(); // Nobody is there to notice.
  const PairKey Pair = pairOf(From.m_name, To);
  auto It = m_links.find(Pair);
  if (It != m_links.end() && It->second.m_up) {
    post(Pair, It->second, From, To, std::move(Encoded.value()), Value.type());
    It->second.m_lastUse = m_now;
    return boost::outcome_v2::success();
  }
  auto Peer = From.m_peers.find(To);
  if (Peer == From.m_peers.end())
    return makeError(ErrorKind::NotFound,
                     "no member " + To + " is known; wait for the VM list");
  if (Peer->second || m_members.count(To) == 0 || m_cuts.count(Pair) != 0)
    return makeError(ErrorKind::Unavailable,
                     "the link to " + To + " is down; retry later");
  LocalLink &Link = m_links[Pair];
  if (Link.m_waiting.size() >= MaxWaiting)
    return makeError(ErrorKind::Unavailable,
                     "the queue to " + To + " is full; retry later");
  Link.m_waiting.push_back(
      {From.m_name, std::move(Encoded.value()), Value.type()});
  scheduleConnect(Pair, m_now + 3 * delay(Pair));
  return boost::outcome_v2::success();
}

Result<void> LocalMember::start() {
  m_fabric.join(*this);
  return boost::outcome_v2::success();
}

void LocalMember::stop() {
  m_fabric.leave(*this);
  m_bus.close();
}

void LocalMember::setPeers(const std::vector<PeerAddress> &Peers) {
  m_fabric.setPeers(*this, Peers);
}

void LocalMember::requestAsync(const std::string &Peer, MessageBody Body,
                               Milliseconds Timeout, PeerReplyHandler Handler) {
  m_bus.request(Peer, std::move(Body), m_fabric.now() + Timeout, Handler);
}

bool LocalMember::writable(const std::string &Peer) const {
  std::lock_guard<std::mutex> Lock(m_fabric.m_mutex);
  return m_linked.count(Peer) != 0;
}

std::vector<PeerLinkStatus> LocalMember::links() const {
  std::lock_guard<std::mutex> Lock(m_fabric.m_mutex);
  std::vector<PeerLinkStatus> Out;
  for (const auto &[Name, Incarnation] : m_linked)
    Out.push_back({Name, Incarnation, true});
  return Out;
}

PeerCounters LocalMember::counters() const {
  std::lock_guard<std::mutex> Lock(m_fabric.m_mutex);
  return m_counters;
}

Result<void> LocalMember::transmit(const std::string &Peer,
                                   const Message &Value) {
  return m_fabric.transmit(*this, Peer, Value);
}

} // namespace pvt

std::unique_ptr<LocalPeerFabric> createLocalPeerFabric() {
  return std::make_unique<pvt::LocalFabric>();
}

} // namespace primroseworks
