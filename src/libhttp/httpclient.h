// HTTP client over cpp-httplib for the packages that call other processes.
// Adds what the library's client lacks: a bound on the whole call, a way to
// stop a call whose peer is silent, a pool with a bounded idle time, and an
// exact answer to the question whether anything was sent.
#ifndef PRIMROSEWORKS_LIBHTTP_HTTPCLIENT_H
#define PRIMROSEWORKS_LIBHTTP_HTTPCLIENT_H

#include "primroseworks/error.h"
#include "primroseworks/time.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace primroseworks::pvt {

/// Longest wait for a connection. The first retransmission of a lost SYN comes
/// after 1 s; another endpoint answers sooner than a second attempt here.
inline constexpr Milliseconds ConnectTimeout{1000};

/// A pooled connection idle for longer is closed instead of reused. Servers
/// close idle connections after 5 s; the margin keeps a reused connection from
/// being closed by the server while a request is on its way.
inline constexpr Milliseconds MaxIdle{1000};

/// Most idle connections kept to one address.
inline constexpr std::size_t MaxIdleConnections = 8;

struct HttpCall {
  std::string m_method = "GET";
  std::string m_path = "/"; ///< Sent as it is, without further encoding.
  std::vector<std::pair<std::string, std::string>> m_headers;
  std::string m_body;
  std::string m_contentType = "application/json";
  /// Bound on the whole call; none for a stream.
  std::optional<Milliseconds> m_timeout;
  /// Longest time without a byte from the peer.
  Milliseconds m_silence{4000};
  /// The call may run twice without harm. Only such a call uses a pooled
  /// connection, and it is sent again if that connection proves to be stale.
  bool m_repeatable = false;
};

/// Why no whole answer came.
enum class HttpFailure {
  NotSent, ///< No byte of the call was sent.
  Timeout, ///< Silence or the bound on the call; it may have run.
  Broken,  ///< The connection broke, or the status is invalid; it may have run.
  Cancelled ///< Stop, or the receiver of the body returned false.
};

/// An answer. Without m_failure it is whole.
struct HttpReply {
  std::optional<HttpFailure> m_failure;
  std::string m_detail;
  int m_status = 0; ///< 0 if no status line came.
  std::string m_contentType;
  std::string m_body; ///< Empty if it went to a receiver.
  std::vector<std::pair<std::string, std::string>> m_headers;
  /// Value of a header, any case; empty if absent.
  std::string header(const std::string &Name) const;
};

/// Receives the body of a 200 answer in pieces; false ends the call.
using BodySink = std::function<bool(std::string_view)>;

/// Calls to one address. Safe from several threads.
class HttpClient {
public:
  virtual ~HttpClient() = default;
  /// Body, if given, receives the body of an answer with status 200. The call
  /// ends within 50 ms after *Stop becomes true.
  virtual HttpReply call(const HttpCall &Call, const BodySink &Body = nullptr,
                         const std::atomic<bool> *Stop = nullptr) = 0;
};

/// Client of "http://HOST:PORT"; InvalidArgument for anything else.
Result<std::unique_ptr<HttpClient>>
createHttpClient(const std::string &BaseUrl);

/// Whether a JSON answer says that the request was not run.
bool saysNotRun(const HttpReply &Reply);

} // namespace primroseworks::pvt

#endif
