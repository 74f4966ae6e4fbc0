// Sending of orders, and settling of their claims.
#include "primroseworks/orders.h"

#include <mutex>

namespace primroseworks {
namespace {

class EndpointOrdersImpl final : public EndpointOrders {
public:
  EndpointOrdersImpl(std::shared_ptr<EndpointLedger> Ledger,
                     EngineClient &Engine, EndpointOrdersOptions Options)
      : m_ledger(std::move(Ledger)), m_engine(Engine),
        m_options(std::move(Options)), m_tracker(m_options.m_checksFencing) {}

  Result<OrderState> load(const LeaseUse &Use, const Artifact &Wanted,
                          std::uint64_t Bytes) override {
    EngineOrder Order = newOrder(Use, OrderKind::Load);
    Order.m_artifact = Wanted;
    Order.m_bytes = Bytes;
    BOOST_OUTCOME_TRYV(checkOwner(Use));
    const PendingClaim Claim{Order.m_orderId, m_options.m_member,
                             Use.incarnation(), Order.m_fence};
    Result<void> Claimed =
        m_ledger->commit([&](MemoryLedger &L) -> Result<bool> {
          BOOST_OUTCOME_TRYV(L.claimLoad(Wanted, Bytes, Claim));
          return true;
        });
    if (!Claimed) {
      neverSent(Order.m_orderId);
      return Claimed.error();
    }
    return send(Use, Order);
  }

  Result<OrderState> unload(const LeaseUse &Use,
                            const Artifact &Wanted) override {
    EngineOrder Order = newOrder(Use, OrderKind::Unload);
    Order.m_artifact = Wanted;
    return send(Use, Order);
  }

  Result<OrderState> setRole(const LeaseUse &Use, EngineRole Role) override {
    EngineOrder Order = newOrder(Use, OrderKind::SetRole);
    Order.m_role = Role;
    return send(Use, Order);
  }

  Result<LoadReport> poll() override {
    const TimePoint Requested = now();
    BOOST_OUTCOME_TRY(Report, m_engine.report());
    const OrderTracker Known = tracker();
    // A failed commit changes nothing; the next report settles the claims.
    (void)m_ledger->commit([&](MemoryLedger &L) -> Result<bool> {
      return L.observe(Report, [&](const PendingClaim &Claim) {
        return Known.isOver(Claim, Requested);
      });
    });
    askForOrders(Report);
    prune();
    return Report;
  }

  void processGone(const std::string &Member, std::uint64_t UpTo) override {
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_tracker.processGone(Member, UpTo, now());
  }

  void clearClaim(const std::string &OrderId) override { neverSent(OrderId); }

private:
  TimePoint now() const {
    return m_options.m_clock ? m_options.m_clock()
                             : std::chrono::steady_clock::now();
  }

  EngineOrder newOrder(const LeaseUse &Use, OrderKind Kind) {
    EngineOrder Order;
    Order.m_fence = m_ledger->stored().m_record.m_fence;
    Order.m_kind = Kind;
    std::lock_guard<std::mutex> Lock(m_mutex);
    Order.m_orderId =
        m_options.m_member + "/" + std::to_string(Use.incarnation()) + "/" +
        std::to_string(Order.m_fence) + "/" + std::to_string(++m_lastOrder);
    return Order;
  }

  Result<void> checkOwner(const LeaseUse &Use) const {
    if (m_ledger->lost() ||
        m_ledger->stored().m_record.m_incarnation != Use.incarnation())
      return makeError(ErrorKind::Closed,
                       "the endpoint is not owned under the present "
                       "incarnation; wait for the takeover");
    if (!Use.validAt(now()))
      return makeError(ErrorKind::Closed,
                       "the daemon's lease is not valid; wait until it is "
                       "acquired again");
    return boost::outcome_v2::success();
  }

  void neverSent(const std::string &OrderId) {
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_tracker.neverSent(OrderId);
  }

  /// The lease is checked after the claim's blocking write. A pause between
  /// this check and the sending is what the claim is for.
  Result<OrderState> send(const LeaseUse &Use, const EngineOrder &Order) {
    Result<void> Owner = checkOwner(Use);
    if (!Owner) {
      neverSent(Order.m_orderId);
      return Owner.error();
    }
    Result<OrderState> State = m_engine.sendOrder(Order);
    if (Order.m_kind != OrderKind::Load)
      return State;
    std::lock_guard<std::mutex> Lock(m_mutex);
    ++m_sends;
    if (!State && State.error().m_kind == ErrorKind::Unavailable)
      m_tracker.neverSent(Order.m_orderId);
    else
      m_tracker.sendFinished(Order.m_orderId, now());
    return State;
  }

  OrderTracker tracker() {
    std::lock_guard<std::mutex> Lock(m_mutex);
    return m_tracker;
  }

  /// Forgets orders without a claim, unless an order was sent since the ledger
  /// was read: its claim may be missing from what was read.
  void prune() {
    std::uint64_t Sends = 0;
    {
      std::lock_guard<std::mutex> Lock(m_mutex);
      Sends = m_sends;
    }
    const MemoryLedger Ledger = m_ledger->ledger();
    std::lock_guard<std::mutex> Lock(m_mutex);
    if (Sends == m_sends)
      m_tracker.prune(Ledger);
  }

  void askForOrders(const LoadReport &Report) {
    std::vector<std::string> Asked;
    {
      const MemoryLedger Ledger = m_ledger->ledger();
      std::lock_guard<std::mutex> Lock(m_mutex);
      m_tracker.reportSeen(Ledger, Report, now());
      Asked = m_tracker.ordersToAsk(Ledger, now());
    }
    for (const std::string &OrderId : Asked) {
      const TimePoint AskedAt = now();
      Result<OrderState> State = m_engine.orderState(OrderId);
      if (!State && State.error().m_kind == ErrorKind::NotFound)
        State = OrderState::Unknown;
      if (!State)
        continue;
      const MemoryLedger Ledger = m_ledger->ledger();
      std::lock_guard<std::mutex> Lock(m_mutex);
      m_tracker.orderState(Ledger, OrderId, State.value(), AskedAt, now());
    }
  }

  const std::shared_ptr<EndpointLedger> m_ledger;
  EngineClient &m_engine;
  const EndpointOrdersOptions m_options;
  /// Never held during calls to the engine or the ledger.
  std::mutex m_mutex;
  OrderTracker m_tracker;
  std::uint64_t m_lastOrder = 0;
  std::uint64_t m_sends = 0; ///< Load orders whose sending ended.
};

} // namespace

Result<std::unique_ptr<EndpointOrders>>
createEndpointOrders(std::shared_ptr<EndpointLedger> Ledger,
                     EngineClient &Engine, EndpointOrdersOptions Options) {
  if (Options.m_member.empty())
    return makeError(ErrorKind::InvalidArgument,
                     "the member's name is empty; set the daemon's name");
  return std::unique_ptr<EndpointOrders>(std::make_unique<EndpointOrdersImpl>(
      std::move(Ledger), Engine, std::move(Options)));
}

} // namespace primroseworks
