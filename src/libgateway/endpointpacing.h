// Adaptive concurrency limits of the registered endpoints: creates one for each
// incarnation, keeps those of endpoints whose records return, and knows the
// services' latency floors. Does no I/O; the current time is an argument.
#ifndef PRIMROSEWORKS_LIBGATEWAY_ENDPOINTPACING_H
#define PRIMROSEWORKS_LIBGATEWAY_ENDPOINTPACING_H

#include "libgateway/types.h"
#include "libpace/pace.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace primroseworks::gateway {

struct Endpoint;

/// An answer of an endpoint, as the request path measures it.
struct AnswerSample {
  std::string m_model;  ///< Empty for plain services.
  Duration m_latency{}; ///< To the first event, or of the whole answer.
  /// Prompt tokens until the first event, queued ones included; 0 if the
  /// answer is that of a plain service.
  std::uint64_t m_tokens = 0;
};

/// An endpoint entered or left the limited state.
struct PaceChange {
  std::string m_endpoint;
  std::uint64_t m_incarnation = 0;
  PaceCause m_cause = PaceCause::None; ///< Why it is, or was, limited.
  bool m_limited = false;
  unsigned m_limit = 0; ///< Requests.
  unsigned m_slots = 0;
  double m_floorMs = 0; ///< For each unit of work; 0: no answer yet.
  double m_latencyMs = 0;
  double m_ratio = 1; ///< Decaying mean of latency to floor.
};

/// The limit of an endpoint that was removed is kept for this long. Records
/// lapse when the store is unavailable, and return with the same incarnation:
/// that is no start.
inline constexpr Seconds RemovedPaceLifetime{60};

/// Longer latencies count as this; a gateway's report may state any number.
inline constexpr Seconds MaxSampleLatency{600};
/// An idle endpoint that was slow is tried again after this time without an
/// answer.
inline constexpr Milliseconds SlowEndpointRetry{1000};

class EndpointPacing {
public:
  using OnChange = std::function<void(const PaceChange &)>;

  /// Until this call there are no limits.
  void enable(OnChange Changed) {
    m_enabled = true;
    m_changed = std::move(Changed);
  }
  bool enabled() const { return m_enabled; }
  /// The first list is complete: an incarnation that appears from now on has
  /// just started.
  void onFirstListComplete() { m_watching = true; }
  /// E has a new record. IsNew: of an incarnation that was not registered.
  void onRecord(Endpoint &E, bool IsNew, TimePoint Now);
  /// E is about to be removed.
  void onRemoved(const Endpoint &E, TimePoint Now);
  void onAnswer(Endpoint &E, const AnswerSample &Answer, TimePoint Now);
  void onGood(Endpoint &E, TimePoint Now);
  void onTrouble(Endpoint &E, PaceTrouble Trouble, TimePoint Now);
  /// Begins a round of onTick() for all endpoints, which is to come several
  /// times a second. Drops limits of removed endpoints that did not return.
  void beginTick(TimePoint Now);
  void onTick(Endpoint &E, TimePoint Now);

private:
  /// Runs Update on the endpoint's limit, and reports a change of its state.
  template <class F> void update(Endpoint &E, F Update);

  struct Removed {
    std::uint64_t m_incarnation = 0;
    EndpointPace m_pace;
    TimePoint m_at{};
  };
  bool m_enabled = false;
  bool m_watching = false;
  OnChange m_changed;
  std::map<std::string, Removed> m_removed; ///< By endpoint.
  struct ServiceCount {
    unsigned m_endpoints = 0;
    unsigned m_limited = 0;
  };
  void forgetSlowness(Endpoint &E, TimePoint Now) const;
  bool mostLimited(const std::string &Service) const;
  std::map<std::string, ServiceCount> m_counts;   ///< Of the last round.
  std::map<std::string, ServiceCount> m_counting; ///< Of the present round.
  using ServiceAndModel = std::pair<std::string, std::string>;
  /// Of the endpoints that are not limited.
  std::map<ServiceAndModel, LatencyFloor> m_serviceFloors;
};

} // namespace primroseworks::gateway

#endif
