// Tests of the scheduling by coordinators: gateways and one or two coordinators
// in one process, with a network that can lose messages.
#include "libgateway/failoverprobe.h"
#include "libgateway/scheduler.h"
#include "libgateway/schedulerclient.h"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <set>

using namespace primroseworks;
using namespace primroseworks::gateway;

namespace {

const TimePoint Start = TimePoint() + Seconds(100);
constexpr unsigned Slots = 12;

/// Dialect that is never used: no request reaches an endpoint here.
class NoDialect final : public Dialect {
public:
  std::string configurationKey() const override { return "config"; }
  std::string endpointPrefix() const override { return "endpoints/"; }
  std::string readyPath() const override { return "/ready"; }
  Result<Configuration>
  decodeConfiguration(const std::string &) const override {
    return makeError(ErrorKind::Protocol, "not used");
  }
  Result<EndpointRecord> decodeEndpoint(const std::string &,
                                        const std::string &) const override {
    return makeError(ErrorKind::Protocol, "not used");
  }
  RequestMetadata requestMetadata(const HttpHead &) const override {
    return {};
  }
  ResponseMetadata responseMetadata(const HttpHead &) const override {
    return {};
  }
  bool forwardsHeader(std::string_view) const override { return true; }
  bool isAccountHeader(std::string_view) const override { return false; }
  std::string attemptHeaders(const AttemptMetadata &) const override {
    return "";
  }
  std::string orderRequest(const EndpointRecord &,
                           const EngineOrder &) const override {
    return "";
  }
  OrderResult orderResult(unsigned) const override {
    return OrderResult::Unknown;
  }
  std::string reportRequest(const EndpointRecord &) const override {
    return "";
  }
  Result<EngineReport> decodeReport(const std::string &) const override {
    return makeError(ErrorKind::Protocol, "not used");
  }
};

std::unique_ptr<Core> makeCore(asio::io_context &Io, const Dialect &Platform,
                               const std::string &Name) {
  Settings Options;
  Options.m_vm = Name;
  Options.m_failureDomain = "d1";
  Options.m_regions = {{"d1", "r1"}};
  auto C = std::make_unique<Core>(
      Io, Options, Platform,
      std::move(CrashSuspects::create(SuspectOptions()).value()));
  auto Config = std::make_shared<Configuration>();
  Service Llm;
  Llm.m_name = "llm";
  Llm.m_engine = EngineSpec();
  Llm.m_engine->m_slots = Slots;
  Llm.m_engine->m_models["m1"] = EngineModel{100, 1, Seconds(9)};
  Llm.m_engine->m_models["m2"] = EngineModel{100, 1, Seconds(9)};
  Config->m_services["llm"] = Llm;
  C->m_configuration = Config;
  C->m_endpointsKnown = true;
  EndpointRecord R;
  R.m_id = "e1";
  R.m_service = "llm";
  R.m_address = "127.0.0.1:1";
  R.m_failureDomain = "d1";
  R.m_slots = Slots;
  R.m_models = {HeldModel{"m1", 1, {}}};
  C->m_endpoints.onRecord(R, Start);
  return C;
}

/// A request of a gateway's caller.
struct Caller : ScheduleWaiter {
  void onGranted(const Choice &Placement,
                 const CoordinatorTicket &Ticket) override {
    m_choice = Placement;
    m_ticket = Ticket;
    m_granted = true;
  }
  void onScheduleRejected(ChoiceObstacle, Duration) override {
    m_rejected = true;
  }
  void onScheduleWaiting(ChoiceObstacle) override {}
  void onNoCoordinator() override { m_alone = true; }
  bool m_granted = false;
  bool m_rejected = false;
  bool m_alone = false;
  Choice m_choice;
  CoordinatorTicket m_ticket;
};

/// A fleet with the coordinators vm-0 and vm-1 and Gateways other gateways.
class Fleet {
public:
  explicit Fleet(unsigned Gateways) {
    for (unsigned I = 0; I < Gateways + 2; ++I)
      m_members.push_back(
          {"vm-" + std::to_string(I), "127.0.0.1", "d1", I < 2 ? 0.5 : 0.1});
    for (const Member &M : m_members)
      add(M.m_name);
  }

