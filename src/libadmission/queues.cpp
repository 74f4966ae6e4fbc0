// Waiting requests: order between ranks, fairness inside a rank.
#include "primroseworks/admission.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace primroseworks {

namespace {
/// Tokens that a turn in a round is worth: about one request, so that a turn is
/// short. With 4096 a light caller waited for 13 requests of a heavy one.
constexpr double Quantum = 256;
/// A request costs at most this many tokens in a round, so that it is paid
/// after at most CostMax / Quantum rounds.
constexpr double CostMax = 16384;
/// Parking times double between these bounds.
constexpr Milliseconds FirstPause{20};
constexpr Milliseconds LongestPause{160};
/// Blocked models of one band looked at again in one recheck.
constexpr std::size_t RecheckModels = 8;
/// Time constant of the rate at which requests are placed.
constexpr double DrainSeconds = 5;
/// A backlog younger than this says nothing about the rate.
constexpr Milliseconds DrainKnownAfter{1000};
/// Below this rate per second the wait is not predicted: the model may be about
/// to be loaded.
constexpr double DrainLeast = 0.2;

struct BandKind {
  Rank m_rank;
  bool m_late;
};
/// Bands from the first to the last served.
constexpr std::array<BandKind, 2 *RankCount> BandOrder = {
    {{Rank::Urgent, false},
     {Rank::Standard, false},
     {Rank::Urgent, true},
     {Rank::Standard, true},
     {Rank::Batch, false},
     {Rank::Batch, true}}};

CallerKey callerKey(const std::string &Name) {
  return XXH64(Name.data(), Name.size(), 0);
}

std::size_t bandIndex(Rank R, bool Late) {
  for (std::size_t I = 0; I < BandOrder.size(); ++I)
    if (BandOrder[I].m_rank == R && BandOrder[I].m_late == Late)
      return I;
  return 0;
}
} // namespace

std::size_t AdmissionQueues::bandOf(const QueuedRequest &Item) {
  return bandIndex(Item.m_request.m_rank, Item.m_late);
}

void AdmissionQueues::countCaller(QueuedRequest &Item) {
  RankCallers &R = m_callers[static_cast<std::size_t>(Item.m_request.m_rank)];
  std::list<QueuedRequest *> &Items = R.m_callers[Item.m_caller].m_items;
  R.m_bySize.erase({Items.size(), Item.m_caller});
  Item.m_inCaller = Items.insert(Items.end(), &Item);
  R.m_bySize.insert({Items.size(), Item.m_caller});
  ++R.m_total;
}

void AdmissionQueues::uncountCaller(QueuedRequest &Item) {
  RankCallers &R = m_callers[static_cast<std::size_t>(Item.m_request.m_rank)];
  std::list<QueuedRequest *> &Items = R.m_callers[Item.m_caller].m_items;
  R.m_bySize.erase({Items.size(), Item.m_caller});
  Items.erase(Item.m_inCaller);
  --R.m_total;
  if (Items.empty())
    R.m_callers.erase(Item.m_caller);
  else
    R.m_bySize.insert({Items.size(), Item.m_caller});
}

void AdmissionQueues::enqueue(QueuedRequest &Item, bool Front) {
  Band &B = m_bands[bandOf(Item)];
  auto [It, NewModel] = B.m_models.try_emplace(Item.m_model);
  ModelQueue &M = It->second;
  // New models and callers owe nothing: they are next, with one turn.
  if (NewModel) {
    B.m_round.add(Item.m_model, true);
    M.m_deficit = Quantum;
  }
  auto [FlowIt, NewFlow] = M.m_flows.try_emplace(Item.m_caller);
  if (NewFlow) {
    M.m_round.add(Item.m_caller, true);
    FlowIt->second.m_deficit = Quantum;
  }
  std::list<QueuedRequest *> &Items = FlowIt->second.m_items;
  Item.m_inFlow = Items.insert(Front ? Items.begin() : Items.end(), &Item);
  ++M.m_size;
}

