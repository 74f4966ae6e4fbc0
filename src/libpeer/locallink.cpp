// Peer links within one process: events and links.
#include "libpeer/localpeer_pvt.h"

namespace primroseworks::pvt {
namespace {

constexpr Milliseconds RetryDelay{500}; ///< Between attempts to connect.

} // namespace

bool LocalFabric::isOff(const LocalMember &Member) const {
  auto It = m_members.find(Member.m_name);
  return It == m_members.end() || It->second != &Member;
}

Milliseconds LocalFabric::delay(const PairKey &Pair) const {
  auto It = m_delays.find(Pair);
  return It == m_delays.end() ? m_defaultDelay : It->second;
}

bool LocalFabric::wanted(const PairKey &Pair) const {
  auto Lists = [&](const std::string &A, const std::string &B) {
    auto Member = m_members.find(A);
    if (Member == m_members.end())
      return false;
    auto Peer = Member->second->m_peers.find(B);
    return Peer != Member->second->m_peers.end() && Peer->second;
  };
  return Lists(Pair.first, Pair.second) || Lists(Pair.second, Pair.first);
}

void LocalFabric::schedule(FabricEvent Event) {
  Event.m_order = ++m_order;
  m_events.push(std::move(Event));
}

void LocalFabric::scheduleConnect(const PairKey &Pair, TimePoint Time) {
  if (!m_connecting.insert(Pair).second)
    return;
  FabricEvent Event;
  Event.m_time = Time;
  Event.m_kind = EventKind::Connect;
  Event.m_pair = Pair;
  schedule(std::move(Event));
}

void LocalFabric::post(const PairKey &Pair, LocalLink &Link, LocalMember &From,
                       const std::string &To, std::string Bytes,
                       MessageType Type) {
  const int Side = From.m_name == Pair.first ? 0 : 1;
  Link.m_lastSent[Side] = m_now;
  ++From.m_counters.m_messagesSent;
  ++From.m_counters.m_sentByType[static_cast<std::size_t>(Type)];
  From.m_counters.m_bytesSent += Bytes.size();
  if (Link.m_silent)
    return;
  FabricEvent Event;
  Event.m_time = std::max(m_now + delay(Pair), Link.m_lastArrival[Side]);
  Link.m_lastArrival[Side] = Event.m_time;
  Event.m_pair = Pair;
  Event.m_generation = Link.m_generation;
  Event.m_to = To;
  Event.m_bytes = std::move(Bytes);
  schedule(std::move(Event));
}

void LocalFabric::run(const FabricEvent &Event) {
  switch (Event.m_kind) {
  case EventKind::Deliver:
    deliver(Event);
    break;
  case EventKind::Timer:
    checkLink(Event);
    break;
  case EventKind::Connect:
    connect(Event.m_pair);
    break;
  }
}

void LocalFabric::deliver(const FabricEvent &Event) {
  LocalMember *To = nullptr;
  const std::string From = Event.m_pair.first == Event.m_to
                               ? Event.m_pair.second
                               : Event.m_pair.first;
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    auto It = m_links.find(Event.m_pair);
    auto Member = m_members.find(Event.m_to);
    if (It == m_links.end() || !It->second.m_up || It->second.m_silent ||
        It->second.m_generation != Event.m_generation ||
        Member == m_members.end())
      return;
    To = Member->second;
    It->second.m_lastHeard[Event.m_to == Event.m_pair.first ? 0 : 1] = m_now;
    ++To->m_counters.m_messagesReceived;
    To->m_counters.m_bytesReceived += Event.m_bytes.size();
  }
  const auto Received = decodeMessage(Event.m_bytes);
  if (Received)
    To->m_bus.receive(From, Received.value());
}

void LocalFabric::connect(const PairKey &Pair) {
  LocalMember *A = nullptr;
  LocalMember *B = nullptr;
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_connecting.erase(Pair);
    auto First = m_members.find(Pair.first);
    auto Second = m_members.find(Pair.second);
    auto Link = m_links.find(Pair);
    const bool Waiting = Link != m_links.end() && !Link->second.m_up;
    if ((Link != m_links.end() && Link->second.m_up) ||
        (!Waiting && !wanted(Pair)))
      return;
    if (First == m_members.end() || Second == m_members.end() ||
        m_cuts.count(Pair) != 0) {
      m_links.erase(Pair);
      if (wanted(Pair))
        scheduleConnect(Pair, m_now + RetryDelay);
      return;
    }
    A = First->second;
    B = Second->second;
    open(Pair, *A, *B);
  }
  A->m_bus.linkUp(B->m_name);
  B->m_bus.linkUp(A->m_name);
}

