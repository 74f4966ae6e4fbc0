// Tests for splitting a stream into events.
#include "libgateway/events.h"

#include <gtest/gtest.h>

using namespace primroseworks::gateway;

// Guards against forwarding a truncated event: an engine may fail in the middle
// of an event, and another engine continues after the last complete one.
TEST(EventSplitter, ReturnsOnlyCompleteEvents) {
  EventSplitter Splitter;
  Splitter.add("id: 7\ndata: a\n\nid: 8\nda");
  std::optional<StreamEvent> First = Splitter.next();
  ASSERT_TRUE(First);
  EXPECT_EQ(First->m_id, 7U);
  EXPECT_EQ(First->m_bytes, "id: 7\ndata: a\n\n");
  EXPECT_FALSE(Splitter.next());
  EXPECT_GT(Splitter.pending(), 0U);
  Splitter.add("ta: b\r\n\r\n");
  std::optional<StreamEvent> Second = Splitter.next();
  ASSERT_TRUE(Second);
  EXPECT_EQ(Second->m_id, 8U);
  EXPECT_EQ(Splitter.pending(), 0U);
}

// Guards against an error of an engine in the middle of a caller's stream.
TEST(EventSplitter, TextThatIsNoEventIsNotWellFormed) {
  for (const char *Text :
       {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
        "{\"error\":\"engine failed\"}\n\n", "upstream failed\n\n",
        "id: 3\n<html>\n\n"}) {
    EventSplitter Splitter;
    Splitter.add(Text);
    EXPECT_FALSE(Splitter.next()->m_wellFormed) << Text;
  }
  for (const char *Text :
       {"id: 3\ndata: {\"error\":1}\n\n", ": comment\n\n", "data\n\n",
        "x-primroseworks-weight-versions: 4\nid: 9\ndata: x\n\n",
        "event: a\r\ndata: HTTP/1.1 503 Busy\r\n\r\n", "\n"}) {
    EventSplitter Splitter;
    Splitter.add(Text);
    EXPECT_TRUE(Splitter.next()->m_wellFormed) << Text;
  }
}

TEST(EventSplitter, EventsMayHaveNoId) {
  EventSplitter Splitter;
  Splitter.add("data: x\n\nid:abc\n\n");
  EXPECT_FALSE(Splitter.next()->m_id);
  EXPECT_FALSE(Splitter.next()->m_id);
}

// An event may arrive in parts of any size.
TEST(EventSplitter, PartsOfEverySizeGiveTheSameEvents) {
  const std::string Text = "id: 1\r\ndata: a\r\n\r\n: comment\n\nid: 2\ndata: "
                           "b\ndata: c\n\n\nid: 3\ndata: d";
  for (std::size_t Size = 1; Size <= Text.size(); ++Size) {
    EventSplitter Splitter;
    std::string Events;
    std::size_t Count = 0;
    for (std::size_t At = 0; At < Text.size(); At += Size) {
      Splitter.add(Text.substr(At, Size));
      while (const std::optional<StreamEvent> Event = Splitter.next()) {
        Events += Event->m_bytes;
        ++Count;
      }
    }
    EXPECT_EQ(Count, 4U) << Size;
    EXPECT_EQ(Events.size() + Splitter.pending(), Text.size()) << Size;
    EXPECT_EQ(Events, Text.substr(0, Events.size())) << Size;
  }
}
