// Pause between two watches of the store.
//
// Load pattern: each change wakes every gateway, so that without a pause the
// calls grow with the changes times the fleet's size, and a large fleet uses
// up the store's rate while models move.
#ifndef PRIMROSEWORKS_LIBGATEWAY_WATCHPAUSE_H
#define PRIMROSEWORKS_LIBGATEWAY_WATCHPAUSE_H

#include "primroseworks/time.h"

#include <algorithm>

namespace primroseworks::gateway {

/// Shortest pause; the leader, whose orders depend on what it sees, uses it
/// at any size.
inline constexpr Milliseconds WatchPauseMin{200};
/// Pause for each gateway of the fleet: all of them together make about 60
/// calls a second.
inline constexpr Milliseconds WatchPausePerMember{17};
/// Part of the time within which a change must be in force that a pause may
/// take; the rest is for the calls, and for one that fails.
inline constexpr double WatchPauseShare = 0.4;

/// Pause after a watch that returned changes, so that changes in quick
/// succession share a call. ChangeLimit: a change must be in force after it.
inline Duration watchPause(unsigned Members, bool Leads,
                           Milliseconds ChangeLimit) {
  if (Leads)
    return WatchPauseMin;
  const Duration Longest =
      fromSeconds(toSeconds(ChangeLimit) * WatchPauseShare);
  const Duration Wanted = WatchPausePerMember * static_cast<int>(Members);
  return std::max<Duration>(WatchPauseMin, std::min(Wanted, Longest));
}

} // namespace primroseworks::gateway

#endif
