// Tests of store versions and of what is known of the era.
#include "libstoreversion/storeera.h"
#include "libstoreversion/storeversion.h"

#include <gtest/gtest.h>

using namespace primroseworks;

namespace {

const TimePoint Start = TimePoint() + Seconds(100);
constexpr Milliseconds Lease{2000};

} // namespace

// Guards against a reissued revision that counts as older than a lost one.
TEST(StoreVersion, EraComesBeforeRevision) {
  EXPECT_LT((StoreVersion{0, 900}), (StoreVersion{1, 3}));
  EXPECT_LT((StoreVersion{1, 3}), (StoreVersion{1, 4}));
  EXPECT_NE((StoreVersion{1, 3}), (StoreVersion{2, 3}));
  EXPECT_GE((StoreVersion{2, 0}), (StoreVersion{1, 900}));
}

// Guards against a new leader that the engines refuse because its revision is
// below one that the store has lost, and against a changed token where the
// store states no era.
TEST(StoreVersion, FencingTokenRisesWithTheVersion) {
  EXPECT_EQ(fencingToken({0, 41}), 41U);
  EXPECT_EQ(fencingToken({1, 3}), (std::uint64_t{1} << 40) + 3);
  EXPECT_GT(fencingToken({1, 0}), fencingToken({0, (1ULL << 40) - 1}));
  EXPECT_GT(fencingToken({8, 1}), fencingToken({7, (1ULL << 40) - 1}));
}

// Guards against a token that JSON rounds, so that two leaders share one.
TEST(StoreVersion, ValidTokensAreExactInJson) {
  const StoreVersion Largest{MaxStoreEra, (1ULL << 40) - 1};
  ASSERT_TRUE(Largest.isValid());
  EXPECT_LE(fencingToken(Largest), MaxJsonNumber);
  EXPECT_FALSE((StoreVersion{MaxStoreEra + 1, 1}).isValid());
  EXPECT_FALSE((StoreVersion{1, 1ULL << 40}).isValid());
  EXPECT_TRUE((StoreVersion{0, 1ULL << 45}).isValid());
}

// Guards against a delayed answer from before the store came back that renews a
// lease or moves the copy back.
TEST(StoreEra, AnswersOfALowerEraAreOutdated) {
  StoreEra<TimePoint> Era(Lease);
  EXPECT_EQ(Era.onAnswer(0, Start), EraOrder::Current);
  EXPECT_EQ(Era.onAnswer(2, Start), EraOrder::Newer);
  EXPECT_EQ(Era.onAnswer(2, Start), EraOrder::Current);
  EXPECT_EQ(Era.onAnswer(1, Start), EraOrder::Outdated);
  EXPECT_EQ(Era.onAnswer(0, Start), EraOrder::Outdated);
  EXPECT_EQ(Era.era(), 2U);
}

// Guards against two leaders: one that does not know the new era gives orders
// under its former lease while another has claimed the key.
TEST(StoreEra, AClaimWaitsForTheFormerLease) {
  StoreEra<TimePoint> Era(Lease);
  Era.onAnswer(0, Start);
  EXPECT_LE(Era.claimFrom(), Start) << "a store without eras has no wait";
  Era.onAnswer(1, Start);
  EXPECT_EQ(Era.claimFrom(), Start + Lease);
  Era.onAnswer(1, Start + Seconds(1));
  EXPECT_EQ(Era.claimFrom(), Start + Lease) << "counts from the first sight";
  Era.onAnswer(2, Start + Seconds(1));
  EXPECT_EQ(Era.claimFrom(), Start + Seconds(1) + Lease);
}

// Guards against a fleet that falls apart because the store lost the members'
// keys, and against members that are gone but stay known.
TEST(FormerKeys, CountUntilTheirWritersHadTime) {
  FormerKeys Keys;
  Keys.keep({{"a", "1"}, {"b", "2"}}, Start + Lease);
  Keys.onChanged("a");
  EXPECT_EQ(Keys.values(), (FormerKeys::Values{{"b", "2"}}));
  EXPECT_FALSE(Keys.expire(Start + Lease - Milliseconds(1)));
  EXPECT_TRUE(Keys.expire(Start + Lease));
  EXPECT_TRUE(Keys.values().empty());
  EXPECT_FALSE(Keys.expire(Start + Lease));
}

// Guards against a fleet that uses up the store's limit of 1,200 writes a
// second when all gateways write their keys again.
TEST(RestoreSpread, FollowsTheFleet) {
  EXPECT_EQ(restoreSpread(4), Milliseconds::zero());
  EXPECT_EQ(restoreSpread(400), MaxRestoreSpread);
  for (const std::size_t Gateways : {std::size_t{90}, std::size_t{400}})
    EXPECT_LE(2.0 * static_cast<double>(Gateways) /
                  toSeconds(restoreSpread(Gateways)),
              1200);
}
