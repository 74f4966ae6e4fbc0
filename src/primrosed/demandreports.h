// Demand of the callers of a region: what this daemon's callers ask for, the
// reports about it to the region's planner, and the reports of the others.
#ifndef PRIMROSED_DEMANDREPORTS_H
#define PRIMROSED_DEMANDREPORTS_H

#include "primroseworks/message.h"
#include "primroseworks/time.h"

#include <array>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace primroseworks {

/// Models and adapters in one report.
inline constexpr std::size_t MaxReportedArtifacts = 20;

/// Time between two reports of a member. Members: live ones of its region.
Duration demandReportInterval(std::size_t Members);

/// The member that plans for a region, and the one that would succeed it.
/// Members: live ones of the region. Without members the list is empty.
std::vector<std::string> plannersOf(const std::string &Region,
                                    const std::vector<std::string> &Members);

/// Thread-safe.
class DemandReports {
public:
  DemandReports(std::string Self, std::string Region);

  /// Counts a request of this daemon's callers. Tokens: asked and generated.
  void observe(const Artifact &Wanted, double Tokens, Rank R);

  /// The report to send now, if one is due; it may be empty, because a member
  /// that sends none is taken for one whose demand is not known. A report that
  /// cannot be sent is not repeated: its receiver assumes the mean instead.
  std::optional<DemandReportMessage> nextReport(std::size_t Members,
                                                TimePoint Now);

  void receive(const std::string &From, const DemandReportMessage &Report,
               TimePoint Now);

  /// Demand of all callers of the region since the last call. Members: live
  /// ones of the region. Each of them that has not reported for three
  /// intervals counts as the mean of this daemon and those that have.
  std::vector<DemandEntry> take(const std::vector<std::string> &Members,
                                TimePoint Now);

private:
  using Tokens = std::array<double, RankCount>;
  using Key = std::pair<Artifact, std::string>; ///< Artifact, region.

  const std::string m_self;
  const std::string m_region;
  std::mutex m_mutex;                      ///< Guards all below.
  std::map<Key, Tokens> m_seen;            ///< Own and reported, not taken yet.
  std::map<Artifact, Tokens> m_unreported; ///< Own, not reported yet.
  std::map<std::string, TimePoint> m_reporters; ///< Last report, by member.
  std::optional<TimePoint> m_nextReport; ///< Unset before the first call.
};

} // namespace primroseworks

#endif
