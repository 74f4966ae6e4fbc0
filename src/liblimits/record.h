// The value of a limit's key: who holds how many units, and when the next
// operation may start.
#ifndef PRIMROSEWORKS_LIBLIMITS_RECORD_H
#define PRIMROSEWORKS_LIBLIMITS_RECORD_H

#include "primroseworks/error.h"
#include "primroseworks/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace primroseworks::pvt {

/// Units of one holder, keyed by its incarnation.
struct LimitEntry {
  std::string m_holder;
  std::uint64_t m_renewal = 0; ///< Rises with each write of the holder.
  unsigned m_units = 0;
  unsigned m_wanted = 0; ///< Units it could use, those it has included.
};

struct LimitRecord {
  unsigned m_limit = 0;
  std::uint64_t m_limitRevision = 0; ///< Of the limit and the rate.
  double m_startsPerSecond = 0;      ///< Of all holders; 0: not spaced.
  std::uint64_t m_starts = 0;        ///< Starts reserved since the key exists.
  /// All reserved starts are at least one interval past, this long after the
  /// write of the record took effect.
  Milliseconds m_untilFree{0};
  std::map<std::uint64_t, LimitEntry> m_entries;

  /// Sum over all entries. No write raises an entry's units when the sum would
  /// exceed m_limit.
  unsigned total() const;
  std::string encode() const;
  /// Protocol if the text is not a record.
  static Result<LimitRecord> decode(const std::string &Text);
};

} // namespace primroseworks::pvt

#endif
