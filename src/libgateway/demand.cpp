// Demand by model and adapter.
#include "libgateway/demand.h"

#include <cmath>

namespace primroseworks::gateway {

void LocalDemand::onRequest(const std::string &Model,
                            const std::string &Adapter) {
  if (Model.empty())
    return;
  m_models[Model].m_newRequests += 1;
  if (!Adapter.empty())
    m_usedAdapters.insert({Model, Adapter});
}

void LocalDemand::onStarted(const std::string &Model,
                            const std::string &Adapter) {
  if (!Model.empty())
    m_models[Model].m_running += 1;
  if (!Adapter.empty())
    ++m_runningAdapters[{Model, Adapter}];
}

void LocalDemand::onEnded(const std::string &Model,
                          const std::string &Adapter) {
  auto Running = m_runningAdapters.find({Model, Adapter});
  if (Running != m_runningAdapters.end() && --Running->second == 0)
    m_runningAdapters.erase(Running);
  auto It = m_models.find(Model);
  if (It != m_models.end() && It->second.m_running >= 1)
    It->second.m_running -= 1;
}

void LocalDemand::update(TimePoint Now) {
  if (m_lastUpdate == TimePoint{}) {
    m_lastUpdate = Now;
    return;
  }
  const double Elapsed = toSeconds(Now - m_lastUpdate);
  if (Elapsed < 0.05)
    return;
  m_lastUpdate = Now;
  const double Decay = std::exp(-Elapsed / toSeconds(ArrivalSmoothing));
  for (auto &[Name, M] : m_models) {
    M.m_arrivalRate =
        Decay * M.m_arrivalRate + (1 - Decay) * M.m_newRequests / Elapsed;
    M.m_newRequests = 0;
  }
}

void LocalDemand::fill(PeerReport &Report, const WaitQueue &Queue) {
  std::map<std::string, double> Waiting;
  std::map<ArtifactName, unsigned> Wanted;
  Queue.visit([&](const Ticket &T) {
    if (T.m_query.m_model.empty())
      return;
    if (T.m_obstacle != ChoiceObstacle::NoAdapter)
      Waiting[T.m_query.m_model] += 1;
    if (!T.m_query.m_adapter.empty())
      ++Wanted[{T.m_query.m_model, T.m_query.m_adapter}];
  });
  for (const auto &[Name, Count] : Waiting)
    m_models[Name];
  for (const auto &[Name, M] : m_models) {
    const double WaitingHere = Waiting.count(Name) ? Waiting[Name] : 0;
    if (M.m_running < 1 && WaitingHere < 1 && M.m_arrivalRate < 0.005)
      continue;
    Report.m_demands.push_back(
        {Name, {M.m_running, WaitingHere, M.m_arrivalRate}});
  }
  for (const auto &[Name, Count] : Wanted)
    Report.m_wantedAdapters.push_back({Name, Count});
  for (const auto &[Name, Count] : m_runningAdapters)
    m_usedAdapters.insert(Name);
  Report.m_usedAdapters.assign(m_usedAdapters.begin(), m_usedAdapters.end());
  m_usedAdapters.clear();
}

void FleetDemand::onReport(const PeerReport &Report, TimePoint Now) {
  for (const ArtifactName &A : Report.m_usedAdapters)
    m_adapterLastUsed[A] = Now;
  m_members[Report.m_sender] = Member{Report, Now};
}

void FleetDemand::fill(PlacementInput &Input, TimePoint Now,
                       Duration Lifetime) {
  for (auto It = m_members.begin(); It != m_members.end();) {
    if (Now - It->second.m_receivedAt > Lifetime) {
      It = m_members.erase(It);
      continue;
    }
    for (const PeerModelDemand &D : It->second.m_report.m_demands) {
      ModelDemand &Sum = Input.m_models[D.m_model];
      Sum.m_running += D.m_demand.m_running;
      Sum.m_waiting += D.m_demand.m_waiting;
      Sum.m_arrivals += D.m_demand.m_arrivals;
    }
    for (const PeerWantedAdapter &W : It->second.m_report.m_wantedAdapters)
      Input.m_wantedAdapters[W.m_artifact] += W.m_requests;
    ++It;
  }
  Input.m_adapterLastUsed = m_adapterLastUsed;
}

} // namespace primroseworks::gateway
