// Beliefs about endpoints.
#include "primroseworks/belief.h"

#include <algorithm>
#include <cmath>

namespace primroseworks {

namespace {
/// Weight that an observation keeps per later one: about 50 reports, 12 s.
constexpr double GapMemory = 0.98;
/// The same for the largest batch seen: about 90 s to half, so that the limit
/// does not shrink between bursts.
constexpr double LargestMemory = 0.998;
/// Gap targets are aimed at with this margin, since the fit is noisy.
constexpr double GapMargin = 0.94;
/// How far beyond the largest batch seen the fit is trusted. With a step of 4
/// an endpoint with few sequences looked full to most daemons.
constexpr double ExplorePart = 1.25;
constexpr double ExploreStep = 8;
/// Variance of the batch size below which its slope cannot be fitted.
constexpr double MinBatchVariance = 1.0;
/// Part of the gap ascribed to the batch while the slope cannot be fitted.
constexpr double DefaultBatchPart = 0.5;
/// Weight of the newest report in the mean unforeseen growth.
constexpr double GrowthGain = 0.1;
constexpr double IntervalGain = 0.1;
/// Sums of ReportAge are halved at this many own changes: some minutes.
constexpr double AgeMemory = 2000;
/// Own changes needed to judge an age.
constexpr double AgeEvidence = 40;
/// Part of the own changes that reports of the right age show. It is near 1,
/// and near 0 for wrong ages.
constexpr double AgeClear = 0.4;
/// Own changes remembered per endpoint.
constexpr std::size_t HistoryMax = 256;
/// Each daemon competes for free slots as if it had this many more there. With
/// 1, daemons that had few slots at a full endpoint kept few for half a minute.
constexpr double BaseSlots = 3;
/// Daemons that share an endpoint at most, as the deployments have 7 to 9.
constexpr double TypicalDaemons = 9;
/// Daemons per share of other daemons in the load: 9 from a share of 0.4 on,
/// and 1 for a daemon that is alone.
constexpr double ForeignSlope = 20;
/// Weight of the newest report in the mean share of other daemons.
constexpr double ForeignGain = 0.02;
/// Part of the vacated slots left to be divided anew.
constexpr double GiveUpPart = 0.15;
/// A gap between reports beyond this is a fault, not their interval.
constexpr Milliseconds LongestInterval{5000};
} // namespace

void GapModel::observe(unsigned Running, double GapMillis) {
  if (Running == 0 || GapMillis <= 0)
    return;
  double X = Running;
  m_weight = m_weight * GapMemory + 1;
  m_sumX = m_sumX * GapMemory + X;
  m_sumY = m_sumY * GapMemory + GapMillis;
  m_sumXX = m_sumXX * GapMemory + X * X;
  m_sumXY = m_sumXY * GapMemory + X * GapMillis;
  m_largest = std::max(X, m_largest * LargestMemory);
}

GapModel::Line GapModel::fit() const {
  double MeanX = m_sumX / m_weight;
  double MeanY = m_sumY / m_weight;
  double Variance = m_sumXX / m_weight - MeanX * MeanX;
  double Slope = DefaultBatchPart * MeanY / MeanX;
  if (Variance >= MinBatchVariance)
    Slope = (m_sumXY / m_weight - MeanX * MeanY) / Variance;
  // A batch cannot shorten the gap, nor explain more than the whole of it.
  Slope = std::clamp(Slope, 0.0, MeanY / MeanX);
  return {MeanY - Slope * MeanX, Slope};
}

double GapModel::predict(double Sequences) const {
  if (m_weight <= 0)
    return 0;
  Line L = fit();
  return L.m_base + L.m_slope * Sequences;
}

unsigned GapModel::limit(double TargetMillis, unsigned MaxBatch) const {
  if (MaxBatch == 0)
    return 1;
  if (m_weight <= 0)
    return MaxBatch;
  Line L = fit();
  double Room = TargetMillis * GapMargin - L.m_base;
  double Limit = L.m_slope > 0 ? Room / L.m_slope : MaxBatch;
  if (Room <= 0)
    Limit = 1;
  Limit = std::min(Limit, m_largest * ExplorePart + ExploreStep);
  return static_cast<unsigned>(
      std::clamp(Limit, 1.0, static_cast<double>(MaxBatch)));
}

void ReportAge::observe(double Change,
                        const std::array<double, Steps> &OwnChange) {
  for (std::size_t I = 0; I < Steps; ++I) {
    m_own[I] += OwnChange[I] * OwnChange[I];
    m_common[I] += OwnChange[I] * Change;
  }
  if (m_own[0] < AgeMemory)
    return;
  for (std::size_t I = 0; I < Steps; ++I) {
    m_own[I] /= 2;
    m_common[I] /= 2;
  }
}

Duration ReportAge::age() const {
  std::size_t Best = 0;
  double Most = 0;
  for (std::size_t I = 0; I < Steps; ++I) {
    double Part = m_own[I] < AgeEvidence ? 0 : m_common[I] / m_own[I];
    if (Part > Most) {
      Most = Part;
      Best = I;
    }
  }
  if (Most < AgeClear)
    return ReportInterval;
  return static_cast<int>(Best) * Step;
}

LoadBelief::LoadBelief()
    : m_foreign(1 - 1 / TypicalDaemons), m_age(ReportInterval),
      m_interval(ReportInterval) {}

void LoadBelief::recordOwn(TimePoint Now) {
  constexpr Duration Kept = (ReportAge::Steps + 4) * ReportAge::Step;
  m_history.push_back({Now, m_own});
  while (m_history.size() > HistoryMax ||
         (m_history.size() > 1 && Now - m_history[1].m_time >= Kept))
    m_history.pop_front();
}

// The least own count around the time that the report describes: what came
// later is not in it, and taking too few as included errs towards a full
// endpoint.
unsigned LoadBelief::ownThen(TimePoint Now) const {
  TimePoint From = Now - lag();
  TimePoint To = From + ReportInterval + ReportDelay;
  unsigned Least = m_own;
  bool Found = false;
  TimePoint Next = TimePoint::max();
  for (auto It = m_history.rbegin(); It != m_history.rend() && Next > From;
       ++It) {
    if (It->m_time <= To) {
      Least = Found ? std::min(Least, It->m_own) : It->m_own;
      Found = true;
    }
    Next = It->m_time;
  }
  return Found ? Least : 0;
}

std::array<double, ReportAge::Steps>
LoadBelief::ownChange(TimePoint Now) const {
  std::array<double, ReportAge::Steps> Out{};
  auto OwnAt = [this](std::size_t &I, TimePoint When) {
    while (I > 0 && m_history[I - 1].m_time > When)
      --I;
    return I == 0 ? 0.0 : static_cast<double>(m_history[I - 1].m_own);
  };
  std::size_t Late = m_history.size();
  std::size_t Early = m_history.size();
  for (std::size_t S = 0; S < Out.size(); ++S) {
    Duration Age = static_cast<int>(S) * ReportAge::Step;
    Out[S] = OwnAt(Late, Now - Age) - OwnAt(Early, m_reportTime - Age);
  }
  return Out;
}

void LoadBelief::onReport(const LoadReport &Report, TimePoint Now,
                          ReportAge *Ages) {
  bool Restarted = m_hasReport && Report.m_runId != m_report.m_runId;
  if (m_hasReport && !Restarted && Report.m_sequence < m_report.m_sequence)
    return;
  double Total = static_cast<double>(Report.m_running) + Report.m_queued;
  if (Ages && m_hasReport && !Restarted) {
    double Before = static_cast<double>(m_report.m_running) + m_report.m_queued;
    Ages->observe(Total - Before, ownChange(Now));
    m_age = Ages->age();
  }
  double Others = std::max(0.0, Total - ownThen(Now));
  if (m_hasReport && !Restarted)
    m_growth += GrowthGain * (Others - m_others - m_growth);
  if (m_hasReport && Now - m_reportTime < LongestInterval)
    m_interval += fromSeconds(
        IntervalGain * (toSeconds(Now - m_reportTime) - toSeconds(m_interval)));
  m_others = Others;
  if (Total > 0)
    m_foreign += ForeignGain * (Others / (Others + m_own + 0.01) - m_foreign);
  m_othersTokens = std::max(
      0.0, static_cast<double>(Report.m_queuedPromptTokens) - m_ownTokens);
  if (Restarted)
    m_gap = GapModel();
  m_gap.observe(Report.m_running, Report.m_tokenGapMillis);
  m_report = Report;
  m_hasReport = true;
  m_reportTime = Now;
  m_vacated = 0;
}

void LoadBelief::onPeerLoad(unsigned InFlight, TimePoint) {
  m_others = std::max(m_others, static_cast<double>(InFlight));
}

void LoadBelief::onSent(unsigned Uncached, TimePoint Now) {
  ++m_own;
  if (m_vacated > 0)
    --m_vacated;
  m_ownTokens += Uncached;
  m_allowance -= 1;
  recordOwn(Now);
}

void LoadBelief::onFirstToken(unsigned Uncached) {
  m_ownTokens = std::max(0.0, m_ownTokens - Uncached);
}

void LoadBelief::onEnded(unsigned Uncached, bool Prefilled, TimePoint Now) {
  if (!Prefilled)
    onFirstToken(Uncached);
  if (m_own > 0)
    --m_own;
  // Were every slot filled again by the daemon that had it, a daemon with none
  // at a full endpoint would never get one.
  if (m_contended)
    m_givenUp += GiveUpPart * m_others / (m_own + m_others + 1);
  if (m_givenUp >= 1) {
    m_givenUp -= 1;
  } else {
    ++m_vacated;
    m_allowance += 1;
  }
  recordOwn(Now);
}

double LoadBelief::occupancy(TimePoint Now) const {
  if (!m_correction)
    return static_cast<double>(m_report.m_running) + m_report.m_queued;
  double Age = toSeconds(Now - m_reportTime) / toSeconds(m_interval);
  return m_own + m_others + std::max(0.0, m_growth) * std::clamp(Age, 0.0, 1.0);
}

double LoadBelief::uncertainty(double HoldMillis, TimePoint Now) const {
  double Age = toMillis(Now - m_reportTime) + toMillis(lag());
  return m_others * std::min(1.0, Age / std::max(HoldMillis, 1.0));
}

double LoadBelief::backlogTokens(TimePoint Now) const {
  if (!m_correction)
    return static_cast<double>(m_report.m_queuedPromptTokens);
  // The queue reported shrinks by what the endpoint prefills meanwhile.
  double Done =
      m_report.m_prefillTokensPerSecond * toSeconds(Now - m_reportTime);
  return m_ownTokens + std::max(0.0, m_othersTokens - Done);
}

unsigned LoadBelief::limit(double GapTargetMillis) const {
  return m_gap.limit(GapTargetMillis, m_report.m_maxBatch);
}

void LoadBelief::renewAllowance(double GapTargetMillis, double RandomUnit,
                                TimePoint Now) {
  double Free = std::max(0.0, limit(GapTargetMillis) - occupancy(Now));
  // Daemons with much load there and daemons with little have to come to the
  // same number, or those with much would keep it.
  double Daemons = std::min(TypicalDaemons, 1 + m_foreign * ForeignSlope);
  double Part =
      Free * (m_own + BaseSlots) / (m_own + m_others + BaseSlots * Daemons);
  // With this many, every daemon can take one and they still fit.
  m_contended = Free < Daemons;
  if (!m_contended)
    Part = std::max(Part, 1.0);
  bool First = m_renewed == TimePoint{};
  if (First)
    m_allowance = std::max(Part, 1.0) + RandomUnit;
  // In proportion to time: a daemon that gets more reports gets no more slots.
  double Intervals = toSeconds(Now - m_renewed) / toSeconds(m_interval);
  if (!First)
    m_allowance = std::min(m_allowance + Part * std::min(1.0, Intervals),
                           std::max(Part, 1.0));
  m_renewed = Now;
}

double PrefixBelief::current(const Slot &S, TimePoint Now) const {
  const EndpointTrust &T = m_trust[S.m_endpoint];
  if (S.m_epoch != T.m_epoch)
    return 0;
  double HalfLives = toSeconds(Now - S.m_time) / toSeconds(PrefixHalfLife);
  return S.m_confidence * T.m_trust * std::exp2(-std::max(0.0, HalfLives));
}

PrefixBelief::EndpointTrust &PrefixBelief::trust(EndpointId Endpoint) {
  if (Endpoint >= m_trust.size())
    m_trust.resize(Endpoint + 1);
  return m_trust[Endpoint];
}

void PrefixBelief::evictOldest() {
  while (m_entries.size() > PrefixesMax && !m_order.empty()) {
    m_entries.erase(m_order.front());
    m_order.pop_front();
  }
}

void PrefixBelief::add(EndpointId Endpoint, std::uint64_t Hash,
                       double Confidence, TimePoint Now) {
  std::uint32_t Epoch = trust(Endpoint).m_epoch;
  auto [It, Added] = m_entries.try_emplace(Hash);
  if (Added)
    m_order.push_back(Hash);
  std::vector<Slot> &Slots = It->second;
  Slot Next{Endpoint, Epoch, static_cast<float>(Confidence), Now};
  auto Same = std::find_if(Slots.begin(), Slots.end(), [&](const Slot &S) {
    return S.m_endpoint == Endpoint;
  });
  if (Same != Slots.end()) {
    if (current(*Same, Now) <= Confidence * m_trust[Endpoint].m_trust)
      *Same = Next;
  } else if (Slots.size() < PrefixHoldersMax) {
    Slots.push_back(Next);
  } else {
    *std::min_element(Slots.begin(), Slots.end(),
                      [&](const Slot &A, const Slot &B) {
                        return current(A, Now) < current(B, Now);
                      }) = Next;
  }
  evictOldest();
}

void PrefixBelief::remove(EndpointId Endpoint, std::uint64_t Hash) {
  auto It = m_entries.find(Hash);
  if (It == m_entries.end())
    return;
  // The empty entry stays until its turn in m_order, which keeps both in step.
  std::vector<Slot> &Slots = It->second;
  Slots.erase(
      std::remove_if(Slots.begin(), Slots.end(),
                     [&](const Slot &S) { return S.m_endpoint == Endpoint; }),
      Slots.end());
}

void PrefixBelief::doubt(EndpointId Endpoint) {
  EndpointTrust &T = trust(Endpoint);
  T.m_trust = std::max(0.1, T.m_trust * 0.5);
}

void PrefixBelief::forget(EndpointId Endpoint) {
  EndpointTrust &T = trust(Endpoint);
  ++T.m_epoch;
  T.m_trust = 1;
}

void PrefixBelief::observe(EndpointId Endpoint, std::uint64_t Hash, bool Hit,
                           TimePoint Now) {
  EndpointTrust &T = trust(Endpoint);
  // A floor keeps a wrongly distrusted endpoint able to prove itself.
  T.m_trust =
      std::clamp(T.m_trust + 0.1 * ((Hit ? 1.0 : 0.0) - T.m_trust), 0.1, 1.0);
  if (Hit)
    add(Endpoint, Hash, 1, Now);
  else
    remove(Endpoint, Hash);
}

double PrefixBelief::confidence(EndpointId Endpoint, std::uint64_t Hash,
                                TimePoint Now) const {
  auto It = m_entries.find(Hash);
  if (It == m_entries.end())
    return 0;
  for (const Slot &S : It->second)
    if (S.m_endpoint == Endpoint)
      return current(S, Now);
  return 0;
}

std::vector<PrefixBelief::Holder> PrefixBelief::holders(std::uint64_t Hash,
                                                        TimePoint Now) const {
  std::vector<Holder> Out;
  auto It = m_entries.find(Hash);
  if (It == m_entries.end())
    return Out;
  for (const Slot &S : It->second)
    if (double C = current(S, Now); C > 0)
      Out.push_back({S.m_endpoint, C});
  return Out;
}

} // namespace primroseworks
