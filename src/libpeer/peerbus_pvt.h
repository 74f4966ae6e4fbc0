// State that all implementations of PeerNetwork share: handlers by message
// type, outstanding requests, and the relay of broadcasts.
#ifndef PRIMROSEWORKS_PEERBUS_PVT_H
#define PRIMROSEWORKS_PEERBUS_PVT_H

#include "primroseworks/peer.h"

#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <utility>

namespace primroseworks::pvt {

/// Transport functions that a bus needs from its implementation.
class PeerTransport {
public:
  virtual ~PeerTransport() = default;
  virtual Result<void> transmit(const std::string &Peer,
                                const Message &Value) = 0;
  virtual std::vector<std::string> linkedPeers() const = 0;
};

/// Thread safe. Handlers are called without any lock held.
class PeerBus {
public:
  PeerBus(PeerTransport &Transport, const std::string &Name,
          std::uint64_t Incarnation);

  void setHandler(MessageType Type, PeerHandler Handler);
  void setLinkHandler(PeerLinkHandler Handler);

  /// Handles a message that arrived from From.
  void receive(const std::string &From, const Message &Received);
  void broadcast(MessageBody Body);
  void request(const std::string &Peer, MessageBody Body, TimePoint Deadline,
               const PeerReplyHandler &Handler);

  void linkUp(const std::string &Peer);
  /// Fails the peer's outstanding requests with Closed.
  void linkDown(const std::string &Peer);
  /// Fails requests whose deadline has passed with Timeout.
  void expire(TimePoint Now);
  /// Fails all outstanding requests with Closed.
  void close();

private:
  struct Outstanding {
    std::string m_peer;
    TimePoint m_deadline;
    PeerReplyHandler m_handler;
  };

  void answer(std::uint64_t Number, const std::string &From,
              Result<Message> Reply);
  template <class Predicate> void failIf(Predicate Selected, const Error &Why);
  bool firstSight(std::uint64_t Origin, std::uint64_t Sequence);
  void relay(const Message &Value, const std::string &Except);
  void dispatch(const std::string &From, const Message &Received);

  PeerTransport &m_transport;
  const std::uint64_t m_origin; ///< Of this member's broadcasts, not 0.
  mutable std::mutex m_mutex;
  std::array<PeerHandler, MessageTypeCount> m_handlers;
  PeerLinkHandler m_linkHandler;
  std::map<std::uint64_t, Outstanding> m_outstanding;
  std::uint64_t m_lastRequest = 0;
  std::uint64_t m_lastBroadcast = 0;
  /// Broadcasts seen, and the order in which they are forgotten.
  std::set<std::pair<std::uint64_t, std::uint64_t>> m_seen;
  std::deque<std::pair<std::uint64_t, std::uint64_t>> m_seenOrder;
};

/// A network whose bus answers the calls that do not depend on the kind of
/// link.
template <class Interface>
class BusNetwork : public Interface, public PeerTransport {
public:
  void setHandler(MessageType Type, PeerHandler Handler) override {
    m_bus.setHandler(Type, std::move(Handler));
  }
  void setLinkHandler(PeerLinkHandler Handler) override {
    m_bus.setLinkHandler(std::move(Handler));
  }
  void setConfigRevision(std::uint64_t Revision) override {
    m_configRevision = Revision;
  }
  Result<void> send(const std::string &Peer, MessageBody Body) override {
    return transmit(Peer, Message{std::move(Body)});
  }
  void broadcast(MessageBody Body) override {
    m_bus.broadcast(std::move(Body));
  }
  std::vector<std::string> linkedPeers() const override {
    std::vector<std::string> Out;
    for (PeerLinkStatus &Link : this->links())
      Out.push_back(std::move(Link.m_name));
    return Out;
  }

protected:
  BusNetwork(const std::string &Name, std::uint64_t Incarnation)
      : m_bus(*this, Name, Incarnation) {}

  PeerBus m_bus;
  std::atomic<std::uint64_t> m_configRevision{0}; ///< Sent in heartbeats.
};

} // namespace primroseworks::pvt

#endif
