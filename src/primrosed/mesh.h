// This daemon among the others: its lease, its peer links, the view of the
// members, and what they tell about their endpoints.
#ifndef PRIMROSED_MESH_H
#define PRIMROSED_MESH_H

#include "primrosed/context.h"
#include "primrosed/fleet.h"
#include "primroseworks/gossip.h"
#include "primroseworks/lease.h"
#include "primroseworks/membership.h"
#include "primroseworks/ownership.h"
#include "primroseworks/peer.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace primroseworks {

/// A member as shown to operators.
struct MemberStatus {
  std::string m_name;
  std::string m_region;
  std::string m_failureDomain;
  std::string m_state;
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_revision = 0;
  std::vector<std::string> m_owns;
};

class Mesh {
public:
  /// Endpoints that this daemon owns and what they hold, for its gossip row.
  using RowSource = std::function<std::vector<EndpointSummary>()>;
  /// Called for members that are proved gone up to an incarnation.
  using GoneHandler =
      std::function<void(const std::string &Member, std::uint64_t UpTo)>;

  static Result<std::unique_ptr<Mesh>> create(DaemonContext &Context,
                                              KvStore &Store, Fleet &Endpoints);
  ~Mesh();
  Mesh(const Mesh &) = delete;
  Mesh &operator=(const Mesh &) = delete;

  void setRowSource(RowSource Source) { m_rowSource = std::move(Source); }
  void setGoneHandler(GoneHandler Handler) { m_onGone = std::move(Handler); }
  /// Registers further message handlers before it.
  Result<void> start();
  /// Tells the others that this daemon takes nothing new.
  void announceDrain();
  /// Ends the lease and the links.
  void stop();

  PeerNetwork &peers() { return *m_peers; }
  LeaseHolder &lease() { return *m_lease; }
  std::uint16_t port() const { return m_peers->boundPort(); }

  /// All members that are not gone, for ownership.
  std::vector<OwnershipMember> ownershipMembers() const;
  /// Members that may own journal shards: those with a lease and recent contact
  /// that do not drain, this one included. All daemons that have contact with
  /// each other agree on them; regions that are cut off from each other do not,
  /// and the journal's log then decides.
  std::vector<std::string> journalMembers(TimePoint Now) const;
  /// Alive members of this region.
  unsigned liveInRegion() const;
  /// Whether this daemon is the region's planner.
  bool isPlanner() const;
  /// Whether this daemon watches the configuration for its region.
  bool isWatcher() const;
  /// Whether a member's process with this incarnation is gone.
  bool isGone(const std::string &Member, std::uint64_t Incarnation) const;
  /// Member that owns an endpoint as far as known; empty if none is.
  std::string ownerOf(const std::string &Endpoint) const;
  std::vector<MemberStatus> status() const;
  /// What does not work at present, for operators.
  std::vector<std::string> degraded() const;
  /// What the summaries of the other regions tell, by region.
  std::map<std::string, RegionCapacity> regions() const;
  /// Highest revision that a peer told, and the peer.
  std::pair<std::uint64_t, std::string> revisionHint() const;

private:
  Mesh(DaemonContext &Context, KvStore &Store, Fleet &Endpoints)
      : m_context(Context), m_store(Store), m_fleet(Endpoints) {}

  Result<void> init();
  /// Whether this daemon has a role that one live member of a region has.
  bool hasRole(const std::string &Role) const;
  std::string ownerInRows(const std::string &Endpoint) const;
  void keepLease();
  void readLeases();
  void exchange();
  void tick(TimePoint Now);
  void renewGossip();
  void connectLocked();
  void logEvent(const MemberEvent &Event, TimePoint Now);
  void passRowsLocked(TimePoint Now);
  void passSummariesLocked(TimePoint Now);
  bool pause(Duration Time);

  DaemonContext &m_context;
  KvStore &m_store;
  Fleet &m_fleet;
  std::unique_ptr<WebsocketPeerNetwork> m_peers;
  std::unique_ptr<LeaseHolder> m_lease;
  RowSource m_rowSource;
  GoneHandler m_onGone;
  mutable std::mutex m_mutex; ///< Guards all below.
  std::condition_variable m_wake;
  std::unique_ptr<Membership> m_membership;
  std::unique_ptr<Gossip> m_gossip; ///< Null before the first incarnation.
  std::uint64_t m_gossipIncarnation = 0;
  /// Progress of each region's summary that the fleet was told last.
  std::map<std::string, TimePoint> m_summariesPassed;
  std::set<std::string> m_links; ///< Links that are up.
  /// Revision in force at the other end of each link, as last told.
  std::map<std::string, std::uint64_t> m_peerRevisions;
  std::set<std::string> m_draining; ///< Members that announced their drain.
  std::map<std::string, std::uint64_t> m_newest; ///< Incarnations seen.
  const TimePoint m_startTime = std::chrono::steady_clock::now();
  bool m_started = false;
  bool m_readLeasesNow = false; ///< A link came up: a member may be new.
  bool m_stopping = false;
  std::thread m_leaseTask;
  std::thread m_leaseReader;
  std::thread m_exchangeTask;
};

} // namespace primroseworks

#endif