  TicketId ask(unsigned Gateway, Caller &From, unsigned Rank = 0,
               const std::string &Model = "m1", Duration MaxWait = Seconds(5),
               const std::string &Account = "") {
    ChoiceQuery Q;
    Q.m_service = "llm";
    Q.m_model = Model;
    Q.m_rank = Rank;
    Q.m_size = {100, 10};
    Q.m_account = Account;
    Q.m_mayRevisit = true;
    const TicketId Ticket = node(Gateway).m_client->request(
        Q, {m_now + Seconds(1), MaxWait}, From, m_now);
    deliver();
    return Ticket;
  }
  void finish(unsigned Gateway, Caller &From,
              const AttemptObservation &Observation = {}) {
    node(Gateway).m_client->onEnded(From.m_ticket, Observation);
    deliver();
  }
  /// Lets time pass, with the gateways' regular checks and messages.
  void advance(Duration Time) {
    const TimePoint End = m_now + Time;
    while (m_now < End) {
      m_now += ScheduleCheckInterval;
      for (auto &[Name, N] : m_nodes) {
        if (m_stopped.count(Name))
          continue;
        N.m_client->check(m_now);
        N.m_core->dispatchWaiting(m_now);
      }
      deliver();
      if ((m_now - Start) % Milliseconds(200) != Duration::zero())
        continue;
      for (auto &[Name, N] : m_nodes)
        if (!m_stopped.count(Name))
          N.m_client->sendOpenTickets();
      deliver();
      for (auto &[Name, N] : m_nodes)
        N.m_scheduler->expire(Milliseconds(1500), m_now);
      deliver();
    }
  }
  void deliver() {
    while (!m_wire.empty()) {
      const auto [To, Bytes] = m_wire.front();
      m_wire.pop_front();
      if (m_stopped.count(To) || !m_nodes.count(To))
        continue;
      if (m_loseEvery != 0 && ++m_sent % m_loseEvery == 0)
        continue;
      const Result<SchedulingMessage> M = decodeSchedulingMessage(Bytes);
      ASSERT_TRUE(M);
      Node &N = m_nodes.at(To);
      if (const auto *Request = std::get_if<ScheduleRequest>(&M.value()))
        N.m_scheduler->onRequest(*Request, m_now);
      else if (const auto *Reply = std::get_if<ScheduleReply>(&M.value()))
        N.m_client->onReply(*Reply, m_now);
      else if (const auto *Update = std::get_if<AttemptUpdate>(&M.value()))
        N.m_scheduler->onUpdate(*Update, m_now);
      else if (const auto *Open = std::get_if<OpenTickets>(&M.value()))
        N.m_scheduler->onOpenTickets(*Open, m_now);
    }
  }
  /// The coordinator that gateways ask first for a model.
  std::string schedulerOf(const std::string &Model) {
    Caller C;
    const TicketId Ticket = ask(2, C, 0, Model, Duration::zero());
    std::string Name = C.m_ticket.m_coordinator;
    if (C.m_granted)
      finish(2, C);
    else
      node(2).m_client->withdraw(Ticket);
    deliver();
    return Name;
  }
  unsigned loadAt(const std::string &Coordinator) {
    return m_nodes.at(Coordinator)
        .m_core->m_endpoints.find("e1")
        ->m_localLoad.m_requests;
  }
  std::size_t scheduled(const std::string &Coordinator) {
    return m_nodes.at(Coordinator).m_scheduler->size();
  }
  void stop(const std::string &Name) { m_stopped.insert(Name); }
  void resume(const std::string &Name) { m_stopped.erase(Name); }

