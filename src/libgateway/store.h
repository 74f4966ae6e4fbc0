// Interface to the platform's key-value store. Calls suspend the calling
// coroutine and never block the process.
#ifndef PRIMROSEWORKS_LIBGATEWAY_STORE_H
#define PRIMROSEWORKS_LIBGATEWAY_STORE_H

#include "libstoreversion/storeversion.h"
#include "primroseworks/error.h"
#include "primroseworks/time.h"

#include <asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace primroseworks::gateway {

struct StoreItem {
  std::string m_key;
  std::string m_value;
  StoreVersion m_version;
  std::uint64_t m_lease = 0; ///< 0: the key does not expire.
};

/// Items under a prefix, and the store's version from which to watch. A long
/// range is read in pages, which are not one snapshot: changes after m_version
/// may be included. All pages are of one era.
struct StoreRange {
  std::vector<StoreItem> m_items;
  StoreVersion m_version;
};

/// A changed key; without a value, the key was deleted.
struct StoreChange {
  std::string m_key;
  std::optional<std::string> m_value;
  StoreVersion m_version;
  std::uint64_t m_lease = 0; ///< As in StoreItem.
};

struct StoreChanges {
  std::vector<StoreChange> m_changes;
  StoreVersion m_version; ///< Version for the next watch.
  bool m_historyLost =
      false; ///< Changes are missing; the range must be read again.
};

struct StoreWrite {
  std::string m_key;
  std::string m_value;
  std::uint64_t m_lease = 0; ///< 0: the key does not expire.
};

/// A watch call fails with Timeout this long after the end of its wait.
inline constexpr Milliseconds WatchResponseMargin{900};

/// Calls fail with Unavailable or RateLimited (the operation was not executed),
/// Timeout (it may have been executed, or may still be), or Protocol.
class MetadataStore {
public:
  /// Takes the era of an answer; returns whether the answer counts.
  using EraReceiver = std::function<bool(std::uint64_t Era)>;

  virtual ~MetadataStore() = default;
  /// OnEra gets the era of each answer, also of an error, before the call
  /// returns. A call whose answer does not count fails with Timeout.
  void setOnEra(EraReceiver OnEra) { m_onEra = std::move(OnEra); }
  /// Ends a watch that waits for its answer; it fails with Timeout.
  virtual void endWatch() = 0;
  virtual asio::awaitable<Result<StoreRange>> range(std::string Prefix) = 0;
  /// Waits up to Wait for the first change after version After. If the answer
  /// is of another era than After, changes between them are missing.
  virtual asio::awaitable<Result<StoreChanges>>
  watch(std::string Prefix, StoreVersion After, Milliseconds Wait) = 0;
  /// Writes if the key is absent, or unconditionally if OnlyIfAbsent is false;
  /// returns the version. Fails with Conflict if it is present, with NotFound
  /// if the lease has ended.
  virtual asio::awaitable<Result<StoreVersion>> write(StoreWrite Write,
                                                      bool OnlyIfAbsent) = 0;
  virtual asio::awaitable<Result<std::uint64_t>>
  grantLease(Milliseconds Ttl) = 0;
  /// Fails with NotFound if the lease has ended.
  virtual asio::awaitable<Result<void>> renewLease(std::uint64_t Lease) = 0;
  virtual asio::awaitable<Result<void>> revokeLease(std::uint64_t Lease) = 0;

protected:
  /// To be called with the era of each answer; whether the answer counts.
  bool admit(std::uint64_t Era) const { return !m_onEra || m_onEra(Era); }

private:
  EraReceiver m_onEra;
};

} // namespace primroseworks::gateway

#endif
