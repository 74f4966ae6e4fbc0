// The platform's key-value store as the gateway uses it: calls that suspend
// the calling task and never block the process.
#ifndef PRIMROSEWORKS_LIBGATEWAY_STORE_H
#define PRIMROSEWORKS_LIBGATEWAY_STORE_H

#include "primroseworks/error.h"
#include "primroseworks/time.h"

#include <asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace primroseworks::gateway {

struct StoreItem {
  std::string m_key;
  std::string m_value;
  std::uint64_t m_revision = 0;
  std::uint64_t m_lease = 0; ///< 0: the key stays.
};

/// Items under a prefix, and the store's revision to watch from. The pages of
/// a long range are no snapshot: changes after m_revision may be included.
struct StoreRange {
  std::vector<StoreItem> m_items;
  std::uint64_t m_revision = 0;
};

/// A changed key; no value means that it was deleted.
struct StoreChange {
  std::string m_key;
  std::optional<std::string> m_value;
  std::uint64_t m_revision = 0;
  std::uint64_t m_lease = 0; ///< As in StoreItem.
};

struct StoreChanges {
  std::vector<StoreChange> m_changes;
  std::uint64_t m_revision = 0; ///< To watch from next.
  bool m_historyLost = false;   ///< Read the range again.
};

struct StoreWrite {
  std::string m_key;
  std::string m_value;
  std::uint64_t m_lease = 0; ///< 0: the key stays.
};

/// Calls fail with Unavailable or RateLimited (nothing was done), Timeout (it
/// may have been done, or may still be), or Protocol.
class MetadataStore {
public:
  virtual ~MetadataStore() = default;
  virtual asio::awaitable<Result<StoreRange>> range(std::string Prefix) = 0;
  /// Waits up to Wait for the first change after a revision.
  virtual asio::awaitable<Result<StoreChanges>>
  watch(std::string Prefix, std::uint64_t After, Milliseconds Wait) = 0;
  /// Writes if the key is absent, or in any case if OnlyIfAbsent is false;
  /// returns the revision. Fails with Conflict if it is present, with NotFound
  /// if the lease has ended.
  virtual asio::awaitable<Result<std::uint64_t>> write(StoreWrite Write,
                                                       bool OnlyIfAbsent) = 0;
  virtual asio::awaitable<Result<std::uint64_t>>
  grantLease(Milliseconds Ttl) = 0;
  /// Fails with NotFound if the lease has ended.
  virtual asio::awaitable<Result<void>> renewLease(std::uint64_t Lease) = 0;
  virtual asio::awaitable<Result<void>> revokeLease(std::uint64_t Lease) = 0;
};

} // namespace primroseworks::gateway

#endif
