// The coroutines of a gateway process: lease and leadership, reports,
// maintenance, signals and shutdown.
#include "libgateway/gateway.h"
#include "libbase/limitedjson.h"
#include "libgateway/log.h"
#include "libgateway/startexchange.h"
#include "primroseworks/version.h"

#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <csignal>
#include <nlohmann/json.hpp>

namespace primroseworks::gateway {

namespace {

std::string encodeMember(const Settings &Options) {
  return nlohmann::json{{"name", Options.m_vm},
                        {"address", Options.m_address},
                        {"failure_domain", Options.m_failureDomain},
                        {"cpu_share", Options.m_cpuShare}}
      .dump();
}

Result<Member> decodeMember(const std::string &Text) {
  const nlohmann::json J = pvt::parseLimited(Text);
  std::error_code Ec;
  if (J.is_object() && J.value("name", nlohmann::json()).is_string() &&
      J.value("address", nlohmann::json()).is_string() &&
      J.value("failure_domain", nlohmann::json()).is_string()) {
    const nlohmann::json Cpu = J.value("cpu_share", nlohmann::json(1.0));
    Member M{J["name"], J["address"], J["failure_domain"],
             Cpu.is_number() ? Cpu.get<double>() : 1.0};
    (void)asio::ip::make_address(M.m_address, Ec);
    if (!Ec)
      return M;
  }
  return makeError(
      ErrorKind::Protocol,
      "a gateway's member record cannot be decoded; check that all "
      "gateways run the same version");
}

} // namespace

Gateway::Gateway(asio::io_context &Io, Settings Options,
                 const Dialect &Platform, MetadataStore &Store,
                 ConnectionPool &StorePool, CrashSuspects Suspects,
                 std::string SettingsPath)
    : m_io(Io), m_core(Io, std::move(Options), Platform, std::move(Suspects)),
      m_store(Store), m_storePool(StorePool),
      m_settingsPath(std::move(SettingsPath)), m_callerListener(m_core),
      m_peers(m_core),
      m_scheduler(m_core,
                  [this](const std::string &Name, const ScheduleReply &Reply) {
                    m_peers.sendMessage(Name, Reply);
                  }),
      m_schedulerClient(
          m_core, m_peers.audience(),
          [this](const std::string &Name, const SchedulingMessage &Message) {
            m_peers.sendMessage(Name, Message);
          }),
      m_quotas(m_core, m_peers.audience(), quotaLinks()), m_relayTimer(Io),
      m_storeEra(m_core.m_settings.m_lease), m_leaseTimer(Io),
      m_leaderClaim(m_core.m_settings.m_lease, LeaderLeaseMargin),
      m_placementLeader(m_core, m_leaderClaim, m_core.m_settings.m_vm,
                        [this](const std::string &Id) {
                          m_peers.onHoldingChanged(Id, clockNow());
                          m_announcement.request();
                        }),
      m_signals(Io, SIGTERM, SIGINT, SIGHUP),
      m_placement(Io, AdapterRequestBatchDelay, [this] { place(clockNow()); }),
      m_announcement(Io, AnnounceDelay, [this] {
        m_peers.announceHoldings(fencingToken(), clockNow());
      }) {
  m_core.m_schedulerClient = &m_schedulerClient;
  m_core.m_quotas = &m_quotas;
  m_peers.setOnQuotaMessage([this](const QuotaMessage &Message) {
    m_quotas.onMessage(Message, BootClock::now());
  });
  m_storePool.limitMemory(m_core.m_memory);
  m_store.setOnEra([this](std::uint64_t Era) { return onStoreEra(Era); });
  m_peers.setOnMessage(
      [this](const SchedulingMessage &Message) { onMessage(Message); });
  m_core.m_onAdapterWanted = [this] { m_placement.request(); };
  m_peers.setOnPeerAdapterWanted([this] {
    if (isLeader())
      m_placement.request();
  });
}

/// Takes over the agents that a leader recorded, and then the present ones.
void Gateway::applyQuotaAgents() {
  const BootTime Now = BootClock::now();
  const auto Key = m_gatewayItems.find(QuotaAgentsKey);
  if (Key != m_gatewayItems.end())
    m_quotas.service().onRecordedAgents(Key->second.m_value, Now);
  m_quotas.service().onMembers(Now);
}

/// Records the agents if they changed and this VM leads.
void Gateway::recordQuotaAgents(TimePoint Now) {
  if (!isLeader() || !m_quotas.service().limits() ||
      Now - m_quotaAgentsWrittenAt < QuotaAgentsWriteInterval)
    return;
  std::string Names = m_quotas.service().agentsToRecord(BootClock::now());
  const auto Key = m_gatewayItems.find(QuotaAgentsKey);
  if (Key != m_gatewayItems.end() && Key->second.m_value == Names)
    return;
  m_quotaAgentsWrittenAt = Now;
  spawnTask(m_io, *m_core.m_metrics, "quota_agents",
            [this, Names]() -> asio::awaitable<void> {
              const StoreWrite Write{QuotaAgentsKey, Names, 0};
              const Result<StoreVersion> Written =
                  co_await m_store.write(Write, false);
              onStoreResult(Written.has_value(), "quota_agents");
            });
}

QuotaLinks Gateway::quotaLinks() {
  QuotaLinks Out;
  Out.m_send = [this](const std::string &Name, const QuotaMessage &Message) {
    m_peers.sendQuotaMessage(Name, Message);
  };
  Out.m_leader = [this] { return m_peers.leader(); };
  Out.m_fencingToken = [this] { return fencingToken(); };
  return Out;
}

Result<void> Gateway::start() {
  decisionlog::setVm(m_core.m_settings.m_vm);
  decisionlog::line(LogClass::Lifecycle, "start")
      .text("version", libraryVersion())
      .text("failure_domain", m_core.m_settings.m_failureDomain)
      .text("store", m_core.m_settings.m_store);
  BOOST_OUTCOME_TRYV(m_peers.open());
  m_schedulerClient.setStart(m_peers.start());
  m_quotas.setStart(m_peers.start(), BootClock::now());
  BOOST_OUTCOME_TRYV(openStatusListener(m_core.m_settings.m_ready, false));
  if (!m_core.m_settings.m_metrics.empty()) {
    BOOST_OUTCOME_TRYV(openStatusListener(m_core.m_settings.m_metrics, true));
  }
  BOOST_OUTCOME_TRYV(m_callerListener.open(m_core.m_settings.m_callers));
  startLoop("callers", [this] { return m_callerListener.run(); });
  startLoop("peers", [this] { return m_peers.receive(); });
  startLoop("store_watch", [this] { return watchStore(); });
  startLoop("lease", [this] { return maintainLease(); });
  startLoop("maintenance", [this] { return runMaintenance(); });
  startLoop("reports", [this] { return sendReports(); });
  startLoop("quotas", [this] { return m_quotas.run(); });
  startLoop("signals", [this] { return awaitSignals(); });
  return boost::outcome_v2::success();
}

void Gateway::run() {
  for (;;) {
    try {
      m_io.run();
      return;
    } catch (const std::exception &) {
      reportException(*m_core.m_metrics, "handler", std::current_exception());
    }
  }
}

void Gateway::startLoop(const char *Name, TaskFactory Create) {
  spawnLoop(m_io, *m_core.m_metrics, Name, std::move(Create));
}

asio::awaitable<void> Gateway::sleep(Duration Time) {
  asio::steady_timer Timer(m_io, Time);
  std::error_code Ignored;
  co_await Timer.async_wait(asio::redirect_error(asio::use_awaitable, Ignored));
}

std::uint64_t Gateway::fencingToken() const {
  return m_leaderClaim.tokenAt(BootClock::now()).value_or(0);
}

bool Gateway::isReady() const {
  return !m_core.m_stopping && m_core.m_configuration &&
         m_core.m_endpointsKnown && m_core.m_warmStart.ready(clockNow());
}

void Gateway::onMessage(const SchedulingMessage &Message) {
  const TimePoint Now = clockNow();
  if (const auto *Request = std::get_if<ScheduleRequest>(&Message))
    m_scheduler.onRequest(*Request, Now);
  else if (const auto *Reply = std::get_if<ScheduleReply>(&Message))
    m_schedulerClient.onReply(*Reply, Now);
  else if (const auto *Update = std::get_if<AttemptUpdate>(&Message))
    m_scheduler.onUpdate(*Update, Now);
  else if (const auto *Tickets = std::get_if<OpenTickets>(&Message))
    m_scheduler.onOpenTickets(*Tickets, Now);
  else if (const auto *Relay = std::get_if<StoreRelay>(&Message))
    onRelay(*Relay);
}

// --- Members and leadership -----------------------------------------------

/// The members whose keys are in the store, and those that the store lost when
/// it came back and whose time to write them again has not passed.
std::vector<Member> Gateway::knownMembers() {
  std::map<std::string, std::string> Values = m_formerMembers.values();
  for (const auto &[Key, Item] : m_gatewayItems)
    if (Key.rfind(MemberPrefix, 0) == 0)
      Values[Key] = Item.m_value;
  std::vector<Member> Members;
  for (const auto &[Key, Value] : Values) {
    Result<Member> M = decodeMember(Value);
    if (M)
      Members.push_back(M.value());
    else
      decisionlog::line(LogClass::KnownState, "member_unreadable")
          .text("key", Key)
          .text("error", M.error().m_message);
  }
  return Members;
}

/// Applies the gateways' keys as of Version: members and placement leader.
void Gateway::applyGateways(const StoreVersion &Version) {
  // The store may delete a key although its lease is still valid.
  if (!m_gatewayItems.count(MemberPrefix + m_core.m_settings.m_vm))
    m_memberWritten = false;
  const auto Key = m_gatewayItems.find(LeaderKey);
  const bool HasLeader = Key != m_gatewayItems.end();
  const std::string Leader = HasLeader ? Key->second.m_value : "";
  if (Leader != m_leaderName)
    decisionlog::line(LogClass::Lifecycle, "placement_leader")
        .text("leader", Leader)
        .text("before", m_leaderName)
        .number("revision", static_cast<std::int64_t>(Version.m_revision))
        .number("era", static_cast<std::int64_t>(Version.m_era));
  m_leaderName = Leader;
  m_peers.setMembers(knownMembers());
  applyQuotaAgents();
  const StoreVersion LeaderSince = HasLeader ? Key->second.m_version : Version;
  const std::uint64_t LeaderToken = primroseworks::fencingToken(LeaderSince);
  m_peers.setLeader(Leader, LeaderToken);
  if (Leader != m_core.m_settings.m_vm && m_leaderClaim.onForeignKey(Version))
    m_placementLeader.onClaimLost();
  // A claim succeeded although its response was lost: the key has the lease of
  // this gateway.
  if (HasLeader && Leader == m_core.m_settings.m_vm &&
      !m_leaderClaim.claimed() && m_leaderClaim.lease() != 0 &&
      Key->second.m_lease == m_leaderClaim.lease() &&
      Key->second.m_version.m_era == m_storeEra.era() &&
      BootClock::now() >= m_storeEra.claimFrom()) {
    m_leaderClaim.onClaimed(LeaderSince);
    decisionlog::line(LogClass::Lifecycle, "claimed_leadership")
        .number("token", static_cast<std::int64_t>(LeaderToken))
        .text("reason", "key_seen");
  }
  if (Leader.empty() && !m_claimInProgress && !m_core.m_stopping)
    spawnTask(
        m_io, *m_core.m_metrics, "leadership",
        [this] { return claimLeadership(); },
        [this] { m_claimInProgress = false; });
}

/// Asks the peers for what a gateway must know before it is ready.
void Gateway::onPeersKnown() {
  if (!m_core.m_warmStart.needsPeers())
    return;
  m_core.m_warmStart.onPeersKnown(m_peers.startPeers().size(), clockNow());
  m_core.onStartChanged();
  if (m_core.m_warmStart.asking(clockNow()))
    spawnTask(m_io, *m_core.m_metrics, "start", [this] { return askPeers(); });
  else
    logStartDecision(m_core);
}

asio::awaitable<void> Gateway::askPeers() {
  while (m_core.m_warmStart.asking(clockNow())) {
    m_peers.sendStartQuery();
    co_await sleep(std::min<Duration>(
        StartQueryInterval, m_core.m_warmStart.deadline() - clockNow()));
  }
  if (m_core.m_warmStart.state() != WarmStartState::Asking)
    co_return; // An answer decided.
  m_core.m_warmStart.onTime(clockNow());
  logStartDecision(m_core);
}

/// Obtains and renews the lease, and writes this gateway's member key under it.
asio::awaitable<void> Gateway::maintainLease() {
  while (!m_core.m_stopping) {
    co_await awaitRestoreTurn();
    const BootTime SentAt = BootClock::now();
    // A new era, which any answer may bring, ends the lease meanwhile.
    const std::uint64_t Held = m_leaderClaim.lease();
    if (Held == 0) {
      Result<std::uint64_t> Lease =
          co_await m_store.grantLease(m_core.m_settings.m_lease);
      onStoreResult(Lease.has_value(), "lease");
      if (Lease) {
        m_leaderClaim.onLeaseRenewed(Lease.value(), SentAt);
        m_memberWritten = false;
      }
    } else {
      Result<void> Renewed = co_await m_store.renewLease(Held);
      onStoreResult(Renewed.has_value() ||
                        Renewed.error().m_kind == ErrorKind::NotFound,
                    "renewal");
      if (m_leaderClaim.lease() != Held)
        continue;
      if (Renewed) {
        m_leaderClaim.onLeaseRenewed(Held, SentAt);
      } else if (Renewed.error().m_kind == ErrorKind::NotFound) {
        decisionlog::line(LogClass::Lifecycle, "lease_lost")
            .number("lease", static_cast<std::int64_t>(Held));
        m_leaderClaim.onLeaseLost();
        m_placementLeader.onClaimLost();
        continue;
      }
    }
    const std::uint64_t Lease = m_leaderClaim.lease();
    if (Lease != 0 && !m_memberWritten) {
      // A named variable, because g++ 12 destroys an aggregate that is created
      // within a co_await expression twice.
      const StoreWrite Key{MemberPrefix + m_core.m_settings.m_vm,
                           encodeMember(m_core.m_settings), Lease};
      Result<StoreVersion> Written = co_await m_store.write(Key, false);
      onStoreResult(Written.has_value(), "member");
      if (m_leaderClaim.lease() != Lease)
        continue;
      m_memberWritten = Written.has_value();
    }
    m_leaseTimer.expires_after(Duration(m_core.m_settings.m_lease) /
                               (m_leaderClaim.claimed()
                                    ? LeaderRenewalsPerLease
                                    : MemberRenewalsPerLease));
    std::error_code Ignored;
    co_await m_leaseTimer.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
  }
}

/// Waits until a leader that does not know the store's present era has ended.
asio::awaitable<void> Gateway::awaitClaimTime() {
  for (;;) {
    const BootTime Now = BootClock::now();
    if (Now >= m_storeEra.claimFrom() || m_core.m_stopping)
      co_return;
    const Duration Left = m_storeEra.claimFrom() - Now;
    decisionlog::line(LogClass::Lifecycle, "claim_waits")
        .number("era", static_cast<std::int64_t>(m_storeEra.era()))
        .real("wait_ms", toMillis(Left));
    co_await sleep(Left);
  }
}

/// Writes the leader key, once the store's era and the lease allow it. Returns
/// false if the claim failed and nobody is known to have the key.
asio::awaitable<bool> Gateway::claimOnce() {
  do {
    co_await awaitClaimTime();
    for (int Attempt = 0; Attempt < 20 && m_leaderClaim.lease() == 0; ++Attempt)
      co_await sleep(Milliseconds(100));
  } while (BootClock::now() < m_storeEra.claimFrom() && !m_core.m_stopping);
  const std::uint64_t Lease = m_leaderClaim.lease();
  if (!m_leaderName.empty() || Lease == 0 || m_core.m_stopping)
    co_return false;
  const StoreWrite Key{LeaderKey, m_core.m_settings.m_vm, Lease};
  Result<StoreVersion> Written = co_await m_store.write(Key, true);
  const bool Taken = !Written && Written.error().m_kind == ErrorKind::Conflict;
  onStoreResult(Written.has_value() || Taken, "claim");
  // The answer may have shown a new era, in which claims must still wait; this
  // claim does not count then.
  if (!Written || Lease != m_leaderClaim.lease() ||
      BootClock::now() < m_storeEra.claimFrom())
    co_return Taken;
  m_leaderClaim.onClaimed(Written.value());
  decisionlog::line(LogClass::Lifecycle, "claimed_leadership")
      .number("token", static_cast<std::int64_t>(
                           primroseworks::fencingToken(Written.value())));
  co_return true;
}

asio::awaitable<void> Gateway::claimLeadership() {
  m_claimInProgress = true;
  co_await awaitClaimTime();
  // Random delay, so that most gateways see the new leader's key before they
  // would send a claim of their own.
  std::uniform_int_distribution<int> Jitter(0, 150);
  co_await sleep(Milliseconds(Jitter(m_core.m_random)));
  co_await sleep(std::max<Duration>(
      Duration::zero(), m_core.m_startedAt + StartClaimDelay - clockNow()));
  // The leader of a large fleet does most work, and coordinators have the
  // largest VMs and the newest loads.
  if (m_peers.audience().isLarge() && !m_peers.audience().isCoordinator())
    co_await sleep(DependentClaimDelay);
  while (m_leaderName.empty() && !m_core.m_stopping && !co_await claimOnce())
    co_await sleep(ClaimRetryInterval);
  m_claimInProgress = false;
}

/// Reports this VM's demand to the leader, or plans as the leader.
void Gateway::place(TimePoint Now) {
  if (!isLeader()) {
    m_peers.sendToLeader(Now);
    return;
  }
  m_peers.recordLocalDemand(fencingToken(), Now);
  m_placementLeader.step(Now);
}

Duration Gateway::ownReportInterval() const {
  const bool Frequent = m_peers.audience().isCoordinator() || isLeader();
  return Frequent ? Duration(MinReportInterval)
                  : reportInterval(m_core.m_gatewayCount);
}

asio::awaitable<void> Gateway::sendReports() {
  for (;;) {
    co_await sleep(ownReportInterval());
    const TimePoint Now = clockNow();
    m_core.m_demand.update(Now);
    m_peers.send(fencingToken(), Now);
    m_schedulerClient.sendOpenTickets();
    if (Now - m_fleetLoadsSentAt >= FleetLoadInterval) {
      m_fleetLoadsSentAt = Now;
      m_peers.sendFleetLoads(Now);
    }
    if (isLeader())
      m_placement.request();
  }
}

void Gateway::exportMemory() {
  for (const auto &[Kind, Name] : MemoryKindNames)
    m_core.m_metrics->gauge("memory_held_bytes_" + std::string(Name),
                            static_cast<double>(m_core.m_memory.held(Kind)));
  m_core.m_metrics->gauge("memory_budget_bytes",
                          static_cast<double>(m_core.m_memory.limit()));
}

asio::awaitable<void> Gateway::runMaintenance() {
  unsigned Count = 0;
  for (;;) {
    co_await sleep(MaintenanceInterval);
    const TimePoint Now = clockNow();
    checkAccountsAge(bootNow());
    endUnansweredWatch(Now);
    m_core.dispatchWaiting(Now);
    if (++Count % 2 == 0)
      decisionlog::flush();
    if (Count % 4 != 0)
      continue;
    m_core.m_endpoints.expire(Now);
    m_core.m_brokenAttempts.expire(Now);
    if (!m_storeUnavailable && Now >= m_lapsedRecordsUntil &&
        Now - m_core.m_copyConfirmedAt <= changeLimit())
      m_core.dropRefutedStrikes(Now);
    m_scheduler.expire(reportLifetime(m_core.m_gatewayCount), Now);
    m_core.m_pool.expire(Now);
    m_storePool.expire(Now);
    exportMemory();
    m_core.m_metrics->gauge("waiting",
                            static_cast<double>(m_core.m_queue.size()));
    if (m_core.m_endpoints.pacingEnabled())
      m_core.m_metrics->gauge(
          "endpoints_limited",
          static_cast<double>(m_core.m_endpoints.limitedEndpoints()));
    const fairness::AccountBacklogs &Backlogs = m_core.m_queue.backlogs();
    m_core.m_metrics->gauge("waiting_accounts",
                            static_cast<double>(Backlogs.accounts()));
    m_core.m_metrics->gauge("waiting_largest_account",
                            static_cast<double>(Backlogs.largest()));
    m_core.m_metrics->gauge("remote_requests",
                            static_cast<double>(m_scheduler.size()));
    m_core.m_metrics->gauge("caller_connections",
                            static_cast<double>(m_callerListener.size()));
    m_core.m_metrics->gauge("leads", isLeader() ? 1 : 0);
    m_quotas.service().exportState();
    recordQuotaAgents(Now);
    checkCopyAge(Now);
    if (m_formerMembers.expire(Now))
      applyGateways(m_storeFollower.version());
    m_core.m_metrics->gauge("loop_lag_seconds", toSeconds(clockNow() - Now));
    m_core.m_metrics->gauge("log_lines_left_out",
                            static_cast<double>(decisionlog::dropped()));
  }
}

// --- Settings, signals and shutdown ---------------------------------------

/// Shuts down without interrupting requests: reports that it is not ready, so
/// that callers use other VMs, and then waits for the requests in progress.
asio::awaitable<void> Gateway::drain() {
  const TimePoint Start = clockNow();
  const TimePoint End = Start + m_core.m_settings.m_stopLimit - ShutdownMargin;
  m_core.m_requestsEndAt = End - RequestEndMargin;
  m_core.m_stopping = true;
  decisionlog::line(LogClass::Lifecycle, "stop")
      .number("busy",
              static_cast<std::int64_t>(m_callerListener.busyConnections()));
  // A lease that has ended may have been granted to another gateway again.
  if (m_leaderClaim.leaseValid(BootClock::now())) {
    const std::uint64_t Lease = m_leaderClaim.lease();
    m_leaderClaim.onLeaseLost();
    Result<void> Ended = co_await m_store.revokeLease(Lease);
    if (!Ended)
      m_core.m_metrics->count("lease_end_failed");
  }
  co_await sleep(std::max<Duration>(Duration::zero(),
                                    Start + DrainAcceptPeriod - clockNow()));
  m_callerListener.stopAccepting();
  m_core.m_closing = true;
  const TimePoint RejectAt =
      Start + fromSeconds(toSeconds(End - Start) * RejectWaitingShare);
  while (clockNow() < End) {
    if (!m_core.m_rejectingWaiting && clockNow() >= RejectAt)
      m_core.rejectWaiting();
    if (clockNow() >= m_core.m_requestsEndAt)
      m_callerListener.endRequests();
    m_callerListener.closeIdleConnections();
    if (m_callerListener.busyConnections() == 0)
      break;
    co_await sleep(Milliseconds(50));
  }
  // Time for the last responses to leave the socket buffers.
  co_await sleep(Milliseconds(100));
  decisionlog::line(LogClass::Lifecycle, "stopped")
      .number("busy",
              static_cast<std::int64_t>(m_callerListener.busyConnections()));
  decisionlog::flush();
  m_io.stop();
}

void Gateway::validateSettings() {
  Result<Settings> Next = loadSettings(m_settingsPath);
  if (!Next) {
    decisionlog::line(LogClass::Lifecycle, "reload_refused")
        .text("error", Next.error().m_message);
    return;
  }
  decisionlog::line(LogClass::Lifecycle, "reload")
      .text("note", "settings are valid; they take effect at the next start");
}

asio::awaitable<void> Gateway::awaitSignals() {
  for (;;) {
    std::error_code Ec;
    const int Signal = co_await m_signals.async_wait(
        asio::redirect_error(asio::use_awaitable, Ec));
    if (Ec)
      co_return;
    if (Signal == SIGHUP) {
      validateSettings();
      continue;
    }
    if (!m_core.m_stopping)
      spawnTask(
          m_io, *m_core.m_metrics, "stop", [this] { return drain(); },
          [this] { m_io.stop(); });
  }
}

} // namespace primroseworks::gateway
