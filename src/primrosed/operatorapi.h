// The port for operators: health, metrics, state, explanations, drain and
// configuration. Everything but health needs the bearer token.
#ifndef PRIMROSED_OPERATORAPI_H
#define PRIMROSED_OPERATORAPI_H

#include "primrosed/context.h"
#include "primroseworks/httpserver.h"

#include <functional>
#include <memory>
#include <vector>

namespace primroseworks {

/// One path of the operator port.
struct OperatorRoute {
  std::string m_method;
  std::string m_path; ///< A path that ends with '/' matches its subpaths.
  std::function<void(const HttpRequest &, HttpResponse &)> m_handler;
};

class OperatorApi {
public:
  OperatorApi(DaemonContext &Context, std::vector<OperatorRoute> Routes)
      : m_context(Context), m_routes(std::move(Routes)) {}

  Result<void> start();
  void stop() { m_server->stop(); }
  std::uint16_t port() const { return m_server->port(); }

  void handle(const HttpRequest &Req, HttpResponse &Res) const;

private:
  bool authorized(const HttpRequest &Req) const;

  DaemonContext &m_context;
  std::vector<OperatorRoute> m_routes;
  std::unique_ptr<HttpServer> m_server;
};

/// Fills an answer with an error of the operator port.
void answerError(int Status, const Error &Why, HttpResponse &Res);

} // namespace primroseworks

#endif
