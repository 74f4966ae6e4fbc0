// Tests of an endpoint's adaptive limit on one endpoint alone. Each names the
// load pattern that it answers.
#include "libpace/modelengine_fake.h"
#include "libpace/pace.h"

#include <gtest/gtest.h>
#include <map>
#include <random>

using namespace primroseworks;

namespace {

const TimePoint Start = TimePoint() + Seconds(100);
constexpr unsigned Slots = 12;
/// At the engine's floor of 0.052 ms a token.
constexpr double Prompt = 1460;
constexpr Milliseconds AtFloor{76};

/// An endpoint whose limit is reached all the time.
struct Busy {
  EndpointPace m_pace;
  TimePoint m_now = Start;

  void answer(Duration Latency, unsigned Count = 1, double Work = Prompt) {
    for (; Count > 0; --Count) {
      m_now += Milliseconds(100);
      m_pace.onSample({"m1", Latency, Work}, {},
                      {m_pace.limit(), m_pace.limit()}, m_now);
    }
  }
  void trouble(PaceTrouble Kind, unsigned Count = 1) {
    for (; Count > 0; --Count)
      m_pace.onTrouble(Kind, m_now += Milliseconds(100));
  }
};

Busy unlimited() {
  Busy B{EndpointPace::create(PaceOrigin::FirstList, Slots, Start)};
  B.answer(AtFloor, 6);
  EXPECT_FALSE(B.m_pace.limited());
  return B;
}

/// What became of the requests of a service with free capacity at other
/// engines while one engine was slow.
struct Outcome {
  unsigned m_answers = 0;
  unsigned m_late = 0; ///< First event after 500 ms, or a pause above 200 ms.
  double m_fullUseMs = 0;
};

/// 12 requests a second, of which the engine under test takes what its slots
/// and its limit allow, as an idle engine in a large fleet does; other engines
/// answer the rest in time. Pace: null without a limit.
Outcome runBeside(EndpointPace *Pace, double ReferenceMs, Duration SlowFor) {
  ModelEngine Engine;
  Engine.slowUntil(Start + SlowFor);
  struct Request {
    TimePoint m_sentAt{};
    double m_work = 0;
  };
  std::map<unsigned, Request> Open;
  double Pending = 0;
  Outcome Out;
  unsigned Next = 0;
  for (TimePoint Now = Start; Now < Start + Seconds(10);
       Now += Milliseconds(1)) {
    Engine.run(
        Now,
        [&](unsigned Id) {
          const Request &R = Open.at(Id);
          Pending -= Prompt;
          ++Out.m_answers;
          Out.m_late += Now - R.m_sentAt > Milliseconds(500) ? 1 : 0;
          if (Pace)
            Pace->onSample({"m1", Now - R.m_sentAt, R.m_work},
                           {ReferenceMs, false},
                           {static_cast<unsigned>(Open.size()), 1U}, Now);
        },
        [&](unsigned Id, Duration Gap) {
          Out.m_late += Gap > Milliseconds(200) ? 1 : 0;
          Open.erase(Id);
        });
    const auto Load = static_cast<unsigned>(Open.size());
    if (Pace && (Now - Start) % Milliseconds(200) == Duration::zero())
      Pace->onTick({Load, Load}, Now);
    if ((Now - Start) % Milliseconds(83) == Duration::zero() && Load < Slots &&
        !(Pace && Pace->blocks(Load))) {
      Pending += Prompt;
      Open[Next] = {Now, Pending};
      Engine.add(Next, 40 + Next * 37 % 131);
      ++Next;
    }
    if (Pace && Pace->limited())
      Out.m_fullUseMs = toMillis(Now - Start);
  }
  return Out;
}

} // namespace

// Load pattern: one engine of many restarts under load and is three times
// slower for 2 s. Guards against requests that are late at it while other
// engines are free, and against an engine that stays limited.
TEST(Pace, EngineThatRestartsUnderLoad) {
  const Outcome Without = runBeside(nullptr, 0, Seconds(2));
  EndpointPace Pace = EndpointPace::create(PaceOrigin::Appeared, Slots, Start);
  EXPECT_EQ(Pace.limit(), PaceStartLimit);
  const Outcome With = runBeside(&Pace, 0.058, Seconds(2));
  RecordProperty("late_without", static_cast<int>(Without.m_late));
  RecordProperty("late_with", static_cast<int>(With.m_late));
  RecordProperty("full_use_ms", static_cast<int>(With.m_fullUseMs));
  EXPECT_LE(4 * With.m_late, Without.m_late);
  EXPECT_LE(With.m_fullUseMs, 6000);
}

// Load pattern: the same, but the hardware of the engine is as slow for good.
// Guards against an engine that the service's floor limits for ever.
TEST(Pace, SlowerHardwareReachesFullUse) {
  EndpointPace Pace = EndpointPace::create(PaceOrigin::Appeared, Slots, Start);
  const Outcome With = runBeside(&Pace, 0.058, Seconds(60));
  RecordProperty("full_use_ms", static_cast<int>(With.m_fullUseMs));
  EXPECT_LE(With.m_fullUseMs, 9000);
}

// Load pattern: an engine is three times slower for 4 s and recovers.
TEST(Pace, SlowSpellShrinksAndRecovers) {
  Busy B = unlimited();
  B.answer(3 * AtFloor, 40);
  EXPECT_EQ(B.m_pace.cause(), PaceCause::Slow);
  EXPECT_LE(B.m_pace.limit(), Slots / 2);
  EXPECT_GE(B.m_pace.limit(), PaceStartLimit);
  B.answer(AtFloor, PaceRecoveryAnswers);
  EXPECT_EQ(B.m_pace.cause(), PaceCause::Recovered);
  EXPECT_GE(B.m_pace.limit(), Slots / 4);
  B.answer(AtFloor, 3 + 6);
  EXPECT_FALSE(B.m_pace.limited());
}

