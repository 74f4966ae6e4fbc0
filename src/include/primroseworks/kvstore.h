// The platform's key-value service behind one abstract interface. Another
// service is one new implementation.
#ifndef PRIMROSEWORKS_KVSTORE_H
#define PRIMROSEWORKS_KVSTORE_H

#include "primroseworks/error.h"
#include "primroseworks/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace primroseworks {

using LeaseId = std::uint64_t;

/// Largest value that the service holds, in bytes.
inline constexpr std::size_t MaxKvValueBytes = 1'000'000;

/// A key with its value; m_revision rises with every change in the store.
struct KvEntry {
  std::string m_key;
  std::string m_value;
  std::uint64_t m_revision = 0;
};

/// Answer to a compare-and-swap.
struct CasResult {
  bool m_applied = false;
  std::uint64_t m_revision = 0;     ///< Of the new entry, if applied.
  std::optional<KvEntry> m_current; ///< What stood there, if not applied.
};

/// A change seen by a watch; no value means the key was deleted.
struct KvEvent {
  std::string m_key;
  std::optional<std::string> m_value;
  std::uint64_t m_revision = 0;
};

/// Answer to a range read or a watch: what was found, and the store's revision
/// to watch from.
struct RangeResult {
  std::vector<KvEntry> m_entries;
  std::uint64_t m_revision = 0;
};
struct WatchResult {
  std::vector<KvEvent> m_events;
  std::uint64_t m_revision = 0;
};

/// Client of the key-value service. Calls block; they are safe from several
/// threads. Every call fails with Unavailable or RateLimited (nothing happened)
/// or Timeout (a write may have taken effect; settle it by reading back).
class KvStore {
public:
  virtual ~KvStore() = default;
  virtual Result<std::optional<KvEntry>> get(const std::string &Key) = 0;
  /// Replaces the value if the key's revision is Expected; 0 means absent. No
  /// Value deletes. The entry is removed when Lease ends, if one is given.
  virtual Result<CasResult>
  compareAndSwap(const std::string &Key, std::uint64_t Expected,
                 const std::optional<std::string> &Value,
                 std::optional<LeaseId> Lease = std::nullopt) = 0;
  /// All entries whose key starts with Prefix, in key order.
  virtual Result<RangeResult> range(const std::string &Prefix) = 0;
  /// Changes of keys under Prefix after revision After; waits up to Wait for
  /// the first one.
  virtual Result<WatchResult> watch(const std::string &Prefix,
                                    std::uint64_t After, Milliseconds Wait) = 0;
  virtual Result<LeaseId> grantLease(Milliseconds Ttl) = 0;
  /// Fails with NotFound when the lease has ended.
  virtual Result<void> renewLease(LeaseId Lease) = 0;
  virtual Result<void> revokeLease(LeaseId Lease) = 0;
};

/// Client of the HTTP form of the service at BaseUrl ("http://127.0.0.1:7000").
/// CallTimeout bounds every call but a watch, which gets its wait on top.
Result<std::unique_ptr<KvStore>> createHttpKvStore(const std::string &BaseUrl,
                                                   Milliseconds CallTimeout);

} // namespace primroseworks

#endif
