// Tests of what a service's answer says of a call that failed.
#include "primroseworks/httpserver.h"
#include "primroseworks/service.h"

#include <gtest/gtest.h>

namespace primroseworks {
namespace {

/// What a client is told of a call that a service answers so.
ServiceResult resultOf(int Status, const std::string &Body) {
  const HttpHandler Answer = [&](const HttpRequest &, HttpResponse &Response) {
    Response.m_status = Status;
    Response.m_body = Body;
  };
  const auto Server = std::move(createHttpServer({}, Answer)).value();
  const std::string Url = "http://127.0.0.1:" + std::to_string(Server->port());
  const auto Client = std::move(createHttpServiceClient(Url)).value();
  ServiceRequest Call;
  Call.m_method = "POST";
  Call.m_path = "/book";
  return Client->call(Call, Milliseconds(2000));
}

} // namespace

// Guards against a call that ran and is reported as not run (REFUSED): only the
// service's statement says so, not a status that is usual for a refusal.
TEST(HttpServiceClient, StatusAloneDoesNotSayThatACallDidNotRun) {
  for (const int Status : {408, 429, 503}) {
    const ServiceResult Result = resultOf(Status, "{\"error\":\"no ledger\"}");
    ASSERT_TRUE(Result.m_response) << Status << Result.m_detail;
    EXPECT_EQ(Result.m_response->m_status, Status);
  }
  EXPECT_EQ(resultOf(503, "{\"not_run\":true}").m_failure,
            CallFailure::Refused);
}

} // namespace primroseworks
