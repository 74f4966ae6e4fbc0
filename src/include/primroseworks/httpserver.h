// HTTP server: the only part of the project that includes httplib's server.
// One thread per connection, a bound on open connections, a large listen
// backlog, and streamed answers.
#ifndef PRIMROSEWORKS_HTTPSERVER_H
#define PRIMROSEWORKS_HTTPSERVER_H

#include "primroseworks/error.h"
#include "primroseworks/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace primroseworks {

/// Orders header names without regard to case.
struct CaseInsensitiveLess {
  bool operator()(const std::string &A, const std::string &B) const;
};
using HeaderMap = std::map<std::string, std::string, CaseInsensitiveLess>;

/// A request with its whole body.
struct HttpRequest {
  std::string m_method;
  std::string m_path;   ///< Decoded, without the query.
  std::string m_target; ///< As sent, with the query.
  std::map<std::string, std::string> m_query;
  HeaderMap m_headers;
  std::string m_body;
  std::string m_remoteAddress;

  /// Value of a header; empty if absent.
  const std::string &header(const std::string &Name) const;
};

/// Where a streamed answer is written to.
class HttpStream {
public:
  virtual ~HttpStream() = default;
  /// False: the connection is gone.
  virtual bool write(std::string_view Data) = 0;
  /// Whether the other side still takes data.
  virtual bool writable() = 0;
};

/// An answer: a body, or a function that writes it piece by piece. A streamed
/// answer whose function returns false is cut, not ended, so that the client
/// sees that it is incomplete.
struct HttpResponse {
  int m_status = 200;
  std::string m_contentType = "application/json";
  HeaderMap m_headers;
  std::string m_body;
  std::function<bool(HttpStream &)> m_stream;
};

using HttpHandler = std::function<void(const HttpRequest &, HttpResponse &)>;

struct HttpServerOptions {
  std::string m_address = "127.0.0.1";
  std::uint16_t m_port = 0;         ///< 0: any free port.
  unsigned m_maxConnections = 1200; ///< One thread each.
  std::size_t m_maxBodyBytes = 1 << 20;
  Seconds m_readTimeout{5};
  Seconds m_writeTimeout{10};
  Seconds m_keepAlive{5}; ///< How long an idle connection keeps its thread.
  unsigned m_keepAliveRequests = 1000;
  std::string m_certificateFile; ///< TLS if both files are set.
  std::string m_keyFile;
  /// Answers requests over m_maxConnections; without it they get 503.
  HttpHandler m_onOverload;
  /// Adds headers and a body to answers that httplib makes itself (bad syntax,
  /// body too large).
  HttpHandler m_onProtocolError;
};

/// Serves from create() until stop().
class HttpServer {
public:
  virtual ~HttpServer() = default;
  virtual std::uint16_t port() const = 0;
  /// Connections that have a thread now.
  virtual unsigned connections() const = 0;
  /// Stops accepting; returns when every request in progress has ended.
  virtual void stop() = 0;
};

/// Binds and starts serving. Handler is called on the connection's thread.
/// Fails with Unavailable if the port is taken and InvalidArgument if the
/// certificate or key cannot be read.
Result<std::unique_ptr<HttpServer>> createHttpServer(HttpServerOptions Options,
                                                     HttpHandler Handler);

} // namespace primroseworks

#endif
