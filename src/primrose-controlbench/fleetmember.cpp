// One member's periodic work: lease, view, configuration, gossip.
#include "primrose-controlbench/fleet_pvt.h"

namespace primroseworks::controlbench {
namespace {

constexpr Seconds VmListInterval{5};
constexpr Seconds LeaseTtl{15};
constexpr Seconds LeaseRenewal{5};
constexpr Seconds LeaseReadInterval{60}; ///< Whole range, against lost events.
constexpr Milliseconds RegionDelay{12};

std::size_t sizeOf(const std::vector<KvEntry> &Entries) {
  std::size_t Out = 0;
  for (const KvEntry &Entry : Entries)
    Out += Entry.m_key.size() + Entry.m_value.size() + 40;
  return Out;
}

} // namespace

void Fleet::renewLease(Node &Member) {
  std::uniform_real_distribution<double> Factor(0.9, 1.1);
  Member.m_nextRenewal =
      m_now + fromSeconds(toSeconds(LeaseRenewal) * Factor(m_random));
  m_storeBytes += 2 * StoreCallBytes;
  if (Member.m_lease != 0 && m_store->renewLease(Member.m_lease))
    return;
  const auto Lease = m_store->grantLease(LeaseTtl);
  if (!Lease)
    return;
  Member.m_lease = Lease.value();
  const VmInfo &Vm = m_vms[Member.m_index];
  const std::string Key = MemberPrefix + Member.m_name;
  const std::string Record = encodeMember(
      {Member.m_name, Member.m_incarnation, Vm.m_region, Vm.m_failureDomain,
       Vm.m_address + ":" + std::to_string(Vm.m_port), Member.m_lease});
  const auto Old = m_store->get(Key);
  m_storeBytes += 6 * StoreCallBytes;
  if (Old)
    (void)m_store->compareAndSwap(
        Key, Old.value() ? Old.value()->m_revision : 0, Record, Member.m_lease);
}

void Fleet::readLeases(Node &Member) {
  std::uniform_real_distribution<double> Factor(0.9, 1.1);
  Member.m_nextLeaseRead =
      m_now + fromSeconds(toSeconds(LeaseReadInterval) * Factor(m_random));
  const auto Found = m_store->range(MemberPrefix);
  m_storeBytes += 2 * StoreCallBytes;
  if (!Found) {
    Member.m_membership->onStoreUnavailable(m_now);
    Member.m_nextLeaseRead = m_now + Seconds(5);
    return;
  }
  m_storeBytes += sizeOf(Found.value().m_entries);
  Member.m_leaseRevision = Found.value().m_revision;
  Member.m_membership->onLeaseSnapshot(Found.value().m_entries, m_now);
}

/// Applies the view: heartbeats, states, links.
void Fleet::refreshView(Node &Member) {
  Member.m_nextView += ViewInterval;
  for (const auto &[Name, Incarnation] : Member.m_gossip->takeProgress())
    Member.m_membership->onHeartbeat(Name, Incarnation, m_now);
  // Direct contact with another region, should its summary stop.
  for (const PeerLinkStatus &Link : Member.m_network->links())
    if (m_regionOf[Link.m_name] != Member.m_region)
      Member.m_membership->onHeartbeat(Link.m_name, Link.m_incarnation, m_now);
  m_memberEvents += Member.m_membership->update(m_now).size();
  std::vector<std::string> Present;
  std::vector<GossipMember> Members;
  for (const auto &[Name, Info] : Member.m_membership->members())
    if (Info.m_state != MemberState::Gone && !Info.m_record.m_region.empty()) {
      Present.push_back(Name);
      Members.push_back({Name, Info.m_record.m_region});
    }
  if (Present == Member.m_members)
    return;
  Member.m_members = std::move(Present);
  Member.m_gossip->setMembers(Members, m_now);
  const auto Links = linkNeighbours(Members, Member.m_name);
  Member.m_links = {Links.begin(), Links.end()};
  std::vector<PeerAddress> Peers;
  for (const GossipMember &Other : Members) {
    const bool Standing = Member.m_links.count(Other.m_name) != 0;
    Peers.push_back({Other.m_name, "", 0, Standing});
    if (Standing && Other.m_region != Member.m_region)
      m_fabric->setDelay(Member.m_name, Other.m_name, RegionDelay);
  }
  Member.m_network->setPeers(Peers);
}

void Fleet::pump(Node &Member) {
  if (m_now >= Member.m_nextRenewal)
    renewLease(Member);
  if (m_now >= Member.m_nextVmList) {
    Member.m_nextVmList = m_now + VmListInterval;
    Member.m_membership->onVmList(m_vms, m_now);
  }
  if (m_now >= Member.m_nextLeaseRead)
    readLeases(Member);
  if (m_now >= Member.m_nextView)
    refreshView(Member);
  const DistributionCounters Before = Member.m_config->counters();
  if (m_options.m_config != ConfigMode::WatchAlone)
    Member.m_config->poll(m_now);
  const DistributionCounters After = Member.m_config->counters();
  m_storeBytes += (After.m_polls - Before.m_polls) * (2 * StoreCallBytes + 100);
  m_storeBytes += (After.m_storeFetches - Before.m_storeFetches) *
                  (2 * StoreCallBytes + m_options.m_documentBytes);
  for (const std::string &Peer : Member.m_links)
    if (Member.m_network->writable(Peer))
      if (auto Out = Member.m_gossip->nextMessage(Peer, m_now))
        (void)Member.m_network->send(Peer, std::move(*Out));
}

/// Stands in for the waiting watches: a member's watch returns when a key
/// changed or after its wait, and is sent again.
void Fleet::watchStore() {
  ++m_peekWatches;
  const auto Changes =
      m_memory->watch(MemberPrefix, m_leasesSeen, Milliseconds(0));
  const bool LeasesChanged = Changes && !Changes.value().m_events.empty();
  if (Changes)
    m_leasesSeen = Changes.value().m_revision;
  ++m_peeks;
  const auto Head = m_memory->get(ConfigHeadKey);
  const std::uint64_t HeadRevision =
      Head && Head.value() ? Head.value()->m_revision : 0;
  const bool HeadChanged = HeadRevision != m_headSeen;
  m_headSeen = HeadRevision;
  for (auto &Next : m_nodes) {
    Node &Member = *Next;
    const bool Returned = m_now >= Member.m_nextWatch;
    if (!Member.m_running || Member.m_leaseRevision == 0 ||
        !(Returned || LeasesChanged || HeadChanged))
      continue;
    if (Returned)
      Member.m_nextWatch = m_now + WatchWait;
    if (Returned || LeasesChanged) {
      const auto Seen =
          m_store->watch(MemberPrefix, Member.m_leaseRevision, Milliseconds(0));
      m_storeBytes += 2 * StoreCallBytes;
      if (Seen) {
        Member.m_leaseRevision = Seen.value().m_revision;
        for (const KvEvent &Event : Seen.value().m_events) {
          m_storeBytes += Event.m_key.size() + 200;
          Member.m_membership->onLeaseEvent(Event, m_now);
        }
      } else {
        Member.m_membership->onStoreUnavailable(m_now);
      }
    }
    if (m_options.m_config == ConfigMode::WatchAlone &&
        (Returned || HeadChanged)) {
      const std::uint64_t Before = Member.m_config->counters().m_storeFetches;
      (void)Member.m_config->watch(Milliseconds(0));
      m_storeBytes += 2 * StoreCallBytes;
      m_storeBytes += (Member.m_config->counters().m_storeFetches - Before) *
                      (2 * StoreCallBytes + m_options.m_documentBytes);
    }
  }
}

} // namespace primroseworks::controlbench
