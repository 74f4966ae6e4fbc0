// Waiting requests of each client account, and which of them has to leave a
// full queue.
//
// Load pattern: one account sends so much that the wait queue is full; without
// this, the requests of all other accounts would be refused until it drains. No
// I/O.
#ifndef PRIMROSEWORKS_LIBFAIRNESS_ACCOUNTBACKLOGS_H
#define PRIMROSEWORKS_LIBFAIRNESS_ACCOUNTBACKLOGS_H

#include "libfairness/fairqueue.h"

namespace primroseworks::fairness {

class AccountBacklogs {
public:
  /// Adds a request. Evictable: it may still be refused as not run.
  void add(EntryId Id, const std::string &Account, bool Evictable);
  void remove(EntryId Id, const std::string &Account);
  /// The request that leaves a full queue for a new one of Account: the newest
  /// of the account with the most requests. Nothing if the new request would be
  /// that one, or if no request of that account may be refused any more.
  std::optional<EntryId> victimFor(const std::string &Account) const;
  /// Number of accounts with requests.
  std::size_t accounts() const { return m_accounts.size(); }
  /// Requests of one account, and of the account with the most.
  std::size_t requests(const std::string &Account) const;
  std::size_t largest() const;

private:
  struct Backlog {
    std::size_t m_count = 0;
    std::set<EntryId> m_evictable;
  };
  void resize(const std::string &Account, std::size_t From, std::size_t To);

  std::map<std::string, Backlog> m_accounts; ///< No empty ones.
  std::set<std::pair<std::size_t, std::string>> m_bySize;
};

} // namespace primroseworks::fairness

#endif
