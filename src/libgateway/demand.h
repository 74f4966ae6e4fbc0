// What callers of this VM ask for, and the sum over all VMs.
#ifndef PRIMROSEWORKS_LIBGATEWAY_DEMAND_H
#define PRIMROSEWORKS_LIBGATEWAY_DEMAND_H

#include "libgateway/peerreport.h"
#include "libgateway/waitqueue.h"

#include <map>
#include <set>
#include <string>

namespace primroseworks::gateway {

/// Time constant of the arrival rates: a shift of demand shows within it.
inline constexpr Milliseconds ArrivalSmoothing{1500};

/// Demand of the callers of this VM.
class LocalDemand {
public:
  void onRequest(const std::string &Model, const std::string &Adapter);
  void onStarted(const std::string &Model, const std::string &Adapter);
  void onEnded(const std::string &Model, const std::string &Adapter);
  /// Decays the rates; call it several times a second.
  void update(TimePoint Now);
  /// Fills the demand parts of a report; what waits is read from Queue.
  void fill(PeerReport &Report, const WaitQueue &Queue);

private:
  struct Model {
    double m_running = 0;
    double m_rate = 0;    ///< Requests per second, smoothed.
    double m_pending = 0; ///< Requests since the last update.
  };
  std::map<std::string, Model> m_models;
  std::set<ArtifactName> m_used; ///< Adapters asked for since the last report.
  std::map<ArtifactName, unsigned> m_runningAdapters;
  TimePoint m_updated{};
};

/// Demand of all VMs, from their reports; kept by every VM, since each may
/// become the placement leader.
class FleetDemand {
public:
  void onReport(const PeerReport &Report, TimePoint Now);
  /// An adapter was loaded: it counts as asked for.
  void onLoaded(const ArtifactName &Adapter, TimePoint Now) {
    m_adapterUse[Adapter] = Now;
  }
  /// Fills the demand parts of the placement input from the reports that are
  /// not older than Lifetime.
  void fill(PlacementInput &Input, TimePoint Now, Duration Lifetime);

private:
  struct Member {
    PeerReport m_report;
    TimePoint m_at{};
  };
  std::map<std::string, Member> m_members;
  std::map<ArtifactName, TimePoint> m_adapterUse;
};

} // namespace primroseworks::gateway

#endif