  struct Node {
    std::unique_ptr<Core> m_core;
    std::unique_ptr<PeerAudience> m_audience;
    std::unique_ptr<Scheduler> m_scheduler;
    std::unique_ptr<SchedulerClient> m_client;
  };
  Node &node(unsigned I) { return m_nodes.at("vm-" + std::to_string(I)); }

  TimePoint m_now = Start;
  unsigned m_loseEvery = 0; ///< Each n-th message is lost.

private:
  void add(const std::string &Name) {
    Node &N = m_nodes[Name];
    N.m_core = makeCore(m_io, m_dialect, Name);
    N.m_audience = std::make_unique<PeerAudience>(
        Name, "d1", std::map<std::string, std::string>{{"d1", "r1"}});
    N.m_audience->setMembers(m_members);
    N.m_scheduler = std::make_unique<Scheduler>(
        *N.m_core, [this](const std::string &To, const ScheduleReply &Reply) {
          m_wire.emplace_back(To, encodeSchedulingMessage(Reply));
        });
    N.m_client = std::make_unique<SchedulerClient>(
        *N.m_core, *N.m_audience,
        [this](const std::string &To, const SchedulingMessage &Message) {
          m_wire.emplace_back(To, encodeSchedulingMessage(Message));
        });
    N.m_client->setStart(1);
    N.m_core->m_schedulerClient = N.m_client.get();
  }

  asio::io_context m_io;
  NoDialect m_dialect;
  std::vector<Member> m_members;
  std::map<std::string, Node> m_nodes;
  std::set<std::string> m_stopped; ///< Gateways that neither send nor receive.
  std::deque<std::pair<std::string, std::string>> m_wire;
  unsigned m_sent = 0;
};

} // namespace

// Load pattern: 40 gateways of a region get a request for the same model while
// its only engine has 12 free slots. Guards against gateways that each see the
// same free slots and overfill the engine, as they do when each of them chooses
// by its own view.
TEST(Scheduler, ManyGatewaysDoNotOverfillAnEngine) {
  Fleet F(40);
  std::vector<Caller> Callers(40);
  unsigned OwnChoices = 0;
  for (unsigned I = 0; I < Callers.size(); ++I) {
    ChoiceQuery Q;
    Q.m_service = "llm";
    Q.m_model = "m1";
    OwnChoices += F.node(I + 2).m_core->choose(Q, F.m_now).m_obstacle ==
                  ChoiceObstacle::None;
  }
  EXPECT_EQ(OwnChoices, Callers.size()) << "each gateway alone would send";
  for (unsigned I = 0; I < Callers.size(); ++I)
    EXPECT_NE(F.ask(I + 2, Callers[I]), 0U);
  unsigned Granted = 0;
  for (const Caller &C : Callers)
    Granted += C.m_granted;
  EXPECT_EQ(Granted, Slots);
  // Each freed slot goes to one waiting request.
  F.finish(2, Callers[0]);
  F.advance(Milliseconds(400));
  unsigned After = 0;
  for (const Caller &C : Callers)
    After += C.m_granted;
  EXPECT_EQ(After, Slots + 1);
}

