// Tests of the relay of store changes.
#include "libgateway/storerelay.h"

#include <gtest/gtest.h>
#include <random>

using namespace primroseworks;
using namespace primroseworks::gateway;

namespace {

const TimePoint Start = TimePoint() + Seconds(100);

StoreChange change(std::uint64_t Revision, std::size_t Bytes = 10) {
  return {"key-" + std::to_string(Revision),
          std::string(Bytes, 'x'),
          {0, Revision},
          0};
}

StoreChanges changes(std::uint64_t From, std::uint64_t To,
                     std::size_t Bytes = 10) {
  StoreChanges Out;
  for (std::uint64_t R = From + 1; R <= To; ++R)
    Out.m_changes.push_back(change(R, Bytes));
  Out.m_version = {0, To};
  return Out;
}

std::vector<std::uint64_t>
revisions(const std::optional<std::vector<StoreChange>> &List) {
  std::vector<std::uint64_t> Out;
  if (List)
    for (const StoreChange &C : *List)
      Out.push_back(C.m_version.m_revision);
  return Out;
}

} // namespace

// Guards against a change that is applied twice or in the wrong order when a
// gateway's own watch and a relay bring it.
TEST(StoreRelay, EachChangeIsAppliedOnce) {
  StoreFollower F;
  F.onRead({0, 10});
  const auto First = makeRelays("vm-0", {0, 10}, changes(10, 12));
  ASSERT_EQ(First.size(), 1U);
  EXPECT_EQ(revisions(F.onRelay(First[0], Start)),
            (std::vector<std::uint64_t>{11, 12}));
  EXPECT_TRUE(revisions(F.onRelay(First[0], Start)).empty());
  EXPECT_EQ(revisions(F.onWatched(changes(10, 13))),
            std::vector<std::uint64_t>{13});
  EXPECT_EQ(F.version(), (StoreVersion{0, 13}));
}

// Guards against a gateway that misses a configuration because a datagram was
// lost: it must watch the store itself.
TEST(StoreRelay, LostRelayIsNoticed) {
  StoreFollower F;
  F.onRead({0, 10});
  EXPECT_TRUE(
      F.onRelay(makeRelays("vm-0", {0, 10}, changes(10, 11))[0], Start));
  EXPECT_TRUE(F.followsRelay(Start));
  EXPECT_FALSE(
      F.onRelay(makeRelays("vm-0", {0, 12}, changes(12, 13))[0], Start));
  EXPECT_FALSE(F.followsRelay(Start));
  EXPECT_EQ(F.version(), (StoreVersion{0, 11}));
  EXPECT_EQ(revisions(F.onWatched(changes(11, 14))),
            (std::vector<std::uint64_t>{12, 13, 14}));
  EXPECT_TRUE(
      F.onRelay(makeRelays("vm-0", {0, 13}, changes(13, 15))[0], Start));
  EXPECT_TRUE(F.followsRelay(Start));
}

// Guards against a gateway that relies on a coordinator that was killed, frozen
// or cut off from the store.
TEST(StoreRelay, SilentCoordinatorIsNotFollowed) {
  StoreFollower F;
  EXPECT_FALSE(F.onRelay(makeRelays("vm-0", {0, 9}, changes(9, 10))[0], Start))
      << "nothing was read yet";
  F.onRead({0, 10});
  EXPECT_FALSE(F.followsRelay(Start));
  EXPECT_TRUE(
      F.onRelay(makeRelays("vm-0", {0, 10}, changes(10, 10))[0], Start));
  EXPECT_TRUE(F.followsRelay(Start + RelayTimeout - Milliseconds(1)));
  EXPECT_FALSE(F.followsRelay(Start + RelayTimeout));
  F.onReadStarted();
  EXPECT_FALSE(F.followsRelay(Start));
}

// Guards against a change, such as a large configuration, that is neither
// relayed nor noticed as missing.
TEST(StoreRelay, LargeChangeMakesAGap) {
  StoreChanges Mixed = changes(10, 14);
  Mixed.m_changes[1].m_value = std::string(MaxRelayedValueBytes + 1, 'x');
  StoreFollower F;
  F.onRead({0, 10});
  const auto Relays = makeRelays("vm-0", {0, 10}, Mixed);
  ASSERT_EQ(Relays.size(), 2U);
  EXPECT_EQ(revisions(F.onRelay(Relays[0], Start)),
            std::vector<std::uint64_t>{11});
  EXPECT_FALSE(F.onRelay(Relays[1], Start));
  EXPECT_FALSE(F.followsRelay(Start));
  EXPECT_EQ(revisions(F.onWatched(Mixed)),
            (std::vector<std::uint64_t>{12, 13, 14}));
}

