// Tests of suspected parts of prompts, alone and with several VMs.
#include "primroseworks/partsuspects.h"
#include "primroseworks/suspects.h"

#include <gtest/gtest.h>

using namespace primroseworks;

namespace {

constexpr std::uint64_t Part = 0xb8;
constexpr std::uint64_t Shared = 0x2a;
const TimePoint Start{Seconds(1000)};

PartSuspects parts(const PartSuspectOptions &Options = {}) {
  return std::move(PartSuspects::create(Options)).value();
}

/// Strikes Suspect with as many ends of different requests.
void strikeTimes(PartSuspects &S, unsigned Count, TimePoint Now,
                 std::uint64_t First = 1, std::uint64_t Suspect = Part) {
  for (std::uint64_t I = First; I < First + Count; ++I)
    S.strike({Suspect, I, I, Now}, Now);
}

/// Sends the changes of each to all others.
void exchange(std::vector<PartSuspects> &Vms, TimePoint Now) {
  for (std::size_t I = 0; I < Vms.size(); ++I)
    for (const PartStrike &S : Vms[I].take())
      for (std::size_t J = 0; J < Vms.size(); ++J)
        if (J != I)
          Vms[J].addFromPeer(S, Now);
}

} // namespace

// Guards against options that would refuse everything or nothing.
TEST(PartSuspects, RefusesBadOptions) {
  PartSuspectOptions Options;
  Options.m_ends = 0;
  EXPECT_FALSE(PartSuspects::create(Options));
  Options = {};
  Options.m_maxRefusal = Options.m_refusal - Seconds(1);
  EXPECT_FALSE(PartSuspects::create(Options));
  SuspectOptions Outer;
  Outer.m_parts.m_requests = 0;
  EXPECT_FALSE(CrashSuspects::create(Outer));
}

// Guards against BUDGET: a part that goes on ending endpoints.
TEST(PartSuspects, ThirdEndRefuses) {
  PartSuspects S = parts();
  strikeTimes(S, 2, Start);
  EXPECT_FALSE(S.refused(Part, Start));
  strikeTimes(S, 1, Start, 3);
  EXPECT_TRUE(S.refused(Part, Start));
  const std::vector<std::uint64_t> List{Shared, Part};
  ASSERT_NE(S.firstRefused(List, Start), nullptr);
  EXPECT_EQ(*S.firstRefused(List, Start), Part);
}

// Guards against a part that is refused since one request with it comes again.
TEST(PartSuspects, EndsUnderOneRequestDoNotRefuse) {
  PartSuspects S = parts();
  for (std::uint64_t Crash = 1; Crash <= 9; ++Crash)
    S.strike({Part, Crash, 7, Start}, Start);
  EXPECT_FALSE(S.refused(Part, Start));
  S.strike({Part, 9, 8, Start}, Start);
  EXPECT_TRUE(S.refused(Part, Start));
}

// Guards against LOST: a part that sound requests share is refused, because one
// of them ran at each endpoint that ended.
TEST(PartSuspects, AnswersSpeakForAPart) {
  PartSuspects S = parts();
  S.onAnswered({Shared}, Start);
  EXPECT_FALSE(
      S.strike({Shared, 1, 1, Start + Seconds(3)}, Start + Seconds(5)));
  EXPECT_TRUE(S.strike({Shared, 2, 2, Start + Milliseconds(3001)},
                       Start + Milliseconds(3001)));
  strikeTimes(S, 3, Start + Seconds(4), 3, Shared);
  EXPECT_TRUE(S.refused(Shared, Start + Seconds(4)));
  EXPECT_EQ(S.onAnswered({Shared, Part}, Start + Seconds(5)),
            std::vector<std::uint64_t>{Shared});
  EXPECT_FALSE(S.refused(Shared, Start + Seconds(5)));
  EXPECT_EQ(S.ends(Shared), 0U);
}

// Guards against a part that only some VMs answered, and that the others
// refuse.
TEST(PartSuspects, AnswersAtAPeerSpeakForAPart) {
  std::vector<PartSuspects> Vms;
  for (int I = 0; I < 3; ++I)
    Vms.push_back(parts());
  Vms[2].onAnswered({Shared}, Start);
  for (std::uint64_t Crash = 1; Crash <= 5; ++Crash) {
    Vms[Crash % 2].strike({Shared, Crash, Crash, Start}, Start);
    exchange(Vms, Start);
    exchange(Vms, Start);
  }
  for (PartSuspects &S : Vms)
    EXPECT_EQ(S.ends(Shared), 0U);
}

