// HTTP client with bounds, stop and pool. One watch thread per process shuts
// down the sockets of calls that are stopped or over their time, because
// cpp-httplib blocks in reads that another thread cannot end in any other way.
#include "libhttp/httpclient.h"

#include "libbase/httpstatus.h"
#include "libbase/limitedjson.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <set>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace primroseworks::pvt {
namespace {

/// How often stops and deadlines are checked; `Stop` must be honoured within
/// 100 ms.
constexpr Milliseconds WatchInterval{20};

/// A call in progress as the watch thread sees it.
struct WatchedCall {
  int m_socket = -1; ///< Duplicate, owned; a number that nobody else reuses.
  const std::atomic<bool> *m_stop = nullptr;
  std::optional<TimePoint> m_deadline;
  bool m_stopped = false;
  bool m_expired = false;
};

/// Shuts down sockets of stopped and expired calls.
class SocketWatch {
public:
  SocketWatch() : m_thread([this] { run(); }) {}
  ~SocketWatch() {
    {
      std::lock_guard<std::mutex> Lock(m_mutex);
      m_end = true;
    }
    m_wake.notify_one();
    m_thread.join();
  }
  SocketWatch(const SocketWatch &) = delete;
  SocketWatch &operator=(const SocketWatch &) = delete;

  /// The one watch of the process, alive while a client is.
  static std::shared_ptr<SocketWatch> shared() {
    static std::mutex Mutex;
    static std::weak_ptr<SocketWatch> Current;
    std::lock_guard<std::mutex> Lock(Mutex);
    std::shared_ptr<SocketWatch> Watch = Current.lock();
    if (!Watch) {
      Watch = std::make_shared<SocketWatch>();
      Current = Watch;
    }
    return Watch;
  }
  void add(WatchedCall &Call) {
    {
      std::lock_guard<std::mutex> Lock(m_mutex);
      m_calls.insert(&Call);
    }
    m_wake.notify_one();
  }
  void remove(WatchedCall &Call) {
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_calls.erase(&Call);
    setSocket(Call, -1);
  }
  void attach(WatchedCall &Call, int Socket) {
    std::lock_guard<std::mutex> Lock(m_mutex);
    setSocket(Call, Socket < 0 ? -1 : ::dup(Socket));
  }

private:
  static void setSocket(WatchedCall &Call, int Socket) {
    if (Call.m_socket >= 0)
      ::close(Call.m_socket);
    Call.m_socket = Socket;
  }
  static void check(WatchedCall &Call, TimePoint Now) {
    if (Call.m_stop != nullptr && Call.m_stop->load())
      Call.m_stopped = true;
    if (Call.m_deadline && Now >= *Call.m_deadline)
      Call.m_expired = true;
    // Repeated on every round: the call may still be about to connect.
    if ((Call.m_stopped || Call.m_expired) && Call.m_socket >= 0)
      ::shutdown(Call.m_socket, SHUT_RDWR);
  }
  void run() {
    std::unique_lock<std::mutex> Lock(m_mutex);
    while (!m_end) {
      if (m_calls.empty())
        m_wake.wait(Lock, [this] { return m_end || !m_calls.empty(); });
      else
        m_wake.wait_for(Lock, WatchInterval, [this] { return m_end; });
      const TimePoint Now = std::chrono::steady_clock::now();
      for (WatchedCall *Call : m_calls)
        check(*Call, Now);
    }
  }

  std::mutex m_mutex; ///< Guards all members and every registered call.
  std::condition_variable m_wake;
  std::set<WatchedCall *> m_calls;
  bool m_end = false;
  std::thread m_thread;
};

struct Connection {
  Connection(const std::string &Host, int Port) : m_http(Host, Port) {}
  httplib::ClientImpl m_http;
  TimePoint m_idleSince;
};

bool isToken(std::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), [](char C) {
    return C > ' ' && C < 127 && C != ':';
  });
}

/// A line break in any of these would let a caller write a second request.
bool isSafe(const HttpCall &Call) {
  auto BreaksLine = [](std::string_view Text) {
    return Text.find_first_of(std::string_view("\r\n\0", 3)) !=
           std::string_view::npos;
  };
  if (!isToken(Call.m_method) || Call.m_path.empty() ||
      Call.m_path.front() != '/' || BreaksLine(Call.m_contentType))
    return false;
  if (!std::all_of(Call.m_path.begin(), Call.m_path.end(),
                   [](unsigned char C) { return C > ' ' && C != 127; }))
    return false;
  return std::all_of(
      Call.m_headers.begin(), Call.m_headers.end(), [&](const auto &Header) {
        return isToken(Header.first) && !BreaksLine(Header.second);
      });
}

