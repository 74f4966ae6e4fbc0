// Reports between gateways.
#include "libgateway/peers.h"
#include "libgateway/log.h"

#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

namespace primroseworks::gateway {

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
                     "cannot bind the peers' port " +
                         std::to_string(m_core.m_settings.m_peerPort) + ": " +
                         Ec.message() +
                         "; end the program that holds it or change "
                         "peers.port");
  m_start = static_cast<std::uint64_t>(
      std::chrono::duration_cast<Milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
  return boost::outcome_v2::success();
}

void Peers::setMembers(std::vector<Member> Members) {
  m_members.clear();
  for (Member &M : Members)
    if (M.m_name != m_core.m_settings.m_vm)
      m_members.push_back(std::move(M));
  m_core.m_members = static_cast<unsigned>(m_members.size() + 1);
}

void Peers::setLeader(const std::string &Name, std::uint64_t Token) {
  if (Token < m_leaderToken)
    return; // A report told of a newer leader.
  m_leader = Name;
  m_leaderToken = Token;
}

bool Peers::hasFleetLoads(TimePoint Now) const {
  return m_fleetLoadsAt != TimePoint{} &&
         Now - m_fleetLoadsAt < reportLifetime(m_core.m_members);
}

std::vector<PeerEndpointLoad> Peers::fleetLoads() const {
  std::vector<PeerEndpointLoad> Out;
  for (const auto &[Id, E] : m_core.m_endpoints.all()) {
    const EndpointLoad Sum = E.load();
    if (Sum.m_requests > 0)
      Out.push_back({Id, Sum});
  }
  return Out;
}

PeerReport Peers::ownReport(std::uint64_t LeaderToken, TimePoint Now) {
  const bool IsLeader = LeaderToken != 0;
  PeerReport R;
  R.m_leaderToken = LeaderToken;
  R.m_sender = m_core.m_settings.m_vm;
  R.m_start = m_start;
  R.m_sequence = ++m_sequence;
  for (const auto &[Id, E] : m_core.m_endpoints.all())
    if (E.m_own.m_requests > 0)
      R.m_loads.push_back({Id, E.m_own});
  m_core.m_demand.fill(R, m_core.m_queue);
  for (const auto &[Fingerprint, Crash] : m_core.m_suspects.take())
    m_strikes.push_back({{Fingerprint, Crash}, Now});
  while (!m_strikes.empty() && Now - m_strikes.front().m_at > StrikeRepeat)
    m_strikes.erase(m_strikes.begin());
  for (const RecentStrike &S : m_strikes)
    R.m_strikes.push_back(S.m_strike);
  for (auto It = m_changed.begin(); It != m_changed.end();) {
    const Endpoint *E = m_core.m_endpoints.find(It->first);
    if (!E || !IsLeader || Now - It->second > HoldingRepeat) {
      It = m_changed.erase(It);
      continue;
    }
    R.m_holdings.push_back({It->first, E->m_record.m_incarnation,
                            E->m_orders.value_or(0), E->m_held});
    ++It;
  }
  return R;
}

std::vector<const Member *> Peers::receivers(bool IsLeader, TimePoint Now) {
  std::vector<const Member *> Out;
  if (IsLeader || !isLarge()) {
    for (const Member &M : m_members)
      Out.push_back(&M);
    return Out;
  }
  for (const Member &M : m_members)
    if (M.m_name == m_leader)
      Out.push_back(&M);
  if (!Out.empty() && hasFleetLoads(Now))
    return Out;
  for (std::size_t I = 0; I < m_members.size() && Out.size() < ReportReceivers;
       ++I) {
    const Member &M = m_members[m_turn++ % m_members.size()];
    if (M.m_name != m_leader)
      Out.push_back(&M);
  }
  return Out;
}

void Peers::sendBytes(const std::string &Bytes, const Member &To) {
  std::error_code Ec;
  const auto Ip = asio::ip::make_address(To.m_address, Ec);
  if (Ec)
    return; // Logged when the member's key was read.
  const asio::ip::udp::endpoint At(
      Ip, static_cast<unsigned short>(m_core.m_settings.m_peerPort));
  m_socket.send_to(asio::buffer(Bytes), At, 0, Ec);
  if (Ec)
    m_core.m_metrics->count("peer_send_failed");
  else
    m_bytesSent += Bytes.size();
}

