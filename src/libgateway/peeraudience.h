// Which gateways a gateway reports its loads to, and whose loads it counts.
//
// Load pattern: many gateways choose among the same endpoints within the time
// that a prompt takes to be read. Loads must be told at once to be of use, but
// telling all of them to all others costs the square of the fleet's size. So
// close gateways, those of the own failure domain, tell each other at once;
// the leader of a large fleet collects the loads of all and tells sums by
// failure domain now and then. A small fleet has close gateways only.
#ifndef PRIMROSEWORKS_LIBGATEWAY_PEERAUDIENCE_H
#define PRIMROSEWORKS_LIBGATEWAY_PEERAUDIENCE_H

#include "primroseworks/time.h"

#include <string>
#include <vector>

namespace primroseworks::gateway {

/// A gateway as its key in the store describes it.
struct Member {
  std::string m_name;
  std::string m_address; ///< IP; the port is the same for all.
  std::string m_failureDomain;
};

/// Other gateways up to which a fleet is small.
inline constexpr std::size_t MaxSmallFleetPeers = 10;
/// Other gateways of one failure domain up to which they are close.
inline constexpr std::size_t CloseMost = 24;
/// Gateways that get a report while no leader tells sums.
inline constexpr std::size_t UnledReceivers = 10;

class PeerAudience {
public:
  PeerAudience(std::string Name, std::string Domain)
      : m_name(std::move(Name)), m_domain(std::move(Domain)) {}
  /// All gateways of the fleet, with or without this one.
  void setMembers(std::vector<Member> Members);
  /// The other gateways.
  const std::vector<Member> &members() const { return m_members; }
  bool isLarge() const { return m_members.size() > MaxSmallFleetPeers; }
  /// Whether the gateways of the own failure domain are few enough to be told
  /// everything at once.
  bool domainIsClose() const { return m_domainIsClose; }
  /// Whether the gateway of this name tells its loads directly.
  bool isClose(const std::string &Name) const;
  std::vector<const Member *> closeMembers() const;
  /// Receivers of a gateway's regular report. SumsKnown: the leader's sums
  /// come, so that the others need not be told.
  std::vector<const Member *> receivers(const std::string &Leader,
                                        bool SumsKnown);
  /// Failure domain of a gateway; empty if it is not known.
  std::string domainOf(const std::string &Name) const;

private:
  bool isClose(const Member &M) const;

  std::string m_name;
  std::string m_domain;
  std::vector<Member> m_members; ///< Without this one.
  bool m_domainIsClose = true;
  std::size_t m_turn = 0; ///< Next of m_members while no leader tells sums.
};

} // namespace primroseworks::gateway

#endif
