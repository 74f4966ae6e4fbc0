// Tests of the HTTP client against a raw TCP server: silence, stop, breaks and
// stale connections. What was sent decides what callers are told.
#include "libhttp/httpclient.h"

#include <algorithm>
#include <arpa/inet.h>
#include <fcntl.h>
#include <functional>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace primroseworks;
using pvt::HttpCall;
using pvt::HttpFailure;
using pvt::HttpReply;

namespace {

constexpr int DefaultBacklog = 16;

const char *const Ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Reads one request head and its body from a connection; empty at its end.
std::string readRequest(int Socket) {
  std::string Text;
  char Byte = 0;
  while (Text.find("\r\n\r\n") == std::string::npos)
    if (::recv(Socket, &Byte, 1, 0) == 1)
      Text += Byte;
    else
      return {};
  const std::size_t At = Text.find("Content-Length: ");
  std::size_t Left = At == std::string::npos
                         ? 0
                         : std::strtoul(Text.c_str() + At + 16, nullptr, 10);
  while (Left-- > 0 && ::recv(Socket, &Byte, 1, 0) == 1)
    Text += Byte;
  return Text;
}

void send(int Socket, const std::string &Text) {
  ::send(Socket, Text.data(), Text.size(), MSG_NOSIGNAL);
}

/// Calls Serve(socket, number) for each connection, on a thread of its own.
class RawServer {
public:
  using Handler = std::function<void(int, int)>;
  explicit RawServer(const Handler &Serve, int Backlog = DefaultBacklog) {
    m_listen = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof Address;
    EXPECT_EQ(::bind(m_listen, reinterpret_cast<sockaddr *>(&Address),
                     sizeof Address),
              0);
    ::listen(m_listen, Backlog);
    ::getsockname(m_listen, reinterpret_cast<sockaddr *>(&Address), &Size);
    m_port = ntohs(Address.sin_port);
    if (Serve)
      m_thread = std::thread([this, Serve] { accept(Serve); });
  }
  ~RawServer() {
    ::shutdown(m_listen, SHUT_RDWR);
    if (m_thread.joinable())
      m_thread.join();
    for (const int Socket : m_sockets)
      ::shutdown(Socket, SHUT_RDWR);
    for (std::thread &Each : m_workers)
      Each.join();
    for (const int Socket : m_sockets)
      ::close(Socket);
    ::close(m_listen);
  }
  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(m_port);
  }
  int accepted() const { return m_accepted; }

private:
  void accept(const Handler &Serve) {
    for (;;) {
      const int Socket = ::accept(m_listen, nullptr, nullptr);
      if (Socket < 0)
        return;
      const int Number = m_accepted++;
      m_sockets.push_back(Socket);
      m_workers.emplace_back([Socket, Number, Serve] {
        Serve(Socket, Number);
        ::shutdown(Socket, SHUT_RDWR);
      });
    }
  }
  int m_listen = -1;
  int m_port = 0;
  std::atomic<int> m_accepted{0};
  std::thread m_thread;
  std::vector<int> m_sockets; ///< Used by m_thread until it has ended.
  std::vector<std::thread> m_workers;
};

/// Holds a connection without a byte until the other side closes it.
void holdSilently(int Socket) {
  char Byte = 0;
  while (::recv(Socket, &Byte, 1, 0) == 1)
    ;
}

/// Resets a connection; its descriptor stays valid.
void resetConnection(int Socket) {
  const linger AtOnce{1, 0};
  ::setsockopt(Socket, SOL_SOCKET, SO_LINGER, &AtOnce, sizeof AtOnce);
  const int Null = ::open("/dev/null", O_RDONLY);
  ::dup2(Null, Socket);
  ::close(Null);
}

std::unique_ptr<pvt::HttpClient> clientOf(const std::string &Url) {
  auto Made = pvt::createHttpClient(Url);
  EXPECT_TRUE(Made);
  return std::move(Made).value();
}

HttpCall post(Milliseconds Timeout) {
  HttpCall Call;
  Call.m_method = "POST";
  Call.m_body = "{}";
  Call.m_timeout = Timeout;
  return Call;
}

HttpCall get(Milliseconds Timeout) {
  HttpCall Call;
  Call.m_repeatable = true;
  Call.m_timeout = Timeout;
  return Call;
}

double millisOf(const std::function<void()> &Work) {
  const TimePoint Start = std::chrono::steady_clock::now();
  Work();
  return toMillis(std::chrono::steady_clock::now() - Start);
}