void LocalFabric::open(const PairKey &Pair, LocalMember &A, LocalMember &B) {
  LocalLink &Link = m_links[Pair];
  auto Waiting = std::move(Link.m_waiting);
  Link = LocalLink();
  Link.m_generation = ++m_lastGeneration;
  Link.m_up = true;
  Link.m_lastUse = m_now;
  for (int Side = 0; Side < 2; ++Side)
    Link.m_lastSent[Side] = Link.m_lastHeard[Side] = m_now;
  A.m_linked[B.m_name] = B.m_incarnation;
  B.m_linked[A.m_name] = A.m_incarnation;
  for (WaitingMessage &Message : Waiting) {
    LocalMember &Sender = Message.m_from == A.m_name ? A : B;
    LocalMember &Receiver = Message.m_from == A.m_name ? B : A;
    post(Pair, Link, Sender, Receiver.m_name, std::move(Message.m_bytes),
         Message.m_type);
  }
  scheduleTimer(Pair, Link);
}

void LocalFabric::scheduleTimer(const PairKey &Pair, const LocalLink &Link) {
  FabricEvent Event;
  Event.m_time = m_now + PeerHeartbeatInterval / 2;
  Event.m_kind = EventKind::Timer;
  Event.m_pair = Pair;
  Event.m_generation = Link.m_generation;
  schedule(std::move(Event));
}

void LocalFabric::checkLink(const FabricEvent &Event) {
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    auto It = m_links.find(Event.m_pair);
    if (It == m_links.end() || It->second.m_generation != Event.m_generation)
      return;
    LocalLink &Link = It->second;
    const TimePoint Heard = std::min(Link.m_lastHeard[0], Link.m_lastHeard[1]);
    const bool Unused =
        !wanted(Event.m_pair) && m_now - Link.m_lastUse >= PeerIdleTimeout;
    if (m_now - Heard < PeerSilenceTimeout && !Unused) {
      heartbeat(Event.m_pair, Link, Event.m_pair.first, Event.m_pair.second, 0);
      heartbeat(Event.m_pair, Link, Event.m_pair.second, Event.m_pair.first, 1);
      scheduleTimer(Event.m_pair, Link);
      return;
    }
  }
  drop(Event.m_pair);
}

void LocalFabric::heartbeat(const PairKey &Pair, LocalLink &Link,
                            const std::string &From, const std::string &To,
                            int Side) {
  if (m_now - Link.m_lastSent[Side] < PeerHeartbeatInterval)
    return;
  auto Member = m_members.find(From);
  if (Member == m_members.end())
    return;
  auto Encoded = encodeMessage({HeartbeatMessage{
      Member->second->m_incarnation, Member->second->m_configRevision}});
  post(Pair, Link, *Member->second, To, std::move(Encoded.value()),
       MessageType::Heartbeat);
}

void LocalFabric::drop(const PairKey &Pair) {
  LocalMember *Ends[2] = {nullptr, nullptr};
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    auto It = m_links.find(Pair);
    if (It == m_links.end())
      return;
    const bool Up = It->second.m_up;
    m_links.erase(It);
    const std::string *Names[2] = {&Pair.first, &Pair.second};
    for (int Side = 0; Side < 2 && Up; ++Side) {
      auto Member = m_members.find(*Names[Side]);
      if (Member != m_members.end() &&
          Member->second->m_linked.erase(*Names[1 - Side]) != 0)
        Ends[Side] = Member->second;
    }
    if (wanted(Pair))
      scheduleConnect(Pair, m_now + RetryDelay);
  }
  if (Ends[0])
    Ends[0]->m_bus.linkDown(Pair.second);
  if (Ends[1])
    Ends[1]->m_bus.linkDown(Pair.first);
}

void LocalFabric::expireRequests(TimePoint Now) {
  std::vector<LocalMember *> Members;
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    if (Now - m_lastExpiry < Milliseconds(10))
      return;
    m_lastExpiry = Now;
    for (const auto &[Name, Member] : m_members)
      Members.push_back(Member);
  }
  for (LocalMember *Member : Members)
    Member->m_bus.expire(Now);
}

} // namespace primroseworks::pvt
