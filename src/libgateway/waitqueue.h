// Requests that wait in this VM until an endpoint has a place for them.
//
// Load pattern: a flood at full engines. First come, first served would answer
// everybody late once the wait exceeds the objective. So the requests that can
// still be on time go first, the most urgent rank first and of one rank the one
// that has waited longest; those that are late follow in the same order, before
// work of the low ranks. What cannot be placed before its caller leaves is
// rejected when it comes.
#ifndef PRIMROSEWORKS_LIBGATEWAY_WAITQUEUE_H
#define PRIMROSEWORKS_LIBGATEWAY_WAITQUEUE_H

#include "libgateway/chooser.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace primroseworks::gateway {

using TicketId = std::uint64_t;

struct Ticket {
  TicketId m_id = 0;
  ChoiceQuery m_query;
  TimePoint m_since{};
  TimePoint m_onTimeUntil{}; ///< Placed later, it is answered late.
  /// Why it was not placed when that was last tried.
  ChoiceObstacle m_obstacle = ChoiceObstacle::Full;
};

/// A ticket and the endpoint that it got.
struct Grant {
  TicketId m_ticket = 0;
  Choice m_choice;
};

/// Most requests that wait in one VM; each holds its body in memory.
inline constexpr std::size_t WaitQueueLimit = 1500;
/// Weight of the newest interval in the rate of placements.
inline constexpr double PlacementRateWeight = 0.2;

class WaitQueue {
public:
  /// Adds a request; its id, or 0 if the queue is full.
  TicketId add(ChoiceQuery Query, ChoiceObstacle Obstacle,
               TimePoint OnTimeUntil, TimePoint Now);
  void remove(TicketId Id);
  /// Places what can be placed now, most urgent first. Choose is asked once for
  /// each artifact and rank that has no place.
  std::vector<Grant>
  dispatch(const std::function<Choice(const ChoiceQuery &)> &Choose,
           const std::function<void(const Grant &)> &OnGrant, TimePoint Now);
  /// Expected wait of a new request with this query; nothing while no
  /// placement of its artifact was seen lately.
  std::optional<Duration> expectedWait(const ChoiceQuery &Query,
                                       TimePoint Now) const;
  bool empty() const { return m_waiting.empty(); }
  std::size_t size() const { return m_waiting.size(); }
  /// The waiting requests, most urgent first.
  template <class Visitor> void visit(Visitor Visit) const {
    for (const auto &[Position, T] : m_waiting)
      Visit(T);
  }

private:
  /// Place of a ticket: its class, its rank and its age.
  struct Order {
    bool m_low;  ///< Of the low ranks.
    bool m_late; ///< Cannot be on time any more.
    unsigned m_rank;
    TicketId m_id;
    bool operator<(const Order &O) const {
      return std::tie(m_low, m_late, m_rank, m_id) <
             std::tie(O.m_low, O.m_late, O.m_rank, O.m_id);
    }
  };
  /// Moves tickets that have become late behind those that have not.
  void sortOutLate(TimePoint Now);
  struct Rate {
    double m_intervalMs = 0; ///< Decaying mean between placements.
    TimePoint m_last{};
  };
  static std::string rateKey(const ChoiceQuery &Query) {
    return Query.m_service + '/' + Query.m_model;
  }

  std::map<Order, Ticket> m_waiting;
  std::map<TicketId, Order> m_places;  ///< Of each waiting ticket.
  std::map<std::string, Rate> m_rates; ///< By service and model.
  TicketId m_next = 1;
};

} // namespace primroseworks::gateway

#endif