// Guards against a change that is in effect too late because a coordinator that
// was suspended relays what the store had told it before.
TEST(StoreRelay, RelayOlderThanTheCopyIsNotFollowed) {
  StoreFollower F;
  F.onRead({0, 10});
  const TimePoint Resumed = Start + RelayTimeout + Milliseconds(300);
  EXPECT_TRUE(
      F.onRelay(makeRelays("vm-0", {0, 10}, changes(10, 11))[0], Start));
  F.onWatched(changes(11, 14));
  EXPECT_TRUE(
      revisions(
          F.onRelay(makeRelays("vm-0", {0, 11}, changes(11, 12))[0], Resumed))
          .empty());
  EXPECT_FALSE(F.followsRelay(Resumed));
  EXPECT_TRUE(
      F.onRelay(makeRelays("vm-0", {0, 12}, changes(12, 15))[0], Resumed));
  EXPECT_TRUE(F.followsRelay(Resumed));
}

// Guards against datagrams that the network does not carry, and against half of
// a transaction: many changes are split, but not those of one revision.
TEST(StoreRelay, ManyChangesAreSplitAtRevisions) {
  std::mt19937 Random(1);
  for (int Round = 0; Round < 200; ++Round) {
    StoreChanges All;
    All.m_version = {0, 10};
    while (All.m_changes.size() < 60) {
      ++All.m_version.m_revision;
      const std::size_t Rows = 1 + Random() % 3;
      for (std::size_t I = 0; I < Rows; ++I)
        All.m_changes.push_back(
            change(All.m_version.m_revision, Random() % 3000));
    }
    StoreFollower F;
    F.onRead({0, 10});
    std::size_t Applied = 0;
    StoreVersion From{0, 10};
    for (const StoreRelay &R : makeRelays("vm-0", {0, 10}, All)) {
      EXPECT_LE(encodeSchedulingMessage(R).size(), MaxRelayBytes * 5 / 4);
      EXPECT_EQ(R.m_from, From);
      From = R.m_to;
      const auto New = F.onRelay(R, Start);
      ASSERT_TRUE(New);
      Applied += New->size();
      for (const StoreChange &C : *New)
        EXPECT_LE(C.m_version, R.m_to);
    }
    EXPECT_EQ(Applied, All.m_changes.size());
    EXPECT_EQ(F.version(), All.m_version);
  }
}

// Load pattern: models move all the time, and each change wakes up every watch.
// Guards against store calls that grow with the fleet: while relays arrive,
// only coordinators call, and their number follows the failure domains.
TEST(StoreRelay, RelaysComeOftenEnoughToFollow) {
  EXPECT_LT(2 * CoordinatorWatchTimeout, RelayTimeout);
}

// Guards against a copy that goes back because a coordinator relays what it
// read before the store came back from a copy, and against one that keeps
// changes which the store has lost.
TEST(StoreRelay, RelaysOfAnotherEraAreNotApplied) {
  const auto RelayOf = [](std::uint64_t Era, std::uint64_t From,
                          std::uint64_t To) {
    StoreRelay R{"vm-0", {Era, From}, {Era, To}, {}, {}};
    R.m_changes = {{"key", "value", {Era, To}, 0}};
    return R;
  };
  StoreFollower F;
  EXPECT_EQ(F.fit(RelayOf(1, 8, 400)), RelayFit::Gap) << "nothing was read";
  F.onRead({2, 10});
  const auto Older = F.onRelay(RelayOf(1, 8, 400), Start);
  ASSERT_TRUE(Older);
  EXPECT_TRUE(Older->empty());
  EXPECT_FALSE(F.followsRelay(Start)) << "it confirms nothing";
  EXPECT_TRUE(F.isNewerThan(RelayOf(1, 8, 400)));
  EXPECT_TRUE(F.onRelay(RelayOf(2, 10, 11), Start));
  EXPECT_TRUE(F.followsRelay(Start));
  EXPECT_FALSE(F.onRelay(RelayOf(3, 2, 12), Start));
  EXPECT_FALSE(F.followsRelay(Start)) << "the store must be read";
  EXPECT_EQ(F.version(), (StoreVersion{2, 11}));
}

// Guards against a watch whose answer is of a new era: its revisions may be
// above the copy's although changes between them are missing.
TEST(StoreRelay, WatchOfAnotherEraIsNotApplied) {
  StoreFollower F;
  F.onRead({0, 10});
  StoreChanges New;
  New.m_version = {1, 14};
  New.m_changes = {{"key", "value", {1, 14}, 0}};
  EXPECT_FALSE(F.onWatched(New));
  EXPECT_EQ(F.version(), (StoreVersion{0, 10}));
}

// Guards against API keys in datagrams: the value of a withheld key is in no
// relay, and receivers notice the gap.
TEST(StoreRelay, WithheldKeyIsInNoRelay) {
  StoreChanges Changes;
  Changes.m_changes = {{"a", "1", {0, 11}, 0},
                       {"config", "secret", {0, 12}, 0},
                       {"b", "2", {0, 13}, 0}};
  Changes.m_version = {0, 13};
  StoreFollower Follower;
  Follower.onRead({0, 10});
  bool Gap = false;
  for (const StoreRelay &R : makeRelays("vm-0", {0, 10}, Changes, "config")) {
    for (const StoreChange &C : R.m_changes)
      EXPECT_NE(C.m_key, "config");
    Gap = Gap || !Follower.onRelay(R, TimePoint{} + Seconds(1));
  }
  EXPECT_TRUE(Gap);
}
