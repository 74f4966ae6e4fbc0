// Selection of the coordinators and of the receivers of peer reports.
#include "libgateway/peeraudience.h"
#include "primroseworks/hash.h"

#include <algorithm>
#include <tuple>

namespace primroseworks::gateway {

namespace {

/// Orders gateways by CPU, the largest first, and otherwise at random, but in
/// the same way at all gateways.
bool hasPrecedence(const Member &A, const Member &B) {
  return std::make_tuple(-A.m_cpuShare, hash::number(A.m_name), A.m_name) <
         std::make_tuple(-B.m_cpuShare, hash::number(B.m_name), B.m_name);
}

} // namespace

PeerAudience::PeerAudience(std::string Name, std::string Domain,
                           std::map<std::string, std::string> Regions)
    : m_name(std::move(Name)), m_domain(std::move(Domain)),
      m_regions(std::move(Regions)) {}

std::string PeerAudience::regionOf(const std::string &Domain) const {
  const auto It = m_regions.find(Domain);
  return It == m_regions.end() ? Domain : It->second;
}

void PeerAudience::setMembers(const std::vector<Member> &Members) {
  m_members.clear();
  for (const Member &M : Members)
    if (M.m_name != m_name)
      m_members.push_back(M);
  m_coordinators.clear();
  m_regionCoordinators.clear();
  m_engineSchedulers.clear();
  if (!isLarge())
    return;
  selectCoordinators(Members);
  orderEngineSchedulers(Members);
}

void PeerAudience::orderEngineSchedulers(const std::vector<Member> &All) {
  std::vector<Member> Order;
  for (const Member &M : All)
    if (isCoordinator(M.m_name))
      Order.push_back(M);
  std::sort(Order.begin(), Order.end(), hasPrecedence);
  for (std::size_t I = 0; I < std::min(FleetSchedulers, Order.size()); ++I)
    m_engineSchedulers.push_back(Order[I].m_name);
  for (const std::string &Name : m_regionCoordinators)
    if (std::find(m_engineSchedulers.begin(), m_engineSchedulers.end(), Name) ==
        m_engineSchedulers.end())
      m_engineSchedulers.push_back(Name);
}

bool PeerAudience::inRegion(const std::string &Name) const {
  const Member *M = find(Name);
  return M && regionOf(M->m_failureDomain) == regionOf(m_domain);
}

/// Selects the gateways with the most CPU, one per failure domain, and further
/// ones where a region would have too few.
void PeerAudience::selectCoordinators(const std::vector<Member> &All) {
  std::map<std::string, std::map<std::string, std::vector<const Member *>>>
      Regions; // By region, then by failure domain.
  for (const Member &M : All)
    Regions[regionOf(M.m_failureDomain)][M.m_failureDomain].push_back(&M);
  for (auto &[Region, Domains] : Regions) {
    std::size_t Available = 0;
    for (auto &[Domain, List] : Domains) {
      std::sort(List.begin(), List.end(), [](const Member *A, const Member *B) {
        return hasPrecedence(*A, *B);
      });
      Available += List.size();
    }
    const std::size_t Wanted =
        std::min(Available, std::max(MinCoordinatorsPerRegion, Domains.size()));
    std::vector<std::string> Selected;
    for (std::size_t Place = 0; Selected.size() < Wanted; ++Place)
      for (const auto &[Domain, List] : Domains)
        if (Place < List.size() && Selected.size() < Wanted)
          Selected.push_back(List[Place]->m_name);
    m_coordinators.insert(Selected.begin(), Selected.end());
    if (Region == regionOf(m_domain))
      m_regionCoordinators = Selected;
  }
}

std::vector<std::string>
PeerAudience::plainSchedulers(std::uint64_t Hash) const {
  std::vector<std::string> Out = m_regionCoordinators;
  const std::string Suffix = '/' + std::to_string(Hash);
  std::sort(Out.begin(), Out.end(),
            [&Suffix](const std::string &A, const std::string &B) {
              return hash::number(A + Suffix) > hash::number(B + Suffix);
            });
  return Out;
}

bool PeerAudience::isDirectPeer(const std::string &Name) const {
  if (isLarge())
    return isCoordinator() && Name != m_name;
  return find(Name) != nullptr;
}

std::vector<const Member *> PeerAudience::directPeers() const {
  std::vector<const Member *> Out;
  for (const Member &M : m_members)
    if (!isLarge() || isCoordinator(M.m_name))
      Out.push_back(&M);
  return Out;
}

std::vector<const Member *> PeerAudience::receivers(const std::string &Leader,
                                                    bool ForAll) const {
  const Member *ToLeader = find(Leader);
  const bool KnownLeader = ToLeader || Leader == m_name;
  // Without a leader, one of the coordinators will most likely be the next.
  if (!isLarge() || isCoordinator() || ForAll || !KnownLeader) {
    std::vector<const Member *> Out = directPeers();
    if (isLarge() && ToLeader && !isCoordinator(Leader))
      Out.push_back(ToLeader);
    return Out;
  }
  if (!ToLeader)
    return {};
  return {ToLeader};
}

std::vector<const Member *> PeerAudience::dependents() const {
  std::vector<const Member *> Out;
  if (!isCoordinator())
    return Out;
  for (const Member &M : m_members)
    if (M.m_failureDomain == m_domain && !isCoordinator(M.m_name))
      Out.push_back(&M);
  return Out;
}

const Member *PeerAudience::find(const std::string &Name) const {
  const auto It =
      std::find_if(m_members.begin(), m_members.end(),
                   [&Name](const Member &M) { return M.m_name == Name; });
  return It == m_members.end() ? nullptr : &*It;
}

} // namespace primroseworks::gateway
