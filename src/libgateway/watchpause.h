// Times of the watch calls to the metadata store: the pause between two of
// them, and how long one of them waits for a change.
//
// Load pattern: each change wakes up every gateway. Without a pause the number
// of calls grows with the number of changes times the size of the fleet, and a
// large fleet uses up the store's rate limit while models are moved.
//
// Failure: the response to a watch may be lost on a connection that stays open,
// while all other calls succeed. A watch therefore waits only so long that the
// next one still brings a change in time.
#ifndef PRIMROSEWORKS_LIBGATEWAY_WATCHPAUSE_H
#define PRIMROSEWORKS_LIBGATEWAY_WATCHPAUSE_H

#include "libgateway/store.h"

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
inline constexpr double MaxWatchPauseShare = 0.3;
/// Limits of the time for which a watch waits for a change.
inline constexpr Milliseconds MinWatchWait{100};
inline constexpr Milliseconds MaxWatchWait{4000};
/// Wait of a watch that asks what has changed already: it returns at once.
inline constexpr Milliseconds PresentChangesWait{1};
/// Time for the call that follows a failed one: a watch that finds a change
/// returns at once.
inline constexpr Milliseconds FollowingCallTime{300};
/// Delay after a failed call to the store; doubled up to the maximum with each
/// further failure.
inline constexpr Milliseconds MinStoreBackoff{100};
inline constexpr Milliseconds MaxStoreBackoff{500};

/// Shortest interval between complete lists, which are read whatever the watch
/// reported.
inline constexpr Seconds MinRelistInterval{120};
/// Longest part of a VM's 28 KB/s of control traffic for reading the
/// configuration again, in bytes per second.
inline constexpr double MaxRelistRate = 4000;

/// Returns the interval between complete lists, which include a configuration
/// of this size. The store encodes its bytes in base64.
inline Duration relistInterval(std::size_t ConfigurationBytes) {
  constexpr double Base64Growth = 4.0 / 3;
  const double Sent = static_cast<double>(ConfigurationBytes) * Base64Growth;
  return std::max<Duration>(MinRelistInterval,
                            fromSeconds(Sent / MaxRelistRate));
}

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

/// Returns how long a watch call waits for a change if the copy of the store
/// was last confirmed CopyAge ago. Although the response is lost, the next call
/// confirms the copy before it is older than ChangeLimit.
inline Milliseconds watchWait(Duration CopyAge, Milliseconds ChangeLimit) {
  const Duration Rest = ChangeLimit - CopyAge - WatchResponseMargin -
                        MinStoreBackoff - FollowingCallTime;
  return std::clamp(std::chrono::duration_cast<Milliseconds>(Rest),
                    MinWatchWait, MaxWatchWait);
}

} // namespace primroseworks::gateway

#endif