// Load pattern: a coordinator is replaced while many gateways send to an
// engine. Guards against an adaptive limit that answers and refusals at other
// gateways do not change.
TEST(Scheduler, LearnsAdaptiveLimitsFromRemoteAttempts) {
  Fleet F(20);
  const std::string Name = F.schedulerOf("m1");
  Core &Coordinator = *F.node(Name == "vm-0" ? 0 : 1).m_core;
  const EndpointRecord Record = Coordinator.m_endpoints.find("e1")->m_record;
  Coordinator.m_endpoints.enablePacing(nullptr);
  Coordinator.m_endpoints.onRecord(Record, F.m_now);
  std::vector<Caller> Callers(Slots);
  const auto Granted = [&Callers] {
    return std::count_if(Callers.begin(), Callers.end(),
                         [](const Caller &C) { return C.m_granted; });
  };
  for (unsigned I = 0; I < Slots; ++I)
    F.ask(I + 2, Callers[I]);
  EXPECT_EQ(Granted(), Slots / 2);
  EXPECT_NE(Coordinator.m_metrics->text().find("waited_for_endpoint_limit"),
            std::string::npos);
  AttemptObservation First;
  First.m_firstEventMs = 30;
  for (unsigned I = 0; I < Slots / 2; ++I)
    F.node(I + 2).m_client->onPrefillDone(Callers[I].m_ticket, First);
  F.deliver();
  EXPECT_EQ(Granted(), Slots) << "one answered round doubles the limit";
  AttemptObservation Refused;
  Refused.m_health = AttemptHealth::Refused;
  for (unsigned I = Slots / 2; I < Slots; ++I) {
    F.finish(I + 2, Callers[I], Refused); // Never sent: no refusal.
    EXPECT_FALSE(Coordinator.m_endpoints.find("e1")->m_pace->limited());
  }
  Refused.m_firstByteMs = 5;
  for (unsigned I = 0; I < PaceSilentAttempts; ++I)
    F.finish(I + 2, Callers[I], Refused);
  EXPECT_EQ(Coordinator.m_endpoints.find("e1")->m_pace->limit(), Slots / 2);
}

// Load pattern: a full engine, then urgent requests of some gateways and less
// urgent ones of others. Guards against urgent work that waits behind less
// urgent work of other gateways.
TEST(Scheduler, UrgentRequestsOfAnyGatewayGoFirst) {
  Fleet F(20);
  std::vector<Caller> Running(Slots);
  for (unsigned I = 0; I < Slots; ++I)
    F.ask(I + 2, Running[I]);
  Caller Low;
  Caller Urgent;
  F.ask(15, Low, 2);
  F.ask(16, Urgent, 0);
  EXPECT_FALSE(Low.m_granted || Urgent.m_granted);
  F.finish(2, Running[0]);
  F.advance(Milliseconds(100));
  EXPECT_TRUE(Urgent.m_granted);
  EXPECT_FALSE(Low.m_granted);
}

// Guards against slots that stay taken after messages were lost: every fifth
// message is lost, and in the end no request is counted at the engine.
TEST(Scheduler, LostMessagesLeaveNoSlotTaken) {
  Fleet F(30);
  F.m_loseEvery = 5;
  for (int Round = 0; Round < 20; ++Round) {
    std::vector<Caller> Callers(20);
    std::vector<TicketId> Tickets;
    for (unsigned I = 0; I < Callers.size(); ++I)
      Tickets.push_back(F.ask(I + 2, Callers[I]));
    F.advance(Milliseconds(400));
    for (unsigned I = 0; I < Callers.size(); ++I)
      if (Callers[I].m_granted)
        F.finish(I + 2, Callers[I]);
      else
        F.node(I + 2).m_client->withdraw(Tickets[I]);
  }
  F.advance(Seconds(8));
  EXPECT_EQ(F.loadAt("vm-0") + F.loadAt("vm-1"), 0U);
  EXPECT_EQ(F.scheduled("vm-0") + F.scheduled("vm-1"), 0U);
}

// Guards against requests that wait for a coordinator that was killed, frozen
// or cut off: the next one is asked, and without any the gateway chooses
// itself, both within a bounded time.
TEST(Scheduler, SilentCoordinatorsCostABoundedTime) {
  Fleet F(20);
  const std::string First = F.schedulerOf("m1");
  F.stop(First);
  Caller C;
  EXPECT_NE(F.ask(5, C), 0U);
  EXPECT_FALSE(C.m_granted);
  F.advance(MaxScheduleSends * (ScheduleReplyTimeout + ScheduleCheckInterval));
  ASSERT_TRUE(C.m_granted);
  EXPECT_NE(C.m_ticket.m_coordinator, First);
  Caller Next;
  F.ask(5, Next);
  EXPECT_TRUE(Next.m_granted) << "the silent coordinator is asked again";
  F.stop(C.m_ticket.m_coordinator);
  Caller Alone;
  F.ask(5, Alone);
  F.advance(MaxScheduleSends * (ScheduleReplyTimeout + ScheduleCheckInterval));
  EXPECT_TRUE(Alone.m_alone);
  EXPECT_EQ(F.ask(5, Alone), 0U) << "no coordinator is left to ask";
}

