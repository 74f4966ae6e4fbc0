// Tests of the fair order among accounts.
#include "libfairness/accountbacklogs.h"
#include "libfairness/accountweights.h"
#include "libfairness/fairqueue.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>
#include <vector>

using namespace primroseworks::fairness;

namespace {

/// A queue whose accounts are named by a letter and wait for one model.
class Queue : public FairQueue {
public:
  EntryId add(const std::string &Account, double Cost = 1600,
              const std::string &Lane = "m1") {
    FairQueue::add({++m_last, Account, Lane, Lane, Cost});
    m_entries[m_last] = {Account, Cost};
    return m_last;
  }
  /// Dispatches one request; returns its account.
  std::string dispatch(const std::set<std::string> &Blocked = {}) {
    Cursor Begin;
    const std::optional<EntryId> Id = next(Begin, Blocked);
    if (!Id)
      return "-";
    onDispatched(*Id, true);
    m_served[m_entries[*Id].first] += m_entries[*Id].second;
    return m_entries[*Id].first;
  }
  std::string dispatchAll(unsigned Count) {
    std::string Out;
    for (unsigned I = 0; I < Count; ++I)
      Out += dispatch();
    return Out;
  }
  std::map<std::string, double> m_served; ///< Tokens.

private:
  EntryId m_last = 0;
  std::map<EntryId, std::pair<std::string, double>> m_entries;
};

} // namespace

TEST(ShortfallSums, EqualsThePassOverAllMembers) {
  std::mt19937_64 Random(1);
  ShortfallSums Sums;
  std::vector<std::pair<double, std::uint64_t>> All;
  for (std::uint64_t I = 0; I < 3000; ++I) {
    if (!All.empty() && Random() % 3 == 0) {
      std::swap(All[Random() % All.size()], All.back());
      Sums.remove(All.back().first, All.back().second);
      All.pop_back();
    } else {
      All.emplace_back(static_cast<double>(Random() % 5000), I);
      Sums.add(All.back().first, 2, I);
    }
    const auto Limit = static_cast<double>(Random() % 5000);
    double Expected = 0;
    for (const auto &[Value, Id] : All)
      Expected += 2 * std::max(0.0, Limit - Value);
    ASSERT_DOUBLE_EQ(Sums.below(Limit), Expected);
  }
}

// Guards against an account that waits behind the backlog of another one.
TEST(FairQueue, ASmallAccountPassesTheBacklogOfALargeOne) {
  Queue Q;
  for (unsigned I = 0; I < 20; ++I)
    Q.add("f");
  EXPECT_EQ(Q.dispatchAll(3), "fff");
  Q.add("s");
  EXPECT_EQ(Q.dispatchAll(2), "sf");
  EXPECT_EQ(Q.waiting("m1", "f"), 16U);
}

// Load pattern: 16 accounts send all they can, with requests of 200 to 30,000
// tokens. Guards against the starvation of one of them: the required share is a
// quarter of the mean.
TEST(FairQueue, AccountsInAFloodGetEqualTokens) {
  std::mt19937_64 Random(2);
  Queue Q;
  const auto Add = [&](char Account) {
    const double Cost =
        Account % 4 == 0 ? 30000 : 200.0 + static_cast<double>(Random() % 1600);
    Q.add(std::string(1, Account), Cost);
  };
  for (unsigned I = 0; I < 40; ++I)
    for (char C = 'a'; C <= 'p'; ++C)
      Add(C);
  for (unsigned I = 0; I < 4000; ++I)
    Add(Q.dispatch()[0]);
  double Total = 0;
  for (const auto &[Account, Tokens] : Q.m_served)
    Total += Tokens;
  ASSERT_EQ(Q.m_served.size(), 16U);
  for (const auto &[Account, Tokens] : Q.m_served)
    EXPECT_NEAR(Tokens, Total / 16, 31000) << Account;
}

// Guards against credit for the time in which an account sent nothing, and
// against state that is kept for it.
TEST(FairQueue, AnIdleAccountThatReturnsHasNoCredit) {
  Queue Q;
  for (unsigned I = 0; I < 60; ++I)
    Q.add("f");
  Q.add("i");
  EXPECT_EQ(Q.dispatchAll(30).find('i'), 1U);
  EXPECT_EQ(Q.accounts(), 1U) << "the state of the idle account is dropped";
  for (unsigned I = 0; I < 20; ++I)
    Q.add("i");
  const std::string Next = Q.dispatchAll(10);
  EXPECT_EQ(std::count(Next.begin(), Next.end(), 'i'), 5) << Next;
}

