// Selects which gateways receive this gateway's load reports, and whose direct
// reports it uses.
//
// Load pattern: many gateways choose among the same endpoints within the time
// of one prompt's prefill. Load updates are useful only if sent immediately,
// but sending every update to every gateway costs messages that grow with the
// square of the fleet size. Direct peers, the gateways of the same failure
// domain, therefore exchange updates immediately; the leader of a large fleet
// collects all loads and periodically sends totals per failure domain. In a
// small fleet all gateways are direct peers.
#ifndef PRIMROSEWORKS_LIBGATEWAY_PEERAUDIENCE_H
#define PRIMROSEWORKS_LIBGATEWAY_PEERAUDIENCE_H

#include "primroseworks/time.h"

#include <string>
#include <vector>

namespace primroseworks::gateway {

/// A gateway, as described by its key in the metadata store.
struct Member {
  std::string m_name;
  std::string m_address; ///< IP address; all gateways use the same port.
  std::string m_failureDomain;
};

/// A fleet is small with at most this many other gateways.
inline constexpr std::size_t MaxSmallFleetPeers = 10;
/// The other gateways of the local failure domain are direct peers if there are
/// at most this many.
inline constexpr std::size_t MaxDirectDomainPeers = 24;
/// Gateways, in rotation, that also receive a report while the leader is
/// unknown or its totals are missing.
inline constexpr std::size_t RotatingReceivers = 10;

class PeerAudience {
public:
  PeerAudience(std::string Name, std::string Domain)
      : m_name(std::move(Name)), m_domain(std::move(Domain)) {}
  /// Sets the gateways of the fleet; the list may include this one.
  void setMembers(std::vector<Member> Members);
  /// All gateways except this one.
  const std::vector<Member> &members() const { return m_members; }
  bool isLarge() const { return m_members.size() > MaxSmallFleetPeers; }
  /// Whether the local failure domain has few enough gateways for immediate
  /// load updates among all of them.
  bool domainIsDirect() const { return m_domainIsDirect; }
  /// Whether the gateway called Name sends its loads to this one directly.
  bool isDirectPeer(const std::string &Name) const;
  std::vector<const Member *> directPeers() const;
  /// Returns the receivers of this gateway's regular report. HasTotals: the
  /// leader's totals are current, so no report is sent to other gateways.
  std::vector<const Member *> receivers(const std::string &Leader,
                                        bool HasTotals);
  /// Returns the failure domain of a gateway; empty if the gateway is unknown.
  std::string domainOf(const std::string &Name) const;

private:
  bool isDirectPeer(const Member &M) const;

  std::string m_name;
  std::string m_domain;
  std::vector<Member> m_members; ///< Excludes this gateway.
  bool m_domainIsDirect = true;
  /// Next gateway of the rotation: an index into m_members, modulo its size.
  std::size_t m_nextInRotation = 0;
};

} // namespace primroseworks::gateway

#endif
