// Implementation of the Retry-After calculation.
#include "libgateway/retryafter.h"

#include <algorithm>

namespace primroseworks::gateway {

Duration retryAfter(const Rejection &R) {
  const Duration Min = MinRetryAfter;
  const Duration Max = std::max<Duration>(
      Min, fromSeconds(toSeconds(R.m_timeLeft) * MaxRetryAfterShare));
  if (R.m_localCause)
    return Min + fromSeconds(toSeconds(Min) * R.m_random);
  if (R.m_expectedWait > Duration::zero()) {
    const double JitterFactor = 1 + ExpectedWaitJitter * (2 * R.m_random - 1);
    return std::clamp(fromSeconds(toSeconds(R.m_expectedWait) * JitterFactor),
                      Min, Max);
  }
  if (R.m_onTimeLeft > 2 * Min)
    return Min + fromSeconds(toSeconds(R.m_onTimeLeft - 2 * Min) * R.m_random);
  const double Share = 1 - RetryAfterJitter * (1 - R.m_random);
  return std::max(Min, fromSeconds(toSeconds(Max) * Share));
}

} // namespace primroseworks::gateway
