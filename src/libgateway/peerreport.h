// What one gateway tells the others, several times a second: its work at each
// endpoint, what its callers ask for, and, from the placement leader, what
// engines hold. A report replaces the sender's earlier ones, so a lost one
// costs only its age.
#ifndef PRIMROSEWORKS_LIBGATEWAY_PEERREPORT_H
#define PRIMROSEWORKS_LIBGATEWAY_PEERREPORT_H

#include "libgateway/endpoints.h"
#include "libgateway/placement.h"
#include "primroseworks/error.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace primroseworks::gateway {

struct PeerEndpointLoad {
  std::string m_endpoint;
  EndpointLoad m_load;
};

struct PeerModelDemand {
  std::string m_model;
  ModelDemand m_demand;
};

struct PeerWantedAdapter {
  ArtifactName m_artifact;
  unsigned m_requests = 0;
};

struct PeerHolding {
  std::string m_endpoint;
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_orders = 0;
  std::vector<HeldModel> m_held;
};

/// A crash that a request with this fingerprint was part of; 0 as the crash
/// means that the request proved harmless.
struct PeerStrike {
  std::uint64_t m_fingerprint = 0;
  std::uint64_t m_crash = 0;
};

struct PeerReport {
  std::string m_sender;
  std::uint64_t m_start = 0;    ///< Wall time of the sender's start, in ms.
  std::uint64_t m_sequence = 0; ///< Rises with each report of a start.
  /// Fencing token of the sender if it leads, otherwise 0.
  std::uint64_t m_leaderToken = 0;
  std::vector<PeerEndpointLoad> m_loads;
  /// Tells only the loads that changed; the others stay as last told.
  bool m_partial = false;
  /// From the leader of a large fleet: sums over the gateways of each failure
  /// domain.
  std::map<std::string, std::vector<PeerEndpointLoad>> m_domainLoads;
  std::vector<PeerModelDemand> m_demands;
  std::vector<PeerWantedAdapter> m_wantedAdapters;
  std::vector<ArtifactName> m_usedAdapters; ///< Asked for since the last one.
  std::vector<PeerHolding> m_holdings;      ///< From the leader only.
  std::vector<PeerStrike> m_strikes;
};

/// Pause between two reports of one gateway, at least.
inline constexpr Milliseconds ReportPauseLeast{200};
/// Pause for each gateway of the fleet, which bounds what a leader receives to
/// 250 reports a second.
inline constexpr Milliseconds ReportPausePerMember{4};
/// Pause between two tellings of the sums by the leader of a large fleet, in
/// report pauses.
inline constexpr int ReportsPerSum = 3;
/// Reports without which the sender's loads and demands no longer count.
inline constexpr int ReportsMissed = 4;
/// What a report tells counts this long, at least.
inline constexpr Milliseconds ReportLifetimeLeast{1500};

/// Pause between two reports of one gateway in a fleet of Members.
inline Duration reportInterval(unsigned Members) {
  return std::max<Duration>(ReportPauseLeast,
                            ReportPausePerMember * static_cast<int>(Members));
}
/// How long a gateway's last report counts.
inline Duration reportLifetime(unsigned Members) {
  return std::max<Duration>(ReportLifetimeLeast,
                            ReportsMissed * reportInterval(Members));
}

/// Largest datagram; longer reports are cut to their first part.
inline constexpr std::size_t PeerReportBytes = 32'768;

/// CBOR form.
std::string encodePeerReport(const PeerReport &Report);
/// Fails with Protocol if Bytes are no report.
Result<PeerReport> decodePeerReport(const std::string &Bytes);

} // namespace primroseworks::gateway

#endif
