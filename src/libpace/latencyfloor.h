// Latency of an endpoint, or of a service, for each unit of work: the recent
// mean and the lowest mean of the last minute. Does no I/O; the current time is
// an argument.
//
// Load pattern: prompts of very different length, and a queue of prompts before
// some of them. Latency is divided by work, so a long prompt does not look
// slow.
#ifndef PRIMROSEWORKS_LIBPACE_LATENCYFLOOR_H
#define PRIMROSEWORKS_LIBPACE_LATENCYFLOOR_H

#include "primroseworks/time.h"

#include <algorithm>
#include <limits>

namespace primroseworks {

/// Weight of the newest sample in the decaying mean.
inline constexpr double LatencyMeanWeight = 0.2;
/// Samples in the mean before it may lower the floor. The floor is the minimum
/// of means: one answer that a cache made fast must not set it.
inline constexpr unsigned MinFloorSamples = 4;
/// The floor covers this period and the one before, so a lasting change of
/// speed replaces it within twice the period.
inline constexpr Seconds FloorPeriod{30};

class LatencyFloor {
public:
  /// Adds an answer that took Latency for Work units; Work is above 0.
  void add(Duration Latency, double Work, TimePoint Now);
  /// Lowest mean of the last periods, in ms per unit; 0 before the first
  /// sample. Before MinFloorSamples it is the present mean.
  double floorMs() const;
  /// Present mean in ms per unit; 0 before the first sample.
  double meanMs() const { return m_work > 0 ? m_latencyMs / m_work : 0; }
  TimePoint lastSampleAt() const { return m_lastSampleAt; }

private:
  static constexpr double None = std::numeric_limits<double>::infinity();

  double m_latencyMs = 0;       ///< Decaying mean.
  double m_work = 0;            ///< Decaying mean, with the same weights.
  unsigned m_samples = 0;       ///< Up to MinFloorSamples.
  double m_minMs = None;        ///< Of the period that began at m_periodStart.
  double m_earlierMinMs = None; ///< Of the period before.
  TimePoint m_periodStart{};
  TimePoint m_lastSampleAt{};
};

} // namespace primroseworks

#endif
