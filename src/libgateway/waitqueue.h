// Queue of the requests that wait in this VM for capacity at an endpoint.
//
// Load pattern: a flood of requests while all engines are full. In FIFO order
// every response would be late once the wait exceeds the latency target. So
// requests that can still be on time are dispatched first, by rank and within a
// rank by age; late ones follow in the same order, before requests of the low
// ranks. A request that cannot be dispatched before its caller gives up is
// rejected on arrival.
#ifndef PRIMROSEWORKS_LIBGATEWAY_WAITQUEUE_H
#define PRIMROSEWORKS_LIBGATEWAY_WAITQUEUE_H

#include "libgateway/chooser.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace primroseworks::gateway {

using TicketId = std::uint64_t;

/// A waiting request.
struct Ticket {
  TicketId m_id = 0;
  ChoiceQuery m_query;
  TimePoint m_since{};
  TimePoint m_onTimeUntil{}; ///< If dispatched later, its response is late.
  /// Why the last attempt to dispatch it failed.
  ChoiceObstacle m_obstacle = ChoiceObstacle::Full;
};

/// A dispatched ticket and the endpoint chosen for it.
struct Grant {
  TicketId m_ticket = 0;
  Choice m_choice;
};

/// Maximum number of waiting requests in one VM; the body of each is in memory.
inline constexpr std::size_t MaxWaitQueueSize = 1500;
/// Weight of the newest interval in the decaying mean between dispatches.
inline constexpr double DispatchIntervalWeight = 0.2;

class WaitQueue {
public:
  /// Adds a request. Returns its id, or 0 if the queue is full.
  TicketId add(ChoiceQuery Query, ChoiceObstacle Obstacle,
               TimePoint OnTimeUntil, TimePoint Now);
  void remove(TicketId Id);
  /// Dispatches the requests for which there is capacity now, most urgent
  /// first. Once Choose finds no endpoint for a request without excluded
  /// endpoints, it is not called for further such requests for the same
  /// artifact.
  std::vector<Grant>
  dispatch(const std::function<Choice(const ChoiceQuery &)> &Choose,
           const std::function<void(const Grant &)> &OnGrant, TimePoint Now);
  /// Expected wait of a new request with this query; nothing if no request for
  /// its model is ahead of it or was dispatched so far. OnTimeUntil is as in
  /// Ticket.
  std::optional<Duration> expectedWait(const ChoiceQuery &Query,
                                       TimePoint OnTimeUntil,
                                       TimePoint Now) const;
  bool empty() const { return m_waiting.empty(); }
  std::size_t size() const { return m_waiting.size(); }
  /// Visits the waiting requests, most urgent first.
  template <class Visitor> void visit(Visitor Visit) const {
    for (const auto &[Key, T] : m_waiting)
      Visit(T);
  }

private:
  /// Sort key of a ticket: its class, its rank and its age.
  struct Position {
    bool m_low;  ///< Its rank is a low one.
    bool m_late; ///< Can no longer be on time.
    unsigned m_rank;
    TicketId m_id;
    bool operator<(const Position &O) const {
      return std::tie(m_low, m_late, m_rank, m_id) <
             std::tie(O.m_low, O.m_late, O.m_rank, O.m_id);
    }
  };
  /// Moves tickets that have become late behind those that can be on time.
  void demoteLate(TimePoint Now);
  /// Rate of dispatches while requests wait.
  struct DispatchRate {
    double m_intervalMs = 0; ///< Decaying mean between dispatches.
    TimePoint m_last{};      ///< Last dispatch.
    void onDispatch(TimePoint WaitingSince, TimePoint Now);
    /// Interval to expect now; 0 if it is unknown. The time since the last
    /// dispatch counts while requests wait.
    double intervalMs(TimePoint WaitingSince, TimePoint Now) const;
  };
  /// The waiting requests for one model.
  struct ModelQueue {
    std::set<Position> m_positions;
    TimePoint m_waitingSince{}; ///< Since when there has been one.
    DispatchRate m_all;
    DispatchRate m_late; ///< Of requests that could no longer be on time.
  };
  void insert(ModelQueue &Queue, const Position &Key, TimePoint Now);
  static std::string rateKey(const ChoiceQuery &Query) {
    return Query.m_service + '/' + Query.m_model;
  }

  std::map<Position, Ticket> m_waiting;
  std::map<TicketId, Position> m_positions;   ///< Of each waiting ticket.
  std::map<std::string, ModelQueue> m_models; ///< By service and model.
  TicketId m_nextId = 1;
};

} // namespace primroseworks::gateway

#endif
