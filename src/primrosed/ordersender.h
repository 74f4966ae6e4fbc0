// The part of an owner that changes what an engine holds: claims memory,
// sends orders, and follows them until the engine's own state shows the result.
#ifndef PRIMROSED_ORDERSENDER_H
#define PRIMROSED_ORDERSENDER_H

#include "libhttp/connectionpool.h"
#include "primrosed/context.h"
#include "primrosed/fleet.h"
#include "primrosed/mesh.h"
#include "primrosed/metrics.h"
#include "primroseworks/ledger.h"
#include "primroseworks/limits.h"
#include "primroseworks/orders.h"
#include "primroseworks/ownership.h"
#include "primroseworks/placement.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace primroseworks {

/// This daemon's part of the deployment's limits on loads.
struct LoadLimiters {
  std::unique_ptr<SharedLimit> m_models;
  std::unique_ptr<SharedLimit> m_adapters;
  std::uint64_t m_incarnation = 0; ///< Holder of the units.
};

class OrderSender {
public:
  OrderSender(DaemonContext &Context, Mesh &Others, Fleet &Endpoints,
              Metrics &Counters);
  ~OrderSender();
  OrderSender(const OrderSender &) = delete;
  OrderSender &operator=(const OrderSender &) = delete;

  /// Endpoints owned now. Ledgers of endpoints that stay are kept.
  void setOwned(const std::vector<OwnedEndpoint> &Owned, const Catalog &Config);
  /// Reads an owned engine's report and settles claims by it. Fails with
  /// NotFound if this daemon does not own the endpoint.
  Result<LoadReport> poll(const std::string &Endpoint);
  /// Every process of Member up to incarnation UpTo is proved gone.
  void processGone(const std::string &Member, std::uint64_t UpTo);
  void setLimiters(std::shared_ptr<LoadLimiters> Limits);

  /// Starts a move. Fails with NotFound (not the owner), Unavailable (no
  /// memory), Conflict (a move of the artifact is in progress) or RateLimited
  /// (a model without any copy is loaded first).
  Result<void> start(const Move &Wanted);
  /// Units of the shared limit that this daemon could use now.
  unsigned wanted(ArtifactKind Kind) const;
  /// Called when wanted() changed. Set it before the first start().
  void setWantedHandler(std::function<void()> Handler) {
    m_onWanted = std::move(Handler);
  }
  /// Units may have become available.
  void limitsChanged();
  /// Moves in progress: endpoint and artifact.
  std::vector<Move> inProgress() const;
  /// Artifacts of an endpoint that are to be unloaded and get no new work.
  std::set<Artifact> draining(const std::string &Endpoint) const;
  /// Bytes claimed and size of each owned endpoint, for operators.
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> memory() const;
  /// Clears the pending claims of an artifact by an operator's word.
  Result<unsigned> clearClaims(const std::string &Endpoint,
                               const std::string &Artifact);
  /// Waits until no move is in progress, at most Wait.
  bool settle(Milliseconds Wait);

private:
  /// One owned endpoint. m_mutex guards the members below it.
  struct Owned {
    std::string m_name;
    std::shared_ptr<EngineClient> m_engine;
    std::shared_ptr<EndpointLedger> m_ledger;
    std::unique_ptr<EndpointOrders> m_orders;
    mutable std::mutex m_mutex;
    std::map<Artifact, Move> m_moves; ///< At most one an artifact.
    std::set<Artifact> m_draining;
    std::uint64_t m_violations = 0; ///< Of the ledger, already counted.
  };
  using OwnedPtr = std::shared_ptr<Owned>;

  OwnedPtr makeOwned(const OwnedEndpoint &Endpoint,
                     const Catalog &Config) const;
  OwnedPtr find(const std::string &Endpoint) const;
  void execute(const OwnedPtr &Target, const Move &Wanted);
  /// Takes a unit of the limit; waits for one up to a bound, or until the load
  /// gives way. A unit that is taken stays counted in wanted().
  SharedLimit *takeUnit(LoadLimiters &Limits, const Artifact &Wanted);
  /// Counts a load in wanted(), or no more.
  void count(ArtifactKind Kind, bool Counted);
  /// Whether a model without any copy is waiting for the loads of the weight
  /// store that Wanted, which has one, would use.
  bool givesWay(const Artifact &Wanted) const;
  std::string load(const OwnedPtr &Target, const Move &Wanted);
  std::string unload(const OwnedPtr &Target, const Move &Wanted);
  /// Reads reports until the artifact is resident, or absent, as Wanted says.
  std::string follow(const Owned &Target, const Artifact &Moved, bool Wanted,
                     Milliseconds Poll);
  static void reserveCache(Owned &Target, const LoadReport &Report);
  std::string sendUnload(const OwnedPtr &Target, const Artifact &Unwanted);
  bool waitUnused(const OwnedPtr &Target, const Artifact &Unwanted);
  void countViolations(Owned &Target, const MemoryLedger &Ledger);
  bool pause(Milliseconds Time);

  DaemonContext &m_context;
  Mesh &m_mesh;
  Fleet &m_fleet;
  Metrics &m_metrics;
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  bool m_stopping = false;
  std::map<std::string, OwnedPtr> m_owned;
  std::shared_ptr<LoadLimiters> m_limits;
  unsigned m_active = 0; ///< Moves in progress.
  /// Loads by kind that have or wait for a unit; those that give way do not.
  std::map<ArtifactKind, unsigned> m_loads;
  std::function<void()> m_onWanted;
  pvt::ConnectionPool m_workers; ///< One task per move.
};

} // namespace primroseworks

#endif
