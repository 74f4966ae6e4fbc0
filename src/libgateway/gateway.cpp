// The tasks of a gateway process.
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
                        {"failure_domain", Options.m_failureDomain}}
      .dump();
}

Result<Member> decodeMember(const std::string &Text) {
  const nlohmann::json J = nlohmann::json::parse(Text, nullptr, false);
  std::error_code Ec;
  if (J.is_object() && J.value("name", nlohmann::json()).is_string() &&
      J.value("address", nlohmann::json()).is_string() &&
      J.value("failure_domain", nlohmann::json()).is_string()) {
    Member M{J["name"], J["address"], J["failure_domain"]};
    (void)asio::ip::make_address(M.m_address, Ec);
    if (!Ec)
      return M;
  }
  return makeError(ErrorKind::Protocol,
                   "a member's key cannot be read; check that all gateways "
                   "run one version");
}

} // namespace

Gateway::Gateway(asio::io_context &Io, Settings Options,
                 const Dialect &Platform, MetadataStore &Store,
                 ConnectionPool &StorePool, CrashSuspects Suspects,
                 std::string SettingsPath)
    : m_io(Io), m_core(Io, std::move(Options), Platform, std::move(Suspects)),
      m_store(Store), m_storePool(StorePool),
      m_settingsPath(std::move(SettingsPath)), m_callers(m_core),
      m_peers(m_core), m_claim(m_core.m_settings.m_lease, LeaseMargin),
      m_leader(m_core, m_claim, m_core.m_settings.m_vm,
               [this](const std::string &Id) {
                 m_peers.onHoldingChanged(Id, clockNow());
                 announceHoldings();
               }),
      m_signals(Io, SIGTERM, SIGINT, SIGHUP), m_wakePlacement(Io),
      m_announce(Io) {
  m_core.m_onAdapterWanted = [this] { wakePlacement(); };
  m_peers.setOnPeerAdapterWanted([this] {
    if (leads())
      wakePlacement();
  });
}

Result<void> Gateway::start() {
  decisionlog::setVm(m_core.m_settings.m_vm);
  decisionlog::line(LogClass::Lifecycle, "start")
      .text("version", libraryVersion())
      .text("failure_domain", m_core.m_settings.m_failureDomain)
      .text("store", m_core.m_settings.m_store);
  BOOST_OUTCOME_TRYV(m_peers.open());
  BOOST_OUTCOME_TRYV(openStatus(m_core.m_settings.m_ready, false));
  if (!m_core.m_settings.m_metrics.empty()) {
    BOOST_OUTCOME_TRYV(openStatus(m_core.m_settings.m_metrics, true));
  }
  BOOST_OUTCOME_TRYV(m_callers.open(m_core.m_settings.m_callers));
  using asio::co_spawn;
  using asio::detached;
  co_spawn(
      m_io, [this] { return m_callers.run(); }, detached);
  co_spawn(
      m_io, [this] { return m_peers.receive(); }, detached);
  co_spawn(
      m_io, [this] { return followStore(); }, detached);
  co_spawn(
      m_io, [this] { return holdLease(); }, detached);
  co_spawn(
      m_io, [this] { return tick(); }, detached);
  co_spawn(
      m_io, [this] { return report(); }, detached);
  co_spawn(
      m_io, [this] { return awaitSignals(); }, detached);
  return boost::outcome_v2::success();
}

asio::awaitable<void> Gateway::sleep(Duration Time) {
  asio::steady_timer Timer(m_io, Time);
  std::error_code Ignored;
  co_await Timer.async_wait(asio::redirect_error(asio::use_awaitable, Ignored));
}

std::uint64_t Gateway::token() const {
  return m_claim.tokenAt(BootClock::now()).value_or(0);
}

bool Gateway::ready() const {
  return !m_core.m_stopping && m_core.m_configuration &&
         m_core.m_endpointsKnown;
}

// --- The store -------------------------------------------------------------

void Gateway::onStoreAnswer(bool Good, const char *What) {
  const TimePoint Now = clockNow();
  if (!Good) {
    m_core.m_metrics->count(std::string("store_failed_") + What);
    if (!m_storeLost && Now - m_storeAnswered > StoreAwayAfter) {
      m_storeLost = true;
      decisionlog::line(LogClass::Lifecycle, "store_lost")
          .text("call", What)
          .real("answered_ms_ago", toMillis(Now - m_storeAnswered));
    }
    return;
  }
  if (m_storeLost) {
    m_storeLost = false;
    m_storeAwayUntil = Now + LapsedRecordGrace;
    decisionlog::line(LogClass::Lifecycle, "store_back")
        .real("away_ms", toMillis(Now - m_storeAnswered));
  }
  m_storeAnswered = Now;
}

