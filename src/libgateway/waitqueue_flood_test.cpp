// Tests of the wait queue with client accounts, under a simulated flood. The
// load is that of docs/design/accounts-and-overload.md, part C.
#include "libgateway/waitqueue.h"

#include <cmath>
#include <gtest/gtest.h>
#include <queue>
#include <random>

using namespace primroseworks;
using namespace primroseworks::gateway;

namespace {

constexpr unsigned Accounts = 16;
constexpr double Skew = 1.2;
constexpr double RequestsPerSecond = 262;
constexpr unsigned Slots = 112 * 12;
constexpr double FloodFactor = 6;
constexpr unsigned Everyone = Accounts + 1;
const TimePoint Start = TimePoint() + Seconds(100);
constexpr Milliseconds FloodBegin{60000};
constexpr Milliseconds FloodEnd{66500};
constexpr Milliseconds SimulationEnd{70000};
constexpr Milliseconds OnTimeWait{900};
constexpr Milliseconds MaxWait{4000};

struct Scenario {
  unsigned m_flooding = 0; ///< Account, from 1, or Everyone; 0: no flood.
  bool m_accounts = true;  ///< False: all requests without an account.
  unsigned m_retries = 0;  ///< Of a refused request, 1 ms later each.
  Milliseconds m_newCoordinatorAt{0}; ///< 0: never.
  unsigned m_idle = 0; ///< This account sends nothing before the flood ends.
};

struct Outcome {
  std::array<unsigned, Accounts + 1> m_onTime{}; ///< By account, in the flood.
  std::array<unsigned, Accounts + 1> m_arrived{};
  std::array<unsigned, Accounts + 1> m_refused{};
  std::size_t m_longestQueue = 0;

  unsigned onTimeExcept(unsigned Account) const {
    unsigned Sum = 0;
    for (unsigned A = 1; A <= Accounts; ++A)
      Sum += A == Account ? 0 : m_onTime.at(A);
    return Sum;
  }
};

/// 112 engines with 12 slots behind one queue, in steps of 1 ms.
class Simulation {
public:
  explicit Simulation(const Scenario &S) : m_scenario(S) {}

  Outcome run() {
    for (m_at = Milliseconds(0); m_at < SimulationEnd; m_at += Milliseconds(1))
      step();
    return m_outcome;
  }

private:
  struct Caller {
    unsigned m_account = 0;
    Milliseconds m_arrived{};
    unsigned m_retries = 0;
    bool measured() const {
      return m_arrived >= FloodBegin && m_arrived < FloodEnd;
    }
  };
  TimePoint now() const { return Start + m_at; }

  void step() {
    while (!m_ends.empty() && m_ends.top() <= m_at)
      m_ends.pop();
    if (m_at == m_scenario.m_newCoordinatorAt)
      replaceQueue();
    std::vector<Caller> Arriving;
    Arriving.swap(m_retrying);
    arrive(Arriving);
    for (const Caller &C : Arriving)
      admit(C);
    expire();
    dispatch();
  }
  void arrive(std::vector<Caller> &Out) {
    static const double Sum = [] {
      double S = 0;
      for (unsigned A = 1; A <= Accounts; ++A)
        S += std::pow(A, -Skew);
      return S;
    }();
    const bool Flood = m_at >= FloodBegin && m_at < FloodEnd;
    for (unsigned A = 1; A <= Accounts; ++A) {
      double Rate = RequestsPerSecond * std::pow(A, -Skew) / Sum / 1000;
      if (A == m_scenario.m_idle && m_at < FloodEnd - Seconds(3))
        Rate = 0;
      if (std::generate_canonical<double, 53>(m_random.at(A)) < Rate)
        Out.push_back({A, m_at, m_scenario.m_retries});
      // The flood draws from its own numbers: the usual load stays the same.
      const bool Floods =
          A == m_scenario.m_flooding || m_scenario.m_flooding == Everyone;
      if (Flood && Floods &&
          std::generate_canonical<double, 53>(m_random.at(0)) <
              Rate * (FloodFactor - 1))
        Out.push_back({A, m_at, m_scenario.m_retries});
    }
    for (const Caller &C : Out)
      if (C.measured() && C.m_arrived == m_at)
        ++m_outcome.m_arrived.at(C.m_account);
  }
  ChoiceQuery query(const Caller &C) const {
    ChoiceQuery Q;
    Q.m_service = "llm";
    Q.m_model = "m1";
    Q.m_size = {1460 + 170, 1460};
    Q.m_mayRevisit = true;
    if (m_scenario.m_accounts)
      Q.m_account = "account-" + std::to_string(C.m_account);
    return Q;
  }
  /// The rules of Core::admit().
  void admit(const Caller &C) {
    const ChoiceQuery Q = query(C);
    if (m_queue->empty() && m_ends.size() < Slots) {
      m_queue->onDispatchedAtOnce(Q, now());
      place(C);
      return;
    }
    const TimePoint Until = Start + C.m_arrived + OnTimeWait;
    const Duration Left = Start + C.m_arrived + MaxWait - now();
    const auto Wait = m_queue->expectedWait(Q, Until, now());
    if (Wait && *Wait > Left) {
      refuse(C);
      return;
    }
    if (const auto Victim = m_queue->victimFor(Q.m_account)) {
      m_queue->remove(*Victim);
      refuse(m_callers.at(*Victim));
      m_callers.erase(*Victim);
    }
    const TicketId Id = m_queue->add(Q, ChoiceObstacle::Full, Until, now());
    if (Id == 0) {
      refuse(C);
      return;
    }
    m_callers[Id] = C;
    m_outcome.m_longestQueue =
        std::max(m_outcome.m_longestQueue, m_queue->size());
  }
  void refuse(Caller C) {
    if (C.m_retries == 0) {
      m_outcome.m_refused.at(C.m_account) += C.measured() ? 1 : 0;
      return;
    }
    --C.m_retries;
    m_retrying.push_back(C);
  }
  void place(const Caller &C) {
    if (C.measured() && m_at - C.m_arrived <= OnTimeWait)
      ++m_outcome.m_onTime.at(C.m_account);
    // 60 to 170 tokens at 35 ms: the usual load fills 85% of the slots.
    const auto Tokens = static_cast<int>(60 + m_lengths() % 111);
    m_ends.push(m_at + Milliseconds(350 + 35 * Tokens));
  }
  void expire() {
    while (!m_callers.empty() &&
           m_at - m_callers.begin()->second.m_arrived > MaxWait) {
      m_queue->remove(m_callers.begin()->first);
      m_callers.erase(m_callers.begin());
    }
  }
  void dispatch() {
    m_queue->dispatch(
        [this](const ChoiceQuery &) {
          Choice C;
          C.m_obstacle = m_ends.size() < Slots ? ChoiceObstacle::None
                                               : ChoiceObstacle::Full;
          return C;
        },
        [this](const Grant &G) {
          place(m_callers.at(G.m_ticket));
          m_callers.erase(G.m_ticket);
        },
        now());
  }
  /// Another coordinator takes over, which knows nothing; all ask it again.
  void replaceQueue() {
    m_queue = std::make_unique<WaitQueue>();
    std::map<TicketId, Caller> Callers;
    Callers.swap(m_callers);
    for (const auto &[Id, C] : Callers)
      admit(C);
  }

