// The load model: arrivals, departures and model loads of all engines.
#include "primrose-controlbench/fleet_pvt.h"

#include <algorithm>
#include <spdlog/fmt/fmt.h>

namespace primroseworks::controlbench {
namespace {

constexpr Milliseconds Step{50};
constexpr Milliseconds LoadInterval{250};
constexpr unsigned MaxBatch = 32;
/// 4 requests/s a daemon over 9.25 engines, each with 488 tokens of 25 ms.
constexpr double RequestsPerSecond = 4.0 / 9.25;
constexpr double RequestSeconds = 12.2;
/// Bursts: chance to begin per interval, length in intervals, factor.
constexpr double BurstChance = 0.001;
constexpr unsigned BurstLength = 40;
constexpr double BurstFactor = 3;

} // namespace

void Fleet::changeLoads() {
  const double Part = toSeconds(LoadInterval);
  std::uniform_real_distribution<double> Chance(0, 1);
  for (Engine &Next : m_engines) {
    if (Next.m_burst != 0)
      --Next.m_burst;
    else if (Chance(m_random) < BurstChance)
      Next.m_burst = BurstLength;
    const double Rate =
        RequestsPerSecond * (Next.m_burst != 0 ? BurstFactor : 1);
    std::poisson_distribution<unsigned> Arrivals(Rate * Part);
    std::binomial_distribution<unsigned> Departures(Next.m_running,
                                                    Part / RequestSeconds);
    Next.m_running += Arrivals(m_random) - Departures(m_random);
    Next.m_summary.m_loadBucket = loadBucketOf(Next.m_running, 0, MaxBatch);
    Next.m_summary.m_freeSlots =
        freeSlotStep(MaxBatch - std::min(MaxBatch, Next.m_running));
  }
  // The weight store gives one load a second to the whole fleet.
  if (m_random() % 4 == 0) {
    Engine &Changed = m_engines[m_random() % m_engines.size()];
    Changed.m_summary.m_models[m_random() % ModelsPerEngine] =
        fmt::format("model-{:03}", m_random() % m_options.m_models);
  }
}

void Fleet::tellLoads(Node &Member) {
  std::vector<EndpointSummary> Owned;
  for (std::size_t I = Member.m_index; I < m_engines.size();
       I += m_options.m_members)
    Owned.push_back(m_engines[I].m_summary);
  Member.m_gossip->setEndpoints(Owned, m_now);
}

void Fleet::step() {
  m_now += Step;
  m_fabric->advance(m_now);
  const bool Loads = m_now - m_loadsChanged >= LoadInterval;
  if (Loads) {
    const double Before = threadCpu();
    m_loadsChanged = m_now;
    changeLoads();
    m_harnessCpu += threadCpu() - Before;
  }
  watchStore();
  for (auto &Member : m_nodes) {
    if (!Member->m_running)
      continue;
    if (Loads)
      tellLoads(*Member);
    pump(*Member);
  }
}

void Fleet::run(Duration Length) {
  for (const TimePoint End = m_now + Length; m_now < End;)
    step();
}

} // namespace primroseworks::controlbench
