// Writing of slots, and group commit of what is queued.
#include "libjournal/shard.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>

namespace primroseworks::pvt {

using nlohmann::json;

std::string JournalShardImpl::slotKey(std::uint64_t Slot) const {
  std::array<char, 24> Text{};
  std::snprintf(Text.data(), Text.size(), "%016" PRIu64, Slot);
  return m_prefix + Text.data();
}

std::string JournalShardImpl::frame(bool Checkpoint,
                                    const std::vector<std::string> &Records) {
  Batch Frame;
  Frame.m_owner = m_options.m_owner;
  Frame.m_incarnation = m_options.m_incarnation;
  Frame.m_number = ++m_batchNumber;
  Frame.m_checkpoint = Checkpoint;
  return encodeBatch(Frame, Records);
}

void JournalShardImpl::setAway(bool Away) {
  std::lock_guard<std::mutex> L(m_mutex);
  m_away = Away;
  if (Away)
    failQueuedClaims();
  else
    m_backoff = Milliseconds(0);
  m_changed.notify_all();
}

/// Waits before the next attempt; false when the shard closes.
bool JournalShardImpl::backOff() {
  m_backoff =
      std::clamp(m_backoff * 2, m_options.m_minBackoff, m_options.m_maxBackoff);
  Lock L(m_mutex);
  return !m_changed.wait_for(L, m_backoff, [this] { return stopped(); });
}

/// Creates the next slot. After a lost answer the same text is written again
/// until the slot is taken: by an earlier attempt, by this one, or by another
/// owner. So a write that takes effect late cannot be missed.
WriteOutcome JournalShardImpl::writeSlot(const std::string &Text) {
  bool MayHaveApplied = false;
  while (true) {
    Result<CasResult> Answer =
        m_store.compareAndSwap(slotKey(m_nextSlot), 0, Text);
    if (Answer && Answer.value().m_applied)
      return confirmSlot(Answer.value().m_revision);
    if (Answer) {
      const KvEntry &Current = *Answer.value().m_current;
      return Current.m_value == Text ? confirmSlot(Current.m_revision)
                                     : WriteOutcome::Fenced;
    }
    MayHaveApplied |= Answer.error().m_kind == ErrorKind::Timeout;
    setAway(true);
    if (!MayHaveApplied)
      return WriteOutcome::NotApplied;
    if (!backOff())
      return WriteOutcome::Unsettled;
  }
}

Result<std::uint64_t> JournalShardImpl::readMarker(std::uint64_t &Revision) {
  BOOST_OUTCOME_TRY(Entry, m_store.get(m_markerKey));
  Revision = Entry ? Entry->m_revision : 0;
  if (!Entry)
    return std::uint64_t{0};
  const json Value = json::parse(Entry->m_value, nullptr, false);
  if (!Value.is_number_unsigned())
    return makeError(ErrorKind::Protocol,
                     "key '" + m_markerKey +
                         "' is not a number; an operator must repair it");
  return Value.get<std::uint64_t>();
}

/// Checks that the created slot lies in the live part of the log.
WriteOutcome JournalShardImpl::confirmSlot(std::uint64_t Revision) {
  while (true) {
    std::uint64_t MarkerRevision = 0;
    Result<std::uint64_t> Marker = readMarker(MarkerRevision);
    if (Marker && Marker.value() > m_nextSlot)
      return WriteOutcome::Fenced;
    if (Marker) {
      m_slots[m_nextSlot++] = Revision;
      setAway(false);
      return WriteOutcome::Applied;
    }
    setAway(true);
    if (!backOff())
      return WriteOutcome::Unsettled;
  }
}

void JournalShardImpl::failQueuedClaims() {
  std::vector<Queued> All(std::make_move_iterator(m_queue.begin()),
                          std::make_move_iterator(m_queue.end()));
  m_queue.clear();
  rollBack(std::move(All));
}

/// Takes back records that were certainly not written: claims fail, all others
/// are queued again, before those that came later.
void JournalShardImpl::rollBack(std::vector<Queued> Failed) {
  for (const Queued &Q : Failed)
    if (Q.m_kind == RecordKind::Claim) {
      Q.m_entry->m_failed = true;
      eraseEntry(Q.m_entry->m_claim.m_key, Q.m_entry);
    }
  for (auto It = Failed.rbegin(); It != Failed.rend(); ++It) {
    const bool Void =
        It->m_entry->m_failed &&
        (It->m_kind == RecordKind::Claim || It->m_kind == RecordKind::Release);
    if (!Void)
      m_queue.push_front(std::move(*It));
  }
  m_changed.notify_all();
}

void JournalShardImpl::finishDurable(const std::vector<Queued> &Done) {
  m_durableSequence = std::max(m_durableSequence, Done.back().m_sequence);
  for (const Queued &Q : Done) {
    Entry &E = *Q.m_entry;
    if (Q.m_kind == RecordKind::Release)
      eraseEntry(E.m_claim.m_key, Q.m_entry);
    if (Q.m_kind == RecordKind::Claim && E.m_abandoned &&
        E.m_finish == Finish::None) {
      E.m_finish = Finish::Release;
      E.m_finishSequence = enqueue(RecordKind::Release, Q.m_entry);
    }
  }
  m_changed.notify_all();
}

std::vector<Queued> JournalShardImpl::takeBatch() {
  std::vector<Queued> Out;
  std::size_t Bytes = 0;
  while (!m_queue.empty()) {
    Bytes += m_queue.front().m_text.size() + 1;
    if (!Out.empty() && Bytes > m_options.m_maxSlotBytes)
      break;
    Out.push_back(std::move(m_queue.front()));
    m_queue.pop_front();
  }
  return Out;
}

bool JournalShardImpl::maintenanceDue() const {
  return m_phase != Phase::Idle || !m_deadBodies.empty() ||
         m_slots.size() >= m_options.m_checkpointSlots;
}

/// Waits until there is something to write; false when the shard stops.
bool JournalShardImpl::waitForWork() {
  Lock L(m_mutex);
  m_changed.wait(L, [this] {
    return stopped() || !m_queue.empty() || m_away || maintenanceDue();
  });
  return !m_lost && (!m_closing || !m_queue.empty());
}

void JournalShardImpl::waitForInterval() {
  Lock L(m_mutex);
  m_changed.wait_until(L, m_lastWrite + m_options.m_minWriteInterval,
                       [this] { return stopped(); });
  m_lastWrite = Clock::now();
}

void JournalShardImpl::commitBatch() {
  std::vector<Queued> Taken;
  {
    std::lock_guard<std::mutex> L(m_mutex);
    Taken = takeBatch();
  }
  if (Taken.empty())
    return;
  std::vector<std::string> Texts;
  Texts.reserve(Taken.size());
  for (const Queued &Q : Taken)
    Texts.push_back(Q.m_text);
  const WriteOutcome Outcome = writeSlot(frame(false, Texts));
  std::lock_guard<std::mutex> L(m_mutex);
  ++m_stats.m_slotWrites;
  m_stats.m_slots = m_slots.size();
  if (Outcome == WriteOutcome::Applied)
    finishDurable(Taken);
  else if (Outcome == WriteOutcome::NotApplied)
    rollBack(std::move(Taken));
  else if (Outcome == WriteOutcome::Fenced)
    m_lost = true;
  else
    m_closing = true;
  m_changed.notify_all();
}

/// Finds out whether the store is back while nothing is queued.
void JournalShardImpl::probe() {
  std::uint64_t Revision = 0;
  Result<std::uint64_t> Marker = readMarker(Revision);
  if (!Marker)
    return;
  if (Marker.value() > m_nextSlot) {
    std::lock_guard<std::mutex> L(m_mutex);
    m_lost = true;
  }
  setAway(false);
}

void JournalShardImpl::runCommitter() {
  while (waitForWork()) {
    bool Away = false;
    bool Idle = false;
    bool Maintain = false;
    {
      std::lock_guard<std::mutex> L(m_mutex);
      Away = m_away;
      Idle = m_queue.empty();
      Maintain = maintenanceDue();
    }
    if (Away && !backOff())
      break;
    if (Away && Idle) {
      probe();
      continue;
    }
    if (!Idle) {
      waitForInterval();
      commitBatch();
    }
    if (!Away && Maintain && !lost()) {
      waitForInterval();
      maintain();
    }
  }
  std::lock_guard<std::mutex> L(m_mutex);
  m_closing = true;
  m_changed.notify_all();
}

void JournalShardImpl::closeNow() {
  {
    std::lock_guard<std::mutex> L(m_mutex);
    m_closing = true;
    m_changed.notify_all();
  }
  if (m_committer.joinable())
    m_committer.join();
}

} // namespace primroseworks::pvt