// Guards against VMs that go on sending a part which others refuse, also one
// that starts later, and against a repetition that outlives a clearance.
TEST(PartSuspects, RefusalReachesPeers) {
  std::vector<PartSuspects> Vms;
  for (int I = 0; I < 3; ++I)
    Vms.push_back(parts());
  for (std::uint64_t Crash = 1; Crash <= 3; ++Crash)
    Vms[Crash % 2].strike({Part, Crash, Crash, Start}, Start);
  exchange(Vms, Start);
  PartSuspects Late = parts();
  const TimePoint Later = Start + Seconds(20);
  for (const PartStrike &S : Vms[0].repeats(Later))
    Late.addFromPeer(S, Later);
  for (PartSuspects &S : Vms)
    EXPECT_TRUE(S.refused(Part, Start));
  EXPECT_TRUE(Late.refused(Part, Later));
  EXPECT_TRUE(Vms[2].repeats(Later).empty());
  Vms[2].onRefused(Part);
  EXPECT_EQ(Vms[2].repeats(Later).size(), 3U);
  const std::vector<PartStrike> Old = Vms[0].repeats(Later);
  Vms[1].clear(Part);
  exchange(Vms, Later);
  for (const PartStrike &S : Old)
    Vms[2].addFromPeer(S, Later);
  EXPECT_FALSE(Vms[2].refused(Part, Later));
}

// Guards against a refusal without end, and against a trial after it that costs
// more than one endpoint.
TEST(PartSuspects, OneEndAfterARefusalRefusesAgain) {
  PartSuspects S = parts();
  const PartSuspectOptions Options;
  strikeTimes(S, 3, Start);
  TimePoint Now = Start;
  Duration Refusal = Options.m_refusal;
  for (std::uint64_t Trial = 10; Trial < 18; ++Trial) {
    EXPECT_TRUE(S.refused(Part, Now + Refusal - Milliseconds(1))) << Trial;
    Now += Refusal;
    EXPECT_FALSE(S.refused(Part, Now)) << Trial;
    S.strike({Part, Trial, Trial, Now}, Now);
    EXPECT_TRUE(S.refused(Part, Now)) << Trial;
    Refusal = std::min<Duration>(2 * Refusal, Options.m_maxRefusal);
  }
  S.onAnswered({Part}, Now + Refusal);
  S.strike({Part, 30, 30, Now + Refusal + Seconds(9)},
           Now + Refusal + Seconds(9));
  EXPECT_FALSE(S.refused(Part, Now + Refusal + Seconds(9)));
}

// Guards against an end that a request causes while answers elsewhere are about
// to clear its part, and against a wait for a part with one end.
TEST(PartSuspects, PartWithTwoEndsSettles) {
  PartSuspects S = parts();
  strikeTimes(S, 1, Start);
  EXPECT_TRUE(S.mayStart({Shared, Part}, Start));
  strikeTimes(S, 1, Start, 2);
  EXPECT_FALSE(S.mayStart({Shared, Part}, Start));
  EXPECT_TRUE(S.mayStart({Shared}, Start));
  EXPECT_TRUE(
      S.mayStart({Shared, Part}, Start + PartSuspectOptions().m_settle));
}

// Guards against several requests with a part that end as many endpoints at
// once, because they waited for the same moment.
TEST(PartSuspects, PartWithTwoEndsRunsOneByOne) {
  const PartSuspectOptions Options;
  PartSuspects S = parts();
  S.onStarted({Shared, Part}); // It began before the strikes.
  strikeTimes(S, 2, Start);
  const TimePoint Settled = Start + Options.m_settle;
  EXPECT_FALSE(S.mayStart({Part}, Settled));
  S.onEnded({Shared, Part});
  EXPECT_TRUE(S.mayStart({Part}, Settled));
  S.onStarted({Part});
  EXPECT_FALSE(S.mayStart({Part}, Settled));
  EXPECT_TRUE(S.mayStart({Shared}, Settled));
  S.onEnded({Part});
  S.setTurn(3, 9);
  const TimePoint Mine = Settled + 3 * Options.m_turn;
  EXPECT_FALSE(S.mayStart({Part}, Mine - Milliseconds(1)));
  EXPECT_TRUE(S.mayStart({Part}, Mine));
  EXPECT_FALSE(S.mayStart({Part}, Mine + Options.m_turn));
  EXPECT_TRUE(S.mayStart({Part}, Mine + Options.m_turns * Options.m_turn));
}