void Peers::send(std::uint64_t LeaderToken, TimePoint Now) {
  PeerReport Report = ownReport(LeaderToken, Now);
  m_core.m_fleetDemand.onReport(Report, Now);
  const bool IsLeader = LeaderToken != 0;
  if (IsLeader && m_fleetLoadsAt != TimePoint{}) {
    // From now on the members' own reports tell their loads.
    m_fleetLoadsAt = TimePoint{};
    m_core.m_endpoints.forgetPeers();
  }
  if (IsLeader && isLarge()) {
    // The others need the sums alone.
    Report.m_fleetLoads = fleetLoads();
    Report.m_loads.clear();
    Report.m_demands.clear();
    Report.m_usedAdapters.clear();
  }
  noteReported(Report);
  const std::string Bytes = encodePeerReport(Report);
  for (const Member *M : receivers(IsLeader, Now))
    sendBytes(Bytes, *M);
}

void Peers::noteReported(const PeerReport &Report) {
  m_reported.clear();
  for (const PeerEndpointLoad &L : Report.m_loads)
    m_reported[L.m_endpoint] = L.m_load;
}

void Peers::sendToLeader(TimePoint Now) {
  const PeerReport Report = ownReport(0, Now);
  noteReported(Report);
  for (const Member &M : m_members)
    if (M.m_name == m_leader)
      sendBytes(encodePeerReport(Report), M);
}

void Peers::noteOwn(std::uint64_t LeaderToken, TimePoint Now) {
  m_core.m_fleetDemand.onReport(ownReport(LeaderToken, Now), Now);
}

/// The sums include what this VM last told the leader, which it knows better.
void Peers::applyFleetLoads(const PeerReport &Report, TimePoint Now) {
  m_fleetLoadsAt = Now;
  m_core.m_endpoints.forgetPeers();
  for (const PeerEndpointLoad &L : Report.m_fleetLoads) {
    const auto Own = m_reported.find(L.m_endpoint);
    m_core.m_endpoints.onPeerLoad(
        Report.m_sender, L.m_endpoint,
        Own == m_reported.end() ? L.m_load : L.m_load.without(Own->second),
        Now);
  }
}

void Peers::apply(const PeerReport &Report, TimePoint Now) {
  Position &P = m_positions[Report.m_sender];
  if (Report.m_start < P.m_start ||
      (Report.m_start == P.m_start && Report.m_sequence <= P.m_sequence))
    return;
  P = Position{Report.m_start, Report.m_sequence};
  if (Report.m_leaderToken > m_leaderToken)
    setLeader(Report.m_sender, Report.m_leaderToken);
  if (!Report.m_fleetLoads.empty()) {
    applyFleetLoads(Report, Now);
  } else if (!hasFleetLoads(Now)) {
    // Otherwise the sums include these loads.
    m_core.m_endpoints.forgetPeer(Report.m_sender);
    for (const PeerEndpointLoad &L : Report.m_loads)
      m_core.m_endpoints.onPeerLoad(Report.m_sender, L.m_endpoint, L.m_load,
                                    Now);
  }
  for (const PeerHolding &H : Report.m_holdings)
    m_core.m_endpoints.onAnnounced(H.m_endpoint, H.m_incarnation, H.m_orders,
                                   H.m_held, Now);
  for (const PeerStrike &S : Report.m_strikes)
    m_core.m_suspects.addFromPeer(S.m_fingerprint, S.m_crash, Now);
  m_core.m_fleetDemand.onReport(Report, Now);
  const bool LoadsTold =
      !Report.m_loads.empty() || !Report.m_fleetLoads.empty();
  if (!Report.m_holdings.empty() ||
      (LoadsTold && Now - m_placedAt >= PlacePause)) {
    m_placedAt = Now;
    m_core.placeWaiting(Now);
  }
  if (!Report.m_wanted.empty() && m_onWanted)
    m_onWanted();
}

asio::awaitable<void> Peers::receive() {
  std::string Buffer(PeerReportBytes * 2, '\0');
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
      decisionlog::line(LogClass::Belief, "peer_report_unreadable")
          .text("from", From.address().to_string())
          .text("error", Report.error().m_message);
      continue;
    }
    apply(Report.value(), std::chrono::steady_clock::now());
  }
}

} // namespace primroseworks::gateway
