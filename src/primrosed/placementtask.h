// Plans the moves of this daemon's region while it is the region's planner, and
// sends them to the owners of the endpoints.
#ifndef PRIMROSED_PLACEMENTTASK_H
#define PRIMROSED_PLACEMENTTASK_H

#include "primrosed/context.h"
#include "primrosed/fleet.h"
#include "primroseworks/placement.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace primroseworks {

class PlacementTask {
public:
  /// Sends a move to the owner of its endpoint.
  using MoveSender = std::function<Result<void>(const Move &)>;

  static Result<std::unique_ptr<PlacementTask>>
  create(DaemonContext &Context, Fleet &Endpoints, MoveSender Send);

  /// Counts a request of this daemon's callers. Tokens: asked and generated.
  void observe(const Artifact &Wanted, double Tokens, Rank R);

  /// Plans and sends moves if Planning. Members: live daemons of the region;
  /// callers are spread over them evenly, so the demand seen here is scaled by
  /// their number. Returns whether the load of a model was rejected; it can be
  /// planned anew when its owner is known or the reports show what its engine
  /// holds.
  /// Regions: summaries of the other regions.
  bool step(bool Planning, unsigned Members,
            const std::map<std::string, RegionCapacity> &Regions,
            TimePoint Now);

  /// Moves sent and not yet seen in a report.
  std::vector<Move> pending() const;

private:
  struct Sent {
    Move m_move;
    TimePoint m_at;
  };

  PlacementTask(DaemonContext &Context, Fleet &Endpoints, MoveSender Send)
      : m_context(Context), m_fleet(Endpoints), m_send(std::move(Send)) {}

  void passDemand(unsigned Members, TimePoint Now);
  /// What is summed up over the engines of another region.
  struct RemoteSum {
    unsigned m_live = 0;
    std::uint64_t m_largestFree = 0;
    double m_utilization = 0; ///< Sum over the live ones.
    std::map<std::string, std::set<std::string>> m_domains; ///< By model.
    std::map<std::string, double> m_leastUtilization;       ///< By model.
  };
  using RemoteSums = std::map<std::string, RemoteSum>;

  double smoothedUtilization(const EngineStatus &E);
  void addRemote(const EngineStatus &E, RemoteSums &Sums);
  AcceleratorView localView(const EngineStatus &E,
                            const std::vector<Move> &InFlight);
  std::vector<AcceleratorView>
  view(std::vector<RemoteRegion> &Remote,
       const std::map<std::string, RegionCapacity> &Regions, TimePoint Now);
  RemoteRegion fromSummary(const RegionCapacity &Region,
                           const std::map<std::string, EngineStatus> &Engines);
  void forgetFinished(const std::vector<AcceleratorView> &View, TimePoint Now);
  LoadBudget budget() const;

  DaemonContext &m_context;
  Fleet &m_fleet;
  MoveSender m_send;
  mutable std::mutex m_mutex;
  std::map<std::pair<Artifact, Rank>, double> m_demand; ///< Since last step.
  std::unique_ptr<PlacementPlanner> m_planner; ///< Used by step() only.
  std::uint64_t m_revision = 0;
  std::map<std::string, double> m_utilization; ///< Smoothed, by endpoint.
  std::vector<Sent> m_refused; ///< For lack of memory; used by step() only.
  std::vector<Sent> m_sent;    ///< Guarded by m_mutex.
};

} // namespace primroseworks

#endif
