// What is counted over all members.
#include "primrose-controlbench/fleet_pvt.h"

#include <algorithm>

namespace primroseworks::controlbench {
namespace {

void subtract(PeerCounters &A, const PeerCounters &B) {
  A.m_messagesSent -= B.m_messagesSent;
  A.m_messagesReceived -= B.m_messagesReceived;
  A.m_bytesSent -= B.m_bytesSent;
  A.m_bytesReceived -= B.m_bytesReceived;
  for (std::size_t I = 0; I < MessageTypeCount; ++I)
    A.m_sentByType[I] -= B.m_sentByType[I];
}

} // namespace

FleetCounters Fleet::totals() const {
  FleetCounters Out;
  for (const auto &Member : m_nodes) {
    add(Out.m_peers, Member->m_past);
    add(Out.m_peers, Member->m_network->counters());
    const DistributionCounters Config = Member->m_config->counters();
    Out.m_config.m_polls += Config.m_polls + Member->m_pastConfig.m_polls;
    Out.m_config.m_storeFetches +=
        Config.m_storeFetches + Member->m_pastConfig.m_storeFetches;
    Out.m_config.m_peerFetches +=
        Config.m_peerFetches + Member->m_pastConfig.m_peerFetches;
  }
  Out.m_store = m_memory->counters();
  Out.m_store.m_reads -= m_peeks;
  Out.m_store.m_watches -= m_peekWatches;
  Out.m_storeBytes = m_storeBytes;
  Out.m_memberEvents = m_memberEvents;
  Out.m_cpuSeconds = threadCpu() - m_harnessCpu;
  return Out;
}

void Fleet::resetCounters() {
  m_base = totals();
  m_measuredFrom = m_now;
}

FleetCounters Fleet::counters() const {
  FleetCounters Out = totals();
  subtract(Out.m_peers, m_base.m_peers);
  Out.m_store.m_reads -= m_base.m_store.m_reads;
  Out.m_store.m_writes -= m_base.m_store.m_writes;
  Out.m_store.m_watches -= m_base.m_store.m_watches;
  Out.m_storeBytes -= m_base.m_storeBytes;
  Out.m_config.m_polls -= m_base.m_config.m_polls;
  Out.m_config.m_storeFetches -= m_base.m_config.m_storeFetches;
  Out.m_config.m_peerFetches -= m_base.m_config.m_peerFetches;
  Out.m_memberEvents -= m_base.m_memberEvents;
  Out.m_cpuSeconds -= m_base.m_cpuSeconds;
  Out.m_length = m_now - m_measuredFrom;
  return Out;
}

unsigned Fleet::completeViews() const {
  unsigned Out = 0;
  unsigned Running = 0;
  for (const auto &Member : m_nodes)
    Running += Member->m_running;
  for (const auto &Member : m_nodes) {
    unsigned Alive = 0;
    for (const auto &[Name, Info] : Member->m_membership->members())
      Alive += Info.m_state == MemberState::Alive;
    Out += Member->m_running && Alive == Running;
  }
  return Out;
}

std::size_t Fleet::mostLinks() const {
  std::size_t Out = 0;
  for (const auto &Member : m_nodes)
    Out = std::max(Out, Member->m_links.size());
  return Out;
}

} // namespace primroseworks::controlbench
