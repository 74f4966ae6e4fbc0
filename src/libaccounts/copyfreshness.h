// Age limits of this VM's copy of the configuration, by which a removed API key
// stops working also at a VM without contact to the store, and by which no
// caller is refused for good because of a copy that misses a change.
//
// Failure: a VM is frozen or cut off while a key is removed or added. It may go
// on with its copy only while a store call that it sent recently enough, or a
// relay of such a call, has confirmed the copy. Times are on a clock that runs
// on while the VM is frozen. No I/O.
#ifndef PRIMROSEWORKS_LIBACCOUNTS_COPYFRESHNESS_H
#define PRIMROSEWORKS_LIBACCOUNTS_COPYFRESHNESS_H

#include "primroseworks/error.h"
#include "primroseworks/time.h"

#include <optional>

namespace primroseworks {

/// Time since the VM's boot, including the time for which it was frozen.
using BootDuration = std::chrono::nanoseconds;

struct FreshnessLimits {
  /// A removed key must have stopped working within this time; 0: the age of
  /// the copy has no limit.
  Milliseconds m_limit{0};
  /// Requests with keys are refused while the copy is stale.
  bool m_strict = false;
  /// Any change must be in effect within this time; 0: no limit.
  Milliseconds m_changeLimit{0};
};

/// Time from the check of a key until the request is at the endpoint; the copy
/// is stale this long before the limit.
inline constexpr Milliseconds FreshnessMargin{500};
/// The event loop has stalled if it did not run for this long. Decoding a
/// configuration with 100,000 keys takes a VM of 0.12 of a core about as long.
inline constexpr Milliseconds LoopStallLimit{1000};
/// Added to the age in a relay: for this long a datagram may have been on its
/// way or in the socket's buffer without a stall being noticed.
inline constexpr Milliseconds RelayTransitLimit = LoopStallLimit;
/// Relays confirm nothing for this long after a stall, until the datagrams that
/// arrived during it have been read.
inline constexpr Milliseconds RelaySettleTime{1000};
/// A confirming call is due this long before the copy is stale, but not before
/// half of the time.
inline constexpr Milliseconds ConfirmLeadTime{1500};
/// The same before the copy may miss changes. Shorter, since a request that is
/// refused then may be sent again.
inline constexpr Milliseconds ChangeConfirmLeadTime{500};

class CopyFreshness {
public:
  /// Fails with InvalidArgument if the limit leaves no time after the margin.
  static Result<CopyFreshness> create(FreshnessLimits Limits);

  /// To be called often by a timer; notices stalls of the event loop. Returns
  /// the length of a stall that ended now.
  std::optional<Duration> onTick(BootDuration Now);
  /// The answer to a store call that was sent at SentAt showed that the copy
  /// was the newest version then.
  void onConfirmed(BootDuration SentAt, BootDuration Now);
  /// A relay showed the same for a call that another VM sent Age ago, as stated
  /// when the relay was sent.
  void onRelayed(Duration Age, BootDuration Now);
  /// Whether this VM knows of changes that are not in the copy yet.
  void setChangesMissing(bool Missing) { m_changesMissing = Missing; }

  /// Whether a key in the copy may have been removed too long ago. Notices a
  /// stall that onTick() has not seen yet.
  bool isStale(BootDuration Now);
  /// Whether what is not in the copy, such as a key or a route, may be in a
  /// version that must be in effect already. Such a request must not be refused
  /// for good.
  bool mayMissChanges(BootDuration Now);
  bool changesMissing() const { return m_changesMissing; }
  /// Whether requests with keys are refused.
  bool refusesKeys(BootDuration Now) {
    return m_limits.m_strict && isStale(Now);
  }
  /// Whether a call that confirms the copy should be sent now, so that Lead is
  /// left for it and its repetitions.
  bool needsConfirmation(BootDuration Now, Duration Lead = ConfirmLeadTime);
  /// Time since the call that confirmed the copy last was sent; nothing if none
  /// did since the start or the last stall.
  std::optional<Duration> age(BootDuration Now) const;
  bool limited() const { return revokeLimited() || changeLimited(); }

private:
  explicit CopyFreshness(FreshnessLimits Limits) : m_limits(Limits) {}
  void noticeStall(BootDuration Now);
  bool revokeLimited() const { return m_limits.m_limit > Milliseconds::zero(); }
  bool changeLimited() const {
    return m_limits.m_changeLimit > Milliseconds::zero();
  }
  Duration maxAge() const { return m_limits.m_limit - FreshnessMargin; }
  Duration maxChangeAge() const;
  bool isOlderThan(Duration Limit, BootDuration Now) const;

  FreshnessLimits m_limits;
  /// When the event loop was last seen running; empty before the first time.
  std::optional<BootDuration> m_lastRun;
  /// Only calls that were sent since then confirm the copy.
  BootDuration m_validFrom{0};
  /// End of the last stall, if there was one.
  std::optional<BootDuration> m_stallEnd;
  /// Longest stall since onTick() last returned one.
  Duration m_unreportedStall{};
  /// Sending time of the newest confirming call; never before m_validFrom.
  std::optional<BootDuration> m_confirmedAt;
  bool m_changesMissing = false;
};

} // namespace primroseworks

#endif
