// Prometheus metrics of the daemon.
#include "primrosed/metrics.h"

#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace primroseworks {

namespace {

using prometheus::Counter;
using prometheus::Family;
using prometheus::Histogram;

const Histogram::BucketBoundaries SecondsBuckets = {
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.5, 2.5, 5, 10, 30};

Family<Counter> &counter(prometheus::Registry &In, const std::string &Name,
                         const std::string &Help) {
  return prometheus::BuildCounter().Name(Name).Help(Help).Register(In);
}

Family<Histogram> &histogram(prometheus::Registry &In, const std::string &Name,
                             const std::string &Help) {
  return prometheus::BuildHistogram().Name(Name).Help(Help).Register(In);
}

std::string rankLabel(Rank R) { return std::string(nameOf(RankNames, R)); }

} // namespace

struct Metrics::Families {
  prometheus::Registry m_registry;
  Family<Counter> &m_requests =
      counter(m_registry, "primrose_requests_total", "Answered requests.");
  Family<Histogram> &m_duration =
      histogram(m_registry, "primrose_request_duration_seconds",
                "Time from a request to the end of its answer.");
  Family<Counter> &m_refusals =
      counter(m_registry, "primrose_refusals_total",
              "Requests refused before they ran, by reason.");
  Family<Histogram> &m_firstToken =
      histogram(m_registry, "primrose_first_token_seconds",
                "Time from dispatch to the first token.");
  Family<Counter> &m_tokens =
      counter(m_registry, "primrose_tokens_total", "Tokens relayed.");
  Family<Counter> &m_resumes =
      counter(m_registry, "primrose_stream_resumes_total",
              "Tries to continue a stream on its engine.");
  Family<Counter> &m_preemptions =
      counter(m_registry, "primrose_preemptions_total",
              "Running requests cancelled for more urgent ones.");
  Family<Counter> &m_attemptFailures =
      counter(m_registry, "primrose_attempt_failures_total",
              "Attempts that did not end normally, by failure.");
  Family<Counter> &m_journal =
      counter(m_registry, "primrose_journal_requests_total",
              "Journal requests by status.");
  Family<Counter> &m_moves = counter(m_registry, "primrose_moves_total",
                                     "Model and adapter moves by result.");
  Family<Counter> &m_violations =
      counter(m_registry, "primrose_invariant_violations_total",
              "Invariants found broken; any value above 0 is a fault.");
  std::mutex m_gaugeMutex;
};

Metrics::Metrics() : m_families(std::make_unique<Families>()) {}
Metrics::~Metrics() = default;

void Metrics::answered(Rank R, Outcome Value, int Status, double Seconds) {
  std::string Class = std::to_string(Status / 100) + "xx";
  m_families->m_requests
      .Add({{"rank", rankLabel(R)},
            {"outcome", std::string(nameOf(OutcomeNames, Value))},
            {"code", Class}})
      .Increment();
  m_families->m_duration.Add({{"rank", rankLabel(R)}}, SecondsBuckets)
      .Observe(Seconds);
}

void Metrics::refused(Rank R, RefusalReason Reason) {
  m_families->m_refusals
      .Add({{"rank", rankLabel(R)},
            {"reason", std::string(nameOf(RefusalReasonNames, Reason))}})
      .Increment();
}

void Metrics::firstToken(Rank R, double Seconds) {
  m_families->m_firstToken.Add({{"rank", rankLabel(R)}}, SecondsBuckets)
      .Observe(Seconds);
}

void Metrics::tokens(Rank R, unsigned Count) {
  m_families->m_tokens.Add({{"rank", rankLabel(R)}}).Increment(Count);
}

void Metrics::resumed() { m_families->m_resumes.Add({}).Increment(); }

void Metrics::preempted() { m_families->m_preemptions.Add({}).Increment(); }

void Metrics::attemptFailed(StreamFailure Why) {
  m_families->m_attemptFailures
      .Add({{"failure", std::string(nameOf(StreamFailureNames, Why))}})
      .Increment();
}

void Metrics::journal(const std::string &Status) {
  m_families->m_journal.Add({{"status", Status}}).Increment();
}

void Metrics::move(const std::string &Kind, const std::string &Result) {
  m_families->m_moves.Add({{"kind", Kind}, {"result", Result}}).Increment();
}

void Metrics::invariantViolated(const std::string &Name) {
  m_families->m_violations.Add({{"invariant", Name}}).Increment();
}

void Metrics::gauge(const std::string &Name, const std::string &Help,
                    double Value) {
  std::lock_guard<std::mutex> Lock(m_families->m_gaugeMutex);
  prometheus::BuildGauge()
      .Name("primrose_" + Name)
      .Help(Help)
      .Register(m_families->m_registry)
      .Add({})
      .Set(Value);
}

std::string Metrics::text() const {
  return prometheus::TextSerializer().Serialize(
      m_families->m_registry.Collect());
}

} // namespace primroseworks
