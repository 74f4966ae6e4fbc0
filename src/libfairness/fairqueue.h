// Fair order of requests of one urgency among client accounts.
//
// Load pattern: one account sends many times its usual load, or its callers
// retry at once, while all endpoints are full. In order of age it would get
// nearly all capacity. Here the accounts that wait get shares by their weights,
// counted in tokens, and an account that uses less than its share is served at
// once (start-time fair queueing). Without accounts the order is that of age.
//
// An account's start tag is the virtual time at which its next request starts.
// It is charged when a request is dispatched, not on arrival: a request that is
// withdrawn, or waits for a model that has no capacity, costs its account
// nothing. No I/O.
#ifndef PRIMROSEWORKS_LIBFAIRNESS_FAIRQUEUE_H
#define PRIMROSEWORKS_LIBFAIRNESS_FAIRQUEUE_H

#include "libfairness/shortfallsums.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace primroseworks::fairness {

/// Rises with each request that arrives.
using EntryId = std::uint64_t;

/// A waiting request.
struct FairEntry {
  EntryId m_id = 0;
  std::string m_account; ///< Empty: requests without an account, as one.
  /// Entries of one lane need the same capacity: if there is none for one,
  /// there is none for the others.
  std::string m_lane;
  std::string m_pool;  ///< Entries whose expected wait is counted together.
  double m_cost = 0;   ///< Tokens.
  double m_weight = 1; ///< Of the account; its share grows with it.
};

/// Bounds of the cost of an entry, in tokens. An entry without tokens costs the
/// minimum. The maximum keeps a wrong size in a message from shutting out its
/// account; contexts of today's models are shorter.
inline constexpr double MinEntryCost = 1;
inline constexpr double MaxEntryCost = 1e6;
/// How far an account that waits may fall behind the virtual time, in tokens by
/// weight:
/// about three requests of a usual size. Only an account that waits for one
/// model while others are served with another one falls behind. Without a bound
/// it would shut out the others once its model has capacity.
inline constexpr double MaxLagTokens = 5000;

class FairQueue {
public:
  void add(FairEntry Entry);
  /// Removes an entry that was not dispatched, if it is here.
  void remove(EntryId Id);
  /// Place in the fair order, which a sweep over the queue passes only once.
  struct Cursor {
    std::optional<std::pair<double, EntryId>> m_after; ///< Empty: the start.
  };
  /// First entry in the fair order that is in no blocked lane. From must not
  /// be used after add() or remove(); between two calls with it, entries may be
  /// dispatched and further lanes become blocked.
  std::optional<EntryId> next(Cursor &From,
                              const std::set<std::string> &BlockedLanes) const;
  /// Removes an entry that was dispatched. Contended tells whether it had to
  /// wait; otherwise its account is not charged: others lost nothing by it.
  void onDispatched(EntryId Id, bool Contended);
  /// Number of entries of a pool that are dispatched before a new entry of
  /// Account, which others' shares make fractional.
  double ahead(const std::string &Pool, const std::string &Account) const;
  std::size_t waiting(const std::string &Pool) const;
  std::size_t waiting(const std::string &Pool,
                      const std::string &Account) const;
  /// A queue without entries has no state.
  bool empty() const { return m_entries.empty(); }
  /// Accounts that have entries or are still to be charged.
  std::size_t accounts() const { return m_accounts.size(); }

private:
  struct Backlog {
    std::size_t m_count = 0;
    double m_tokens = 0; ///< Divided by the weight of the account.
  };
  struct Account {
    std::uint64_t m_number = 0; ///< Unique in the queue.
    /// Virtual time at which its next entry starts. At least the queue's
    /// virtual time when the account begins to wait.
    double m_start = 0;
    std::map<std::string, std::set<EntryId>> m_lanes; ///< No empty ones.
    std::map<std::string, Backlog> m_pools;           ///< No empty ones.
  };
  using Accounts = std::map<std::string, Account>;
  /// Oldest entry of an account in a lane, ordered by start tag and age.
  using Head = std::pair<double, EntryId>;
  struct Pool {
    Backlog m_all;
    /// Start tags of the accounts, and the tags at which their entries in this
    /// pool would all be dispatched, by number of the account. The weight is
    /// the number of entries dispatched in one unit of virtual time.
    ShortfallSums m_starts;
    ShortfallSums m_ends;
  };
  /// Takes an account out of the order of a lane or a pool before it changes,
  /// and puts it back afterwards if it has entries there.
  void unlinkLane(const Account &A, const std::string &Lane);
  void linkLane(const Account &A, const std::string &Lane);
  void unlinkPool(const Account &A, const std::string &Pool);
  void linkPool(const Account &A, const std::string &Pool);
  void setStart(Account &A, double Start);
  FairEntry take(EntryId Id);
  /// Keeps an account without entries only while its tag is ahead of the
  /// virtual time.
  void settle(Accounts::iterator A);
  void dropIdle();

  std::map<EntryId, FairEntry> m_entries;
  Accounts m_accounts;
  std::map<std::string, std::set<Head>> m_lanes; ///< No empty ones.
  std::map<Head, std::string> m_order; ///< Lanes by their first heads.
  std::map<std::string, Pool> m_pools; ///< No empty ones.
  /// Accounts without entries, by start tag.
  std::set<std::pair<double, std::string>> m_idle;
  /// Largest start tag that was charged. Zero if the queue is empty.
  double m_virtualTime = 0;
  std::uint64_t m_nextNumber = 1;
};

} // namespace primroseworks::fairness

#endif
