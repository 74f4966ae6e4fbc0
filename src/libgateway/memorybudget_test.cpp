// Tests of the memory budget: who has to give up bytes, and who never does.
#include "libgateway/memorybudget.h"

#include <gtest/gtest.h>
#include <vector>

using namespace primroseworks::gateway;

namespace {

constexpr std::size_t MB = 1'048'576;

struct Holder {
  Holder(MemoryBudget &Budget, MemoryKind Kind, const std::string &Peer,
         std::size_t Bytes)
      : m_claim(Budget.claim(Kind, Peer)) {
    m_claim->setRevocation([this] { ++m_revocations; });
    m_granted = m_claim->resize(Bytes);
  }
  MemoryClaimPtr m_claim;
  bool m_granted = false;
  int m_revocations = 0;
};

} // namespace

// Guards against a process that runs out of memory: the sum of all claims stays
// within the limit, whatever each of them may hold.
TEST(MemoryBudget, SumOfAllClaimsStaysWithinTheLimit) {
  MemoryBudget Budget(10 * MB);
  std::vector<std::unique_ptr<Holder>> Holders;
  for (int I = 0; I < 64; ++I) {
    Holders.push_back(std::make_unique<Holder>(Budget, MemoryKind::Response,
                                               "e" + std::to_string(I % 3), 0));
    for (std::size_t Size = 0; Size < 4 * MB; Size += MB / 4) {
      (void)Holders.back()->m_claim->resize(Size);
      std::size_t Sum = 0;
      for (const auto &H : Holders)
        Sum += H->m_claim->revoked() ? 0 : H->m_claim->bytes();
      ASSERT_LE(Sum, 10 * MB);
    }
  }
}

// Guards against a large and sound response that is cut for the bytes without
// end of another endpoint.
TEST(MemoryBudget, PeerThatHoldsMostIsCutFirst) {
  MemoryBudget Budget(20 * MB);
  Holder Sound(Budget, MemoryKind::Response, "sound", 6 * MB);
  Holder A(Budget, MemoryKind::Response, "faulty", 5 * MB);
  Holder B(Budget, MemoryKind::Response, "faulty", 4 * MB);
  Holder C(Budget, MemoryKind::Response, "faulty", 4 * MB);
  Holder Next(Budget, MemoryKind::Response, "other", 2 * MB);
  EXPECT_TRUE(Next.m_granted);
  EXPECT_EQ(Sound.m_revocations, 0);
  EXPECT_EQ(A.m_revocations, 1);
  EXPECT_EQ(B.m_revocations + C.m_revocations, 0);
}

TEST(MemoryBudget, LargestHolderThatAsksForMoreIsRefused) {
  MemoryBudget Budget(10 * MB);
  Holder Small(Budget, MemoryKind::Response, "a", 2 * MB);
  Holder Large(Budget, MemoryKind::Response, "b", 7 * MB);
  EXPECT_FALSE(Large.m_claim->resize(9 * MB));
  EXPECT_EQ(Large.m_claim->bytes(), 7 * MB);
  EXPECT_EQ(Small.m_revocations + Large.m_revocations, 0);
}

// Guards against a request that makes progress and is refused for others that
// stopped with as many bytes.
TEST(MemoryBudget, HolderThatGrowsUpToTheOthersGoesOn) {
  MemoryBudget Budget(12 * MB);
  Holder A(Budget, MemoryKind::Request, "callers", 4 * MB);
  Holder B(Budget, MemoryKind::Request, "callers", 4 * MB);
  Holder Growing(Budget, MemoryKind::Request, "callers", 2 * MB);
  EXPECT_TRUE(Growing.m_claim->resize(4 * MB));
  Holder C(Budget, MemoryKind::Request, "callers", 2 * MB);
  EXPECT_TRUE(C.m_claim->resize(4 * MB));
  EXPECT_EQ(A.m_revocations + B.m_revocations + Growing.m_revocations, 1);
}

// Guards against requests that are dropped although endpoints may run them.
TEST(MemoryBudget, PinnedAndSmallClaimsAreNotRevoked) {
  MemoryBudget Budget(4 * MB);
  Holder Pinned(Budget, MemoryKind::Request, "caller", 3 * MB);
  Pinned.m_claim->pin();
  Holder Small(Budget, MemoryKind::Response, "e", SmallClaimBytes);
  Holder Next(Budget, MemoryKind::Response, "f", 2 * MB);
  EXPECT_FALSE(Next.m_granted);
  EXPECT_EQ(Pinned.m_revocations + Small.m_revocations, 0);
}

