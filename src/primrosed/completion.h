// Runs one completion: places it, runs it on an endpoint, resumes or retries
// it, and settles what the caller may be told.
#ifndef PRIMROSED_COMPLETION_H
#define PRIMROSED_COMPLETION_H

#include "primrosed/context.h"
#include "primrosed/dispatchgate.h"
#include "primrosed/fleet.h"
#include "primrosed/metrics.h"
#include "primrosed/openai.h"
#include "primrosed/outcome.h"
#include "primrosed/requestheaders.h"

#include <functional>
#include <string>

namespace primroseworks {

/// A completion with its model resolved.
struct CompletionJob {
  std::string m_requestId;
  std::string m_caller;
  Rank m_rank = Rank::Standard;
  TimePoint m_deadline; ///< Latest useful time of the first token.
  openai::CompletionRequest m_request;
  std::string m_model;
  std::string m_version;
  std::string m_adapter;
  std::string m_key;      ///< Idempotency key; empty: none.
  std::string m_bodyHash; ///< Of the parsed body, without `stream`.
  /// Called with attempt and endpoint before an attempt is sent; a failure
  /// forbids it. Set for requests that run at most once.
  std::function<std::optional<Failure>(const std::string &,
                                       const std::string &)>
      m_beforeSend;
};

/// How a completion ended: m_failure is set unless it ran to its end.
struct CompletionResult {
  std::optional<Failure> m_failure;
  std::string m_text;
  StreamEnd m_end;
};

/// Receives each token with its event id "ENDPOINT~ATTEMPT:INDEX".
using EventSink =
    std::function<void(const std::string &EventId, const std::string &Text)>;

class CompletionRunner {
public:
  /// Makes an adapter resident on an endpoint.
  using AdapterLoader = std::function<Result<void>(const std::string &Endpoint,
                                                   const std::string &Adapter)>;

  CompletionRunner(DaemonContext &Context, DispatchGate &Gate, Fleet &Endpoints,
                   AdapterLoader LoadAdapter, Metrics &Counters)
      : m_context(Context), m_gate(Gate), m_fleet(Endpoints),
        m_loadAdapter(std::move(LoadAdapter)), m_metrics(Counters) {}

  /// Blocks until the completion ended. Abandon: the caller has gone.
  CompletionResult run(const CompletionJob &Job, const EventSink &Sink,
                       const std::atomic<bool> &Abandon);

  /// Continues a stream that an engine holds.
  CompletionResult resume(const StreamPosition &From, const EventSink &Sink,
                          const std::atomic<bool> &Abandon);

private:
  struct Progress;
  enum class Next { Done, Again };

  Next attempt(Progress &State);
  bool adapterReady(const Progress &State);
  bool place(Progress &State, DispatchRequest &Request);
  void stream(Progress &State, EngineClient &Engine,
              const DispatchRequest &Request);
  Next settle(Progress &State, const std::string &AttemptId);
  bool endpointDied(const Progress &State);
  void failUnknown(Progress &State, const std::string &Message);
  std::string nextAttemptId(const std::string &RequestId);

  DaemonContext &m_context;
  DispatchGate &m_gate;
  Fleet &m_fleet;
  AdapterLoader m_loadAdapter;
  Metrics &m_metrics;
  std::atomic<std::uint64_t> m_attempts{0};
};

} // namespace primroseworks

#endif
