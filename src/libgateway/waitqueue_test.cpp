// Tests for the wait queue, with simulated floods of requests.
#include "libgateway/waitqueue.h"

#include <gtest/gtest.h>

using namespace primroseworks;
using namespace primroseworks::gateway;

namespace {

const TimePoint Start = TimePoint() + Seconds(100);

ChoiceQuery query(unsigned Rank, const std::string &Model = "m1") {
  ChoiceQuery Q;
  Q.m_service = "llm";
  Q.m_model = Model;
  Q.m_rank = Rank;
  return Q;
}

Choice chosen() {
  Choice C;
  C.m_obstacle = ChoiceObstacle::None;
  C.m_endpoint = "e1";
  return C;
}

/// Dispatches up to Free requests; returns their ticket ids in order.
std::vector<TicketId> dispatch(WaitQueue &Queue, unsigned Free, TimePoint Now) {
  std::vector<TicketId> Out;
  Queue.dispatch(
      [&Free](const ChoiceQuery &) {
        if (Free == 0) {
          Choice Full;
          Full.m_obstacle = ChoiceObstacle::Full;
          return Full;
        }
        --Free;
        return chosen();
      },
      [&Out](const Grant &G) { Out.push_back(G.m_ticket); }, Now);
  return Out;
}

} // namespace

TEST(WaitQueue, UrgentRanksGoFirst) {
  WaitQueue Queue;
  const TimePoint Until = Start + Seconds(1);
  const TicketId Low = Queue.add(query(2), ChoiceObstacle::Full, Until, Start);
  const TicketId Second =
      Queue.add(query(1), ChoiceObstacle::Full, Until, Start);
  const TicketId First =
      Queue.add(query(0), ChoiceObstacle::Full, Until, Start);
  EXPECT_EQ(dispatch(Queue, 3, Start),
            (std::vector<TicketId>{First, Second, Low}));
}

TEST(WaitQueue, LateRequestsFollowThoseOnTimeAndPrecedeLowRanks) {
  WaitQueue Queue;
  const TicketId Late = Queue.add(query(0), ChoiceObstacle::Full,
                                  Start + Milliseconds(10), Start);
  const TicketId Low =
      Queue.add(query(2), ChoiceObstacle::Full, Start + Seconds(9), Start);
  const TicketId OnTime =
      Queue.add(query(1), ChoiceObstacle::Full, Start + Seconds(9), Start);
  EXPECT_EQ(dispatch(Queue, 3, Start + Milliseconds(20)),
            (std::vector<TicketId>{OnTime, Late, Low}));
}

// Guards against shares of accounts that outweigh ranks, or requests that can
// still be on time; within each, no account waits behind all of another one.
TEST(WaitQueue, AccountsShareWithinARankOnly) {
  WaitQueue Queue;
  const auto Add = [&](unsigned Rank, const char *Account, int OnTimeMs) {
    ChoiceQuery Q = query(Rank);
    Q.m_account = Account;
    Q.m_size = {1630, 1460};
    return Queue.add(Q, ChoiceObstacle::Full, Start + Milliseconds(OnTimeMs),
                     Start);
  };
  std::vector<TicketId> Ids;
  for (const int OnTimeMs : {10, 900})
    for (const unsigned Rank : {1U, 0U})
      for (const char *Account : {"f", "f", "s"})
        Ids.push_back(Add(Rank, Account, OnTimeMs));
  EXPECT_EQ(dispatch(Queue, 12, Start + Milliseconds(20)),
            (std::vector<TicketId>{Ids[9], Ids[11], Ids[10],  // On time, 0.
                                   Ids[6], Ids[8], Ids[7],    // On time, 1.
                                   Ids[3], Ids[5], Ids[4],    // Late, 0.
                                   Ids[0], Ids[2], Ids[1]})); // Late, 1.
}

