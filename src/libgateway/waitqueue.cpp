// Implementation of the wait queue.
#include "libgateway/waitqueue.h"

#include <algorithm>
#include <iterator>
#include <set>

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

void WaitQueue::insert(ModelQueue &Queue, const Position &Key, TimePoint Now) {
  if (Queue.m_positions.empty())
    Queue.m_waitingSince = Now;
  Queue.m_positions.insert(Key);
}

TicketId WaitQueue::add(ChoiceQuery Query, ChoiceObstacle Obstacle,
                        TimePoint OnTimeUntil, TimePoint Now) {
  if (m_waiting.size() >= MaxWaitQueueSize)
    return 0;
  const TicketId Id = m_nextId++;
  const Position Key{Query.m_rank >= FirstLowRank, OnTimeUntil < Now,
                     Query.m_rank, Id};
  insert(m_models[rateKey(Query)], Key, Now);
  m_waiting[Key] = Ticket{Id, std::move(Query), Now, OnTimeUntil, Obstacle};
  m_positions[Id] = Key;
  return Id;
}

void WaitQueue::remove(TicketId Id) {
  auto It = m_positions.find(Id);
  if (It == m_positions.end())
    return;
  const auto Ticket = m_waiting.find(It->second);
  m_models[rateKey(Ticket->second.m_query)].m_positions.erase(It->second);
  m_waiting.erase(Ticket);
  m_positions.erase(It);
}

void WaitQueue::demoteLate(TimePoint Now) {
  std::vector<TicketId> Late;
  for (const auto &[Key, T] : m_waiting)
    if (!Key.m_late && T.m_onTimeUntil < Now)
      Late.push_back(T.m_id);
  for (const TicketId Id : Late) {
    Position &Key = m_positions[Id];
    auto Node = m_waiting.extract(Key);
    ModelQueue &Model = m_models[rateKey(Node.mapped().m_query)];
    Model.m_positions.erase(Key);
    Key.m_late = true;
    Model.m_positions.insert(Key);
    Node.key() = Key;
    m_waiting.insert(std::move(Node));
  }
}

std::vector<Grant>
WaitQueue::dispatch(const std::function<Choice(const ChoiceQuery &)> &Choose,
                    const std::function<void(const Grant &)> &OnGrant,
                    TimePoint Now) {
  demoteLate(Now);
  std::vector<Grant> Granted;
  std::set<std::string> BlockedArtifacts;
  for (auto It = m_waiting.begin(); It != m_waiting.end();) {
    Ticket &T = It->second;
    const std::string Artifact = rateKey(T.m_query) + '/' + T.m_query.m_adapter;
    if (T.m_query.m_excluded.empty() && BlockedArtifacts.count(Artifact)) {
      ++It;
      continue;
    }
    Choice C = Choose(T.m_query);
    if (C.m_obstacle != ChoiceObstacle::None) {
      T.m_obstacle = C.m_obstacle;
      if (T.m_query.m_excluded.empty())
        BlockedArtifacts.insert(Artifact);
      ++It;
      continue;
    }
    const Position Key = It->first;
    ModelQueue &Model = m_models[rateKey(T.m_query)];
    Model.m_all.onDispatch(Model.m_waitingSince, Now);
    if (Key.m_late)
      Model.m_late.onDispatch(T.m_onTimeUntil, Now);
    Model.m_positions.erase(Key);
    Grant G{T.m_id, std::move(C)};
    m_positions.erase(T.m_id);
    It = m_waiting.erase(It);
    OnGrant(G);
    Granted.push_back(std::move(G));
  }
  return Granted;
}

std::optional<Duration> WaitQueue::expectedWait(const ChoiceQuery &Query,
                                                TimePoint OnTimeUntil,
                                                TimePoint Now) const {
  const auto It = m_models.find(rateKey(Query));
  if (It == m_models.end())
    return std::nullopt;
  const ModelQueue &Model = It->second;
  const bool Low = Query.m_rank >= FirstLowRank;
  const auto PositionIfLate = [&](bool Late) {
    return Model.m_positions.lower_bound(
        Position{Low, Late, Query.m_rank, m_nextId});
  };
  const auto Begin = Model.m_positions.begin();
  const auto OnTimeEnd = PositionIfLate(OnTimeUntil < Now);
  const auto Ahead = std::distance(Begin, OnTimeEnd);
  if (Ahead == 0 || Model.m_all.m_last == TimePoint{})
    return std::nullopt;
  const double IntervalMs = Model.m_all.intervalMs(Model.m_waitingSince, Now);
  const Duration Wait =
      fromSeconds(IntervalMs * static_cast<double>(Ahead) / 1000.0);
  if (Now + Wait <= OnTimeUntil)
    return Wait;
  // It will be late, and then wait behind the late ones that are ahead of it.
  const auto LateEnd = PositionIfLate(true);
  Duration LateSince = Duration::zero();
  double AheadLate = 0;
  for (auto P = Begin; P != LateEnd; ++P) {
    if (!P->m_late || P->m_low != Low)
      continue;
    ++AheadLate;
    LateSince = std::max(LateSince, Now - m_waiting.at(*P).m_onTimeUntil);
  }
  if (AheadLate == 0)
    return Wait;
  const double LateIntervalMs = Model.m_late.intervalMs(Now - LateSince, Now);
  return std::max(Wait, fromSeconds(LateIntervalMs * AheadLate / 1000.0));
}

} // namespace primroseworks::gateway
