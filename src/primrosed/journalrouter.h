// The journal over all daemons: a key's shard is owned by one of them, which
// is asked through its peer link, or directly if it is this daemon.
#ifndef PRIMROSED_JOURNALROUTER_H
#define PRIMROSED_JOURNALROUTER_H

#include "libhttp/connectionpool.h"
#include "primrosed/context.h"
#include "primroseworks/journal.h"
#include "primroseworks/peer.h"

#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace primroseworks {

class JournalRouter : public Journal {
public:
  /// Tells whether the process of a claim is gone.
  using GoneCheck =
      std::function<bool(const std::string &Member, std::uint64_t Incarnation)>;

  /// Registers its message handlers with Peers, before Peers is started.
  JournalRouter(DaemonContext &Context, KvStore &Store, PeerNetwork &Peers,
                GoneCheck IsGone);
  ~JournalRouter() override;

  /// Live members that may own shards.
  void setMembers(std::vector<std::string> Live);
  /// Opens shards that this daemon should own and closes those it should not;
  /// blocks on the store. Incarnation: of a valid lease. A shard that another
  /// owner took is opened again only when a call needs it: in a cut between
  /// regions both sides have an owner, and they take turns.
  void step(std::uint64_t Incarnation, TimePoint Now);
  /// Closes all shards.
  void close();

  /// Open shards with their counters, for operators.
  std::map<unsigned, JournalStats> shards() const;
  /// Memory of all shards that are open here.
  const JournalBudget &budget() const { return *m_budget; }

  Result<ClaimAnswer> claim(const JournalClaim &Claim,
                            Milliseconds Wait) override;
  Result<void> release(const JournalClaim &Holder, Milliseconds Wait) override;
  Result<void> result(const JournalClaim &Holder, const JournalResult &Answer,
                      Milliseconds Wait) override;
  Result<void> unknown(const JournalClaim &Holder, Milliseconds Wait) override;
  Result<ClaimAnswer> lookup(const std::string &Key,
                             const std::string &BodyHash,
                             Milliseconds Wait) override;

private:
  using ShardPtr = std::shared_ptr<JournalShard>;
  /// A shard that another owner took from this daemon.
  struct LostShard {
    bool m_wanted = false; ///< A call waits for it.
    TimePoint m_reopen;    ///< Not before.
  };

  unsigned shardOf(const std::string &Key) const;
  std::string ownerOf(unsigned Shard) const;
  ShardPtr local(unsigned Shard) const;
  /// Sends Body to the owner of Key's shard, or calls Here with the shard if
  /// it is open here; tries again while the owner changes, up to Wait.
  Result<JournalReplyMessage>
  ask(const std::string &Key, const MessageBody &Body, Milliseconds Wait,
      const std::function<JournalReplyMessage(JournalShard &, Milliseconds)>
          &Here);
  void registerHandlers(PeerNetwork &Peers);
  /// Closes Shard if it is open and either lost or not Mine; true if it is
  /// still open.
  bool keepOpen(unsigned Shard, bool Mine, TimePoint Now);
  /// Whether a shard that is not open here may be opened now.
  bool mayOpen(unsigned Shard, TimePoint Now) const;
  /// Notes that a call needs Shard, which this daemon should own.
  void want(unsigned Shard);
  void open(unsigned Shard, std::uint64_t Incarnation);

  DaemonContext &m_context;
  KvStore &m_store;
  PeerNetwork &m_peers;
  GoneCheck m_isGone;
  const std::shared_ptr<JournalBudget> m_budget =
      std::make_shared<JournalBudget>();
  mutable std::mutex m_mutex;
  std::vector<std::string> m_live;
  std::map<unsigned, ShardPtr> m_shards; ///< Open here.
  std::map<unsigned, LostShard> m_lost;  ///< None of them is open here.
  std::mt19937_64 m_random{std::random_device{}()};
  bool m_closed = false;
  pvt::ConnectionPool m_workers; ///< Calls of other daemons.
};

} // namespace primroseworks

#endif
