// An in-memory key-value service and a fault layer over any KvStore. The
// stand-in process serves them over HTTP; tests use them directly.
#ifndef PRIMROSEWORKS_MEMORYKVSTORE_H
#define PRIMROSEWORKS_MEMORYKVSTORE_H

#include "primroseworks/kvstore.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace primroseworks {

/// Calls that a store took, and calls that it refused because of its rates.
/// Lease calls count as writes; a watch counts once, however long it waits.
struct KvCounters {
  std::uint64_t m_reads = 0;
  std::uint64_t m_writes = 0;
  std::uint64_t m_watches = 0;
  std::uint64_t m_rateLimited = 0;
};

struct MemoryKvOptions {
  double m_readsPerSecond = 0;  ///< Reads and watches; 0 is no limit.
  double m_writesPerSecond = 0; ///< Writes and lease calls; 0 is no limit.
  /// Source of the present time for leases and rates; empty is steady_clock.
  std::function<TimePoint()> m_clock;
  /// Changes kept for watches. A watch from an older revision fails with
  /// NotFound; its caller reads the range again.
  std::size_t m_historyLength = 100'000;
};

/// The whole service in memory. Thread safe. Leases end by m_clock; the wait of
/// a watch is real time.
class MemoryKvStore : public KvStore {
public:
  /// Fails with InvalidArgument if an option is out of range.
  static Result<std::unique_ptr<MemoryKvStore>> create(MemoryKvOptions Options);
  virtual KvCounters counters() const = 0;
  /// Ends waiting watches and every later one at once (they return without
  /// events), so that a serving process can stop.
  virtual void stopWatches() = 0;
};

/// Chances of faults per call, each from 0 to 1, drawn from a seeded generator.
struct KvFaultRates {
  double m_unavailable = 0;  ///< Any call fails; nothing happens.
  double m_lostAnswer = 0;   ///< A write takes effect and returns Timeout.
  double m_lostWrite = 0;    ///< A write has no effect and returns Timeout.
  double m_delayedWrite = 0; ///< A write returns Timeout and takes effect when
                             ///< a later call is made.
  std::uint64_t m_seed = 1;
};

/// Passes calls to another store, with faults that can be switched at any time.
/// Thread safe. Writes are compare-and-swap and the lease calls.
class FaultyKvStore : public KvStore {
public:
  /// Target must outlive the result.
  static std::unique_ptr<FaultyKvStore> create(KvStore &Target);
  /// While set, every call fails with Unavailable.
  virtual void setOutage(bool On) = 0;
  /// Delays every call by this much (real time).
  virtual void setSlowness(Milliseconds Delay) = 0;
  /// The next Count writes take effect, but return Timeout.
  virtual void loseAnswers(unsigned Count) = 0;
  /// The next Count writes have no effect and return Timeout.
  virtual void loseWrites(unsigned Count) = 0;
  /// The next Count compare-and-swaps return Timeout and take effect only with
  /// applyDelayedWrites().
  virtual void delayWrites(unsigned Count) = 0;
  virtual void applyDelayedWrites() = 0;
  /// While set, a watch waits its full time and reports nothing.
  virtual void setSilentWatch(bool On) = 0;
  /// Only calls whose key or prefix starts with Prefix meet faults; lease calls
  /// meet them if Prefix is empty.
  virtual void setFaultPrefix(std::string Prefix) = 0;
  virtual void setRates(KvFaultRates Rates) = 0;
  /// Calls that met a fault.
  virtual std::uint64_t faults() const = 0;
};

} // namespace primroseworks

#endif
