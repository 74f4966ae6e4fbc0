// Tests of the verdict on a request's key.
#include "libaccounts/keycheck.h"

#include <gtest/gtest.h>

using namespace primroseworks;

namespace {

constexpr BootDuration Now = Seconds(1000);

AccountTablePtr tableOf(const char *Key) {
  AccountTableBuilder B;
  ClientAccount A;
  A.m_name = "a";
  (void)B.addAccount(A);
  B.addKey(Key);
  return B.build();
}

KeyVerdict verdict(std::optional<std::string_view> Key, bool Public,
                   CopyFreshness &Fresh) {
  const AccountTablePtr T = tableOf("k1");
  const KeyCheck C = checkKey(*T, Key, Public, Fresh, Now);
  EXPECT_EQ(C.m_account != nullptr, C.m_verdict == KeyVerdict::Known);
  return C.m_verdict;
}

CopyFreshness freshness(bool Strict, bool Stale) {
  CopyFreshness F = CopyFreshness::create({Seconds(5), Strict}).value();
  F.onConfirmed(Now - (Stale ? Seconds(6) : Seconds(1)), Now);
  return F;
}

} // namespace

// Guards against a request without a valid key that reaches an endpoint.
TEST(KeyCheck, CurrentCopyDecides) {
  for (const bool Strict : {false, true}) {
    CopyFreshness F = freshness(Strict, false);
    EXPECT_EQ(verdict("k1", false, F), KeyVerdict::Known);
    EXPECT_EQ(verdict("k2", false, F), KeyVerdict::Unknown);
    EXPECT_EQ(verdict(std::nullopt, false, F), KeyVerdict::Missing);
    EXPECT_EQ(verdict("k1", true, F), KeyVerdict::Known);
    EXPECT_EQ(verdict("k2", true, F), KeyVerdict::NotUsed);
    EXPECT_EQ(verdict(std::nullopt, true, F), KeyVerdict::NotUsed);
  }
}

// Guards against a final 401 for a key that was added while this VM was cut
// off, and against a removed key that still works there.
TEST(KeyCheck, StaleCopyRejectsNoKeyForGood) {
  CopyFreshness Strict = freshness(true, true);
  EXPECT_EQ(verdict("k1", false, Strict), KeyVerdict::Stale);
  EXPECT_EQ(verdict("k2", false, Strict), KeyVerdict::Stale);
  EXPECT_EQ(verdict("k1", true, Strict), KeyVerdict::Stale);
  EXPECT_EQ(verdict(std::nullopt, true, Strict), KeyVerdict::NotUsed);
  EXPECT_EQ(verdict(std::nullopt, false, Strict), KeyVerdict::Stale);
  CopyFreshness Lenient = freshness(false, true);
  EXPECT_EQ(verdict("k1", false, Lenient), KeyVerdict::Known);
  EXPECT_EQ(verdict("k2", false, Lenient), KeyVerdict::Stale);
  EXPECT_EQ(verdict("k2", true, Lenient), KeyVerdict::NotUsed);
}

// Guards against a final 401 for a key or a public route of a version that must
// be in effect by now, while removed keys may still be served.
TEST(KeyCheck, CopyThatMayMissAChangeRejectsNoKeyForGood) {
  CopyFreshness F =
      CopyFreshness::create({Seconds(5), true, Milliseconds(4000)}).value();
  F.onConfirmed(Now - Milliseconds(3500), Now);
  EXPECT_EQ(verdict("k2", false, F), KeyVerdict::Unknown);
  EXPECT_EQ(verdict(std::nullopt, false, F), KeyVerdict::Missing);
  CopyFreshness Older =
      CopyFreshness::create({Seconds(5), true, Milliseconds(4000)}).value();
  Older.onConfirmed(Now - Milliseconds(3501), Now);
  EXPECT_EQ(verdict("k1", false, Older), KeyVerdict::Known);
  EXPECT_EQ(verdict("k2", false, Older), KeyVerdict::Stale);
  EXPECT_EQ(verdict(std::nullopt, false, Older), KeyVerdict::Stale);
  F.setChangesMissing(true);
  EXPECT_EQ(verdict("k1", false, F), KeyVerdict::Known);
  EXPECT_EQ(verdict("k2", false, F), KeyVerdict::Stale);
}
