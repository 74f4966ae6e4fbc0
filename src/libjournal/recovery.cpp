// Reading and opening of a shard's log.
#include "libjournal/shard.h"

#include <algorithm>
#include <cstdlib>

namespace primroseworks::pvt {
namespace {

/// Attempts at opening a log while it is being trimmed, and at a create without
/// an answer.
constexpr int OpenAttempts = 20;

/// Slots of other owners that an opening takes over one by one.
constexpr int MaxTakenSlots = 100;

} // namespace

void JournalShardImpl::applyRecord(const Record &R, bool Checkpoint) {
  if (R.m_kind == RecordKind::Open)
    return;
  EntryPtr &Slot = m_entries[R.m_claim.m_key];
  const bool Same = Slot && Slot->m_claim.m_requestId == R.m_claim.m_requestId;
  if (R.m_kind == RecordKind::Release) {
    if (!Slot || Same)
      m_entries.erase(R.m_claim.m_key);
    return;
  }
  if (!Same || Checkpoint)
    Slot = std::make_shared<Entry>();
  Slot->m_claim = R.m_claim;
  Slot->m_at = R.m_at;
  if (R.m_kind == RecordKind::Unknown && Slot->m_finish == Finish::None)
    Slot->m_finish = Finish::Unknown;
  if (R.m_kind != RecordKind::Result)
    return;
  Slot->m_finish = Finish::Result;
  Slot->m_result = R.m_result;
  Slot->m_parts = R.m_parts;
}

/// Reads the log.
Result<void> JournalShardImpl::recover() {
  m_entries.clear();
  m_slots.clear();
  // The marker comes first: when it is read, the checkpoint that replaces the
  // slots below it is complete, so the range read after it has the checkpoint.
  std::uint64_t MarkerRevision = 0;
  BOOST_OUTCOME_TRY(Marker, readMarker(MarkerRevision));
  BOOST_OUTCOME_TRY(Range, m_store.range(m_prefix));
  m_nextSlot = Marker;
  for (const KvEntry &Slot : Range.m_entries) {
    const std::uint64_t Number =
        std::strtoull(Slot.m_key.c_str() + m_prefix.size(), nullptr, 10);
    m_slots[Number] = Slot.m_revision;
    if (Number < Marker)
      continue;
    BOOST_OUTCOME_TRYV(applySlot(Number, Slot));
  }
  if (!m_slots.empty() && m_slots.begin()->first < Marker) {
    m_phase = Phase::Deleting;
    m_checkpointStart = Marker;
  }
  return boost::outcome_v2::success();
}

/// Takes over one slot's records.
Result<void> JournalShardImpl::applySlot(std::uint64_t Number,
                                         const KvEntry &Slot) {
  BOOST_OUTCOME_TRY(Decoded, decodeBatch(Slot.m_value));
  for (const Record &R : Decoded.m_records)
    applyRecord(R, Decoded.m_checkpoint);
  m_slots[Number] = Slot.m_revision;
  m_nextSlot = Number + 1;
  return boost::outcome_v2::success();
}

/// Creates the open record behind the log that was read. A slot that another
/// owner wrote in the meantime is taken over from the answer: reading the whole
/// log again takes longer than a busy owner's next write. Returns false if the
/// log was trimmed beyond the slot.
Result<bool> JournalShardImpl::createOpenRecord() {
  const std::string Text = frame(false, {encodeRecord(Record())});
  int Unanswered = 0;
  // The log fences earlier owners by its slots alone. A shard may go to a
  // daemon with a lower incarnation, when members join or leave.
  for (int I = 0; I < MaxTakenSlots; ++I) {
    Result<CasResult> Answer =
        m_store.compareAndSwap(slotKey(m_nextSlot), 0, Text);
    if (!Answer && (Answer.error().m_kind != ErrorKind::Timeout ||
                    ++Unanswered >= OpenAttempts))
      return Answer.error();
    if (!Answer)
      continue;
    const CasResult &Done = Answer.value();
    if (Done.m_applied || Done.m_current->m_value == Text) {
      std::uint64_t MarkerRevision = 0;
      BOOST_OUTCOME_TRY(Marker, readMarker(MarkerRevision));
      if (Marker > m_nextSlot)
        return false;
      m_slots[m_nextSlot++] =
          Done.m_applied ? Done.m_revision : Done.m_current->m_revision;
      return true;
    }
    BOOST_OUTCOME_TRYV(applySlot(m_nextSlot, *Done.m_current));
  }
  return makeError(ErrorKind::Unavailable,
                   "other owners wrote to the journal shard all the time; try "
                   "again");
}

Result<void> JournalShardImpl::open() {
  for (int I = 0; I < OpenAttempts; ++I) {
    BOOST_OUTCOME_TRYV(recover());
    BOOST_OUTCOME_TRY(Opened, createOpenRecord());
    if (!Opened)
      continue;
    m_stats.m_slotWrites = 1;
    m_stats.m_recoveredEntries = m_entries.size();
    m_stats.m_slots = m_slots.size();
    for (const auto &[Key, E] : m_entries)
      charge(*E);
    trim(m_entries.size());
    m_committer = std::thread([this] { runCommitter(); });
    return boost::outcome_v2::success();
  }
  return makeError(ErrorKind::Unavailable,
                   "the journal shard could not be opened; try again");
}

} // namespace primroseworks::pvt
