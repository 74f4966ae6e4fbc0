// Peer links within one process, driven by a queue of events in time order. The
// functions are in localpeer.cpp (calls) and locallink.cpp (events and links).
#ifndef PRIMROSEWORKS_LOCALPEER_PVT_H
#define PRIMROSEWORKS_LOCALPEER_PVT_H

#include "libpeer/peerbus_pvt.h"

#include <queue>
#include <thread>
#include <tuple>

namespace primroseworks::pvt {

class LocalFabric;

/// Bus of one member.
class LocalMember final : public BusNetwork<PeerNetwork> {
public:
  LocalMember(LocalFabric &Fabric, std::string Name, std::uint64_t Incarnation)
      : BusNetwork(Name, Incarnation), m_fabric(Fabric),
        m_name(std::move(Name)), m_incarnation(Incarnation) {}
  ~LocalMember() override { stop(); }

  Result<void> start() override;
  void stop() override;
  void setPeers(const std::vector<PeerAddress> &Peers) override;
  void requestAsync(const std::string &Peer, MessageBody Body,
                    Milliseconds Timeout, PeerReplyHandler Handler) override;
  bool writable(const std::string &Peer) const override;
  std::vector<PeerLinkStatus> links() const override;
  PeerCounters counters() const override;
  Result<void> transmit(const std::string &Peer, const Message &Value) override;

  using BusNetwork::m_bus;
  using BusNetwork::m_configRevision;

  LocalFabric &m_fabric;
  const std::string m_name;
  const std::uint64_t m_incarnation;
  // The rest is guarded by the fabric's mutex.
  bool m_started = false;
  std::map<std::string, bool> m_peers;           ///< Name to "standing".
  std::map<std::string, std::uint64_t> m_linked; ///< Name to incarnation.
  PeerCounters m_counters;
};

struct WaitingMessage {
  std::string m_from;
  std::string m_bytes;
  MessageType m_type = MessageType::Heartbeat;
};

/// Link between two members; exists while it is up or being opened.
struct LocalLink {
  std::uint64_t m_generation = 0; ///< Events of an earlier link are void.
  bool m_up = false;
  bool m_silent = false;
  TimePoint m_lastSent[2];
  TimePoint m_lastHeard[2];
  TimePoint m_lastUse;
  /// Arrival of the last message in each direction; messages keep their order.
  TimePoint m_lastArrival[2];
  std::vector<WaitingMessage> m_waiting; ///< For the link to open.
};

using PairKey = std::pair<std::string, std::string>; ///< Lower name first.

inline PairKey pairOf(const std::string &A, const std::string &B) {
  return A < B ? PairKey(A, B) : PairKey(B, A);
}

enum class EventKind { Deliver, Timer, Connect };

struct FabricEvent {
  TimePoint m_time;
  std::uint64_t m_order = 0;
  EventKind m_kind = EventKind::Deliver;
  PairKey m_pair;
  std::uint64_t m_generation = 0;
  std::string m_to;
  std::string m_bytes;

  friend bool operator>(const FabricEvent &A, const FabricEvent &B) {
    return std::tie(A.m_time, A.m_order) > std::tie(B.m_time, B.m_order);
  }
};

class LocalFabric final : public LocalPeerFabric {
public:
  ~LocalFabric() override;

  std::unique_ptr<PeerNetwork> createMember(const std::string &Name,
                                            std::uint64_t Incarnation) override;
  void advance(TimePoint Now) override;
  void runInRealTime() override;
  void setDelay(const std::string &A, const std::string &B,
                Milliseconds Delay) override;
  void setDefaultDelay(Milliseconds Delay) override;
  void setCut(const std::string &A, const std::string &B, bool Cut) override;
  void goSilent(const std::string &A, const std::string &B) override;
  void powerOff(const std::string &Name) override;
  TimePoint now() const override;

  // Calls of members.
  void join(LocalMember &Member);
  void leave(LocalMember &Member);
  void setPeers(LocalMember &Member, const std::vector<PeerAddress> &Peers);
  Result<void> transmit(LocalMember &From, const std::string &To,
                        const Message &Value);

  mutable std::mutex m_mutex;

private:
  bool isOff(const LocalMember &Member) const;
  Milliseconds delay(const PairKey &Pair) const;
  bool wanted(const PairKey &Pair) const;
  void schedule(FabricEvent Event);
  void scheduleConnect(const PairKey &Pair, TimePoint Time);
  void post(const PairKey &Pair, LocalLink &Link, LocalMember &From,
            const std::string &To, std::string Bytes, MessageType Type);
  void run(const FabricEvent &Event);
  void deliver(const FabricEvent &Event);
  void connect(const PairKey &Pair);
  void open(const PairKey &Pair, LocalMember &A, LocalMember &B);
  void scheduleTimer(const PairKey &Pair, const LocalLink &Link);
  /// Sends heartbeats and closes links that are silent or unused.
  void checkLink(const FabricEvent &Event);
  void heartbeat(const PairKey &Pair, LocalLink &Link, const std::string &From,
                 const std::string &To, int Side);
  void drop(const PairKey &Pair);
  void expireRequests(TimePoint Now);

  /// Held while events run, so that a member is not destroyed under its
  /// handler; a handler may call back into the fabric.
  std::recursive_mutex m_delivery;
  bool m_stopping = false;
  std::thread m_thread;
  TimePoint m_now;
  TimePoint m_lastExpiry;
  std::uint64_t m_order = 0;
  std::uint64_t m_lastGeneration = 0;
  std::map<std::string, LocalMember *> m_members;
  std::map<PairKey, LocalLink> m_links;
  std::set<PairKey> m_connecting;
  std::set<PairKey> m_cuts;
  std::map<PairKey, Milliseconds> m_delays;
  Milliseconds m_defaultDelay{1};
  std::priority_queue<FabricEvent, std::vector<FabricEvent>, std::greater<>>
      m_events;
};

} // namespace primroseworks::pvt

#endif
