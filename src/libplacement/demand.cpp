// Decayed demand of artifacts.
#include "libplacement/demand.h"

#include <algorithm>
#include <cmath>

namespace primroseworks::pvt {

namespace {
// Observations are averaged over at least this long, so that one request does
// not count as a high rate when plan() is called often.
constexpr Milliseconds MinInterval{500};
// A rise to at least this many times the estimate, in two updates in a row, is
// no fluctuation: it does not have to wait for the average.
constexpr double SteepFactor = 2.5;
} // namespace

void DemandRate::update(TimePoint Now, Duration Rise, Duration Fall) {
  if (!m_started) {
    m_started = true;
    m_since = Now;
    m_last = Now;
    return;
  }
  if (Now - m_last < MinInterval)
    return;
  double Elapsed = toSeconds(Now - m_last);
  double Rate = m_pending / Elapsed;
  m_pending = 0;
  m_last = Now;
  m_previous = m_latest;
  m_latest = Rate;
  m_recent += (1 - std::exp(-Elapsed / toSeconds(Rise))) * (Rate - m_recent);
  double Slow = 1 - std::exp(-Elapsed / toSeconds(Fall));
  m_held += Slow * (m_recent - m_held);
  m_lasting += Slow * (Rate - m_lasting);
  m_held = std::max(m_held, m_recent);
}

bool DemandRate::steep(TimePoint Now, Duration Rise, double MinStep) const {
  double Confirmed = std::min(m_latest, m_previous);
  return m_started && Now - m_since > Rise &&
         Confirmed >= SteepFactor * m_recent && Confirmed - m_recent >= MinStep;
}

void DemandRate::adoptLatest() {
  m_recent = std::max(m_recent, std::min(m_latest, m_previous));
  m_held = std::max(m_held, m_recent);
}

} // namespace primroseworks::pvt
