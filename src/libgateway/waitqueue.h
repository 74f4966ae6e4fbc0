// Queue of the requests that wait in this VM for capacity at an endpoint.
//
// Load pattern: a flood of requests while all engines are full. In FIFO order
// every response would be late once the wait exceeds the latency target. So
// requests that can still be on time are dispatched first, by rank; late ones
// follow in the same order, before requests of the low ranks. Within a rank,
// client accounts get fair shares (libfairness), and the requests of one
// account are dispatched by age. A request that cannot be dispatched before its
// caller gives up is rejected on arrival.
#ifndef PRIMROSEWORKS_LIBGATEWAY_WAITQUEUE_H
#define PRIMROSEWORKS_LIBGATEWAY_WAITQUEUE_H

#include "libfairness/accountbacklogs.h"
#include "libfairness/accountweights.h"
#include "libfairness/fairqueue.h"
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

/// Why a request is refused on arrival.
enum class WaitRefusal {
  TooLong,  ///< No endpoint is expected within its maximum wait.
  QueueFull ///< And no other account has more requests in the queue.
};
inline constexpr NameTable<WaitRefusal, 2> WaitRefusalNames = {
    {{WaitRefusal::TooLong, "too_long"},
     {WaitRefusal::QueueFull, "queue_full"}}};

class WaitQueue {
public:
  /// Adds a request. Returns its id, or 0 if the queue is full; victimFor()
  /// tells whether another request should leave for it.
  TicketId add(ChoiceQuery Query, ChoiceObstacle Obstacle,
               TimePoint OnTimeUntil, TimePoint Now);
  void remove(TicketId Id);
  /// A request was dispatched without being added: it counts in the usual load
  /// of its account.
  void onDispatchedAtOnce(const ChoiceQuery &Query, TimePoint Now);
  /// The request that should leave for a new one of Account: nothing while the
  /// queue has room, or if the new one should be refused instead.
  std::optional<TicketId> victimFor(const std::string &Account) const {
    return size() < MaxWaitQueueSize ? std::nullopt
                                     : m_backlogs.victimFor(Account);
  }
  /// Dispatches the requests for which there is capacity now, most urgent
  /// first. Once Choose finds no endpoint for a request without excluded
  /// endpoints, it is not called for further such requests for the same
  /// artifact. Choose and OnGrant must not change the queue.
  std::vector<Grant>
  dispatch(const std::function<Choice(const ChoiceQuery &)> &Choose,
           const std::function<void(const Grant &)> &OnGrant, TimePoint Now);
  /// Expected wait of a new request with this query; nothing if no request for
  /// its model is ahead of it or was dispatched so far. Counts what is ahead in
  /// the fair order, and the pace at which the account's own backlog is
  /// dispatched. OnTimeUntil is as in Ticket.
  std::optional<Duration> expectedWait(const ChoiceQuery &Query,
                                       TimePoint OnTimeUntil,
                                       TimePoint Now) const;
  bool empty() const { return m_waiting.empty(); }
  std::size_t size() const { return m_waiting.size(); }
  /// The waiting request with this id; null if there is none.
  const Ticket *find(TicketId Id) const;
  /// Requests by account.
  const fairness::AccountBacklogs &backlogs() const { return m_backlogs; }
  /// Visits the waiting requests by age.
  template <class Visitor> void visit(Visitor Visit) const {
    for (const auto &[Id, E] : m_waiting)
      Visit(E.m_ticket);
  }

private:
  /// Requests of one class are dispatched in a fair order, and before those of
  /// the next class.
  struct ClassKey {
    bool m_low = false;  ///< Its rank is a low one.
    bool m_late = false; ///< Can no longer be on time.
    unsigned m_rank = 0;
    bool operator<(const ClassKey &O) const {
      return std::tie(m_low, m_late, m_rank) <
             std::tie(O.m_low, O.m_late, O.m_rank);
    }
  };
  /// By service: services share no endpoints, so each has its own fair order.
  using ClassQueue = std::map<std::string, fairness::FairQueue>;
  struct Entry {
    Ticket m_ticket;
    ClassKey m_class;
    std::string m_lane;  ///< Requests that wait for the same capacity.
    double m_weight = 1; ///< Of its account on arrival.
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
  /// The waiting requests of one account for one model.
  struct AccountWait {
    std::size_t m_count = 0;
    TimePoint m_waitingSince{}; ///< Since when there has been one.
    DispatchRate m_rate;
  };
  /// The waiting requests for one model.
  struct ModelQueue {
    std::size_t m_count = 0;
    TimePoint m_waitingSince{}; ///< Since when there has been one.
    DispatchRate m_all;
    DispatchRate m_late; ///< Of requests that could no longer be on time.
    std::map<std::string, AccountWait> m_accounts; ///< Only with requests.
    /// Until when the late requests were on time, by class.
    std::map<ClassKey, std::multiset<TimePoint>> m_lateUntil;
  };
  /// Adds a ticket to its class, or removes it.
  void enterClass(const Entry &E);
  void leaveClass(const Entry &E, const std::optional<bool> &Contended);
  void enterModel(const Entry &E, TimePoint Now);
  /// Removes a ticket that is not dispatched, or is already counted as such.
  Entry take(TicketId Id, const std::optional<bool> &Contended);
  /// Where a sweep over a class is, by service.
  using Cursors = std::map<std::string, fairness::FairQueue::Cursor>;
  static std::optional<TicketId>
  nextIn(const ClassQueue &Class, Cursors &From,
         const std::set<std::string> &BlockedLanes);
  Ticket takeDispatched(TicketId Id, TimePoint Now);
  /// Requests for a model that are ahead of a new one: all of the classes
  /// before Before, and those before it in its own class.
  double aheadOf(const ChoiceQuery &Query, const ClassKey &Before) const;
  /// Expected wait behind the account's own requests of classes up to Last,
  /// while other accounts wait for the same model; otherwise zero.
  Duration waitBehindOwn(const ModelQueue &Model, const ChoiceQuery &Query,
                         const ClassKey &Last, TimePoint Now) const;
  Duration waitAsLate(const ModelQueue &Model, const ChoiceQuery &Query,
                      const ClassKey &Last, TimePoint Now) const;
  static std::string rateKey(const ChoiceQuery &Query) {
    return Query.m_service + '/' + Query.m_model;
  }
  double weightOf(const ChoiceQuery &Query, TimePoint Now) const;
  static std::string laneOf(const ChoiceQuery &Query, TicketId Id);

  std::map<TicketId, Entry> m_waiting;
  std::map<ClassKey, ClassQueue> m_classes; ///< No empty ones.
  /// Tickets that are not counted as late, by the time when they become so.
  std::set<std::pair<TimePoint, TicketId>> m_onTime;
  std::map<std::string, ModelQueue> m_models; ///< By service and model.
  fairness::AccountBacklogs m_backlogs;
  std::map<std::string, fairness::AccountWeights> m_weights; ///< By service.
  TicketId m_nextId = 1;
};

} // namespace primroseworks::gateway

#endif
