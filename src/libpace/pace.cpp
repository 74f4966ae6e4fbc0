// Growth and shrinking of an endpoint's concurrency limit.
#include "libpace/pace.h"

#include <algorithm>
#include <cmath>

namespace primroseworks {

namespace {

unsigned shareOf(unsigned Slots, double Share) {
  return static_cast<unsigned>(std::ceil(Share * Slots));
}

PaceCause causeOf(PaceTrouble Trouble) {
  switch (Trouble) {
  case PaceTrouble::Refused:
    return PaceCause::Refused;
  case PaceTrouble::Failed:
    return PaceCause::Failed;
  case PaceTrouble::Silent:
    break;
  }
  return PaceCause::Silent;
}

} // namespace

EndpointPace EndpointPace::create(PaceOrigin Origin, unsigned Slots,
                                  TimePoint Now) {
  EndpointPace P;
  P.m_slots = Slots;
  if (Origin == PaceOrigin::FirstList)
    P.setLimit(shareOf(Slots, PaceFirstListShare), PaceCause::GatewayStart,
               Now);
  else
    P.setLimit(PaceStartLimit, PaceCause::Started, Now);
  if (Origin == PaceOrigin::Appeared)
    P.m_referenceUntil = Now + PaceReferencePeriod;
  return P;
}

/// Sets the limit within its bounds and begins a round. At the endpoint's slots
/// it no longer restricts.
void EndpointPace::setLimit(unsigned Limit, PaceCause Cause, TimePoint Now) {
  m_limit = std::clamp(Limit, std::min(1U, m_slots), m_slots);
  m_cause = m_limit >= m_slots ? PaceCause::None : Cause;
  m_changedAt = Now;
  m_samples = 0;
  m_goodAtLimit = 0;
  m_reachedSince = TimePoint::max();
}

void EndpointPace::setSlots(unsigned Slots) {
  if (Slots == m_slots)
    return;
  m_slots = Slots;
  if (limited())
    setLimit(m_limit, m_cause, m_changedAt);
  else
    m_limit = Slots;
}

double EndpointPace::floorMs() const {
  return m_kinds.empty() ? 0 : m_kinds[m_lastKind].m_floor.floorMs();
}

TimePoint EndpointPace::lastSampleAt() const {
  return m_kinds.empty() ? TimePoint()
                         : m_kinds[m_lastKind].m_floor.lastSampleAt();
}

double EndpointPace::latencyMs() const {
  return m_kinds.empty() ? 0 : m_kinds[m_lastKind].m_floor.meanMs();
}

LatencyFloor &EndpointPace::floorOf(std::string_view Name) {
  auto It = std::find_if(m_kinds.begin(), m_kinds.end(),
                         [&](const Kind &K) { return K.m_name == Name; });
  if (It == m_kinds.end() && m_kinds.size() < PaceMaxKinds)
    It = m_kinds.insert(It, Kind{std::string(Name), {}});
  if (It == m_kinds.end()) {
    It = std::min_element(
        m_kinds.begin(), m_kinds.end(), [](const Kind &A, const Kind &B) {
          return A.m_floor.lastSampleAt() < B.m_floor.lastSampleAt();
        });
    *It = Kind{std::string(Name), {}};
  }
  m_lastKind = static_cast<std::size_t>(It - m_kinds.begin());
  return It->m_floor;
}

/// Latency of a sample as a multiple of what it would take at the floor.
double EndpointPace::ratioOf(const PaceSample &Sample, const LatencyFloor &Own,
                             const PaceService &Service, TimePoint Now) const {
  double FloorMs = Own.floorMs();
  if (Service.m_floorMs > 0 && !Service.m_mostLimited && Now < m_referenceUntil)
    FloorMs = std::min(FloorMs, Service.m_floorMs);
  const double Ratio = (toMillis(Sample.m_latency) + PaceBaseMs) /
                       (FloorMs * Sample.m_work + PaceBaseMs);
  return std::min(Ratio, PaceMaxSampleRatio);
}

void EndpointPace::onSample(const PaceSample &Sample,
                            const PaceService &Service, PaceLoad Load,
                            TimePoint Now) {
  LatencyFloor &Own = floorOf(Sample.m_kind);
  Own.add(Sample.m_latency, Sample.m_work, Now);
  const double Ratio = ratioOf(Sample, Own, Service, Now);
  m_ratio += PaceRatioWeight * (Ratio - m_ratio);
  const bool Good = Ratio <= PaceGrowRatio;
  m_goodInRow = Good ? m_goodInRow + 1 : 0;
  if (!Good)
    m_lastBadAt = Now;
  // A request that was sent before the last change was served under the
  // previous limit.
  if (Now - Sample.m_latency >= m_changedAt)
    ++m_samples;
  const bool AnswersAgain = inTrouble() && m_limit <= 1;
  const bool FastAgain =
      m_cause == PaceCause::Slow && m_goodInRow >= PaceRecoveryAnswers;
  if (AnswersAgain || FastAgain)
    recover(Now);
  growIfAnswered(Ratio, Load, Now);
  if (!Service.m_mostLimited)
    shrinkIfSlow(Now);
}

void EndpointPace::growIfAnswered(double SampleRatio, PaceLoad Load,
                                  TimePoint Now) {
  if (!blocks(Load.m_total) || SampleRatio > PaceGrowRatio)
    return;
  if (++m_goodAtLimit >= m_limit)
    setLimit(2 * m_limit, m_cause, Now);
}

void EndpointPace::shrinkIfSlow(TimePoint Now) {
  if (m_ratio <= PaceShrinkRatio || m_samples < PaceMinSamples ||
      m_limit <= PaceStartLimit)
    return;
  const double Share =
      std::clamp(PaceGrowRatio / m_ratio, PaceMinShrink, PaceMaxShrink);
  setLimit(std::max(PaceStartLimit, static_cast<unsigned>(Share * m_limit)),
           PaceCause::Slow, Now);
}

/// Begins the growth after a time in which the endpoint was slow or did not
/// answer. A limit that is higher already is kept.
void EndpointPace::recover(TimePoint Now) {
  const unsigned Start =
      std::max(PaceStartLimit, shareOf(m_slots, PaceRecoveredShare));
  m_ratio = std::min(m_ratio, 1.0);
  m_troubleShare = 0;
  m_silentInRow = 0;
  m_referenceUntil = Now + PaceReferencePeriod;
  setLimit(std::max(m_limit, Start), PaceCause::Recovered, Now);
}

void EndpointPace::onGood(TimePoint Now) {
  m_troubleShare -= PaceTroubleWeight * m_troubleShare;
  m_silentInRow = 0;
  if (inTrouble() && m_limit <= 1)
    recover(Now);
}

void EndpointPace::onTrouble(PaceTrouble Trouble, TimePoint Now) {
  m_troubleShare += PaceTroubleWeight * (1 - m_troubleShare);
  m_silentInRow = Trouble == PaceTrouble::Silent ? m_silentInRow + 1 : 0;
  m_lastBadAt = Now;
  m_goodInRow = 0;
  if (m_slots == 0)
    return;
  unsigned Limit = m_limit;
  if (m_silentInRow >= PaceSilentAttempts)
    Limit = 1;
  else if (m_troubleShare > PaceMaxTroubleShare)
    Limit = std::max(1U, m_limit / 2);
  else
    return;
  m_troubleShare = 0; // The next halving needs as many bad ends again.
  if (Limit < m_limit || !inTrouble())
    setLimit(Limit, causeOf(Trouble), Now);
}

void EndpointPace::onTick(PaceLoad Load, TimePoint Now) {
  if (!blocks(Load.m_total)) {
    m_reachedSince = TimePoint::max();
    return;
  }
  m_reachedSince = std::min(m_reachedSince, Now);
  // This process has requests there and no good answer since the last change,
  // so time alone must not raise the limit.
  if (m_goodAtLimit == 0 && Load.m_local > 0)
    return;
  const Milliseconds Round =
      m_goodAtLimit > 0 ? PaceMaxRound : PaceMaxUnseenRound;
  if (Now - std::max({m_reachedSince, m_changedAt, m_lastBadAt}) >= Round)
    setLimit(2 * m_limit, m_cause, Now);
}

} // namespace primroseworks
