// Implementation of the fair queue.
#include "libfairness/fairqueue.h"

#include <algorithm>

namespace primroseworks::fairness {

namespace {

/// Relative rounding error of the sums of tags.
constexpr double SumTolerance = 1e-6;

} // namespace

void FairQueue::unlinkLane(const Account &A, const std::string &Lane) {
  const auto Own = A.m_lanes.find(Lane);
  if (Own == A.m_lanes.end())
    return;
  const auto It = m_lanes.find(Lane);
  std::set<Head> &Heads = It->second;
  m_order.erase(*Heads.begin());
  Heads.erase({A.m_start, *Own->second.begin()});
  if (Heads.empty())
    m_lanes.erase(It);
  else
    m_order.emplace(*Heads.begin(), Lane);
}

void FairQueue::linkLane(const Account &A, const std::string &Lane) {
  const auto Own = A.m_lanes.find(Lane);
  if (Own == A.m_lanes.end())
    return;
  std::set<Head> &Heads = m_lanes[Lane];
  if (!Heads.empty())
    m_order.erase(*Heads.begin());
  Heads.insert({A.m_start, *Own->second.begin()});
  m_order.emplace(*Heads.begin(), Lane);
}

void FairQueue::unlinkPool(const Account &A, const std::string &Name) {
  const auto Own = A.m_pools.find(Name);
  if (Own == A.m_pools.end())
    return;
  Pool &P = m_pools[Name];
  P.m_starts.remove(A.m_start, A.m_number);
  P.m_ends.remove(A.m_start + Own->second.m_tokens, A.m_number);
}

void FairQueue::linkPool(const Account &A, const std::string &Name) {
  const auto Own = A.m_pools.find(Name);
  if (Own == A.m_pools.end())
    return;
  Pool &P = m_pools[Name];
  const Backlog &B = Own->second;
  const double Pace = static_cast<double>(B.m_count) / B.m_tokens;
  P.m_starts.add(A.m_start, Pace, A.m_number);
  P.m_ends.add(A.m_start + B.m_tokens, Pace, A.m_number);
}

void FairQueue::setStart(Account &A, double Start) {
  for (const auto &[Lane, Ids] : A.m_lanes)
    unlinkLane(A, Lane);
  for (const auto &[Name, Own] : A.m_pools)
    unlinkPool(A, Name);
  A.m_start = Start;
  for (const auto &[Lane, Ids] : A.m_lanes)
    linkLane(A, Lane);
  for (const auto &[Name, Own] : A.m_pools)
    linkPool(A, Name);
}

void FairQueue::add(FairEntry Entry) {
  Entry.m_cost =
      std::clamp(Entry.m_cost, MinEntryCost, MaxEntryCost) / Entry.m_weight;
  const auto [It, IsNew] = m_accounts.try_emplace(Entry.m_account);
  Account &A = It->second;
  if (IsNew)
    A.m_number = m_nextNumber++;
  if (A.m_lanes.empty()) {
    m_idle.erase({A.m_start, Entry.m_account});
    A.m_start = std::max(A.m_start, m_virtualTime);
  }
  unlinkLane(A, Entry.m_lane);
  A.m_lanes[Entry.m_lane].insert(Entry.m_id);
  linkLane(A, Entry.m_lane);
  unlinkPool(A, Entry.m_pool);
  Backlog &Own = A.m_pools[Entry.m_pool];
  Backlog &All = m_pools[Entry.m_pool].m_all;
  for (Backlog *B : {&Own, &All}) {
    ++B->m_count;
    B->m_tokens += Entry.m_cost;
  }
  linkPool(A, Entry.m_pool);
  m_entries.emplace(Entry.m_id, std::move(Entry));
}

/// Removes an entry, but not its account.
FairEntry FairQueue::take(EntryId Id) {
  const auto It = m_entries.find(Id);
  FairEntry Entry = std::move(It->second);
  m_entries.erase(It);
  Account &A = m_accounts.at(Entry.m_account);
  unlinkLane(A, Entry.m_lane);
  const auto Ids = A.m_lanes.find(Entry.m_lane);
  Ids->second.erase(Id);
  if (Ids->second.empty())
    A.m_lanes.erase(Ids);
  linkLane(A, Entry.m_lane);
  unlinkPool(A, Entry.m_pool);
  const auto Own = A.m_pools.find(Entry.m_pool);
  const auto P = m_pools.find(Entry.m_pool);
  Own->second.m_tokens -= Entry.m_cost;
  P->second.m_all.m_tokens -= Entry.m_cost;
  if (--Own->second.m_count == 0)
    A.m_pools.erase(Own);
  linkPool(A, Entry.m_pool);
  if (--P->second.m_all.m_count == 0)
    m_pools.erase(P);
  return Entry;
}

void FairQueue::settle(Accounts::iterator A) {
  if (!A->second.m_lanes.empty())
    return;
  if (A->second.m_start > m_virtualTime)
    m_idle.insert({A->second.m_start, A->first});
  else
    m_accounts.erase(A);
}

/// Drops the accounts without entries that the virtual time has reached. When
/// nothing waits, all accounts start equal again.
void FairQueue::dropIdle() {
  if (m_entries.empty()) {
    m_accounts.clear();
    m_idle.clear();
    m_virtualTime = 0;
    return;
  }
  while (!m_idle.empty() && m_idle.begin()->first <= m_virtualTime) {
    m_accounts.erase(m_idle.begin()->second);
    m_idle.erase(m_idle.begin());
  }
}

void FairQueue::remove(EntryId Id) {
  if (!m_entries.count(Id))
    return;
  settle(m_accounts.find(take(Id).m_account));
  dropIdle();
}

void FairQueue::onDispatched(EntryId Id, bool Contended) {
  if (!m_entries.count(Id))
    return;
  const FairEntry Entry = take(Id);
  const auto A = m_accounts.find(Entry.m_account);
  if (Contended) {
    const double Start =
        std::max(A->second.m_start, m_virtualTime - MaxLagTokens);
    m_virtualTime = std::max(m_virtualTime, Start);
    setStart(A->second, Start + Entry.m_cost);
  }
  settle(A);
  dropIdle();
}

std::optional<EntryId>
FairQueue::next(Cursor &From, const std::set<std::string> &BlockedLanes) const {
  auto It = From.m_after ? m_order.upper_bound(*From.m_after) : m_order.begin();
  for (; It != m_order.end(); ++It) {
    if (!BlockedLanes.count(It->second))
      return It->first.second;
    From.m_after = It->first;
  }
  return std::nullopt;
}

double FairQueue::ahead(const std::string &PoolName,
                        const std::string &AccountName) const {
  const auto It = m_pools.find(PoolName);
  if (It == m_pools.end())
    return 0;
  const Pool &P = It->second;
  const auto Count = static_cast<double>(P.m_all.m_count);
  const double MeanCost = P.m_all.m_tokens / Count;
  double Start = m_virtualTime;
  const auto A = m_accounts.find(AccountName);
  if (A != m_accounts.end()) {
    const bool Idle = A->second.m_lanes.empty();
    Start = Idle ? std::max(Start, A->second.m_start) : A->second.m_start;
    const auto Own = A->second.m_pools.find(PoolName);
    if (Own != A->second.m_pools.end())
      Start += Own->second.m_tokens;
  }
  // The sums count fractions of entries, but an entry that starts before this
  // one is dispatched completely. Half of a mean entry corrects for that.
  const double Limit = Start + MeanCost / 2;
  const double Ahead = P.m_starts.below(Limit) - P.m_ends.below(Limit);
  return Ahead >= Count * (1 - SumTolerance) ? Count : std::max(0.0, Ahead);
}

std::size_t FairQueue::waiting(const std::string &PoolName) const {
  const auto It = m_pools.find(PoolName);
  return It == m_pools.end() ? 0 : It->second.m_all.m_count;
}

std::size_t FairQueue::waiting(const std::string &PoolName,
                               const std::string &AccountName) const {
  const auto A = m_accounts.find(AccountName);
  if (A == m_accounts.end())
    return 0;
  const auto Own = A->second.m_pools.find(PoolName);
  return Own == A->second.m_pools.end() ? 0 : Own->second.m_count;
}

} // namespace primroseworks::fairness
