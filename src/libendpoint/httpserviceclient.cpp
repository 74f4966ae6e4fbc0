// Client of one instance of a plain service over HTTP.
#include "libhttp/httpclient.h"
#include "primroseworks/service.h"

#include <algorithm>
#include <array>
#include <strings.h>

namespace primroseworks {
namespace {

/// Headers that belong to one connection or are set anew here. Bodies are
/// passed on as they come, so the caller's encodings are not offered either.
constexpr std::array<const char *, 16> OwnHeaders = {"Connection",
                                                     "Keep-Alive",
                                                     "Proxy-Authenticate",
                                                     "TE",
                                                     "Proxy-Authorization",
                                                     "Trailer",
                                                     "Upgrade",
                                                     "Transfer-Encoding",
                                                     "Content-Length",
                                                     "Host",
                                                     "Expect",
                                                     "Accept-Encoding",
                                                     "Content-Type",
                                                     "X-Request-Id",
                                                     "Idempotency-Key",
                                                     "Proxy-Connection"};

bool isOwn(const std::string &Name) {
  return std::any_of(
      OwnHeaders.begin(), OwnHeaders.end(),
      [&](const char *Own) { return ::strcasecmp(Own, Name.c_str()) == 0; });
}

bool isSafeMethod(const std::string &Method) {
  return Method == "GET" || Method == "HEAD" || Method == "OPTIONS";
}

pvt::HttpCall callFor(const ServiceRequest &Request, Milliseconds Timeout) {
  pvt::HttpCall Call;
  Call.m_method = Request.m_method;
  Call.m_path = Request.m_path;
  Call.m_body = Request.m_body;
  Call.m_contentType.clear();
  for (const auto &Header : Request.m_headers)
    if (!isOwn(Header.first))
      Call.m_headers.push_back(Header);
    else if (::strcasecmp("Content-Type", Header.first.c_str()) == 0)
      Call.m_contentType = Header.second;
  if (!Request.m_requestId.empty())
    Call.m_headers.emplace_back("X-Request-Id", Request.m_requestId);
  if (!Request.m_idempotencyKey.empty())
    Call.m_headers.emplace_back("Idempotency-Key", Request.m_idempotencyKey);
  Call.m_timeout = Timeout;
  Call.m_silence = Timeout;
  // Every other call gets a connection of its own: the failure of a stale one
  // could not be told from a call that ran.
  Call.m_repeatable =
      isSafeMethod(Request.m_method) && Request.m_idempotencyKey.empty();
  return Call;
}

class HttpServiceClient final : public ServiceClient {
public:
  explicit HttpServiceClient(std::unique_ptr<pvt::HttpClient> Http)
      : m_http(std::move(Http)) {}

  ServiceResult call(const ServiceRequest &Request,
                     Milliseconds Timeout) override {
    pvt::HttpReply Reply = m_http->call(callFor(Request, Timeout));
    ServiceResult Out;
    Out.m_detail = Reply.m_detail;
    if (Reply.m_failure == pvt::HttpFailure::NotSent) {
      Out.m_failure = CallFailure::NotSent;
    } else if (Reply.m_failure) {
      Out.m_failure = CallFailure::Unknown;
    } else if (Reply.m_status == 503 && pvt::saysNotRun(Reply)) {
      Out.m_failure = CallFailure::Refused;
      Out.m_detail = "the service answered 503 with not_run";
    } else {
      Out.m_response =
          ServiceResponse{Reply.m_status, std::move(Reply.m_contentType),
                          std::move(Reply.m_body)};
    }
    return Out;
  }

private:
  const std::unique_ptr<pvt::HttpClient> m_http;
};

} // namespace

Result<std::unique_ptr<ServiceClient>>
createHttpServiceClient(const std::string &BaseUrl) {
  BOOST_OUTCOME_TRY(Http, pvt::createHttpClient(BaseUrl));
  return std::unique_ptr<ServiceClient>(new HttpServiceClient(std::move(Http)));
}

} // namespace primroseworks
