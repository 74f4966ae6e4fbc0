// Reservation of starts in the record of a limit.
#include "liblimits/starts.h"

#include <algorithm>
#include <iterator>

namespace primroseworks::pvt {

namespace {

// Starts are reserved at most this far ahead; those of a dead holder are lost.
constexpr Seconds MaxReserve{10};

// A start that is due at once has to wait for the answer of its own write.
constexpr Milliseconds WriteAllowance{200};

// A holder that does not take a start within its window loses it, and the next
// start is due an interval after the end of the window. A tenth of the interval
// costs at most a tenth of the rate. 100 ms are five polls of a waiting load;
// below 20 ms a start could pass between two polls.
constexpr Milliseconds MinWindow{20};
constexpr Milliseconds MaxWindow{100};

/// Time by this holder's clock that is at least Time by another's, which may
/// differ in speed by less than 1 in 128.
Duration byAnyClock(Duration Time) { return Time + Time / 128; }

Duration intervalOf(double PerSecond) {
  return byAnyClock(fromSeconds(1 / PerSecond));
}

Duration windowOf(double PerSecond) {
  return std::clamp<Duration>(fromSeconds(0.1 / PerSecond), MinWindow,
                              MaxWindow);
}

} // namespace

bool StartSchedule::take(double PerSecond, TimePoint Now) {
  auto Due =
      std::find_if(m_starts.begin(), m_starts.end(),
                   [&](const ReservedStart &S) { return Now <= S.m_until; });
  if (Due == m_starts.end() || Now < Due->m_from)
    return false;
  if (Due->m_number == m_ownLast)
    m_ownFreeAt = std::min(m_ownFreeAt, Now + intervalOf(PerSecond));
  m_starts.erase(Due);
  return true;
}

void StartSchedule::observe(const LimitRecord &Record, TimePoint Read) {
  TimePoint FreeAt = Read + byAnyClock(Record.m_untilFree);
  // A key that was deleted and made anew counts from 0 again.
  if (Record.m_starts < m_seenCount)
    m_ownCount = m_ownLast = 0;
  m_freeAt =
      Record.m_starts == m_seenCount ? std::min(m_freeAt, FreeAt) : FreeAt;
  m_seenCount = Record.m_starts;
}

void StartSchedule::drop(unsigned Wanted, TimePoint Present) {
  while (!m_starts.empty() &&
         (reserved() > Wanted || m_starts.back().m_until < Present)) {
    if (m_starts.back().m_number == m_ownLast) {
      m_ownFreeAt = std::min(m_ownFreeAt, m_starts.back().m_freeBefore);
      --m_ownLast;
    }
    m_starts.pop_back();
  }
  auto Past = [&](const ReservedStart &S) { return S.m_until < Present; };
  m_starts.erase(std::remove_if(m_starts.begin(), m_starts.end(), Past),
                 m_starts.end());
}

void StartSchedule::reserve(LimitRecord &Next, unsigned Count, TimePoint Sent,
                            TimePoint Present) {
  m_pending = {};
  bool IsLast = m_ownCount != 0 && m_ownCount == m_seenCount;
  TimePoint FreeAt = IsLast ? std::min(m_freeAt, m_ownFreeAt) : m_freeAt;
  const double PerSecond = Next.m_startsPerSecond;
  std::uint64_t Number = m_seenCount;
  for (; PerSecond > 0 && Count > 0 && FreeAt < Present + MaxReserve; --Count) {
    ReservedStart S;
    S.m_number = ++Number;
    S.m_freeBefore = FreeAt;
    S.m_from = std::max(Present, FreeAt);
    S.m_until =
        std::max(S.m_from, Present + WriteAllowance) + windowOf(PerSecond);
    FreeAt = S.m_until + intervalOf(PerSecond);
    m_pending.m_added.push_back(S);
  }
  m_pending.m_count = Number;
  m_pending.m_freeAt = FreeAt;
  Next.m_starts = Number;
  Next.m_untilFree =
      std::max(Milliseconds(0), std::chrono::ceil<Milliseconds>(FreeAt - Sent));
}

void StartSchedule::applied() {
  m_seenCount = m_pending.m_count;
  m_freeAt = m_pending.m_freeAt;
  if (m_pending.m_added.empty())
    return;
  m_ownCount = m_ownLast = m_pending.m_count;
  m_ownFreeAt = m_pending.m_freeAt;
  m_starts.insert(m_starts.end(), m_pending.m_added.begin(),
                  m_pending.m_added.end());
  m_pending.m_added.clear();
}

} // namespace primroseworks::pvt
