// Counts the calls of a key-value client, because the service counts each call
// against its rates.
#ifndef PRIMROSEWORKS_COUNTINGKVSTORE_H
#define PRIMROSEWORKS_COUNTINGKVSTORE_H

#include "primroseworks/kvstore.h"

#include <cstdint>
#include <memory>

namespace primroseworks {

/// Calls since the start; failed ones included.
struct KvCallCounts {
  std::uint64_t m_reads = 0;
  std::uint64_t m_writes = 0; ///< Compare-and-swaps and lease calls.
  std::uint64_t m_watches = 0;
  std::uint64_t m_failures = 0;
};

/// A key-value client that counts. Thread safe.
class CountingKvStore : public KvStore {
public:
  virtual KvCallCounts counts() const = 0;
};

/// Counts the calls of Inner.
std::unique_ptr<CountingKvStore>
createCountingKvStore(std::unique_ptr<KvStore> Inner);

} // namespace primroseworks

#endif
