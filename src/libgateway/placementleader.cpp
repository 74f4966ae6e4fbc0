// Execution of placement moves.
#include "libgateway/placementleader.h"
#include "libgateway/log.h"

#include <algorithm>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <fmt/format.h>

namespace primroseworks::gateway {

namespace {

/// Key of the connections for orders and reports, which no request uses: the
/// responses to them name no request.
std::string controlKey(const std::string &Id, const std::string &Address) {
  return Id + '@' + Address + "/control";
}

bool isCached(const Endpoint &E, const std::string &Model) {
  const std::vector<std::string> &Names = E.m_record.m_cachedModels;
  return std::find(Names.begin(), Names.end(), Model) != Names.end();
}

} // namespace

void PlacementLeader::onClaimLost() {
  m_loadLimiter = LoadLimiter(1, LoadBurst);
  discardLedgers();
}

/// Requires a report from each engine before its next order, since orders of
/// another leader, or the end of this one's own orders, may have been missed.
void PlacementLeader::discardLedgers() {
  m_ledgers.clear();
  for (auto &[Id, E] : m_core.m_endpoints.all())
    E.m_controlledHere = false;
}

void PlacementLeader::forgetGoneEngines() {
  const auto Forget = [this](auto &ById) {
    for (auto It = ById.begin(); It != ById.end();) {
      const bool Gone = !m_core.m_endpoints.find(It->first) &&
                        !m_pendingOrders.count(It->first);
      It = Gone ? ById.erase(It) : std::next(It);
    }
  };
  Forget(m_ledgers);
  Forget(m_nextPoll);
  Forget(m_backoff);
}

EngineLedger *PlacementLeader::ledger(const std::string &Id) {
  const auto It = m_ledgers.find(Id);
  const Endpoint *E = m_core.m_endpoints.find(Id);
  if (It == m_ledgers.end() || !E ||
      It->second.incarnation() != E->m_record.m_incarnation)
    return nullptr;
  return &It->second;
}

const EngineLedger *PlacementLeader::ledger(const std::string &Id) const {
  return const_cast<PlacementLeader *>(this)->ledger(Id);
}

EngineLedger &PlacementLeader::obtainLedger(const Endpoint &E) {
  if (EngineLedger *Known = ledger(E.m_record.m_id))
    return *Known;
  return m_ledgers
      .insert_or_assign(E.m_record.m_id, EngineLedger(E.m_record.m_incarnation))
      .first->second;
}

void PlacementLeader::publish(const std::string &Id, TimePoint Now) {
  const EngineLedger *L = ledger(Id);
  Endpoint *E = m_core.m_endpoints.find(Id);
  if (!L || !L->orders() || !E)
    return;
  E->m_controlledHere = L->controlled();
  m_core.m_endpoints.onHeld(Id, L->incarnation(), *L->orders(), L->usable(Now),
                            Now);
  m_onChanged(Id);
  m_core.dispatchWaiting(Now);
}

/// Returns the state of an engine as input to the policy. Before its first
/// report, the engine's own record tells what it holds; it gets no order then.
PlacementEngine PlacementLeader::engineState(const Endpoint &E,
                                             TimePoint Now) const {
  PlacementEngine P;
  P.m_id = E.m_record.m_id;
  P.m_held = E.m_held;
  P.m_leaving = E.leaving() || E.m_keptUntil.has_value();
  P.m_unresponsive = E.m_consecutiveSilent >= 2;
  P.m_load = E.load().m_requests;
  P.m_cachedModels = E.m_record.m_cachedModels;
  const auto Backoff = m_backoff.find(P.m_id);
  P.m_busy =
      (Backoff != m_backoff.end() && Backoff->second > Now) || E.paused(Now);
  const EngineLedger *L = ledger(P.m_id);
  if (L && L->orders()) {
    P.m_occupancy = L->occupancy();
    for (const auto &[Model, Adapter] : L->changing(OrderKind::Load))
      if (Adapter.empty())
        P.m_loading.push_back(Model);
    P.m_unloading = L->changing(OrderKind::Unload);
    P.m_loadingAdapters = L->arrivingAdapters(Now);
  } else {
    for (const HeldModel &M : E.m_held)
      P.m_occupancy.add(M);
  }
  const auto Pending = m_pendingOrders.find(P.m_id);
  if (Pending == m_pendingOrders.end())
    return P;
  P.m_busy = true;
  const std::string &Replacement = Pending->second.m_move.m_replacementModel;
  if (!Replacement.empty()) {
    P.m_loading.push_back(Replacement);
    P.m_occupancy.add({Replacement, ""});
  }
  return P;
}

PlacementInput PlacementLeader::input(const std::string &ServiceName,
                                      TimePoint Now) {
  PlacementInput In;
  m_core.m_fleetDemand.fill(In, Now, reportLifetime(m_core.m_gatewayCount));
  // In a small fleet, reports are frequent enough for the minimum timeout.
  const Duration Reports =
      fromSeconds(AdapterIdleTimeoutReports *
                  toSeconds(reportInterval(m_core.m_gatewayCount)));
  In.m_adapterIdleTimeout =
      m_core.m_gatewayCount > MaxSmallFleetPeers + 1
          ? std::max<Duration>(MinAdapterIdleTimeout, Reports)
          : Duration(MinAdapterIdleTimeout);
  for (const auto &[Id, E] : m_core.m_endpoints.all())
    if (E.m_record.m_service == ServiceName)
      In.m_engines.push_back(engineState(E, Now));
  return In;
}

/// Whether the ledger of the engine allows a load.
bool PlacementLeader::mayLoad(const Endpoint &E,
                              const PlacementMove &Load) const {
  const auto Target =
      m_core.m_configuration->m_services.find(E.m_record.m_service);
  const EngineLedger *L = ledger(Load.m_engine);
  return L && Target != m_core.m_configuration->m_services.end() &&
         Target->second.m_engine &&
         L->mayLoad(*Target->second.m_engine, {Load.m_model, Load.m_adapter});
}

/// Logs the planning input, at most once per InputLogInterval.
void PlacementLeader::logInput(const PlacementInput &In, TimePoint Now) {
  if (Now - m_lastInputLog < InputLogInterval)
    return;
  m_lastInputLog = Now;
  std::string Models;
  for (const auto &[Name, D] : In.m_models) {
    unsigned Copies = 0;
    for (const PlacementEngine &E : In.m_engines)
      for (const HeldModel &M : E.m_held)
        Copies += M.m_name == Name ? 1 : 0;
    Models += fmt::format("{}={}c/{:.0f}r/{:.0f}w/{:.1f}s ", Name, Copies,
                          D.m_running, D.m_waiting, D.m_arrivals);
  }
  std::string Engines;
  for (const PlacementEngine &E : In.m_engines)
    Engines += fmt::format("{}={:.0f}{}{} ", E.m_id, E.m_load,
                           E.m_busy ? "b" : "", E.m_leaving ? "l" : "");
  decisionlog::line(LogClass::KnownState, "placement_input")
      .text("models", Models)
      .text("engines", Engines)
      .number("loads_allowed", In.m_loadsAllowed);
}

/// Number of loads from the weight store that will be ordered once the unloads
/// that make room for them complete.
unsigned PlacementLeader::pendingReplacementLoads() const {
  unsigned Count = 0;
  for (const auto &[Id, P] : m_pendingOrders) {
    const Endpoint *E = m_core.m_endpoints.find(Id);
    if (E && !P.m_move.m_replacementModel.empty() &&
        !isCached(*E, P.m_move.m_replacementModel))
      ++Count;
  }
  return Count;
}

void PlacementLeader::step(TimePoint Now) {
  if (!m_core.m_configuration || !m_core.m_endpointsKnown)
    return;
  if (!m_claim.tokenAt(BootClock::now())) {
    discardLedgers();
    return;
  }
  forgetGoneEngines();
  pollUnsettled(Now);
  for (const auto &[Name, Target] : m_core.m_configuration->m_services) {
    if (!Target.m_engine)
      continue;
    m_loadLimiter.setRate(Target.m_engine->m_loadsPerSecond);
    PlacementInput In = input(Name, Now);
    In.m_loadsAllowed = m_loadLimiter.available(Now);
    In.m_loadsAllowed -= std::min(In.m_loadsAllowed, pendingReplacementLoads());
    logInput(In, Now);
    for (PlacementMove &M : planPlacement(*Target.m_engine, In, Now)) {
      if (m_pendingOrders.count(M.m_engine))
        continue;
      auto Backoff = m_backoff.find(M.m_engine);
      if (Backoff != m_backoff.end() && Backoff->second > Now)
        continue;
      m_pendingOrders[M.m_engine] = PendingOrder{M, Now};
      start(
          "move", [this, M] { return executeMove(M); },
          [this, Engine = M.m_engine] { onMoveFailed(Engine); });
    }
  }
}

void PlacementLeader::start(const char *Name, TaskFactory Create,
                            std::function<void()> OnFailure) {
  spawnTask(m_core.m_io, *m_core.m_metrics, Name, std::move(Create),
            std::move(OnFailure));
}

/// An exception ended a move, so what it did is not known.
void PlacementLeader::onMoveFailed(const std::string &Engine) {
  m_pendingOrders.erase(Engine);
  m_backoff[Engine] = clockNow() + OrderBackoff;
  if (EngineLedger *L = ledger(Engine))
    L->loseControl();
}

asio::awaitable<void> PlacementLeader::sleepFor(Duration Time) {
  asio::steady_timer Timer(m_core.m_io, Time);
  std::error_code Ignored;
  co_await Timer.async_wait(asio::redirect_error(asio::use_awaitable, Ignored));
}

/// Reads the reports of engines at which only a report can show the effect of
/// an order.
void PlacementLeader::pollUnsettled(TimePoint Now) {
  for (const auto &[Id, E] : m_core.m_endpoints.all()) {
    const EngineLedger *L = ledger(Id);
    if (!L || m_pendingOrders.count(Id) || Now < m_nextPoll[Id] ||
        E.paused(Now) ||
        !(L->unsettled() || L->disagrees(E.m_record.m_models, Now)))
      continue;
    m_nextPoll[Id] = Now + UnsettledPollInterval;
    start("report", [this, Id = Id]() -> asio::awaitable<void> {
      (void)co_await refreshFromReport(Id);
    });
  }
}

asio::awaitable<OrderResult> PlacementLeader::send(PlacementMove Move,
                                                   EngineOrder Order) {
  const Endpoint *E = m_core.m_endpoints.find(Move.m_engine);
  const std::optional<std::uint64_t> Token = m_claim.tokenAt(BootClock::now());
  if (!E || !Token || E->paused(clockNow()))
    co_return OrderResult::NotExecuted;
  const std::uint64_t Incarnation = E->m_record.m_incarnation;
  Order.m_holder = m_holder;
  Order.m_fencingToken = *Token;
  const std::string Address = E->m_record.m_address;
  const std::string Request = m_core.m_dialect.orderRequest(E->m_record, Order);
  const TimePoint Sent = clockNow();
  Result<HttpClientResponse> Response = co_await callHttp(
      m_core.m_io, m_core.m_pool, controlKey(Move.m_engine, Address), Address,
      Request, {OrderTimeout, MaxOrderResponseBytes},
      ConnectionReuse::AfterSuccess);
  OrderResult Outcome = OrderResult::Unknown;
  if (Response) {
    Outcome = m_core.m_dialect.orderResult(Response.value().m_head.m_status);
    m_core.onResponse(Move.m_engine, Incarnation, Response.value().m_head,
                      clockNow());
  } else if (Response.error().m_kind == ErrorKind::Unavailable) {
    Outcome = OrderResult::NotExecuted;
  }
  m_core.m_metrics->order(std::string(nameOf(OrderKindNames, Move.m_kind)) +
                              (Move.m_adapter.empty() ? "_model" : "_adapter"),
                          std::string(nameOf(OrderResultNames, Outcome)));
  decisionlog::line(LogClass::Order, "order")
      .text("endpoint", Move.m_engine)
      .text("order", nameOf(OrderKindNames, Move.m_kind))
      .text("model", Move.m_model)
      .text("adapter", Move.m_adapter)
      .text("reason", Move.m_reason)
      .number("expected", static_cast<std::int64_t>(Order.m_expected))
      .number("token", static_cast<std::int64_t>(*Token))
      .text("result", nameOf(OrderResultNames, Outcome))
      .real("took_ms", toMillis(clockNow() - Sent));
  co_return Outcome;
}

/// Enters the engine's report in its ledger. Returns true if the report was
/// taken and the engine is idle.
asio::awaitable<bool> PlacementLeader::refreshFromReport(std::string Id) {
  const Endpoint *E = m_core.m_endpoints.find(Id);
  if (!E || E->paused(clockNow()))
    co_return false;
  const std::string Address = E->m_record.m_address;
  const std::uint64_t Incarnation = E->m_record.m_incarnation;
  const TimePoint RequestedAt = clockNow();
  Result<HttpClientResponse> Response = co_await callHttp(
      m_core.m_io, m_core.m_pool, controlKey(Id, Address), Address,
      m_core.m_dialect.reportRequest(E->m_record),
      {OrderTimeout, MaxReportBytes}, ConnectionReuse::AfterSuccess);
  if (Response)
    m_core.onResponse(Id, Incarnation, Response.value().m_head, clockNow());
  if (!Response || Response.value().m_head.m_status != 200)
    co_return false;
  Result<EngineReport> Report =
      m_core.m_dialect.decodeReport(Response.value().m_body);
  if (!Report) {
    decisionlog::line(LogClass::KnownState, "report_unreadable")
        .text("endpoint", Id)
        .text("error", Report.error().m_message);
    co_return false;
  }
  E = m_core.m_endpoints.find(Id);
  if (!E || E->m_record.m_incarnation != Incarnation ||
      !m_claim.tokenAt(BootClock::now()))
    co_return false;
  const EngineReport &R = Report.value();
  EngineLedger &L = obtainLedger(*E);
  logReport(Id, R, L.orders());
  if (!L.onReport(R, RequestedAt, clockNow()))
    co_return false;
  publish(Id, clockNow());
  co_return !R.m_busy;
}

/// Logs an engine's report beside the number of orders that the ledger knows.
void PlacementLeader::logReport(const std::string &Id, const EngineReport &R,
                                std::optional<std::uint64_t> KnownOrders) {
  std::string Names;
  for (const HeldModel &M : R.m_models)
    Names += fmt::format("{}[{}] ", M.m_name, fmt::join(M.m_adapters, " "));
  decisionlog::line(LogClass::KnownState, "report")
      .text("endpoint", Id)
      .number("orders", static_cast<std::int64_t>(R.m_orders))
      .number("known_orders",
              KnownOrders ? static_cast<std::int64_t>(*KnownOrders) : -1)
      .number("busy", R.m_busy ? 1 : 0)
      .number("coming", static_cast<std::int64_t>(R.m_loadingAdapters.size()))
      .text("models", Names);
}

/// Polls the engine until its report shows the end of a model's load or unload.
asio::awaitable<bool> PlacementLeader::awaitModel(PlacementMove Move,
                                                  TimePoint Since) {
  while (clockNow() - Since < ModelOrderTimeout) {
    const Duration Elapsed = clockNow() - Since;
    co_await sleepFor(std::max<Duration>(
        MinPollInterval, fromSeconds(toSeconds(Elapsed) * PollIntervalShare)));
    if (!m_claim.tokenAt(BootClock::now()) ||
        !m_core.m_endpoints.find(Move.m_engine))
      co_return false;
    const bool Idle = co_await refreshFromReport(Move.m_engine);
    const Endpoint *E = m_core.m_endpoints.find(Move.m_engine);
    if (!E || !ledger(Move.m_engine))
      co_return false;
    const bool Present = E->held(Move.m_model) != nullptr;
    if (Move.m_kind == OrderKind::Load && Present)
      co_return true;
    if (Move.m_kind == OrderKind::Unload && Idle && !Present)
      co_return true;
    if (Idle && Elapsed > MaxReportAge)
      co_return false; // Idle without having executed the order.
    if (Move.m_kind == OrderKind::Unload)
      // Announced again until the model is unloaded.
      m_onChanged(Move.m_engine);
  }
  co_return false;
}

/// Sends an order and enters its outcome. Waits until a model's load or unload
/// took effect; engines accept further orders while they load an adapter.
asio::awaitable<bool> PlacementLeader::executeOrder(PlacementMove Move) {
  const Endpoint *E = m_core.m_endpoints.find(Move.m_engine);
  EngineLedger *L = ledger(Move.m_engine);
  if (!E || !L || !L->acceptsOrders())
    co_return false;
  const bool IsModel = Move.m_adapter.empty();
  const bool IsLoad = Move.m_kind == OrderKind::Load;
  const TimePoint Since = clockNow();
  if (IsLoad && !mayLoad(*E, Move)) {
    m_core.m_metrics->count("load_without_room");
    m_backoff[Move.m_engine] = Since + OrderBackoff;
    co_return false;
  }
  const bool FromWeightStore = IsLoad && IsModel && !isCached(*E, Move.m_model);
  if (FromWeightStore)
    m_loadLimiter.take(Since);
  EngineOrder Order;
  Order.m_kind = Move.m_kind;
  Order.m_model = Move.m_model;
  Order.m_adapter = Move.m_adapter;
  Order.m_expected = *L->orders();
  L->onSent(Order);
  // No request may be routed to what is about to be unloaded.
  if (!IsLoad)
    publish(Move.m_engine, Since);
  const OrderResult Outcome = co_await send(Move, Order);
  if (FromWeightStore && Outcome != OrderResult::Accepted &&
      Outcome != OrderResult::Unknown)
    m_loadLimiter.giveBack(clockNow());
  L = ledger(Move.m_engine);
  if (L)
    L->onResult(Outcome, clockNow());
  publish(Move.m_engine, clockNow());
  if (!L)
    co_return false;
  const bool Unloaded =
      !IsModel && !IsLoad && Outcome == OrderResult::AlreadyHolds;
  if (Outcome != OrderResult::Accepted && !Unloaded) {
    const bool Holds = co_await onOrderNotAccepted(Move, Outcome);
    co_return Holds;
  }
  if (IsModel) {
    const bool Done = co_await awaitModel(Move, Since);
    L = ledger(Move.m_engine);
    if (!Done && L)
      L->loseControl(); // The load may still be in progress.
    publish(Move.m_engine, clockNow());
    co_return Done;
  }
  if (IsLoad) {
    start("adapter_load", [this, Move] { return finishAdapterLoad(Move); });
  } else if (!Unloaded) {
    m_core.m_metrics->count("adapter_unload_waits");
    m_backoff[Move.m_engine] = clockNow() + OrderBackoff;
  }
  co_return true;
}

/// Makes an adapter available to requests after AdapterLoadTime.
asio::awaitable<void> PlacementLeader::finishAdapterLoad(PlacementMove Move) {
  co_await sleepFor(AdapterLoadTime);
  m_core.m_fleetDemand.onLoaded({Move.m_model, Move.m_adapter}, clockNow());
  publish(Move.m_engine, clockNow());
}

/// Handles an order that was not accepted. Returns whether its effect holds
/// all the same.
asio::awaitable<bool> PlacementLeader::onOrderNotAccepted(PlacementMove Move,
                                                          OrderResult Outcome) {
  if (Outcome == OrderResult::Fenced) {
    decisionlog::line(LogClass::Lifecycle, "leader_fenced")
        .text("endpoint", Move.m_engine);
    m_claim.onFenced();
    co_return false;
  }
  const bool Holds = Outcome == OrderResult::AlreadyHolds;
  if (Holds && !Move.m_adapter.empty())
    co_return true;
  m_backoff[Move.m_engine] = clockNow() + OrderBackoff;
  // Any other outcome needs a report, which lags.
  if (Outcome != OrderResult::NotExecuted)
    co_await sleepFor(MaxReportAge / 2);
  co_return Holds;
}

asio::awaitable<void> PlacementLeader::executeMove(PlacementMove Move) {
  bool Done = false;
  const EngineLedger *L = ledger(Move.m_engine);
  if (!L || !L->acceptsOrders()) {
    // The number of orders that the engine accepted and its loads in progress
    // are not known, as after a change of leader: read its report and plan
    // again.
    if (!co_await refreshFromReport(Move.m_engine))
      m_backoff[Move.m_engine] = clockNow() + OrderBackoff;
  } else {
    Done = co_await executeOrder(Move);
    if (Done && !Move.m_replacementModel.empty()) {
      const PlacementMove Load{Move.m_engine,           OrderKind::Load,
                               Move.m_replacementModel, "",
                               Move.m_reason,           ""};
      m_pendingOrders[Move.m_engine].m_move = Load;
      Done = co_await executeOrder(Load);
    }
  }
  if (!Done)
    m_core.m_metrics->count("order_not_done");
  m_pendingOrders.erase(Move.m_engine);
  if (m_core.m_onAdapterWanted)
    m_core.m_onAdapterWanted();
}

} // namespace primroseworks::gateway