/// Median time in ms from Stop to the end of Call, over five calls.
double stopTime(pvt::HttpClient &Client, const HttpCall &Call,
                std::optional<HttpFailure> &Failure) {
  std::vector<double> Times;
  for (int Round = 0; Round < 5; ++Round) {
    std::atomic<bool> Stop{false};
    TimePoint Stopped;
    std::thread Stopper([&] {
      std::this_thread::sleep_for(Milliseconds(150));
      Stopped = std::chrono::steady_clock::now();
      Stop = true;
    });
    Failure = Client.call(Call, nullptr, &Stop).m_failure;
    const TimePoint Ended = std::chrono::steady_clock::now();
    Stopper.join();
    Times.push_back(toMillis(Ended - Stopped));
  }
  std::sort(Times.begin(), Times.end());
  return Times[Times.size() / 2];
}

constexpr double StopBoundMillis = 100; ///< Required of every client.

} // namespace

// Guards against a URL that is taken but leads nowhere.
TEST(HttpClient, ChecksTheBaseUrl) {
  for (const char *Url :
       {"", "127.0.0.1:80", "http://127.0.0.1", "http://:80", "http://a:0",
        "http://a:65536", "http://a:x", "http://a/b:80", "https://a:80"})
    EXPECT_FALSE(pvt::createHttpClient(Url)) << Url;
  EXPECT_TRUE(pvt::createHttpClient("http://127.0.0.1:80/"));
}

// Guards against a second request hidden in a header or in a path.
TEST(HttpClient, RefusesLineBreaks) {
  RawServer Server([](int Socket, int) { send(Socket, Ok); });
  const auto Client = clientOf(Server.url());
  for (int Case = 0; Case < 4; ++Case) {
    HttpCall Call = post(Milliseconds(500));
    if (Case == 0)
      Call.m_path = "/a HTTP/1.1\r\n\r\nGET /b";
    else if (Case == 1)
      Call.m_headers = {{"X-A", "b\r\nX-C: d"}};
    else if (Case == 2)
      Call.m_headers = {{"X-A: b\r\nX-C", "d"}};
    else
      Call.m_method = "GET / HTTP/1.1\r\n\r\nPOST";
    EXPECT_EQ(Client->call(Call).m_failure, HttpFailure::NotSent);
  }
  EXPECT_EQ(Server.accepted(), 0);
}

// Guards against "may have run" for a call that was never sent.
TEST(HttpClient, RefusedConnectionIsNotSent) {
  std::string Url;
  {
    RawServer Closed(nullptr);
    Url = Closed.url();
  }
  EXPECT_EQ(clientOf(Url)->call(post(Milliseconds(500))).m_failure,
            HttpFailure::NotSent);
}

// Guards against "not sent" for a call that a server read before it broke.
TEST(HttpClient, BreakAfterTheRequestMayHaveRun) {
  RawServer Server([](int Socket, int) { readRequest(Socket); });
  const HttpReply Reply =
      clientOf(Server.url())->call(post(Milliseconds(2000)));
  EXPECT_EQ(Reply.m_failure, HttpFailure::Broken) << Reply.m_detail;
  EXPECT_EQ(Server.accepted(), 1);
}

// Guards against an answer that is cut and passes for whole.
TEST(HttpClient, CutAnswerIsBroken) {
  for (const char *Head : {"Content-Length: 9\r\n\r\nok",
                           "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"}) {
    RawServer Server([Head](int Socket, int) {
      readRequest(Socket);
      send(Socket, std::string("HTTP/1.1 200 OK\r\n") + Head);
    });
    const HttpReply Reply =
        clientOf(Server.url())->call(post(Milliseconds(2000)));
    EXPECT_EQ(Reply.m_failure, HttpFailure::Broken) << Head;
  }
}

// Guards against a part of an answer without a length that passes for whole:
// the client itself ended the connection, and read that as the server's end.
TEST(HttpClient, AnswerWithoutLengthIsNotWholeIfTheCallEnds) {
  RawServer Server([](int Socket, int) {
    readRequest(Socket);
    send(Socket, "HTTP/1.1 200 OK\r\n\r\nhalf");
    holdSilently(Socket);
  });
  const auto Client = clientOf(Server.url());
  EXPECT_EQ(Client->call(post(Milliseconds(200))).m_failure,
            HttpFailure::Timeout);
  std::atomic<bool> Stop{false};
  std::thread Stopper([&Stop] {
    std::this_thread::sleep_for(Milliseconds(100));
    Stop = true;
  });
  EXPECT_EQ(Client->call(post(Milliseconds(2000)), nullptr, &Stop).m_failure,
            HttpFailure::Cancelled);
  Stopper.join();
}

