// Selects which gateways schedule requests for the others, which gateways
// receive this gateway's reports, and whose reports it uses.
//
// Load pattern: many gateways choose among the same endpoints within the time
// of one prompt's prefill, and each of them sees only a few requests per
// second. In a small fleet every gateway sends its load changes to all others.
// In a large one that would cost messages that grow with the square of the
// fleet size, so a few coordinators schedule the requests of all gateways and
// exchange their load changes with each other.
//
// Engines are scarce and shared by all models and regions, so one coordinator
// schedules all requests for them: with several queues, the one that frees a
// slot would take it again, and the requests of the others would starve. Plain
// services are scheduled within each region, since their requests are short.
#ifndef PRIMROSEWORKS_LIBGATEWAY_PEERAUDIENCE_H
#define PRIMROSEWORKS_LIBGATEWAY_PEERAUDIENCE_H

#include "primroseworks/time.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace primroseworks::gateway {

/// A gateway, as described by its key in the metadata store.
struct Member {
  std::string m_name;
  std::string m_address; ///< IP address; all gateways use the same port.
  std::string m_failureDomain;
  double m_cpuShare = 1; ///< Cores that its VM may use.
};

/// A fleet is small with at most this many other gateways.
inline constexpr std::size_t MaxSmallFleetPeers = 10;
/// Each failure domain has one coordinator, and each region at least this many,
/// so that a region keeps one when it loses a VM.
inline constexpr std::size_t MinCoordinatorsPerRegion = 2;

/// Coordinators of the whole fleet that are asked before those of the region:
/// the scheduler of the engines, and the one that replaces it.
inline constexpr std::size_t FleetSchedulers = 2;

class PeerAudience {
public:
  /// Regions maps failure domains to regions.
  PeerAudience(std::string Name, std::string Domain,
               std::map<std::string, std::string> Regions);
  /// Sets the gateways of the fleet; the list may include this one.
  void setMembers(const std::vector<Member> &Members);
  /// All gateways except this one.
  const std::vector<Member> &members() const { return m_members; }
  bool isLarge() const { return m_members.size() > MaxSmallFleetPeers; }
  /// Whether this gateway is a coordinator; false in a small fleet.
  bool isCoordinator() const { return isCoordinator(m_name); }
  bool isCoordinator(const std::string &Name) const {
    return m_coordinators.count(Name) > 0;
  }
  std::size_t coordinatorCount() const { return m_coordinators.size(); }
  /// The coordinators that schedule requests for engines, in the order in which
  /// they are asked: two of the fleet, the same for all gateways, then those of
  /// the local region.
  const std::vector<std::string> &engineSchedulers() const {
    return m_engineSchedulers;
  }
  /// The coordinators of the local region, in the order in which requests for a
  /// plain service with this hash use them.
  std::vector<std::string> plainSchedulers(std::uint64_t Hash) const;
  /// Whether the gateway is in the local region; false if it is unknown.
  bool inRegion(const std::string &Name) const;
  /// Whether this gateway uses the loads in Name's reports.
  bool isDirectPeer(const std::string &Name) const;
  /// Receivers of immediate load changes: all other gateways of a small fleet,
  /// the other coordinators of a large one.
  std::vector<const Member *> directPeers() const;
  /// Receivers of this gateway's regular report. ForAll: it contains loads or
  /// strikes that all coordinators must know.
  std::vector<const Member *> receivers(const std::string &Leader,
                                        bool ForAll) const;
  /// The other gateways of the local failure domain that are no coordinators;
  /// empty unless this gateway is a coordinator.
  std::vector<const Member *> dependents() const;
  /// Returns null if the gateway is unknown or this one.
  const Member *find(const std::string &Name) const;

private:
  std::string regionOf(const std::string &Domain) const;
  void selectCoordinators(const std::vector<Member> &All);
  void orderEngineSchedulers(const std::vector<Member> &All);

  std::string m_name;
  std::string m_domain;
  std::map<std::string, std::string> m_regions; ///< By failure domain.
  std::vector<Member> m_members;                ///< Excludes this gateway.
  std::set<std::string> m_coordinators;         ///< Empty in a small fleet.
  /// The coordinators of the local region; includes this one if it is one.
  std::vector<std::string> m_regionCoordinators;
  std::vector<std::string> m_engineSchedulers;
};

} // namespace primroseworks::gateway

#endif
