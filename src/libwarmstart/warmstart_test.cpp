// Tests of the decision on the start of a gateway.
#include "libwarmstart/warmstart.h"

#include <gtest/gtest.h>

using namespace primroseworks;

namespace {

const TimePoint Start = TimePoint() + Seconds(1000);

TimePoint after(int Ms) { return Start + Milliseconds(Ms); }

WarmStart asked(std::size_t Peers, bool Bootstrap = false) {
  WarmStart W = WarmStart::create({true, Bootstrap}).value();
  EXPECT_FALSE(W.ready(Start)) << "the peers are not known yet";
  W.onPeersKnown(Peers, Start);
  return W;
}

} // namespace

// Guards against a gateway without the setting that waits or cuts its budget.
TEST(WarmStart, IsReadyAtOnceIfOff) {
  WarmStart W = WarmStart::create({}).value();
  EXPECT_TRUE(W.ready(Start));
  EXPECT_FALSE(W.needsPeers());
  EXPECT_EQ(W.retryUse("s"), 0);
  EXPECT_FALSE(W.onAnswer("vm-2", {{"s", 1}}, Start));
}

// Guards against a VM that waits for nobody.
TEST(WarmStart, IsReadyAtOnceWithoutPeers) {
  const WarmStart W = asked(0);
  EXPECT_EQ(W.state(), WarmStartState::NoPeers);
  EXPECT_TRUE(W.ready(Start));
  EXPECT_EQ(W.retryUse("s"), UnknownRetryUse)
      << "member keys end with their leases after all were killed";
}

// Guards against a start that waits for all peers, of which one may be dead,
// and against a mean that a repeated datagram falsifies.
TEST(WarmStart, IsReadyWithTheFirstAnswer) {
  WarmStart W = asked(3);
  EXPECT_FALSE(W.ready(after(4)));
  EXPECT_TRUE(W.onAnswer("vm-2", {{"s", 0.6}}, after(5)));
  EXPECT_TRUE(W.ready(after(5)));
  EXPECT_EQ(W.waited(), Milliseconds(5));
  EXPECT_DOUBLE_EQ(W.retryUse("s"), 0.6);
  EXPECT_FALSE(W.onAnswer("vm-2", {{"s", 0.6}}, after(6)));
  EXPECT_TRUE(W.onAnswer("vm-3", {}, after(7)));
  EXPECT_DOUBLE_EQ(W.retryUse("s"), 0.3);
  EXPECT_EQ(W.retryUse("other"), 0);
  EXPECT_FALSE(W.onAnswer("vm-4", {{"s", 1}}, after(300))) << "too late";
}

// Guards against a gateway that is never ready because all answers are lost.
TEST(WarmStart, IsReadyAfterTheLimitWithHalfOfTheBudget) {
  WarmStart W = asked(3);
  W.onTime(after(299));
  EXPECT_FALSE(W.ready(after(299)));
  EXPECT_TRUE(W.ready(after(300))) << "also if its timer is late";
  W.onTime(after(300));
  EXPECT_EQ(W.state(), WarmStartState::TimedOut);
  EXPECT_EQ(W.retryUse("s"), UnknownRetryUse);
}

// Guards against a cut budget on the first start of the system, and against one
// VM that restarts during it and ignores its peers.
TEST(WarmStart, StartsEmptyAtTheFirstStartUnlessAPeerAnswers) {
  WarmStart W = asked(3, true);
  EXPECT_EQ(W.retryUse("s"), 0);
  EXPECT_EQ(asked(0, true).retryUse("s"), 0);
  W.onAnswer("vm-2", {{"s", 0.4}}, after(1));
  EXPECT_DOUBLE_EQ(W.retryUse("s"), 0.4);
}

TEST(WarmStart, RefusesALimitThatIsNone) {
  const auto W = WarmStart::create({true, false, Milliseconds(0)});
  ASSERT_FALSE(W);
  EXPECT_NE(W.error().m_message.find("set 1 to 10000 ms"), std::string::npos);
}
