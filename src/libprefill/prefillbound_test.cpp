// Tests of the bounds of prefill, on a model of an engine that reads prompts
// one after another and produces no tokens meanwhile.
#include "libprefill/prefillbound.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <vector>

using namespace primroseworks;

namespace {

constexpr Milliseconds GapTarget{300};

/// An engine with running streams: the longest pause of their events while it
/// reads the prompts that the bound lets through.
struct PausedStreams {
  double m_pendingMs = 0;
  double m_pauseMs = 0;   ///< Of the current run of prefills.
  double m_longestMs = 0; ///< Longest pause so far.
  unsigned m_sent = 0;

  void offer(double PromptMs) {
    if (!mayPrefill({m_pendingMs, PromptMs}, GapTarget))
      return;
    m_pendingMs += PromptMs;
    m_pauseMs += PromptMs;
    ++m_sent;
  }
  /// Work of Ms; a run of prefills ends when nothing is pending.
  void run(double Ms) {
    m_pendingMs = std::max(0.0, m_pendingMs - Ms);
    m_longestMs = std::max(m_longestMs, m_pauseMs);
    if (m_pendingMs == 0)
      m_pauseMs = 0;
  }
};

} // namespace

// Load: five prompts of 75 ms reach the engine at once. Guards against a pause
// of 375 ms, which makes every running stream late.
TEST(PrefillBound, PromptsAtOnceDoNotPauseTheStreamsTooLong) {
  PausedStreams Engine;
  for (int I = 0; I < 5; ++I)
    Engine.offer(75);
  Engine.run(1000);
  EXPECT_EQ(Engine.m_sent, 1U);
  EXPECT_LT(Engine.m_longestMs + EventTimeMs, toMillis(GapTarget));
}

// Load: short prompts arrive faster than the engine reads them. Guards against
// a backlog that grows although each prompt alone is short.
TEST(PrefillBound, ShortPromptsFillTheShareOnly) {
  PausedStreams Engine;
  for (int I = 0; I < 20; ++I)
    Engine.offer(20);
  EXPECT_EQ(Engine.m_sent, 6U);
  EXPECT_LE(Engine.m_pendingMs, MaxPrefillPauseShare * toMillis(GapTarget));
}

// Guards against a prompt that no engine ever takes because it alone exceeds
// the share.
TEST(PrefillBound, LongPromptRunsAtAnEngineWithoutBacklog) {
  EXPECT_TRUE(mayPrefill({0, 500}, GapTarget));
  EXPECT_FALSE(mayPrefill({1, 500}, GapTarget));
  EXPECT_TRUE(pausesStreams({0, 500}, GapTarget));
  EXPECT_FALSE(pausesStreams({100, 100}, GapTarget));
}

// Guards against a change for services whose routes state no longest pause.
TEST(PrefillBound, WithoutAGapTargetOnlyTheBacklogCounts) {
  EXPECT_TRUE(mayPrefill({MaxPrefillBacklogMs, 500}, Milliseconds::zero()));
  EXPECT_FALSE(mayPrefill({MaxPrefillBacklogMs + 1, 0}, Milliseconds::zero()));
  EXPECT_FALSE(pausesStreams({1000, 1000}, Milliseconds::zero()));
}
