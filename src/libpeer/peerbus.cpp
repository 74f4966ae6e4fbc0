// Handlers, outstanding requests and relay of broadcasts.
#include "libpeer/peerbus_pvt.h"

#include <algorithm>
#include <future>
#include <xxhash.h>

namespace primroseworks {

Result<Message> PeerNetwork::request(const std::string &Peer, MessageBody Body,
                                     Milliseconds Timeout) {
  auto Promise = std::make_shared<std::promise<Result<Message>>>();
  auto Future = Promise->get_future();
  requestAsync(Peer, std::move(Body), Timeout,
               [Promise](Result<Message> Reply) {
                 Promise->set_value(std::move(Reply));
               });
  return Future.get();
}

namespace pvt {
namespace {

/// Broadcasts remembered so that they are not relayed again. A flood of 400
/// members that each broadcast 10 times within the time a message travels.
constexpr std::size_t MaxSeenBroadcasts = 4096;

/// Outstanding requests of one member; more fail with Unavailable.
constexpr std::size_t MaxOutstanding = 10'000;

} // namespace

void PeerBus::setHandler(MessageType Type, PeerHandler Handler) {
  std::lock_guard<std::mutex> Lock(m_mutex);
  m_handlers[static_cast<std::size_t>(Type)] = std::move(Handler);
}

// Members that start in the same millisecond have the same incarnation, since
// links count it by the clock. With the incarnation as origin they discarded
// each other's broadcasts.
PeerBus::PeerBus(PeerTransport &Transport, const std::string &Name,
                 std::uint64_t Incarnation)
    : m_transport(Transport),
      m_origin(std::max<std::uint64_t>(
          1, XXH64(Name.data(), Name.size(), Incarnation))) {}

void PeerBus::setLinkHandler(PeerLinkHandler Handler) {
  std::lock_guard<std::mutex> Lock(m_mutex);
  m_linkHandler = std::move(Handler);
}

void PeerBus::receive(const std::string &From, const Message &Received) {
  if (Received.m_reply != 0) {
    answer(Received.m_reply, From, Received);
    return;
  }
  if (Received.m_origin != 0) {
    if (Received.m_origin == m_origin ||
        !firstSight(Received.m_origin, Received.m_sequence))
      return;
    relay(Received, From);
  }
  dispatch(From, Received);
}

void PeerBus::dispatch(const std::string &From, const Message &Received) {
  PeerHandler Handler;
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    Handler = m_handlers[static_cast<std::size_t>(Received.type())];
  }
  const std::uint64_t Number = Received.m_request;
  const PeerReply Reply = [this, From, Number](MessageBody Body) {
    if (Number == 0)
      return;
    Message Out{std::move(Body)};
    Out.m_reply = Number;
    // A reply that cannot be sent is the requester's time-out.
    (void)m_transport.transmit(From, Out);
  };
  if (Handler)
    Handler(From, Received, Reply);
  else
    Reply(FailureMessage{ErrorKind::NotFound,
                         "no handler for this message type; run the same "
                         "program version on all daemons"});
}

void PeerBus::answer(std::uint64_t Number, const std::string &From,
                     Result<Message> Reply) {
  PeerReplyHandler Handler;
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    auto It = m_outstanding.find(Number);
    if (It == m_outstanding.end() || It->second.m_peer != From)
      return;
    Handler = std::move(It->second.m_handler);
    m_outstanding.erase(It);
  }
  if (Reply && Reply.value().type() == MessageType::Failure) {
    const auto &Body = std::get<FailureMessage>(Reply.value().m_body);
    Handler(makeError(Body.m_kind, Body.m_message));
    return;
  }
  Handler(std::move(Reply));
}

void PeerBus::request(const std::string &Peer, MessageBody Body,
                      TimePoint Deadline, const PeerReplyHandler &Handler) {
  Message Out{std::move(Body)};
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    if (m_outstanding.size() < MaxOutstanding) {
      Out.m_request = ++m_lastRequest;
      m_outstanding[Out.m_request] = {Peer, Deadline, Handler};
    }
  }
  if (Out.m_request == 0) {
    Handler(makeError(ErrorKind::Unavailable,
                      "too many requests to peers are outstanding; retry "
                      "later"));
    return;
  }
  const auto Sent = m_transport.transmit(Peer, Out);
  if (!Sent)
    answer(Out.m_request, Peer, Sent.error());
}

void PeerBus::broadcast(MessageBody Body) {
  Message Out{std::move(Body)};
  Out.m_origin = m_origin;
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    Out.m_sequence = ++m_lastBroadcast;
  }
  relay(Out, "");
}

void PeerBus::relay(const Message &Value, const std::string &Except) {
  for (const std::string &Peer : m_transport.linkedPeers())
    if (Peer != Except)
      (void)m_transport.transmit(Peer, Value);
}

bool PeerBus::firstSight(std::uint64_t Origin, std::uint64_t Sequence) {
  std::lock_guard<std::mutex> Lock(m_mutex);
  if (!m_seen.emplace(Origin, Sequence).second)
    return false;
  m_seenOrder.emplace_back(Origin, Sequence);
  if (m_seenOrder.size() > MaxSeenBroadcasts) {
    m_seen.erase(m_seenOrder.front());
    m_seenOrder.pop_front();
  }
  return true;
}

template <class Predicate>
void PeerBus::failIf(Predicate Selected, const Error &Why) {
  std::vector<PeerReplyHandler> Failed;
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    for (auto It = m_outstanding.begin(); It != m_outstanding.end();) {
      if (!Selected(It->second)) {
        ++It;
        continue;
      }
      Failed.push_back(std::move(It->second.m_handler));
      It = m_outstanding.erase(It);
    }
  }
  for (const PeerReplyHandler &Handler : Failed)
    Handler(Why);
}

void PeerBus::linkUp(const std::string &Peer) {
  PeerLinkHandler Handler;
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    Handler = m_linkHandler;
  }
  if (Handler)
    Handler(Peer, true);
}

void PeerBus::linkDown(const std::string &Peer) {
  failIf([&](const Outstanding &Entry) { return Entry.m_peer == Peer; },
         makeError(ErrorKind::Closed,
                   "the link to " + Peer +
                       " was lost; the request may have arrived"));
  PeerLinkHandler Handler;
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    Handler = m_linkHandler;
  }
  if (Handler)
    Handler(Peer, false);
}

void PeerBus::expire(TimePoint Now) {
  failIf([&](const Outstanding &Entry) { return Entry.m_deadline <= Now; },
         makeError(ErrorKind::Timeout,
                   "the peer did not reply in time; the request may have "
                   "arrived"));
}

void PeerBus::close() {
  failIf([](const Outstanding &) { return true; },
         makeError(ErrorKind::Closed, "the peer network was stopped"));
}

} // namespace pvt
} // namespace primroseworks
