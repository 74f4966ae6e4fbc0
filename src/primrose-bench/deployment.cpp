// The two deployments and the scenarios that the bench runs.
#include "primrose-bench/deployment.h"

#include <fmt/format.h>

#include <cmath>

namespace primroseworks::bench {

namespace {
constexpr double GapTargetMillis = 40;
// Exponent of the popularity of models: the first of 17 gets about a quarter of
// the requests and the last about a fiftieth.
constexpr double PopularityExponent = 0.9;
constexpr std::uint64_t Gigabyte = 1'000'000'000;
constexpr std::uint64_t Megabyte = 1'000'000;
constexpr std::uint64_t ModelSizes[] = {14, 8, 10, 6, 16, 7, 12};

struct Size {
  unsigned m_models;
  unsigned m_adapters;
  unsigned m_loads;
  unsigned m_adapterLoads;
};

void addModels(Catalog &Config, Deployment &D, Size S) {
  for (unsigned I = 0; I < S.m_models; ++I) {
    ModelSpec Model;
    Model.m_name = fmt::format("model-{:02}", I);
    Model.m_weightBytes = ModelSizes[I % std::size(ModelSizes)] * Gigabyte;
    // Every sixth model may not run in one of the regions.
    if (I % 6 == 5)
      Model.m_regions = {D.m_regions[I % 3], D.m_regions[(I + 1) % 3]};
    D.m_models.push_back(Model.m_name);
    Config.m_models[Model.m_name] = Model;
  }
  for (unsigned I = 0; I < S.m_adapters; ++I) {
    AdapterSpec Adapter;
    Adapter.m_name = fmt::format("adapter-{:02}", I);
    Adapter.m_base = D.m_models[I % S.m_models];
    Adapter.m_bytes = (80 + 10 * (I % 9)) * Megabyte;
    Config.m_adapters[Adapter.m_name] = Adapter;
  }
}

void addFleet(Deployment &D) {
  for (std::size_t R = 0; R < D.m_regions.size(); ++R)
    for (unsigned I = 0; I < 3; ++I) {
      EndpointInfo Engine;
      Engine.m_region = D.m_regions[R];
      Engine.m_name = fmt::format("{}-{}", Engine.m_region, I + 1);
      // Two engines of the first region share a failure domain, so that the
      // loss of a domain is more than the loss of an engine.
      char Domain = static_cast<char>('a' + (R == 0 && I == 1 ? 0 : I));
      Engine.m_failureDomain = fmt::format("{}-{}", Engine.m_region, Domain);
      D.m_engines.push_back(Engine);
    }
  for (std::size_t I = 0; I < 7; ++I)
    D.m_daemonRegions.push_back(D.m_regions[I % 3]);
}

void setRank(Catalog &Config, Rank R, Milliseconds First, Milliseconds Gap,
             double Worth, double Share, Milliseconds Queue) {
  Config.m_ranks[static_cast<std::size_t>(R)] = {First, Gap, Worth, Share,
                                                 Queue};
}
} // namespace

unsigned Deployment::targetBatch() const {
  return m_engine.batchWithin(GapTargetMillis);
}

double Deployment::tokensPerSecond() const {
  double Tokens = 0;
  for (const auto &Row : RankNames) {
    const RankWork &W = m_work[static_cast<std::size_t>(Row.m_value)];
    Tokens += rate(Row.m_value, 1) * (W.m_promptTokens + W.m_tokens);
  }
  return Tokens / static_cast<double>(m_engines.size());
}

double Deployment::cost(Rank R) const {
  const RankWork &W = m_work[static_cast<std::size_t>(R)];
  return m_engine.cost(W.m_promptTokens, W.m_tokens, targetBatch());
}

double Deployment::rate(Rank R, double Load) const {
  return Load * 1000 * static_cast<double>(m_engines.size()) *
         m_work[static_cast<std::size_t>(R)].m_share / cost(R);
}

std::vector<double> Deployment::popularity(Rank R) const {
  std::size_t First = m_work[static_cast<std::size_t>(R)].m_firstModel;
  std::vector<double> Shares(m_models.size());
  double Sum = 0;
  for (std::size_t I = 0; I < Shares.size(); ++I)
    Sum += std::pow(static_cast<double>(I + 1), -PopularityExponent);
  for (std::size_t I = 0; I < Shares.size(); ++I)
    Shares[(First + I) % Shares.size()] =
        std::pow(static_cast<double>(I + 1), -PopularityExponent) / Sum;
  return Shares;
}

Result<Deployment> makeDeployment(const std::string &Name) {
  Deployment D;
  auto Config = std::make_shared<Catalog>();
  Config->m_revision = 1;
  Config->m_deployment = Name;
  if (Name == "braidwell") {
    D.m_regions = {"highland", "islands", "lowland"};
    addModels(*Config, D, {17, 60, 3, 25});
    setRank(*Config, Rank::Urgent, Milliseconds(1500), Milliseconds(40), 10,
            0.5, Milliseconds(3000));
    setRank(*Config, Rank::Standard, Milliseconds(3000), Milliseconds(60), 3,
            0.2, Milliseconds(6000));
    setRank(*Config, Rank::Batch, Milliseconds(20000), Milliseconds(120), 1,
            0.1, Milliseconds(40000));
    Config->m_loadLimits = {1.0, 3, 25};
    D.m_work = {
        {{0.25, 600, 80, 0}, {0.45, 300, 120, 5}, {0.3, 1500, 200, 11}}};
  } else if (Name == "dentelle") {
    D.m_regions = {"tunis", "sfax", "djerba"};
    addModels(*Config, D, {18, 40, 12, 100});
    setRank(*Config, Rank::Urgent, Milliseconds(1500), Milliseconds(40), 4, 0.4,
            Milliseconds(3000));
    setRank(*Config, Rank::Standard, Milliseconds(3000), Milliseconds(60), 3,
            0.3, Milliseconds(6000));
    setRank(*Config, Rank::Batch, Milliseconds(20000), Milliseconds(120), 2,
            0.2, Milliseconds(40000));
    Config->m_loadLimits = {1.0, 12, 100};
    D.m_work = {{{0.2, 400, 100, 3}, {0.5, 500, 150, 9}, {0.3, 1200, 160, 14}}};
    D.m_keptWeight = 3;
  } else {
    return makeError(
        ErrorKind::InvalidArgument,
        fmt::format("unknown deployment {}; use braidwell or dentelle", Name));
  }
  for (const std::string &From : D.m_regions)
    for (const std::string &To : D.m_regions)
      if (From != To)
        Config->m_linkPrice[fmt::format("{}/{}", From, To)] = 1.0;
  D.m_regionShares = {0.4, 0.35, 0.25};
  addFleet(D);
  D.m_catalog = Config;
  return D;
}

std::vector<std::string> scenarioNames() {
  return {"steady",       "shift",         "flood-batch",
          "flood-urgent", "one-model-hot", "endpoint-loss",
          "domain-loss",  "store-slow",    "stale-reports"};
}

Result<Scenario> makeScenario(const std::string &Name, const Deployment &D) {
  Scenario S;
  S.m_name = Name;
  std::size_t Models = D.m_models.size();
  // Models that are neither the most nor the least asked for. Together they
  // rise from about a tenth of the work to about half.
  std::vector<std::size_t> Shifted = {4, Models - 8};
  if (Name == "steady") {
    S.m_from = 30;
  } else if (Name == "shift") {
    S.m_addShift = true;
    S.m_shifted = Shifted;
    S.m_length = S.m_stop = S.m_to = 180;
  } else if (Name == "flood-batch") {
    S.m_flood = Rank::Batch;
    S.m_stop = S.m_to = 120;
  } else if (Name == "flood-urgent") {
    S.m_flood = Rank::Urgent;
    S.m_stop = S.m_to = 120;
  } else if (Name == "one-model-hot") {
    S.m_shifted = {D.m_work[0].m_firstModel};
    S.m_addShift = true;
    S.m_load = 0.35;
  } else if (Name == "endpoint-loss") {
    S.m_lostEngines = {4};
  } else if (Name == "domain-loss") {
    S.m_lostEngines = {0, 1};
  } else if (Name == "store-slow") {
    S.m_shifted = Shifted;
    S.m_storeSlowdown = 10;
    S.m_length = S.m_stop = S.m_to = 180;
  } else if (Name == "stale-reports") {
    S.m_from = 30;
    S.m_reportLag = 5;
  } else {
    return makeError(
        ErrorKind::InvalidArgument,
        fmt::format("unknown scenario {}; primrose-bench --help lists them",
                    Name));
  }
  return S;
}

} // namespace primroseworks::bench
