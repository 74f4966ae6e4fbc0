// Tables, JSON and bounds of bench runs.
#include "primrose-bench/results.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace primroseworks::bench {

namespace {
// Bounds of the design page, section 6.
constexpr double SteadyAttainment = 0.95;
constexpr double UrgentInBatchFlood = 0.95;
constexpr double StandardKept = 0.95;
constexpr double UrgentGoodput = 0.9;
constexpr double OutageSeconds = 5;
constexpr double RequiredGain = 1.3;

std::size_t index(Rank R) { return static_cast<std::size_t>(R); }

double share(unsigned Part, unsigned Whole) {
  return Whole == 0 ? 1 : static_cast<double>(Part) / Whole;
}

class Checker {
public:
  Checker(const Deployment &D, const Comparison &C)
      : m_deployment(D), m_comparison(C), m_policy(C.m_runs.front().second) {}

  std::vector<BoundCheck> all() {
    const std::string &Name = m_comparison.m_scenario.m_name;
    if (Name == "steady")
      steady();
    if (Name == "flood-batch")
      floodBatch();
    if (Name == "flood-urgent")
      floodUrgent();
    if (Name == "endpoint-loss" || Name == "domain-loss")
      atMost("longest outage of a model beyond its load time, s",
             m_policy.m_worstOutage, OutageSeconds);
    scores();
    moves();
    const LoadLimits &Limits = m_deployment.m_catalog->m_loadLimits;
    atMost("model loads at once", m_policy.m_peakLoads,
           Limits.m_concurrentLoads);
    atMost("adapter loads at once", m_policy.m_peakAdapterLoads,
           Limits.m_concurrentAdapterLoads);
    return std::move(m_checks);
  }

private:
  void atLeast(const std::string &What, double Value, double Bound) {
    m_checks.push_back({fmt::format("{}: {:.3f} >= {:.3f}", What, Value, Bound),
                        Value >= Bound, false});
  }
  void atMost(const std::string &What, double Value, double Bound) {
    m_checks.push_back({fmt::format("{}: {:.3f} <= {:.3f}", What, Value, Bound),
                        Value <= Bound, false});
  }

  void steady() {
    for (const auto &Row : RankNames) {
      const RankCounts &Counts = m_policy.m_during[index(Row.m_value)];
      atLeast(fmt::format("{} within 1.5 s and 40 ms", Row.m_name),
              share(Counts.m_strict, Counts.m_offered), SteadyAttainment);
    }
  }

  void floodBatch() {
    const RankCounts &Urgent = m_policy.m_during[index(Rank::Urgent)];
    atLeast("urgent attainment", share(Urgent.m_attained, Urgent.m_offered),
            UrgentInBatchFlood);
    atLeast("service that standard keeps", m_policy.kept(Rank::Standard),
            StandardKept);
  }

  // The fleet's capacity in the window belongs to urgent work, less what the
  // other ranks are guaranteed or what they ask for, if that is less.
  void floodUrgent() {
    double Window =
        m_comparison.m_scenario.m_to - m_comparison.m_scenario.m_from;
    double Capacity = capacity() * Window;
    double Others = 0;
    for (Rank R : {Rank::Standard, Rank::Batch}) {
      double Guaranteed = m_deployment.m_catalog->rank(R).m_guaranteedShare;
      double Asked = m_policy.m_during[index(R)].m_offeredWork / Capacity;
      double Due = std::min(Guaranteed, Asked);
      Others += Due;
      atLeast(
          fmt::format("share of the fleet that {} keeps", nameOf(RankNames, R)),
          m_policy.m_during[index(R)].m_attainedWork / Capacity, Due);
    }
    atLeast("urgent goodput, share of what the fleet can do",
            m_policy.m_during[index(Rank::Urgent)].m_attainedWork /
                ((1 - Others) * Capacity),
            UrgentGoodput);
  }

  // Accelerator milliseconds per second.
  double capacity() const {
    return 1000 * static_cast<double>(m_deployment.m_engines.size());
  }

  void scores() {
    if (m_comparison.m_runs.size() < 2)
      return;
    double Best = 0;
    for (std::size_t I = 1; I < m_comparison.m_runs.size(); ++I)
      Best = std::max(Best, m_comparison.m_runs[I].second.m_score);
    const Scenario &S = m_comparison.m_scenario;
    bool Strong = S.m_name == "shift" || S.m_flood;
    atLeast("attainment per accelerator, ratio to the best baseline",
            Best > 0 ? m_policy.m_score / Best : 1,
            Strong ? RequiredGain : 1.0);
    m_checks.back().m_baseline = true;
  }

