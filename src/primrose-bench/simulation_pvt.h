// State of one run in virtual time: engines, dispatchers and planners, and the
// events between them.
#ifndef PRIMROSEWORKS_BENCH_SIMULATION_PVT_H
#define PRIMROSEWORKS_BENCH_SIMULATION_PVT_H

#include "primrose-bench/simulation.h"

#include <functional>
#include <queue>
#include <random>

namespace primroseworks::bench::pvt {

inline constexpr double DomainDelay = 0.001; ///< Seconds, inside a region.
inline constexpr double RegionDelay = 0.012; ///< Seconds, between regions.
inline constexpr double ReportInterval = 0.25;
inline constexpr double PlanInterval = 1.0;
inline constexpr double OutageInterval = 0.1;
inline constexpr double LoadBytesPerSecond = 4e9; ///< One load at full speed.

inline TimePoint at(double Seconds) {
  return TimePoint() + fromSeconds(Seconds);
}

/// A request on its way.
struct Live {
  const WorkItem *m_item = nullptr;
  std::size_t m_daemon = 0;
  std::optional<std::size_t> m_engine; ///< Where it was sent.
  double m_firstToken = -1;
  double m_end = -1;
  unsigned m_generated = 0; ///< Tokens in earlier attempts.
  unsigned m_attempts = 0;
  bool m_over = false;
  bool m_completed = false;
  bool m_refused = false;
  std::vector<std::string> m_exclude;
};

struct Engine {
  std::unique_ptr<FakeEngine> m_fake;
  bool m_dead = false;
  bool m_gone = false;               ///< Known to be dead.
  std::vector<unsigned> m_sentSince; ///< Per daemon, since the last report.
};

struct Event {
  double m_time;
  std::uint64_t m_sequence;
  std::function<void()> m_run;
  bool operator>(const Event &Other) const {
    return std::tie(m_time, m_sequence) >
           std::tie(Other.m_time, Other.m_sequence);
  }
};

class Simulation {
public:
  Simulation(const Deployment &D, const Scenario &S, Contender C,
             std::uint64_t Seed, const PolicyOptions &Options);
  RunResult run();

private:
  void after(double Delay, std::function<void()> Run) {
    m_events.push({m_now + Delay, m_sequence++, std::move(Run)});
  }
  double delay(std::size_t Daemon, std::size_t EngineIndex) const {
    return m_deployment.m_daemonRegions[Daemon] ==
                   m_deployment.m_engines[EngineIndex].m_region
               ? DomainDelay
               : RegionDelay;
  }

  void startDispatchers(std::uint64_t Seed, const DispatcherOptions &Options);
  void startPlanners(const PlannerOptions &Options);
  void arrive(std::size_t Index);
  void submit(std::size_t Index);
  void poll(std::size_t Daemon);
  void pollLater(std::size_t Daemon);
  void grant(std::size_t Daemon, const Grant &G);
  void send(std::size_t Index, std::size_t EngineIndex);
  void attemptFailed(std::size_t Index, std::size_t EngineIndex,
                     AttemptOutcome Outcome);
  void preempt(std::size_t Index);
  void giveUp(std::size_t Index);
  void step(std::size_t EngineIndex);
  void finishStep(std::size_t EngineIndex);
  void firstToken(std::size_t Index, std::size_t EngineIndex);
  void done(std::size_t Index, const EngineJob &Job);
  void serve(const EngineJob &Job);
  void report(std::size_t EngineIndex);
  void tellPeers(std::size_t EngineIndex);
  void killEngine(std::size_t EngineIndex);
  void plan(std::size_t Planner);
  AcceleratorView view(std::size_t EngineIndex) const;
  std::vector<RemoteRegion> summaries() const;
  void startLoad(std::size_t EngineIndex, const Move &M);
  void startUnload(std::size_t EngineIndex, const Move &M);
  void watchDrain(std::size_t EngineIndex, const Artifact &A);
  void watchOutages();
  std::size_t engineIndex(const std::string &Name) const;
  bool measured(double Time) const {
    return Time >= m_scenario.m_from && Time < m_scenario.m_to;
  }
  void settleResult();

  const Deployment &m_deployment;
  const Scenario &m_scenario;
  Contender m_contender;
  bool m_trace;
  std::mt19937_64 m_random;
  std::vector<WorkItem> m_work;
  std::vector<Live> m_live;
  std::vector<std::unique_ptr<Dispatcher>> m_dispatchers;
  std::vector<bool> m_pollPlanned;
  std::vector<std::unique_ptr<PlacementPlanner>> m_planners;
  std::vector<std::string> m_plannerRegions;
  std::vector<Engine> m_engines;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  std::uint64_t m_sequence = 0;
  double m_now = 0;
  unsigned m_modelLoads = 0;   ///< In flight.
  unsigned m_adapterLoads = 0; ///< In flight.
  double m_loadCredit = 0;     ///< Loads that the rate allows now.
  double m_creditTime = 0;
  std::vector<double> m_outage; ///< Per model, seconds.
  RunResult m_result;
};

} // namespace primroseworks::bench::pvt

#endif
