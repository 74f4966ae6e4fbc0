// The coroutines of a gateway process: store watch, lease, placement,
// reports, status endpoints and shutdown.
#include "libgateway/gateway.h"
#include "libgateway/log.h"
#include "primroseworks/version.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>
#include <csignal>
#include <nlohmann/json.hpp>
#include <sys/resource.h>

namespace primroseworks::gateway {

namespace {

TimePoint clockNow() { return std::chrono::steady_clock::now(); }

std::string encodeMember(const Settings &Options) {
  return nlohmann::json{{"name", Options.m_vm},
                        {"address", Options.m_address},
                        {"failure_domain", Options.m_failureDomain},
                        {"cpu_share", Options.m_cpuShare}}
      .dump();
}

Result<Member> decodeMember(const std::string &Text) {
  const nlohmann::json J = nlohmann::json::parse(Text, nullptr, false);
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
      m_relayTimer(Io),
      m_leaderClaim(m_core.m_settings.m_lease, LeaderLeaseMargin),
      m_placementLeader(m_core, m_leaderClaim, m_core.m_settings.m_vm,
                        [this](const std::string &Id) {
                          m_peers.onHoldingChanged(Id, clockNow());
                          scheduleAnnouncement();
                        }),
      m_signals(Io, SIGTERM, SIGINT, SIGHUP), m_placementTimer(Io),
      m_announcementTimer(Io) {
  m_core.m_schedulerClient = &m_schedulerClient;
  m_peers.setOnMessage(
      [this](const SchedulingMessage &Message) { onMessage(Message); });
  m_core.m_onAdapterWanted = [this] { schedulePlacement(); };
  m_peers.setOnPeerAdapterWanted([this] {
    if (isLeader())
      schedulePlacement();
  });
}

Result<void> Gateway::start() {
  decisionlog::setVm(m_core.m_settings.m_vm);
  decisionlog::line(LogClass::Lifecycle, "start")
      .text("version", libraryVersion())
      .text("failure_domain", m_core.m_settings.m_failureDomain)
      .text("store", m_core.m_settings.m_store);
  BOOST_OUTCOME_TRYV(m_peers.open());
  m_schedulerClient.setStart(m_peers.start());
  BOOST_OUTCOME_TRYV(openStatusListener(m_core.m_settings.m_ready, false));
  if (!m_core.m_settings.m_metrics.empty()) {
    BOOST_OUTCOME_TRYV(openStatusListener(m_core.m_settings.m_metrics, true));
  }
  BOOST_OUTCOME_TRYV(m_callerListener.open(m_core.m_settings.m_callers));
  using asio::co_spawn;
  using asio::detached;
  co_spawn(
      m_io, [this] { return m_callerListener.run(); }, detached);
  co_spawn(
      m_io, [this] { return m_peers.receive(); }, detached);
  co_spawn(
      m_io, [this] { return watchStore(); }, detached);
  co_spawn(
      m_io, [this] { return maintainLease(); }, detached);
  co_spawn(
      m_io, [this] { return runMaintenance(); }, detached);
  co_spawn(
      m_io, [this] { return sendReports(); }, detached);
  co_spawn(
      m_io, [this] { return awaitSignals(); }, detached);
  return boost::outcome_v2::success();
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
         m_core.m_endpointsKnown;
}

// --- Metadata store -------------------------------------------------------

void Gateway::onStoreResult(bool Success, const char *Operation) {
  const TimePoint Now = clockNow();
  if (!Success) {
    m_core.m_metrics->count(std::string("store_failed_") + Operation);
    if (!m_storeUnavailable &&
        Now - m_lastStoreSuccess > StoreUnavailableTimeout) {
      m_storeUnavailable = true;
      decisionlog::line(LogClass::Lifecycle, "store_lost")
          .text("call", Operation)
          .real("answered_ms_ago", toMillis(Now - m_lastStoreSuccess));
    }
    return;
  }
  if (m_storeUnavailable) {
    m_storeUnavailable = false;
    m_lapsedRecordsUntil =
        Now + lapsedRecordGrace(m_core.m_settings.m_drainLimit);
    decisionlog::line(LogClass::Lifecycle, "store_back")
        .real("away_ms", toMillis(Now - m_lastStoreSuccess));
  }
  m_lastStoreSuccess = Now;
}

double Gateway::confirmedMsAgo(TimePoint Now) const {
  return m_core.m_endpointsKnown ? toMillis(Now - m_core.m_copyConfirmedAt) : 0;
}

void Gateway::onCopyConfirmed(TimePoint Now) {
  if (m_copyStale)
    decisionlog::line(LogClass::Lifecycle, "store_copy_confirmed")
        .real("confirmed_ms_ago", confirmedMsAgo(Now));
  m_copyStale = false;
  m_core.m_copyConfirmedAt = Now;
}

/// Reports a copy of the store that is older than a change may be, although
/// calls to the store succeed.
void Gateway::checkCopyAge(TimePoint Now) {
  if (!m_core.m_endpointsKnown)
    return;
  const Duration Age = Now - m_core.m_copyConfirmedAt;
  m_core.m_metrics->gauge("store_copy_age_seconds", toSeconds(Age));
  if (m_copyStale || m_storeUnavailable || Age <= changeLimit())
    return;
  m_copyStale = true;
  m_core.m_metrics->count("store_copy_stale");
  decisionlog::line(LogClass::Lifecycle, "store_copy_stale")
      .real("confirmed_ms_ago", toMillis(Age))
      .real("answered_ms_ago", toMillis(Now - m_lastStoreSuccess));
}

Milliseconds Gateway::changeLimit() const {
  return std::min(m_core.m_settings.m_drainLimit,
                  m_core.m_settings.m_configurationLimit);
}

Duration Gateway::pauseBetweenWatches() const {
  const bool Frequent =
      m_leaderClaim.claimed() || m_peers.audience().isCoordinator();
  return watchPause(m_core.m_gatewayCount, Frequent, changeLimit());
}

TimePoint Gateway::lapsedRecordsUntil(TimePoint Now) const {
  return m_storeUnavailable
             ? Now + lapsedRecordGrace(m_core.m_settings.m_drainLimit)
             : m_lapsedRecordsUntil;
}

void Gateway::applyConfiguration(const StoreItem &Item) {
  Result<Configuration> Next =
      m_core.m_dialect.decodeConfiguration(Item.m_value);
  if (!Next) {
    m_core.m_metrics->count("configuration_unreadable");
    decisionlog::line(LogClass::Lifecycle, "configuration_unreadable")
        .number("revision", static_cast<std::int64_t>(Item.m_revision))
        .text("error", Next.error().m_message);
    return;
  }
  const std::uint64_t Version = Next.value().m_version;
  if (m_core.m_configuration && Version <= m_core.m_configuration->m_version)
    return; // An older version never replaces a newer one.
  m_core.m_configuration =
      std::make_shared<const Configuration>(std::move(Next.value()));
  m_core.m_configurationAt = clockNow();
  m_core.m_metrics->gauge("configuration_version",
                          static_cast<double>(Version));
  decisionlog::line(LogClass::Lifecycle, "configuration")
      .number("version", static_cast<std::int64_t>(Version))
      .number("revision", static_cast<std::int64_t>(Item.m_revision))
      .number("routes", static_cast<std::int64_t>(
                            m_core.m_configuration->m_routes.size()))
      .real("confirmed_ms_ago", confirmedMsAgo(clockNow()));
  m_core.dispatchWaiting(clockNow());
}

void Gateway::applyEndpoint(const StoreChange &Change) {
  const TimePoint Now = clockNow();
  const std::string Id =
      Change.m_key.substr(m_core.m_dialect.endpointPrefix().size());
  if (!Change.m_value) {
    const bool Known = m_core.m_endpoints.find(Id) != nullptr;
    const TimePoint KeepUntil = lapsedRecordsUntil(Now);
    m_core.m_endpoints.onRemoved(Id, KeepUntil, Now);
    if (Known)
      decisionlog::line(LogClass::KnownState, "endpoint_removed")
          .text("endpoint", Id)
          .number("revision", static_cast<std::int64_t>(Change.m_revision))
          .real("kept_ms", std::max(0.0, toMillis(KeepUntil - Now)))
          .real("confirmed_ms_ago", confirmedMsAgo(Now));
    return;
  }
  Result<EndpointRecord> Record =
      m_core.m_dialect.decodeEndpoint(Change.m_key, *Change.m_value);
  if (!Record) {
    m_core.m_metrics->count("endpoint_unreadable");
    decisionlog::line(LogClass::KnownState, "endpoint_unreadable")
        .text("key", Change.m_key)
        .text("error", Record.error().m_message);
    m_core.m_endpoints.onRemoved(Id, Now, Now);
    return;
  }
  const Endpoint *Before = m_core.m_endpoints.find(Id);
  const bool Draining = Record.value().m_draining;
  if (!Before || Before->m_record.m_draining != Draining)
    decisionlog::line(LogClass::KnownState, "endpoint")
        .text("endpoint", Id)
        .text("service", Record.value().m_service)
        .text("address", Record.value().m_address)
        .text("state", Draining ? "draining" : "ready")
        .number("revision", static_cast<std::int64_t>(Change.m_revision))
        .real("confirmed_ms_ago", confirmedMsAgo(Now));
  m_core.m_endpoints.onRecord(Record.value(), Now);
}

void Gateway::applyEndpoints(const StoreRange &List, TimePoint ReadAt) {
  const TimePoint Now = clockNow();
  std::set<std::string> ListedIds;
  for (const StoreItem &Item : List.m_items) {
    ListedIds.insert(
        Item.m_key.substr(m_core.m_dialect.endpointPrefix().size()));
    applyEndpoint({Item.m_key, Item.m_value, Item.m_revision});
  }
  std::vector<std::string> RemovedIds;
  for (const auto &[Id, E] : m_core.m_endpoints.all())
    if (!ListedIds.count(Id))
      RemovedIds.push_back(Id);
  for (const std::string &Id : RemovedIds)
    applyEndpoint({m_core.m_dialect.endpointPrefix() + Id, std::nullopt,
                   List.m_revision});
  m_core.m_endpointsKnown = true;
  onCopyConfirmed(ReadAt);
  m_core.dispatchWaiting(Now);
}

/// Lists all keys that the gateway uses. Returns the revision to watch from.
asio::awaitable<Result<std::uint64_t>> Gateway::listStore() {
  const std::string Key = m_core.m_dialect.configurationKey();
  const TimePoint ReadAt = clockNow();
  Result<StoreRange> List = co_await m_store.range(Key);
  onStoreResult(List.has_value(), "configuration");
  if (!List)
    co_return List.error();
  // The watch starts at the revision of the first list, which is the oldest. It
  // repeats changes that the later lists already include, but misses none;
  // applyChanges() leaves the repeated ones out.
  const std::uint64_t Revision = List.value().m_revision;
  for (const StoreItem &Item : List.value().m_items)
    if (Item.m_key == Key)
      applyConfiguration(Item);
  List = co_await m_store.range(m_core.m_dialect.endpointPrefix());
  onStoreResult(List.has_value(), "endpoints");
  if (!List)
    co_return List.error();
  m_endpointsListedAt = List.value().m_revision;
  applyEndpoints(List.value(), ReadAt);
  List = co_await m_store.range(GatewayPrefix);
  onStoreResult(List.has_value(), "gateways");
  if (!List)
    co_return List.error();
  m_gatewaysListedAt = List.value().m_revision;
  m_gatewayItems.clear();
  for (const StoreItem &Item : List.value().m_items)
    m_gatewayItems[Item.m_key] = Item;
  applyGateways(List.value().m_revision);
  co_return Revision;
}

void Gateway::applyChanges(const std::vector<StoreChange> &Changes,
                           std::uint64_t Revision) {
  const TimePoint Now = clockNow();
  const std::string Endpoints = m_core.m_dialect.endpointPrefix();
  bool EndpointsChanged = false;
  bool GatewaysChanged = false;
  for (const StoreChange &C : Changes) {
    if (C.m_key.rfind(Endpoints, 0) == 0) {
      if (C.m_revision <= m_endpointsListedAt)
        continue;
      EndpointsChanged = true;
      applyEndpoint(C);
    } else if (C.m_key.rfind(GatewayPrefix, 0) == 0) {
      if (C.m_revision <= m_gatewaysListedAt)
        continue;
      GatewaysChanged = true;
      if (C.m_value)
        m_gatewayItems[C.m_key] = {C.m_key, *C.m_value, C.m_revision,
                                   C.m_lease};
      else
        m_gatewayItems.erase(C.m_key);
    } else if (C.m_key == m_core.m_dialect.configurationKey() && C.m_value) {
      applyConfiguration({C.m_key, *C.m_value, C.m_revision});
    }
  }
  onCopyConfirmed(Now);
  if (GatewaysChanged)
    applyGateways(Revision);
  if (!EndpointsChanged)
    return;
  m_core.dispatchWaiting(Now);
  if (isLeader())
    schedulePlacement();
}

/// Waits while a coordinator's relays keep this gateway's copy of the store up
/// to date. Returns whether it waited.
asio::awaitable<bool> Gateway::awaitRelayEnd() {
  if (m_peers.audience().isCoordinator() || !m_peers.audience().isLarge() ||
      isLeader() || !m_storeFollower.followsRelay(clockNow()))
    co_return false;
  m_relayTimer.expires_at(m_storeFollower.relayValidUntil());
  std::error_code Ignored;
  co_await m_relayTimer.async_wait(
      asio::redirect_error(asio::use_awaitable, Ignored));
  co_return true;
}

/// Makes one watch call and applies and relays what it returned. Returns false
/// if the store's state must be read again.
asio::awaitable<bool> Gateway::watchOnce(Duration &Backoff) {
  const std::uint64_t From = m_storeFollower.revision();
  const TimePoint SentAt = clockNow();
  Milliseconds Wait =
      watchWait(SentAt - m_core.m_copyConfirmedAt, changeLimit());
  if (m_peers.audience().isCoordinator())
    Wait = std::min(Wait, CoordinatorWatchTimeout);
  Result<StoreChanges> Changes = co_await m_store.watch("", From, Wait);
  onStoreResult(Changes.has_value(), "watch");
  if (!Changes) {
    const TimePoint Now = clockNow();
    decisionlog::line(LogClass::KnownState, "watch_failed")
        .number("revision", static_cast<std::int64_t>(From))
        .real("took_ms", toMillis(Now - SentAt))
        .real("answered_ms_ago", toMillis(Now - m_lastStoreSuccess))
        .text("error", Changes.error().m_message);
    // The next watch returns the missed changes from the store's history, or
    // reports that the history no longer has them.
    co_await sleep(Backoff);
    Backoff = std::min<Duration>(2 * Backoff, MaxStoreBackoff);
    co_return true;
  }
  Backoff = MinStoreBackoff;
  if (Changes.value().m_historyLost)
    co_return false;
  for (const StoreRelay &Relay :
       makeRelays(m_core.m_settings.m_vm, From, Changes.value()))
    m_peers.relay(Relay);
  applyChanges(m_storeFollower.onWatched(Changes.value()),
               Changes.value().m_revision);
  if (!Changes.value().m_changes.empty())
    co_await sleep(pauseBetweenWatches());
  co_return true;
}

/// Keeps the configuration, the endpoints and the gateways up to date, with a
/// single watch over all keys or with the relays of a coordinator.
asio::awaitable<void> Gateway::watchStore() {
  Duration Backoff = MinStoreBackoff;
  for (;;) {
    m_storeFollower.onReadStarted();
    Result<std::uint64_t> Revision = co_await listStore();
    if (!Revision) {
      co_await sleep(Backoff);
      Backoff = std::min<Duration>(2 * Backoff, MaxStoreBackoff);
      continue;
    }
    Backoff = MinStoreBackoff;
    m_storeFollower.onRead(Revision.value());
    const TimePoint RelistAt = clockNow() + RelistInterval;
    while (clockNow() < RelistAt) {
      if (co_await awaitRelayEnd())
        continue;
      if (!co_await watchOnce(Backoff))
        break;
    }
  }
}

void Gateway::onRelay(const StoreRelay &Relay) {
  const Member *Sender = m_peers.audience().find(Relay.m_sender);
  if (!Sender || !m_peers.audience().isCoordinator(Relay.m_sender))
    return;
  const std::optional<std::vector<StoreChange>> Changes =
      m_storeFollower.onRelay(Relay, clockNow());
  if (!Changes) {
    m_core.m_metrics->count("relay_gap");
    m_relayTimer.cancel();
    return;
  }
  if (!m_storeFollower.isNewerThan(Relay))
    applyChanges(*Changes, Relay.m_to);
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

/// Applies the gateways' keys as of Revision: members and placement leader.
void Gateway::applyGateways(std::uint64_t Revision) {
  std::vector<Member> Members;
  for (const auto &[Key, Item] : m_gatewayItems) {
    if (Key.rfind(MemberPrefix, 0) != 0)
      continue;
    Result<Member> M = decodeMember(Item.m_value);
    if (M)
      Members.push_back(M.value());
    else
      decisionlog::line(LogClass::KnownState, "member_unreadable")
          .text("key", Key)
          .text("error", M.error().m_message);
  }
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
        .number("revision", static_cast<std::int64_t>(Revision));
  m_leaderName = Leader;
  m_peers.setMembers(Members);
  m_peers.setLeader(Leader, HasLeader ? Key->second.m_revision : Revision);
  if (Leader != m_core.m_settings.m_vm && m_leaderClaim.onForeignKey(Revision))
    m_placementLeader.onClaimLost();
  // A claim succeeded although its response was lost: the key has the lease of
  // this gateway.
  if (HasLeader && Leader == m_core.m_settings.m_vm &&
      !m_leaderClaim.claimed() && m_leaderClaim.lease() != 0 &&
      Key->second.m_lease == m_leaderClaim.lease()) {
    m_leaderClaim.onClaimed(Key->second.m_revision);
    decisionlog::line(LogClass::Lifecycle, "claimed_leadership")
        .number("token", static_cast<std::int64_t>(Key->second.m_revision))
        .text("reason", "key_seen");
  }
  if (Leader.empty() && !m_claimInProgress && !m_core.m_stopping)
    asio::co_spawn(
        m_io, [this] { return claimLeadership(); }, asio::detached);
}

/// Obtains and renews the lease, and writes this gateway's member key under it.
asio::awaitable<void> Gateway::maintainLease() {
  while (!m_core.m_stopping) {
    const BootTime SentAt = BootClock::now();
    if (m_leaderClaim.lease() == 0) {
      Result<std::uint64_t> Lease =
          co_await m_store.grantLease(m_core.m_settings.m_lease);
      onStoreResult(Lease.has_value(), "lease");
      if (Lease) {
        m_leaderClaim.onLeaseRenewed(Lease.value(), SentAt);
        m_memberWritten = false;
      }
    } else {
      Result<void> Renewed = co_await m_store.renewLease(m_leaderClaim.lease());
      onStoreResult(Renewed.has_value() ||
                        Renewed.error().m_kind == ErrorKind::NotFound,
                    "renewal");
      if (Renewed) {
        m_leaderClaim.onLeaseRenewed(m_leaderClaim.lease(), SentAt);
      } else if (Renewed.error().m_kind == ErrorKind::NotFound) {
        decisionlog::line(LogClass::Lifecycle, "lease_lost")
            .number("lease", static_cast<std::int64_t>(m_leaderClaim.lease()));
        m_leaderClaim.onLeaseLost();
        m_placementLeader.onClaimLost();
        continue;
      }
    }
    if (m_leaderClaim.lease() != 0 && !m_memberWritten) {
      // A named variable, because g++ 12 destroys an aggregate that is created
      // within a co_await expression twice.
      const StoreWrite Key{MemberPrefix + m_core.m_settings.m_vm,
                           encodeMember(m_core.m_settings),
                           m_leaderClaim.lease()};
      Result<std::uint64_t> Written = co_await m_store.write(Key, false);
      onStoreResult(Written.has_value(), "member");
      m_memberWritten = Written.has_value();
    }
    co_await sleep(Duration(m_core.m_settings.m_lease) /
                   (m_leaderClaim.claimed() ? LeaderRenewalsPerLease
                                            : MemberRenewalsPerLease));
  }
}

asio::awaitable<void> Gateway::claimLeadership() {
  m_claimInProgress = true;
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
  for (int Attempt = 0; Attempt < 20 && m_leaderClaim.lease() == 0; ++Attempt)
    co_await sleep(Milliseconds(100));
  if (m_leaderName.empty() && m_leaderClaim.lease() != 0 &&
      !m_core.m_stopping) {
    const std::uint64_t Lease = m_leaderClaim.lease();
    const StoreWrite Key{LeaderKey, m_core.m_settings.m_vm, Lease};
    Result<std::uint64_t> Written = co_await m_store.write(Key, true);
    onStoreResult(Written.has_value() ||
                      Written.error().m_kind == ErrorKind::Conflict,
                  "claim");
    if (Written && Lease == m_leaderClaim.lease()) {
      m_leaderClaim.onClaimed(Written.value());
      decisionlog::line(LogClass::Lifecycle, "claimed_leadership")
          .number("token", static_cast<std::int64_t>(Written.value()));
    }
  }
  m_claimInProgress = false;
}

void Gateway::schedulePlacement() {
  // Adapter requests in quick succession share one report and one plan.
  m_placementTimer.expires_after(AdapterRequestBatchDelay);
  m_placementTimer.async_wait([this](std::error_code Ec) {
    if (Ec)
      return;
    const TimePoint Now = clockNow();
    if (!isLeader()) {
      m_peers.sendToLeader(Now);
      return;
    }
    m_peers.recordLocalDemand(fencingToken(), Now);
    m_placementLeader.step(Now);
  });
}

void Gateway::scheduleAnnouncement() {
  m_announcementTimer.expires_after(AnnounceDelay);
  m_announcementTimer.async_wait([this](std::error_code Ec) {
    if (!Ec)
      m_peers.announceHoldings(fencingToken(), clockNow());
  });
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
      m_placementLeader.step(Now);
  }
}

asio::awaitable<void> Gateway::runMaintenance() {
  unsigned Count = 0;
  for (;;) {
    co_await sleep(MaintenanceInterval);
    const TimePoint Now = clockNow();
    m_core.dispatchWaiting(Now);
    if (++Count % 2 == 0)
      decisionlog::flush();
    if (Count % 4 != 0)
      continue;
    m_core.m_endpoints.expire(Now);
    m_scheduler.expire(reportLifetime(m_core.m_gatewayCount), Now);
    m_core.m_pool.expire(Now);
    m_storePool.expire(Now);
    m_core.m_metrics->gauge("waiting",
                            static_cast<double>(m_core.m_queue.size()));
    m_core.m_metrics->gauge("remote_requests",
                            static_cast<double>(m_scheduler.size()));
    m_core.m_metrics->gauge("caller_connections",
                            static_cast<double>(m_callerListener.size()));
    m_core.m_metrics->gauge("leads", isLeader() ? 1 : 0);
    checkCopyAge(Now);
    m_core.m_metrics->gauge("loop_lag_seconds", toSeconds(clockNow() - Now));
    m_core.m_metrics->gauge("log_lines_left_out",
                            static_cast<double>(decisionlog::dropped()));
  }
}

// --- Readiness, metrics and signals ---------------------------------------

Result<void> Gateway::openStatusListener(const std::string &Address,
                                         bool Metrics) {
  Result<asio::ip::tcp::endpoint> ListenAddress = parseAddress(Address);
  if (!ListenAddress)
    return ListenAddress.error();
  auto Acceptor = std::make_shared<asio::ip::tcp::acceptor>(m_io);
  std::error_code Ec;
  Acceptor->open(ListenAddress.value().protocol(), Ec);
  if (!Ec)
    Acceptor->set_option(asio::ip::tcp::acceptor::reuse_address(true), Ec);
  if (!Ec)
    Acceptor->bind(ListenAddress.value(), Ec);
  if (!Ec)
    Acceptor->listen(asio::socket_base::max_listen_connections, Ec);
  if (Ec)
    return makeError(ErrorKind::Unavailable,
                     "cannot listen at " + Address + ": " + Ec.message() +
                         "; stop the process that uses this port or change the "
                         "settings under listen");
  asio::co_spawn(m_io, acceptStatusConnections(Acceptor, Metrics),
                 asio::detached);
  return boost::outcome_v2::success();
}

asio::awaitable<void> Gateway::acceptStatusConnections(
    std::shared_ptr<asio::ip::tcp::acceptor> Acceptor, bool Metrics) {
  for (;;) {
    std::error_code Ec;
    auto Socket =
        std::make_shared<asio::ip::tcp::socket>(co_await Acceptor->async_accept(
            asio::redirect_error(asio::use_awaitable, Ec)));
    if (Ec) {
      co_await sleep(Milliseconds(20));
      continue;
    }
    prepareSocket(*Socket, CallerUnresponsiveTimeout);
    asio::co_spawn(m_io, serveStatusConnection(Socket, Metrics),
                   asio::detached);
  }
}

std::string Gateway::statusBody(bool Metrics, const HttpHead &Head,
                                unsigned &Status) {
  if (Metrics) {
    Status = 200;
    return m_core.m_metrics->text();
  }
  if (Head.path() != m_core.m_dialect.readyPath()) {
    Status = 404;
    return "no such page\n";
  }
  Status = isReady() ? 200 : 503;
  return isReady() ? "ready\n" : "not ready\n";
}

asio::awaitable<void>
Gateway::serveStatusConnection(std::shared_ptr<asio::ip::tcp::socket> Socket,
                               bool Metrics) {
  constexpr std::size_t HeadLimit = 8192;
  HttpReader Reader(HttpRole::Request, HeadLimit);
  std::string Input;
  for (;;) {
    while (!Reader.complete()) {
      char Buffer[1024];
      std::error_code Ec;
      const std::size_t N = co_await Socket->async_read_some(
          asio::buffer(Buffer), asio::redirect_error(asio::use_awaitable, Ec));
      if (Ec)
        co_return;
      Input.append(Buffer, N);
      while (!Input.empty() && !Reader.complete()) {
        const Result<std::size_t> Used = Reader.read(Input);
        if (!Used)
          co_return;
        Input.erase(0, Used.value());
        if (Used.value() == 0)
          break;
      }
    }
    unsigned Status = 200;
    const std::string Body = statusBody(Metrics, Reader.head(), Status);
    const bool KeepAlive = Reader.head().m_keepAlive;
    const std::string Out =
        statusLine(Status) + "Content-Type: text/plain\r\nContent-Length: " +
        std::to_string(Body.size()) + "\r\n" +
        (KeepAlive ? "" : "Connection: close\r\n") + "\r\n" + Body;
    std::error_code Ec;
    co_await asio::async_write(*Socket, asio::buffer(Out),
                               asio::redirect_error(asio::use_awaitable, Ec));
    if (Ec || !KeepAlive)
      co_return;
    Reader.reset();
  }
}

/// Shuts down without interrupting requests: reports that it is not ready, so
/// that callers use other VMs, and then waits for the requests in progress.
asio::awaitable<void> Gateway::drain() {
  const TimePoint Start = clockNow();
  const TimePoint End = Start + m_core.m_settings.m_stopLimit - ShutdownMargin;
  m_core.m_stopping = true;
  decisionlog::line(LogClass::Lifecycle, "stop")
      .number("busy",
              static_cast<std::int64_t>(m_callerListener.busyConnections()));
  if (m_leaderClaim.lease() != 0) {
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
      asio::co_spawn(m_io, drain(), asio::detached);
  }
}

} // namespace primroseworks::gateway
