// Tests of the adaptive limits with the real endpoint table, chooser and wait
// queue before models of engines.
#include "libgateway/chooser.h"
#include "libgateway/waitqueue.h"
#include "libpace/modelengine_fake.h"

#include <gtest/gtest.h>
#include <map>
#include <random>

using namespace primroseworks;
using namespace primroseworks::gateway;

namespace {

const TimePoint Start = TimePoint() + Seconds(100);
/// Targets of the model's route: time to the first event, and pause between
/// two events.
constexpr Milliseconds LatencyTarget{500};
constexpr Milliseconds GapTarget{200};

/// One gateway that sends all requests of a service to a few engines.
class Fleet {
public:
  struct Report {
    unsigned m_answers = 0;
    unsigned m_late = 0;    ///< First event later than LatencyTarget.
    unsigned m_stalled = 0; ///< On time, but with a pause above GapTarget.
    double m_meanMs = 0;    ///< To the first event.
    double m_longestMs = 0; ///< To the first event.

    unsigned missed() const { return m_late + m_stalled; }
  };

  Fleet(unsigned Engines, double RequestsPerSecond, bool Paced)
      : m_engines(Engines), m_interval(1 / RequestsPerSecond) {
    m_service.m_name = "llm";
    m_service.m_engine = EngineSpec();
    m_service.m_engine->m_slots = ModelEngine::Slots;
    if (Paced)
      m_table.enablePacing(
          [this](const PaceChange &C) { m_changes.push_back(C); });
    for (unsigned I = 0; I < Engines; ++I)
      record(I);
    m_table.onFirstListComplete();
  }
  /// Ends an engine with its requests; the next incarnation is slow at first.
  void restartEngine(unsigned I, Duration SlowFor) {
    m_engines[I].restart(m_now);
    slow(I, SlowFor);
    ++m_incarnation;
    for (auto It = m_open.begin(); It != m_open.end();)
      if (It->second.m_engine == I) {
        m_table.onEnded(id(I), Size, It->second.m_prefillDone);
        It = m_open.erase(It);
      } else {
        ++It;
      }
    record(I);
  }
  void slow(unsigned I, Duration For) { m_engines[I].slowUntil(m_now + For); }
  void run(Duration For) {
    for (const TimePoint End = m_now + For; m_now < End;
         m_now += Milliseconds(1))
      step();
  }
  const EndpointPace &pace(unsigned I) { return *m_table.find(id(I))->m_pace; }
  /// Runs until the limit of an endpoint no longer restricts, or for Limit.
  Duration timeToFullUse(unsigned I, Duration Limit) {
    const TimePoint From = m_now;
    while (m_now - From < Limit && pace(I).limited())
      run(Milliseconds(10));
    return m_now - From;
  }
  unsigned load(unsigned I) { return m_table.find(id(I))->load().m_requests; }
  std::size_t waiting() const { return m_queue.size(); }
  Report takeReport() {
    Report Out = m_report;
    if (Out.m_answers > 0)
      Out.m_meanMs /= Out.m_answers;
    m_report = {};
    return Out;
  }
  static std::string id(unsigned I) { return "e" + std::to_string(I); }

  EndpointTable m_table;
  std::vector<PaceChange> m_changes;
  TimePoint m_now = Start;

private:
  static constexpr RequestSize Size{ModelEngine::PromptTokens + 170,
                                    ModelEngine::PromptTokens};
  struct Open {
    unsigned m_engine = 0;
    TimePoint m_arrivedAt{};
    TimePoint m_sentAt{};
    std::uint64_t m_work = 0;
    bool m_prefillDone = false;
    bool m_late = false;
  };

