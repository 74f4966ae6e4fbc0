// How a gateway follows the metadata store: complete lists, watches, relays of
// coordinators, and the age of its copy.
#include "libgateway/gateway.h"
#include "libgateway/log.h"

#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

namespace primroseworks::gateway {

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
  m_quotas.service().onListConfirmed(BootClock::now());
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
  m_core.onRecord(Record.value(), Now);
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
    m_placement.request();
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

} // namespace primroseworks::gateway
