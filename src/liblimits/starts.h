// One holder's view of the starts of a limit that spaces them.
#ifndef PRIMROSEWORKS_LIBLIMITS_STARTS_H
#define PRIMROSEWORKS_LIBLIMITS_STARTS_H

#include "liblimits/record.h"
#include "primroseworks/time.h"

#include <cstdint>
#include <vector>

namespace primroseworks::pvt {

/// Reserves starts in the record of a limit, so that all starts of all holders
/// are at least an interval apart. No common clock is needed: a holder reserves
/// a start for a time by its own clock after which all earlier starts are an
/// interval past. The record tells how long after the write that is for the
/// next one. A reader counts this from a moment after it read the record, so it
/// never starts too early; it may wait too long, by the time between the write
/// and its first read. Not thread safe.
class StartSchedule {
public:
  /// Starts that are reserved for this holder and not yet taken.
  unsigned reserved() const { return static_cast<unsigned>(m_starts.size()); }
  /// Takes a reserved start that is due at Now.
  bool take(double PerSecond, TimePoint Now);
  /// Read: a time after Record was read.
  void observe(const LimitRecord &Record, TimePoint Read);
  /// Forgets starts that are past, and the last ones beyond Wanted. They are
  /// given back with the next write if nobody reserved later ones.
  void drop(unsigned Wanted, TimePoint Present);
  /// Reserves up to Count starts in Next, which replaces the record that was
  /// observed last. Sent: a time before the write is sent. Present: the time
  /// now.
  void reserve(LimitRecord &Next, unsigned Count, TimePoint Sent,
               TimePoint Present);
  /// Whether the last reserve() added starts.
  bool added() const { return !m_pending.m_added.empty(); }
  /// The write of the last reserve() has taken effect.
  void applied();

private:
  struct ReservedStart {
    std::uint64_t m_number = 0; ///< Count in the record after it.
    TimePoint m_from;
    TimePoint m_until;
    TimePoint m_freeBefore; ///< When the next start would be due without it.
  };
  /// What a write changes when it has taken effect.
  struct Reservation {
    std::vector<ReservedStart> m_added;
    std::uint64_t m_count = 0; ///< In the record.
    TimePoint m_freeAt;        ///< When the next start is due.
  };

  /// Reserved by writes known to have taken effect, in order.
  std::vector<ReservedStart> m_starts;
  Reservation m_pending; ///< Of the write that is under way.
  /// Starts in the record observed last, and by when the next one is due at the
  /// latest.
  std::uint64_t m_seenCount = 0;
  TimePoint m_freeAt;
  /// The count after this holder's last reservation. While the record shows it,
  /// nobody reserved later, and the next start is due at m_ownFreeAt.
  std::uint64_t m_ownCount = 0;
  TimePoint m_ownFreeAt;
  /// Number of the last start before m_ownFreeAt; later ones are given back.
  std::uint64_t m_ownLast = 0;
};

} // namespace primroseworks::pvt

#endif
