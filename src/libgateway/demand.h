// Demand for models and adapters from the callers of this VM and of all VMs.
#ifndef PRIMROSEWORKS_LIBGATEWAY_DEMAND_H
#define PRIMROSEWORKS_LIBGATEWAY_DEMAND_H

#include "libgateway/peerreport.h"
#include "libgateway/waitqueue.h"

#include <map>
#include <set>
#include <string>

namespace primroseworks::gateway {

/// Time constant of the smoothed arrival rates; bounds the delay until a shift
/// of demand shows.
inline constexpr Milliseconds ArrivalSmoothing{1500};

/// Demand of the callers of this VM.
class LocalDemand {
public:
  void onRequest(const std::string &Model, const std::string &Adapter);
  void onStarted(const std::string &Model, const std::string &Adapter);
  void onEnded(const std::string &Model, const std::string &Adapter);
  /// Updates the smoothed rates. To be called several times per second.
  void update(TimePoint Now);
  /// Fills in the demand of a report; waiting requests are counted from Queue.
  void fill(PeerReport &Report, const WaitQueue &Queue);

private:
  struct Model {
    double m_running = 0;
    double m_arrivalRate = 0; ///< Smoothed, in requests per second.
    double m_newRequests = 0; ///< Requests since the last update.
  };
  std::map<std::string, Model> m_models;
  std::set<ArtifactName> m_usedAdapters; ///< Requested since the last report.
  std::map<ArtifactName, unsigned> m_runningAdapters;
  TimePoint m_lastUpdate{};
};

/// Demand of all VMs, collected from their reports. Every VM keeps it, since
/// any VM may become the placement leader.
class FleetDemand {
public:
  void onReport(const PeerReport &Report, TimePoint Now);
  /// Counts a newly loaded adapter as just requested.
  void onLoaded(const ArtifactName &Adapter, TimePoint Now) {
    m_adapterLastUsed[Adapter] = Now;
  }
  /// Fills in the demand of the placement input from reports that are not older
  /// than Lifetime; older ones are discarded.
  void fill(PlacementInput &Input, TimePoint Now, Duration Lifetime);

private:
  struct Member {
    PeerReport m_report;
    TimePoint m_receivedAt{};
  };
  std::map<std::string, Member> m_members;
  std::map<ArtifactName, TimePoint> m_adapterLastUsed;
};

} // namespace primroseworks::gateway

#endif
