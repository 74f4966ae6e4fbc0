// Tests of the learned prefill pace.
#include "libprefill/prefillpace.h"

#include <gtest/gtest.h>

using namespace primroseworks;

namespace {

/// Latency of a first event after Tokens at MsPerToken.
Duration firstEvent(double MsPerToken, std::uint64_t Tokens) {
  return fromSeconds(
      (FirstEventBaseMs + MsPerToken * static_cast<double>(Tokens)) / 1000);
}

} // namespace

// Guards against one mean for engines that differ three times in speed.
TEST(PrefillPace, EnginesOfOneServiceDiffer) {
  PrefillPace Pace;
  for (int I = 0; I < 60; ++I) {
    Pace.onFirstEvent("s", "fast", firstEvent(0.05, 1400), 1400);
    Pace.onFirstEvent("s", "slow", firstEvent(0.15, 1400), 1400);
  }
  EXPECT_NEAR(Pace.msPerToken("s", "fast"), 0.05, 0.005);
  EXPECT_NEAR(Pace.msPerToken("s", "slow"), 0.15, 0.005);
  EXPECT_EQ(Pace.msPerToken("s", "unknown"), Pace.msPerToken("s"));
  EXPECT_EQ(Pace.msPerToken("other"), DefaultPrefillMsPerToken);
}

// Guards against a pace of an engine from prompts so short that the fixed part
// of the latency decides.
TEST(PrefillPace, ShortPromptsSayNothingOfAnEngine) {
  PrefillPace Pace;
  for (int I = 0; I < 60; ++I)
    Pace.onFirstEvent("s", "e", fromSeconds(0.08), MinEngineSampleTokens - 1);
  EXPECT_EQ(Pace.msPerToken("s", "e"), Pace.msPerToken("s"));
}

// Guards against one stalled engine that blocks the others: its samples count
// for the mean of the service, too.
TEST(PrefillPace, SamplesAreLimited) {
  PrefillPace Pace;
  for (int I = 0; I < 200; ++I)
    Pace.onFirstEvent("s", "stalled", std::chrono::seconds(20), 1000);
  EXPECT_LE(Pace.msPerToken("s", "stalled"), MaxPrefillMsPerToken);
  EXPECT_LE(Pace.msPerToken("s"), MaxPrefillMsPerToken);
  Pace.onFirstEvent("s", "stalled", Duration::zero(), 0); // No prompt.
  Pace.forget("stalled");
  EXPECT_EQ(Pace.msPerToken("s", "stalled"), Pace.msPerToken("s"));
}