// Guards against a charge for service that an account did not get.
TEST(FairQueue, WithdrawnRequestsCostNothing) {
  Queue Q;
  std::vector<EntryId> Given;
  for (unsigned I = 0; I < 50; ++I) {
    Given.push_back(Q.add("w"));
    Q.add("f");
  }
  for (const EntryId Id : Given)
    Q.remove(Id);
  for (unsigned I = 0; I < 5; ++I)
    Q.add("w");
  EXPECT_EQ(Q.dispatchAll(4), "fwfw");
}

// Guards against an account that gains on others while its model has no
// capacity, and then takes all of it.
TEST(FairQueue, WaitingForAModelEarnsLittleCredit) {
  Queue Q;
  for (unsigned I = 0; I < 40; ++I) {
    Q.add("b", 1600, "m2");
    Q.add("f", 1600, "m1");
    Q.add("f", 1600, "m2");
  }
  for (unsigned I = 0; I < 40; ++I)
    EXPECT_EQ(Q.dispatch({"m2"}), "f");
  const std::string Next = Q.dispatchAll(12);
  EXPECT_EQ(Next.substr(0, 4), "bbbb");
  EXPECT_GE(std::count(Next.begin(), Next.end(), 'f'), 4) << Next;
}

TEST(FairQueue, AheadOfARequestIsTheFairShareOfOthers) {
  Queue Q;
  for (unsigned I = 0; I < 100; ++I)
    Q.add("f");
  EXPECT_DOUBLE_EQ(Q.ahead("m1", "f"), 100);
  EXPECT_NEAR(Q.ahead("m1", "s"), 0.5, 0.01);
  for (unsigned I = 0; I < 10; ++I)
    Q.add("s");
  EXPECT_NEAR(Q.ahead("m1", "s"), 20.5, 0.01) << "10 of each";
  EXPECT_DOUBLE_EQ(Q.ahead("m1", "f"), 110);
  EXPECT_DOUBLE_EQ(Q.ahead("m2", "f"), 0);
}

// Guards against an account that fills the queue for all others.
TEST(AccountBacklogs, TheLargestAccountLosesItsNewestRequest) {
  AccountBacklogs B;
  for (EntryId Id = 1; Id <= 10; ++Id)
    B.add(Id, Id <= 7 ? "f" : "s", Id != 7);
  EXPECT_EQ(B.victimFor("s"), EntryId(6)) << "7 may have run";
  EXPECT_EQ(B.victimFor("new"), EntryId(6));
  EXPECT_FALSE(B.victimFor("f")) << "its newest is the one that arrives";
  for (EntryId Id = 1; Id <= 4; ++Id)
    B.remove(Id, "f");
  EXPECT_FALSE(B.victimFor("s")) << "none is larger with the new request";
  EXPECT_EQ(B.largest(), 3U);
}

TEST(AccountWeights, FollowTheUsualLoadAboveAMinimum) {
  using primroseworks::Milliseconds;
  AccountWeights W;
  auto Now = primroseworks::TimePoint() + primroseworks::Seconds(100);
  EXPECT_DOUBLE_EQ(W.weight("a", Now), 1);
  const auto Serve = [&](unsigned Steps, unsigned Small) {
    for (unsigned I = 0; I < Steps; ++I) {
      Now += Milliseconds(100);
      W.onServed("a", 2000, Now);
      W.onServed("b", 1000, Now);
      W.onServed("s", 10 * Small, Now);
    }
  };
  Serve(1, 1);
  EXPECT_NEAR(W.weight("a", Now), 1, 0.05) << "equal at the start";
  Serve(600, 1);
  EXPECT_NEAR(W.weight("a", Now), 2, 0.05);
  EXPECT_DOUBLE_EQ(W.weight("s", Now), MinAccountWeight);
  EXPECT_DOUBLE_EQ(W.weight("unknown", Now), MinAccountWeight);
  Serve(65, 600);
  EXPECT_LT(W.weight("s", Now), 1.3) << "a flood of 6.5 s gains little";
  for (unsigned I = 0; I < 4000; ++I)
    W.onServed("a", 2000, Now += Milliseconds(100));
  EXPECT_EQ(W.accounts(), 1U) << "idle accounts are dropped";
}
