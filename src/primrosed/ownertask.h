// What this daemon does as an owner: takes over endpoints and journal shards,
// holds its part of the shared limits, and plans for its region when that is
// its turn.
#ifndef PRIMROSED_OWNERTASK_H
#define PRIMROSED_OWNERTASK_H

#include "primrosed/journalrouter.h"
#include "primrosed/mesh.h"
#include "primrosed/ordersender.h"
#include "primrosed/placementtask.h"
#include "primroseworks/limits.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace primroseworks {

class OwnerTask {
public:
  /// Registers its message handlers, before the links are started.
  static Result<std::unique_ptr<OwnerTask>>
  create(DaemonContext &Context, KvStore &Store, Fleet &Endpoints, Mesh &Others,
         Metrics &Counters);
  ~OwnerTask();
  OwnerTask(const OwnerTask &) = delete;
  OwnerTask &operator=(const OwnerTask &) = delete;

  void start();
  /// Hands everything over, at most within Wait, and stops.
  void stop(Milliseconds Wait);

  Journal &journal() { return *m_journal; }
  const JournalRouter &journalRouter() const { return *m_journal; }
  OrderSender &orders() { return *m_orders; }
  PlacementTask &placement() { return *m_placement; }

  /// Has the owner of Endpoint load an adapter there, and waits until it is
  /// resident. Fails as OrderSender::start() does, or with Timeout.
  Result<void> ensureAdapter(const std::string &Endpoint,
                             const std::string &Adapter);

private:
  struct HeldLimit {
    std::unique_ptr<SharedLimit> m_limit;
    std::uint64_t m_incarnation = 0;
  };

  OwnerTask(DaemonContext &Context, KvStore &Store, Fleet &Endpoints,
            Mesh &Others)
      : m_context(Context), m_store(Store), m_fleet(Endpoints), m_mesh(Others) {
  }

  Result<void> init(Metrics &Counters);
  void own();
  void stepOwnership(TimePoint Now);
  void keepJournal();
  void keepLimits();
  void renewLimits(std::uint64_t Incarnation);
  void passGone(LoadLimiters &Held);
  void reportDemand();
  void plan();
  /// Whether a model lost its last copy since the last call.
  bool modelLost();
  std::vector<EndpointSummary> row() const;
  std::vector<std::string> regionEndpoints() const;
  Result<void> sendMove(const Move &Wanted);
  bool pause(Duration Time);
  /// Waits until the limits are to be looked at; false when the task stops.
  bool pauseLimits();

  DaemonContext &m_context;
  KvStore &m_store;
  Fleet &m_fleet;
  Mesh &m_mesh;
  // Before m_orders, whose workers use them until they end.
  std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_handingOver = false;
  bool m_stopping = false;
  /// Highest incarnation proved gone, by member.
  std::map<std::string, std::uint64_t> m_gone;
  bool m_unitsWanted = false; ///< OrderSender::wanted() changed.
  std::unique_ptr<JournalRouter> m_journal;
  std::unique_ptr<EndpointOwnership> m_ownership; ///< Used by own() only.
  std::unique_ptr<OrderSender> m_orders;
  std::unique_ptr<PlacementTask> m_placement;
  std::shared_ptr<LoadLimiters> m_limits; ///< Null before the first lease.
  std::uint64_t m_limitIncarnation = 0;
  std::set<std::string> m_withoutHome; ///< Models; used by plan() only.
  std::vector<std::thread> m_tasks;
};

} // namespace primroseworks

#endif
