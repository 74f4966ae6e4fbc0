// When a rejected caller should come back.
//
// Load pattern: a flood at full endpoints, or a fleet that starts while its
// store is away. A caller comes back once or twice. Those that return at once
// meet the same state, are rejected again and are lost; those that return
// together meet each other. So a caller returns at once only if it can still
// be answered in time by another VM, and otherwise late in the time that it
// has, spread over that time.
#ifndef PRIMROSEWORKS_LIBGATEWAY_RETRYAFTER_H
#define PRIMROSEWORKS_LIBGATEWAY_RETRYAFTER_H

#include "primroseworks/time.h"

namespace primroseworks::gateway {

/// What is known when a request is rejected.
struct Rejection {
  Duration m_timeLeft{};   ///< Until its caller's deadline or route's timeout.
  Duration m_onTimeLeft{}; ///< Until it can no longer be answered in time.
  Duration
      m_expectedWait{}; ///< Wait known to lie ahead; zero if none is known.
  bool m_localCause = false; ///< Only this VM's state is the cause.
  double m_random = 0;       ///< Random, from 0 to below 1.
};

/// Shortest Retry-After, so that a caller does not find the same state.
inline constexpr Milliseconds RetryAfterMin{200};
/// Callers come back at most after this part of the time that they have left.
inline constexpr double RetryAfterShare = 1.0 / 3;
/// The returns of callers whose wait is not known are spread over this part of
/// the longest Retry-After, at its end.
inline constexpr double RetryAfterSpread = 0.6;
/// Returns after a known wait are spread by this part of it, up and down.
inline constexpr double ExpectedSpread = 0.3;

/// Time after which the caller should come back.
Duration retryAfter(const Rejection &R);

} // namespace primroseworks::gateway

#endif
