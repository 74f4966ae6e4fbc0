// Decayed demand of artifacts that rises fast and falls slowly.
#ifndef PRIMROSEWORKS_LIBPLACEMENT_DEMAND_H
#define PRIMROSEWORKS_LIBPLACEMENT_DEMAND_H

#include "primroseworks/time.h"

namespace primroseworks::pvt {

/// Rate of one stream of observations, in units per second.
class DemandRate {
public:
  void add(double Amount) { m_pending += Amount; }
  /// Takes the observations since the last call into account.
  void update(TimePoint Now, Duration Rise, Duration Fall);
  /// True if the last two updates both saw a multiple of the estimate, and at
  /// least MinStep units per second more. False until the estimate has had
  /// time Rise to settle.
  bool steep(TimePoint Now, Duration Rise, double MinStep) const;
  /// Raises the estimate to what both of the last two updates saw.
  void adoptLatest();
  /// Estimate that follows a rise with time constant Rise and a fall with Fall.
  double rate() const { return m_held; }
  /// Estimate with time constant Rise in both directions.
  double recent() const { return m_recent; }
  /// Estimate with time constant Fall in both directions: demand that lasts.
  double lasting() const { return m_lasting; }

private:
  bool m_started = false;
  TimePoint m_since; ///< First update.
  TimePoint m_last;
  double m_latest = 0;   ///< Rate seen by the last update.
  double m_previous = 0; ///< Rate seen by the one before.
  double m_pending = 0;
  double m_recent = 0;
  double m_held = 0;
  double m_lasting = 0;
};

} // namespace primroseworks::pvt

#endif
