// Asks the coordinators for endpoints.
//
// Load pattern: hundreds of gateways with a few requests per second each, whose
// own view of the endpoints' load is about a second old. A coordinator that
// does not answer costs a request a bounded time: it is asked twice, then the
// next coordinator is, and without any the gateway chooses itself. What a
// coordinator grants is advice where to send a request; it never allows one to
// run twice.
#ifndef PRIMROSEWORKS_LIBGATEWAY_SCHEDULERCLIENT_H
#define PRIMROSEWORKS_LIBGATEWAY_SCHEDULERCLIENT_H

#include "libgateway/core.h"
#include "libgateway/peeraudience.h"
#include "libgateway/schedulingmessage.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace primroseworks::gateway {

/// Time for a coordinator to answer, several round trips: in the same region
/// and in another one.
inline constexpr Milliseconds ScheduleReplyTimeout{40};
inline constexpr Milliseconds RemoteScheduleReplyTimeout{80};
/// Requests to one coordinator before it counts as silent.
inline constexpr unsigned MaxScheduleSends = 2;
/// Time for which a silent coordinator is not asked.
inline constexpr Milliseconds SilentCoordinatorBackoff{1000};
/// Interval of repeated requests while one waits in a coordinator's queue; a
/// grant that was lost arrives with the answer.
inline constexpr Milliseconds WaitingRefreshInterval{200};
/// Interval of the checks for unanswered requests.
inline constexpr Milliseconds ScheduleCheckInterval{20};

/// A ticket at a coordinator.
struct CoordinatorTicket {
  std::string m_coordinator; ///< Empty: none.
  TicketId m_id = 0;
};

/// Receives the outcome of a request to a coordinator.
class ScheduleWaiter {
public:
  virtual ~ScheduleWaiter() = default;
  virtual void onGranted(const Choice &Placement,
                         const CoordinatorTicket &Ticket) = 0;
  /// The coordinator expects no endpoint in time.
  virtual void onScheduleRejected(ChoiceObstacle Obstacle,
                                  Duration ExpectedWait) = 0;
  /// The coordinator has queued the request because of Obstacle; another
  /// function is called later.
  virtual void onScheduleWaiting(ChoiceObstacle Obstacle) = 0;
  /// No coordinator answers: the gateway must choose itself.
  virtual void onNoCoordinator() = 0;
};

class SchedulerClient {
public:
  using Send = std::function<void(const std::string &Coordinator,
                                  const SchedulingMessage &Message)>;
  /// SendMessage sends a datagram to a gateway, by name.
  SchedulerClient(Core &Shared, const PeerAudience &Audience, Send SendMessage);

  /// Sets the start of this process, which its messages carry.
  void setStart(std::uint64_t Start) { m_self.m_start = Start; }
  /// Asks a coordinator. Returns 0 if there is none to ask: the gateway chooses
  /// itself. Otherwise one function of W is called later, unless withdraw() is
  /// called first.
  TicketId request(const ChoiceQuery &Query, const WaitLimits &Limits,
                   ScheduleWaiter &W, TimePoint Now);
  /// Ends a request that no function of its waiter was called for yet.
  void withdraw(TicketId Ticket);
  /// Reports that a granted request got its first event.
  void onPrefillDone(const CoordinatorTicket &Ticket,
                     const AttemptObservation &Observation);
  /// Reports the end of a granted request's use of its endpoint.
  void onEnded(const CoordinatorTicket &Ticket,
               const AttemptObservation &Observation);
  void onReply(const ScheduleReply &Reply, TimePoint Now);
  /// Sends each coordinator the tickets that are open there.
  void sendOpenTickets();
  /// Ends all requests that wait, since this VM stops.
  void endAll();
  /// Asks again, or asks others, where no answer came in time.
  void check(TimePoint Now);

private:
  struct PendingRequest {
    ScheduleRequest m_message;
    WaitLimits m_limits;
    ScheduleWaiter *m_waiter = nullptr;
    std::string m_coordinator;
    std::set<std::string> m_asked; ///< Coordinators asked so far.
    unsigned m_sends = 0;          ///< Unanswered sends to m_coordinator.
    TimePoint m_sentAt{};
    bool m_waiting = false; ///< In the coordinator's queue.
    TimePoint m_waitSince{};
  };
  std::string nextCoordinator(const PendingRequest &P, TimePoint Now) const;
  bool isOwnScheduler(const ChoiceQuery &Query) const;
  Duration replyTimeout(const std::string &Coordinator) const;
  bool askNext(TicketId Ticket, PendingRequest &P, TimePoint Now);
  void send(PendingRequest &P, TimePoint Now);
  void sendUpdate(const CoordinatorTicket &Ticket, AttemptStage Stage,
                  const AttemptObservation &Observation);
  void scheduleCheck();

  Core &m_core;
  const PeerAudience &m_audience;
  Send m_send;
  GatewayInstance m_self;
  TicketId m_nextTicket = 1;
  std::map<TicketId, PendingRequest> m_pending;
  /// Granted tickets in use, by coordinator.
  std::map<std::string, std::set<TicketId>> m_open;
  /// Coordinators that did not answer, with the time until which each is not
  /// asked.
  std::map<std::string, TimePoint> m_silentUntil;
  asio::steady_timer m_checkTimer;
  bool m_checkScheduled = false;
};

} // namespace primroseworks::gateway

#endif