  // Fewer moves than each baseline that moves models at all. After a loss the
  // policy also loads the copies that the models lack; no baseline does that,
  // so these loads do not count there. Other loads after a loss, such as those
  // for the callers of a region, do.
  void moves() {
    const std::string &Name = m_comparison.m_scenario.m_name;
    bool Loss = Name == "endpoint-loss" || Name == "domain-loss";
    unsigned Moves = m_policy.moves() - (Loss ? m_policy.m_repairs : 0);
    for (std::size_t I = 1; I < m_comparison.m_runs.size(); ++I) {
      const auto &[Who, Run] = m_comparison.m_runs[I];
      if (Run.moves() > 0)
        m_checks.push_back({fmt::format("moves against {}: {} < {}", Who.name(),
                                        Moves, Run.moves()),
                            Moves < Run.moves(), true});
    }
  }

  const Deployment &m_deployment;
  const Comparison &m_comparison;
  const RunResult &m_policy;
  std::vector<BoundCheck> m_checks;
};
} // namespace

std::vector<Contender> allContenders() {
  std::vector<Contender> All{{Routing::Policy, Placing::Policy}};
  for (Placing P : {Placing::Static, Placing::LeastRecentlyUsed})
    for (Routing R :
         {Routing::Random, Routing::RoundRobin, Routing::LeastOutstanding})
      All.push_back({R, P});
  return All;
}

Comparison compare(const Deployment &D, const std::string &DeploymentName,
                   const Scenario &S, std::uint64_t Seed,
                   const std::vector<Contender> &Contenders,
                   const PolicyOptions &Options) {
  Comparison C{DeploymentName, S, Seed, {}};
  for (const Contender &Who : Contenders)
    C.m_runs.emplace_back(Who, runScenario(D, S, Who, Seed, Options));
  return C;
}

std::vector<BoundCheck> checkBounds(const Deployment &D, const Comparison &C) {
  return Checker(D, C).all();
}

std::string toTable(const Comparison &C) {
  std::string Out =
      fmt::format("{} {} seed {}\n{:26} {:>7} {:>7} {:>7} {:>9} {:>5} {:>8} "
                  "{:>8} {:>6} {:>6} {:>6} {:>8} {:>6}\n",
                  C.m_deployment, C.m_scenario.m_name, C.m_seed, "contender",
                  "urgent", "stand.", "batch", "per acc.", "moves", "refused",
                  "wasted", "kept-u", "kept-s", "kept-b", "billedKB", "outage");
  for (const auto &[Who, Run] : C.m_runs) {
    Out += fmt::format("{:26}", Who.name());
    for (const RankCounts &Counts : Run.m_during)
      Out +=
          fmt::format(" {:7.3f}", share(Counts.m_attained, Counts.m_offered));
    Out += fmt::format(
        " {:9.3f} {:5} {:8} {:8} {:6.2f} {:6.2f} {:6.2f} {:8} {:6.1f}\n",
        Run.m_score, Run.moves(), Run.refusals(), Run.m_wastedTokens,
        Run.kept(Rank::Urgent), Run.kept(Rank::Standard), Run.kept(Rank::Batch),
        Run.m_billedBytes / 1000, Run.m_worstOutage);
  }
  return Out;
}

std::string toJson(const Comparison &C, const std::vector<BoundCheck> &Bounds) {
  nlohmann::json Out;
  Out["deployment"] = C.m_deployment;
  Out["scenario"] = C.m_scenario.m_name;
  Out["seed"] = C.m_seed;
  for (const auto &[Who, Run] : C.m_runs) {
    nlohmann::json Row;
    Row["contender"] = Who.name();
    for (const auto &Name : RankNames) {
      const RankCounts &Counts = Run.m_during[index(Name.m_value)];
      Row["ranks"][std::string(Name.m_name)] = {
          {"offered", Counts.m_offered},
          {"attained", Counts.m_attained},
          {"within_1500ms_40ms", Counts.m_strict},
          {"completed", Counts.m_completed},
          {"refused", Counts.m_refused},
          {"abandoned", Counts.m_abandoned},
          {"late_first_token", Counts.m_lateFirst},
          {"slow_gap", Counts.m_slowGap},
          {"served_work_ms", Run.m_servedWork[index(Name.m_value)]},
          {"kept", Run.kept(Name.m_value)}};
    }
    Row["attainment_per_accelerator"] = Run.m_score;
    Row["model_loads"] = Run.m_modelLoads;
    Row["model_unloads"] = Run.m_modelUnloads;
    Row["repair_loads"] = Run.m_repairs;
    Row["adapter_loads"] = Run.m_adapterLoads;
    Row["preemptions"] = Run.m_preemptions;
    Row["refusals"] = Run.refusals();
    Row["wasted_tokens"] = Run.m_wastedTokens;
    Row["billed_bytes"] = Run.m_billedBytes;
    Row["worst_outage_s"] = Run.m_worstOutage;
    Out["runs"].push_back(std::move(Row));
  }
  for (const BoundCheck &Check : Bounds)
    Out["bounds"].push_back({{"text", Check.m_text}, {"kept", Check.m_kept}});
  return Out.dump();
}

} // namespace primroseworks::bench
