// Figures of a run: outcomes by kind, and latency quantiles by rank.
#ifndef PRIMROSE_LOAD_REPORT_H
#define PRIMROSE_LOAD_REPORT_H

#include "primrose-load/caller.h"

#include <array>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>

namespace primroseworks::load {

/// The value below which Share (0 to 1) of the samples lie, by nearest rank.
/// Sorts the samples; 0 if there are none.
double quantile(std::vector<double> &Samples, double Share);

/// Collects records. Thread safe.
class Report {
public:
  /// Targets are those of RankPolicy, for the share of calls that attain them.
  explicit Report(RankPolicy Targets) : m_targets(Targets) {}
  void add(const CallRecord &Record);
  /// "done=95 whole=94 not_run=1".
  std::string progress() const;
  nlohmann::json json(Duration Elapsed) const;
  std::string table(Duration Elapsed) const;
  /// No answer was wrong.
  bool sound() const;

private:
  struct RankFigures {
    std::array<std::uint64_t, CallOutcomeNames.size()> m_outcomes{};
    std::uint64_t m_attained = 0; ///< Whole, within both targets.
    std::uint64_t m_tokens = 0;
    std::vector<double> m_firstToken; ///< Of whole answers, in ms.
    std::vector<double> m_tokenGap;
  };
  std::uint64_t count(CallOutcome Outcome) const;

  const RankPolicy m_targets;
  mutable std::mutex m_mutex; ///< Guards the members below.
  std::array<RankFigures, RankCount> m_ranks;
  std::map<std::string, std::uint64_t> m_codes;
};

} // namespace primroseworks::load

#endif
