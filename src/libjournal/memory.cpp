// Memory of a shard's entries, and expiry of those that nobody looks up.
#include "libjournal/shard.h"

namespace primroseworks {

bool JournalBudget::tryAdd(std::size_t Bytes) {
  std::size_t Used = m_used;
  while (Used + Bytes <= m_limit)
    if (m_used.compare_exchange_weak(Used, Used + Bytes))
      return true;
  return false;
}

} // namespace primroseworks

namespace primroseworks::pvt {
namespace {

/// Bytes of an entry with empty texts: the entry with its reference counts, and
/// its node in the map.
constexpr std::size_t EntryOverheadBytes = 464;

/// Longest text that a string keeps without an allocation of its own.
constexpr std::size_t ShortText = 15;

/// Header, terminator and rounding of an allocation are at most this.
constexpr std::size_t AllocationBytes = 24;

/// A running key keeps this much for the content type of its result, whose
/// record must not be refused.
constexpr std::size_t ResultReserveBytes = MaxClaimBytes + 2 * AllocationBytes;

std::size_t textBytes(const std::string &Text) {
  return Text.size() > ShortText ? Text.size() + AllocationBytes : 0;
}

} // namespace

std::size_t entryBytes(const Entry &E) {
  const JournalClaim &C = E.m_claim;
  // The key is also in the map's node.
  std::size_t Out = EntryOverheadBytes + 2 * textBytes(C.m_key) +
                    textBytes(C.m_bodyHash) + textBytes(C.m_requestId) +
                    textBytes(C.m_member) + textBytes(C.m_endpoint);
  if (E.m_finish == Finish::None)
    return Out + ResultReserveBytes;
  return Out + textBytes(E.m_result.m_contentType) +
         textBytes(E.m_result.m_body);
}

bool BudgetHold::tryAdd(std::size_t Bytes) {
  if (!m_budget.tryAdd(Bytes))
    return false;
  m_bytes += Bytes;
  return true;
}

JournalShardImpl::~JournalShardImpl() {
  closeNow();
  for (const auto &[Key, E] : m_entries)
    m_options.m_budget->remove(E->m_bytes);
}

/// Counts the bytes that an entry has now.
void JournalShardImpl::charge(Entry &E) {
  const std::size_t Bytes = entryBytes(E);
  if (Bytes > E.m_bytes)
    m_options.m_budget->add(Bytes - E.m_bytes);
  else
    m_options.m_budget->remove(E.m_bytes - Bytes);
  E.m_bytes = Bytes;
}

void JournalShardImpl::trim(std::size_t MaxEntries) {
  std::lock_guard<std::mutex> L(m_mutex);
  auto It = m_entries.upper_bound(m_trimCursor);
  for (std::size_t I = 0; I < MaxEntries && It != m_entries.end(); ++I) {
    m_trimCursor = It->first;
    ++It; // Removing an entry keeps the others.
    (void)find(m_trimCursor);
  }
  if (It == m_entries.end())
    m_trimCursor.clear();
  m_changed.notify_all(); // Bodies of expired keys are to be deleted.
}

} // namespace primroseworks::pvt
