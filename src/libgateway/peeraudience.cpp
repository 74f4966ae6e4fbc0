// Selection of the receivers of peer reports.
#include "libgateway/peeraudience.h"

#include <algorithm>

namespace primroseworks::gateway {

void PeerAudience::setMembers(std::vector<Member> Members) {
  m_members.clear();
  for (Member &M : Members)
    if (M.m_name != m_name)
      m_members.push_back(std::move(M));
  const auto SameDomain = std::count_if(
      m_members.begin(), m_members.end(),
      [this](const Member &M) { return M.m_failureDomain == m_domain; });
  m_domainIsDirect =
      static_cast<std::size_t>(SameDomain) <= MaxDirectDomainPeers;
}

bool PeerAudience::isDirectPeer(const Member &M) const {
  return !isLarge() || (m_domainIsDirect && M.m_failureDomain == m_domain);
}

bool PeerAudience::isDirectPeer(const std::string &Name) const {
  const auto It =
      std::find_if(m_members.begin(), m_members.end(),
                   [&Name](const Member &M) { return M.m_name == Name; });
  return It != m_members.end() && isDirectPeer(*It);
}

std::vector<const Member *> PeerAudience::directPeers() const {
  std::vector<const Member *> Out;
  for (const Member &M : m_members)
    if (isDirectPeer(M))
      Out.push_back(&M);
  return Out;
}

std::vector<const Member *> PeerAudience::receivers(const std::string &Leader,
                                                    bool HasTotals) {
  std::vector<const Member *> Out = directPeers();
  if (!isLarge())
    return Out;
  bool LeaderKnown = false;
  for (const Member &M : m_members)
    if (M.m_name == Leader) {
      LeaderKnown = true;
      if (!isDirectPeer(M))
        Out.push_back(&M);
    }
  if (LeaderKnown && HasTotals)
    return Out;
  const std::size_t RotationCount =
      std::min(RotatingReceivers, m_members.size());
  for (std::size_t I = 0; I < RotationCount; ++I) {
    const Member &M = m_members[m_nextInRotation++ % m_members.size()];
    if (!isDirectPeer(M) && M.m_name != Leader)
      Out.push_back(&M);
  }
  return Out;
}

std::string PeerAudience::domainOf(const std::string &Name) const {
  if (Name == m_name)
    return m_domain;
  const auto It =
      std::find_if(m_members.begin(), m_members.end(),
                   [&Name](const Member &M) { return M.m_name == Name; });
  return It == m_members.end() ? std::string() : It->m_failureDomain;
}

} // namespace primroseworks::gateway
