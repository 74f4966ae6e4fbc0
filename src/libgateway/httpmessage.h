// HTTP/1.1 messages: message heads, and an incremental reader based on
// http_parser.
#ifndef PRIMROSEWORKS_LIBGATEWAY_HTTPMESSAGE_H
#define PRIMROSEWORKS_LIBGATEWAY_HTTPMESSAGE_H

#include "primroseworks/error.h"

#include <http_parser.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace primroseworks::gateway {

struct HttpHeader {
  std::string m_name;
  std::string m_lowerName;
  std::string m_value;
};

/// Start line and headers of a message.
struct HttpHead {
  std::string m_method;
  std::string m_target; ///< Path and query as received.
  unsigned m_status = 0;
  std::vector<HttpHeader> m_headers;
  bool m_keepAlive = false;
  /// Content-Length of the body, if stated.
  std::optional<std::uint64_t> m_length;
  bool m_chunked = false;

  /// Whether a response has a 2xx status.
  bool isSuccess() const { return m_status >= 200 && m_status < 300; }
  /// Whether a response has a 1xx status: another one follows.
  bool isInterim() const;
  /// Value of the first header with this lower-case name; null if absent.
  const std::string *find(std::string_view LowerName) const;
  /// Request target without its query.
  std::string_view path() const;
  /// Whether the header is valid for a single connection only: a standard
  /// hop-by-hop header or one named by the Connection header.
  bool isHopByHop(const HttpHeader &Header) const;
};

enum class HttpRole { Request, Response };

/// Most headers of a message. Each costs far more memory than the few bytes
/// that it may have.
inline constexpr std::size_t MaxHeaders = 1000;

/// Reads consecutive messages from a byte stream.
class HttpReader {
public:
  /// MaxHeadBytes limits the size of the start line and headers.
  HttpReader(HttpRole Role, std::size_t MaxHeadBytes);
  HttpReader(const HttpReader &) = delete;
  HttpReader &operator=(const HttpReader &) = delete;

  /// Consumes the bytes that belong to the current message and returns their
  /// number. Stops at the end of the head and at the end of the message. Fails
  /// with Protocol for bytes that are not an HTTP message or a response whose
  /// status is not from 100 to 599, with Full for a head over the limit or with
  /// more than MaxHeaders.
  Result<std::size_t> read(std::string_view Bytes);
  /// To be called at the end of the connection. Returns whether that completes
  /// the message.
  bool finishAtEnd();

  bool headComplete() const { return m_headComplete; }
  bool complete() const { return m_complete; }
  /// Whether any byte of the current message was read.
  bool started() const { return m_headBytes > 0; }
  const HttpHead &head() const { return m_head; }
  /// Returns the body bytes read so far and removes them from the reader.
  std::string takeBody();
  std::size_t bodySize() const { return m_body.size(); }
  /// Memory of the head and of the body bytes that were not taken.
  std::size_t memoryBytes() const;
  /// Prepares for the next message of the connection.
  void reset();
  /// Limits the heads of messages from now on.
  void setMaxHeadBytes(std::size_t Bytes) { m_maxHeadBytes = Bytes; }

private:
  static int onField(http_parser *P, const char *At, std::size_t Size);
  static int onValue(http_parser *P, const char *At, std::size_t Size);
  static int onTarget(http_parser *P, const char *At, std::size_t Size);
  static int onHeadComplete(http_parser *P);
  static int onBody(http_parser *P, const char *At, std::size_t Size);
  static int onComplete(http_parser *P);
  static const http_parser_settings &settings();

  HttpRole m_role;
  std::size_t m_maxHeadBytes;
  http_parser m_parser;
  HttpHead m_head;
  std::string m_body;
  std::size_t m_headBytes = 0; ///< Bytes read of the current head.
  bool m_tooManyHeaders = false;
  bool m_inValue = false; ///< The last header fragment was a value.
  bool m_headComplete = false;
  bool m_complete = false;
};

/// Returns a lower-case copy of ASCII text.
std::string lowerCase(std::string_view Text);

/// Returns the status line, for example
/// "HTTP/1.1 503 Service Unavailable\r\n".
std::string statusLine(unsigned Status);

} // namespace primroseworks::gateway

#endif
