// The agents that may use a base share of the limits, as far as this VM knows.
#ifndef PRIMROSEWORKS_LIBQUOTA_AGENTLIST_H
#define PRIMROSEWORKS_LIBQUOTA_AGENTLIST_H

#include "libbase/bootclock.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace primroseworks::quota {

/// An agent uses its base share only for this long after the store last
/// confirmed its list of agents. Longer than outages of the store.
inline constexpr Seconds BaseShareLimit{120};
/// The share of an agent that left the list stays reserved for this long. The
/// agent may only be cut off from the store, and then uses its base share until
/// BaseShareLimit has passed there.
inline constexpr Seconds ReservePeriod = BaseShareLimit + Seconds(15);

class AgentList {
public:
  /// Sets the agents that the store's list contains.
  void set(const std::set<std::string> &Present, BootTime Now);
  /// Adds agents that another process knew. Those that are not in the list
  /// count as having left it now.
  void addKnown(const std::set<std::string> &Names, BootTime Now);
  /// Agents that are in the list or left it within ReservePeriod.
  std::set<std::string> reserved(BootTime Now) const;
  unsigned count(BootTime Now) const;
  /// Whether the store's list contained any agents yet.
  bool known() const { return !m_agents.empty(); }

private:
  /// By name: when the agent left the list; empty while it is in it.
  std::map<std::string, std::optional<BootTime>> m_agents;
};

} // namespace primroseworks::quota

#endif