// Such an answer is whole once the server closes, however late it is then.
TEST(HttpClient, AnswerWithoutLengthIsWholeAtTheServersEnd) {
  RawServer Server([](int Socket, int) {
    readRequest(Socket);
    send(Socket, "HTTP/1.1 200 OK\r\n\r\nhalf");
    std::this_thread::sleep_for(Milliseconds(100));
    send(Socket, " and half");
  });
  const HttpReply Reply =
      clientOf(Server.url())->call(post(Milliseconds(2000)));
  EXPECT_FALSE(Reply.m_failure) << Reply.m_detail;
  EXPECT_EQ(Reply.m_body, "half and half");
}

// Guards against a part of an answer without a length that passes for whole
// because its connection was reset.
TEST(HttpClient, AnswerWithoutLengthIsNotWholeAfterAReset) {
  RawServer Server([](int Socket, int) {
    readRequest(Socket);
    send(Socket, "HTTP/1.1 200 OK\r\n\r\nhalf");
    std::this_thread::sleep_for(Milliseconds(100));
    resetConnection(Socket);
  });
  EXPECT_EQ(clientOf(Server.url())->call(post(Milliseconds(2000))).m_failure,
            HttpFailure::Broken);
}

// Guards against a call that waits for ever on a silent connection.
TEST(HttpClient, SilenceEndsTheCall) {
  RawServer Server([](int Socket, int) { holdSilently(Socket); });
  const auto Client = clientOf(Server.url());
  HttpReply Reply;
  const double Millis =
      millisOf([&] { Reply = Client->call(post(Milliseconds(300))); });
  EXPECT_EQ(Reply.m_failure, HttpFailure::Timeout) << Reply.m_detail;
  EXPECT_GE(Millis, 290);
  RecordProperty("millis", static_cast<int>(Millis));
}

