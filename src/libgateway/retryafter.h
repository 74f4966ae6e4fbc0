// Computes the Retry-After of rejected requests.
//
// Load pattern: a flood of requests while all endpoints are full, or a fleet
// that starts while its metadata store is unavailable. A caller retries once or
// twice. Callers that retry immediately find the same state, are rejected again
// and give up; callers that retry at the same time cause the next overload. So
// a caller is told to retry soon only if another VM can still respond in time,
// and otherwise late in its remaining time, with jitter.
//
// The callers of one client account that floods are refused together, since its
// share of the capacity is used up. Its share lets in further requests one by
// one, so their retries are spread over the time until its backlog has drained,
// not around the end of that time.
#ifndef PRIMROSEWORKS_LIBGATEWAY_RETRYAFTER_H
#define PRIMROSEWORKS_LIBGATEWAY_RETRYAFTER_H

#include "primroseworks/time.h"

namespace primroseworks::gateway {

/// Circumstances of a rejected request.
struct Rejection {
  /// Until the caller's deadline or the route's timeout.
  Duration m_timeLeft{};
  Duration m_onTimeLeft{};   ///< Until the response can no longer be on time.
  Duration m_expectedWait{}; ///< Expected wait; zero if unknown.
  bool m_localCause = false; ///< The cause is the state of this VM alone.
  /// The request has a client account, and m_expectedWait is that of its share.
  bool m_ofAccount = false;
  double m_random = 0; ///< Random number in [0, 1).
};

/// Minimum Retry-After, so that a retry does not find the same state.
inline constexpr Milliseconds MinRetryAfter{200};
/// Maximum Retry-After as a share of the caller's remaining time.
inline constexpr double MaxRetryAfterShare = 1.0 / 3;
/// If the wait is unknown, retries are spread evenly over the last part of the
/// maximum Retry-After; this is that part as a share of the maximum.
inline constexpr double RetryAfterJitter = 0.6;
/// If the wait is known, retries are spread over plus or minus this share of
/// it.
inline constexpr double ExpectedWaitJitter = 0.3;

/// For an account, retries are spread over at least this share of the time
/// until its backlog has drained, ending then.
inline constexpr double AccountRetrySpread = 0.6;

/// Returns the time after which the caller should retry.
Duration retryAfter(const Rejection &R);

} // namespace primroseworks::gateway

#endif
