// Implementation of the wait queue.
#include "libgateway/waitqueue.h"

#include <set>

namespace primroseworks::gateway {

TicketId WaitQueue::add(ChoiceQuery Query, ChoiceObstacle Obstacle,
                        TimePoint OnTimeUntil, TimePoint Now) {
  if (m_waiting.size() >= MaxWaitQueueSize)
    return 0;
  const TicketId Id = m_nextId++;
  const Position Key{Query.m_rank >= FirstLowRank, OnTimeUntil < Now,
                     Query.m_rank, Id};
  m_waiting[Key] = Ticket{Id, std::move(Query), Now, OnTimeUntil, Obstacle};
  m_positions[Id] = Key;
  return Id;
}

void WaitQueue::remove(TicketId Id) {
  auto It = m_positions.find(Id);
  if (It == m_positions.end())
    return;
  m_waiting.erase(It->second);
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
    Key.m_late = true;
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
    DispatchRate &R = m_rates[rateKey(T.m_query)];
    if (R.m_last != TimePoint{}) {
      const double IntervalMs = toMillis(Now - std::max(R.m_last, T.m_since));
      R.m_intervalMs += DispatchIntervalWeight * (IntervalMs - R.m_intervalMs);
    }
    R.m_last = Now;
    Grant G{T.m_id, std::move(C)};
    m_positions.erase(T.m_id);
    It = m_waiting.erase(It);
    OnGrant(G);
    Granted.push_back(std::move(G));
  }
  return Granted;
}

std::optional<Duration> WaitQueue::expectedWait(const ChoiceQuery &Query,
                                                TimePoint Now) const {
  auto It = m_rates.find(rateKey(Query));
  if (It == m_rates.end() || It->second.m_intervalMs <= 0)
    return std::nullopt;
  unsigned Ahead = 0;
  for (const auto &[Key, T] : m_waiting)
    if (Key.m_rank <= Query.m_rank && T.m_query.m_model == Query.m_model &&
        T.m_query.m_service == Query.m_service)
      ++Ahead;
  if (Ahead == 0 || Now - It->second.m_last > Seconds(3))
    return std::nullopt;
  return fromSeconds(It->second.m_intervalMs * Ahead / 1000.0);
}

} // namespace primroseworks::gateway