// Guards against a peer that keeps a bounded call open with single bytes.
TEST(HttpClient, SlowBytesDoNotExtendTheBound) {
  RawServer Server([](int Socket, int) {
    readRequest(Socket);
    send(Socket, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n");
    for (int I = 0; I < 40; ++I) {
      std::this_thread::sleep_for(Milliseconds(50));
      send(Socket, "x");
    }
  });
  HttpReply Reply;
  const double Millis = millisOf(
      [&] { Reply = clientOf(Server.url())->call(post(Milliseconds(300))); });
  EXPECT_EQ(Reply.m_failure, HttpFailure::Timeout) << Reply.m_detail;
  EXPECT_LT(Millis, 2000) << "the bytes alone take 2 s";
}

// Guards against a stop that waits for a silent peer.
TEST(HttpClient, StopOnASilentConnection) {
  RawServer Server([](int Socket, int) { holdSilently(Socket); });
  const auto Client = clientOf(Server.url());
  HttpCall Call = post(Milliseconds(0));
  Call.m_timeout.reset();
  std::optional<HttpFailure> Failure;
  const double Millis = stopTime(*Client, Call, Failure);
  EXPECT_EQ(Failure, HttpFailure::Cancelled);
  EXPECT_LE(Millis, StopBoundMillis);
}

// Guards against a stop that waits for a connection that is never made, and
// against "may have run" when it is never made. The backlog is full, so the
// server's side drops the handshake.
TEST(HttpClient, StopWhileConnecting) {
  RawServer Server(nullptr, 0);
  const auto Filler = clientOf(Server.url());
  std::atomic<bool> End{false};
  std::vector<std::thread> Fillers;
  for (int I = 0; I < 3; ++I)
    Fillers.emplace_back([&] {
      HttpCall Call = post(Milliseconds(0));
      Call.m_timeout.reset();
      Call.m_silence = Milliseconds(60'000);
      Filler->call(Call, nullptr, &End);
    });
  std::this_thread::sleep_for(Milliseconds(200));
  const auto Client = clientOf(Server.url());
  std::optional<HttpFailure> Failure;
  const double Millis = stopTime(*Client, post(Milliseconds(5000)), Failure);
  EXPECT_EQ(Failure, HttpFailure::Cancelled);
  EXPECT_LE(Millis, StopBoundMillis);
  EXPECT_EQ(Client->call(post(Milliseconds(5000))).m_failure,
            HttpFailure::NotSent);
  End = true;
  for (std::thread &Each : Fillers)
    Each.join();
}

// Guards against a connection per call where reuse is safe, and against reuse
// where a stale connection would make the outcome unknown.
TEST(HttpClient, ReusesConnectionsForRepeatableCallsOnly) {
  RawServer Server([](int Socket, int) {
    while (!readRequest(Socket).empty())
      send(Socket, Ok);
  });
  const auto Client = clientOf(Server.url());
  for (int I = 0; I < 5; ++I)
    EXPECT_FALSE(Client->call(get(Milliseconds(2000))).m_failure);
  EXPECT_EQ(Server.accepted(), 1);
  for (int I = 0; I < 3; ++I)
    EXPECT_FALSE(Client->call(post(Milliseconds(2000))).m_failure);
  EXPECT_EQ(Server.accepted(), 4);
}

// Guards against a stale pooled connection that fails a call which a new one
// would answer: the server closes each connection when its second request
// comes.
TEST(HttpClient, StaleConnectionIsReplaced) {
  RawServer Server([](int Socket, int) {
    if (!readRequest(Socket).empty())
      send(Socket, Ok);
    readRequest(Socket);
  });
  const auto Client = clientOf(Server.url());
  for (int I = 0; I < 6; ++I) {
    const HttpReply Reply = Client->call(get(Milliseconds(2000)));
    EXPECT_FALSE(Reply.m_failure) << I << " " << Reply.m_detail;
  }
  for (int I = 0; I < 6; ++I) {
    const HttpReply Reply = Client->call(post(Milliseconds(2000)));
    EXPECT_FALSE(Reply.m_failure) << I << " " << Reply.m_detail;
  }
}

// Guards against a pool that keeps handing out connections that went silent
// while new ones work.
TEST(HttpClient, SilenceEmptiesThePool) {
  constexpr int Pooled = 3;
  std::atomic<int> Asked{0};
  std::atomic<bool> Silent{false};
  RawServer Server([&](int Socket, int Number) {
    while (!readRequest(Socket).empty()) {
      ++Asked;
      while (Asked < Pooled) // So that no call finds an idle connection.
        std::this_thread::sleep_for(Milliseconds(1));
      if (!Silent || Number >= Pooled)
        send(Socket, Ok);
    }
  });
  const auto Client = clientOf(Server.url());
  std::vector<std::thread> Calls;
  for (int I = 0; I < Pooled; ++I)
    Calls.emplace_back([&] { Client->call(get(Milliseconds(5000))); });
  for (std::thread &Each : Calls)
    Each.join();
  ASSERT_EQ(Server.accepted(), Pooled);
  Silent = true;
  EXPECT_EQ(Client->call(get(Milliseconds(200))).m_failure,
            HttpFailure::Timeout);
  EXPECT_FALSE(Client->call(get(Milliseconds(5000))).m_failure);
  EXPECT_EQ(Server.accepted(), Pooled + 1);
}

// Guards against a body that is handed on although the status is an error.
TEST(HttpClient, ReceiverGetsOnlyTheBodyOfASuccess) {
  RawServer Server([](int Socket, int) {
    readRequest(Socket);
    send(Socket, "HTTP/1.1 503 No\r\nContent-Length: 16\r\n\r\n"
                 "{\"not_run\":true}");
  });
  bool Called = false;
  const HttpReply Reply =
      clientOf(Server.url())
          ->call(post(Milliseconds(2000)), [&](std::string_view) {
            Called = true;
            return true;
          });
  EXPECT_FALSE(Reply.m_failure);
  EXPECT_FALSE(Called);
  EXPECT_TRUE(pvt::saysNotRun(Reply));
}

// Guards against an invalid status that is passed on as an answer: the call may
// have run, and nothing more is known.
TEST(HttpClient, InvalidStatusIsABrokenAnswer) {
  for (const char *Status : {"000", "099", "103", "199", "600", "999"}) {
    RawServer Server([Status](int Socket, int) {
      readRequest(Socket);
      send(Socket, std::string("HTTP/1.1 ") + Status +
                       " X\r\nContent-Length: 16\r\n\r\n{\"not_run\":true}");
    });
    const HttpReply Reply =
        clientOf(Server.url())->call(post(Milliseconds(1000)));
    EXPECT_EQ(Reply.m_failure, HttpFailure::Broken) << Status;
    EXPECT_FALSE(pvt::saysNotRun(Reply)) << Status;
  }
}