  void record(unsigned I) {
    EndpointRecord R;
    R.m_id = id(I);
    R.m_incarnation = m_incarnation;
    R.m_service = "llm";
    R.m_failureDomain = "d1";
    R.m_slots = ModelEngine::Slots;
    R.m_models = {HeldModel{"m1", 1, {}}};
    m_table.onRecord(R, m_now);
  }
  void arrive() {
    ChoiceQuery Q;
    Q.m_service = "llm";
    Q.m_model = "m1";
    Q.m_size = Size;
    const TicketId T =
        m_queue.add(Q, ChoiceObstacle::Full, m_now + LatencyTarget, m_now);
    m_arrivals[T] = m_now;
    std::exponential_distribution<double> Gap(1 / m_interval);
    m_nextArrival += fromSeconds(Gap(m_random));
  }
  void step() {
    for (ModelEngine &E : m_engines)
      E.run(
          m_now, [this](unsigned Id) { onFirst(Id); },
          [this](unsigned Id, Duration Gap) { onLast(Id, Gap); });
    while (m_now >= m_nextArrival)
      arrive();
    if ((m_now - Start) % Milliseconds(200) == Duration::zero())
      m_table.expire(m_now);
    m_queue.dispatch(
        [&](const ChoiceQuery &Q) {
          return m_chooser.choose(Q, m_table, m_service, m_now);
        },
        [&](const Grant &G) { send(G); }, m_now);
  }
  void send(const Grant &G) {
    const std::string &E = G.m_choice.m_endpoint;
    const auto I = static_cast<unsigned>(std::stoul(E.substr(1)));
    const auto Id = static_cast<unsigned>(G.m_ticket);
    m_open[Id] = {
        I,     m_arrivals[G.m_ticket],
        m_now, G.m_choice.m_pendingPrefillTokens + ModelEngine::PromptTokens,
        false, false};
    m_arrivals.erase(G.m_ticket);
    m_table.onSent(E, Size);
    m_engines[I].add(Id, 40 + Id * 37 % 131);
  }
  void onFirst(unsigned Id) {
    Open &O = m_open.at(Id);
    O.m_prefillDone = true;
    const std::string E = id(O.m_engine);
    m_table.onPrefillDone(E, Size);
    m_table.onFirstByte(E, m_now - O.m_sentAt);
    m_table.onFirstEvent("llm", m_now - O.m_sentAt, O.m_work);
    m_table.onAnswer(E, {"m1", m_now - O.m_sentAt, O.m_work}, m_now);
    const double Ms = toMillis(m_now - O.m_arrivedAt);
    O.m_late = Ms > toMillis(LatencyTarget);
    ++m_report.m_answers;
    m_report.m_meanMs += Ms;
    m_report.m_longestMs = std::max(m_report.m_longestMs, Ms);
    m_report.m_late += O.m_late ? 1 : 0;
  }
  void onLast(unsigned Id, Duration LongestGap) {
    const Open &O = m_open.at(Id);
    if (!O.m_late && LongestGap > GapTarget)
      ++m_report.m_stalled;
    m_table.onHealth(id(O.m_engine), AttemptHealth::Good, m_now);
    m_table.onEnded(id(O.m_engine), Size, true);
    m_open.erase(Id);
  }

  Service m_service;
  Chooser m_chooser{"d1", {{"d1", "r1"}}};
  WaitQueue m_queue;
  std::vector<ModelEngine> m_engines;
  std::uint64_t m_incarnation = 1;
  std::map<TicketId, TimePoint> m_arrivals;
  std::map<unsigned, Open> m_open;
  double m_interval; ///< Mean, in seconds.
  TimePoint m_nextArrival = Start;
  Report m_report;
  std::mt19937 m_random{1};
};

} // namespace

// Load pattern: one engine of many restarts under load and is slow for 2 s.
// Guards against more late answers than without limits: the chooser avoids a
// slow engine as well.
TEST(EndpointPacing, OneEngineRestartsUnderLoad) {
  Fleet::Report Reports[2];
  for (const bool Paced : {false, true}) {
    Fleet F(8, 8 * 4.0, Paced);
    F.run(Seconds(10));
    F.takeReport();
    F.restartEngine(0, Seconds(2));
    if (Paced) {
      EXPECT_EQ(F.pace(0).limit(), PaceStartLimit);
      F.run(Milliseconds(1500));
      EXPECT_LE(F.load(0), PaceStartLimit);
      F.run(Milliseconds(4500));
      EXPECT_GE(F.load(0), 4U) << "takes its share of 4 requests/s again";
    } else {
      F.run(Seconds(6));
    }
    Reports[Paced ? 1 : 0] = F.takeReport();
  }
  RecordProperty("missed_without", static_cast<int>(Reports[0].missed()));
  RecordProperty("missed_with", static_cast<int>(Reports[1].missed()));
  EXPECT_LE(Reports[1].missed(), Reports[0].missed());
}

// Load pattern: all engines start at once after a power loss, while the
// gateway goes on (a new gateway: below). Guards against limits that lock out
// the fleet: the queue must drain, and each engine reach full use.
TEST(EndpointPacing, AllEnginesRestartAtOnce) {
  Fleet::Report Reports[2];
  for (const bool Paced : {false, true}) {
    Fleet F(8, 8 * 4.0, Paced);
    F.run(Seconds(10));
    F.takeReport();
    for (unsigned I = 0; I < 8; ++I)
      F.restartEngine(I, Seconds(2));
    F.run(Milliseconds(3500));
    EXPECT_LE(F.m_table.limitedEndpoints(), 2U);
    F.run(Milliseconds(2500));
    EXPECT_LE(F.waiting(), 2U);
    Reports[Paced ? 1 : 0] = F.takeReport();
  }
  RecordProperty("missed_without", static_cast<int>(Reports[0].missed()));
  RecordProperty("missed_with", static_cast<int>(Reports[1].missed()));
  EXPECT_LE(Reports[1].missed(), Reports[0].missed() * 5 / 4);
}

