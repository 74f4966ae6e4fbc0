// Tests of runs that several requests share.
#include "libgateway/batchtimer.h"

#include <gtest/gtest.h>

using namespace primroseworks;
using namespace primroseworks::gateway;

namespace {

const TimePoint Start = TimePoint() + Seconds(100);

} // namespace

// Guards against a leader that never plans, because each request postponed the
// run that the ones before it had asked for.
TEST(BatchTimer, RequestsInQuickSuccessionDoNotPostponeTheRun) {
  asio::io_context Io{1};
  unsigned Runs = 0;
  BatchTimer Timer(Io, Milliseconds(10), [&Runs] { ++Runs; });
  const TimePoint End = std::chrono::steady_clock::now() + Milliseconds(500);
  while (std::chrono::steady_clock::now() < End) {
    Timer.request();
    Io.restart();
    Io.run_for(Milliseconds(1));
  }
  EXPECT_GE(Runs, 2U);
  EXPECT_LE(Runs, 50U);
}

TEST(BatchTimer, NothingRunsWithoutARequest) {
  asio::io_context Io{1};
  unsigned Runs = 0;
  BatchTimer Timer(Io, Milliseconds(1), [&Runs] { ++Runs; });
  Timer.request();
  Timer.request();
  Io.run_for(Milliseconds(100));
  EXPECT_EQ(Runs, 1U);
}

// Guards against a leader that answers nobody because it plans all the time.
TEST(BatchPace, RunsTakeALimitedShareOfTheTime) {
  BatchPace Pace(Milliseconds(3));
  EXPECT_EQ(Pace.nextRun(Start), Start + Milliseconds(3));
  Pace.onRun(Start, Start + Milliseconds(60));
  EXPECT_EQ(Pace.nextRun(Start + Milliseconds(60)), Start + Milliseconds(240));
  EXPECT_EQ(Pace.nextRun(Start + Milliseconds(300)), Start + Milliseconds(303));
}
