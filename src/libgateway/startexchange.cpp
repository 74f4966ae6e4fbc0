// Answers to gateways that start, and the log of the own start.
#include "libgateway/startexchange.h"
#include "libgateway/log.h"

#include <algorithm>

namespace primroseworks::gateway {

namespace {

/// Maximum size of an encoded load without its endpoint's name, in bytes.
constexpr std::size_t EncodedLoadBytes = 25;

std::vector<PeerEndpointLoad>
largestLoads(std::vector<PeerEndpointLoad> Loads) {
  std::stable_sort(Loads.begin(), Loads.end(),
                   [](const PeerEndpointLoad &A, const PeerEndpointLoad &B) {
                     return A.m_load.m_requests > B.m_load.m_requests;
                   });
  std::size_t Bytes = 0;
  const auto End = std::find_if(
      Loads.begin(), Loads.end(), [&Bytes](const PeerEndpointLoad &L) {
        Bytes += L.m_endpoint.size() + EncodedLoadBytes;
        return Bytes > MaxStartLoadBytes;
      });
  Loads.erase(End, Loads.end());
  return Loads;
}

} // namespace

bool mayAnswerStart(const Core &Shared, TimePoint Now) {
  return Shared.m_configuration && Shared.m_endpointsKnown &&
         Shared.m_warmStart.ready(Now);
}

void addStartState(PeerReport &Report, const Core &Shared,
                   const StartQuery &Query, bool FleetLoads, TimePoint Now) {
  Report.m_answerTo = Query.m_sender.m_start;
  for (const auto &[Service, Window] : Shared.retryWindows())
    Report.m_retryUses[Service] = Window.used(Shared.m_gatewayCount, Now);
  std::vector<PeerEndpointLoad> Loads;
  for (const auto &[Id, E] : Shared.m_endpoints.all()) {
    EndpointLoad Load =
        FleetLoads ? E.load() : E.m_localLoad.without(E.m_coordinatedLoad);
    if (FleetLoads) // Pending prefills complete before the totals are used.
      Load.m_pendingPrefillTokens = 0;
    if (Load.m_requests > 0)
      Loads.push_back({Id, Load});
  }
  (FleetLoads ? Report.m_fleetLoads : Report.m_loads) =
      largestLoads(std::move(Loads));
}

void logStartDecision(const Core &Shared) {
  const WarmStart &Start = Shared.m_warmStart;
  if (Start.state() == WarmStartState::Off ||
      Start.state() == WarmStartState::Unknown ||
      Start.state() == WarmStartState::Asking)
    return;
  const std::string Outcome(nameOf(WarmStartStateNames, Start.state()));
  Shared.m_metrics->count("start_" + Outcome);
  // A service that no peer named has the use 0 after an answer.
  decisionlog::line(LogClass::Lifecycle, "start_decided")
      .text("outcome", Outcome)
      .real("waited_ms", toMillis(Start.waited()))
      .number("gateways", Shared.m_gatewayCount)
      .real("retry_use", Start.largestRetryUse());
}

} // namespace primroseworks::gateway
