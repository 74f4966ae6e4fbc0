// Orders to engines.
#include "libgateway/placementleader.h"
#include "libgateway/log.h"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <fmt/format.h>

namespace primroseworks::gateway {

namespace {

TimePoint clockNow() { return std::chrono::steady_clock::now(); }

HeldModel *heldIn(std::vector<HeldModel> &Held, const std::string &Model) {
  for (HeldModel &M : Held)
    if (M.m_name == Model)
      return &M;
  return nullptr;
}

bool isAtHand(const Endpoint &E, const std::string &Model) {
  const std::vector<std::string> &Names = E.m_record.m_atHand;
  return std::find(Names.begin(), Names.end(), Model) != Names.end();
}

} // namespace

void PlacementLeader::onClaimLost() {
  m_limiter = LoadLimiter(1, LoadBurst);
  m_uncertain.clear();
  forgetReports();
}

/// Orders of others, and the ends of own ones, may have been missed: each
/// engine's next report is read before it gets an order.
void PlacementLeader::forgetReports() {
  for (auto &[Id, E] : m_core.m_endpoints.all())
    E.m_ledHere = false;
}

/// The engine as the policy sees it, with orders whose effect is not known.
PlacementEngine PlacementLeader::view(const Endpoint &E, TimePoint Now) const {
  PlacementEngine P;
  P.m_id = E.m_record.m_id;
  P.m_held = E.m_held;
  P.m_leaving = E.m_record.m_draining || E.m_missingSince.has_value();
  P.m_avoided = E.m_silentInRow >= 2;
  P.m_load = E.load().m_requests;
  P.m_atHand = E.m_record.m_atHand;
  const auto Backoff = m_backoff.find(P.m_id);
  P.m_busy = Backoff != m_backoff.end() && Backoff->second > Now;
  const auto InProgress = m_pending.find(P.m_id);
  if (InProgress != m_pending.end()) {
    const PlacementMove &M = InProgress->second.m_move;
    P.m_busy = true;
    if (!M.m_adapter.empty() && M.m_kind == OrderKind::Load)
      P.m_loadingAdapters.push_back({M.m_model, M.m_adapter});
    else if (M.m_adapter.empty() && M.m_kind == OrderKind::Load)
      P.m_loading.push_back(M.m_model);
    else if (M.m_adapter.empty())
      P.m_unloading.push_back(M.m_model);
    if (!M.m_thenLoad.empty())
      P.m_loading.push_back(M.m_thenLoad);
  }
  const auto Coming = m_coming.find(P.m_id);
  if (Coming != m_coming.end())
    P.m_loadingAdapters.insert(P.m_loadingAdapters.end(),
                               Coming->second.begin(), Coming->second.end());
  const auto Going = m_going.find(P.m_id);
  if (Going != m_going.end())
    for (const auto &[Name, Until] : Going->second)
      if (Now < Until && !E.holds(Name.first, Name.second))
        P.m_loadingAdapters.push_back(Name);
  const auto Uncertain = m_uncertain.find(P.m_id);
  if (Uncertain != m_uncertain.end())
    for (const PlacementMove &M : Uncertain->second) {
      if (!M.m_adapter.empty())
        P.m_loadingAdapters.push_back({M.m_model, M.m_adapter});
      else
        P.m_unloading.push_back(M.m_model);
    }
  return P;
}

PlacementInput PlacementLeader::input(const std::string &ServiceName,
                                      TimePoint Now) {
  PlacementInput In;
  m_core.m_fleetDemand.fill(In, Now, reportLifetime(m_core.m_gatewayCount));
  // In a small fleet reports come more often than the shortest time asks for.
  const Duration Reports = fromSeconds(
      AdapterKeepReports * toSeconds(reportInterval(m_core.m_gatewayCount)));
  In.m_adapterKeepTime = m_core.m_gatewayCount > MaxSmallFleetPeers + 1
                             ? std::max<Duration>(AdapterKeepLeast, Reports)
                             : Duration(AdapterKeepLeast);
  for (const auto &[Id, E] : m_core.m_endpoints.all())
    if (E.m_record.m_service == ServiceName)
      In.m_engines.push_back(view(E, Now));
  return In;
}

/// Whether the engine's memory holds everything that it may hold, the load in
/// progress included.
bool PlacementLeader::fits(const Endpoint &E, TimePoint Now) const {
  const auto Target =
      m_core.m_configuration->m_services.find(E.m_record.m_service);
  if (Target == m_core.m_configuration->m_services.end() ||
      !Target->second.m_engine)
    return false;
  const EngineSpec &Spec = *Target->second.m_engine;
  return usedMemoryMb(Spec, view(E, Now)) <= Spec.m_memoryMb;
}

/// One line on what the decisions of the next second are based on.
void PlacementLeader::describe(const PlacementInput &In, TimePoint Now) {
  if (Now - m_described < DescribeInterval)
    return;
  m_described = Now;
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

/// Loads from the weight store that moves in progress have still to order.
unsigned PlacementLeader::loadsToCome() const {
  unsigned Count = 0;
  for (const auto &[Id, P] : m_pending) {
    const Endpoint *E = m_core.m_endpoints.find(Id);
    if (E && !P.m_move.m_thenLoad.empty() && !isAtHand(*E, P.m_move.m_thenLoad))
      ++Count;
  }
  return Count;
}

void PlacementLeader::step(TimePoint Now) {
  if (!m_core.m_configuration || !m_core.m_endpointsKnown)
    return;
  if (!m_claim.tokenAt(BootClock::now())) {
    forgetReports();
    return;
  }
  for (const auto &[Name, Target] : m_core.m_configuration->m_services) {
    if (!Target.m_engine)
      continue;
    m_limiter.setRate(Target.m_engine->m_loadsPerSecond);
    PlacementInput In = input(Name, Now);
    In.m_loadsAllowed = m_limiter.available(Now);
    In.m_loadsAllowed -= std::min(In.m_loadsAllowed, loadsToCome());
    describe(In, Now);
    for (PlacementMove &M : planPlacement(*Target.m_engine, In, Now)) {
      if (m_pending.count(M.m_engine))
        continue;
      auto Backoff = m_backoff.find(M.m_engine);
      if (Backoff != m_backoff.end() && Backoff->second > Now)
        continue;
      m_pending[M.m_engine] = Pending{M, Now};
      asio::co_spawn(m_core.m_io, carryOut(M), asio::detached);
    }
  }
}

asio::awaitable<void> PlacementLeader::pause(Duration Time) {
  asio::steady_timer Timer(m_core.m_io, Time);
  std::error_code Ignored;
  co_await Timer.async_wait(asio::redirect_error(asio::use_awaitable, Ignored));
}

asio::awaitable<OrderResult> PlacementLeader::send(PlacementMove Move,
                                                   std::uint64_t Expected) {
  const Endpoint *E = m_core.m_endpoints.find(Move.m_engine);
  const std::optional<std::uint64_t> Token = m_claim.tokenAt(BootClock::now());
  if (!E || !Token)
    co_return OrderResult::NotExecuted;
  EngineOrder Order;
  Order.m_kind = Move.m_kind;
  Order.m_model = Move.m_model;
  Order.m_adapter = Move.m_adapter;
  Order.m_expected = Expected;
  Order.m_holder = m_holder;
  Order.m_fencingToken = *Token;
  const std::string Address = E->m_record.m_address;
  const std::string Request = m_core.m_dialect.orderRequest(E->m_record, Order);
  const TimePoint Sent = clockNow();
  Result<HttpAnswer> Answer = co_await callHttp(m_core.m_io, m_core.m_pool,
                                                Move.m_engine + '@' + Address,
                                                Address, Request, OrderLimit);
  OrderResult Outcome = OrderResult::Unknown;
  if (Answer)
    Outcome = m_core.m_dialect.orderResult(Answer.value().m_head.m_status);
  else if (Answer.error().m_kind == ErrorKind::Unavailable)
    Outcome = OrderResult::NotExecuted;
  m_core.m_metrics->order(std::string(nameOf(OrderKindNames, Move.m_kind)) +
                              (Move.m_adapter.empty() ? "_model" : "_adapter"),
                          std::string(nameOf(OrderResultNames, Outcome)));
  decisionlog::line(LogClass::Order, "order")
      .text("endpoint", Move.m_engine)
      .text("order", nameOf(OrderKindNames, Move.m_kind))
      .text("model", Move.m_model)
      .text("adapter", Move.m_adapter)
      .text("reason", Move.m_reason)
      .number("expected", static_cast<std::int64_t>(Expected))
      .number("token", static_cast<std::int64_t>(*Token))
      .text("result", nameOf(OrderResultNames, Outcome))
      .real("took_ms", toMillis(clockNow() - Sent));
  co_return Outcome;
}

/// Reads the engine's report into the beliefs. The report lags, so it counts
/// only if it includes every order that is known.
asio::awaitable<bool> PlacementLeader::refresh(std::string Id) {
  const Endpoint *E = m_core.m_endpoints.find(Id);
  if (!E)
    co_return false;
  const std::string Address = E->m_record.m_address;
  const std::uint64_t Incarnation = E->m_record.m_incarnation;
  Result<HttpAnswer> Answer = co_await callHttp(
      m_core.m_io, m_core.m_pool, Id + '@' + Address, Address,
      m_core.m_dialect.reportRequest(E->m_record), OrderLimit);
  if (!Answer || Answer.value().m_head.m_status != 200)
    co_return false;
  Result<EngineReport> Report =
      m_core.m_dialect.decodeReport(Answer.value().m_body);
  if (!Report) {
    decisionlog::line(LogClass::KnownState, "report_unreadable")
        .text("endpoint", Id)
        .text("error", Report.error().m_message);
    co_return false;
  }
  const EngineReport &R = Report.value();
  E = m_core.m_endpoints.find(Id);
  if (E && R.m_orders > E->m_orders.value_or(0))
    m_uncertain.erase(Id); // The order without an answer is included.
  std::vector<HeldModel> Held = R.m_models;
  std::string Names;
  for (const HeldModel &M : Held)
    Names += M.m_name + ' ';
  decisionlog::line(LogClass::KnownState, "report")
      .text("endpoint", Id)
      .number("orders", static_cast<std::int64_t>(R.m_orders))
      .number("known_orders",
              E ? static_cast<std::int64_t>(E->m_orders.value_or(0)) : -1)
      .number("busy", R.m_busy ? 1 : 0)
      .number("coming", static_cast<std::int64_t>(R.m_coming.size()))
      .text("models", Names);
  auto It = m_pending.find(Id);
  if (It != m_pending.end() && It->second.m_move.m_adapter.empty() &&
      It->second.m_move.m_kind == OrderKind::Unload && R.m_busy) {
    // A model that is about to go still runs requests, and takes no new ones.
    const std::string &Going = It->second.m_move.m_model;
    Held.erase(std::remove_if(
                   Held.begin(), Held.end(),
                   [&Going](const HeldModel &M) { return M.m_name == Going; }),
               Held.end());
  }
  // An adapter that was ordered here and is still in transit keeps its place.
  for (const auto &[Model, Adapter] : R.m_coming) {
    HeldModel *M = heldIn(Held, Model);
    if (M && E && E->holds(Model, Adapter))
      M->m_adapters.insert(Adapter);
  }
  m_core.m_endpoints.onReport(Id, Incarnation, R.m_orders, Held, clockNow());
  E = m_core.m_endpoints.find(Id);
  co_return E && E->m_orders == R.m_orders && !R.m_busy && R.m_coming.empty();
}

/// Changes the beliefs for an order that took effect.
void PlacementLeader::apply(const PlacementMove &Move, std::uint64_t Orders,
                            TimePoint Now) {
  const Endpoint *E = m_core.m_endpoints.find(Move.m_engine);
  if (!E)
    return;
  std::vector<HeldModel> Held = E->m_held;
  HeldModel *Model = heldIn(Held, Move.m_model);
  if (Move.m_kind == OrderKind::Load) {
    if (Move.m_adapter.empty() && !Model)
      Held.push_back(HeldModel{Move.m_model, 0, {}});
    else if (!Move.m_adapter.empty() && Model)
      Model->m_adapters.insert(Move.m_adapter);
  } else if (Model) {
    if (!Move.m_adapter.empty())
      Model->m_adapters.erase(Move.m_adapter);
    else
      Held.erase(Held.begin() + (Model - Held.data()));
  }
  m_core.m_endpoints.onHeld(Move.m_engine, E->m_record.m_incarnation, Orders,
                            Held, Now);
  m_onChanged(Move.m_engine);
  m_core.dispatchWaiting(Now);
}

/// Waits until the engine shows that a model's load or unload has ended.
asio::awaitable<bool> PlacementLeader::awaitModel(PlacementMove Move,
                                                  TimePoint Since) {
  while (clockNow() - Since < ModelOrderLimit) {
    const Duration Passed = clockNow() - Since;
    co_await pause(std::max<Duration>(
        ReportPauseMin, fromSeconds(toSeconds(Passed) * ReportPauseShare)));
    if (!m_claim.tokenAt(BootClock::now()) ||
        !m_core.m_endpoints.find(Move.m_engine))
      co_return false;
    const bool Idle = co_await refresh(Move.m_engine);
    const Endpoint *E = m_core.m_endpoints.find(Move.m_engine);
    if (!E)
      co_return false;
    const bool Present = E->held(Move.m_model) != nullptr;
    if (Move.m_kind == OrderKind::Load && Present)
      co_return true;
    if (Move.m_kind == OrderKind::Unload && Idle && !Present)
      co_return true;
    if (Idle && Passed > ReportAgeMax)
      co_return false; // It does nothing, and what was ordered did not come.
    if (Move.m_kind == OrderKind::Unload)
      m_onChanged(Move.m_engine); // Repeated until the model is gone.
  }
  co_return false;
}

/// Sends one order for a model and waits for its effect.
asio::awaitable<bool> PlacementLeader::orderModel(PlacementMove Move) {
  const Endpoint *E = m_core.m_endpoints.find(Move.m_engine);
  if (!E || !E->m_orders)
    co_return false;
  if (Move.m_kind == OrderKind::Load && !fits(*E, clockNow())) {
    m_core.m_metrics->count("load_without_room");
    m_backoff[Move.m_engine] = clockNow() + OrderBackoff;
    co_return false;
  }
  if (Move.m_kind == OrderKind::Load && !isAtHand(*E, Move.m_model))
    m_limiter.take(clockNow());
  const std::uint64_t Expected = *E->m_orders;
  const std::uint64_t Incarnation = E->m_record.m_incarnation;
  // Requests must not reach what is about to go.
  if (Move.m_kind == OrderKind::Unload)
    apply(Move, Expected, clockNow());
  const TimePoint Since = clockNow();
  const OrderResult Outcome = co_await send(Move, Expected);
  if (Outcome != OrderResult::Accepted) {
    co_await afterRefusal(Move, Outcome);
    co_return Outcome == OrderResult::AlreadyHolds;
  }
  // An accepted order settles the earlier ones without an answer: they no
  // longer match the engine's count.
  m_uncertain.erase(Move.m_engine);
  E = m_core.m_endpoints.find(Move.m_engine);
  if (!E)
    co_return false;
  m_core.m_endpoints.onHeld(Move.m_engine, Incarnation, Expected + 1, E->m_held,
                            clockNow());
  const bool Done = co_await awaitModel(Move, Since);
  Endpoint *Led = m_core.m_endpoints.find(Move.m_engine);
  if (!Done && Led)
    Led->m_ledHere = false; // It may still be loading.
  m_onChanged(Move.m_engine);
  m_core.dispatchWaiting(clockNow());
  co_return Done;
}

/// Sends one order for an adapter. The engine takes further orders while the
/// adapter is on its way.
asio::awaitable<bool> PlacementLeader::orderAdapter(PlacementMove Move) {
  const Endpoint *E = m_core.m_endpoints.find(Move.m_engine);
  if (!E || !E->m_orders)
    co_return false;
  const std::uint64_t Expected = *E->m_orders;
  if (Move.m_kind == OrderKind::Unload)
    apply(Move, Expected, clockNow());
  const OrderResult Outcome = co_await send(Move, Expected);
  const bool Load = Move.m_kind == OrderKind::Load;
  // An adapter's unload is done at once and answered with 200; it counts as an
  // order all the same.
  const bool Counted = Outcome == OrderResult::Accepted ||
                       (Outcome == OrderResult::AlreadyHolds && !Load);
  if (Counted) {
    m_uncertain.erase(Move.m_engine);
    E = m_core.m_endpoints.find(Move.m_engine);
    if (!E)
      co_return false;
    m_core.m_endpoints.onHeld(Move.m_engine, E->m_record.m_incarnation,
                              Expected + 1, E->m_held, clockNow());
    if (Load)
      asio::co_spawn(m_core.m_io, finishAdapter(Move), asio::detached);
    else
      m_onChanged(Move.m_engine);
    if (!Load && Outcome == OrderResult::Accepted)
      awaitUnload(Move);
    co_return true;
  }
  if (Outcome == OrderResult::AlreadyHolds) {
    apply(Move, Expected, clockNow());
    co_return true;
  }
  co_await afterRefusal(Move, Outcome);
  co_return false;
}

/// An adapter whose unload was accepted, and not done at once, is in use and
/// keeps its place until a report shows that it is gone.
void PlacementLeader::awaitUnload(const PlacementMove &Move) {
  m_core.m_metrics->count("adapter_unload_waits");
  m_backoff[Move.m_engine] = clockNow() + OrderBackoff;
  m_going[Move.m_engine][{Move.m_model, Move.m_adapter}] =
      clockNow() + UnloadWaitMost;
  if (Endpoint *Led = m_core.m_endpoints.find(Move.m_engine))
    Led->m_ledHere = false;
}

/// Lets requests use an adapter once its load has had its time.
asio::awaitable<void> PlacementLeader::finishAdapter(PlacementMove Move) {
  const ArtifactName Name{Move.m_model, Move.m_adapter};
  m_coming[Move.m_engine].insert(Name);
  co_await pause(AdapterLoadTime);
  m_core.m_fleetDemand.onLoaded(Name, clockNow());
  auto It = m_coming.find(Move.m_engine);
  if (It != m_coming.end()) {
    It->second.erase(Name);
    if (It->second.empty())
      m_coming.erase(It);
  }
  const Endpoint *E = m_core.m_endpoints.find(Move.m_engine);
  if (E)
    apply(Move, E->m_orders.value_or(0), clockNow());
}

/// What an order that was not accepted tells.
asio::awaitable<void> PlacementLeader::afterRefusal(PlacementMove Move,
                                                    OrderResult Outcome) {
  if (Outcome == OrderResult::Fenced) {
    decisionlog::line(LogClass::Lifecycle, "leader_fenced")
        .text("endpoint", Move.m_engine);
    m_claim.onNotLeader();
    co_return;
  }
  if (Outcome == OrderResult::Unknown && Move.m_kind == OrderKind::Load)
    m_uncertain[Move.m_engine].push_back(Move);
  m_backoff[Move.m_engine] = clockNow() + OrderBackoff;
  if (Outcome == OrderResult::NotExecuted)
    co_return;
  // The engine may be carrying out an order that the beliefs lack: nothing is
  // ordered there until a report shows it idle.
  Endpoint *Led = m_core.m_endpoints.find(Move.m_engine);
  if (Led)
    Led->m_ledHere = false;
  co_await pause(ReportAgeMax / 2);
}

asio::awaitable<void> PlacementLeader::carryOut(PlacementMove Move) {
  const Endpoint *E = m_core.m_endpoints.find(Move.m_engine);
  bool Done = false;
  if (E && !E->m_ledHere) {
    // A new leader knows neither the count of orders nor what is on its way;
    // it plans anew with what the report shows.
    const bool Idle = co_await refresh(Move.m_engine);
    Endpoint *Led = m_core.m_endpoints.find(Move.m_engine);
    if (Led && Idle)
      Led->m_ledHere = true;
    else
      m_backoff[Move.m_engine] = clockNow() + OrderBackoff;
  } else if (E && !Move.m_adapter.empty()) {
    Done = co_await orderAdapter(Move);
  } else if (E) {
    Done = co_await orderModel(Move);
    if (Done && !Move.m_thenLoad.empty()) {
      const PlacementMove Load{Move.m_engine,   OrderKind::Load,
                               Move.m_thenLoad, "",
                               Move.m_reason,   ""};
      m_pending[Move.m_engine].m_move = Load;
      Done = co_await orderModel(Load);
    }
  }
  if (!Done)
    m_core.m_metrics->count("order_not_done");
  m_pending.erase(Move.m_engine);
  if (m_core.m_onAdapterWanted)
    m_core.m_onAdapterWanted();
}

} // namespace primroseworks::gateway
