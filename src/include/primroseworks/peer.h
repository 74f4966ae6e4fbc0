// Links between daemons: a message bus by member name. createPeerNetwork() is
// the websocket implementation; LocalPeerFabric connects members of one
// process, with faults, for tests and the bench.
#ifndef PRIMROSEWORKS_PEER_H
#define PRIMROSEWORKS_PEER_H

#include "primroseworks/error.h"
#include "primroseworks/message.h"
#include "primroseworks/time.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace primroseworks {

/// A heartbeat is sent when nothing else was sent for this long.
inline constexpr Milliseconds PeerHeartbeatInterval{1000};

/// A link without a received message for this long is closed.
inline constexpr Milliseconds PeerSilenceTimeout{4000};

/// A link that neither side keeps up is closed when it was not used for this
/// long.
inline constexpr Milliseconds PeerIdleTimeout{60'000};

/// Where a member listens.
struct PeerAddress {
  std::string m_name;
  std::string m_address; ///< IP number.
  std::uint16_t m_port = 0;
  /// True: the link is kept up. False: it is opened by the first message to
  /// the peer and closed when unused.
  bool m_standing = true;
};

/// Counters of one link or of all links of a member.
struct PeerCounters {
  std::uint64_t m_messagesSent = 0;
  std::uint64_t m_messagesReceived = 0;
  std::uint64_t m_bytesSent = 0; ///< Encoded messages, without TCP and TLS.
  std::uint64_t m_bytesReceived = 0;
  std::uint64_t m_dropped = 0; ///< Refused because the queue was full.
  std::array<std::uint64_t, MessageTypeCount> m_sentByType{};
};

/// State of one link.
struct PeerLinkStatus {
  std::string m_name;
  std::uint64_t m_incarnation = 0;
  bool m_up = false;
};

/// Sends the reply to one request; may be called later and from any thread.
using PeerReply = std::function<void(MessageBody Body)>;

/// Called with a message of its type. It must not block. Reply does nothing if
/// the message is not a request.
using PeerHandler = std::function<void(
    const std::string &From, const Message &Received, const PeerReply &Reply)>;

/// Called when a link is established and when it is lost.
using PeerLinkHandler = std::function<void(const std::string &Peer, bool Up)>;

/// Called once with the reply to a request or the reason why none came.
using PeerReplyHandler = std::function<void(Result<Message> Reply)>;

/// Message bus between daemons. Safe from several threads; handlers are called
/// from one thread of the network.
class PeerNetwork {
public:
  virtual ~PeerNetwork() = default;

  /// Registers the handler of a type; call it before start().
  virtual void setHandler(MessageType Type, PeerHandler Handler) = 0;
  virtual void setLinkHandler(PeerLinkHandler Handler) = 0;

  /// Starts to listen and to connect. Fails with Unavailable if the address
  /// cannot be bound.
  virtual Result<void> start() = 0;

  /// Closes all links; outstanding requests fail with Closed.
  virtual void stop() = 0;

  /// Replaces the list of members that can be reached.
  virtual void setPeers(const std::vector<PeerAddress> &Peers) = 0;

  /// Revision told to the peers in heartbeats.
  virtual void setConfigRevision(std::uint64_t Revision) = 0;

  /// Sends to one peer. Fails with NotFound (no such peer) or Unavailable
  /// (standing link down, or its queue is full); nothing was sent then.
  virtual Result<void> send(const std::string &Peer, MessageBody Body) = 0;

  /// Sends to all members: over all links, and each receiver relays it once.
  virtual void broadcast(MessageBody Body) = 0;

  /// Sends a request. Handler is called with the reply; with Unavailable if it
  /// was not sent; with Timeout or Closed if it may have arrived; or with the
  /// error that the peer answered.
  virtual void requestAsync(const std::string &Peer, MessageBody Body,
                            Milliseconds Timeout, PeerReplyHandler Handler) = 0;

  /// True if the link is up and its queue is nearly empty. Gossip is sent only
  /// then, so that a newer version of a row replaces the older one.
  virtual bool writable(const std::string &Peer) const = 0;

  virtual std::vector<PeerLinkStatus> links() const = 0;
  virtual PeerCounters counters() const = 0;

  /// As requestAsync, and waits. Must not be called from a handler.
  Result<Message> request(const std::string &Peer, MessageBody Body,
                          Milliseconds Timeout);
};

struct PeerNetworkOptions {
  std::string m_name; ///< Of this member.
  std::uint64_t m_incarnation = 0;
  std::string m_address = "127.0.0.1"; ///< IP number to listen on.
  std::uint16_t m_port = 0;            ///< 0: any; see boundPort().
  std::string m_clusterKey;            ///< At least MinClusterKeyBytes.
  std::string m_certificateFile;       ///< PEM; all three or none are set.
  std::string m_keyFile;
  std::string m_caFile;
  std::size_t m_maxQueueBytes = 4'000'000; ///< Outgoing, per link.
  std::uint64_t m_seed = 1;                ///< For jitter.
};

/// Shortest cluster key, in bytes.
inline constexpr std::size_t MinClusterKeyBytes = 16;

/// Bus over websockets.
class WebsocketPeerNetwork : public PeerNetwork {
public:
  /// Port that start() bound.
  virtual std::uint16_t boundPort() const = 0;
};

/// Fails with InvalidArgument if the name or key is missing or too short, or
/// if only some of the TLS files are set or one cannot be read.
Result<std::unique_ptr<WebsocketPeerNetwork>>
createPeerNetwork(PeerNetworkOptions Options);

/// Connects members of one process. Messages are encoded and decoded as on a
/// real link. Time moves only in advance(), or in a thread of its own after
/// runInRealTime().
class LocalPeerFabric {
public:
  virtual ~LocalPeerFabric() = default;

  /// A member's bus; it must be destroyed before the fabric. A later member of
  /// the same name replaces the earlier one.
  virtual std::unique_ptr<PeerNetwork>
  createMember(const std::string &Name, std::uint64_t Incarnation) = 0;

  /// Delivers what is due up to Now.
  virtual void advance(TimePoint Now) = 0;
  virtual void runInRealTime() = 0;

  /// One-way delay between two members, both ways.
  virtual void setDelay(const std::string &A, const std::string &B,
                        Milliseconds Delay) = 0;
  virtual void setDefaultDelay(Milliseconds Delay) = 0;
  /// Cuts or repairs the link: the two members cannot connect.
  virtual void setCut(const std::string &A, const std::string &B, bool Cut) = 0;
  /// Messages between the two vanish; the link goes down after the silence
  /// timeout, and new connections work.
  virtual void goSilent(const std::string &A, const std::string &B) = 0;
  /// The member's VM loses power: it neither sends nor receives any more, and
  /// its peers notice only by silence.
  virtual void powerOff(const std::string &Name) = 0;
  /// Time of the last delivery.
  virtual TimePoint now() const = 0;
};

std::unique_ptr<LocalPeerFabric> createLocalPeerFabric();

} // namespace primroseworks

#endif
