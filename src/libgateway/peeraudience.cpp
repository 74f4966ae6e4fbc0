// Receivers of the reports between gateways.
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
  m_domainIsClose = static_cast<std::size_t>(SameDomain) <= CloseMost;
}

bool PeerAudience::isClose(const Member &M) const {
  return !isLarge() || (m_domainIsClose && M.m_failureDomain == m_domain);
}

bool PeerAudience::isClose(const std::string &Name) const {
  const auto It =
      std::find_if(m_members.begin(), m_members.end(),
                   [&Name](const Member &M) { return M.m_name == Name; });
  return It != m_members.end() && isClose(*It);
}

std::vector<const Member *> PeerAudience::closeMembers() const {
  std::vector<const Member *> Out;
  for (const Member &M : m_members)
    if (isClose(M))
      Out.push_back(&M);
  return Out;
}

std::vector<const Member *> PeerAudience::receivers(const std::string &Leader,
                                                    bool SumsKnown) {
  std::vector<const Member *> Out = closeMembers();
  if (!isLarge())
    return Out;
  bool LeaderKnown = false;
  for (const Member &M : m_members)
    if (M.m_name == Leader) {
      LeaderKnown = true;
      if (!isClose(M))
        Out.push_back(&M);
    }
  if (LeaderKnown && SumsKnown)
    return Out;
  const std::size_t Turns = std::min(UnledReceivers, m_members.size());
  for (std::size_t I = 0; I < Turns; ++I) {
    const Member &M = m_members[m_turn++ % m_members.size()];
    if (!isClose(M) && M.m_name != Leader)
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
