// Tests of the quotas in a simulated fleet: the bound in each sliding window
// under faults, and that an account within its limit can use it.
#include "libquota/quotasim_fake.h"

#include <cmath>
#include <cstdlib>
#include <gtest/gtest.h>

using namespace primroseworks;
using namespace primroseworks::quota;
using namespace primroseworks::quota::testing;

namespace {

constexpr double Rate = 40'000;
constexpr double Burst = 40'000;
constexpr Amount Cost = 1'630;
const QuotaLimit Limit{QuotaUnit::Tokens, Rate, Burst, 200};

class Quota : public ::testing::Test {
protected:
  QuotaSim &fleet(SimOptions Options = {}, QuotaLimit L = Limit) {
    m_sim = std::make_unique<QuotaSim>(Options);
    m_sim->m_limits.m_limits["a"] = L;
    return *m_sim;
  }
  void flood(double End, double Times = 5) {
    m_sim->load(0.5, End, Times * Rate, Cost, [this] { return m_sim->any(); });
  }
  void expectBound(const QuotaLimit &L = Limit, double From = 0) {
    const double Excess = m_sim->worstExcess(L, From);
    RecordProperty("excess", std::to_string(std::lround(Excess)));
    EXPECT_LE(Excess, 0);
  }
  std::unique_ptr<QuotaSim> m_sim;
};

TEST_F(Quota, SteadyFloodStaysWithinTheBoundAndUsesTheLimit) {
  QuotaSim &S = fleet();
  flood(40);
  S.run(41);
  expectBound();
  EXPECT_GE(S.ran(10, 40), 0.95 * Rate * 30);
}

/// What flows in while the next request is on the way must have room.
TEST_F(Quota, LimitIsUsableWithASmallBurst) {
  QuotaLimit Small = Limit;
  for (const double B : {0.0, 4'000.0, 10'000.0}) {
    Small.m_burst = B;
    QuotaSim &S = fleet({9, 9, 0, 0, 15}, Small);
    flood(40);
    S.run(41);
    expectBound(Small);
    EXPECT_GE(S.ran(10, 40), 0.95 * Rate * 30) << B;
  }
}

TEST_F(Quota, FloodThroughOneVmUsesTheLimit) {
  QuotaSim &S = fleet({30, 6, 0, 0, 2});
  S.load(0.5, 40, 5 * Rate, Cost, [] { return 29U; });
  S.run(41);
  expectBound();
  EXPECT_GE(S.ran(10, 40), 0.95 * Rate * 30);
}

TEST_F(Quota, DemandThatMovesUsesTheLimit) {
  QuotaSim &S = fleet({9, 9, 0, 0, 3});
  S.load(0.5, 40, 1.2 * Rate, Cost, [&S] {
    const auto Turn =
        static_cast<unsigned>(S.time() - 1000.0) / 2; // Every two seconds.
    return Turn % 3 * 3 + S.any() % 3;
  });
  S.run(41);
  expectBound();
  EXPECT_GE(S.ran(10, 40), 0.95 * Rate * 30);
}

TEST_F(Quota, AccountWithinItsLimitIsNotRefused) {
  // Small enough that most requests find no credit at their agent, and large
  // enough that most find one.
  for (const double R : {8'000.0, 40'000.0, 400'000.0})
    for (const unsigned Agents : {3U, 9U, 20U}) {
      QuotaSim &S =
          fleet({30, Agents, 0, 0, 4}, {QuotaUnit::Tokens, R, 2 * R, 200});
      S.run(6);                       // The first buckets start empty.
      for (int I = 0; I < 60; I += 2) // All of two seconds' load in one.
        S.load(6 + I, 7 + I, 2 * R / 1.8, Cost, [&S] { return S.any(); });
      S.run(67);
      EXPECT_EQ(S.m_results[QuotaStatus::Denied], 0U) << R << ' ' << Agents;
      EXPECT_EQ(S.m_results[QuotaStatus::Unavailable], 0U)
          << R << ' ' << Agents;
      EXPECT_GT(S.m_results[QuotaStatus::Granted], 0U);
    }
}

TEST_F(Quota, BoundHoldsWhenTheOwnerIsKilledAndReplaced) {
  QuotaSim &S = fleet({9, 9, 0, 0, 5});
  flood(60);
  for (int I = 0; I < 4; ++I) {
    S.at(8 + 12 * I, [&S] { S.kill(S.leader()); });
    S.at(14 + 12 * I, [&S] {
      for (unsigned N = 0; N < 9; ++N)
        if (!S.m_nodes[N]->m_alive)
          S.restart(N);
    });
  }
  S.run(61);
  expectBound();
  EXPECT_GE(S.ran(56, 60), 0.8 * Rate * 4);
}

TEST_F(Quota, BoundHoldsWhenAgentsAndVmsAreKilledOrFrozen) {
  QuotaSim &S = fleet({20, 5, 0, 0, 6});
  flood(60);
  for (int I = 0; I < 10; ++I) {
    S.at(8 + 5 * I, [&S] { S.kill(S.any() % 5); });
    S.at(9 + 5 * I, [&S] { S.freeze(S.any(), 1.5); });
    S.at(10 + 5 * I, [&S] { S.freeze(S.any() % 5, 0.45); });
    S.at(11 + 5 * I, [&S] {
      for (unsigned N = 0; N < 5; ++N)
        if (!S.m_nodes[N]->m_alive)
          S.restart(N);
    });
  }
  S.run(61);
  expectBound();
}

TEST_F(Quota, BoundHoldsWhenAllAreKilled) {
  QuotaSim &S = fleet({9, 9, 0, 0, 7});
  flood(60, 7);
  S.at(20, [&S] {
    for (unsigned N = 0; N < 9; ++N)
      S.kill(N);
  });
  S.at(21, [&S] {
    for (unsigned N = 0; N < 9; ++N)
      S.restart(N);
  });
  S.run(61);
  expectBound();
  EXPECT_GE(S.ran(40, 60), 0.95 * Rate * 20);
}

/// Agents that the store has dropped from its list go on with their base
/// shares. Dividing the limit among the rest alone would pay 1.44 times it.
TEST_F(Quota, BoundHoldsWhenAgentsAreCutOffFromOwnerAndStore) {
  for (const double B : {0.0, 40'000.0, 400'000.0}) {
    const QuotaLimit L{QuotaUnit::Tokens, Rate, B, 200};
    QuotaSim &S = fleet({9, 9, 0, 0, 8}, L);
    S.load(12, 90, 5 * Rate, Cost, [&S] { return S.any(); });
    S.at(20, [&S] {
      for (unsigned N = 5; N < 9; ++N) {
        S.m_nodes[N]->m_side = 1;
        S.m_nodes[N]->m_storeReachable = false;
      }
    });
    S.at(60, [&S] {
      for (auto &N : S.m_nodes) {
        N->m_side = 0;
        N->m_storeReachable = true;
      }
    });
    S.run(91);
    expectBound(L);
    if (B == 0)
      continue; // The shares of the agents are smaller than a request.
    EXPECT_GT(S.ran(35, 60), 0.85 * Rate * 25) << B;
    EXPECT_GT(S.ran(65, 90), 0.95 * Rate * 25) << B;
  }
}

/// The owner must not keep a burst that agents save up for themselves as well.
TEST_F(Quota, BurstIsNotSavedOnBothSidesOfAPartition) {
  const QuotaLimit L{QuotaUnit::Tokens, Rate, 10 * Rate, 200};
  QuotaSim &S = fleet({9, 9, 0, 0, 16}, L);
  S.at(20, [&S] {
    for (unsigned N = 4; N < 9; ++N)
      S.m_nodes[N]->m_side = 1;
  });
  S.load(11, 11.1, Rate, Cost, [] { return 0U; });
  S.load(45, 60, 25 * Rate, Cost, [&S] { return S.any(); });
  S.run(61);
  expectBound(L);
}

/// Combinations of faults that no other test has.
TEST_F(Quota, BoundHoldsUnderRandomFaults) {
  const char *const Seeds = std::getenv("QUOTA_SEEDS");
  const unsigned Count = Seeds ? std::stoul(Seeds) : 20;
  for (unsigned Seed = 1; Seed <= Count; ++Seed) {
    QuotaSim &S = fleet({12, Seed % 2 ? 12U : 5U, 0.02, 0.05, Seed});
    S.m_notRun = 0.2;
    flood(60);
    for (int I = 0; I < 25; ++I)
      S.at(6 + 2 * I, [&S] {
        const unsigned N = S.any();
        QuotaSim::Node &Node = *S.m_nodes[N];
        switch (S.any() % 6) {
        case 0:
          return S.kill(N);
        case 1:
          return Node.m_alive ? void() : S.restart(N);
        case 2:
          return S.freeze(N, 0.1 * S.any() + 0.1);
        case 3:
          Node.m_side = 1 - Node.m_side;
          Node.m_storeReachable = Node.m_side == 0;
          return;
        case 4:
          Node.m_side = 1 - Node.m_side;
          return;
        default:
          S.m_storeUp = !S.m_storeUp;
        }
      });
    S.run(61);
    SCOPED_TRACE(Seed);
    expectBound();
  }
}

TEST_F(Quota, BaseSharesApplyWhileTheStoreIsDown) {
  QuotaSim &S = fleet({9, 9, 0, 0, 9});
  flood(60);
  S.at(20, [&S] { S.m_storeUp = false; });
  S.at(50, [&S] { S.m_storeUp = true; });
  S.run(61);
  expectBound();
  EXPECT_GT(S.ran(30, 50), 0.9 * Rate * 20);
}

/// All agents may have saved up their share of a burst when the request that is
/// larger than it arrives at each of them.
TEST_F(Quota, BoundHoldsForSmallLimitsWithoutAnOwner) {
  const QuotaLimit Small{QuotaUnit::Tokens, 1'000, 2'000, 200};
  QuotaSim &S = fleet({20, 20, 0, 0, 10}, Small);
  S.at(10, [&S] { S.m_storeUp = false; });
  S.load(50, 80, 200'000, Cost, [&S] { return S.any(); });
  S.load(50, 80, 20'000, 300, [&S] { return S.any(); });
  S.run(81);
  expectBound(Small);
}

TEST_F(Quota, BoundHoldsAfterTheLimitIsLowered) {
  QuotaSim &S = fleet({9, 9, 0, 0, 11});
  flood(60);
  QuotaLimit Lower = Limit;
  Lower.m_ratePerSecond /= 10;
  Lower.m_burst /= 10;
  S.at(30, [&S, Lower] {
    S.m_limits.m_limits["a"] = Lower;
    ++S.m_limits.m_version;
  });
  S.run(61);
  expectBound();
  expectBound(Lower, 30 + 8);
}

TEST_F(Quota, BoundHoldsWhenDatagramsAreLostAndRepeated) {
  QuotaSim &S = fleet({30, 6, 0.1, 0.2, 12});
  S.m_notRun = 0.4;
  flood(60);
  S.run(61);
  expectBound();
  EXPECT_GE(S.ran(20, 60), 0.7 * Rate * 40);
}

TEST_F(Quota, RefundsMakeRoomWithinTheBound) {
  QuotaSim &S = fleet({9, 9, 0, 0, 13});
  S.m_notRun = 0.5;
  flood(60);
  S.run(61);
  expectBound();
  EXPECT_GE(S.ran(20, 60), 0.8 * Rate * 40);
}

TEST_F(Quota, BoundHoldsWithTwoListsOfAgents) {
  QuotaSim &S = fleet({12, 9, 0, 0, 14});
  flood(60);
  S.at(15, [&S] { S.m_options.m_agents = 12; });
  S.at(15.2, [&S] { // These still have the list with nine agents.
    for (unsigned N = 0; N < 3; ++N)
      S.m_nodes[N]->m_storeReachable = false;
  });
  S.at(40, [&S] {
    for (unsigned N = 0; N < 3; ++N)
      S.m_nodes[N]->m_storeReachable = true;
    S.m_options.m_agents = 8;
  });
  S.run(61);
  expectBound();
}

/// A promise counts from the stamp that the agent echoes: a request that waited
/// in the socket of a frozen owner must not extend it.
TEST(QuotaOwner, LateRequestDoesNotExtendAPromise) {
  AgentList List;
  List.set({"a", "b"}, at(0));
  FixedLimits Limits;
  QuotaOwner Owner(7, {}, at(0));
  CreditRequest R;
  R.m_agent = "a";
  const CreditReply First = Owner.onRequest(R, List, Limits, at(1));
  EXPECT_EQ(Owner.share(), 0);
  R.m_token = First.m_token;
  R.m_stamp = First.m_stamp;
  (void)Owner.onRequest(R, List, Limits, at(1.4));
  EXPECT_DOUBLE_EQ(Owner.share(), 0.5);
  (void)Owner.onRequest(R, List, Limits, at(1.6));
  EXPECT_EQ(Owner.share(), 0);
}

TEST(QuotaCharge, GrantFromBeforeAFreezeIsRefused) {
  QuotaCharge C({{"v", 1, 1}, "a", 1}, {"x", "y"}, at(0));
  EXPECT_EQ(C.start(at(0)).m_sendTo, "x");
  QuotaReply R;
  R.m_agent = "x";
  R.m_status = QuotaStatus::Granted;
  const ChargeStep Step = C.onReply(R, at(0.31));
  ASSERT_TRUE(Step.m_result);
  EXPECT_EQ(Step.m_result->m_status, QuotaStatus::Unavailable);
}

TEST(QuotaCharge, SilentAgentIsAskedTwiceThenTheNext) {
  QuotaCharge C({{"v", 1, 1}, "a", 1}, {"x", "y"}, at(0));
  (void)C.start(at(0));
  EXPECT_EQ(C.onTimer(at(0.04)).m_sendTo, "x");
  EXPECT_EQ(C.onTimer(at(0.08)).m_sendTo, "y");
  EXPECT_EQ(C.onTimer(at(0.12)).m_sendTo, "y");
  ASSERT_TRUE(C.onTimer(at(0.16)).m_result);
}

} // namespace
