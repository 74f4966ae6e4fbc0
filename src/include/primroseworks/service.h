// Plain services beside the engines, behind one abstract interface.
#ifndef PRIMROSEWORKS_SERVICE_H
#define PRIMROSEWORKS_SERVICE_H

#include "primroseworks/error.h"
#include "primroseworks/time.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace primroseworks {

/// A call to forward.
struct ServiceRequest {
  std::string m_method;
  std::string m_path; ///< With its query.
  std::vector<std::pair<std::string, std::string>> m_headers;
  std::string m_body;
  std::string m_requestId;
  std::string m_idempotencyKey;
};

/// The service's whole answer.
struct ServiceResponse {
  int m_status = 0;
  std::string m_contentType;
  std::string m_body;
};

/// Whether the service may have run a call that failed.
enum class CallFailure {
  NotSent, ///< No byte of the call was sent.
  Refused, ///< The service answered that it did not run it (503 with not_run).
  Unknown  ///< The call may have run.
};

/// Result of a call: exactly one of m_response and m_failure is set.
struct ServiceResult {
  std::optional<ServiceResponse> m_response;
  std::optional<CallFailure> m_failure;
  std::string m_detail;
};

/// Connections to one instance of a service. Safe from several threads.
class ServiceClient {
public:
  virtual ~ServiceClient() = default;
  virtual ServiceResult call(const ServiceRequest &Request,
                             Milliseconds Timeout) = 0;
};

/// Client of a service over HTTP at BaseUrl.
Result<std::unique_ptr<ServiceClient>>
createHttpServiceClient(const std::string &BaseUrl);

} // namespace primroseworks

#endif
