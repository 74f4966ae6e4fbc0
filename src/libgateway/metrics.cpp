// Metric families, implemented with prometheus-cpp.
#include "libgateway/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace primroseworks::gateway {

namespace {

using Labels = std::map<std::string, std::string>;

const prometheus::Histogram::BucketBoundaries LatencyBuckets = {
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3, 6, 12, 24};

class PrometheusMetrics final : public Metrics {
public:
  PrometheusMetrics()
      : m_requests(prometheus::BuildCounter()
                       .Name("primrose_gateway_requests_total")
                       .Help("Requests by kind, rank, outcome and reason")
                       .Register(m_registry)),
        m_waits(histogram("primrose_gateway_wait_seconds",
                          "Time that requests waited for an endpoint")),
        m_firstBytes(histogram("primrose_gateway_first_byte_seconds",
                               "Time to the first byte of the response")),
        m_totals(histogram("primrose_gateway_request_seconds",
                           "Time to the end of the request")),
        m_events(prometheus::BuildCounter()
                     .Name("primrose_gateway_events_total")
                     .Help("Decisions and changes of known state")
                     .Register(m_registry)),
        m_orders(prometheus::BuildCounter()
                     .Name("primrose_gateway_orders_total")
                     .Help("Orders to engines by kind and result")
                     .Register(m_registry)),
        m_gauges(prometheus::BuildGauge()
                     .Name("primrose_gateway_state")
                     .Help("Current values of the gateway's state")
                     .Register(m_registry)) {}

  void request(const std::string &Kind, unsigned Rank,
               const std::string &Outcome, const std::string &Reason,
               Duration Waited, Duration FirstByte, Duration Total) override {
    m_requests
        .Add(Labels{{"kind", Kind},
                    {"rank", std::to_string(Rank)},
                    {"outcome", Outcome},
                    {"reason", Reason}})
        .Increment();
    const Labels ByKind{{"kind", Kind}};
    m_waits.Add(ByKind, LatencyBuckets).Observe(toSeconds(Waited));
    if (FirstByte > Duration::zero())
      m_firstBytes.Add(ByKind, LatencyBuckets).Observe(toSeconds(FirstByte));
    m_totals.Add(ByKind, LatencyBuckets).Observe(toSeconds(Total));
  }
  void count(const std::string &Event) override {
    m_events.Add(Labels{{"event", Event}}).Increment();
  }
  void order(const std::string &Kind, const std::string &Result) override {
    m_orders.Add(Labels{{"kind", Kind}, {"result", Result}}).Increment();
  }
  void gauge(const std::string &Name, double Value) override {
    m_gauges.Add(Labels{{"name", Name}}).Set(Value);
  }
  std::string text() const override {
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
  }

private:
  prometheus::Family<prometheus::Histogram> &histogram(const char *Name,
                                                       const char *Help) {
    return prometheus::BuildHistogram().Name(Name).Help(Help).Register(
        m_registry);
  }

  prometheus::Registry m_registry;
  prometheus::Family<prometheus::Counter> &m_requests;
  prometheus::Family<prometheus::Histogram> &m_waits;
  prometheus::Family<prometheus::Histogram> &m_firstBytes;
  prometheus::Family<prometheus::Histogram> &m_totals;
  prometheus::Family<prometheus::Counter> &m_events;
  prometheus::Family<prometheus::Counter> &m_orders;
  prometheus::Family<prometheus::Gauge> &m_gauges;
};

} // namespace

std::unique_ptr<Metrics> Metrics::create() {
  return std::make_unique<PrometheusMetrics>();
}

} // namespace primroseworks::gateway
