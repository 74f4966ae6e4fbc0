// Quantiles from sorted samples, as JSON and as a table.
#include "primrose-load/report.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace primroseworks::load {
namespace {

using Json = nlohmann::json;

constexpr std::array<double, 4> Shares = {0.5, 0.9, 0.95, 0.99};

std::size_t slot(CallOutcome Outcome) {
  return static_cast<std::size_t>(Outcome);
}

Json quantilesOf(std::vector<double> Samples) {
  Json Out = {{"samples", Samples.size()}};
  for (const double Share : Shares)
    Out[fmt::format("p{:.0f}", Share * 100)] = quantile(Samples, Share);
  Out["max"] = Samples.empty() ? 0 : Samples.back();
  return Out;
}

} // namespace

double quantile(std::vector<double> &Samples, double Share) {
  if (Samples.empty())
    return 0;
  std::sort(Samples.begin(), Samples.end());
  const auto Place = static_cast<std::size_t>(
      std::ceil(Share * static_cast<double>(Samples.size())));
  return Samples[std::clamp<std::size_t>(Place, 1, Samples.size()) - 1];
}

void Report::add(const CallRecord &Record) {
  std::lock_guard<std::mutex> Lock(m_mutex);
  RankFigures &Figures = m_ranks[static_cast<std::size_t>(Record.m_rank)];
  ++Figures.m_outcomes[slot(Record.m_outcome)];
  Figures.m_tokens += Record.m_tokens;
  if (!Record.m_code.empty())
    ++m_codes[Record.m_code];
  if (Record.m_outcome != CallOutcome::Whole)
    return;
  Figures.m_firstToken.push_back(Record.m_firstTokenMillis);
  if (Record.m_tokens > 1)
    Figures.m_tokenGap.push_back(Record.m_tokenGapMillis);
  if (Record.m_firstTokenMillis <= toMillis(m_targets.m_firstTokenTarget) &&
      Record.m_tokenGapMillis <= toMillis(m_targets.m_tokenGapTarget))
    ++Figures.m_attained;
}

std::uint64_t Report::count(CallOutcome Outcome) const {
  std::uint64_t Sum = 0;
  for (const RankFigures &Figures : m_ranks)
    Sum += Figures.m_outcomes[slot(Outcome)];
  return Sum;
}

std::string Report::progress() const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  std::uint64_t Done = 0;
  std::string Kinds;
  for (const auto &Row : CallOutcomeNames) {
    const std::uint64_t N = count(Row.m_value);
    Done += N;
    if (N > 0)
      Kinds += fmt::format(" {}={}", Row.m_name, N);
  }
  return fmt::format("done={}{}", Done, Kinds);
}

bool Report::sound() const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  return count(CallOutcome::Wrong) == 0;
}

Json Report::json(Duration Elapsed) const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  Json Out = {{"seconds", toSeconds(Elapsed)}, {"codes", m_codes}};
  for (const auto &Row : CallOutcomeNames)
    Out["outcomes"][std::string(Row.m_name)] = count(Row.m_value);
  for (const auto &Name : RankNames) {
    const RankFigures &Figures =
        m_ranks[static_cast<std::size_t>(Name.m_value)];
    Json Row = {{"attained", Figures.m_attained},
                {"tokens", Figures.m_tokens},
                {"first_token_ms", quantilesOf(Figures.m_firstToken)},
                {"token_gap_ms", quantilesOf(Figures.m_tokenGap)}};
    std::uint64_t Sent = 0;
    for (const auto &Each : CallOutcomeNames) {
      Row["outcomes"][std::string(Each.m_name)] =
          Figures.m_outcomes[slot(Each.m_value)];
      Sent += Figures.m_outcomes[slot(Each.m_value)];
    }
    Row["calls"] = Sent;
    Out["ranks"][std::string(Name.m_name)] = std::move(Row);
  }
  return Out;
}

std::string Report::table(Duration Elapsed) const {
  const Json All = json(Elapsed);
  std::string Out =
      fmt::format("{:<9}{:>7}{:>9}{:>8}{:>8}{:>9}{:>9}{:>9}{:>9}"
                  "{:>8}{:>8}\n",
                  "rank", "calls", "attained", "whole", "not_run", "other",
                  "first50", "first95", "first99", "gap50", "gap95");
  for (const auto &Name : RankNames) {
    const Json &Row = All.at("ranks").at(std::string(Name.m_name));
    const auto Calls = Row.at("calls").get<std::uint64_t>();
    const auto Whole = Row.at("outcomes").at("whole").get<std::uint64_t>();
    const auto NotRun = Row.at("outcomes").at("not_run").get<std::uint64_t>();
    const auto Ms = [&Row](const char *What, const char *Which) {
      return Row.at(What).at(Which).get<double>();
    };
    Out += fmt::format(
        "{:<9}{:>7}{:>9}{:>8}{:>8}{:>9}{:>9.1f}{:>9.1f}{:>9.1f}{:>8.1f}{:>8.1f}"
        "\n",
        Name.m_name, Calls, Row.at("attained").get<std::uint64_t>(), Whole,
        NotRun, Calls - Whole - NotRun, Ms("first_token_ms", "p50"),
        Ms("first_token_ms", "p95"), Ms("first_token_ms", "p99"),
        Ms("token_gap_ms", "p50"), Ms("token_gap_ms", "p95"));
  }
  Out += "outcomes:";
  for (const auto &[Name, Count] : All.at("outcomes").items())
    Out += fmt::format(" {}={}", Name, Count.get<std::uint64_t>());
  Out += fmt::format("\nseconds: {:.1f}\n", toSeconds(Elapsed));
  for (const auto &[Code, Count] : All.at("codes").items())
    Out += fmt::format("  {} {}\n", Count.get<std::uint64_t>(), Code);
  return Out;
}

} // namespace primroseworks::load
