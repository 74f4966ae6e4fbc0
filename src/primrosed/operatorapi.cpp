// The port for operators.
#include "primrosed/operatorapi.h"

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

namespace primroseworks {

namespace {

// Operators are few; a small bound keeps strangers from taking memory.
constexpr unsigned MaxOperatorConnections = 32;
constexpr std::size_t MaxDocumentBytes = 2 << 20;

bool equalSecrets(const std::string &A, const std::string &B) {
  return A.size() == B.size() &&
         CRYPTO_memcmp(A.data(), B.data(), A.size()) == 0;
}

bool matches(const OperatorRoute &Route, const HttpRequest &Req) {
  if (Route.m_method != Req.m_method)
    return false;
  if (Route.m_path.back() == '/')
    return Req.m_path.compare(0, Route.m_path.size(), Route.m_path) == 0;
  return Route.m_path == Req.m_path;
}

} // namespace

void answerError(int Status, const Error &Why, HttpResponse &Res) {
  Res.m_status = Status;
  Res.m_body =
      nlohmann::json{{"error", nameOf(ErrorKindNames, Why.m_kind)},
                     {"message", Why.m_message}}
          .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<void> OperatorApi::start() {
  const Settings &S = m_context.m_settings;
  HttpServerOptions Options;
  Options.m_address = S.m_operatorListen.m_host;
  Options.m_port = S.m_operatorListen.m_port;
  Options.m_maxConnections = MaxOperatorConnections;
  Options.m_maxBodyBytes = MaxDocumentBytes;
  Options.m_certificateFile = S.m_operatorCertificate;
  Options.m_keyFile = S.m_operatorKey;
  BOOST_OUTCOME_TRY(Server,
                    createHttpServer(Options, [this](const HttpRequest &Req,
                                                     HttpResponse &Res) {
                      handle(Req, Res);
                    }));
  m_server = std::move(Server);
  return boost::outcome_v2::success();
}

bool OperatorApi::authorized(const HttpRequest &Req) const {
  return equalSecrets(Req.header("Authorization"),
                      "Bearer " + m_context.m_settings.m_operatorToken);
}

void OperatorApi::handle(const HttpRequest &Req, HttpResponse &Res) const {
  if (Req.m_path == "/healthz") {
    Res.m_body = R"({"status":"ok"})";
    return;
  }
  if (Req.m_path == "/readyz") {
    bool Ready = m_context.ready();
    Res.m_status = Ready ? 200 : 503;
    Res.m_body = Ready ? R"({"ready":true})" : R"({"ready":false})";
    return;
  }
  if (!authorized(Req)) {
    answerError(401,
                makeError(ErrorKind::PermissionDenied,
                          "the operator token is missing or wrong; send "
                          "`Authorization: Bearer TOKEN`"),
                Res);
    return;
  }
  for (const OperatorRoute &Route : m_routes)
    if (matches(Route, Req)) {
      Route.m_handler(Req, Res);
      return;
    }
  answerError(404,
              makeError(ErrorKind::NotFound,
                        "no such path; see docs/operators.md for the list"),
              Res);
}

} // namespace primroseworks