// Load pattern: one slow answer. Guards against a limit that one outlier
// shrinks, as the pause of one collection of memory causes.
TEST(Pace, OneSlowAnswerChangesNothing) {
  Busy B = unlimited();
  B.answer(AtFloor, 20);
  B.answer(Seconds(8));
  B.answer(AtFloor, 20);
  EXPECT_EQ(B.m_pace.limit(), Slots);
  for (int I = 0; I < 10; ++I) {
    B.trouble(PaceTrouble::Failed);
    for (int J = 0; J < 4; ++J)
      B.m_pace.onGood(B.m_now);
  }
  EXPECT_EQ(B.m_pace.limit(), Slots);
}

// Load pattern: an engine refuses requests that its load should allow.
TEST(Pace, RefusalsHalveTheLimit) {
  Busy B = unlimited();
  B.trouble(PaceTrouble::Refused);
  EXPECT_EQ(B.m_pace.limit(), 12U);
  B.trouble(PaceTrouble::Refused);
  EXPECT_EQ(B.m_pace.limit(), 6U);
  EXPECT_EQ(B.m_pace.cause(), PaceCause::Refused);
  B.trouble(PaceTrouble::Refused, 20);
  EXPECT_EQ(B.m_pace.limit(), 1U);
  B.answer(AtFloor);
  EXPECT_EQ(B.m_pace.cause(), PaceCause::Recovered);
  EXPECT_EQ(B.m_pace.limit(), 3U);
}

// Load pattern: an engine that never answers. Guards against growth by time
// alone, and against a limit of 0, which no probe could end.
TEST(Pace, EndpointThatNeverAnswersHasLimitOne) {
  Busy B = unlimited();
  B.trouble(PaceTrouble::Silent, PaceSilentAttempts);
  for (int I = 0; I < 50; ++I)
    B.m_pace.onTick({1, 1}, B.m_now += Milliseconds(200));
  EXPECT_EQ(B.m_pace.limit(), 1U);
  EXPECT_EQ(B.m_pace.cause(), PaceCause::Silent);
  B.m_pace.onGood(B.m_now);
  EXPECT_EQ(B.m_pace.limit(), 3U);
}

// Load pattern: few requests, with prompts of very different length. Guards
// against growth that nothing tested and shrinking without a cause.
TEST(Pace, FewRequestsNeitherGrowNorShrink) {
  EndpointPace P = EndpointPace::create(PaceOrigin::FirstList, Slots, Start);
  TimePoint Now = Start;
  for (int I = 0; I < 200; ++I) {
    Now += Milliseconds(500);
    const double Tokens = I % 2 == 0 ? 100 : 8000;
    P.onSample({"m1", fromSeconds((10 + 0.052 * Tokens) / 1000), Tokens}, {},
               {1, 1}, Now);
    P.onTick({1, 1}, Now);
  }
  EXPECT_EQ(P.limit(), Slots / 2);
  EXPECT_EQ(P.cause(), PaceCause::GatewayStart);
  EXPECT_NEAR(P.ratio(), 1, 0.4);
}

// Load pattern: a small fleet, where other gateways use all that this one's
// limit allows, and answers that take minutes. Neither gives samples; guards
// against a limit that never grows.
TEST(Pace, GrowsWithoutFurtherSamples) {
  EndpointPace Peers = EndpointPace::create(PaceOrigin::Appeared, Slots, Start);
  Busy Long{EndpointPace::create(PaceOrigin::Appeared, Slots, Start)};
  for (TimePoint Now = Start; Now < Start + Seconds(6);
       Now += Milliseconds(200)) {
    Peers.onTick({Peers.limit(), 0}, Now);
    Long.m_now = Now;
    if (Now - Start < Milliseconds(200) || Long.m_pace.limit() == 4)
      Long.answer(AtFloor);
    Long.m_pace.onTick({Long.m_pace.limit(), Long.m_pace.limit()}, Now);
  }
  EXPECT_FALSE(Peers.limited());
  EXPECT_GE(Long.m_pace.limit(), 8U);
}

// Load pattern: engines with models of different cost. Guards against a floor
// of one model that makes the answers of another look slow.
TEST(Pace, EachKindHasItsFloor) {
  Busy B = unlimited();
  for (int I = 0; I < 50; ++I) {
    B.answer(AtFloor);
    B.m_now += Milliseconds(100);
    B.m_pace.onSample({"m2", 5 * AtFloor, Prompt}, {}, {Slots, Slots}, B.m_now);
  }
  EXPECT_FALSE(B.m_pace.limited());
}

// Guards against limits outside 1 to the slots whatever arrives.
TEST(Pace, StaysWithinItsBounds) {
  std::mt19937 Random(7);
  for (unsigned Size = 0; Size < 20; ++Size) {
    Busy B{EndpointPace::create(PaceOrigin::Appeared, Size, Start)};
    for (int I = 0; I < 500; ++I) {
      if (Random() % 3 != 0)
        B.answer(Milliseconds(Random() % 900));
      else
        B.trouble(static_cast<PaceTrouble>(Random() % 3));
      B.m_pace.onTick({static_cast<unsigned>(Random() % 20), 0}, B.m_now);
      ASSERT_LE(B.m_pace.limit(), Size);
      ASSERT_GE(B.m_pace.limit(), std::min(1U, Size));
      ASSERT_EQ(B.m_pace.limited(), B.m_pace.limit() < Size);
    }
  }
}