// Guards against two grants for one request: a coordinator that was frozen
// answers what it received before, after another one has granted the request.
TEST(Scheduler, LateGrantsAreReturned) {
  Fleet F(20);
  const std::string First = F.schedulerOf("m1");
  const std::string Second = First == "vm-0" ? "vm-1" : "vm-0";
  ScheduleRequest Asked;
  Asked.m_sender = {"vm-5", 1};
  Asked.m_ticket = 1;
  Asked.m_domain = "d1";
  Asked.m_query.m_service = "llm";
  Asked.m_query.m_model = "m1";
  Asked.m_query.m_size = {100, 10};
  Asked.m_onTime = Milliseconds(500);
  Asked.m_maxWait = Milliseconds(3000);
  F.stop(First);
  Caller C;
  EXPECT_EQ(F.ask(5, C), Asked.m_ticket);
  F.advance(Milliseconds(200));
  ASSERT_TRUE(C.m_granted);
  EXPECT_EQ(C.m_ticket.m_coordinator, Second);
  F.resume(First);
  Fleet::Node &Thawed = First == "vm-0" ? F.node(0) : F.node(1);
  Thawed.m_scheduler->onRequest(Asked, F.m_now);
  EXPECT_EQ(F.loadAt(First), 1U);
  F.deliver();
  EXPECT_EQ(F.loadAt(First), 0U);
  EXPECT_EQ(F.loadAt(Second), 1U);
}

// Guards against slots that a killed gateway's requests keep, and against those
// that the earlier process of a restarted one keeps.
TEST(Scheduler, GrantsOfKilledGatewaysAreDropped) {
  Fleet F(20);
  std::vector<Caller> Callers(2);
  F.ask(5, Callers[0]);
  F.ask(6, Callers[1]);
  const std::string Name = Callers[0].m_ticket.m_coordinator;
  EXPECT_EQ(F.loadAt(Name), 2U);
  F.node(6).m_client->setStart(2);
  Caller Restarted;
  F.ask(6, Restarted);
  EXPECT_EQ(F.loadAt(Name), 2U);
  F.stop("vm-5");
  F.advance(Seconds(3));
  EXPECT_EQ(F.loadAt(Name), 1U);
}

// Guards against a request that waits for an endpoint that cannot come in time:
// the model is loaded nowhere, and its load takes longer than the caller waits.
TEST(Scheduler, RequestThatCannotBeServedInTimeIsRejectedAtOnce) {
  Fleet F(20);
  Caller C;
  F.ask(4, C, 0, "m2", Seconds(2));
  EXPECT_TRUE(C.m_rejected);
}

// Guards against a gateway that sees too few attempts to notice a failing
// endpoint: the attempts of all gateways count at the coordinator.
TEST(Scheduler, AttemptsOfAllGatewaysShowAFailingEndpoint) {
  Fleet F(20);
  AttemptObservation Failed;
  Failed.m_health = AttemptHealth::Failed;
  std::string Name;
  for (unsigned I = 0; I < 8; ++I) {
    Caller C;
    F.ask(I + 2, C);
    ASSERT_TRUE(C.m_granted);
    Name = C.m_ticket.m_coordinator;
    F.finish(I + 2, C, Failed);
  }
  const unsigned Index = Name == "vm-0" ? 0 : 1;
  EXPECT_GT(F.node(Index).m_core->m_endpoints.find("e1")->m_failureShare,
            MaxFailureShare);
}

/// A request of a coordinator's own caller.
struct LocalCaller : Waiter {
  void onDispatched(const Choice &, TimePoint) override {}
  void onRejected() override {}
};

