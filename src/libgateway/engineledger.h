// What one engine may hold, as the leader that orders it knows. An order
// changes what requests may use at once, but frees memory or an adapter slot
// only when the engine shows that the order took effect. Does no I/O; the
// current time is an argument.
//
// Failures: orders and their answers get lost, orders are executed seconds
// late, reports are older than orders, another leader gave orders before. The
// engine executes an order only while the number of orders that it has accepted
// is the expected one, so an accepted order shows that none of the earlier ones
// without an answer can still take effect.
#ifndef PRIMROSEWORKS_LIBGATEWAY_ENGINELEDGER_H
#define PRIMROSEWORKS_LIBGATEWAY_ENGINELEDGER_H

#include "libgateway/types.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace primroseworks::gateway {

/// Time from the acceptance of an adapter load until requests may use the
/// adapter.
inline constexpr Milliseconds AdapterLoadTime{30};
/// Maximum age of what an engine's report tells.
inline constexpr Milliseconds MaxReportAge{700};
/// Time after the last order during which an engine's record does not replace
/// what is known: a record does not say which orders it includes. After a
/// change, a record is written at least once per heartbeat.
inline constexpr Milliseconds OrderSettleTime{2500};

/// Everything that may take memory or an adapter slot of an engine.
class Occupancy {
public:
  void add(const ArtifactName &Name) { m_artifacts.insert(Name); }
  /// Adds a model with its adapters.
  void add(const HeldModel &Model);
  double memoryMb(const EngineSpec &Spec) const;
  unsigned adapterSlots() const;
  /// Whether Name, a model if its adapter is empty, fits in addition.
  bool hasRoomFor(const EngineSpec &Spec, const ArtifactName &Name) const;
  bool operator==(const Occupancy &O) const {
    return m_artifacts == O.m_artifacts;
  }

private:
  std::set<ArtifactName> m_artifacts;
};

class EngineLedger {
public:
  explicit EngineLedger(std::uint64_t Incarnation)
      : m_incarnation(Incarnation) {}

  /// Incarnation of the engine that the ledger belongs to.
  std::uint64_t incarnation() const { return m_incarnation; }
  /// Number of orders that the engine has accepted; none before the first
  /// report.
  std::optional<std::uint64_t> orders() const { return m_orders; }
  /// Whether the ledger knows all that the engine holds and loads.
  bool controlled() const { return m_controlled; }
  void loseControl() { m_controlled = false; }
  /// Whether an order may be sent now. Otherwise a report must be read first.
  bool acceptsOrders() const;
  /// Whether only a report can show the effect of an order.
  bool unsettled() const;
  /// Whether the engine's own record has shown other holdings for so long that
  /// an order must have been executed late.
  bool disagrees(const std::vector<HeldModel> &Recorded, TimePoint Now) const;

  /// Enters an order that is about to be sent. At most one is on its way.
  void onSent(const EngineOrder &Order);
  /// Enters the outcome of the order on its way; ignored if there is none.
  void onResult(OrderResult Result, TimePoint Now);
  /// Takes a report that was requested at RequestedAt. Returns false for one
  /// that does not include all orders yet.
  bool onReport(const EngineReport &Report, TimePoint RequestedAt,
                TimePoint Now);

  /// What may take memory or adapter slots of the engine.
  Occupancy occupancy() const;
  /// What requests may use.
  std::vector<HeldModel> usable(TimePoint Now) const;
  /// Whether an order to load Name may be sent: it fits beside all that the
  /// engine may hold, and is not being unloaded.
  bool mayLoad(const EngineSpec &Spec, const ArtifactName &Name) const;
  /// Artifacts whose load or unload may be in progress.
  std::vector<ArtifactName> changing(OrderKind Kind) const;
  /// Adapters that are being loaded and will be usable soon.
  std::vector<ArtifactName> arrivingAdapters(TimePoint Now) const;

private:
  enum class OrderState {
    Sent,       ///< Has no outcome yet.
    Unanswered, ///< May be executed while m_orders is the expected number.
    Accepted    ///< A model's load or unload, or an unload that waits.
  };
  struct OpenOrder {
    EngineOrder m_order;
    OrderState m_state = OrderState::Sent;
    TimePoint m_since{}; ///< When it got this state.

    ArtifactName artifact() const {
      return {m_order.m_model, m_order.m_adapter};
    }
  };
  bool hasSent() const;
  bool modelOrderAccepted() const;
  void onAccepted(const EngineOrder &Order, TimePoint Now);
  void onAlreadyHolds(const EngineOrder &Order, TimePoint Now);
  void countOrder(std::uint64_t Expected, TimePoint Now);
  bool remainsOpen(OpenOrder &Open, const EngineReport &Report,
                   TimePoint RequestedAt, TimePoint Now) const;
  void insert(const ArtifactName &Name);
  void erase(const ArtifactName &Name);
  HeldModel *find(const std::string &Model);
  bool contains(const ArtifactName &Name) const;

  std::uint64_t m_incarnation;
  std::optional<std::uint64_t> m_orders;
  bool m_controlled = false;
  /// What the engine held or was fetching after m_orders orders. Includes
  /// everything that an open unload is about to remove.
  std::vector<HeldModel> m_present;
  /// At most one is in state Sent.
  std::vector<OpenOrder> m_open;
  /// Adapters of m_present that cannot be used before this time.
  std::map<ArtifactName, TimePoint> m_usableFrom;
  TimePoint m_lastOrderAt{};  ///< When m_orders last advanced by an order.
  TimePoint m_lastReportAt{}; ///< When a report was last taken.
};

} // namespace primroseworks::gateway

#endif
