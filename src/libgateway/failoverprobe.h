// Looks for another endpoint while an attempt is still in progress at a silent
// one.
//
// Load pattern: all engines are full, and one of them pauses a stream for
// seconds in favor of more urgent work. Leaving it for an engine that then has
// no room breaks the stream off, so the next endpoint is reserved first.
#ifndef PRIMROSEWORKS_LIBGATEWAY_FAILOVERPROBE_H
#define PRIMROSEWORKS_LIBGATEWAY_FAILOVERPROBE_H

#include "libgateway/schedulerclient.h"

#include <optional>

namespace primroseworks::gateway {

/// An endpoint that a coordinator reserved.
struct ReservedEndpoint {
  Choice m_choice;
  CoordinatorTicket m_ticket;
};

class FailoverProbe : public ScheduleWaiter {
public:
  explicit FailoverProbe(Core &Shared) : m_core(Shared) {}
  FailoverProbe(const FailoverProbe &) = delete;
  FailoverProbe &operator=(const FailoverProbe &) = delete;
  /// Returns a reserved endpoint that was not taken.
  ~FailoverProbe() override;

  /// Whether an endpoint is available for Query. To be called again until it
  /// is: a coordinator's answer arrives between two calls.
  bool poll(const ChoiceQuery &Query, TimePoint Now);
  /// Takes the reserved endpoint; nothing if no coordinator reserved one, and
  /// the gateway must choose itself.
  std::optional<ReservedEndpoint> take();

  void onGranted(const Choice &Placement,
                 const CoordinatorTicket &Ticket) override;
  void onScheduleRejected(ChoiceObstacle, Duration) override { m_asked = 0; }
  void onScheduleWaiting(ChoiceObstacle) override {}
  void onNoCoordinator() override { m_asked = 0; }

private:
  Core &m_core;
  TicketId m_asked = 0; ///< Of the request that has no answer yet.
  std::optional<ReservedEndpoint> m_reserved;
};

} // namespace primroseworks::gateway

#endif
