// What the gateway needs from an adapter: how requests, engines and the
// operators' documents are spelled on the deployment's platform.
#ifndef PRIMROSEWORKS_LIBGATEWAY_DIALECT_H
#define PRIMROSEWORKS_LIBGATEWAY_DIALECT_H

#include "libgateway/httpmessage.h"
#include "libgateway/types.h"
#include "primroseworks/error.h"

#include <string>

namespace primroseworks::gateway {

/// What the head of an engine's answer says.
struct ResponseFacts {
  bool m_notExecuted = false; ///< The engine states that it did not run it.
  bool m_signed = false;      ///< Bears the engine's signature.
  bool m_encoded = false;     ///< The body has a content encoding.
  std::string m_requestId;    ///< Empty if the answer names none.
  std::string m_endpoint;     ///< Id of the answering endpoint, if it says so.
};

/// What the gateway tells an engine about one attempt.
struct AttemptFacts {
  std::string m_endpoint; ///< Id of the endpoint that is to run it.
  Milliseconds m_deadline{};
  unsigned m_rank = 0;
  std::optional<std::uint64_t> m_lastEventId;
  bool m_engine = false; ///< False for plain services.
};

class Dialect {
public:
  virtual ~Dialect() = default;

  virtual RequestFacts requestFacts(const HttpHead &Head) const = 0;
  virtual ResponseFacts responseFacts(const HttpHead &Head) const = 0;
  /// Whether a caller's header reaches the engine; the others concern one
  /// connection or are the gateway's own.
  virtual bool forwardsHeader(std::string_view LowerCaseName) const = 0;
  /// Header lines, each with its line end, that the gateway adds.
  virtual std::string attemptHeaders(const AttemptFacts &Facts) const = 0;

  /// Fails with Protocol if Text is not a configuration.
  virtual Result<Configuration>
  decodeConfiguration(const std::string &Text) const = 0;
  /// Fails with Protocol if the entry names no usable endpoint.
  virtual Result<EndpointRecord>
  decodeEndpoint(const std::string &Key, const std::string &Text) const = 0;
  /// Fails with Protocol if Text is not a report.
  virtual Result<EngineReport> decodeReport(const std::string &Text) const = 0;

  /// A whole HTTP request for Endpoint that carries the order.
  virtual std::string orderRequest(const EndpointRecord &Endpoint,
                                   const EngineOrder &Order) const = 0;
  virtual OrderResult orderResult(unsigned Status) const = 0;
  /// A whole HTTP request for an engine's report.
  virtual std::string reportRequest(const EndpointRecord &Endpoint) const = 0;

  /// Key of the configuration, and prefix of the endpoints' entries.
  virtual std::string configurationKey() const = 0;
  virtual std::string endpointPrefix() const = 0;
  /// Path at which the platform asks whether the gateway takes callers.
  virtual std::string readyPath() const = 0;
};

} // namespace primroseworks::gateway

#endif
