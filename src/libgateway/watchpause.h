// Pause between two watch calls to the metadata store.
//
// Load pattern: each change wakes up every gateway. Without a pause the number
// of calls grows with the number of changes times the size of the fleet, and a
// large fleet uses up the store's rate limit while models are moved.
#ifndef PRIMROSEWORKS_LIBGATEWAY_WATCHPAUSE_H
#define PRIMROSEWORKS_LIBGATEWAY_WATCHPAUSE_H

#include "primroseworks/time.h"

#include <algorithm>

namespace primroseworks::gateway {

/// Minimum pause. The placement leader uses it at any fleet size, because its
/// orders depend on what it sees.
inline constexpr Milliseconds MinWatchPause{200};
/// Pause per gateway of the fleet, so that all gateways together make about 60
/// calls per second.
inline constexpr Milliseconds WatchPausePerMember{17};
/// Maximum pause as a share of the time within which a change must be in
/// effect; the rest is for the calls, including a failed one.
inline constexpr double MaxWatchPauseShare = 0.4;

/// Returns the pause after a watch call that returned changes, so that changes
/// in quick succession share a call. ChangeLimit is the time after which a
/// change must be in effect.
inline Duration watchPause(unsigned Members, bool IsLeader,
                           Milliseconds ChangeLimit) {
  if (IsLeader)
    return MinWatchPause;
  const Duration Max = fromSeconds(toSeconds(ChangeLimit) * MaxWatchPauseShare);
  const Duration Wanted = WatchPausePerMember * static_cast<int>(Members);
  return std::max<Duration>(MinWatchPause, std::min(Wanted, Max));
}

} // namespace primroseworks::gateway

#endif
