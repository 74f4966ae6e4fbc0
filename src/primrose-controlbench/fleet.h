// A fleet of control planes in one process: each member has its own gossip,
// membership and configuration distribution. Links are in-process stand-ins
// that encode every message; the store is the in-memory one; time is passed in.
#ifndef PRIMROSEWORKS_CONTROLBENCH_FLEET_H
#define PRIMROSEWORKS_CONTROLBENCH_FLEET_H

#include "primroseworks/distribution.h"
#include "primroseworks/gossip.h"
#include "primroseworks/membership.h"
#include "primroseworks/memorykvstore.h"
#include "primroseworks/peer.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace primroseworks::controlbench {

/// Bytes that a message costs on the wire besides its own: websocket frame (6),
/// TCP/IP with timestamps (52).
inline constexpr unsigned MessageHeaderBytes = 58;
/// An acknowledgement of its own in the other direction, at most one a message.
inline constexpr unsigned AckBytes = 52;
/// HTTP and TCP headers of a store call and its answer, in each direction.
inline constexpr std::uint64_t StoreCallBytes = 300;

enum class ConfigMode { PollAndGossip, WatchAlone, PollAlone };

struct FleetOptions {
  unsigned m_members = 3;
  unsigned m_endpoints = 9;
  unsigned m_models = 18;
  unsigned m_documentBytes = 130'000;
  ConfigMode m_config = ConfigMode::PollAndGossip;
  std::uint64_t m_seed = 1;
};

/// Sums over all members since the last reset.
struct FleetCounters {
  PeerCounters m_peers;
  KvCounters m_store;
  std::uint64_t m_storeBytes = 0; ///< Received and sent by the members.
  DistributionCounters m_config;
  std::uint64_t m_memberEvents = 0;
  double m_cpuSeconds = 0; ///< Thread CPU without the load model.
  Duration m_length{};
};

class Fleet {
public:
  explicit Fleet(FleetOptions Options);
  ~Fleet();

  /// Advances the time; loads change every 250 ms.
  void run(Duration Length);

  /// Submits a one-line change at a random member. Returns the time until the
  /// revision is in force at every member, at most Limit.
  Duration changeConfig(Duration Limit);

  /// Stops a member and starts a new incarnation of it.
  void restart(unsigned Member);

  /// The first Count members lose power. Returns the times until all others of
  /// their region, and until all others, know that they are gone; at most
  /// Limit.
  std::pair<Duration, Duration> loseMembers(unsigned Count, Duration Limit);

  void setOutage(bool On);
  void resetCounters();
  FleetCounters counters() const;
  unsigned size() const { return m_options.m_members; }

  /// Members whose view has every running member alive.
  unsigned completeViews() const;
  /// Largest number of links of a member.
  std::size_t mostLinks() const;

private:
  struct Node;
  struct Engine;

  Node &nodeOf(unsigned Index) { return *m_nodes[Index]; }
  void startNode(unsigned Index);
  void pump(Node &Member);
  void watchStore();
  void renewLease(Node &Member);
  void refreshView(Node &Member);
  void readLeases(Node &Member);
  void step();
  void changeLoads();
  void tellLoads(Node &Member);
  bool everywhere(std::uint64_t Revision) const;
  bool knownGone(unsigned Count, bool OwnRegion) const;
  std::string editDocument();

  const FleetOptions m_options;
  std::mt19937_64 m_random;
  TimePoint m_now;
  TimePoint m_measuredFrom;
  std::unique_ptr<MemoryKvStore> m_memory;
  std::unique_ptr<FaultyKvStore> m_store;
  std::unique_ptr<LocalPeerFabric> m_fabric;
  std::vector<std::unique_ptr<Node>> m_nodes;
  std::vector<Engine> m_engines;
  std::vector<VmInfo> m_vms;
  std::map<std::string, std::string> m_regionOf;
  std::string m_document;
  std::uint64_t m_lastIncarnation = 0;
  std::uint64_t m_revision = 0;
  std::uint64_t m_headSeen = 0;   ///< Store revision of the head, last looked.
  std::uint64_t m_leasesSeen = 0; ///< Store revision of the lease keys.
  TimePoint m_loadsChanged;
  std::uint64_t m_peeks = 0; ///< Store calls of the harness itself.
  std::uint64_t m_peekWatches = 0;
  std::uint64_t m_storeBytes = 0;
  std::uint64_t m_memberEvents = 0;
  double m_cpuStart = 0;
  double m_harnessCpu = 0;
  FleetCounters m_base; ///< Totals at the last reset.

  FleetCounters totals() const;
};

} // namespace primroseworks::controlbench

#endif