/// Whether nothing but the end of the connection ends the body of an answer.
bool endsWithConnection(const HttpReply &Reply) {
  return Reply.header("Content-Length").empty() &&
         Reply.header("Transfer-Encoding").empty();
}

class PooledHttpClient final : public HttpClient {
public:
  PooledHttpClient(std::string Host, int Port)
      : m_host(std::move(Host)), m_port(Port), m_watch(SocketWatch::shared()) {}

  HttpReply call(const HttpCall &Call, const BodySink &Body,
                 const std::atomic<bool> *Stop) override {
    if (!isSafe(Call))
      return failed(HttpFailure::NotSent,
                    "method, path or header holds a forbidden character; "
                    "encode it");
    std::optional<TimePoint> Deadline;
    if (Call.m_timeout)
      Deadline = std::chrono::steady_clock::now() + *Call.m_timeout;
    std::unique_ptr<Connection> Conn;
    if (Call.m_repeatable)
      Conn = takeIdle();
    const bool Reused = Conn != nullptr;
    if (!Reused)
      Conn = std::make_unique<Connection>(m_host, m_port);
    HttpReply Reply = attempt(*Conn, Call, Body, Stop, Deadline);
    // The server may have given up the connection before the call came.
    if (Reused && Reply.m_failure == HttpFailure::Broken && !Body) {
      Conn = std::make_unique<Connection>(m_host, m_port);
      Reply = attempt(*Conn, Call, Body, Stop, Deadline);
    }
    settle(std::move(Conn), Call, Reply);
    return Reply;
  }

private:
  static HttpReply failed(HttpFailure Failure, std::string Detail) {
    HttpReply Reply;
    Reply.m_failure = Failure;
    Reply.m_detail = std::move(Detail);
    return Reply;
  }

  std::unique_ptr<Connection> takeIdle() {
    const TimePoint Now = std::chrono::steady_clock::now();
    std::vector<std::unique_ptr<Connection>> Old; // Closed after unlocking.
    std::lock_guard<std::mutex> Lock(m_mutex);
    while (!m_idle.empty()) {
      std::unique_ptr<Connection> Conn = std::move(m_idle.back());
      m_idle.pop_back();
      if (Now - Conn->m_idleSince <= MaxIdle)
        return Conn;
      Old.push_back(std::move(Conn));
    }
    return nullptr;
  }

  /// Keeps the connection for later or closes it. After silence every idle
  /// connection is closed, because all of them may be silent.
  void settle(std::unique_ptr<Connection> Conn, const HttpCall &Call,
              const HttpReply &Reply) {
    std::vector<std::unique_ptr<Connection>> Old;
    std::lock_guard<std::mutex> Lock(m_mutex);
    if (Reply.m_failure == HttpFailure::Timeout)
      Old.swap(m_idle);
    if (Reply.m_failure || !Call.m_repeatable ||
        Conn->m_http.is_socket_open() == 0 ||
        m_idle.size() >= MaxIdleConnections)
      return;
    Conn->m_idleSince = std::chrono::steady_clock::now();
    m_idle.push_back(std::move(Conn));
  }

  static httplib::Request makeRequest(const HttpCall &Call,
                                      const BodySink &Body, HttpReply &Reply) {
    httplib::Request Request;
    Request.method = Call.m_method;
    Request.path = Call.m_path;
    for (const auto &[Name, Value] : Call.m_headers)
      Request.headers.emplace(Name, Value);
    Request.body = Call.m_body;
    if (!Call.m_body.empty() && !Call.m_contentType.empty())
      Request.set_header("Content-Type", Call.m_contentType);
    Request.response_handler = [&Reply](const httplib::Response &Response) {
      Reply.m_status = Response.status;
      Reply.m_contentType = Response.get_header_value("Content-Type");
      Reply.m_headers.assign(Response.headers.begin(), Response.headers.end());
      return true;
    };
    Request.content_receiver = [&Reply, &Body](const char *Data, std::size_t N,
                                               std::uint64_t /*Offset*/,
                                               std::uint64_t /*Total*/) {
      if (Body && Reply.m_status == 200)
        return Body(std::string_view(Data, N));
      Reply.m_body.append(Data, N);
      return true;
    };
    return Request;
  }

