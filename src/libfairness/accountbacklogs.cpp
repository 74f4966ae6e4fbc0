// Implementation of the backlogs by account.
#include "libfairness/accountbacklogs.h"

namespace primroseworks::fairness {

void AccountBacklogs::resize(const std::string &Account, std::size_t From,
                             std::size_t To) {
  m_bySize.erase({From, Account});
  if (To > 0)
    m_bySize.insert({To, Account});
}

void AccountBacklogs::add(EntryId Id, const std::string &Account,
                          bool Evictable) {
  Backlog &B = m_accounts[Account];
  resize(Account, B.m_count, B.m_count + 1);
  ++B.m_count;
  if (Evictable)
    B.m_evictable.insert(Id);
}

void AccountBacklogs::remove(EntryId Id, const std::string &Account) {
  const auto It = m_accounts.find(Account);
  if (It == m_accounts.end())
    return;
  Backlog &B = It->second;
  resize(Account, B.m_count, B.m_count - 1);
  B.m_evictable.erase(Id);
  if (--B.m_count == 0)
    m_accounts.erase(It);
}

std::optional<EntryId>
AccountBacklogs::victimFor(const std::string &Account) const {
  if (m_bySize.empty())
    return std::nullopt;
  const auto &[Count, Largest] = *m_bySize.rbegin();
  if (Count <= requests(Account) + 1)
    return std::nullopt;
  const std::set<EntryId> &Evictable = m_accounts.at(Largest).m_evictable;
  return Evictable.empty() ? std::nullopt : std::optional(*Evictable.rbegin());
}

std::size_t AccountBacklogs::requests(const std::string &Account) const {
  const auto It = m_accounts.find(Account);
  return It == m_accounts.end() ? 0 : It->second.m_count;
}

std::size_t AccountBacklogs::largest() const {
  return m_bySize.empty() ? 0 : m_bySize.rbegin()->first;
}

} // namespace primroseworks::fairness
