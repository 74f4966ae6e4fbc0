// What a caller is told about its request.
#include "primrosed/outcome.h"

#include "primrosed/openai.h"

#include <algorithm>

namespace primroseworks {

namespace {

const char *errorType(int Status) {
  if (Status == 429)
    return "rate_limit_error";
  if (Status == 401 || Status == 403)
    return "authentication_error";
  return Status < 500 ? "invalid_request_error" : "server_error";
}

} // namespace

void answerFailure(const Failure &Why, HttpResponse &Res) {
  Res.m_status = Why.m_status;
  Res.m_contentType = "application/json";
  Res.m_body =
      openai::errorBody(Why.m_message, errorType(Why.m_status), Why.m_code);
  Res.m_headers["X-Primrose-Outcome"] =
      std::string(nameOf(OutcomeNames, Why.m_outcome));
  if (Why.m_status != 429 && Why.m_status != 503)
    return;
  long Seconds = (Why.m_retryAfter.count() + 999) / 1000;
  Res.m_headers["Retry-After"] = std::to_string(std::max(1L, Seconds));
}

void setOutcome(Outcome Value, const std::string &RequestId,
                HttpResponse &Res) {
  Res.m_headers["X-Primrose-Outcome"] =
      std::string(nameOf(OutcomeNames, Value));
  Res.m_headers["X-Request-Id"] = RequestId;
}

} // namespace primroseworks
