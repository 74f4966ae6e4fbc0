// Limits that hold for the whole deployment, shared by all daemons: leased
// units and reserved starts in one key per limit.
#ifndef PRIMROSEWORKS_LIMITS_H
#define PRIMROSEWORKS_LIMITS_H

#include "primroseworks/error.h"
#include "primroseworks/kvstore.h"
#include "primroseworks/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace primroseworks {

struct SharedLimitOptions {
  std::string m_name; ///< The key is `limit/<name>`.
  std::string m_holder;
  std::uint64_t m_incarnation = 0; ///< Of the holder; unique, never reused.
  /// Units may be used this long after the last renewal was sent, less m_guard.
  Milliseconds m_ttl{15000};
  /// Half of it covers the time from tryAcquire() to the start of the
  /// operation, the other half the difference in speed of two clocks within
  /// m_ttl + m_longestOperation.
  Milliseconds m_guard{3000};
  /// No operation lasts longer, counted from its start, even when it has to be
  /// given up or its holder is gone.
  Milliseconds m_longestOperation{30000};
  Milliseconds m_renewInterval{3000}; ///< While units are held or wanted.
  Milliseconds m_retryInterval{500};  ///< Between attempts to get more units.
  Milliseconds m_idleTime{3000};      ///< Unused units are returned after it.
  /// The holder's clock, read after a call to the store has returned; the
  /// steady clock if empty.
  std::function<TimePoint()> m_clock;
};

/// One holder's part of a limit. Thread safe. sync() blocks on the store; all
/// other calls return at once. Times are those of one monotonic clock of the
/// holder; the clocks of different holders need not agree.
class SharedLimit {
public:
  /// Store must outlive the result. Fails with InvalidArgument if an option is
  /// out of range.
  static Result<std::unique_ptr<SharedLimit>>
  create(KvStore &Store, SharedLimitOptions Options);
  virtual ~SharedLimit() = default;
  /// Units of the whole limit, and starts per second of all holders together,
  /// in the configuration with this revision. 0 starts per second: starts are
  /// not spaced. The highest revision that any holder has told the store is in
  /// force.
  virtual void setLimit(unsigned Units, std::uint64_t Revision,
                        double StartsPerSecond = 0) = 0;
  /// How many units this holder could use now, those in use included.
  virtual void setWanted(unsigned Units) = 0;
  /// Takes an idle unit for one operation, and if starts are spaced, a start
  /// that sync() has reserved and that is due at Now. The caller starts the
  /// operation within half of m_guard from Now or not at all, and calls
  /// release() once.
  /// Call it right after sync(): units that others wait for are returned.
  virtual bool tryAcquire(TimePoint Now) = 0;
  /// The operation has ended, or was never started.
  virtual void release(TimePoint Now) = 0;
  /// Gets, renews and returns units in one write, if that is due. Now is read
  /// before the call. Call it every few hundred milliseconds.
  virtual Result<void> sync(TimePoint Now) = 0;
  /// Returns all units; none can be acquired afterwards. Unavailable or
  /// Timeout: they become available to others after their expiry.
  virtual Result<void> close(TimePoint Now) = 0;
  /// Every process of Holder up to incarnation UpTo is proved gone at Now. Its
  /// units become available m_longestOperation + m_guard later, without its
  /// TTL. May be called again.
  virtual void holderGone(const std::string &Holder, std::uint64_t UpTo,
                          TimePoint Now) = 0;
  virtual unsigned inUse() const = 0;
  /// Units that may be used at Now, those in use included.
  virtual unsigned held(TimePoint Now) const = 0;
  /// The limit in force, as this holder knows it.
  virtual unsigned limit() const = 0;
};

} // namespace primroseworks

#endif
