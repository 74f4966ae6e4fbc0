// Prometheus metrics of the daemon. Label sets are bounded: ranks, outcomes,
// reasons; never models, callers or endpoints.
#ifndef PRIMROSED_METRICS_H
#define PRIMROSED_METRICS_H

#include "primrosed/outcome.h"
#include "primroseworks/catalog.h"
#include "primroseworks/dispatcher.h"
#include "primroseworks/engine.h"

#include <memory>
#include <string>

namespace primroseworks {

class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  void answered(Rank R, Outcome Value, int Status, double Seconds);
  void refused(Rank R, RefusalReason Reason);
  void firstToken(Rank R, double Seconds);
  void tokens(Rank R, unsigned Count);
  void resumed();
  void preempted();
  void attemptFailed(StreamFailure Why);
  void journal(const std::string &Status);
  void move(const std::string &Kind, const std::string &Result);
  void invariantViolated(const std::string &Name);
  /// Sets a gauge named primrose_<Name>.
  void gauge(const std::string &Name, const std::string &Help, double Value);

  /// All metrics in the text exposition format.
  std::string text() const;

private:
  struct Families;
  std::unique_ptr<Families> m_families;
};

} // namespace primroseworks

#endif
