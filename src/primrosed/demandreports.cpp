// Demand of the callers of a region.
#include "primrosed/demandreports.h"

#include "primroseworks/ownership.h"

#include <algorithm>
#include <numeric>

namespace primroseworks {

namespace {

// A planner receives about 1000 / 300 reports a second at any size.
constexpr Milliseconds IntervalPerMember{300};
constexpr Milliseconds MinInterval{1000};

// Reports that may be missing before a member counts as not reporting.
constexpr int MissedReports = 3;

// Steps in which the first reports of the members are spread over an interval.
// Daemons that started together would otherwise all report at once.
constexpr unsigned PhaseSteps = 1024;

template <class Range> double sum(const Range &Values) {
  return std::accumulate(Values.begin(), Values.end(), 0.0);
}

} // namespace

Duration demandReportInterval(std::size_t Members) {
  return std::max<Duration>(MinInterval,
                            IntervalPerMember * static_cast<int>(Members));
}

std::vector<std::string> plannersOf(const std::string &Region,
                                    const std::vector<std::string> &Members) {
  std::vector<std::string> Left = Members;
  std::vector<std::string> Out;
  while (Out.size() < 2 && !Left.empty()) {
    Out.push_back(rendezvousOwner("planner/" + Region, Left));
    Left.erase(std::remove(Left.begin(), Left.end(), Out.back()), Left.end());
  }
  return Out;
}

DemandReports::DemandReports(std::string Self, std::string Region)
    : m_self(std::move(Self)), m_region(std::move(Region)) {}

void DemandReports::observe(const Artifact &Wanted, double Tokens, Rank R) {
  std::lock_guard<std::mutex> Lock(m_mutex);
  m_seen[{Wanted, m_region}][static_cast<std::size_t>(R)] += Tokens;
  m_unreported[Wanted][static_cast<std::size_t>(R)] += Tokens;
}

std::optional<DemandReportMessage>
DemandReports::nextReport(std::size_t Members, TimePoint Now) {
  const Duration Interval = demandReportInterval(Members);
  std::lock_guard<std::mutex> Lock(m_mutex);
  if (!m_nextReport) {
    const auto Step = rendezvousWeight("demand-report", m_self) % PhaseSteps;
    m_nextReport = Now + Interval * static_cast<int>(Step) / PhaseSteps;
  }
  if (Now < *m_nextReport)
    return std::nullopt;
  // Without drift, so that the members stay spread.
  m_nextReport = std::max(*m_nextReport + Interval, Now);
  std::vector<std::pair<double, Artifact>> Order;
  for (const auto &[Wanted, Tokens] : m_unreported)
    Order.emplace_back(-sum(Tokens), Wanted);
  std::sort(Order.begin(), Order.end());
  if (Order.size() > MaxReportedArtifacts)
    Order.resize(MaxReportedArtifacts);
  DemandReportMessage Out;
  for (const auto &[Negative, Wanted] : Order) {
    Out.m_entries.push_back({Wanted, m_region, m_unreported[Wanted]});
    m_unreported.erase(Wanted);
  }
  return Out;
}

void DemandReports::receive(const std::string &From,
                            const DemandReportMessage &Report, TimePoint Now) {
  std::lock_guard<std::mutex> Lock(m_mutex);
  m_reporters[From] = Now;
  for (const DemandEntry &Entry : Report.m_entries)
    for (std::size_t R = 0; R < RankCount; ++R)
      m_seen[{Entry.m_artifact, Entry.m_region}][R] += Entry.m_tokens[R];
}

std::vector<DemandEntry>
DemandReports::take(const std::vector<std::string> &Members, TimePoint Now) {
  const Duration Limit = MissedReports * demandReportInterval(Members.size());
  std::lock_guard<std::mutex> Lock(m_mutex);
  for (auto It = m_reporters.begin(); It != m_reporters.end();)
    It = Now - It->second > Limit ? m_reporters.erase(It) : std::next(It);
  const double Reporting = 1 + static_cast<double>(m_reporters.size());
  const auto Silent = std::count_if(
      Members.begin(), Members.end(), [&](const std::string &Name) {
        return Name != m_self && m_reporters.count(Name) == 0;
      });
  const double Scale = 1 + static_cast<double>(Silent) / Reporting;
  std::vector<DemandEntry> Out;
  for (const auto &[Which, Tokens] : m_seen) {
    Out.push_back({Which.first, Which.second, Tokens});
    for (double &Each : Out.back().m_tokens)
      Each *= Scale;
  }
  m_seen.clear();
  return Out;
}

} // namespace primroseworks
