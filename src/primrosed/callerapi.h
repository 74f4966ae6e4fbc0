// The port for callers: OpenAI-compatible completions, the list of models, and
// calls of plain services.
#ifndef PRIMROSED_CALLERAPI_H
#define PRIMROSED_CALLERAPI_H

#include "libhttp/connectionpool.h"
#include "primrosed/completion.h"
#include "primrosed/context.h"
#include "primrosed/keyedcompletion.h"
#include "primrosed/metrics.h"
#include "primrosed/requestheaders.h"
#include "primrosed/servicecalls.h"
#include "primrosed/streampipe.h"
#include "primroseworks/httpserver.h"

#include <memory>

namespace primroseworks {

class CallerApi {
public:
  CallerApi(DaemonContext &Context, CompletionRunner &Runner,
            ServiceCalls &Services, Idempotency &Keys, Metrics &Counters);

  /// Starts to listen.
  Result<void> start();
  /// Waits until every request in progress has ended, at most Wait, then stops
  /// listening. New requests get 503 meanwhile: the HTTP server cuts answers
  /// that have not started when it stops.
  void stop(Milliseconds Wait);
  std::uint16_t port() const { return m_server->port(); }
  /// Called with each completion before it is placed, for demand.
  void setObserver(std::function<void(const CompletionJob &)> Observe) {
    m_observe = std::move(Observe);
  }
  unsigned connections() const { return m_server->connections(); }

  void handle(const HttpRequest &Req, HttpResponse &Res);

private:
  void route(const HttpRequest &Req, const CallerIdentity &Who,
             HttpResponse &Res);
  void completions(openai::Form Form, const HttpRequest &Req,
                   const CallerIdentity &Who, HttpResponse &Res);
  void whole(const CompletionJob &Job, HttpResponse &Res);
  void streamed(const CompletionJob &Job, const std::string &LastEventId,
                HttpResponse &Res);
  void startStream(const CompletionJob &Job, std::optional<StreamPosition> From,
                   const std::shared_ptr<StreamPipe> &Pipe);
  /// Runs a job, at most once if it has a key.
  CompletionResult execute(const CompletionJob &Job, const EventSink &Sink,
                           const std::atomic<bool> &Abandon);
  static bool writeStream(StreamPipe &Pipe, const openai::AnswerInfo &Info,
                          bool IncludeUsage, HttpStream &Out);
  void listModels(HttpResponse &Res);

  DaemonContext &m_context;
  CompletionRunner &m_runner;
  ServiceCalls &m_services;
  Idempotency &m_keys;
  Metrics &m_metrics;
  pvt::ConnectionPool m_workers; ///< One task per open stream.
  std::function<void(const CompletionJob &)> m_observe;
  std::unique_ptr<HttpServer> m_server;
  std::atomic<std::uint64_t> m_requests{0};
  /// One use per request in progress, held until its answer is written.
  std::shared_ptr<int> m_inProgress = std::make_shared<int>(0);
};

} // namespace primroseworks

#endif
