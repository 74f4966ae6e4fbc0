// The memory ledger of an accelerator: which artifacts are or may become
// resident. It is kept in the record `endpoint/<id>`, so that reservations
// outlive the daemon that made them.
#ifndef PRIMROSEWORKS_LEDGER_H
#define PRIMROSEWORKS_LEDGER_H

#include "primroseworks/engine.h"
#include "primroseworks/kvstore.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace primroseworks {

inline constexpr const char *EndpointPrefix = "endpoint/";

/// Longest time between the sending of an order and its arrival at the engine.
inline constexpr Seconds LongestOrderDelay{30};

/// Longest time by which an engine's report lags behind its state.
inline constexpr Seconds LongestReportLag{5};

/// A load order that was recorded and could still make its artifact resident.
struct PendingClaim {
  std::string m_orderId;
  std::string m_member; ///< Daemon that recorded it.
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_fence = 0;
};

/// All claims of one artifact; it has at least one.
struct ArtifactClaims {
  std::uint64_t m_bytes = 0;
  bool m_resident = false; ///< The engine's report confirms it.
  std::vector<PendingClaim> m_pending;
};

/// Claims on one accelerator. A pure value: commits go through EndpointLedger.
class MemoryLedger {
public:
  /// Nothing fits until the first report tells the size.
  MemoryLedger() = default;
  MemoryLedger(std::uint64_t SizeBytes, std::uint64_t ReservedBytes);

  /// Adds a pending claim. Fails with Conflict if the artifact does not fit,
  /// and with InvalidArgument if it has no size. Repeating an order id changes
  /// nothing.
  Result<void> claimLoad(const Artifact &Wanted, std::uint64_t Bytes,
                         const PendingClaim &Claim);
  /// Takes over what a report shows. IsOver tells whether the order of a
  /// pending claim can no longer make its artifact resident after the state
  /// that the report shows. A report that is not newer than the last one of
  /// its run is ignored. Returns whether a claim changed.
  bool observe(const LoadReport &Report,
               const std::function<bool(const PendingClaim &)> &IsOver);
  /// Fixed reservation for the cache. Fails with Conflict if it does not fit.
  Result<void> setReserved(std::uint64_t Bytes);

  std::uint64_t sizeBytes() const { return m_sizeBytes; }
  std::uint64_t reservedBytes() const { return m_reservedBytes; }
  /// Sum over the reservation and all claimed artifacts, each counted once.
  std::uint64_t committedBytes() const;
  std::uint64_t freeBytes() const;
  const std::map<Artifact, ArtifactClaims> &claims() const { return m_claims; }
  /// Changes after which committedBytes() exceeded sizeBytes(). Claims cannot
  /// cause one; a report of memory that nobody claimed can.
  std::uint64_t violations() const { return m_violations; }

private:
  friend struct EndpointRecordCodec;
  void checkInvariant();
  bool isNewer(const LoadReport &Report) const;

  std::uint64_t m_sizeBytes = 0;
  std::uint64_t m_reservedBytes = 0;
  /// Run and sequence of the last report taken over. Resident claims were
  /// confirmed no later than it, so a newer report without them shows that
  /// they left.
  std::uint64_t m_run = 0;
  std::uint64_t m_sequence = 0;
  /// Invariant: committedBytes() <= m_sizeBytes, checked on each change.
  std::map<Artifact, ArtifactClaims> m_claims;
  std::uint64_t m_violations = 0;
};

/// Value of `endpoint/<id>`.
struct EndpointRecord {
  std::string m_owner; ///< Empty after a planned hand-over.
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_fence = 0; ///< Rises with each change of owner.
  /// Rises with each write, so that two writes never have the same text.
  std::uint64_t m_write = 0;
  MemoryLedger m_ledger;
};

std::string encodeEndpoint(const EndpointRecord &Record);
/// Fails with Protocol if Text is not an endpoint record.
Result<EndpointRecord> decodeEndpoint(const std::string &Text);

/// A record with its revision; 0 means that the key is absent.
struct StoredEndpoint {
  EndpointRecord m_record;
  std::uint64_t m_revision = 0;
};

