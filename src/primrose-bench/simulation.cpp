// Runs one scenario in virtual time: set-up, event loop and results.
#include "primrose-bench/simulation_pvt.h"

#include <fmt/format.h>

#include <algorithm>

namespace primroseworks::bench {

namespace pvt {

Simulation::Simulation(const Deployment &D, const Scenario &S, Contender C,
                       std::uint64_t Seed, const PolicyOptions &Options)
    : m_deployment(D), m_scenario(S), m_contender(C), m_trace(Options.m_trace),
      m_random(Seed), m_work(makeWork(D, S, Seed)), m_live(m_work.size()),
      m_outage(D.m_models.size(), 0) {
  StartPlacement Start = settlePlacement(D, S.m_load);
  for (std::size_t I = 0; I < D.m_engines.size(); ++I) {
    Engine E;
    E.m_fake = std::make_unique<FakeEngine>(D.m_engine,
                                            C.m_routing == Routing::Policy);
    E.m_sentSince.assign(D.m_daemonRegions.size(), 0);
    for (const Artifact &A : Start[I]) {
      E.m_fake->claim(A, A.m_kind == ArtifactKind::Model
                             ? D.m_catalog->m_models.at(A.m_name).m_weightBytes
                             : D.m_catalog->m_adapters.at(A.m_name).m_bytes);
      E.m_fake->finishLoad(A);
    }
    m_engines.push_back(std::move(E));
  }
  startDispatchers(Seed, Options.m_dispatcher);
  startPlanners(Options.m_planner);
}

void Simulation::startDispatchers(std::uint64_t Seed,
                                  const DispatcherOptions &Base) {
  for (std::size_t I = 0; I < m_deployment.m_daemonRegions.size(); ++I) {
    DispatcherOptions Options = Base;
    Options.m_region = m_deployment.m_daemonRegions[I];
    Options.m_seed = Seed * 100 + I;
    if (m_contender.m_routing == Routing::Policy)
      m_dispatchers.push_back(
          std::move(createDispatcher(std::move(Options)).value()));
    else
      m_dispatchers.push_back(
          createBaselineDispatcher(m_contender.m_routing, Seed * 100 + I));
    m_dispatchers.back()->setCatalog(m_deployment.m_catalog, at(0));
    for (std::size_t E = 0; E < m_engines.size(); ++E) {
      m_dispatchers.back()->setEndpoint(m_deployment.m_engines[E], at(0));
      m_dispatchers.back()->onReport(m_deployment.m_engines[E].m_name,
                                     m_engines[E].m_fake->report(), at(0));
    }
    m_pollPlanned.push_back(false);
  }
}

void Simulation::startPlanners(const PlannerOptions &Base) {
  if (m_contender.m_placing == Placing::Policy) {
    for (const std::string &Region : m_deployment.m_regions) {
      PlannerOptions Options = Base;
      Options.m_region = Region;
      Options.m_acceleratorTokensPerSecond = m_deployment.tokensPerSecond();
      m_planners.push_back(
          std::move(createPlacementPlanner(std::move(Options)).value()));
      m_plannerRegions.push_back(Region);
    }
  } else {
    m_planners.push_back(m_contender.m_placing == Placing::Static
                             ? createStaticPlanner()
                             : createLruPlanner());
    m_plannerRegions.emplace_back();
  }
  for (auto &Planner : m_planners)
    Planner->setCatalog(m_deployment.m_catalog, at(0));
}

RunResult Simulation::run() {
  for (std::size_t I = 0; I < m_work.size(); ++I)
    m_events.push(
        {m_work[I].m_arrival, m_sequence++, [this, I] { arrive(I); }});
  for (std::size_t E = 0; E < m_engines.size(); ++E)
    after(ReportInterval * static_cast<double>(E) /
              static_cast<double>(m_engines.size()),
          [this, E] { report(E); });
  for (std::size_t P = 0; P < m_planners.size(); ++P)
    after(PlanInterval * static_cast<double>(P + 1) /
              static_cast<double>(m_planners.size()),
          [this, P] { plan(P); });
  for (std::size_t E : m_scenario.m_lostEngines)
    after(m_scenario.m_start, [this, E] { killEngine(E); });
  after(OutageInterval, [this] { watchOutages(); });
  // Requests that are in progress when arrivals end get time to finish.
  double End = m_scenario.m_length + 60;
  while (!m_events.empty() && m_events.top().m_time < End) {
    Event Next = m_events.top();
    m_events.pop();
    m_now = Next.m_time;
    Next.m_run();
  }
  settleResult();
  return m_result;
}

std::size_t Simulation::engineIndex(const std::string &Name) const {
  for (std::size_t I = 0; I < m_engines.size(); ++I)
    if (m_deployment.m_engines[I].m_name == Name)
      return I;
  return m_engines.size();
}

void Simulation::settleResult() {
  constexpr double WarmUp = 30;
  for (const Live &L : m_live) {
    if (L.m_item == nullptr)
      continue;
    const WorkItem &Item = *L.m_item;
    bool Before =
        Item.m_arrival >= WarmUp && Item.m_arrival < m_scenario.m_start;
    RankCounts None;
    std::size_t R = static_cast<std::size_t>(Item.m_rank);
    RankCounts &First = Before ? m_result.m_before[R] : None;
    RankCounts &Second = measured(Item.m_arrival) ? m_result.m_during[R] : None;
    const RankPolicy &Policy = m_deployment.m_catalog->rank(Item.m_rank);
    double FirstMillis = (L.m_firstToken - Item.m_arrival) * 1000;
    double Gap = Item.m_tokens > 1
                     ? (L.m_end - L.m_firstToken) * 1000 / (Item.m_tokens - 1)
                     : 0;
    for (RankCounts *Counts : {&First, &Second}) {
      ++Counts->m_offered;
      Counts->m_offeredWork += Item.m_cost;
      if (L.m_refused)
        ++Counts->m_refused;
      else if (!L.m_completed)
        ++Counts->m_abandoned;
      if (!L.m_completed)
        continue;
      ++Counts->m_completed;
      Counts->m_lateFirst +=
          FirstMillis > toMillis(Policy.m_firstTokenTarget) ? 1 : 0;
      Counts->m_slowGap += Gap > toMillis(Policy.m_tokenGapTarget) ? 1 : 0;
      if (FirstMillis <= 1500 && Gap <= 40)
        ++Counts->m_strict;
      if (FirstMillis <= toMillis(Policy.m_firstTokenTarget) &&
          Gap <= toMillis(Policy.m_tokenGapTarget)) {
        ++Counts->m_attained;
        Counts->m_attainedWork += Item.m_cost;
      }
    }
  }
  for (const auto &Row : RankNames) {
    double Weight = m_scenario.m_flood && *m_scenario.m_flood != Row.m_value
                        ? m_deployment.m_keptWeight
                        : 1;
    m_result.m_score +=
        Weight * m_deployment.m_catalog->rank(Row.m_value).m_worth *
        m_result.m_during[static_cast<std::size_t>(Row.m_value)].m_attained /
        (static_cast<double>(m_engines.size()) *
         (m_scenario.m_to - m_scenario.m_from));
  }
  for (const std::string &Model : m_deployment.m_models)
    m_result.m_models +=
        std::any_of(m_engines.begin(), m_engines.end(), [&](const Engine &E) {
          return !E.m_dead &&
                 E.m_fake->resident({ArtifactKind::Model, Model, "1"});
        });
}

} // namespace pvt

std::string Contender::name() const {
  if (m_routing == Routing::Policy && m_placing == Placing::Policy)
    return "policy";
  return fmt::format("{}+{}", nameOf(RoutingNames, m_routing),
                     nameOf(PlacingNames, m_placing));
}

unsigned RunResult::refusals() const {
  unsigned Sum = 0;
  for (const RankCounts &Counts : m_during)
    Sum += Counts.m_refused;
  return Sum;
}

double RunResult::kept(Rank R) const {
  double Before = m_before[static_cast<std::size_t>(R)].attainedShare();
  double During = m_during[static_cast<std::size_t>(R)].attainedShare();
  return Before > 0 ? During / Before : 1;
}

RunResult runScenario(const Deployment &D, const Scenario &S, Contender C,
                      std::uint64_t Seed, const PolicyOptions &Options) {
  return pvt::Simulation(D, S, C, Seed, Options).run();
}

RunResult runScenario(const Deployment &D, const Scenario &S, Contender C,
                      std::uint64_t Seed) {
  return runScenario(D, S, C, Seed, PolicyOptions());
}

} // namespace primroseworks::bench
