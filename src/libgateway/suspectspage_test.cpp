// Tests of the operator's page of crash suspects.
#include "libgateway/suspectspage.h"

#include <gtest/gtest.h>

using namespace primroseworks;
using namespace primroseworks::gateway;

namespace {
const TimePoint Start{Seconds(1000)};
} // namespace

TEST(SuspectsPage, ListsAndClears) {
  CrashSuspects S = std::move(CrashSuspects::create({})).value();
  S.strike(0xab, 9, Start);
  for (std::uint64_t Crash : {1, 2, 3})
    S.strike(0xcd, Crash, Start);
  (void)S.take();
  const TimePoint Now = Start + Seconds(10);
  EXPECT_EQ(answerSuspects("GET", "/suspects", S, Now).m_body,
            "fingerprint strikes suspicion refused expires_in_s\n"
            "00000000000000cd 3 3 yes 590\n"
            "00000000000000ab 1 1 no 590\n");
  const SuspectsReply Cleared =
      answerSuspects("POST", "/suspects/00000000000000cd", S, Now);
  EXPECT_EQ(Cleared.m_cleared, 0xcdU);
  EXPECT_FALSE(S.refused(0xcd, Now));
  EXPECT_EQ(S.take().size(), 1U); // The peers hear of it.
}

TEST(SuspectsPage, ListsAndClearsParts) {
  CrashSuspects S = std::move(CrashSuspects::create({})).value();
  for (std::uint64_t Crash : {1, 2, 3})
    S.parts().strike({0xb8, Crash, Crash, Start}, Start);
  (void)S.parts().take();
  EXPECT_EQ(answerSuspects("GET", "/suspects", S, Start).m_body,
            "fingerprint strikes suspicion refused expires_in_s\n"
            "part ends requests refused ends_in_s\n"
            "b8 3 2 yes 60\n");
  const SuspectsReply Cleared =
      answerSuspects("POST", "/suspects/part/b8", S, Start);
  EXPECT_EQ(Cleared.m_clearedPart, 0xb8U);
  EXPECT_FALSE(Cleared.m_cleared);
  EXPECT_FALSE(S.parts().refused(0xb8, Start));
  EXPECT_EQ(S.parts().take().size(), 1U); // The peers hear of it.
}

TEST(SuspectsPage, RejectsOtherCalls) {
  CrashSuspects S = std::move(CrashSuspects::create({})).value();
  for (const char *Path :
       {"/suspects/", "/suspects/xyz", "/suspectsabc", "/suspects/1/2",
        "/suspects", "/suspects/part/", "/suspects/part/x"})
    EXPECT_EQ(answerSuspects("POST", Path, S, Start).m_status, 404U) << Path;
  EXPECT_EQ(answerSuspects("DELETE", "/suspects/1", S, Start).m_status, 404U);
}
