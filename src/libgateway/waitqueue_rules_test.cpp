// Test that requests without accounts are dispatched and refused exactly as
// before accounts existed.
#include "libgateway/waitqueue.h"

#include <cmath>
#include <gtest/gtest.h>
#include <random>

using namespace primroseworks;
using namespace primroseworks::gateway;

namespace {

constexpr std::uint64_t FnvOffset = 0xcbf29ce484222325ULL;
constexpr std::uint64_t FnvPrime = 0x100000001b3ULL;

/// Runs random arrivals, withdrawals and free slots, and digests each decision
/// of the queue.
class Script {
public:
  explicit Script(std::uint64_t Seed) : m_random(Seed) {}
  std::uint64_t run(unsigned Steps) {
    for (unsigned I = 0; I < Steps; ++I) {
      m_now += Milliseconds(pick(4));
      switch (pick(8)) {
      case 0:
        m_queue.remove(1 + pick(m_last + 1));
        break;
      case 1:
      case 2:
        dispatch();
        break;
      default:
        arrive();
      }
    }
    return m_digest;
  }
  std::uint64_t m_granted = 0;
  std::uint64_t m_refused = 0;

private:
  std::uint64_t pick(std::uint64_t Count) { return m_random() % Count; }
  void note(std::uint64_t Value) { m_digest = (m_digest ^ Value) * FnvPrime; }
  void arrive() {
    ChoiceQuery Q;
    Q.m_service = "llm";
    Q.m_model = "m" + std::to_string(pick(3));
    Q.m_adapter = pick(4) == 0 ? "a" : "";
    Q.m_rank = static_cast<unsigned>(pick(4));
    Q.m_size = {1000 + pick(700), 900};
    if (pick(10) == 0)
      Q.m_excluded = {"e1"};
    const TimePoint Until = m_now + Milliseconds(pick(1500)) - Milliseconds(50);
    const auto Wait = m_queue.expectedWait(Q, Until, m_now);
    note(Wait ? static_cast<std::uint64_t>(std::lround(toMillis(*Wait))) : 7);
    if (Wait && *Wait > Milliseconds(4000)) {
      ++m_refused;
      return;
    }
    m_last = m_queue.add(Q, ChoiceObstacle::Full, Until, m_now);
    note(m_last);
  }
  void dispatch() {
    std::map<std::string, std::uint64_t> Free = {
        {"m0", pick(3)}, {"m1", pick(4)}, {"m2", pick(2)}};
    m_queue.dispatch(
        [&](const ChoiceQuery &Q) {
          Choice C;
          C.m_obstacle = ChoiceObstacle::Full;
          std::uint64_t &Slots = Free[Q.m_model];
          if (Slots > 0 && (Q.m_adapter.empty() || pick(2) == 0)) {
            --Slots;
            C.m_obstacle = ChoiceObstacle::None;
          }
          return C;
        },
        [&](const Grant &G) {
          ++m_granted;
          note(G.m_ticket);
        },
        m_now);
  }

  std::mt19937_64 m_random;
  WaitQueue m_queue;
  TimePoint m_now = TimePoint() + Seconds(100);
  TicketId m_last = 0;
  std::uint64_t m_digest = FnvOffset;
};

} // namespace

// Guards against a change for deployments without accounts. The digests are
// those of the queue at commit 895062e, which had no accounts.
TEST(WaitQueueRules, WithoutAccountsAllDecisionsAreAsBefore) {
  const std::map<std::uint64_t, std::uint64_t> Digests = {
      {1, 15463070274323304234ULL},
      {2, 7756469177721715802ULL},
      {3, 13805165991378699033ULL}};
  for (const auto &[Seed, Digest] : Digests) {
    Script S(Seed);
    EXPECT_EQ(S.run(20000), Digest) << "seed " << Seed;
    EXPECT_GT(S.m_granted, 1000U);
    EXPECT_GT(S.m_refused, 100U);
  }
}
