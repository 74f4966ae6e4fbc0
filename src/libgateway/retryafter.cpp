// Retry-After of rejected requests.
#include "libgateway/retryafter.h"

#include <algorithm>

namespace primroseworks::gateway {

Duration retryAfter(const Rejection &R) {
  const Duration Least = RetryAfterMin;
  const Duration Most = std::max<Duration>(
      Least, fromSeconds(toSeconds(R.m_timeLeft) * RetryAfterShare));
  if (R.m_localCause)
    return Least + fromSeconds(toSeconds(Least) * R.m_random);
  if (R.m_expectedWait > Duration::zero()) {
    const double Spread = 1 + ExpectedSpread * (2 * R.m_random - 1);
    return std::clamp(fromSeconds(toSeconds(R.m_expectedWait) * Spread), Least,
                      Most);
  }
  if (R.m_onTimeLeft > 2 * Least)
    return Least +
           fromSeconds(toSeconds(R.m_onTimeLeft - 2 * Least) * R.m_random);
  const double Part = 1 - RetryAfterSpread * (1 - R.m_random);
  return std::max(Least, fromSeconds(toSeconds(Most) * Part));
}

} // namespace primroseworks::gateway