  Scenario m_scenario;
  std::unique_ptr<WaitQueue> m_queue = std::make_unique<WaitQueue>();
  std::map<TicketId, Caller> m_callers; ///< Of the waiting requests.
  std::vector<Caller> m_retrying;
  std::priority_queue<Milliseconds, std::vector<Milliseconds>, std::greater<>>
      m_ends; ///< Of the requests that run.
  Milliseconds m_at{0};
  std::array<std::mt19937_64, Accounts + 1> m_random = [] {
    std::array<std::mt19937_64, Accounts + 1> Out;
    for (unsigned A = 0; A <= Accounts; ++A)
      Out.at(A).seed(A + 1);
    return Out;
  }();
  std::mt19937_64 m_lengths{99};
  Outcome m_outcome;
};

constexpr double RequiredShare = 0.95;
/// The flooding account itself still gets its usual service.
constexpr double MinShareOfFlooding = 0.9;

/// Expects that all accounts but the flooding one are served on time as without
/// the flood.
void expectIsolation(Scenario S) {
  const Outcome With = Simulation(S).run();
  const unsigned Flooding = S.m_flooding;
  S.m_flooding = 0;
  const Outcome Without = Simulation(S).run();
  std::printf("others on time: %u of %u without the flood; flood: %u on time, "
              "%u refused of %u; longest queue %zu\n",
              With.onTimeExcept(Flooding), Without.onTimeExcept(Flooding),
              With.m_onTime.at(Flooding), With.m_refused.at(Flooding),
              With.m_arrived.at(Flooding), With.m_longestQueue);
  for (unsigned A = 1; A <= Accounts; ++A) {
    const double Share = A == Flooding ? MinShareOfFlooding : RequiredShare;
    EXPECT_GE(With.m_onTime.at(A), Share * Without.m_onTime.at(A))
        << "account " << A;
  }
}

} // namespace

// Guards against a flood of one account that delays the requests of others.
TEST(WaitQueueFlood, OtherAccountsKeepTheirOnTimeService) {
  for (const unsigned Flooding : {1U, 2U, 4U})
    expectIsolation({Flooding, true, 0, Milliseconds(0), 0});
}

// Guards against the starvation of an account when all send all they can.
TEST(WaitQueueFlood, EachAccountGetsAQuarterOfTheMeanService) {
  const Outcome O = Simulation({Everyone, true, 2, Milliseconds(0), 0}).run();
  const unsigned Mean = O.onTimeExcept(0) / Accounts;
  std::printf("on time by account, mean %u:", Mean);
  for (unsigned A = 1; A <= Accounts; ++A) {
    std::printf(" %u", O.m_onTime.at(A));
    EXPECT_GE(O.m_onTime.at(A), Mean / 4) << "account " << A;
  }
  std::printf("\n");
}

// The same load in the order of age misses the requirement: the simulation
// loads the engines enough to show the difference.
TEST(WaitQueueFlood, WithoutAccountsTheFloodHitsAll) {
  const Outcome With = Simulation({1, false, 0, Milliseconds(0), 0}).run();
  const Outcome Without = Simulation({0, false, 0, Milliseconds(0), 0}).run();
  std::printf("others on time in order of age: %u of %u\n",
              With.onTimeExcept(1), Without.onTimeExcept(1));
  EXPECT_LT(With.onTimeExcept(1), RequiredShare * Without.onTimeExcept(1));
}

// Load pattern: callers ignore Retry-After and come back after 1 ms, 20 times.
TEST(WaitQueueFlood, CallersThatRetryAtOnceDoNotHurtOthers) {
  expectIsolation({1, true, 20, Milliseconds(0), 0});
}

// Guards against a coordinator that takes over in the flood and lets the
// backlog of the flooding account in first.
TEST(WaitQueueFlood, ANewCoordinatorIsFairFromTheStart) {
  expectIsolation({1, true, 0, Milliseconds(63000), 0});
}

// Guards against an account that returns in the flood and has to wait behind
// it, or takes the place of others.
TEST(WaitQueueFlood, AnAccountThatReturnsIsServedAtOnce) {
  expectIsolation({1, true, 0, Milliseconds(0), 3});
}
