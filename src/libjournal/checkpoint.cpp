// Checkpoints: trimming of a shard's log and of expired bodies.
#include "libjournal/shard.h"

namespace primroseworks::pvt {

/// One maintenance write. A checkpoint writes the state of all keys in one or
/// more slots, moves the marker, and deletes the slots from before it began.
void JournalShardImpl::maintain() {
  {
    std::lock_guard<std::mutex> L(m_mutex);
    ++m_stats.m_otherWrites;
    m_stats.m_slots = m_slots.size();
  }
  switch (m_phase) {
  case Phase::Idle:
    if (m_slots.size() < m_options.m_checkpointSlots)
      return deleteDeadBody();
    m_phase = Phase::Writing;
    m_checkpointStart = m_nextSlot;
    m_cursor.clear();
    return writeCheckpoint();
  case Phase::Writing:
    return writeCheckpoint();
  case Phase::Marking:
    return moveMarker();
  case Phase::Deleting:
    return deleteOldSlot();
  }
}

/// Records of the durable state of the keys after Cursor, up to one slot.
std::vector<std::string>
JournalShardImpl::nextCheckpointRecords(std::string &Cursor, bool &Complete) {
  std::lock_guard<std::mutex> L(m_mutex);
  std::vector<std::string> Out;
  std::size_t Bytes = 0;
  auto It = m_entries.upper_bound(Cursor);
  while (It != m_entries.end()) {
    const std::string Key = It->first;
    const EntryPtr E = find(Key);
    It = m_entries.upper_bound(Key);
    if (!E || E->m_claimSequence > m_durableSequence)
      continue;
    Record R;
    R.m_kind = RecordKind::Claim;
    R.m_claim = E->m_claim;
    R.m_at = E->m_at;
    const bool Durable = E->m_finishSequence <= m_durableSequence;
    if (E->m_finish == Finish::Unknown && Durable)
      R.m_kind = RecordKind::Unknown;
    if (E->m_finish == Finish::Result && Durable) {
      R.m_kind = RecordKind::Result;
      R.m_result = E->m_result;
      R.m_parts = E->m_parts;
    }
    std::string Text = encodeRecord(R);
    Bytes += Text.size() + 1;
    if (!Out.empty() && Bytes > m_options.m_maxSlotBytes) {
      Complete = false;
      return Out;
    }
    Out.push_back(std::move(Text));
    Cursor = Key;
  }
  Complete = true;
  return Out;
}

void JournalShardImpl::writeCheckpoint() {
  std::string Cursor = m_cursor;
  bool Complete = false;
  const auto Records = nextCheckpointRecords(Cursor, Complete);
  const WriteOutcome Outcome = writeSlot(frame(true, Records));
  if (Outcome == WriteOutcome::Applied) {
    m_cursor = Cursor;
    m_phase = Complete ? Phase::Marking : Phase::Writing;
    return;
  }
  std::lock_guard<std::mutex> L(m_mutex);
  m_lost |= Outcome == WriteOutcome::Fenced;
  m_closing |= Outcome == WriteOutcome::Unsettled;
  m_changed.notify_all();
}

void JournalShardImpl::moveMarker() {
  std::uint64_t Revision = 0;
  Result<std::uint64_t> Marker = readMarker(Revision);
  if (!Marker)
    return setAway(true);
  if (Marker.value() >= m_checkpointStart) {
    m_phase = Phase::Deleting;
    return;
  }
  Result<CasResult> Answer = m_store.compareAndSwap(
      m_markerKey, Revision, std::to_string(m_checkpointStart));
  if (!Answer)
    setAway(true);
  else if (Answer.value().m_applied)
    m_phase = Phase::Deleting;
}

void JournalShardImpl::deleteOldSlot() {
  auto Oldest = m_slots.begin();
  if (Oldest == m_slots.end() || Oldest->first >= m_checkpointStart) {
    m_phase = Phase::Idle;
    return;
  }
  Result<CasResult> Answer = m_store.compareAndSwap(
      slotKey(Oldest->first), Oldest->second, std::nullopt);
  if (Answer) // Not applied: it was deleted before.
    m_slots.erase(Oldest);
  else
    setAway(true);
}

void JournalShardImpl::deleteDeadBody() {
  std::string Key;
  {
    std::lock_guard<std::mutex> L(m_mutex);
    if (m_deadBodies.empty())
      return;
    Key = m_deadBodies.front();
  }
  Result<std::optional<KvEntry>> Entry = m_store.get(Key);
  if (Entry && Entry.value()) {
    Result<CasResult> Gone =
        m_store.compareAndSwap(Key, Entry.value()->m_revision, std::nullopt);
    if (!Gone)
      return setAway(true);
  }
  if (!Entry)
    return setAway(true);
  std::lock_guard<std::mutex> L(m_mutex);
  m_deadBodies.pop_front();
}

} // namespace primroseworks::pvt