/// Reads `endpoint/<Id>`; a default record with revision 0 if it is absent.
Result<StoredEndpoint> readEndpoint(KvStore &Store, const std::string &Id);

/// Replaces the record that Base describes. Settles lost answers by reading
/// back. Fails with Conflict if the record changed, and with Timeout if the
/// outcome could not be determined.
Result<StoredEndpoint> writeEndpoint(KvStore &Store, const std::string &Id,
                                     const StoredEndpoint &Base,
                                     EndpointRecord Next);

/// The ledger of one owned endpoint, committed to the store. Thread safe.
class EndpointLedger {
public:
  virtual ~EndpointLedger() = default;
  /// Applies Change to a copy of the ledger and commits the result in one
  /// write, or in none if Change fails or returns false (nothing changed).
  /// Fails with Closed once another daemon owns the record, with Unavailable
  /// if nothing was committed, and with Timeout if that is not known; orders
  /// of the change must not be sent in any of these cases. Change may be
  /// called several times.
  virtual Result<void>
  commit(const std::function<Result<bool>(MemoryLedger &)> &Change) = 0;
  /// The ledger as last committed.
  virtual MemoryLedger ledger() const = 0;
  virtual StoredEndpoint stored() const = 0;
  virtual bool lost() const = 0;
};

/// Ledger of endpoint Id, whose record Owned names this daemon as owner.
std::unique_ptr<EndpointLedger>
createEndpointLedger(KvStore &Store, std::string Id, StoredEndpoint Owned);

/// Decides when a recorded order can no longer take effect. An order is over
/// when all of these hold, in this order:
/// 1. no copy of it can arrive any more: LongestOrderDelay passed since the
///    sending process finished sending or was proved gone, or the engine
///    refuses old fencing numbers and has accepted a newer one;
/// 2. the engine, asked after that, does not say that it is in progress;
/// 3. the report that decides about the claim shows a state after that answer.
/// One tracker per owned endpoint. Not thread safe.
class OrderTracker {
public:
  explicit OrderTracker(bool ChecksFencing) : m_checksFencing(ChecksFencing) {}

  /// The call that sent the order returned, and it will not be sent again.
  void sendFinished(const std::string &OrderId, TimePoint Now);
  /// The order was recorded, but it was not and will not be sent; or an
  /// operator cleared its claim.
  void neverSent(const std::string &OrderId);
  /// Every process of Member with an incarnation up to UpTo is proved gone: the
  /// VM list lacks the VM, or a newer incarnation of the name was seen.
  void processGone(const std::string &Member, std::uint64_t UpTo,
                   TimePoint Now);
  /// Looks for a newer fencing number that the engine accepted.
  void reportSeen(const MemoryLedger &Ledger, const LoadReport &Report,
                  TimePoint Now);
  /// Orders whose state the owner must ask the engine for now.
  std::vector<std::string> ordersToAsk(const MemoryLedger &Ledger,
                                       TimePoint Now) const;
  /// The engine's answer to a question that was sent at AskedAt.
  void orderState(const MemoryLedger &Ledger, const std::string &OrderId,
                  OrderState State, TimePoint AskedAt, TimePoint Now);
  /// Whether the order is over before the state that a report requested at
  /// RequestedAt shows.
  bool isOver(const PendingClaim &Claim, TimePoint RequestedAt) const;
  /// Forgets orders without a claim.
  void prune(const MemoryLedger &Ledger);

private:
  struct Gone {
    std::uint64_t m_upTo = 0;
    TimePoint m_since;
  };
  std::optional<TimePoint> arrivalEnd(const PendingClaim &Claim) const;

  bool m_checksFencing;
  std::map<std::string, TimePoint> m_finished; ///< Order id to end of sending.
  std::map<std::string, TimePoint> m_fenced;   ///< Order id to first proof.
  std::map<std::string, TimePoint> m_settled;  ///< Order id to engine's answer.
  std::map<std::string, bool> m_neverSent;
  /// Proofs per member; one entry per incarnation bound.
  std::map<std::string, std::vector<Gone>> m_gone;
};

} // namespace primroseworks

#endif
