// Tests of the age limit of a VM's copy of the configuration.
#include "libaccounts/copyfreshness.h"

#include <gtest/gtest.h>

using namespace primroseworks;

namespace {

BootDuration at(long Ms) { return Seconds(1000) + Milliseconds(Ms); }

/// A strict copy with the usual limit of 5 s.
class Freshness : public ::testing::Test {
protected:
  Freshness()
      : m_copy(CopyFreshness::create({Milliseconds(5000), true}).value()) {}
  /// Runs the timer until a time.
  void runUntil(long Ms) {
    for (; m_now < Ms; m_now += 50)
      m_copy.onTick(at(m_now));
    m_now = Ms;
    m_copy.onTick(at(m_now));
  }
  void confirm(long SentMs) { m_copy.onConfirmed(at(SentMs), at(m_now)); }
  void relay(long AgeMs) { m_copy.onRelayed(Milliseconds(AgeMs), at(m_now)); }
  bool stale() { return m_copy.isStale(at(m_now)); }

  CopyFreshness m_copy;
  long m_now = 0;
};

} // namespace

// Guards against a limit that is counted from the arrival of the answer: a
// watch may have waited for seconds, and the key was removed meanwhile.
TEST_F(Freshness, AgeCountsFromTheSendingOfTheCall) {
  EXPECT_TRUE(stale());
  runUntil(2000);
  confirm(0);
  EXPECT_FALSE(stale());
  EXPECT_EQ(m_copy.age(at(2000)), Duration(Milliseconds(2000)));
  runUntil(4500);
  EXPECT_FALSE(stale());
  runUntil(4501);
  EXPECT_TRUE(stale());
  EXPECT_TRUE(m_copy.refusesKeys(at(4501)));
  confirm(4400);
  EXPECT_FALSE(stale());
  // An answer that comes after a newer one.
  confirm(300);
  EXPECT_EQ(m_copy.age(at(4501)), Duration(Milliseconds(101)));
}

// Guards against a VM that goes on with keys after it was frozen, by an answer
// or a datagram that arrived before or during the freeze.
TEST_F(Freshness, AfterAStallOnlyALaterCallConfirms) {
  confirm(0);
  runUntil(1000);
  // Frozen for 1.2 s. A request is the first that runs then.
  m_now = 2200;
  EXPECT_TRUE(stale());
  confirm(950); // Its answer arrived in the freeze.
  relay(0);     // So did this datagram.
  EXPECT_TRUE(stale());
  EXPECT_EQ(m_copy.onTick(at(2200)), Duration(Milliseconds(1200)));
  EXPECT_EQ(m_copy.onTick(at(2200)), std::nullopt);
  runUntil(2300);
  confirm(2250);
  EXPECT_FALSE(stale());
  // A datagram of the freeze that is read late does not extend that.
  runUntil(2600);
  relay(0);
  EXPECT_EQ(m_copy.age(at(2600)), Duration(Milliseconds(350)));
  runUntil(3300);
  relay(0);
  EXPECT_EQ(m_copy.age(at(3300)), Duration(RelayTransitLimit));
}

// Guards against a VM that is cut off from the store and keeps keys beyond the
// limit, or that is refused requests for its first relay or answer after it.
TEST_F(Freshness, CutOffCopyAgesUntilConfirmed) {
  confirm(0);
  runUntil(3000);
  EXPECT_FALSE(m_copy.needsConfirmation(at(3000)));
  runUntil(3050);
  EXPECT_TRUE(m_copy.needsConfirmation(at(3050)));
  runUntil(60'000);
  EXPECT_TRUE(stale());
  relay(400);
  EXPECT_FALSE(stale());
  EXPECT_EQ(m_copy.age(at(60'000)), Duration(Milliseconds(1400)));
}

// Guards against a relay that claims to be from the future, or that makes the
// copy look older than a call of this VM has shown.
TEST_F(Freshness, RelayOnlyAddsToWhatIsKnown) {
  runUntil(1000);
  relay(0);
  EXPECT_TRUE(stale()); // Before the first own call.
  confirm(900);
  relay(3000);
  EXPECT_EQ(m_copy.age(at(1000)), Duration(Milliseconds(100)));
  runUntil(3000);
  relay(-5000);
  EXPECT_EQ(m_copy.age(at(3000)), Duration(Milliseconds(2100)));
}

// Guards against a copy that is taken for complete longer than a change may
// take, and against confirming calls that come too late for that.
TEST(FreshnessLimits, ChangesHaveALimitOfTheirOwn) {
  CopyFreshness C =
      CopyFreshness::create({Milliseconds(5000), true, Milliseconds(4000)})
          .value();
  C.onConfirmed(at(0), at(0));
  for (long Ms = 0; Ms <= 3500; Ms += 50)
    C.onTick(at(Ms));
  EXPECT_FALSE(C.needsConfirmation(at(3000)));
  EXPECT_TRUE(C.needsConfirmation(at(3001)));
  EXPECT_FALSE(C.mayMissChanges(at(3500)));
  EXPECT_TRUE(C.mayMissChanges(at(3501)));
  EXPECT_FALSE(C.isStale(at(3501)));
  // Without a limit of removed keys, and with a short one.
  CopyFreshness Short =
      CopyFreshness::create({Milliseconds(0), false, Milliseconds(600)})
          .value();
  EXPECT_TRUE(Short.mayMissChanges(at(0)));
  Short.onConfirmed(at(0), at(0));
  EXPECT_FALSE(Short.needsConfirmation(at(150)));
  EXPECT_TRUE(Short.needsConfirmation(at(151)));
  EXPECT_FALSE(Short.mayMissChanges(at(300)));
  EXPECT_TRUE(Short.mayMissChanges(at(301)));
  EXPECT_FALSE(Short.isStale(at(301)));
}

// Guards against refusals in a deployment that did not ask for them.
TEST(FreshnessLimits, ApplyOnlyIfSet) {
  CopyFreshness None = CopyFreshness::create({}).value();
  EXPECT_FALSE(None.isStale(at(0)));
  EXPECT_FALSE(None.needsConfirmation(at(0)));
  CopyFreshness Lenient =
      CopyFreshness::create({Milliseconds(5000), false}).value();
  EXPECT_TRUE(Lenient.isStale(at(0)));
  EXPECT_FALSE(Lenient.refusesKeys(at(0)));
  const auto TooShort = CopyFreshness::create({Milliseconds(900), true});
  ASSERT_FALSE(TooShort);
  EXPECT_NE(TooShort.error().m_message.find("more than 1000 ms"),
            std::string::npos);
}
