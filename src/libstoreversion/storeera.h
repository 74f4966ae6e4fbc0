// What a process knows of the store's era: which answers count, when a claim on
// a key may follow one of the former era, and how the reads and writes that
// follow a new era are spread. No I/O.
#ifndef PRIMROSEWORKS_LIBSTOREVERSION_STOREERA_H
#define PRIMROSEWORKS_LIBSTOREVERSION_STOREERA_H

#include "primroseworks/names.h"
#include "primroseworks/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace primroseworks {

/// The era of an answer compared with the highest era seen before it.
enum class EraOrder {
  Current,
  Newer,   ///< The store came back from a copy.
  Outdated ///< A delayed answer from before the store came back.
};
inline constexpr NameTable<EraOrder, 3> EraOrderNames = {
    {{EraOrder::Current, "current"},
     {EraOrder::Newer, "newer"},
     {EraOrder::Outdated, "outdated"}}};

/// Highest era seen in answers of the store. Time is a clock that also advances
/// while the VM is suspended, because it bounds leases of other processes.
template <class Time> class StoreEra {
public:
  /// Lease: duration of the leases of all processes.
  explicit StoreEra(Milliseconds Lease) : m_lease(Lease) {}

  /// An answer of the store states Era.
  EraOrder onAnswer(std::uint64_t Era, Time Now) {
    if (Era < m_era)
      return EraOrder::Outdated;
    if (Era == m_era)
      return EraOrder::Current;
    m_era = Era;
    m_claimFrom = Now + m_lease;
    return EraOrder::Newer;
  }
  std::uint64_t era() const { return m_era; }
  /// From when on a key may be claimed whose holder acts under a lease. A
  /// holder that does not know the new era acts for at most the rest of a lease
  /// that the store renewed before it came back, which was before the first
  /// sight of the era here. In era 0 there is nothing to wait for.
  Time claimFrom() const { return m_claimFrom; }

private:
  Milliseconds m_lease;
  std::uint64_t m_era = 0;
  Time m_claimFrom{};
};

/// Keys that the store lost when it came back and whose writers exist: they
/// count as present until their writers have had the time of a lease to write
/// them again.
class FormerKeys {
public:
  using Values = std::map<std::string, std::string>; ///< By key.

  /// The store came back; Known is what it had before.
  void keep(Values Known, TimePoint Until) {
    m_values = std::move(Known);
    m_until = Until;
  }
  /// The value of Key does not count any more: it was written or deleted in the
  /// new era.
  void onChanged(const std::string &Key) { m_values.erase(Key); }
  /// The keys that still count.
  const Values &values() const { return m_values; }
  /// Drops all keys when their time has passed. Returns true if this removed
  /// any.
  bool expire(TimePoint Now) {
    if (m_values.empty() || Now < m_until)
      return false;
    m_values.clear();
    return true;
  }

private:
  Values m_values;
  TimePoint m_until{};
};

/// Longest delay before a gateway reads and writes after a new era. The spread
/// keeps the fleet below the store's limits: at 400 gateways, two writes each
/// within one second are 800 of the 1,200 that the store takes.
inline constexpr Milliseconds MaxRestoreSpread{1000};

/// Range of the random delay in a fleet of Gateways.
Milliseconds restoreSpread(std::size_t Gateways);

} // namespace primroseworks

#endif
