// Journal of requests that must not be repeated: claims before they are
// dispatched, and their results, in logs in the key-value service.
#ifndef PRIMROSEWORKS_JOURNAL_H
#define PRIMROSEWORKS_JOURNAL_H

#include "primroseworks/kvstore.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace primroseworks {

/// A claim of a key by one request.
struct JournalClaim {
  std::string m_key;       ///< `Idempotency-Key`, or the request id.
  std::string m_bodyHash;  ///< Of the request's method, path and body.
  std::string m_requestId; ///< Unique per attempt; names the claim.
  std::string m_member;    ///< Daemon that will dispatch the request.
  std::uint64_t m_incarnation = 0;
  std::string m_endpoint; ///< Where it will be dispatched; may be empty.
};

/// The whole answer of an endpoint.
struct JournalResult {
  int m_status = 0;
  std::string m_contentType;
  std::string m_body;
};

enum class ClaimOutcome {
  Granted,      ///< The claim is durable; this caller alone may dispatch,
                ///< after it checked that its own lease is still valid.
  InProgress,   ///< Another request holds the key; wait with lookup().
  Recorded,     ///< The key has a result.
  Unknown,      ///< The key's request may have run; its answer is lost.
  BodyMismatch, ///< The key belongs to a request with another body.
  Orphaned      ///< The holder is gone and left no result. Try to resume from
                ///< the endpoint, then call result() or unknown() for the
                ///< holder.
};
inline constexpr NameTable<ClaimOutcome, 6> ClaimOutcomeNames = {
    {{ClaimOutcome::Granted, "granted"},
     {ClaimOutcome::InProgress, "in_progress"},
     {ClaimOutcome::Recorded, "recorded"},
     {ClaimOutcome::Unknown, "unknown"},
     {ClaimOutcome::BodyMismatch, "body_mismatch"},
     {ClaimOutcome::Orphaned, "orphaned"}}};

/// What the journal knows about a key.
struct ClaimAnswer {
  ClaimOutcome m_outcome = ClaimOutcome::InProgress;
  JournalClaim m_holder;                 ///< The claim that holds the key.
  std::optional<JournalResult> m_result; ///< For Recorded.
};

/// One shard of the journal, local or at a remote owner. Calls block up to Wait
/// and are safe from several threads. Errors:
/// - Unavailable: the call had no effect, the store is away;
/// - Timeout: the outcome is not known yet;
/// - Closed: this owner lost the shard; the outcome is not known. Ask the
///   shard's present owner;
/// - Full (claim() only): the key is new and the journal's memory has no room
///   for it. Nothing was or will be recorded by this call, and no request holds
///   or has finished the key. No release() is needed.
class Journal {
public:
  virtual ~Journal() = default;
  /// Claims a key. Repeating a claim with the same request id is granted again.
  /// After any error the caller must not dispatch. After any error but Full it
  /// calls release() until it succeeds, because the claim may still become
  /// durable.
  virtual Result<ClaimAnswer> claim(const JournalClaim &Claim,
                                    Milliseconds Wait) = 0;
  /// The claimed request was not dispatched and will not be. Succeeds if there
  /// is no such claim (at the price of one record, which shows that this owner
  /// has not been replaced); fails with Conflict if it has a result or is
  /// unknown.
  virtual Result<void> release(const JournalClaim &Holder,
                               Milliseconds Wait) = 0;
  /// Records the answer of the holder's request. It is durable once this
  /// succeeds; after Timeout or Closed, call it again. Fails with Conflict if
  /// another request holds the key.
  virtual Result<void> result(const JournalClaim &Holder,
                              const JournalResult &Answer,
                              Milliseconds Wait) = 0;
  /// The holder's request may have run and its answer is lost. A result that is
  /// already recorded, or comes later, stands.
  virtual Result<void> unknown(const JournalClaim &Holder,
                               Milliseconds Wait) = 0;
  /// Waits while the key is in progress. Fails with NotFound if the key is not
  /// claimed (any more): the caller claims it.
  virtual Result<ClaimAnswer> lookup(const std::string &Key,
                                     const std::string &BodyHash,
                                     Milliseconds Wait) = 0;
};

