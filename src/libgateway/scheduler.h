// Schedules the requests of other gateways while this VM is a coordinator.
//
// Load pattern: engines with a dozen slots are shared by hundreds of gateways,
// and a freed slot is wanted by several of them at once. The requests of a
// region for one model wait in one queue, so the most urgent one gets the slot,
// and no two gateways take it. What the attempts show about an endpoint is
// collected here too: a gateway alone sees too few of them.
#ifndef PRIMROSEWORKS_LIBGATEWAY_SCHEDULER_H
#define PRIMROSEWORKS_LIBGATEWAY_SCHEDULER_H

#include "libgateway/core.h"
#include "libgateway/schedulingmessage.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace primroseworks::gateway {

/// A grant that its gateway does not list as open is kept for this long: the
/// list may have been sent before the grant arrived.
inline constexpr Milliseconds UnlistedGrantLifetime{600};
/// A queued request is dropped this long after its maximum wait; its gateway
/// gives it up earlier.
inline constexpr Milliseconds QueuedRequestGrace{100};

class Scheduler {
public:
  using SendReply = std::function<void(const std::string &Gateway,
                                       const ScheduleReply &Reply)>;
  /// Reply sends a datagram to a gateway, by name.
  Scheduler(Core &Shared, SendReply Reply);
  ~Scheduler();

  void onRequest(const ScheduleRequest &Request, TimePoint Now);
  void onUpdate(const AttemptUpdate &Update, TimePoint Now);
  void onOpenTickets(const OpenTickets &Tickets, TimePoint Now);
  /// Drops queued requests whose wait is over, and the grants of gateways that
  /// have sent nothing for GatewayLifetime.
  void expire(Duration GatewayLifetime, TimePoint Now);
  /// Number of requests that are queued or granted.
  std::size_t size() const;

private:
  class RemoteRequest;
  struct GatewayState {
    std::map<TicketId, std::unique_ptr<RemoteRequest>> m_requests;
    TimePoint m_heardAt{};
  };
  void end(GatewayState &From, TicketId Ticket,
           const AttemptObservation &Observation, TimePoint Now);
  void record(const RemoteRequest &Request,
              const AttemptObservation &Observation, TimePoint Now);
  void recordAnswer(const RemoteRequest &Request,
                    const AttemptObservation &Observation, TimePoint Now);
  void dropEarlierStarts(const GatewayInstance &Sender, TimePoint Now);

  Core &m_core;
  SendReply m_reply;
  std::map<GatewayInstance, GatewayState> m_gateways;
};

} // namespace primroseworks::gateway

#endif
