// Mean and lowest mean of an endpoint's latency.
#include "libpace/latencyfloor.h"

namespace primroseworks {

void LatencyFloor::add(Duration Latency, double Work, TimePoint Now) {
  const double LatencyMs = std::max(0.0, toMillis(Latency));
  const double Weight = m_samples == 0 ? 1 : LatencyMeanWeight;
  m_latencyMs += Weight * (LatencyMs - m_latencyMs);
  m_work += Weight * (Work - m_work);
  m_samples = std::min(m_samples + 1, MinFloorSamples);
  m_lastSampleAt = Now;
  if (m_samples < MinFloorSamples)
    return;
  if (Now - m_periodStart >= FloorPeriod) {
    m_earlierMinMs =
        Now - m_periodStart < 2 * FloorPeriod ? m_minMs : double(None);
    m_minMs = None;
    m_periodStart = Now;
  }
  m_minMs = std::min(m_minMs, meanMs());
}

double LatencyFloor::floorMs() const {
  const double Floor = std::min(m_minMs, m_earlierMinMs);
  return Floor < None ? Floor : meanMs();
}

} // namespace primroseworks