void AdmissionQueues::eraseModel(std::size_t BandIndex, ModelId Model) {
  Band &B = m_bands[BandIndex];
  B.m_round.remove(Model);
  m_busy[BandIndex].erase(Model);
  B.m_models.erase(Model);
}

void AdmissionQueues::dequeue(QueuedRequest &Item) {
  std::size_t BandIndex = bandOf(Item);
  ModelQueue &M = m_bands[BandIndex].m_models.find(Item.m_model)->second;
  M.m_flows.find(Item.m_caller)->second.m_items.erase(Item.m_inFlow);
  // A blocked model has no turns in which an empty queue would be dropped.
  if (--M.m_size == 0 && M.m_block != Block::None)
    eraseModel(BandIndex, Item.m_model);
}

std::unique_ptr<QueuedRequest>
AdmissionQueues::push(std::unique_ptr<QueuedRequest> Item, TimePoint Now) {
  QueuedRequest &New = *Item;
  New.m_sequence = m_nextSequence++;
  New.m_cost = std::clamp(New.m_cost, 1.0, CostMax);
  if (Now > New.m_target)
    setLate(New);
  New.m_caller = callerKey(New.m_request.m_caller);
  m_byExpiry.insert({New.m_expires, &New});
  countCaller(New);
  enqueue(New, false);
  Drain &D = m_drains[drainKey(New.m_request.m_rank, New.m_model)];
  if (D.m_waiting++ == 0)
    D.m_waitingSince = Now;
  m_items.emplace(New.m_request.m_id, std::move(Item));
  if (m_items.size() <= m_capacity)
    return nullptr;
  return extract(*victim(New.m_request.m_rank), Now);
}

QueuedRequest *AdmissionQueues::victim(Rank NotAbove) {
  for (std::size_t I = RankCount; I > static_cast<std::size_t>(NotAbove); --I) {
    RankCallers &R = m_callers[I - 1];
    if (R.m_bySize.empty())
      continue;
    CallerKey Largest = R.m_bySize.rbegin()->second;
    return R.m_callers[Largest].m_items.back();
  }
  return nullptr;
}

std::unique_ptr<QueuedRequest> AdmissionQueues::extract(QueuedRequest &Item,
                                                        TimePoint) {
  if (Item.m_parked)
    m_parked.erase({Item.m_wake, &Item});
  else
    dequeue(Item);
  m_byExpiry.erase({Item.m_expires, &Item});
  uncountCaller(Item);
  Drain &D = m_drains[drainKey(Item.m_request.m_rank, Item.m_model)];
  --D.m_waiting;
  if (Item.m_late)
    --D.m_late;
  auto It = m_items.find(Item.m_request.m_id);
  std::unique_ptr<QueuedRequest> Out = std::move(It->second);
  m_items.erase(It);
  return Out;
}

QueuedRequest *AdmissionQueues::find(const std::string &Id) {
  auto It = m_items.find(Id);
  return It == m_items.end() ? nullptr : It->second.get();
}

std::unique_ptr<QueuedRequest> AdmissionQueues::remove(const std::string &Id) {
  QueuedRequest *Item = find(Id);
  return Item ? extract(*Item, TimePoint{}) : nullptr;
}

std::unique_ptr<QueuedRequest> AdmissionQueues::takeExpired(TimePoint Now) {
  if (m_byExpiry.empty() || m_byExpiry.begin()->first >= Now)
    return nullptr;
  return extract(*m_byExpiry.begin()->second, Now);
}

QueuedRequest *AdmissionQueues::rotateFlows(ModelQueue &M) {
  while (true) {
    CallerKey Caller = M.m_round.front();
    Flow &F = M.m_flows.find(Caller)->second;
    if (F.m_deficit > 0 && !F.m_items.empty())
      return F.m_items.front();
    if (F.m_deficit > 0 && M.m_round.m_new.empty()) {
      M.m_round.remove(Caller);
      M.m_flows.erase(Caller);
      continue;
    }
    if (F.m_deficit <= 0)
      F.m_deficit += Quantum;
    M.m_round.endTurn();
  }
}

