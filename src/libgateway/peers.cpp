// Sending and applying of the reports between gateways.
#include "libgateway/peers.h"
#include "libgateway/log.h"

#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

namespace primroseworks::gateway {

namespace {

/// Peer name under which the total load of a failure domain is stored.
std::string domainPeer(const std::string &Domain) { return "domain/" + Domain; }

} // namespace

Peers::Peers(Core &Shared)
    : m_core(Shared), m_socket(Shared.m_io),
      m_audience(Shared.m_settings.m_vm, Shared.m_settings.m_failureDomain),
      m_loadUpdateTimer(Shared.m_io) {
  m_core.m_onLoadChanged = [this](const std::string &Endpoint) {
    onLoadChanged(Endpoint);
  };
}

Result<void> Peers::open() {
  std::error_code Ec;
  const auto Ip = asio::ip::make_address(m_core.m_settings.m_address, Ec);
  const asio::ip::udp::endpoint At(
      Ip, static_cast<unsigned short>(m_core.m_settings.m_peerPort));
  if (!Ec)
    m_socket.open(At.protocol(), Ec);
  if (!Ec)
    m_socket.bind(At, Ec);
  if (!Ec)
    m_socket.non_blocking(true, Ec);
  if (Ec)
    return makeError(ErrorKind::Unavailable,
                     "cannot bind UDP port " +
                         std::to_string(m_core.m_settings.m_peerPort) + ": " +
                         Ec.message() +
                         "; stop the program that uses it or change "
                         "peers.port");
  m_start = static_cast<std::uint64_t>(
      std::chrono::duration_cast<Milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
  return boost::outcome_v2::success();
}

void Peers::setMembers(std::vector<Member> Members) {
  m_audience.setMembers(std::move(Members));
  m_core.m_gatewayCount =
      static_cast<unsigned>(m_audience.members().size() + 1);
}

void Peers::setLeader(const std::string &Name, std::uint64_t Token) {
  if (Token < m_leaderToken)
    return; // A report already named a newer leader.
  m_leader = Name;
  m_leaderToken = Token;
}

bool Peers::hasTotals(TimePoint Now) const {
  return m_totalsAt != TimePoint{} &&
         Now - m_totalsAt <
             ReportsPerTotals * reportLifetime(m_core.m_gatewayCount);
}

/// Adds up the reported loads of the gateways of each failure domain. Pending
/// prefills are left out: they complete long before the totals arrive.
std::map<std::string, std::vector<PeerEndpointLoad>>
Peers::totalDomainLoads() const {
  std::map<std::string, std::map<std::string, EndpointLoad>> Totals;
  for (const auto &[Id, E] : m_core.m_endpoints.all()) {
    if (E.m_localLoad.m_requests > 0)
      Totals[m_core.m_settings.m_failureDomain][Id] += E.m_localLoad;
    for (const auto &[Name, Peer] : E.m_peerLoads)
      if (Peer.m_load.m_requests > 0)
        Totals[m_audience.domainOf(Name)][Id] += Peer.m_load;
  }
  std::map<std::string, std::vector<PeerEndpointLoad>> Out;
  for (auto &[Domain, Loads] : Totals)
    for (auto &[Id, Load] : Loads) {
      Load.m_pendingPrefillTokens = 0;
      Out[Domain].push_back({Id, Load});
    }
  return Out;
}

PeerReport Peers::emptyReport(std::uint64_t LeaderToken) {
  PeerReport R;
  R.m_leaderToken = LeaderToken;
  R.m_sender = m_core.m_settings.m_vm;
  R.m_start = m_start;
  R.m_sequence = ++m_sequence;
  return R;
}

PeerHolding Peers::holding(const Endpoint &E) const {
  return {E.m_record.m_id, E.m_record.m_incarnation, E.m_orders.value_or(0),
          E.m_held};
}

PeerReport Peers::localReport(std::uint64_t LeaderToken, TimePoint Now) {
  PeerReport R = emptyReport(LeaderToken);
  for (const auto &[Id, E] : m_core.m_endpoints.all())
    if (E.m_localLoad.m_requests > 0)
      R.m_loads.push_back({Id, E.m_localLoad});
  m_core.m_demand.fill(R, m_core.m_queue);
  for (const auto &[Fingerprint, Crash] : m_core.m_suspects.take())
    m_strikes.push_back({{Fingerprint, Crash}, Now});
  while (!m_strikes.empty() &&
         Now - m_strikes.front().m_at > StrikeRepeatPeriod)
    m_strikes.erase(m_strikes.begin());
  for (const RecentStrike &S : m_strikes)
    R.m_strikes.push_back(S.m_strike);
  for (auto It = m_changedHoldings.begin(); It != m_changedHoldings.end();) {
    const Endpoint *E = m_core.m_endpoints.find(It->first);
    if (!E || LeaderToken == 0 || Now - It->second > HoldingRepeatPeriod) {
      It = m_changedHoldings.erase(It);
      continue;
    }
    R.m_holdings.push_back(holding(*E));
    ++It;
  }
  return R;
}

void Peers::sendBytes(const std::string &Bytes, const Member &To) {
  std::error_code Ec;
  const auto Ip = asio::ip::make_address(To.m_address, Ec);
  if (Ec)
    return; // Already logged when the member's key was read.
  const asio::ip::udp::endpoint At(
      Ip, static_cast<unsigned short>(m_core.m_settings.m_peerPort));
  m_socket.send_to(asio::buffer(Bytes), At, 0, Ec);
  if (Ec)
    m_core.m_metrics->count("peer_send_failed");
  else
    m_bytesSent += Bytes.size();
}

void Peers::sendTo(const PeerReport &Report,
                   const std::vector<const Member *> &To) {
  if (To.empty())
    return;
  const std::string Bytes = encodePeerReport(Report);
  for (const Member *M : To)
    sendBytes(Bytes, *M);
}

void Peers::send(std::uint64_t LeaderToken, TimePoint Now) {
  PeerReport Report = localReport(LeaderToken, Now);
  m_core.m_fleetDemand.onReport(Report, Now);
  m_changedLoads.clear();
  m_reportedLoads.clear();
  for (const PeerEndpointLoad &L : Report.m_loads)
    m_reportedLoads[L.m_endpoint] = L.m_load;
  if (LeaderToken == 0 || !m_audience.isLarge()) {
    sendTo(Report, m_audience.receivers(m_leader, hasTotals(Now)));
    return;
  }
  if (m_totalsAt != TimePoint{}) {
    // As leader, this gateway receives the loads directly from every member's
    // own reports instead of totals.
    m_totalsAt = TimePoint{};
    m_core.m_endpoints.removeAllPeerLoads();
  }
  // Only the leader, this gateway, uses the demand.
  Report.m_demands.clear();
  Report.m_usedAdapters.clear();
  if (--m_reportsUntilTotals > 0) {
    sendTo(Report, m_audience.directPeers());
    return;
  }
  m_reportsUntilTotals = ReportsPerTotals;
  Report.m_domainLoads = totalDomainLoads();
  std::vector<const Member *> All;
  for (const Member &M : m_audience.members())
    All.push_back(&M);
  sendTo(Report, All);
}

void Peers::announceHoldings(std::uint64_t LeaderToken, TimePoint Now) {
  if (!m_audience.isLarge()) {
    m_unannouncedHoldings.clear();
    send(LeaderToken, Now);
    return;
  }
  PeerReport Report = emptyReport(LeaderToken);
  Report.m_partial = true;
  for (const std::string &Id : m_unannouncedHoldings)
    if (const Endpoint *E = m_core.m_endpoints.find(Id))
      Report.m_holdings.push_back(holding(*E));
  m_unannouncedHoldings.clear();
  if (Report.m_holdings.empty())
    return;
  std::vector<const Member *> All;
  for (const Member &M : m_audience.members())
    All.push_back(&M);
  sendTo(Report, All);
}

void Peers::sendToLeader(TimePoint Now) {
  const PeerReport Report = localReport(0, Now);
  for (const Member &M : m_audience.members())
    if (M.m_name == m_leader)
      sendTo(Report, {&M});
}

void Peers::recordLocalDemand(std::uint64_t LeaderToken, TimePoint Now) {
  m_core.m_fleetDemand.onReport(localReport(LeaderToken, Now), Now);
}

void Peers::onLoadChanged(const std::string &Endpoint) {
  m_changedLoads.insert(Endpoint);
  if (m_loadUpdatePending)
    return;
  m_loadUpdatePending = true;
  m_loadUpdateTimer.expires_after(LoadUpdateDelay);
  m_loadUpdateTimer.async_wait([this](std::error_code Ec) {
    if (Ec)
      return;
    m_loadUpdatePending = false;
    sendChangedLoads();
  });
}

/// Sends the changed loads to direct peers immediately: the next regular report
/// would arrive after the prefills are done.
void Peers::sendChangedLoads() {
  if (m_changedLoads.empty())
    return;
  PeerReport Report = emptyReport(0);
  Report.m_partial = true;
  for (const std::string &Id : m_changedLoads)
    if (const Endpoint *E = m_core.m_endpoints.find(Id))
      Report.m_loads.push_back({Id, E->m_localLoad});
  m_changedLoads.clear();
  sendTo(Report, m_audience.directPeers());
}

/// Applies the totals of failure domains whose gateways do not send their loads
/// directly.
void Peers::applyDomainLoads(const PeerReport &Report, TimePoint Now) {
  m_totalsAt = Now;
  for (const auto &[Domain, Region] : m_core.m_settings.m_regions)
    m_core.m_endpoints.removePeerLoads(domainPeer(Domain));
  for (const auto &[Domain, Loads] : Report.m_domainLoads) {
    const bool Local = Domain == m_core.m_settings.m_failureDomain;
    if (Local && m_audience.domainIsDirect())
      continue;
    for (const PeerEndpointLoad &L : Loads) {
      // The local domain's totals include the loads that this VM reported.
      const auto Reported = m_reportedLoads.find(L.m_endpoint);
      m_core.m_endpoints.onPeerLoad(
          domainPeer(Domain), L.m_endpoint,
          Local && Reported != m_reportedLoads.end()
              ? L.m_load.without(Reported->second)
              : L.m_load,
          Now + ReportsPerTotals * reportLifetime(m_core.m_gatewayCount));
    }
  }
}

void Peers::applyLoads(const PeerReport &Report, TimePoint Now) {
  if (!Report.m_domainLoads.empty())
    applyDomainLoads(Report, Now);
  if (hasTotals(Now) && !m_audience.isDirectPeer(Report.m_sender))
    return; // The totals already include these loads.
  if (!Report.m_partial)
    m_core.m_endpoints.removePeerLoads(Report.m_sender);
  for (const PeerEndpointLoad &L : Report.m_loads)
    m_core.m_endpoints.onPeerLoad(Report.m_sender, L.m_endpoint, L.m_load,
                                  Now + reportLifetime(m_core.m_gatewayCount));
}

void Peers::apply(const PeerReport &Report, TimePoint Now) {
  ReportPosition &P = m_reportPositions[Report.m_sender];
  if (Report.m_start < P.m_start ||
      (Report.m_start == P.m_start && Report.m_sequence <= P.m_sequence))
    return;
  P = ReportPosition{Report.m_start, Report.m_sequence};
  if (Report.m_leaderToken > m_leaderToken)
    setLeader(Report.m_sender, Report.m_leaderToken);
  applyLoads(Report, Now);
  for (const PeerHolding &H : Report.m_holdings)
    m_core.m_endpoints.onAnnouncedHoldings(H.m_endpoint, H.m_incarnation,
                                           H.m_orders, H.m_held, Now);
  for (const PeerStrike &S : Report.m_strikes)
    m_core.m_suspects.addFromPeer(S.m_fingerprint, S.m_crash, Now);
  if (!Report.m_partial)
    m_core.m_fleetDemand.onReport(Report, Now);
  const bool HasLoads =
      !Report.m_loads.empty() || !Report.m_domainLoads.empty();
  if (!Report.m_holdings.empty() ||
      (HasLoads && Now - m_dispatchedAt >= MinDispatchInterval)) {
    m_dispatchedAt = Now;
    m_core.dispatchWaiting(Now);
  }
  if (!Report.m_wantedAdapters.empty() && m_onPeerAdapterWanted)
    m_onPeerAdapterWanted();
}

asio::awaitable<void> Peers::receive() {
  std::string Buffer(MaxPeerReportBytes * 2, '\0');
  while (m_socket.is_open()) {
    std::error_code Ec;
    asio::ip::udp::endpoint From;
    const std::size_t N = co_await m_socket.async_receive_from(
        asio::buffer(Buffer.data(), Buffer.size()), From,
        asio::redirect_error(asio::use_awaitable, Ec));
    if (Ec) {
      m_core.m_metrics->count("peer_receive_failed");
      continue;
    }
    Result<PeerReport> Report = decodePeerReport(Buffer.substr(0, N));
    if (!Report) {
      m_core.m_metrics->count("peer_report_unreadable");
      decisionlog::line(LogClass::KnownState, "peer_report_unreadable")
          .text("from", From.address().to_string())
          .text("error", Report.error().m_message);
      continue;
    }
    apply(Report.value(), std::chrono::steady_clock::now());
  }
}

} // namespace primroseworks::gateway