  HttpReply attempt(Connection &Conn, const HttpCall &Call,
                    const BodySink &Body, const std::atomic<bool> *Stop,
                    std::optional<TimePoint> Deadline) {
    HttpReply Reply;
    if (Stop != nullptr && Stop->load())
      return failed(HttpFailure::Cancelled, "stopped before it was sent");
    WatchedCall Watched;
    Watched.m_stop = Stop;
    Watched.m_deadline = Deadline;
    Milliseconds Silence = Call.m_silence;
    if (Call.m_timeout)
      Silence = std::min(Silence, *Call.m_timeout);
    Conn.m_http.set_connection_timeout(std::min(ConnectTimeout, Silence));
    Conn.m_http.set_read_timeout(Silence);
    Conn.m_http.set_write_timeout(Silence);
    Conn.m_http.set_keep_alive(Call.m_repeatable);
    Conn.m_http.set_tcp_nodelay(true);
    Conn.m_http.set_url_encode(false);
    // Replaces the library's default options, which are meant for servers.
    Conn.m_http.set_socket_options([this, &Watched](socket_t Socket) {
      m_watch->attach(Watched, Socket);
    });
    if (Conn.m_http.is_socket_open() != 0)
      m_watch->attach(Watched, Conn.m_http.socket());
    m_watch->add(Watched);
    const TimePoint Start = std::chrono::steady_clock::now();
    const httplib::Result Sent =
        Conn.m_http.send(makeRequest(Call, Body, Reply));
    m_watch->remove(Watched);
    // A call that the watch ended looks to the library as if its server had
    // closed the connection.
    const bool EndedHere = Watched.m_expired || Watched.m_stopped;
    if (!Sent || (EndedHere && endsWithConnection(Reply)))
      explain(Reply, Sent.error(), Watched, Silence,
              std::chrono::steady_clock::now() - Start);
    else if (!isFinalStatus(static_cast<unsigned>(Reply.m_status)))
      refuseStatus(Reply);
    return Reply;
  }

  /// Turns a reply with an invalid status into a broken one: the call may have
  /// run.
  static void refuseStatus(HttpReply &Reply) {
    Reply.m_failure = HttpFailure::Broken;
    Reply.m_detail =
        "the answer has the invalid status " + std::to_string(Reply.m_status);
    Reply.m_body.clear();
  }

  static void explain(HttpReply &Reply, httplib::Error Failure,
                      const WatchedCall &Watched, Milliseconds Silence,
                      Duration Taken) {
    Reply.m_detail = Failure == httplib::Error::Success
                         ? "ended before the end of the answer"
                         : httplib::to_string(Failure);
    // The library connects before it writes, so a connection that was never
    // made sent nothing. A failed write may have sent a part.
    if (Watched.m_stopped || Failure == httplib::Error::Canceled)
      Reply.m_failure = HttpFailure::Cancelled;
    else if (Failure == httplib::Error::Connection ||
             Failure == httplib::Error::ConnectionTimeout ||
             Failure == httplib::Error::BindIPAddress)
      Reply.m_failure = HttpFailure::NotSent;
    else if (Watched.m_expired || Taken >= Silence)
      Reply.m_failure = HttpFailure::Timeout;
    else
      Reply.m_failure = HttpFailure::Broken;
  }

  const std::string m_host;
  const int m_port;
  const std::shared_ptr<SocketWatch> m_watch;
  std::mutex m_mutex;
  std::vector<std::unique_ptr<Connection>> m_idle; ///< Guarded by m_mutex.
};

} // namespace

Result<std::unique_ptr<HttpClient>>
createHttpClient(const std::string &BaseUrl) {
  const std::string Scheme = "http://";
  const std::size_t Colon = BaseUrl.rfind(':');
  const Error Bad =
      makeError(ErrorKind::InvalidArgument,
                "'" + BaseUrl + "' is no base URL; write http://IP:PORT");
  if (BaseUrl.rfind(Scheme, 0) != 0 || Colon <= Scheme.size())
    return Bad;
  std::string PortText = BaseUrl.substr(Colon + 1);
  if (!PortText.empty() && PortText.back() == '/')
    PortText.pop_back();
  if (PortText.empty() || PortText.size() > 5 ||
      PortText.find_first_not_of("0123456789") != std::string::npos)
    return Bad;
  const int Port = std::stoi(PortText);
  const std::string Host = BaseUrl.substr(Scheme.size(), Colon - Scheme.size());
  if (Port < 1 || Port > 65535 || Host.find('/') != std::string::npos)
    return Bad;
  return std::unique_ptr<HttpClient>(new PooledHttpClient(Host, Port));
}

std::string HttpReply::header(const std::string &Name) const {
  for (const auto &[Key, Value] : m_headers)
    if (::strcasecmp(Key.c_str(), Name.c_str()) == 0)
      return Value;
  return {};
}

bool saysNotRun(const HttpReply &Reply) {
  const nlohmann::json Body = parseLimited(Reply.m_body);
  if (!Body.is_object())
    return false;
  const auto Found = Body.find("not_run");
  return Found != Body.end() && Found->is_boolean() && Found->get<bool>();
}

} // namespace primroseworks::pvt