// Guards against small requests and responses that are cut although the memory
// is held by others that can't be cut.
TEST(MemoryBudget, SmallClaimsAreGrantedBesidePinnedOnes) {
  MemoryBudget Budget(4 * MB);
  Holder Pinned(Budget, MemoryKind::Request, "caller", 4 * MB);
  Pinned.m_claim->pin();
  std::vector<std::unique_ptr<Holder>> Small;
  std::size_t Granted = 0;
  for (int I = 0; I < 100; ++I) {
    Small.push_back(std::make_unique<Holder>(Budget, MemoryKind::Response, "e",
                                             SmallClaimBytes));
    Granted += Small.back()->m_granted ? 1 : 0;
  }
  EXPECT_EQ(Granted, 16U);
  EXPECT_LE(Budget.held(), 5 * MB);
}

TEST(MemoryBudget, CompleteResponsesAreRevokedLast) {
  MemoryBudget Budget(10 * MB);
  Holder Complete(Budget, MemoryKind::Response, "e", 6 * MB);
  Complete.m_claim->setComplete();
  Holder Arriving(Budget, MemoryKind::Response, "e", 3 * MB);
  Holder Next(Budget, MemoryKind::Response, "f", 2 * MB);
  EXPECT_TRUE(Next.m_granted);
  EXPECT_EQ(Arriving.m_revocations, 1);
  EXPECT_EQ(Complete.m_revocations, 0);
  Arriving.m_claim.reset();
  EXPECT_TRUE(Next.m_claim->resize(4 * MB));
  EXPECT_EQ(Complete.m_revocations, 0);
}

// Revoked bytes are still held until their owner has freed them.
TEST(MemoryBudget, RevokedClaimGrowsNoMore) {
  MemoryBudget Budget(4 * MB);
  Holder First(Budget, MemoryKind::Call, "store", 3 * MB);
  Holder Second(Budget, MemoryKind::Response, "e", 2 * MB);
  EXPECT_TRUE(First.m_claim->revoked());
  EXPECT_FALSE(First.m_claim->resize(MB));
  EXPECT_EQ(Budget.held(), 5 * MB);
  First.m_claim.reset();
  EXPECT_EQ(Budget.held(), 2 * MB);
  EXPECT_EQ(Budget.held(MemoryKind::Call), 0U);
}

TEST(MemoryBudget, NewRequestsAreRefusedBeforeMemoryIsShort) {
  MemoryBudget Budget(10 * MB);
  EXPECT_TRUE(Budget.admitsRequest(4 * MB));
  Holder A(Budget, MemoryKind::Request, "a", 4 * MB);
  A.m_claim->pin();
  EXPECT_FALSE(Budget.admitsRequest(4 * MB));
  EXPECT_TRUE(Budget.admitsRequest(1000));
  Holder B(Budget, MemoryKind::Request, "b", 5 * MB);
  B.m_claim->pin();
  EXPECT_FALSE(Budget.admitsRequest(1000));
}

TEST(MemoryBudget, EachCutIsTold) {
  MemoryBudget Budget(4 * MB);
  std::vector<MemoryCut> Cuts;
  Budget.setOnCut([&Cuts](const MemoryCut &Cut) { Cuts.push_back(Cut); });
  Holder First(Budget, MemoryKind::Request, "caller", 3 * MB);
  Holder Second(Budget, MemoryKind::Response, "e", 2 * MB);
  ASSERT_EQ(Cuts.size(), 1U);
  EXPECT_EQ(Cuts[0].m_kind, MemoryKind::Request);
  EXPECT_EQ(Cuts[0].m_peer, "caller");
  EXPECT_EQ(Cuts[0].m_bytes, 3 * MB);
}

TEST(MemoryBudget, TextGrowsWithinItsClaim) {
  MemoryBudget Budget(MB);
  Holder H(Budget, MemoryKind::Response, "e", 0);
  std::string Text;
  const std::string Part(16'384, 'x');
  while (H.m_claim->append(Text, Part, 0, 2 * MB))
    ASSERT_GE(H.m_claim->bytes(), Text.capacity());
  EXPECT_GT(Text.size(), MB / 4);
  EXPECT_LE(Text.capacity(), MB);
}

TEST(MemoryBudget, ConfiguredLimitGoesFirst) {
  EXPECT_EQ(processMemoryLimit(260 * MB), 260 * MB);
  EXPECT_GT(processMemoryLimit(0), 0U);
}