/// Part of the 128 MB that a daemon may use for control.
inline constexpr std::size_t DefaultJournalBytes = 48'000'000;

/// Memory that the entries of all shards of a daemon share. Only new keys are
/// refused; results and shards that are taken over are added beyond the limit.
/// Safe from several threads.
class JournalBudget {
public:
  explicit JournalBudget(std::size_t Limit = DefaultJournalBytes)
      : m_limit(Limit) {}
  /// Adds Bytes if the limit allows it.
  bool tryAdd(std::size_t Bytes);
  void add(std::size_t Bytes) { m_used += Bytes; }
  void remove(std::size_t Bytes) { m_used -= Bytes; }
  void countRefusal() { ++m_refused; }

  std::size_t limit() const { return m_limit; }
  std::size_t used() const { return m_used; }
  std::uint64_t refused() const { return m_refused; }

private:
  const std::size_t m_limit;
  std::atomic<std::size_t> m_used{0};
  std::atomic<std::uint64_t> m_refused{0};
};

struct JournalOptions {
  unsigned m_shard = 0;
  std::string m_owner;
  std::uint64_t m_incarnation = 0;
  /// 8 shards within 100 writes/s.
  Milliseconds m_minWriteInterval{80};
  WallMillis m_retention{24LL * 3600 * 1000};
  /// Results with larger bodies are separate values.
  std::size_t m_maxInlineBody = 262'144;
  /// Shared with the daemon's other shards; empty: one of this shard alone.
  std::shared_ptr<JournalBudget> m_budget;
  /// Most bytes of one slot; below the store's limit with room for the frame.
  std::size_t m_maxSlotBytes = 900'000;
  /// Slots of the log after which a checkpoint replaces them.
  std::size_t m_checkpointSlots = 2000;
  Milliseconds m_minBackoff{20};
  Milliseconds m_maxBackoff{1000};
  /// Whether the process of a claim is gone; empty means never. It must not
  /// call the journal.
  std::function<bool(const std::string &Member, std::uint64_t Incarnation)>
      m_isGone;
  std::function<WallMillis()> m_wallClock; ///< Empty is the system's clock.
};

/// Counters of one owned shard.
struct JournalStats {
  std::uint64_t m_claims = 0; ///< Granted.
  std::uint64_t m_slotWrites = 0;
  std::uint64_t m_otherWrites = 0; ///< Checkpoints, deletes, bodies.
  std::uint64_t m_recoveredEntries = 0;
  std::size_t m_slots = 0;
  std::size_t m_entries = 0;
  std::size_t m_bytes = 0; ///< Of entries, as counted by the budget.
};

/// A shard owned by this daemon.
class JournalShard : public Journal {
public:
  virtual JournalStats stats() const = 0;
  /// Whether another owner opened the shard.
  virtual bool lost() const = 0;
  /// Removes the expired ones of the next MaxEntries keys. Keys also expire
  /// when they are looked up; calling this regularly frees the memory of the
  /// rest.
  virtual void trim(std::size_t MaxEntries) = 0;
  /// Writes what is queued, as far as the store can be reached, and stops.
  /// Waiting calls fail with Closed.
  virtual void close() = 0;
};

/// The shard of a key.
unsigned journalShardOf(const std::string &Key, unsigned Shards);

/// Reads the shard's log and opens it for this owner, which fences all others.
/// Store must outlive the result. Fails with Unavailable, RateLimited or
/// Timeout if the store cannot be reached; older owners may be fenced even
/// then, so the caller tries again.
Result<std::unique_ptr<JournalShard>> openJournalShard(KvStore &Store,
                                                       JournalOptions Options);

} // namespace primroseworks

#endif
