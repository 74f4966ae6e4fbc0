// Sending and applying of the reports between gateways.
#include "libgateway/peers.h"
#include "libgateway/log.h"
#include "libgateway/startexchange.h"

#include <algorithm>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

namespace primroseworks::gateway {

namespace {

/// Peer name under which the fleet's total load is stored.
constexpr const char *FleetPeer = "fleet";

} // namespace

Peers::Peers(Core &Shared)
    : m_core(Shared), m_socket(Shared.m_io),
      m_audience(Shared.m_settings.m_vm, Shared.m_settings.m_failureDomain,
                 Shared.m_settings.m_regions),
      m_loadUpdateTimer(Shared.m_io), m_suspects(Shared) {
  m_core.m_onLoadChanged = [this](const std::string &Endpoint) {
    onLoadChanged(Endpoint);
  };
  m_core.m_onStrike = [this] { sendStrikes(std::chrono::steady_clock::now()); };
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

/// Members whose names come before that of this VM.
std::size_t Peers::indexAmong(const std::vector<Member> &Members) const {
  return static_cast<std::size_t>(
      std::count_if(Members.begin(), Members.end(), [this](const Member &M) {
        return M.m_name < m_core.m_settings.m_vm;
      }));
}

void Peers::setMembers(const std::vector<Member> &Members) {
  const bool WasCoordinator = m_audience.isCoordinator();
  const bool WasLarge = m_audience.isLarge();
  m_audience.setMembers(Members);
  m_core.m_gatewayCount =
      static_cast<unsigned>(m_audience.members().size() + 1);
  m_core.m_suspects.parts().setTurn(indexAmong(m_audience.members()),
                                    m_core.m_gatewayCount);
  m_core.m_chooserCount =
      m_audience.isLarge() && m_audience.isCoordinator()
          ? static_cast<unsigned>(m_audience.coordinatorCount())
          : m_core.m_gatewayCount;
  if (m_audience.isCoordinator() == WasCoordinator &&
      m_audience.isLarge() == WasLarge)
    return;
  // The loads of the former role would be counted twice.
  m_core.m_endpoints.removeAllPeerLoads();
  decisionlog::line(LogClass::Lifecycle, "coordinator_role")
      .number("coordinator", m_audience.isCoordinator() ? 1 : 0)
      .number("gateways", m_core.m_gatewayCount)
      .number("coordinators",
              static_cast<std::int64_t>(m_audience.coordinatorCount()));
}

void Peers::setLeader(const std::string &Name, std::uint64_t Token) {
  if (Token < m_leaderToken)
    return; // A report already named a newer leader.
  m_leader = Name;
  m_leaderToken = Token;
}

/// The loads that this gateway reports: all of its own except those that
/// coordinators report.
std::vector<PeerEndpointLoad> Peers::ownLoads() const {
  std::vector<PeerEndpointLoad> Out;
  for (const auto &[Id, E] : m_core.m_endpoints.all()) {
    const EndpointLoad Load = E.m_localLoad.without(E.m_coordinatedLoad);
    if (Load.m_requests > 0)
      Out.push_back({Id, Load});
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

void Peers::sendStrikes(TimePoint Now) {
  m_suspects.collect(Now);
  PeerReport Report = emptyReport(0);
  Report.m_partial = true;
  m_suspects.addOwn(Report, Now);
  sendTo(Report, m_audience.receivers(m_leader, true));
  sendTo(Report, m_audience.dependents());
}

/// Tells the strikes of suspects that compete or are refused once more.
void Peers::repeatSuspects(TimePoint Now) {
  PeerReport Report = emptyReport(0);
  Report.m_partial = true;
  if (m_suspects.addRepeats(Report, Now))
    sendTo(Report, m_audience.receivers(m_leader, true));
}

PeerReport Peers::localReport(std::uint64_t LeaderToken, TimePoint Now) {
  PeerReport R = emptyReport(LeaderToken);
  R.m_loads = ownLoads();
  m_core.m_demand.fill(R, m_core.m_queue);
  m_suspects.collect(Now);
  m_suspects.addOwn(R, Now);
  for (const auto &[Id, E] : m_core.m_endpoints.all())
    if (E.m_overrunAt != TimePoint{} &&
        Now - E.m_overrunAt <= OverrunRepeatPeriod)
      R.m_overruns.push_back({Id, E.m_record.m_incarnation});
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

void Peers::sendMessage(const std::string &Name,
                        const SchedulingMessage &Message) {
  if (const Member *M = m_audience.find(Name))
    sendBytes(encodeSchedulingMessage(Message), *M);
}

void Peers::sendQuotaMessage(const std::string &Name,
                             const QuotaMessage &Message) {
  if (const Member *M = m_audience.find(Name))
    sendBytes(encodeQuotaMessage(Message), *M);
}

void Peers::relay(const StoreRelay &Message) {
  const std::vector<const Member *> To = m_audience.dependents();
  if (To.empty())
    return;
  const std::string Bytes = encodeSchedulingMessage(Message);
  for (const Member *M : To)
    sendBytes(Bytes, *M);
}

void Peers::send(std::uint64_t LeaderToken, TimePoint Now) {
  const PeerReport Report = localReport(LeaderToken, Now);
  m_core.m_fleetDemand.onReport(Report, Now);
  m_changedLoads.clear();
  // Coordinators must also hear that there are no loads any more.
  const bool ForAll =
      !Report.m_loads.empty() || m_sentLoads || !Report.m_strikes.empty() ||
      !Report.m_partStrikes.empty() || !Report.m_overruns.empty();
  m_sentLoads = !Report.m_loads.empty();
  sendTo(Report, m_audience.receivers(m_leader, ForAll));
  repeatSuspects(Now);
}

void Peers::sendFleetLoads(TimePoint Now) {
  const std::vector<const Member *> To = m_audience.dependents();
  if (To.empty())
    return;
  PeerReport Report = emptyReport(0);
  Report.m_partial = true;
  for (const auto &[Id, E] : m_core.m_endpoints.all()) {
    EndpointLoad Load = E.load();
    // Pending prefills complete before the totals are used.
    Load.m_pendingPrefillTokens = 0;
    if (Load.m_requests > 0)
      Report.m_fleetLoads.push_back({Id, Load});
  }
  m_suspects.collect(Now);
  m_suspects.addOwn(Report, Now);
  m_suspects.addPeers(Report, Now);
  sendTo(Report, To);
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
  if (!Report.m_holdings.empty())
    sendTo(Report, m_audience.directPeers());
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
      Report.m_loads.push_back(
          {Id, E->m_localLoad.without(E->m_coordinatedLoad)});
  m_changedLoads.clear();
  sendTo(Report, m_audience.directPeers());
}

/// Applies the total loads that a coordinator sends to its dependents.
void Peers::applyFleetLoads(const PeerReport &Report, TimePoint Now) {
  m_core.m_endpoints.removePeerLoads(FleetPeer);
  for (const PeerEndpointLoad &L : Report.m_fleetLoads) {
    // The totals include the loads of this VM.
    const Endpoint *E = m_core.m_endpoints.find(L.m_endpoint);
    const EndpointLoad Others = E ? L.m_load.without(E->m_localLoad) : L.m_load;
    m_core.m_endpoints.onPeerLoad(FleetPeer, L.m_endpoint, Others,
                                  Now + FleetLoadLifetime);
  }
}

void Peers::applyLoads(const PeerReport &Report, TimePoint Now) {
  if (!Report.m_fleetLoads.empty() && m_audience.isLarge() &&
      !m_audience.isCoordinator())
    applyFleetLoads(Report, Now);
  if (!m_audience.isDirectPeer(Report.m_sender))
    return;
  if (!Report.m_partial)
    m_core.m_endpoints.removePeerLoads(Report.m_sender);
  for (const PeerEndpointLoad &L : Report.m_loads)
    m_core.m_endpoints.onPeerLoad(Report.m_sender, L.m_endpoint, L.m_load,
                                  Now + reportLifetime(m_core.m_gatewayCount));
}

/// Applies the strikes of a report. A coordinator passes new ones on at once,
/// before their suspect may run again.
void Peers::applyStrikes(const PeerReport &Report, TimePoint Now) {
  const bool PassOn = m_audience.isCoordinator();
  PeerReport News = emptyReport(0);
  News.m_partial = true;
  m_suspects.apply(Report, PassOn, News, Now);
  // Answers of this VM speak for parts that a peer suspects.
  if (m_core.m_suspects.parts().hasChanges())
    sendStrikes(Now);
  if (PassOn && (!News.m_strikes.empty() || !News.m_partStrikes.empty()))
    sendTo(News, m_audience.dependents());
}

bool Peers::apply(const PeerReport &Report, TimePoint Now) {
  ReportPosition &P = m_reportPositions[Report.m_sender];
  if (Report.m_start < P.m_start ||
      (Report.m_start == P.m_start && Report.m_sequence <= P.m_sequence))
    return false;
  P = ReportPosition{Report.m_start, Report.m_sequence};
  if (Report.m_leaderToken > m_leaderToken)
    setLeader(Report.m_sender, Report.m_leaderToken);
  applyLoads(Report, Now);
  for (const PeerHolding &H : Report.m_holdings)
    m_core.m_endpoints.onAnnouncedHoldings(H.m_endpoint, H.m_incarnation,
                                           H.m_orders, H.m_held, Now);
  applyStrikes(Report, Now);
  for (const PeerOverrun &O : Report.m_overruns)
    m_core.m_endpoints.onPeerOverrun(O.m_endpoint, O.m_incarnation, Now);
  if (!Report.m_partial)
    m_core.m_fleetDemand.onReport(Report, Now);
  const bool HasLoads = !Report.m_loads.empty() || !Report.m_fleetLoads.empty();
  if (!Report.m_holdings.empty() ||
      (HasLoads && Now - m_dispatchedAt >= MinDispatchInterval)) {
    m_dispatchedAt = Now;
    m_core.dispatchWaiting(Now);
  }
  if (!Report.m_wantedAdapters.empty() && m_onPeerAdapterWanted)
    m_onPeerAdapterWanted();
  return true;
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
    const std::string Bytes = Buffer.substr(0, N);
    if (isQuotaMessage(Bytes))
      onQuotaBytes(Bytes, From.address().to_string());
    else if (isSchedulingMessage(Bytes))
      onMessageBytes(Bytes, From.address().to_string());
    else
      onReportBytes(Bytes, From.address().to_string());
  }
}

void Peers::onReportBytes(const std::string &Bytes, const std::string &From) {
  Result<PeerReport> Report = decodePeerReport(Bytes);
  if (!Report) {
    m_core.m_metrics->count("peer_report_unreadable");
    decisionlog::line(LogClass::KnownState, "peer_report_unreadable")
        .text("from", From)
        .text("error", Report.error().m_message);
    return;
  }
  const TimePoint Now = std::chrono::steady_clock::now();
  if (apply(Report.value(), Now) && Report.value().m_answerTo == m_start)
    onStartAnswer(Report.value(), Now);
}

std::vector<const Member *> Peers::startPeers() const {
  std::vector<const Member *> Out;
  for (const Member &M : m_audience.members())
    if (!m_audience.isLarge() || m_audience.isCoordinator(M.m_name))
      Out.push_back(&M);
  return Out;
}

void Peers::sendStartQuery() {
  const Settings &S = m_core.m_settings;
  const std::string Bytes =
      encodeSchedulingMessage(StartQuery{{S.m_vm, m_start}, S.m_failureDomain});
  for (const Member *M : startPeers())
    sendBytes(Bytes, *M);
}

/// Answers a gateway that starts. It is known by its address: its member key
/// may not have been written yet.
void Peers::answerStart(const StartQuery &Query, const std::string &From) {
  const TimePoint Now = std::chrono::steady_clock::now();
  if (!mayAnswerStart(m_core, Now)) {
    m_core.m_metrics->count("start_query_unanswered");
    return;
  }
  PeerReport Report = emptyReport(0);
  Report.m_partial = true;
  const bool Depends = m_audience.isCoordinator() &&
                       !m_audience.isCoordinator(Query.m_sender.m_name) &&
                       Query.m_domain == m_core.m_settings.m_failureDomain;
  addStartState(Report, m_core, Query, Depends, Now);
  m_suspects.addAll(Report, Now);
  m_core.m_metrics->count("start_query_answered");
  decisionlog::line(LogClass::KnownState, "start_query_answered")
      .text("gateway", Query.m_sender.m_name)
      .number("strikes", static_cast<std::int64_t>(Report.m_strikes.size() +
                                                   Report.m_partStrikes.size()))
      .number("loads", static_cast<std::int64_t>(Report.m_loads.size() +
                                                 Report.m_fleetLoads.size()));
  sendBytes(encodePeerReport(Report), {Query.m_sender.m_name, From, "", 1});
}

void Peers::onStartAnswer(const PeerReport &Report, TimePoint Now) {
  const bool Decides = m_core.m_warmStart.asking(Now);
  if (!m_core.m_warmStart.onAnswer(Report.m_sender, Report.m_retryUses, Now))
    return;
  m_core.onStartChanged();
  if (Decides)
    logStartDecision(m_core);
}

void Peers::onQuotaBytes(const std::string &Bytes, const std::string &From) {
  const Result<QuotaMessage> Message = decodeQuotaMessage(Bytes);
  if (!Message) {
    m_core.m_metrics->count("quota_message_unreadable");
    decisionlog::line(LogClass::KnownState, "quota_message_unreadable")
        .text("from", From)
        .text("error", Message.error().m_message);
    return;
  }
  if (m_onQuotaMessage)
    m_onQuotaMessage(Message.value());
}

void Peers::onMessageBytes(const std::string &Bytes, const std::string &From) {
  Result<SchedulingMessage> Message = decodeSchedulingMessage(Bytes);
  if (!Message) {
    m_core.m_metrics->count("scheduling_message_unreadable");
    decisionlog::line(LogClass::KnownState, "scheduling_message_unreadable")
        .text("from", From)
        .text("error", Message.error().m_message);
    return;
  }
  if (const auto *Query = std::get_if<StartQuery>(&Message.value()))
    answerStart(*Query, From);
  else if (m_onMessage)
    m_onMessage(std::move(Message.value()));
}

} // namespace primroseworks::gateway
