// Tests of what is kept of endpoints' own notices.
#include "libgateway/endpoints.h"

#include <gtest/gtest.h>

using namespace primroseworks;
using namespace primroseworks::gateway;

namespace {

const TimePoint Start = TimePoint() + Seconds(10000);

EndpointNotice leaving(std::uint64_t Incarnation, TimePoint Now = Start) {
  return {Incarnation, true, TimePoint(), Now};
}
EndpointNotice pause(std::uint64_t Incarnation, TimePoint Until,
                     TimePoint Now = Start) {
  return {Incarnation, false, Until, Now};
}

EndpointRecord record(std::uint64_t Incarnation,
                      const std::string &Address = "10.0.0.1:80") {
  EndpointRecord R;
  R.m_id = "e1";
  R.m_incarnation = Incarnation;
  R.m_service = "plain";
  R.m_address = Address;
  R.m_slots = 8;
  return R;
}

HttpHead head(unsigned Status) {
  HttpHead Head;
  Head.m_status = Status;
  return Head;
}

ResponseMetadata said(bool Leaving, Duration RetryAfter,
                      const std::string &By = "") {
  ResponseMetadata M;
  M.m_leaving = Leaving;
  M.m_retryAfter = RetryAfter;
  M.m_endpoint = By;
  return M;
}

} // namespace

TEST(EndpointNotice, ResponseWithoutEitherHeaderContainsNone) {
  EXPECT_FALSE(noticeIn(head(503), said(false, {}), "e1", 1, Start));
}

TEST(EndpointNotice, LeavingIsTakenFromAResponseOfAnyStatus) {
  for (const unsigned Status : {200U, 404U, 500U, 503U}) {
    const auto N = noticeIn(head(Status), said(true, {}), "e1", 7, Start);
    ASSERT_TRUE(N) << Status;
    EXPECT_TRUE(N->m_leaving);
    EXPECT_EQ(N->m_incarnation, 7U);
    EXPECT_EQ(N->m_heardAt, Start);
    EXPECT_LE(N->m_pausedUntil, Start);
  }
}

TEST(EndpointNotice, PauseIsTakenOnlyFromAResponseWithStatus503) {
  for (const unsigned Status : {200U, 429U, 500U, 504U})
    EXPECT_FALSE(
        noticeIn(head(Status), said(false, Seconds(3)), "e1", 1, Start));
  const auto N = noticeIn(head(503), said(false, Seconds(3)), "e1", 1, Start);
  ASSERT_TRUE(N);
  EXPECT_FALSE(N->m_leaving);
  EXPECT_EQ(N->m_pausedUntil, Start + Seconds(3));
  const auto Both = noticeIn(head(500), said(true, Seconds(3)), "e1", 1, Start);
  ASSERT_TRUE(Both);
  EXPECT_TRUE(Both->m_leaving);
  EXPECT_LE(Both->m_pausedUntil, Start);
}

TEST(EndpointNotice, PauseIsLimited) {
  const auto N =
      noticeIn(head(503), said(false, std::chrono::hours(24)), "e1", 1, Start);
  ASSERT_TRUE(N);
  EXPECT_EQ(N->m_pausedUntil, Start + MaxEndpointPause);
}

// Guards against an endpoint that gets no requests because of what another one
// at its address said.
TEST(EndpointNotice, ResponsesOfAnotherEndpointAreNotTaken) {
  EXPECT_FALSE(noticeIn(head(421), said(true, {}), "e1", 1, Start));
  EXPECT_FALSE(noticeIn(head(421), said(true, {}, "e2"), "e1", 1, Start));
  EXPECT_FALSE(noticeIn(head(200), said(true, {}, "e2"), "e1", 1, Start));
  EXPECT_TRUE(noticeIn(head(421), said(true, {}, "e1"), "e1", 1, Start));
  EXPECT_TRUE(noticeIn(head(200), said(true, {}, "e1"), "e1", 1, Start));
}

TEST(EndpointNotices, NoticesOfOneIncarnationAreMerged) {
  EndpointNotices N;
  EXPECT_TRUE(N.add("e1", pause(1, Start + Seconds(3))));
  EXPECT_FALSE(N.add("e1", pause(1, Start + Seconds(2)))) << "it is shorter";
  EXPECT_TRUE(N.add("e1", leaving(1)));
  EXPECT_FALSE(N.add("e1", leaving(1)));
  EXPECT_TRUE(N.add("e1", pause(1, Start + Seconds(4))));
  EXPECT_TRUE(N.find("e1", 1).m_leaving);
  EXPECT_EQ(N.find("e1", 1).m_pausedUntil, Start + Seconds(4));
  EXPECT_FALSE(N.find("e2", 1).m_leaving);
}

