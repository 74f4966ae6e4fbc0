// Implementation of the Retry-After calculation.
#include "libgateway/retryafter.h"

#include <algorithm>

namespace primroseworks::gateway {

namespace {

/// Spreads the retries of an account's callers from when a request is expected
/// to be dispatched within the caller's time until the backlog has drained.
Duration accountRetryAfter(const Rejection &R, Duration Min, Duration Max) {
  const Duration Last = std::clamp(R.m_expectedWait, Min, Max);
  const Duration Spread = fromSeconds(toSeconds(Last) * AccountRetrySpread);
  const Duration First =
      std::max(Min, std::min(R.m_expectedWait - R.m_timeLeft, Last - Spread));
  return First + fromSeconds(toSeconds(Last - First) * R.m_random);
}

} // namespace

Duration retryAfter(const Rejection &R) {
  const Duration Min = MinRetryAfter;
  const Duration Max = std::max<Duration>(
      Min, fromSeconds(toSeconds(R.m_timeLeft) * MaxRetryAfterShare));
  if (R.m_localCause)
    return Min + fromSeconds(toSeconds(Min) * R.m_random);
  if (R.m_ofAccount && R.m_expectedWait > Duration::zero())
    return accountRetryAfter(R, Min, Max);
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
