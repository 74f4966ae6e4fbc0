// Interface to a platform adapter, which defines how requests, engine messages
// and operators' documents are encoded on the deployment's platform.
#ifndef PRIMROSEWORKS_LIBGATEWAY_DIALECT_H
#define PRIMROSEWORKS_LIBGATEWAY_DIALECT_H

#include "libgateway/httpmessage.h"
#include "libgateway/types.h"
#include "primroseworks/error.h"

#include <string>

namespace primroseworks::gateway {

/// Information from the head of an engine's response.
struct ResponseMetadata {
  bool m_notExecuted = false; ///< The engine states that it did not execute the
                              ///< request.
  bool m_signed = false;      ///< Carries the engine's signature.
  bool m_encoded = false;     ///< The body has a content encoding.
  bool m_leaving = false;     ///< The engine states that it is leaving.
  /// Time for which the engine wants no requests; zero if it states none.
  Duration m_retryAfter{};
  std::string m_requestId; ///< Empty if the response has none.
  std::string m_endpoint;  ///< Id of the responding endpoint, if stated.
};

/// Information about one attempt that the gateway sends to an engine.
struct AttemptMetadata {
  std::string m_endpoint; ///< Id of the endpoint that must execute it.
  Milliseconds m_deadline{};
  unsigned m_rank = 0;
  std::optional<std::uint64_t> m_lastEventId;
  bool m_engine = false; ///< False for plain services.
  std::string m_account; ///< Name of the client account; empty if none.
};

class Dialect {
public:
  virtual ~Dialect() = default;

  virtual RequestMetadata requestMetadata(const HttpHead &Head) const = 0;
  virtual ResponseMetadata responseMetadata(const HttpHead &Head) const = 0;
  /// Whether a caller's header is forwarded to the engine. Hop-by-hop headers
  /// and those that the gateway sets itself are not.
  virtual bool forwardsHeader(std::string_view LowerCaseName) const = 0;
  /// Whether a header states the client account or its key. If the
  /// configuration has accounts, such a header is not forwarded.
  virtual bool isAccountHeader(std::string_view LowerCaseName) const = 0;
  /// Header lines that the gateway adds, each with its line terminator.
  virtual std::string attemptHeaders(const AttemptMetadata &Metadata) const = 0;

  /// Fails with Protocol if Text is not a valid configuration.
  virtual Result<Configuration>
  decodeConfiguration(const std::string &Text) const = 0;
  /// Fails with Protocol if the record does not describe a usable endpoint.
  virtual Result<EndpointRecord>
  decodeEndpoint(const std::string &Key, const std::string &Text) const = 0;
  /// Fails with Protocol if Text is not a valid report.
  virtual Result<EngineReport> decodeReport(const std::string &Text) const = 0;

  /// Complete HTTP request that sends the order to Endpoint.
  virtual std::string orderRequest(const EndpointRecord &Endpoint,
                                   const EngineOrder &Order) const = 0;
  virtual OrderResult orderResult(unsigned Status) const = 0;
  /// Complete HTTP request for an engine's report.
  virtual std::string reportRequest(const EndpointRecord &Endpoint) const = 0;

  /// Key of the configuration, and key prefix of the endpoint records.
  virtual std::string configurationKey() const = 0;
  virtual std::string endpointPrefix() const = 0;
  /// Path of the readiness check, by which the platform asks whether the
  /// gateway accepts callers.
  virtual std::string readyPath() const = 0;
};

} // namespace primroseworks::gateway

#endif
