// HTTP server over httplib.
#include "primroseworks/httpserver.h"

#include "libhttp/connectionpool.h"

#include <algorithm>
#include <httplib.h>
#include <strings.h>
#include <sys/socket.h>
#include <thread>

namespace primroseworks {

namespace {

// httplib listens with a backlog of 5: 400 clients at once lost up to 21 of
// 4,000 answers. A second listen() on the bound socket raises the backlog.
constexpr int ListenBacklog = 1024;

// Connections over the bound are answered by these threads.
constexpr unsigned OverloadThreads = 8;

// Longer paths are refused before httplib matches them with std::regex, whose
// recursion grows with the length.
constexpr std::size_t MaxPathBytes = 2048;

/// Hands httplib's connection tasks to the pool, which outlives it.
class PoolQueue : public httplib::TaskQueue {
public:
  explicit PoolQueue(std::shared_ptr<pvt::ConnectionPool> Pool)
      : m_pool(std::move(Pool)) {}
  void enqueue(std::function<void()> Task) override {
    m_pool->submit(std::move(Task));
  }
  void shutdown() override { m_pool->shutdown(); }

private:
  std::shared_ptr<pvt::ConnectionPool> m_pool;
};

class SinkStream : public HttpStream {
public:
  explicit SinkStream(httplib::DataSink &Sink) : m_sink(Sink) {}
  bool write(std::string_view Data) override {
    return m_sink.write(Data.data(), Data.size());
  }
  bool writable() override { return m_sink.is_writable(); }

private:
  httplib::DataSink &m_sink;
};

HttpRequest convertRequest(const httplib::Request &From) {
  HttpRequest To;
  To.m_method = From.method;
  To.m_path = From.path;
  To.m_target = From.target;
  for (const auto &[Name, Value] : From.params)
    To.m_query.emplace(Name, Value);
  for (const auto &[Name, Value] : From.headers)
    To.m_headers.emplace(Name, Value);
  To.m_body = From.body;
  To.m_remoteAddress = From.remote_addr;
  return To;
}

void convertHead(const HttpResponse &From, httplib::Response &To) {
  To.status = From.m_status;
  for (const auto &[Name, Value] : From.m_headers)
    To.set_header(Name, Value);
}

void convertResponse(HttpResponse From, httplib::Response &To) {
  convertHead(From, To);
  if (!From.m_stream) {
    To.set_content(From.m_body, From.m_contentType);
    return;
  }
  To.set_chunked_content_provider(
      From.m_contentType,
      [Write = std::move(From.m_stream)](std::size_t, httplib::DataSink &Sink) {
        SinkStream Stream(Sink);
        if (!Write(Stream))
          return false;
        Sink.done();
        return true;
      });
}

class HttplibServer : public HttpServer {
public:
  HttplibServer(HttpServerOptions Options, HttpHandler Handler)
      : m_options(std::move(Options)), m_handler(std::move(Handler)),
        m_pool(std::make_shared<pvt::ConnectionPool>(m_options.m_maxConnections,
                                                     OverloadThreads)) {}
  ~HttplibServer() override { stop(); }

  Result<void> start() {
    if (m_options.m_certificateFile.empty() != m_options.m_keyFile.empty())
      return makeError(ErrorKind::InvalidArgument,
                       "only one of certificate and key file is set; set both "
                       "or neither");
    if (m_options.m_certificateFile.empty())
      m_server = std::make_unique<httplib::Server>();
    else
      m_server = std::make_unique<httplib::SSLServer>(
          m_options.m_certificateFile.c_str(), m_options.m_keyFile.c_str());
    if (!m_server->is_valid())
      return makeError(ErrorKind::InvalidArgument,
                       "cannot load certificate " +
                           m_options.m_certificateFile + " with key " +
                           m_options.m_keyFile +
                           "; check that both are readable PEM files");
    configure();
    BOOST_OUTCOME_TRYV(bindSocket());
    m_thread = std::thread([this] {
      m_server->listen_after_bind();
      m_listenEnded = true;
    });
    return boost::outcome_v2::success();
  }

  std::uint16_t port() const override { return m_port; }
  unsigned connections() const override { return m_pool->active(); }