// Load pattern: an account fills the queue of a coordinator through one
// gateway. Guards against the refusal of another account's request, and against
// an evicted request whose gateway waits on because the answer was lost.
TEST(Scheduler, FullQueueEvictsTheLargestAccount) {
  Fleet F(20);
  std::vector<Caller> Running(Slots);
  for (unsigned I = 0; I < Slots; ++I)
    F.ask(I + 2, Running[I]);
  const std::string Name = Running[0].m_ticket.m_coordinator;
  Core &Coordinator = *F.node(Name == "vm-0" ? 0 : 1).m_core;
  std::vector<Caller> Flood(MaxWaitQueueSize + 1);
  for (Caller &C : Flood)
    F.ask(2, C, 0, "m1", Seconds(5), "flood");
  EXPECT_TRUE(Flood.back().m_rejected) << "the newest of its own account";
  EXPECT_EQ(Coordinator.m_queue.size(), MaxWaitQueueSize);
  Caller Small;
  F.ask(3, Small, 0, "m1", Seconds(5), "small");
  EXPECT_FALSE(Small.m_rejected);
  EXPECT_TRUE(Flood[MaxWaitQueueSize - 1].m_rejected);
  EXPECT_EQ(Coordinator.m_queue.backlogs().requests("flood"),
            MaxWaitQueueSize - 1);
  F.m_loseEvery = 1;
  LocalCaller Local;
  ChoiceQuery Q;
  Q.m_service = "llm";
  Q.m_model = "m1";
  Q.m_account = "local";
  Coordinator.admit(Q, {F.m_now + Seconds(1), Seconds(5)}, Local, F.m_now);
  F.deliver();
  Caller &Evicted = Flood[MaxWaitQueueSize - 2];
  EXPECT_FALSE(Evicted.m_rejected) << "the answer was lost";
  F.m_loseEvery = 0;
  F.advance(Milliseconds(300));
  EXPECT_TRUE(Evicted.m_rejected);
}

// Guards against a flood through one gateway that delays other accounts'
// requests at other gateways.
TEST(Scheduler, SharesHoldAcrossGateways) {
  Fleet F(20);
  std::vector<Caller> Running(Slots);
  for (unsigned I = 0; I < Slots; ++I)
    F.ask(I + 2, Running[I]);
  std::vector<Caller> Flood(20);
  for (Caller &C : Flood)
    F.ask(2, C, 0, "m1", Seconds(5), "flood");
  Caller Small;
  F.ask(3, Small, 0, "m1", Seconds(5), "small");
  F.advance(Milliseconds(20));
  F.finish(2, Running[0]);
  F.finish(3, Running[1]);
  EXPECT_TRUE(Flood[0].m_granted);
  EXPECT_TRUE(Small.m_granted);
}

// Guards against requests that still wait when their VM stops.
TEST(Scheduler, RequestsOfAStoppingGatewayEndAtOnce) {
  Fleet F(20);
  std::vector<Caller> Running(Slots);
  for (unsigned I = 0; I < Slots; ++I)
    F.ask(I + 2, Running[I]);
  Caller C;
  F.ask(16, C);
  F.node(16).m_core->rejectWaiting();
  EXPECT_TRUE(C.m_rejected);
  EXPECT_EQ(F.ask(16, C), 0U);
}

// Guards against requests that wait at a coordinator that stops: another one is
// asked.
TEST(Scheduler, RequestsAtAStoppingCoordinatorMoveToAnother) {
  Fleet F(20);
  std::vector<Caller> Running(Slots);
  for (unsigned I = 0; I < Slots; ++I)
    F.ask(I + 2, Running[I]);
  const std::string Name = Running[0].m_ticket.m_coordinator;
  Caller C;
  F.ask(16, C);
  EXPECT_FALSE(C.m_granted);
  F.node(Name == "vm-0" ? 0 : 1).m_core->rejectWaiting();
  F.deliver();
  // The other coordinator of this test has no load reports and sees the engine
  // free.
  EXPECT_TRUE(C.m_granted);
  EXPECT_NE(C.m_ticket.m_coordinator, Name);
}

