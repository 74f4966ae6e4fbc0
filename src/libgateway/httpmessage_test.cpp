// Tests for the HTTP reader: split and pipelined messages, ambiguous framing
// that would allow request smuggling, truncated responses.
#include "libgateway/httpmessage.h"

#include <gtest/gtest.h>

using namespace primroseworks;
using namespace primroseworks::gateway;

namespace {

/// Feeds Bytes in chunks of Size. Returns the bytes not consumed, or the error.
Result<std::string> feed(HttpReader &Reader, std::string Bytes,
                         std::size_t Size) {
  std::string Input;
  while (!Bytes.empty() && !Reader.complete()) {
    Input += Bytes.substr(0, Size);
    Bytes.erase(0, std::min(Size, Bytes.size()));
    for (;;) {
      Result<std::size_t> Used = Reader.read(Input);
      if (!Used)
        return Used.error();
      Input.erase(0, Used.value());
      if (Used.value() == 0 || Input.empty() || Reader.complete())
        break;
    }
  }
  return Input + Bytes;
}

const std::string Post = "POST /a/b?c=d HTTP/1.1\r\nHost: x\r\n"
                         "Content-Length: 5\r\nX-One: 1\r\n\r\nhello";

} // namespace

// Guards against bytes that are lost or consumed twice at the end of the head,
// where the parser pauses before the last line feed.
TEST(HttpReader, ReadsARequestInChunksOfEverySize) {
  for (std::size_t Size = 1; Size <= Post.size(); ++Size) {
    HttpReader Reader(HttpRole::Request, 4096);
    Result<std::string> Rest = feed(Reader, Post + "GET", Size);
    ASSERT_TRUE(Rest) << Size;
    EXPECT_EQ(Rest.value(), "GET") << Size;
    EXPECT_TRUE(Reader.complete());
    EXPECT_EQ(Reader.takeBody(), "hello") << Size;
    EXPECT_EQ(Reader.head().m_method, "POST");
    EXPECT_EQ(Reader.head().m_target, "/a/b?c=d");
    EXPECT_EQ(Reader.head().path(), "/a/b");
    ASSERT_NE(Reader.head().find("x-one"), nullptr);
    EXPECT_EQ(*Reader.head().find("x-one"), "1");
    EXPECT_TRUE(Reader.head().m_keepAlive);
  }
}

TEST(HttpReader, ReadsChunkedBodies) {
  HttpReader Reader(HttpRole::Response, 4096);
  Result<std::string> Rest =
      feed(Reader,
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
           "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\nHTTP/1.1 200",
           7);
  ASSERT_TRUE(Rest);
  EXPECT_TRUE(Reader.complete());
  EXPECT_EQ(Reader.takeBody(), "abcde");
  EXPECT_EQ(Rest.value(), "HTTP/1.1 200");
}

// Guards against request smuggling: the gateway and an engine must always agree
// on where a request ends.
TEST(HttpReader, RefusesAmbiguousFraming) {
  for (const char *Headers :
       {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 5\r\nContent-Length: 6\r\n",
        "Transfer-Encoding: gzip\r\n", "Content-Length: 5x\r\n",
        "Content-Length : 5\r\n"}) {
    HttpReader Reader(HttpRole::Request, 4096);
    Result<std::string> Rest = feed(
        Reader,
        std::string("POST / HTTP/1.1\r\nHost: x\r\n") + Headers + "\r\nhello",
        1000);
    EXPECT_FALSE(Rest) << Headers;
  }
}

TEST(HttpReader, RejectsHeadsOverTheLimit) {
  HttpReader Reader(HttpRole::Request, 100);
  Result<std::string> Rest =
      feed(Reader, "GET / HTTP/1.1\r\nA: " + std::string(200, 'a'), 50);
  ASSERT_FALSE(Rest);
  EXPECT_EQ(Rest.error().m_kind, ErrorKind::Full);
}

// Guards against taking a truncated response for a complete one.
TEST(HttpReader, OnlyResponsesWithoutLengthEndWithTheirConnection) {
  HttpReader Open(HttpRole::Response, 4096);
  ASSERT_TRUE(feed(Open, "HTTP/1.1 200 OK\r\n\r\nabc", 100));
  EXPECT_FALSE(Open.complete());
  EXPECT_TRUE(Open.finishAtEnd());
  EXPECT_FALSE(Open.head().m_keepAlive);
  HttpReader Long(HttpRole::Response, 4096);
  ASSERT_TRUE(
      feed(Long, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab", 100));
  EXPECT_FALSE(Long.finishAtEnd());
  HttpReader Chunked(HttpRole::Response, 4096);
  ASSERT_TRUE(feed(
      Chunked, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab",
      100));
  EXPECT_FALSE(Chunked.finishAtEnd());
}

TEST(HttpHead, RecognizesHopByHopHeaders) {
  HttpReader Reader(HttpRole::Request, 4096);
  ASSERT_TRUE(feed(Reader,
                   "GET / HTTP/1.1\r\nConnection: close, X-Mine\r\n"
                   "X-Mine: 1\r\nX-Other: 2\r\n\r\n",
                   100));
  const HttpHead &Head = Reader.head();
  for (const HttpHeader &H : Head.m_headers)
    EXPECT_EQ(Head.isHopByHop(H), H.m_lowerName != "x-other") << H.m_name;
}

// Guards against heads whose many short headers take a hundred times the memory
// of their bytes.
TEST(HttpReader, HeadersAreLimitedInNumber) {
  for (const std::size_t Count : {MaxHeaders, MaxHeaders + 1}) {
    HttpReader Reader(HttpRole::Response, 1'000'000);
    std::string Head = "HTTP/1.1 200 OK\r\n";
    for (std::size_t I = 0; I < Count; ++I)
      Head += "A:\r\n";
    const Result<std::string> Rest = feed(Reader, Head + "\r\n", 1000);
    ASSERT_EQ(Rest.has_value(), Count <= MaxHeaders);
    EXPECT_TRUE(Rest || Rest.error().m_kind == ErrorKind::Full);
    EXPECT_LT(Reader.memoryBytes(), 500'000U);
  }
}

// Guards against an endpoint's invalid status that a caller gets as an answer.
TEST(HttpReader, RejectsStatusesThatHttpDoesNotHave) {
  for (const char *Status : {"000", "001", "20", "099", "600", "999"}) {
    HttpReader Reader(HttpRole::Response, 4096);
    const Result<std::string> Rest = feed(Reader,
                                          std::string("HTTP/1.1 ") + Status +
                                              " X\r\nContent-Length: 0\r\n\r\n",
                                          100);
    EXPECT_FALSE(Rest) << Status;
  }
  for (const char *Status : {"100", "103", "200", "418", "599"}) {
    HttpReader Reader(HttpRole::Response, 4096);
    EXPECT_TRUE(feed(Reader,
                     std::string("HTTP/1.1 ") + Status +
                         " X\r\nContent-Length: 0\r\n\r\n",
                     100))
        << Status;
  }
}
