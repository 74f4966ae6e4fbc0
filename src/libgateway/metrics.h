// Counters and histograms of one gateway, served as Prometheus text.
#ifndef PRIMROSEWORKS_LIBGATEWAY_METRICS_H
#define PRIMROSEWORKS_LIBGATEWAY_METRICS_H

#include "primroseworks/time.h"

#include <memory>
#include <string>

namespace primroseworks::gateway {

class Metrics {
public:
  static std::unique_ptr<Metrics> create();
  virtual ~Metrics() = default;
  /// Records a finished request: its route kind, rank, outcome and reason, its
  /// wait time in this VM, its time to first byte and its total time.
  virtual void request(const std::string &Kind, unsigned Rank,
                       const std::string &Outcome, const std::string &Reason,
                       Duration Waited, Duration FirstByte, Duration Total) = 0;
  /// Counts an event; the set of event names is bounded. Example: "store_lost".
  virtual void count(const std::string &Event) = 0;
  virtual void order(const std::string &Kind, const std::string &Result) = 0;
  virtual void gauge(const std::string &Name, double Value) = 0;
  virtual std::string text() const = 0;
};

} // namespace primroseworks::gateway

#endif