// Load pattern: all engines are full and a stream is silent. Guards against a
// stream that is broken off for an engine without room: the next endpoint is
// reserved before the silent one is left, and returned if it is not used.
TEST(Scheduler, FailoverReservesItsEndpointFirst) {
  Fleet F(20);
  std::vector<Caller> Running(Slots);
  for (unsigned I = 0; I < Slots; ++I)
    F.ask(I + 2, Running[I]);
  const std::string Name = Running[0].m_ticket.m_coordinator;
  ChoiceQuery Q;
  Q.m_service = "llm";
  Q.m_model = "m1";
  FailoverProbe Probe(*F.node(16).m_core);
  for (int I = 0; I < 5; ++I) {
    EXPECT_FALSE(Probe.poll(Q, F.m_now));
    F.advance(Milliseconds(100));
  }
  EXPECT_FALSE(Probe.take());
  EXPECT_EQ(F.loadAt(Name), Slots);
  F.finish(2, Running[0]);
  EXPECT_FALSE(Probe.poll(Q, F.m_now)) << "the answer is on its way";
  F.deliver();
  EXPECT_TRUE(Probe.poll(Q, F.m_now));
  EXPECT_EQ(F.loadAt(Name), Slots);
  const auto Reserved = Probe.take();
  ASSERT_TRUE(Reserved);
  F.node(16).m_client->onEnded(Reserved->m_ticket, {});
  F.deliver();
  {
    FailoverProbe Unused(*F.node(16).m_core);
    Unused.poll(Q, F.m_now);
    F.deliver();
    EXPECT_TRUE(Unused.poll(Q, F.m_now));
    EXPECT_EQ(F.loadAt(Name), Slots);
  }
  F.deliver();
  EXPECT_EQ(F.loadAt(Name), Slots - 1);
}

// Guards against grants for an endpoint that another gateway heard is leaving
// (DRAIN): the coordinator hears of it in that gateway's observation.
TEST(Scheduler, NothingIsGrantedAtAnEndpointThatToldAGatewayThatItLeaves) {
  Fleet F(20);
  Caller Told;
  F.ask(5, Told);
  ASSERT_TRUE(Told.m_granted);
  const std::string Name = Told.m_ticket.m_coordinator;
  Core &Coordinator = *F.node(Name == "vm-0" ? 0 : 1).m_core;
  AttemptObservation Leaving;
  Leaving.m_health = AttemptHealth::Good;
  Leaving.m_leaving = true;
  Leaving.m_incarnation =
      Coordinator.m_endpoints.find("e1")->m_record.m_incarnation;
  F.finish(5, Told, Leaving);
  EXPECT_FALSE(Coordinator.m_endpoints.maySend("e1", F.m_now));
  Caller Next;
  F.ask(6, Next);
  F.advance(Milliseconds(400));
  EXPECT_FALSE(Next.m_granted);
}

// Guards against requests that were queued before the notice and are granted
// after it.
TEST(Scheduler, QueuedRequestsAreNotGrantedAtAPausedEndpoint) {
  Fleet F(20);
  std::vector<Caller> Running(Slots);
  for (unsigned I = 0; I < Slots; ++I)
    F.ask(I + 2, Running[I]);
  Caller Queued;
  F.ask(16, Queued);
  ASSERT_FALSE(Queued.m_granted);
  AttemptObservation Paused;
  Paused.m_health = AttemptHealth::Refused;
  Paused.m_pause = Milliseconds(800);
  F.finish(2, Running[0], Paused);
  F.advance(Milliseconds(700));
  EXPECT_FALSE(Queued.m_granted);
  F.advance(Milliseconds(200));
  EXPECT_TRUE(Queued.m_granted) << "the pause is over";
}
