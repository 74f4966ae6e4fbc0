// Report that each gateway sends to its peers several times a second: its load
// at each endpoint, the demand of its callers and, from the placement leader,
// what engines hold. A report replaces the sender's earlier ones, so a lost
// report only makes the data older.
#ifndef PRIMROSEWORKS_LIBGATEWAY_PEERREPORT_H
#define PRIMROSEWORKS_LIBGATEWAY_PEERREPORT_H

#include "libgateway/endpoints.h"
#include "libgateway/placement.h"
#include "libwarmstart/warmstart.h"
#include "primroseworks/error.h"

#include <algorithm>
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

/// A crash while a request with this fingerprint ran. A crash id of 0 means
/// that the request completed, which proves it harmless.
struct PeerStrike {
  std::uint64_t m_fingerprint = 0;
  std::uint64_t m_crash = 0;
};

/// The same for a part of a prompt.
struct PeerPartStrike {
  std::uint64_t m_part = 0;
  std::uint64_t m_crash = 0;
  std::uint64_t m_request = 0; ///< Fingerprint of the request that held it.
  Milliseconds m_age{};        ///< Since the endpoint broke that request off.
};

/// An endpoint whose response had no end.
struct PeerOverrun {
  std::string m_endpoint;
  std::uint64_t m_incarnation = 0;
};

struct PeerReport {
  std::string m_sender;
  std::uint64_t m_start = 0;    ///< Wall-clock start time of the sender, in ms.
  std::uint64_t m_sequence = 0; ///< Increases with each report since m_start.
  /// The sender's fencing token if it is the leader, otherwise 0.
  std::uint64_t m_leaderToken = 0;
  std::vector<PeerEndpointLoad> m_loads;
  /// Contains only the loads that changed; the others keep their last value.
  bool m_partial = false;
  /// From a coordinator: total load of all gateways.
  std::vector<PeerEndpointLoad> m_fleetLoads;
  std::vector<PeerModelDemand> m_demands;
  std::vector<PeerWantedAdapter> m_wantedAdapters;
  std::vector<ArtifactName>
      m_usedAdapters;                  ///< Requested since the last report.
  std::vector<PeerHolding> m_holdings; ///< Sent by the leader only.
  std::vector<PeerStrike> m_strikes;
  std::vector<PeerPartStrike> m_partStrikes;
  std::vector<PeerOverrun> m_overruns; ///< Seen by the sender recently.
  /// Start of the gateway whose StartQuery this report answers; 0: none.
  std::uint64_t m_answerTo = 0;
  /// In an answer: used share of the sender's retry budget, by service.
  RetryUses m_retryUses;
};

/// Minimum interval between two reports of one gateway.
inline constexpr Milliseconds MinReportInterval{200};
/// Report interval per gateway of the fleet; limits the reports that a leader
/// receives to 250 per second.
inline constexpr Milliseconds ReportIntervalPerMember{4};
/// Interval at which a coordinator sends the total loads to the gateways of its
/// failure domain, which choose by them if no coordinator answers.
inline constexpr Milliseconds FleetLoadInterval{1000};
/// Time for which these totals remain valid.
inline constexpr Milliseconds FleetLoadLifetime{4000};
/// A sender's loads and demands are discarded after this many report
/// intervals without a report.
inline constexpr int MaxMissedReports = 4;
/// Minimum time for which a report's contents remain valid.
inline constexpr Milliseconds MinReportLifetime{1500};

/// Interval between two reports of one gateway in a fleet of Members gateways.
inline Duration reportInterval(unsigned Members) {
  return std::max<Duration>(MinReportInterval, ReportIntervalPerMember *
                                                   static_cast<int>(Members));
}
/// Time for which a gateway's last report remains valid.
inline Duration reportLifetime(unsigned Members) {
  return std::max<Duration>(MinReportLifetime,
                            MaxMissedReports * reportInterval(Members));
}

/// Maximum datagram size. From a longer report, the used adapters are dropped,
/// and wanted adapters and strikes of each sort are limited to the first 100.
inline constexpr std::size_t MaxPeerReportBytes = 32'768;

/// Encodes a report as CBOR.
std::string encodePeerReport(const PeerReport &Report);
/// Fails with Protocol if Bytes is not a valid report.
Result<PeerReport> decodePeerReport(const std::string &Bytes);

} // namespace primroseworks::gateway

#endif