// Load pattern: twice as many requests as slots, for five seconds. In FIFO
// order nearly all responses are late once the wait exceeds the latency target.
// At least two fifths of the slots must go to requests that are on time.
TEST(WaitQueue, SpendsSlotsOnRequestsThatCanBeOnTime) {
  WaitQueue Queue;
  std::map<TicketId, TimePoint> Until;
  unsigned OnTime = 0;
  unsigned Dispatched = 0;
  for (int Ms = 0; Ms < 5000; Ms += 10) {
    const TimePoint Now = Start + Milliseconds(Ms);
    const TimePoint Limit = Now + Milliseconds(300);
    Until[Queue.add(query(0), ChoiceObstacle::Full, Limit, Now)] = Limit;
    if (Ms % 20 != 0)
      continue;
    for (const TicketId Id : dispatch(Queue, 1, Now)) {
      ++Dispatched;
      OnTime += Now <= Until[Id] ? 1 : 0;
    }
  }
  EXPECT_EQ(Dispatched, 250U);
  EXPECT_GE(OnTime, Dispatched * 2 / 5);
}

// Guards against queuing a request that cannot be dispatched in time: its wait
// can be estimated from the preceding dispatches.
TEST(WaitQueue, ExpectsTheWaitOfThoseAhead) {
  WaitQueue Queue;
  EXPECT_FALSE(Queue.expectedWait(query(0), Start + Seconds(9), Start));
  TimePoint Now = Start;
  for (int I = 0; I < 60; ++I)
    Queue.add(query(0), ChoiceObstacle::Full, Now + Seconds(9), Now);
  for (int I = 0; I < 40; ++I) {
    Now += Milliseconds(100);
    ASSERT_EQ(dispatch(Queue, 1, Now).size(), 1U);
  }
  const std::optional<Duration> Wait =
      Queue.expectedWait(query(0), Now + Seconds(9), Now);
  ASSERT_TRUE(Wait);
  // 20 requests are ahead, and one is dispatched every 100 ms.
  EXPECT_GT(*Wait, Milliseconds(1500));
  EXPECT_LT(*Wait, Milliseconds(2500));
  EXPECT_FALSE(Queue.expectedWait(query(0, "m2"), Now + Seconds(9), Now));
}

// Load pattern: urgent requests arrive one by one and are dispatched at once,
// since they go first, while less urgent ones have waited for long. Guards
// against taking the short waits of the former for the pace of the queue.
TEST(WaitQueue, ShortWaitsOfUrgentRequestsDoNotHideTheBacklog) {
  WaitQueue Queue;
  TimePoint Now = Start;
  for (int I = 0; I < 10; ++I)
    Queue.add(query(1), ChoiceObstacle::Full, Now + Seconds(20), Now);
  for (int I = 0; I < 40; ++I) {
    Now += Milliseconds(200);
    Queue.add(query(0), ChoiceObstacle::Full, Now + Seconds(20),
              Now - Milliseconds(1));
    ASSERT_EQ(dispatch(Queue, 1, Now).size(), 1U);
  }
  const std::optional<Duration> Wait =
      Queue.expectedWait(query(1), Now + Seconds(20), Now);
  ASSERT_TRUE(Wait);
  EXPECT_GT(*Wait, Milliseconds(1500)) << "10 are ahead, one each 200 ms";
}

// Load pattern: twice as many requests as slots, for five seconds, so that late
// ones get hardly any turn. Guards against callers that are kept until they
// give up: a request that will be late must be rejected on arrival.
TEST(WaitQueue, ExpectsNoTurnForLateRequestsInAFlood) {
  WaitQueue Queue;
  TimePoint Now = Start;
  for (int Ms = 0; Ms < 5000; Ms += 10) {
    Now = Start + Milliseconds(Ms);
    Queue.add(query(0), ChoiceObstacle::Full, Now + Milliseconds(300), Now);
    if (Ms % 20 == 0)
      dispatch(Queue, 1, Now);
  }
  const std::optional<Duration> Wait =
      Queue.expectedWait(query(1), Now + Milliseconds(300), Now);
  ASSERT_TRUE(Wait);
  EXPECT_GT(*Wait, Seconds(5));
}

TEST(WaitQueue, HasALimitedSize) {
  WaitQueue Queue;
  for (std::size_t I = 0; I < MaxWaitQueueSize; ++I)
    ASSERT_NE(Queue.add(query(0), ChoiceObstacle::Full, Start, Start), 0U);
  const TicketId Over = Queue.add(query(0), ChoiceObstacle::Full, Start, Start);
  EXPECT_EQ(Over, 0U);
  Queue.remove(1);
  EXPECT_NE(Queue.add(query(0), ChoiceObstacle::Full, Start, Start), 0U);
}
