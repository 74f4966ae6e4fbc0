// Incremental HTTP/1.1 reader.
#include "libgateway/httpmessage.h"
#include "libbase/httpstatus.h"

#include <algorithm>
#include <array>
#include <cstring>

namespace primroseworks::gateway {

namespace {

constexpr std::array<std::string_view, 8> HopByHopHeaders = {
    "connection", "keep-alive",        "proxy-connection", "te",
    "trailer",    "transfer-encoding", "upgrade",          "expect"};

bool listContains(std::string_view List, std::string_view LowerName) {
  while (!List.empty()) {
    std::size_t Comma = List.find(',');
    std::string_view Item = List.substr(0, Comma);
    while (!Item.empty() && Item.front() == ' ')
      Item.remove_prefix(1);
    while (!Item.empty() && Item.back() == ' ')
      Item.remove_suffix(1);
    if (lowerCase(Item) == LowerName)
      return true;
    if (Comma == std::string_view::npos)
      break;
    List.remove_prefix(Comma + 1);
  }
  return false;
}

HttpReader *readerOf(http_parser *P) {
  return static_cast<HttpReader *>(P->data);
}

} // namespace

std::string lowerCase(std::string_view Text) {
  std::string Out(Text);
  for (char &C : Out)
    if (C >= 'A' && C <= 'Z')
      C = static_cast<char>(C - 'A' + 'a');
  return Out;
}

std::string statusLine(unsigned Status) {
  const char *Reason = http_status_str(static_cast<http_status>(Status));
  return "HTTP/1.1 " + std::to_string(Status) + " " + Reason + "\r\n";
}

bool HttpHead::isInterim() const { return pvt::isInterimStatus(m_status); }

const std::string *HttpHead::find(std::string_view LowerName) const {
  for (const HttpHeader &H : m_headers)
    if (H.m_lowerName == LowerName)
      return &H.m_value;
  return nullptr;
}

std::string_view HttpHead::path() const {
  std::string_view Target = m_target;
  return Target.substr(0, Target.find('?'));
}

bool HttpHead::isHopByHop(const HttpHeader &Header) const {
  if (std::find(HopByHopHeaders.begin(), HopByHopHeaders.end(),
                Header.m_lowerName) != HopByHopHeaders.end())
    return true;
  for (const HttpHeader &H : m_headers)
    if (H.m_lowerName == "connection" &&
        listContains(H.m_value, Header.m_lowerName))
      return true;
  return false;
}

HttpReader::HttpReader(HttpRole Role, std::size_t MaxHeadBytes)
    : m_role(Role), m_maxHeadBytes(MaxHeadBytes) {
  reset();
}

void HttpReader::reset() {
  http_parser_init(&m_parser,
                   m_role == HttpRole::Request ? HTTP_REQUEST : HTTP_RESPONSE);
  m_parser.data = this;
  m_head = HttpHead();
  m_body.clear();
  m_headBytes = 0;
  m_tooManyHeaders = false;
  m_inValue = false;
  m_headComplete = false;
  m_complete = false;
}

int HttpReader::onField(http_parser *P, const char *At, std::size_t Size) {
  HttpReader *R = readerOf(P);
  if (R->m_headComplete)
    return 0; // Trailers are ignored.
  std::vector<HttpHeader> &Headers = R->m_head.m_headers;
  if (Headers.empty() || R->m_inValue) {
    if (Headers.size() == MaxHeaders) {
      R->m_tooManyHeaders = true;
      return -1;
    }
    Headers.emplace_back();
  }
  R->m_inValue = false;
  Headers.back().m_name.append(At, Size);
  return 0;
}

int HttpReader::onValue(http_parser *P, const char *At, std::size_t Size) {
  HttpReader *R = readerOf(P);
  if (R->m_headComplete)
    return 0;
  R->m_inValue = true;
  R->m_head.m_headers.back().m_value.append(At, Size);
  return 0;
}

int HttpReader::onTarget(http_parser *P, const char *At, std::size_t Size) {
  readerOf(P)->m_head.m_target.append(At, Size);
  return 0;
}

int HttpReader::onHeadComplete(http_parser *P) {
  HttpReader *R = readerOf(P);
  R->m_headComplete = true;
  HttpHead &Head = R->m_head;
  for (HttpHeader &H : Head.m_headers)
    H.m_lowerName = lowerCase(H.m_name);
  Head.m_chunked = (P->flags & F_CHUNKED) != 0;
  if (!Head.m_chunked && Head.find("content-length"))
    Head.m_length = P->content_length;
  for (const HttpHeader &H : Head.m_headers)
    if (H.m_name.empty() || H.m_name.find(' ') != std::string::npos)
      return -1; // Other parsers may read a different name.
  if (R->m_role == HttpRole::Request) {
    Head.m_method = http_method_str(static_cast<http_method>(P->method));
    if (!Head.m_chunked && Head.find("transfer-encoding"))
      return -1; // Unknown framing would allow request smuggling.
  } else {
    Head.m_status = P->status_code;
    if (!Head.isInterim() && !pvt::isFinalStatus(Head.m_status))
      return -1; // No caller could act on it, and it states no outcome.
  }
  http_parser_pause(P, 1);
  return 0;
}

int HttpReader::onBody(http_parser *P, const char *At, std::size_t Size) {
  readerOf(P)->m_body.append(At, Size);
  return 0;
}

int HttpReader::onComplete(http_parser *P) {
  HttpReader *R = readerOf(P);
  R->m_complete = true;
  R->m_head.m_keepAlive = http_should_keep_alive(P) != 0;
  http_parser_pause(P, 1);
  return 0;
}

const http_parser_settings &HttpReader::settings() {
  static const http_parser_settings Settings = [] {
    http_parser_settings S;
    http_parser_settings_init(&S);
    S.on_header_field = &HttpReader::onField;
    S.on_header_value = &HttpReader::onValue;
    S.on_url = &HttpReader::onTarget;
    S.on_headers_complete = &HttpReader::onHeadComplete;
    S.on_body = &HttpReader::onBody;
    S.on_message_complete = &HttpReader::onComplete;
    return S;
  }();
  return Settings;
}

Result<std::size_t> HttpReader::read(std::string_view Bytes) {
  if (m_complete)
    return std::size_t{0};
  const bool HeadWasComplete = m_headComplete;
  std::size_t Used =
      http_parser_execute(&m_parser, &settings(), Bytes.data(), Bytes.size());
  http_errno Error = HTTP_PARSER_ERRNO(&m_parser);
  if (Error == HPE_PAUSED) {
    http_parser_pause(&m_parser, 0);
    // The pause at the end of the head leaves its last line feed unread.
    if (m_headComplete && !HeadWasComplete && !m_complete &&
        Used < Bytes.size()) {
      Used +=
          http_parser_execute(&m_parser, &settings(), Bytes.data() + Used, 1);
      Error = HTTP_PARSER_ERRNO(&m_parser);
      if (Error == HPE_PAUSED)
        http_parser_pause(&m_parser, 0);
    }
    Error = HTTP_PARSER_ERRNO(&m_parser);
  }
  if (!HeadWasComplete) {
    m_headBytes += Used;
    if (m_headBytes > m_maxHeadBytes)
      return makeError(ErrorKind::Full, "the head of the message exceeds " +
                                            std::to_string(m_maxHeadBytes) +
                                            " bytes; send a shorter head");
  }
  if (m_tooManyHeaders)
    return makeError(ErrorKind::Full, "the message has more than " +
                                          std::to_string(MaxHeaders) +
                                          " headers; send fewer");
  if (Error != HPE_OK || m_parser.upgrade)
    return makeError(
        ErrorKind::Protocol,
        std::string("the received bytes are not a valid HTTP message: ") +
            http_errno_description(Error) + "; close the connection");
  return Used;
}

bool HttpReader::finishAtEnd() {
  if (m_complete)
    return true;
  if (!m_headComplete || m_head.m_chunked || m_head.m_length)
    return false;
  m_complete = m_role == HttpRole::Response;
  m_head.m_keepAlive = false;
  return m_complete;
}

std::size_t HttpReader::memoryBytes() const {
  // Names are kept twice, as received and in lower case.
  return 2 * m_headBytes + m_head.m_headers.capacity() * sizeof(HttpHeader) +
         m_body.capacity();
}

std::string HttpReader::takeBody() {
  std::string Out;
  Out.swap(m_body);
  return Out;
}

} // namespace primroseworks::gateway
