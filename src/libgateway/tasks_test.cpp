// Tests of coroutines that an exception ends.
#include "libgateway/tasks.h"

#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>
#include <gtest/gtest.h>
#include <stdexcept>

using namespace primroseworks;
using namespace primroseworks::gateway;

namespace {

class Tasks : public ::testing::Test {
protected:
  /// Waits for a moment, then throws in the first Failures runs.
  asio::awaitable<void> work(int Failures) {
    ++m_runs;
    asio::steady_timer Timer(m_io, Milliseconds(1));
    co_await Timer.async_wait(asio::use_awaitable);
    if (m_runs <= Failures)
      throw std::runtime_error("a fault");
    m_finished = true;
  }

  asio::io_context m_io{1};
  std::unique_ptr<Metrics> m_metrics = Metrics::create();
  int m_runs = 0;
  bool m_finished = false;
};

} // namespace

// Guards against a loop of the process, such as the watch of the store, that
// ends for good and unseen.
TEST_F(Tasks, LoopStartsAgainAfterAnException) {
  spawnLoop(m_io, *m_metrics, "loop", [this] { return work(2); });
  m_io.run_for(Seconds(2));
  EXPECT_EQ(m_runs, 3);
  EXPECT_TRUE(m_finished);
  EXPECT_NE(m_metrics->text().find("task_failed\"} 2"), std::string::npos);
}

TEST_F(Tasks, FailureOfATaskIsTold) {
  bool Told = false;
  spawnTask(
      m_io, *m_metrics, "task", [this] { return work(1); },
      [&Told] { Told = true; });
  m_io.run_for(Seconds(1));
  EXPECT_EQ(m_runs, 1);
  EXPECT_TRUE(Told);
  EXPECT_NE(m_metrics->text().find("task_failed\"} 1"), std::string::npos);
}

TEST_F(Tasks, TaskThatEndsIsNoFailure) {
  bool Told = false;
  spawnTask(
      m_io, *m_metrics, "task", [this] { return work(0); },
      [&Told] { Told = true; });
  m_io.run_for(Seconds(1));
  EXPECT_TRUE(m_finished);
  EXPECT_FALSE(Told);
}
