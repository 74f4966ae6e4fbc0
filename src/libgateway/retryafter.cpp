// Retry-After of rejected requests.
#include "libgateway/retryafter.h"

#include <algorithm>

namespace primroseworks::gateway {

Duration retryAfter(const Rejection &R) {
  const Duration Least = RetryAfterMin;
  const Duration Most = std::max<Duration>(
      Least, fromSeconds(toSeconds(R.m_left) * RetryAfterShare));
  if (R.m_local)
    return Least + fromSeconds(toSeconds(Least) * R.m_drawn);
  if (R.m_expected > Duration::zero()) {
    const double Spread = 1 + ExpectedSpread * (2 * R.m_drawn - 1);
    return std::clamp(fromSeconds(toSeconds(R.m_expected) * Spread), Least,
                      Most);
  }
  if (R.m_onTimeLeft > 2 * Least)
    return Least +
           fromSeconds(toSeconds(R.m_onTimeLeft - 2 * Least) * R.m_drawn);
  const double Part = 1 - RetryAfterSpread * (1 - R.m_drawn);
  return std::max(Least, fromSeconds(toSeconds(Most) * Part));
}

} // namespace primroseworks::gateway