// Load pattern: an engine is slow for 4 s and recovers.
TEST(EndpointPacing, SlowSpellOfOneEngine) {
  Fleet::Report Reports[2];
  for (const bool Paced : {false, true}) {
    Fleet F(8, 8 * 4.0, Paced);
    F.run(Seconds(10));
    F.takeReport();
    F.slow(0, Seconds(4));
    F.run(Seconds(10));
    EXPECT_GE(F.load(0), 3U);
    Reports[Paced ? 1 : 0] = F.takeReport();
  }
  RecordProperty("missed_without", static_cast<int>(Reports[0].missed()));
  RecordProperty("missed_with", static_cast<int>(Reports[1].missed()));
  EXPECT_LE(Reports[1].missed(), Reports[0].missed() * 5 / 4);
}

// Load pattern: a gateway or a coordinator is replaced under load, all engines
// are slow for 2 s as after a power loss. It begins at half of the slots and
// doubles, and an engine that appears later is known to have just started.
TEST(EndpointPacing, NewGatewayBeginsAtHalf) {
  Fleet F(4, 4 * 4.4, true);
  for (unsigned I = 0; I < 4; ++I) {
    F.slow(I, Seconds(2));
    EXPECT_EQ(F.pace(I).limit(), ModelEngine::Slots / 2);
    EXPECT_EQ(F.pace(I).cause(), PaceCause::GatewayStart);
  }
  EXPECT_EQ(F.m_changes.size(), 4U);
  EXPECT_LE(F.timeToFullUse(0, Seconds(5)), Seconds(4));
  EXPECT_EQ(F.m_table.limitedEndpoints() + F.m_changes.size(), 8U);
}

// Load pattern: the store is away, and the records of all endpoints lapse and
// return. Guards against limits as if all of them had started.
TEST(EndpointPacing, RecordThatReturnsIsNoStart) {
  Fleet F(4, 4 * 4.0, true);
  F.run(Seconds(10));
  ASSERT_FALSE(F.pace(1).limited());
  const EndpointRecord Record = F.m_table.find("e1")->m_record;
  F.m_table.onRemoved("e1", F.m_now + Milliseconds(500), F.m_now);
  F.run(Seconds(1));
  ASSERT_EQ(F.m_table.find("e1"), nullptr);
  F.m_table.onRecord(Record, F.m_now);
  EXPECT_FALSE(F.pace(1).limited());
}

// Load pattern: a plain service with 6 slots and 30 ms of work, also beyond its
// slots, where its answers queue. Guards against a limit on a healthy queue.
TEST(EndpointPacing, PlainService) {
  EndpointTable Table;
  Table.enablePacing(nullptr);
  Table.onFirstListComplete();
  EndpointRecord R;
  R.m_id = "p1";
  R.m_service = "plain";
  R.m_slots = 6;
  Table.onRecord(R, Start);
  const EndpointPace &Pace = *Table.find("p1")->m_pace;
  const auto Answer = [&Table](unsigned Load, double Ms, TimePoint Now) {
    Table.find("p1")->m_localLoad.m_requests = Load;
    Table.onAnswer("p1", {"", fromSeconds(Ms / 1000), 0}, Now);
  };
  TimePoint Now = Start;
  for (unsigned I = 0; I < 6; ++I)
    Answer(Pace.limit(), 30, Now += Milliseconds(20));
  EXPECT_FALSE(Pace.limited());
  for (unsigned I = 0; I < 100; ++I)
    Answer(12, 60, Now += Milliseconds(5));
  EXPECT_FALSE(Pace.limited());
  for (unsigned I = 0; I < 30; ++I)
    Answer(6, 150, Now += Milliseconds(40));
  EXPECT_EQ(Pace.cause(), PaceCause::Slow);
  for (unsigned I = 0; I < 12; ++I)
    Answer(6, 30, Now += Milliseconds(5));
  EXPECT_FALSE(Pace.limited());
}

// Guards against a request that is sent beyond the limit, and against another
// obstacle than Full, for which the request would not wait.
TEST(EndpointPacing, EndpointAtItsLimitCountsAsFull) {
  Fleet F(1, 1, true);
  F.restartEngine(0, Duration::zero());
  ChoiceQuery Q;
  Q.m_service = "llm";
  Q.m_model = "m1";
  Service Llm;
  Llm.m_engine = EngineSpec();
  Llm.m_engine->m_slots = ModelEngine::Slots;
  const Chooser C("d1", {{"d1", "r1"}});
  F.m_table.onSent("e0", {});
  EXPECT_EQ(C.choose(Q, F.m_table, Llm, F.m_now).m_endpoint, "e0");
  F.m_table.onSent("e0", {});
  const Choice Left = C.choose(Q, F.m_table, Llm, F.m_now);
  EXPECT_EQ(Left.m_obstacle, ChoiceObstacle::Full);
  EXPECT_TRUE(Left.m_limited);
}
