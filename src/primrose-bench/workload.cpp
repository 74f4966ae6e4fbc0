// The requests of a scenario, drawn from a seed.
#include "primrose-bench/workload.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <random>

namespace primroseworks::bench {

namespace {
constexpr unsigned CallersPerRegion = 40;
// Share of the requests for a model with adapters that name one.
constexpr double AdapterShare = 0.7;
// Blocks of the prompt that all requests of one kind share, and further blocks
// that the requests of one caller share.
constexpr unsigned SharedBlocks = 2;
constexpr unsigned CallerBlocks = 1;
constexpr double ShiftFactor = 10;

/// Rate factor of each model of one rank at a time.
std::vector<double> modelRates(const Deployment &D, const Scenario &S, Rank R,
                               double Time) {
  std::vector<double> Shares = D.popularity(R);
  if (S.m_shifted.empty() || Time < S.m_start || Time >= S.m_stop)
    return Shares;
  for (std::size_t Model : S.m_shifted)
    Shares[Model] *= ShiftFactor;
  if (S.m_addShift)
    return Shares;
  double Sum = 0;
  for (double Share : Shares)
    Sum += Share;
  for (double &Share : Shares)
    Share /= Sum;
  return Shares;
}

class Generator {
public:
  Generator(const Deployment &D, const Scenario &S, std::uint64_t Seed)
      : m_deployment(D), m_scenario(S), m_random(Seed) {
    m_adapters.resize(D.m_models.size());
    for (const auto &[Name, Adapter] : D.m_catalog->m_adapters)
      for (std::size_t I = 0; I < D.m_models.size(); ++I)
        if (D.m_models[I] == Adapter.m_base)
          m_adapters[I].push_back(Name);
  }

  // Arrivals of one rank between two times with constant rates.
  void fill(Rank R, double From, double To, std::vector<WorkItem> &Out) {
    std::vector<double> Models = modelRates(m_deployment, m_scenario, R, From);
    double Sum = 0;
    for (double Rate : Models)
      Sum += Rate;
    double Rate = m_deployment.rate(R, m_scenario.m_load) * Sum;
    if (m_scenario.m_flood == R && From >= m_scenario.m_start &&
        From < m_scenario.m_stop)
      Rate *= m_scenario.m_floodFactor;
    std::exponential_distribution<double> Gap(Rate);
    std::discrete_distribution<std::size_t> Model(Models.begin(), Models.end());
    for (double T = From + Gap(m_random); T < To; T += Gap(m_random))
      Out.push_back(make(R, T, Model(m_random)));
  }

private:
  unsigned around(unsigned Mean) {
    std::uniform_real_distribution<double> Factor(0.5, 1.5);
    return static_cast<unsigned>(Mean * Factor(m_random));
  }

  WorkItem make(Rank R, double Time, std::size_t Model) {
    const RankWork &Work = m_deployment.m_work[static_cast<std::size_t>(R)];
    std::discrete_distribution<std::size_t> Region(
        m_deployment.m_regionShares.begin(), m_deployment.m_regionShares.end());
    WorkItem Item;
    Item.m_arrival = Time;
    Item.m_rank = R;
    Item.m_model = Model;
    Item.m_region = Region(m_random);
    Item.m_caller = fmt::format("{}/{}", m_deployment.m_regions[Item.m_region],
                                m_random() % CallersPerRegion);
    const auto &Adapters = m_adapters[Model];
    if (!Adapters.empty() &&
        std::uniform_real_distribution<double>()(m_random) < AdapterShare)
      Item.m_adapter = Adapters[m_random() % Adapters.size()];
    Item.m_promptTokens = around(Work.m_promptTokens);
    Item.m_tokens = std::max(1U, around(Work.m_tokens));
    Item.m_cost = m_deployment.m_engine.cost(Item.m_promptTokens, Item.m_tokens,
                                             m_deployment.m_engine.m_maxBatch);
    addPrefix(Item);
    return Item;
  }

  static void addPrefix(WorkItem &Item) {
    std::string Key = fmt::format("{}/{}/{}", Item.m_model, Item.m_adapter,
                                  nameOf(RankNames, Item.m_rank));
    for (unsigned B = 0; B < SharedBlocks + CallerBlocks; ++B) {
      if ((B + 1) * PrefixBlockTokens >= Item.m_promptTokens)
        break;
      if (B == SharedBlocks)
        Key += "/" + Item.m_caller;
      Key += "+";
      Item.m_prefixHashes.push_back(XXH3_64bits(Key.data(), Key.size()));
    }
  }

  const Deployment &m_deployment;
  const Scenario &m_scenario;
  std::mt19937_64 m_random;
  std::vector<std::vector<std::string>> m_adapters;
};
} // namespace

std::vector<WorkItem> makeWork(const Deployment &D, const Scenario &S,
                               std::uint64_t Seed) {
  std::vector<WorkItem> Work;
  Generator Source(D, S, Seed);
  for (const auto &Row : RankNames) {
    Source.fill(Row.m_value, 0, S.m_start, Work);
    Source.fill(Row.m_value, S.m_start, S.m_stop, Work);
    Source.fill(Row.m_value, S.m_stop, S.m_length, Work);
  }
  std::stable_sort(Work.begin(), Work.end(),
                   [](const WorkItem &A, const WorkItem &B) {
                     return A.m_arrival < B.m_arrival;
                   });
  return Work;
}

} // namespace primroseworks::bench
