// Implementation of the wait queue.
#include "libgateway/waitqueue.h"

#include <algorithm>

namespace primroseworks::gateway {

void WaitQueue::DispatchRate::onDispatch(TimePoint WaitingSince,
                                         TimePoint Now) {
  if (m_last != TimePoint{}) {
    const double IntervalMs = toMillis(Now - std::max(m_last, WaitingSince));
    m_intervalMs = m_intervalMs == 0
                       ? IntervalMs
                       : m_intervalMs + DispatchIntervalWeight *
                                            (IntervalMs - m_intervalMs);
  }
  m_last = Now;
}

double WaitQueue::DispatchRate::intervalMs(TimePoint WaitingSince,
                                           TimePoint Now) const {
  return std::max(m_intervalMs, toMillis(Now - std::max(m_last, WaitingSince)));
}

/// Requests with excluded endpoints have a lane each: that there is no endpoint
/// for one of them says nothing about others.
std::string WaitQueue::laneOf(const ChoiceQuery &Query, TicketId Id) {
  std::string Lane = rateKey(Query) + '/' + Query.m_adapter;
  if (!Query.m_excluded.empty())
    Lane += '#' + std::to_string(Id);
  return Lane;
}

void WaitQueue::enterClass(const Entry &E) {
  const ChoiceQuery &Q = E.m_ticket.m_query;
  m_classes[E.m_class][Q.m_service].add(
      {E.m_ticket.m_id, Q.m_account, E.m_lane, rateKey(Q),
       static_cast<double>(Q.m_size.m_kvTokens), E.m_weight});
  if (E.m_class.m_late)
    m_models[rateKey(Q)].m_lateUntil[E.m_class].insert(
        E.m_ticket.m_onTimeUntil);
  else
    m_onTime.insert({E.m_ticket.m_onTimeUntil, E.m_ticket.m_id});
}

/// Removes an entry from its class. Contended is as in
/// FairQueue::onDispatched(); empty if the entry was not dispatched.
void WaitQueue::leaveClass(const Entry &E,
                           const std::optional<bool> &Contended) {
  const ChoiceQuery &Q = E.m_ticket.m_query;
  const TicketId Id = E.m_ticket.m_id;
  const auto Class = m_classes.find(E.m_class);
  const auto Queue = Class->second.find(Q.m_service);
  if (Contended)
    Queue->second.onDispatched(Id, *Contended);
  else
    Queue->second.remove(Id);
  if (Queue->second.empty())
    Class->second.erase(Queue);
  if (Class->second.empty())
    m_classes.erase(Class);
  if (!E.m_class.m_late) {
    m_onTime.erase({E.m_ticket.m_onTimeUntil, Id});
    return;
  }
  auto &LateUntil = m_models[rateKey(Q)].m_lateUntil;
  const auto Times = LateUntil.find(E.m_class);
  Times->second.erase(Times->second.find(E.m_ticket.m_onTimeUntil));
  if (Times->second.empty())
    LateUntil.erase(Times);
}

void WaitQueue::enterModel(const Entry &E, TimePoint Now) {
  const ChoiceQuery &Q = E.m_ticket.m_query;
  ModelQueue &Model = m_models[rateKey(Q)];
  if (Model.m_count++ == 0)
    Model.m_waitingSince = Now;
  AccountWait &Own = Model.m_accounts[Q.m_account];
  if (Own.m_count++ == 0)
    Own.m_waitingSince = Now;
}

double WaitQueue::weightOf(const ChoiceQuery &Query, TimePoint Now) const {
  const auto It = m_weights.find(Query.m_service);
  return It == m_weights.end() ? 1 : It->second.weight(Query.m_account, Now);
}

TicketId WaitQueue::add(ChoiceQuery Query, ChoiceObstacle Obstacle,
                        TimePoint OnTimeUntil, TimePoint Now) {
  if (m_waiting.size() >= MaxWaitQueueSize)
    return 0;
  const TicketId Id = m_nextId++;
  const ClassKey Class{Query.m_rank >= FirstLowRank, OnTimeUntil < Now,
                       Query.m_rank};
  std::string Lane = laneOf(Query, Id);
  const double Weight = weightOf(Query, Now);
  const Entry &E =
      m_waiting
          .emplace(Id, Entry{{Id, std::move(Query), Now, OnTimeUntil, Obstacle},
                             Class,
                             std::move(Lane),
                             Weight})
          .first->second;
  enterClass(E);
  enterModel(E, Now);
  // A request that was sent to an endpoint cannot be refused as not run.
  const ChoiceQuery &Q = E.m_ticket.m_query;
  m_backlogs.add(Id, Q.m_account, Q.m_mayRevisit);
  return Id;
}

WaitQueue::Entry WaitQueue::take(TicketId Id,
                                 const std::optional<bool> &Contended) {
  const auto It = m_waiting.find(Id);
  Entry E = std::move(It->second);
  m_waiting.erase(It);
  leaveClass(E, Contended);
  const ChoiceQuery &Q = E.m_ticket.m_query;
  ModelQueue &Model = m_models[rateKey(Q)];
  --Model.m_count;
  const auto Own = Model.m_accounts.find(Q.m_account);
  if (--Own->second.m_count == 0)
    Model.m_accounts.erase(Own);
  m_backlogs.remove(Id, Q.m_account);
  return E;
}

void WaitQueue::remove(TicketId Id) {
  if (m_waiting.count(Id))
    take(Id, std::nullopt);
}

const Ticket *WaitQueue::find(TicketId Id) const {
  const auto It = m_waiting.find(Id);
  return It == m_waiting.end() ? nullptr : &It->second.m_ticket;
}

void WaitQueue::demoteLate(TimePoint Now) {
  while (!m_onTime.empty() && m_onTime.begin()->first < Now) {
    Entry &E = m_waiting.at(m_onTime.begin()->second);
    leaveClass(E, std::nullopt);
    E.m_class.m_late = true;
    enterClass(E);
  }
}

/// The next request of a class. The services of a class take turns by age.
std::optional<TicketId>
WaitQueue::nextIn(const ClassQueue &Class, Cursors &From,
                  const std::set<std::string> &BlockedLanes) {
  std::optional<TicketId> First;
  for (const auto &[Service, Queue] : Class) {
    const std::optional<TicketId> Id = Queue.next(From[Service], BlockedLanes);
    if (Id && (!First || *Id < *First))
      First = Id;
  }
  return First;
}

Ticket WaitQueue::takeDispatched(TicketId Id, TimePoint Now) {
  const Entry &Waiting = m_waiting.at(Id);
  const Ticket &T = Waiting.m_ticket;
  ModelQueue &Model = m_models[rateKey(T.m_query)];
  Model.m_all.onDispatch(Model.m_waitingSince, Now);
  if (Waiting.m_class.m_late)
    Model.m_late.onDispatch(T.m_onTimeUntil, Now);
  AccountWait &Own = Model.m_accounts.at(T.m_query.m_account);
  Own.m_rate.onDispatch(Own.m_waitingSince, Now);
  onDispatchedAtOnce(T.m_query, Now);
  return take(Id, T.m_since < Now).m_ticket;
}

void WaitQueue::onDispatchedAtOnce(const ChoiceQuery &Query, TimePoint Now) {
  m_weights[Query.m_service].onServed(
      Query.m_account,
      std::clamp(static_cast<double>(Query.m_size.m_kvTokens),
                 fairness::MinEntryCost, fairness::MaxEntryCost),
      Now);
}

std::vector<Grant>
WaitQueue::dispatch(const std::function<Choice(const ChoiceQuery &)> &Choose,
                    const std::function<void(const Grant &)> &OnGrant,
                    TimePoint Now) {
  demoteLate(Now);
  std::vector<Grant> Granted;
  std::set<std::string> BlockedLanes;
  Cursors From;
  for (auto Class = m_classes.begin(); Class != m_classes.end();) {
    const std::optional<TicketId> Id =
        nextIn(Class->second, From, BlockedLanes);
    if (!Id) {
      ++Class;
      From.clear();
      continue;
    }
    Entry &E = m_waiting.at(*Id);
    Choice C = Choose(E.m_ticket.m_query);
    if (C.m_obstacle != ChoiceObstacle::None) {
      E.m_ticket.m_obstacle = C.m_obstacle;
      BlockedLanes.insert(E.m_lane);
      continue;
    }
    const ClassKey Key = Class->first;
    takeDispatched(*Id, Now);
    Class = m_classes.lower_bound(Key);
    if (Class == m_classes.end() || Key < Class->first)
      From.clear(); // This was the last request of its class.
    Grant G{*Id, std::move(C)};
    OnGrant(G);
    Granted.push_back(std::move(G));
  }
  return Granted;
}

double WaitQueue::aheadOf(const ChoiceQuery &Query,
                          const ClassKey &Before) const {
  double Ahead = 0;
  for (const auto &[Key, Class] : m_classes) {
    if (Before < Key)
      break;
    const auto Queue = Class.find(Query.m_service);
    if (Queue == Class.end())
      continue;
    const std::string Pool = rateKey(Query);
    Ahead += Key < Before ? static_cast<double>(Queue->second.waiting(Pool))
                          : Queue->second.ahead(Pool, Query.m_account);
  }
  return Ahead;
}

Duration WaitQueue::waitBehindOwn(const ModelQueue &Model,
                                  const ChoiceQuery &Query,
                                  const ClassKey &Last, TimePoint Now) const {
  const auto Own = Model.m_accounts.find(Query.m_account);
  if (Own == Model.m_accounts.end() || Model.m_accounts.size() == 1)
    return Duration::zero();
  double Ahead = 0;
  for (const auto &[Key, Class] : m_classes) {
    if (Last < Key)
      break;
    const auto Queue = Class.find(Query.m_service);
    if (Queue != Class.end())
      Ahead += static_cast<double>(
          Queue->second.waiting(rateKey(Query), Query.m_account));
  }
  const double IntervalMs =
      Own->second.m_rate.intervalMs(Own->second.m_waitingSince, Now);
  return fromSeconds(IntervalMs * Ahead / 1000.0);
}

/// Expected wait of a request that can no longer be on time: that of the late
/// requests of its group (low ranks or the others) that are dispatched before
/// it.
Duration WaitQueue::waitAsLate(const ModelQueue &Model,
                               const ChoiceQuery &Query, const ClassKey &Last,
                               TimePoint Now) const {
  Duration LateSince = Duration::zero();
  const ClassKey First{Last.m_low, true, 0};
  for (auto It = Model.m_lateUntil.lower_bound(First);
       It != Model.m_lateUntil.end() && !(Last < It->first); ++It)
    LateSince = std::max(LateSince, Now - *It->second.begin());
  double Ahead = 0;
  for (auto It = m_classes.lower_bound(First);
       It != m_classes.end() && !(Last < It->first); ++It) {
    const auto Queue = It->second.find(Query.m_service);
    if (Queue == It->second.end())
      continue;
    const std::string Pool = rateKey(Query);
    Ahead += It->first < Last ? static_cast<double>(Queue->second.waiting(Pool))
                              : Queue->second.ahead(Pool, Query.m_account);
  }
  if (Ahead == 0)
    return Duration::zero();
  const double IntervalMs = Model.m_late.intervalMs(Now - LateSince, Now);
  return fromSeconds(IntervalMs * Ahead / 1000.0);
}

std::optional<Duration> WaitQueue::expectedWait(const ChoiceQuery &Query,
                                                TimePoint OnTimeUntil,
                                                TimePoint Now) const {
  const auto It = m_models.find(rateKey(Query));
  if (It == m_models.end())
    return std::nullopt;
  const ModelQueue &Model = It->second;
  const ClassKey OnArrival{Query.m_rank >= FirstLowRank, OnTimeUntil < Now,
                           Query.m_rank};
  const double Ahead = aheadOf(Query, OnArrival);
  if (Ahead == 0 || Model.m_all.m_last == TimePoint{})
    return std::nullopt;
  const double IntervalMs = Model.m_all.intervalMs(Model.m_waitingSince, Now);
  const Duration Wait = std::max(fromSeconds(IntervalMs * Ahead / 1000.0),
                                 waitBehindOwn(Model, Query, OnArrival, Now));
  if (Now + Wait <= OnTimeUntil)
    return Wait;
  const ClassKey IfLate{OnArrival.m_low, true, Query.m_rank};
  return std::max({Wait, waitAsLate(Model, Query, IfLate, Now),
                   waitBehindOwn(Model, Query, IfLate, Now)});
}

} // namespace primroseworks::gateway