// Guards against a VM of a large fleet that never has a turn, and against one
// of two that has it at the same time as the other.
TEST(PartSuspects, EachVmHasItsTurn) {
  const PartSuspectOptions Options;
  for (const std::size_t Count : {1, 2, 9, 200})
    for (std::size_t Index = 0; Index < Count; ++Index) {
      PartSuspects S = parts();
      S.setTurn(Index, Count);
      strikeTimes(S, 2, Start);
      unsigned Turns = 0;
      for (unsigned I = 0; I < Options.m_turns; ++I)
        Turns +=
            S.mayStart({Part}, Start + Options.m_settle + I * Options.m_turn)
                ? 1
                : 0;
      EXPECT_EQ(Turns,
                Options.m_turns / std::min<std::size_t>(Count, Options.m_turns))
          << Index << " of " << Count;
    }
}

// Guards against LOST: requests that ran beside a deadly part keep the strikes
// of its ends, wait apart or are refused.
TEST(PartSuspects, PartExplainsStrikesOfRequests) {
  CrashSuspects S = std::move(CrashSuspects::create({})).value();
  for (std::uint64_t Crash = 1; Crash <= 3; ++Crash) {
    for (const std::uint64_t Request : {1, 2})
      S.strike(Request, Crash, Start);
    S.strike(50, Crash, Start);
    EXPECT_GT(S.suspicion(1, Start), 0U) << Crash;
    S.parts().strike({Part, Crash, Crash, Start}, Start);
  }
  EXPECT_TRUE(S.parts().explains(2));
  EXPECT_EQ(S.suspicion(1, Start), 0U);
  EXPECT_TRUE(S.mayRun(1, "e", Start));
  S.strike(1, 4, Start); // Its own.
  EXPECT_EQ(S.suspicion(1, Start), 1U);
  EXPECT_FALSE(S.refused(1, Start));
  for (std::uint64_t Crash : {5, 6})
    S.strike(2, Crash, Start);
  S.strike(2, 7, Start);
  EXPECT_EQ(S.suspicion(2, Start), 1U); // At most four strikes are kept.
  S.parts().clear(Part);
  EXPECT_EQ(S.suspicion(50, Start), 0U); // Others have more strikes.
}

// Guards against LOST: a request that many callers send is refused since it ran
// at the third end as well, a moment before that end is known as the part's.
TEST(PartSuspects, RequestIsNotRefusedBeforeThePartsStrikeArrives) {
  CrashSuspects S = std::move(CrashSuspects::create({})).value();
  const Milliseconds Settle = SuspectOptions().m_settle;
  for (std::uint64_t Crash : {1, 2}) {
    S.strike(7, Crash, Start);
    S.parts().strike({Part, Crash, Crash, Start}, Start);
  }
  S.strike(7, 3, Start);
  EXPECT_FALSE(S.refused(7, Start));
  EXPECT_FALSE(S.mayRun(7, "e", Start));
  EXPECT_TRUE(S.refused(7, Start + Settle));
  S.parts().strike({Part, 3, 3, Start}, Start);
  EXPECT_FALSE(S.refused(7, Start + Settle));
  EXPECT_TRUE(S.mayRun(7, "e", Start + Settle));
}

// Guards against memory that parts named by callers exhaust, and against
// refusals that such a flood ends.
TEST(PartSuspects, MemoryIsBounded) {
  PartSuspects S = parts();
  strikeTimes(S, 3, Start);
  for (std::uint64_t I = 1; I <= SuspectedPartsMax + 100; ++I)
    S.strike({1000 + I, I, I, Start}, Start + Milliseconds(1));
  EXPECT_LE(S.size(), SuspectedPartsMax);
  EXPECT_TRUE(S.refused(Part, Start + Seconds(1)));
  for (std::uint64_t I = 1; I <= 3 * AnsweredPartsMax; ++I)
    S.onAnswered({100'000 + I}, Start + Seconds(1));
  S.onAnswered({Shared}, Start + Seconds(1));
  EXPECT_FALSE(
      S.strike({Shared, 1, 1, Start + Seconds(1)}, Start + Seconds(1)));
}
