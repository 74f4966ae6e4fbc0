// Parts of the fleet that its source files share.
#ifndef PRIMROSE_CONTROLBENCH_FLEET_PVT_H
#define PRIMROSE_CONTROLBENCH_FLEET_PVT_H

#include "primrose-controlbench/fleet.h"

#include <ctime>

namespace primroseworks::controlbench {

inline constexpr Seconds ViewInterval{1};
inline constexpr Seconds WatchWait{30};
inline constexpr unsigned ModelsPerEngine = 3;

/// CPU seconds used by this thread.
inline double threadCpu() {
  timespec Used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Used);
  return static_cast<double>(Used.tv_sec) +
         static_cast<double>(Used.tv_nsec) * 1e-9;
}

inline void add(PeerCounters &A, const PeerCounters &B) {
  A.m_messagesSent += B.m_messagesSent;
  A.m_messagesReceived += B.m_messagesReceived;
  A.m_bytesSent += B.m_bytesSent;
  A.m_bytesReceived += B.m_bytesReceived;
  for (std::size_t I = 0; I < MessageTypeCount; ++I)
    A.m_sentByType[I] += B.m_sentByType[I];
}

/// An engine's load, as its owner sees it.
struct Fleet::Engine {
  EndpointSummary m_summary;
  unsigned m_running = 0;
  unsigned m_burst = 0; ///< Intervals left.
};

/// One daemon's control plane.
struct Fleet::Node {
  std::string m_name;
  std::string m_region;
  std::uint64_t m_incarnation = 0;
  unsigned m_index = 0;
  bool m_running = true;
  std::unique_ptr<PeerNetwork> m_network;
  std::unique_ptr<Gossip> m_gossip;
  std::unique_ptr<Membership> m_membership;
  std::unique_ptr<ConfigDistribution> m_config;
  std::set<std::string> m_links;
  std::vector<std::string> m_members; ///< Not gone, as last used for links.
  LeaseId m_lease = 0;
  TimePoint m_nextRenewal;
  TimePoint m_nextView;
  TimePoint m_nextVmList;
  TimePoint m_nextLeaseRead;
  TimePoint m_nextWatch; ///< When the waiting watches return without events.
  std::uint64_t m_leaseRevision = 0;
  PeerCounters m_past; ///< Of earlier incarnations.
  DistributionCounters m_pastConfig;
};

} // namespace primroseworks::controlbench

#endif