  void stop() override {
    if (!m_thread.joinable())
      return;
    // stop() has no effect before the accept loop runs.
    while (!m_server->is_running() && !m_listenEnded)
      std::this_thread::sleep_for(Milliseconds(1));
    m_server->stop();
    m_thread.join();
  }

private:
  void configure() {
    httplib::Server &S = *m_server;
    S.new_task_queue = [this] { return new PoolQueue(m_pool); };
    S.set_tcp_nodelay(true);
    S.set_read_timeout(m_options.m_readTimeout);
    S.set_write_timeout(m_options.m_writeTimeout);
    S.set_keep_alive_timeout(m_options.m_keepAlive.count());
    S.set_keep_alive_max_count(m_options.m_keepAliveRequests);
    S.set_payload_max_length(m_options.m_maxBodyBytes);
    // SO_REUSEADDR only: with httplib's default SO_REUSEPORT a port that is
    // taken would not be noticed.
    S.set_socket_options([this](socket_t Socket) {
      int Yes = 1;
      setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Yes, sizeof Yes);
      m_socket = Socket;
    });
    S.set_pre_routing_handler(
        [this](const httplib::Request &Req, httplib::Response &Res) {
          return beforeRouting(Req, Res);
        });
    auto Serve = [this](const httplib::Request &Req, httplib::Response &Res) {
      serve(Req, Res);
    };
    const char *Any = ".*";
    S.Get(Any, Serve).Post(Any, Serve).Put(Any, Serve);
    S.Patch(Any, Serve).Delete(Any, Serve).Options(Any, Serve);
    S.set_error_handler(httplib::Server::HandlerWithResponse(
        [this](const httplib::Request &Req, httplib::Response &Res) {
          return onError(Req, Res);
        }));
  }

  using Handled = httplib::Server::HandlerResponse;

  Handled onError(const httplib::Request &Req, httplib::Response &Res) {
    bool Answered = !Res.body.empty() || Res.content_provider_;
    if (Answered || !m_options.m_onProtocolError)
      return Handled::Unhandled;
    HttpResponse Out;
    Out.m_status = Res.status;
    m_options.m_onProtocolError(convertRequest(Req), Out);
    convertResponse(std::move(Out), Res);
    return Handled::Handled;
  }

  static Handled beforeRouting(const httplib::Request &Req,
                               httplib::Response &Res) {
    if (Req.path.size() <= MaxPathBytes)
      return Handled::Unhandled;
    Res.status = 414;
    return Handled::Handled;
  }

  void serve(const httplib::Request &Req, httplib::Response &Res) {
    HttpResponse Out;
    if (pvt::ConnectionPool::onOverloadThread()) {
      refuse(convertRequest(Req), Out, Res);
      return;
    }
    m_handler(convertRequest(Req), Out);
    convertResponse(std::move(Out), Res);
  }

  /// Answers a connection over the bound and closes it. The request's body has
  /// been read by now: closing with unread data would reset the connection and
  /// could lose the answer.
  void refuse(const HttpRequest &Req, HttpResponse &Out,
              httplib::Response &Res) {
    Out.m_status = 503;
    Out.m_body = "{}";
    if (m_options.m_onOverload)
      m_options.m_onOverload(Req, Out);
    std::string Body = Out.m_body;
    convertHead(Out, Res);
    Res.set_header("Connection", "close");
    // httplib closes the connection when a content provider fails; by then the
    // whole body has been sent.
    Res.set_content_provider(
        Body.size(), Out.m_contentType,
        [Body](std::size_t, std::size_t, httplib::DataSink &Sink) {
          Sink.write(Body.data(), Body.size());
          return false;
        });
  }

  Result<void> bindSocket() {
    const std::string &Address = m_options.m_address;
    int Bound = m_options.m_port;
    bool Ok = true;
    if (Bound == 0) {
      Bound = m_server->bind_to_any_port(Address);
      Ok = Bound > 0;
    } else {
      Ok = m_server->bind_to_port(Address, Bound);
    }
    if (!Ok)
      return makeError(ErrorKind::Unavailable,
                       "cannot listen on " + Address + ":" +
                           std::to_string(m_options.m_port) +
                           "; the port is taken or the address is not of this "
                           "machine; choose another port");
    m_port = static_cast<std::uint16_t>(Bound);
    ::listen(m_socket, ListenBacklog);
    return boost::outcome_v2::success();
  }

  HttpServerOptions m_options;
  HttpHandler m_handler;
  std::shared_ptr<pvt::ConnectionPool> m_pool;
  std::unique_ptr<httplib::Server> m_server;
  std::thread m_thread;
  std::atomic<bool> m_listenEnded{false};
  int m_socket = -1;
  std::uint16_t m_port = 0;
};

} // namespace

bool CaseInsensitiveLess::operator()(const std::string &A,
                                     const std::string &B) const {
  return strcasecmp(A.c_str(), B.c_str()) < 0;
}

const std::string &HttpRequest::header(const std::string &Name) const {
  static const std::string Empty;
  auto It = m_headers.find(Name);
  return It == m_headers.end() ? Empty : It->second;
}

Result<std::unique_ptr<HttpServer>> createHttpServer(HttpServerOptions Options,
                                                     HttpHandler Handler) {
  auto Server =
      std::make_unique<HttplibServer>(std::move(Options), std::move(Handler));
  BOOST_OUTCOME_TRYV(Server->start());
  return std::unique_ptr<HttpServer>(std::move(Server));
}

} // namespace primroseworks
