// Agents that are in the store's list or left it not long ago.
#include "libquota/agentlist.h"

namespace primroseworks::quota {

void AgentList::set(const std::set<std::string> &Present, BootTime Now) {
  for (auto It = m_agents.begin(); It != m_agents.end();) {
    auto &[Name, LeftAt] = *It;
    if (!Present.count(Name) && !LeftAt)
      LeftAt = Now;
    It = LeftAt && Now - *LeftAt >= ReservePeriod ? m_agents.erase(It)
                                                  : std::next(It);
  }
  for (const std::string &Name : Present)
    m_agents[Name].reset();
}

void AgentList::addKnown(const std::set<std::string> &Names, BootTime Now) {
  for (const std::string &Name : Names)
    m_agents.try_emplace(Name, Now);
}

std::set<std::string> AgentList::reserved(BootTime Now) const {
  std::set<std::string> Out;
  for (const auto &[Name, LeftAt] : m_agents)
    if (!LeftAt || Now - *LeftAt < ReservePeriod)
      Out.insert(Name);
  return Out;
}

unsigned AgentList::count(BootTime Now) const {
  return static_cast<unsigned>(reserved(Now).size());
}

} // namespace primroseworks::quota