bool Gateway::storeWasAway(TimePoint Now) const {
  return m_storeLost || Now < m_storeAwayUntil;
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
    return; // An older one never replaces a newer one.
  m_core.m_configuration =
      std::make_shared<const Configuration>(std::move(Next.value()));
  m_core.m_configurationAt = clockNow();
  m_core.m_metrics->gauge("configuration_version",
                          static_cast<double>(Version));
  decisionlog::line(LogClass::Lifecycle, "configuration")
      .number("version", static_cast<std::int64_t>(Version))
      .number("revision", static_cast<std::int64_t>(Item.m_revision))
      .number("routes", static_cast<std::int64_t>(
                            m_core.m_configuration->m_routes.size()));
  m_core.dispatchWaiting(clockNow());
}

void Gateway::applyEndpoint(const StoreChange &Change, bool Away) {
  const TimePoint Now = clockNow();
  const std::string Id =
      Change.m_key.substr(m_core.m_dialect.endpointPrefix().size());
  if (!Change.m_value) {
    const bool Known = m_core.m_endpoints.find(Id) != nullptr;
    m_core.m_endpoints.onRemoved(Id, Away, Now);
    if (Known)
      decisionlog::line(LogClass::KnownState, "endpoint_removed")
          .text("endpoint", Id)
          .number("revision", static_cast<std::int64_t>(Change.m_revision))
          .number("store_was_away", Away ? 1 : 0);
    return;
  }
  Result<EndpointRecord> Record =
      m_core.m_dialect.decodeEndpoint(Change.m_key, *Change.m_value);
  if (!Record) {
    m_core.m_metrics->count("endpoint_unreadable");
    decisionlog::line(LogClass::KnownState, "endpoint_unreadable")
        .text("key", Change.m_key)
        .text("error", Record.error().m_message);
    m_core.m_endpoints.onRemoved(Id, false, Now);
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
        .number("revision", static_cast<std::int64_t>(Change.m_revision));
  m_core.m_endpoints.onRecord(Record.value(), Now);
}

void Gateway::applyEndpoints(const StoreRange &List) {
  const TimePoint Now = clockNow();
  const bool Away = storeWasAway(Now);
  std::set<std::string> Listed;
  for (const StoreItem &Item : List.m_items) {
    Listed.insert(Item.m_key.substr(m_core.m_dialect.endpointPrefix().size()));
    applyEndpoint({Item.m_key, Item.m_value, Item.m_revision}, Away);
  }
  std::vector<std::string> Missing;
  for (const auto &[Id, E] : m_core.m_endpoints.all())
    if (!Listed.count(Id))
      Missing.push_back(Id);
  for (const std::string &Id : Missing)
    applyEndpoint(
        {m_core.m_dialect.endpointPrefix() + Id, std::nullopt, List.m_revision},
        Away);
  m_core.m_endpointsKnown = true;
  m_core.m_endpointsAt = Now;
  m_core.dispatchWaiting(Now);
}

/// Reads all that the gateway follows; the revision to watch from.
asio::awaitable<Result<std::uint64_t>> Gateway::listStore() {
  const std::string Key = m_core.m_dialect.configurationKey();
  Result<StoreRange> List = co_await m_store.range(Key);
  onStoreAnswer(List.has_value(), "configuration");
  if (!List)
    co_return List.error();
  // The first list is the oldest: a watch from its revision tells again what
  // the later ones include.
  const std::uint64_t Revision = List.value().m_revision;
  for (const StoreItem &Item : List.value().m_items)
    if (Item.m_key == Key)
      applyConfiguration(Item);
  List = co_await m_store.range(m_core.m_dialect.endpointPrefix());
  onStoreAnswer(List.has_value(), "endpoints");
  if (!List)
    co_return List.error();
  applyEndpoints(List.value());
  List = co_await m_store.range(GatewayPrefix);
  onStoreAnswer(List.has_value(), "gateways");
  if (!List)
    co_return List.error();
  m_gatewayKeys.clear();
  for (const StoreItem &Item : List.value().m_items)
    m_gatewayKeys[Item.m_key] = Item;
  applyGateways(List.value().m_revision);
  co_return Revision;
}

void Gateway::applyChanges(const StoreChanges &Changes) {
  const TimePoint Now = clockNow();
  const bool Away = storeWasAway(Now);
  const std::string Endpoints = m_core.m_dialect.endpointPrefix();
  bool EndpointsChanged = false;
  bool GatewaysChanged = false;
  for (const StoreChange &C : Changes.m_changes) {
    if (C.m_key.rfind(Endpoints, 0) == 0) {
      EndpointsChanged = true;
      applyEndpoint(C, Away);
    } else if (C.m_key.rfind(GatewayPrefix, 0) == 0) {
      GatewaysChanged = true;
      if (C.m_value)
        m_gatewayKeys[C.m_key] = {C.m_key, *C.m_value, C.m_revision, C.m_lease};
      else
        m_gatewayKeys.erase(C.m_key);
    } else if (C.m_key == m_core.m_dialect.configurationKey() && C.m_value) {
      applyConfiguration({C.m_key, *C.m_value, C.m_revision});
    }
  }
  m_core.m_endpointsAt = Now;
  if (GatewaysChanged)
    applyGateways(Changes.m_revision);
  if (!EndpointsChanged)
    return;
  m_core.dispatchWaiting(Now);
  if (leads())
    wakePlacement();
}

/// Keeps the configuration, the endpoints and the gateways up to date by one
/// watch over all keys.
asio::awaitable<void> Gateway::followStore() {
  Duration Backoff = StoreBackoffMin;
  for (;;) {
    Result<std::uint64_t> Listed = co_await listStore();
    if (!Listed) {
      co_await sleep(Backoff);
      Backoff = std::min<Duration>(2 * Backoff, StoreBackoffMax);
      continue;
    }
    Backoff = StoreBackoffMin;
    std::uint64_t After = Listed.value();
    const TimePoint Relist = clockNow() + RelistInterval;
    while (clockNow() < Relist) {
      Result<StoreChanges> Changes =
          co_await m_store.watch("", After, WatchWait);
      onStoreAnswer(Changes.has_value(), "watch");
      if (!Changes) {
        // What was missed is in the history, or the next watch says that it is
        // not.
        co_await sleep(Backoff);
        Backoff = std::min<Duration>(2 * Backoff, StoreBackoffMax);
        continue;
      }
      Backoff = StoreBackoffMin;
      if (Changes.value().m_historyLost)
        break;
      applyChanges(Changes.value());
      After = Changes.value().m_revision;
      if (!Changes.value().m_changes.empty())
        co_await sleep(
            watchPause(m_core.m_gatewayCount, m_claim.claimed(),
                       std::min(m_core.m_settings.m_drainLimit,
                                m_core.m_settings.m_configurationLimit)));
    }
  }
}

// --- The fleet -------------------------------------------------------------

/// Takes over what the gateways' keys tell at a revision.
void Gateway::applyGateways(std::uint64_t Revision) {
  std::vector<Member> Members;
  for (const auto &[Key, Item] : m_gatewayKeys) {
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
  // The store may take keys away while their lease goes on.
  if (!m_gatewayKeys.count(MemberPrefix + m_core.m_settings.m_vm))
    m_memberWritten = false;
  const auto Key = m_gatewayKeys.find(LeaderKey);
  const bool Led = Key != m_gatewayKeys.end();
  const std::string Leader = Led ? Key->second.m_value : "";
  if (Leader != m_leaderName)
    decisionlog::line(LogClass::Lifecycle, "placement_leader")
        .text("leader", Leader)
        .text("before", m_leaderName)
        .number("revision", static_cast<std::int64_t>(Revision));
  m_leaderName = Leader;
  m_peers.setMembers(std::move(Members));
  m_peers.setLeader(Leader, Led ? Key->second.m_revision : Revision);
  if (Leader != m_core.m_settings.m_vm && m_claim.onForeignKey(Revision))
    m_leader.onClaimLost();
  // A claim whose answer was lost shows here.
  if (Led && Leader == m_core.m_settings.m_vm && !m_claim.claimed() &&
      m_claim.lease() != 0 && Key->second.m_lease == m_claim.lease()) {
    m_claim.onClaimed(Key->second.m_revision);
    decisionlog::line(LogClass::Lifecycle, "claimed_leadership")
        .number("token", static_cast<std::int64_t>(Key->second.m_revision))
        .text("reason", "key_seen");
  }
  if (Leader.empty() && !m_claiming && !m_core.m_stopping)
    asio::co_spawn(
        m_io, [this] { return claimLeadership(); }, asio::detached);
}

/// Grants and renews the lease, and writes this gateway's key under it.
asio::awaitable<void> Gateway::holdLease() {
  while (!m_core.m_stopping) {
    const BootTime SentAt = BootClock::now();
    if (m_claim.lease() == 0) {
      Result<std::uint64_t> Lease =
          co_await m_store.grantLease(m_core.m_settings.m_lease);
      onStoreAnswer(Lease.has_value(), "lease");
      if (Lease) {
        m_claim.onLeaseRenewed(Lease.value(), SentAt);
        m_memberWritten = false;
      }
    } else {
      Result<void> Renewed = co_await m_store.renewLease(m_claim.lease());
      onStoreAnswer(Renewed.has_value() ||
                        Renewed.error().m_kind == ErrorKind::NotFound,
                    "renewal");
      if (Renewed) {
        m_claim.onLeaseRenewed(m_claim.lease(), SentAt);
      } else if (Renewed.error().m_kind == ErrorKind::NotFound) {
        decisionlog::line(LogClass::Lifecycle, "lease_lost")
            .number("lease", static_cast<std::int64_t>(m_claim.lease()));
        m_claim.onLeaseLost();
        m_leader.onClaimLost();
        continue;
      }
    }
    if (m_claim.lease() != 0 && !m_memberWritten) {
      // g++ 12 destroys an aggregate built within a co_await expression twice.
      const StoreWrite Key{MemberPrefix + m_core.m_settings.m_vm,
                           encodeMember(m_core.m_settings), m_claim.lease()};
      Result<std::uint64_t> Written = co_await m_store.write(Key, false);
      onStoreAnswer(Written.has_value(), "member");
      m_memberWritten = Written.has_value();
    }
    co_await sleep(Duration(m_core.m_settings.m_lease) /
                   (m_claim.claimed() ? LeaderRenewals : MemberRenewals));
  }
}

asio::awaitable<void> Gateway::claimLeadership() {
  m_claiming = true;
  // Spread, so that most of the gateways see the winner's key and do not ask.
  std::uniform_int_distribution<int> Spread(0, 150);
  co_await sleep(Milliseconds(Spread(m_core.m_random)));
  for (int Try = 0; Try < 20 && m_claim.lease() == 0; ++Try)
    co_await sleep(Milliseconds(100));
  if (m_leaderName.empty() && m_claim.lease() != 0 && !m_core.m_stopping) {
    const std::uint64_t Lease = m_claim.lease();
    const StoreWrite Key{LeaderKey, m_core.m_settings.m_vm, Lease};
    Result<std::uint64_t> Written = co_await m_store.write(Key, true);
    onStoreAnswer(Written.has_value() ||
                      Written.error().m_kind == ErrorKind::Conflict,
                  "claim");
    if (Written && Lease == m_claim.lease()) {
      m_claim.onClaimed(Written.value());
      decisionlog::line(LogClass::Lifecycle, "claimed_leadership")
          .number("token", static_cast<std::int64_t>(Written.value()));
    }
  }
  m_claiming = false;
}

void Gateway::wakePlacement() {
  // Wants that come together share one report and one plan.
  m_wakePlacement.expires_after(WantsPause);
  m_wakePlacement.async_wait([this](std::error_code Ec) {
    if (Ec)
      return;
    const TimePoint Now = clockNow();
    if (!leads()) {
      m_peers.sendToLeader(Now);
      return;
    }
    m_peers.recordLocalDemand(token(), Now);
    m_leader.step(Now);
  });
}

void Gateway::announceHoldings() {
  m_announce.expires_after(m_peers.announceDelay());
  m_announce.async_wait([this](std::error_code Ec) {
    if (!Ec)
      m_peers.announceHoldings(token(), clockNow());
  });
}

asio::awaitable<void> Gateway::report() {
  for (;;) {
    co_await sleep(reportInterval(m_core.m_gatewayCount));
    const TimePoint Now = clockNow();
    m_core.m_demand.update(Now);
    m_peers.send(token(), Now);
    if (leads())
      m_leader.step(Now);
  }
}

asio::awaitable<void> Gateway::tick() {
  unsigned Count = 0;
  for (;;) {
    co_await sleep(TickInterval);
    const TimePoint Now = clockNow();
    m_core.dispatchWaiting(Now);
    if (++Count % 2 == 0)
      decisionlog::flush();
    if (Count % 4 != 0)
      continue;
    m_core.m_endpoints.expire(Now);
    m_core.m_pool.expire(Now);
    m_storePool.expire(Now);
    m_core.m_metrics->gauge("waiting",
                            static_cast<double>(m_core.m_queue.size()));
    m_core.m_metrics->gauge("caller_connections",
                            static_cast<double>(m_callers.size()));
    m_core.m_metrics->gauge("leads", leads() ? 1 : 0);
    m_core.m_metrics->gauge("loop_lag_seconds", toSeconds(clockNow() - Now));
    m_core.m_metrics->gauge("log_lines_left_out",
                            static_cast<double>(decisionlog::dropped()));
  }
}

// --- Readiness, metrics, signals -------------------------------------------

Result<void> Gateway::openStatus(const std::string &Address, bool Metrics) {
  Result<asio::ip::tcp::endpoint> At = parseAddress(Address);
  if (!At)
    return At.error();
  auto Acceptor = std::make_shared<asio::ip::tcp::acceptor>(m_io);
  std::error_code Ec;
  Acceptor->open(At.value().protocol(), Ec);
  if (!Ec)
    Acceptor->set_option(asio::ip::tcp::acceptor::reuse_address(true), Ec);
  if (!Ec)
    Acceptor->bind(At.value(), Ec);
  if (!Ec)
    Acceptor->listen(asio::socket_base::max_listen_connections, Ec);
  if (Ec)
    return makeError(ErrorKind::Unavailable,
                     "cannot listen at " + Address + ": " + Ec.message() +
                         "; end the program that holds it or change the "
                         "settings under listen");
  asio::co_spawn(m_io, serveStatus(Acceptor, Metrics), asio::detached);
  return boost::outcome_v2::success();
}

asio::awaitable<void>
Gateway::serveStatus(std::shared_ptr<asio::ip::tcp::acceptor> A, bool Metrics) {
  for (;;) {
    std::error_code Ec;
    auto Socket =
        std::make_shared<asio::ip::tcp::socket>(co_await A->async_accept(
            asio::redirect_error(asio::use_awaitable, Ec)));
    if (Ec) {
      co_await sleep(Milliseconds(20));
      continue;
    }
    prepareSocket(*Socket, CallerSilenceLimit);
    asio::co_spawn(m_io, answerStatus(Socket, Metrics), asio::detached);
  }
}

std::string Gateway::statusText(bool Metrics, const HttpHead &Head,
                                unsigned &Status) {
  if (Metrics) {
    Status = 200;
    return m_core.m_metrics->text();
  }
  if (Head.path() != m_core.m_dialect.readyPath()) {
    Status = 404;
    return "no such page\n";
  }
  Status = ready() ? 200 : 503;
  return ready() ? "ready\n" : "not ready\n";
}

asio::awaitable<void>
Gateway::answerStatus(std::shared_ptr<asio::ip::tcp::socket> Socket,
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
    const std::string Body = statusText(Metrics, Reader.head(), Status);
    const bool Keep = Reader.head().m_keepAlive;
    const std::string Out =
        statusLine(Status) + "Content-Type: text/plain\r\nContent-Length: " +
        std::to_string(Body.size()) + "\r\n" +
        (Keep ? "" : "Connection: close\r\n") + "\r\n" + Body;
    std::error_code Ec;
    co_await asio::async_write(*Socket, asio::buffer(Out),
                               asio::redirect_error(asio::use_awaitable, Ec));
    if (Ec || !Keep)
      co_return;
    Reader.reset();
  }
}

/// Ends the process without cutting a request: callers are turned to other
/// VMs first, then what is in progress ends.
asio::awaitable<void> Gateway::drain() {
  const TimePoint Start = clockNow();
  const TimePoint End = Start + m_core.m_settings.m_stopLimit - StopMargin;
  m_core.m_stopping = true;
  decisionlog::line(LogClass::Lifecycle, "stop")
      .number("busy", static_cast<std::int64_t>(m_callers.busy()));
  if (m_claim.lease() != 0) {
    const std::uint64_t Lease = m_claim.lease();
    m_claim.onLeaseLost();
    Result<void> Ended = co_await m_store.revokeLease(Lease);
    if (!Ended)
      m_core.m_metrics->count("lease_end_failed");
  }
  co_await sleep(
      std::max<Duration>(Duration::zero(), Start + DrainAccept - clockNow()));
  m_callers.stopAccepting();
  m_core.m_closing = true;
  const TimePoint TurnAway =
      Start + fromSeconds(toSeconds(End - Start) * TurnAwayShare);
  while (clockNow() < End) {
    if (!m_core.m_rejectingWaiting && clockNow() >= TurnAway)
      m_core.rejectWaiting();
    m_callers.closeIdle();
    if (m_callers.busy() == 0)
      break;
    co_await sleep(Milliseconds(50));
  }
  // The last answers leave the socket buffers.
  co_await sleep(Milliseconds(100));
  decisionlog::line(LogClass::Lifecycle, "stopped")
      .number("busy", static_cast<std::int64_t>(m_callers.busy()));
  decisionlog::flush();
  m_io.stop();
}

void Gateway::reloadSettings() {
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
      reloadSettings();
      continue;
    }
    if (!m_core.m_stopping)
      asio::co_spawn(m_io, drain(), asio::detached);
  }
}

} // namespace primroseworks::gateway
