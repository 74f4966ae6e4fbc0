// State of an owned shard of the journal. Its functions are in journal.cpp
// (calls), memory.cpp (memory and expiry), body.cpp (large bodies),
// committer.cpp (writing), recovery.cpp and checkpoint.cpp.
#ifndef PRIMROSEWORKS_LIBJOURNAL_SHARD_H
#define PRIMROSEWORKS_LIBJOURNAL_SHARD_H

#include "libjournal/record.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

namespace primroseworks::pvt {

using Clock = std::chrono::steady_clock;

/// How a claim that holds its key was finished.
enum class Finish { None, Release, Result, Unknown };

/// State of one key. A record is durable once its sequence is at most the
/// shard's durable sequence.
struct Entry {
  JournalClaim m_claim;
  WallMillis m_at{0};
  std::uint64_t m_claimSequence = 0;
  Finish m_finish = Finish::None;
  std::uint64_t m_finishSequence = 0;
  JournalResult m_result;
  std::size_t m_parts = 0;
  std::size_t m_bytes = 0;  ///< Counted by the budget.
  bool m_failed = false;    ///< The claim was certainly not written.
  bool m_abandoned = false; ///< Nobody waits for the claim any more.
};
using EntryPtr = std::shared_ptr<Entry>;

struct Queued {
  std::uint64_t m_sequence = 0;
  RecordKind m_kind = RecordKind::Claim;
  std::string m_text;
  EntryPtr m_entry;
};

/// Most bytes of a claim's texts and of a content type, so that any record fits
/// a slot beside an inline body.
inline constexpr std::size_t MaxClaimBytes = 8192;

/// Memory of an entry. A running one includes room for the end of its request,
/// apart from the body of the result.
std::size_t entryBytes(const Entry &E);

/// Room in a budget that is given back unless it is taken.
class BudgetHold {
public:
  explicit BudgetHold(JournalBudget &Budget) : m_budget(Budget) {}
  ~BudgetHold() { m_budget.remove(m_bytes); }
  BudgetHold(const BudgetHold &) = delete;
  BudgetHold &operator=(const BudgetHold &) = delete;
  bool tryAdd(std::size_t Bytes);
  std::size_t take() { return std::exchange(m_bytes, 0); }

private:
  JournalBudget &m_budget;
  std::size_t m_bytes = 0;
};

enum class WriteOutcome {
  Applied,
  NotApplied, ///< Certainly not, and it will not be.
  Fenced,     ///< Another owner has the slot.
  Unsettled   ///< Not known; only when the shard closes.
};

class JournalShardImpl final : public JournalShard {
public:
  JournalShardImpl(KvStore &Store, JournalOptions Options);
  ~JournalShardImpl() override;
  JournalShardImpl(const JournalShardImpl &) = delete;
  JournalShardImpl &operator=(const JournalShardImpl &) = delete;

  Result<void> open();

  Result<ClaimAnswer> claim(const JournalClaim &Claim,
                            Milliseconds Wait) override;
  Result<void> release(const JournalClaim &Holder, Milliseconds Wait) override;
  Result<void> result(const JournalClaim &Holder, const JournalResult &Answer,
                      Milliseconds Wait) override;
  Result<void> unknown(const JournalClaim &Holder, Milliseconds Wait) override;
  Result<ClaimAnswer> lookup(const std::string &Key,
                             const std::string &BodyHash,
                             Milliseconds Wait) override;
  JournalStats stats() const override;
  bool lost() const override {
    std::lock_guard<std::mutex> Lock(m_mutex);
    return m_lost;
  }
  void trim(std::size_t MaxEntries) override;
  void close() override { closeNow(); }

private:
  using Lock = std::unique_lock<std::mutex>;

  // Called with the lock held.
  EntryPtr find(const std::string &Key);
  std::uint64_t enqueue(RecordKind Kind, const EntryPtr &E);
  Result<void> awaitDurable(Lock &L, std::uint64_t Sequence, const Entry *E,
                            TimePoint Deadline);
  ClaimAnswer describe(const Entry &E) const;
  void finishDurable(const std::vector<Queued> &Done);
  void rollBack(std::vector<Queued> Failed);
  void failQueuedClaims();
  void eraseEntry(const std::string &Key, const EntryPtr &E);
  void charge(Entry &E);
  Result<EntryPtr> newEntry(Lock &L, const JournalClaim &Claim,
                            TimePoint Deadline);
  Result<EntryPtr> holderEntry(Lock &L, const JournalClaim &Holder,
                               TimePoint Deadline);
  Result<void> confirmOwner(Lock &L, TimePoint Deadline);
  std::vector<Queued> takeBatch();
  bool stopped() const { return m_closing || m_lost; }

  // Called without the lock.
  Result<ClaimAnswer> withBody(ClaimAnswer Answer, std::size_t Parts);
  Result<std::size_t> placeBody(const JournalClaim &Holder,
                                const std::string &Body, BudgetHold &Room);
  Result<std::size_t> writeBody(const JournalClaim &Holder,
                                const std::string &Body);
  std::string slotKey(std::uint64_t Slot) const;
  std::string bodyKey(const JournalClaim &Holder, std::size_t Part) const;
  Result<std::uint64_t> readMarker(std::uint64_t &Revision);
  WriteOutcome writeSlot(const std::string &Text);
  WriteOutcome confirmSlot(std::uint64_t Revision);
  bool backOff();
  void setAway(bool Away);
  void closeNow();
  void runCommitter();
  bool waitForWork();
  void waitForInterval();
  void commitBatch();
  void probe();
  std::string frame(bool Checkpoint, const std::vector<std::string> &Records);

  // Recovery and checkpoints.
  Result<void> recover();
  Result<void> applySlot(std::uint64_t Number, const KvEntry &Slot);
  Result<bool> createOpenRecord();
  void applyRecord(const Record &R, bool Checkpoint);
  void maintain();
  bool maintenanceDue() const;
  void writeCheckpoint();
  void moveMarker();
  void deleteOldSlot();
  void deleteDeadBody();
  std::vector<std::string> nextCheckpointRecords(std::string &Cursor,
                                                 bool &Complete);

  KvStore &m_store;
  JournalOptions m_options;
  const std::string m_prefix;
  /// Slots below the marker's number were replaced by a checkpoint. Every owner
  /// reads it after each create: a slot that was taken by a successor and
  /// deleted again can be created, but it lies below the marker.
  const std::string m_markerKey;

  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, EntryPtr> m_entries;
  std::deque<Queued> m_queue;
  std::uint64_t m_lastSequence = 0;
  std::uint64_t m_durableSequence = 0;
  bool m_lost = false;
  bool m_closing = false;
  bool m_away = false; ///< The store refused or lost the last call.
  JournalStats m_stats;
  std::deque<std::string> m_deadBodies;
  std::string m_trimCursor; ///< Last key that trim() looked at.

  // Only the committer, once it runs.
  std::uint64_t m_nextSlot = 0;
  /// Starts at the time, so that one incarnation that opens the shard twice
  /// never writes two batches of equal text.
  std::uint64_t m_batchNumber =
      static_cast<std::uint64_t>(Clock::now().time_since_epoch().count());
  std::map<std::uint64_t, std::uint64_t> m_slots; ///< Number to revision.
  TimePoint m_lastWrite;
  Milliseconds m_backoff{0};
  enum class Phase { Idle, Writing, Marking, Deleting };
  Phase m_phase = Phase::Idle;
  std::uint64_t m_checkpointStart = 0;
  std::string m_cursor;
  std::thread m_committer;
};

} // namespace primroseworks::pvt

#endif