// Each step pays a quantum of a request placed before or drops an empty queue,
// so the steps per request are bounded by CostMax / Quantum on average.
QueuedRequest *AdmissionQueues::rotate(std::size_t BandIndex) {
  Band &B = m_bands[BandIndex];
  while (!B.m_round.empty()) {
    ModelId Model = B.m_round.front();
    ModelQueue &M = B.m_models.find(Model)->second;
    if (M.m_deficit > 0 && M.m_size > 0)
      return rotateFlows(M);
    if (M.m_deficit > 0 && B.m_round.m_new.empty()) {
      eraseModel(BandIndex, Model);
      continue;
    }
    if (M.m_deficit <= 0)
      M.m_deficit += Quantum;
    B.m_round.endTurn();
  }
  return nullptr;
}

QueuedRequest *AdmissionQueues::head(std::size_t BandIndex, TimePoint Now) {
  while (QueuedRequest *Item = rotate(BandIndex)) {
    if (Item->m_late || Now <= Item->m_target)
      return Item;
    dequeue(*Item);
    setLate(*Item);
    enqueue(*Item, false);
  }
  return nullptr;
}

void AdmissionQueues::setLate(QueuedRequest &Item) {
  Item.m_late = true;
  ++m_drains[drainKey(Item.m_request.m_rank, Item.m_model)].m_late;
}

QueuedRequest *AdmissionQueues::next(TimePoint Now, bool &Entitled) {
  std::array<std::pair<double, Rank>, 2> Below = {
      {{m_shares.deficit(Rank::Standard, Now), Rank::Standard},
       {m_shares.deficit(Rank::Batch, Now), Rank::Batch}}};
  if (Below[1].first > Below[0].first)
    std::swap(Below[0], Below[1]);
  Entitled = true;
  for (const auto &[Deficit, R] : Below) {
    if (Deficit <= 0)
      continue;
    for (bool Late : {false, true})
      if (QueuedRequest *Item = head(bandIndex(R, Late), Now))
        return Item;
  }
  // Urgent work is first in any case; below its share it is entitled as well.
  Entitled = m_shares.deficit(Rank::Urgent, Now) > 0;
  if (QueuedRequest *Item = head(bandIndex(Rank::Urgent, false), Now))
    return Item;
  Entitled = false;
  for (std::size_t I = 0; I < BandCount; ++I)
    if (QueuedRequest *Item = head(I, Now))
      return Item;
  return nullptr;
}

std::unique_ptr<QueuedRequest> AdmissionQueues::taken(QueuedRequest &Item,
                                                      TimePoint Now) {
  ModelQueue &M = m_bands[bandOf(Item)].m_models.find(Item.m_model)->second;
  M.m_deficit -= Item.m_cost;
  M.m_flows.find(Item.m_caller)->second.m_deficit -= Item.m_cost;
  m_shares.add(Item.m_request.m_rank, Item.m_cost, Now);
  Drain &D = m_drains[drainKey(Item.m_request.m_rank, Item.m_model)];
  double Idle = D.m_time == TimePoint{} ? 0 : toSeconds(Now - D.m_time);
  D.m_rate = D.m_rate * std::exp(-Idle / DrainSeconds) + 1 / DrainSeconds;
  D.m_time = Now;
  return extract(Item, Now);
}

void AdmissionQueues::failed(QueuedRequest &Item, PlaceResult Result,
                             TimePoint Now) {
  switch (Result) {
  case PlaceResult::Placed:
    break;
  case PlaceResult::Busy:
    block(bandOf(Item), Item.m_model, Block::Busy);
    break;
  case PlaceResult::NotResident:
    block(bandOf(Item), Item.m_model, Block::NotResident);
    break;
  case PlaceResult::Unsuitable:
    dequeue(Item);
    Item.m_pause =
        std::clamp<Duration>(2 * Item.m_pause, FirstPause, LongestPause);
    Item.m_wake = Now + Item.m_pause;
    Item.m_parked = true;
    m_parked.insert({Item.m_wake, &Item});
    break;
  }
}

