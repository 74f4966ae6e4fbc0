// Forwards calls to plain services: repeatable ones may be tried again on
// another instance, others run at most once.
#ifndef PRIMROSED_SERVICECALLS_H
#define PRIMROSED_SERVICECALLS_H

#include "primrosed/context.h"
#include "primrosed/fleet.h"
#include "primrosed/idempotency.h"
#include "primrosed/outcome.h"
#include "primroseworks/httpserver.h"

namespace primroseworks {

class ServiceCalls {
public:
  ServiceCalls(DaemonContext &Context, Fleet &Endpoints, Idempotency &Keys)
      : m_context(Context), m_fleet(Endpoints), m_keys(Keys) {}

  /// Serves /v1/services/NAME/REST. Key: the Idempotency-Key, may be empty.
  void call(const HttpRequest &Req, const std::string &RequestId,
            const std::string &Key, HttpResponse &Res);

private:
  struct Forward;
  KeyedResult forward(const Forward &Call, const BeforeSend &Claim);

  DaemonContext &m_context;
  Fleet &m_fleet;
  Idempotency &m_keys;
};

/// Whether a call may be run twice, by the routes of its service.
bool isRepeatable(const ServiceSpec &Service, const std::string &Method,
                  const std::string &Path);

} // namespace primroseworks

#endif