TEST(EndpointNotices, ANewIncarnationInheritsNothing) {
  EndpointNotices N;
  N.add("e1", leaving(1));
  EXPECT_FALSE(N.find("e1", 2).m_leaving);
  EXPECT_TRUE(N.add("e1", pause(2, Start + Seconds(1))));
  EXPECT_FALSE(N.find("e1", 2).m_leaving);
  EXPECT_FALSE(N.add("e1", leaving(1))) << "its process has ended";
  EXPECT_FALSE(N.find("e1", 2).m_leaving);
}

TEST(EndpointNotices, OldNoticesOfUnregisteredEndpointsAreForgotten) {
  EndpointNotices N;
  N.add("gone", leaving(1));
  N.add("paused", pause(1, Start + 2 * NoticeLifetime));
  N.add("known", leaving(1));
  const auto IsRegistered = [](const std::string &Id) { return Id == "known"; };
  N.expire(IsRegistered, Start + NoticeLifetime);
  EXPECT_EQ(N.size(), 3U);
  N.expire(IsRegistered, Start + NoticeLifetime + Milliseconds(1));
  EXPECT_EQ(N.size(), 2U);
  EXPECT_FALSE(N.find("gone", 1).m_leaving);
  N.expire(IsRegistered, Start + 2 * NoticeLifetime);
  EXPECT_EQ(N.size(), 1U);
  EXPECT_TRUE(N.find("known", 1).m_leaving);
}

TEST(EndpointNotices, AnyPauseLastsAsLongAsTheLongest) {
  EndpointNotices N;
  EXPECT_FALSE(N.anyPause(Start));
  N.add("e1", pause(1, Start + Seconds(3)));
  N.add("e2", pause(1, Start + Seconds(2)));
  EXPECT_TRUE(N.anyPause(Start + Milliseconds(2999)));
  EXPECT_FALSE(N.anyPause(Start + Seconds(3)));
}

TEST(EndpointNoticeInTable, OutlivesRecordsListsAndRemovals) {
  EndpointTable T;
  T.onRecord(record(1), Start);
  EXPECT_TRUE(T.maySend("e1", Start));
  T.onNotice("e1", leaving(1));
  EXPECT_FALSE(T.maySend("e1", Start));
  T.onRecord(record(1), Start);
  EXPECT_FALSE(T.maySend("e1", Start)) << "the record still says ready";
  T.onList({record(1)}, TimePoint(), Start);
  EXPECT_FALSE(T.maySend("e1", Start)) << "the list may be older";
  T.onList({}, Start + Seconds(2), Start);
  EXPECT_FALSE(T.maySend("e1", Start)) << "the record lapsed and is kept";
  T.onRemoved("e1", TimePoint(), Start);
  EXPECT_FALSE(T.maySend("e1", Start));
  T.onRecord(record(1), Start);
  EXPECT_FALSE(T.maySend("e1", Start)) << "the removed record returned";
}

TEST(EndpointNoticeInTable, CountsForAnEndpointThatIsRegisteredLater) {
  EndpointTable T;
  T.onNotice("e1", pause(1, Start + Seconds(3)));
  T.onRecord(record(1), Start);
  EXPECT_FALSE(T.maySend("e1", Start + Milliseconds(2999)));
  EXPECT_TRUE(T.maySend("e1", Start + Seconds(3)));
}

TEST(EndpointNoticeInTable, ANewIncarnationGetsWorkAgain) {
  EndpointTable T;
  T.onRecord(record(1), Start);
  T.onNotice("e1", leaving(1));
  T.onNotice("e1", pause(1, Start + Seconds(9)));
  T.onRecord(record(2), Start);
  EXPECT_TRUE(T.maySend("e1", Start));
  T.onNotice("e1", leaving(1));
  EXPECT_TRUE(T.maySend("e1", Start)) << "a late response of the earlier one";
}

TEST(EndpointNoticeInTable, HoldsAtANewAddressOfTheSameIncarnation) {
  EndpointTable T;
  T.onRecord(record(1), Start);
  T.onNotice("e1", leaving(1));
  T.onRecord(record(1, "10.0.0.2:80"), Start);
  EXPECT_FALSE(T.maySend("e1", Start));
}

// Guards against requests at an endpoint that is leaving (DRAIN): an older list
// names its earlier incarnation, whose requests reach the present one.
TEST(EndpointNoticeInTable, HoldsWhenAnOlderListNamesAnEarlierIncarnation) {
  EndpointTable T;
  T.onRecord(record(2), Start);
  T.onNotice("e1", leaving(2));
  T.onList({record(1)}, TimePoint(), Start);
  EXPECT_FALSE(T.maySend("e1", Start));
  T.onRecord(record(2), Start);
  EXPECT_FALSE(T.maySend("e1", Start));
  T.onRecord(record(3), Start);
  EXPECT_TRUE(T.maySend("e1", Start));
}