void AdmissionQueues::block(std::size_t BandIndex, ModelId Model, Block Why) {
  Band &B = m_bands[BandIndex];
  ModelQueue &M = B.m_models.find(Model)->second;
  B.m_round.remove(Model);
  M.m_block = Why;
  if (Why == Block::Busy)
    m_busy[BandIndex].insert(Model);
}

void AdmissionQueues::unblockIn(std::size_t BandIndex, ModelId Model) {
  Band &B = m_bands[BandIndex];
  auto It = B.m_models.find(Model);
  if (It == B.m_models.end() || It->second.m_block == Block::None)
    return;
  It->second.m_block = Block::None;
  B.m_round.add(Model, false);
  m_busy[BandIndex].erase(Model);
}

void AdmissionQueues::unblock(ModelId Model) {
  for (std::size_t I = 0; I < BandCount; ++I)
    unblockIn(I, Model);
}

void AdmissionQueues::recheck(TimePoint Now) {
  while (!m_parked.empty() && m_parked.begin()->first <= Now) {
    QueuedRequest *Item = m_parked.begin()->second;
    m_parked.erase(m_parked.begin());
    Item->m_parked = false;
    enqueue(*Item, true);
  }
  for (std::size_t I = 0; I < BandCount; ++I) {
    std::set<ModelId> &Busy = m_busy[I];
    for (std::size_t N = std::min(RecheckModels, Busy.size()); N > 0; --N) {
      auto It = Busy.lower_bound(m_recheckFrom[I]);
      ModelId Model = It == Busy.end() ? *Busy.begin() : *It;
      m_recheckFrom[I] = Model + 1;
      unblockIn(I, Model);
    }
  }
}

std::optional<Duration> AdmissionQueues::expectedWait(Rank R, ModelId Model,
                                                      const std::string &Caller,
                                                      TimePoint Now) {
  auto It = m_drains.find(drainKey(R, Model));
  if (It == m_drains.end() || It->second.m_waiting == 0 ||
      Now - It->second.m_waitingSince < DrainKnownAfter)
    return std::nullopt;
  const Drain &D = It->second;
  double Rate = D.m_rate * std::exp(-toSeconds(Now - D.m_time) / DrainSeconds);
  if (Rate < DrainLeast)
    return std::nullopt;
  const RankCallers &Callers = m_callers[static_cast<std::size_t>(R)];
  std::size_t Own = 0;
  if (auto C = Callers.m_callers.find(callerKey(Caller));
      C != Callers.m_callers.end())
    Own = C->second.m_items.size();
  // Fairness gives a caller a turn after one of each other caller.
  std::size_t Ahead = std::min(D.m_waiting - D.m_late,
                               (Own + 1) * (Callers.m_callers.size() + 1));
  return fromSeconds(static_cast<double>(Ahead) / Rate);
}

std::size_t AdmissionQueues::waiting(Rank R, ModelId Model) const {
  auto It = m_drains.find(drainKey(R, Model));
  return It == m_drains.end() ? 0 : It->second.m_waiting;
}

std::vector<const QueuedRequest *>
AdmissionQueues::busyHeads(Rank R, std::size_t Max) const {
  std::vector<const QueuedRequest *> Out;
  for (bool Late : {false, true}) {
    std::size_t I = bandIndex(R, Late);
    for (ModelId Model : m_busy[I]) {
      if (Out.size() >= Max)
        return Out;
      const ModelQueue &M = m_bands[I].m_models.find(Model)->second;
      auto Waiting =
          std::find_if(M.m_flows.begin(), M.m_flows.end(),
                       [](const auto &F) { return !F.second.m_items.empty(); });
      if (Waiting != M.m_flows.end())
        Out.push_back(Waiting->second.m_items.front());
    }
  }
  return Out;
}

std::vector<std::string>
AdmissionQueues::withFingerprint(std::uint64_t Fingerprint) const {
  std::vector<std::string> Out;
  for (const auto &[Id, Item] : m_items)
    if (Item->m_request.m_fingerprint == Fingerprint)
      Out.push_back(Id);
  return Out;
}

} // namespace primroseworks
