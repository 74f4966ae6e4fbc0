// How a gateway follows the metadata store: complete lists, watches, relays of
// coordinators, and the age of its copy.
#include "libgateway/gateway.h"
#include "libgateway/log.h"

#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

namespace primroseworks::gateway {

namespace {

std::int64_t revisionOf(const StoreVersion &Version) {
  return static_cast<std::int64_t>(Version.m_revision);
}

Error mixedErasError() {
  return makeError(ErrorKind::Unavailable,
                   "the store came back from a copy between two lists; read "
                   "them again");
}

} // namespace

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

bool Gateway::onStoreEra(std::uint64_t Era) {
  const std::uint64_t Before = m_storeEra.era();
  const EraOrder Order = m_storeEra.onAnswer(Era, BootClock::now());
  if (Order == EraOrder::Newer)
    onNewEra(Before);
  if (Order != EraOrder::Outdated)
    return true;
  m_core.m_metrics->count("store_answer_outdated");
  decisionlog::line(LogClass::KnownState, "store_answer_outdated")
      .number("era", static_cast<std::int64_t>(Era))
      .number("seen", static_cast<std::int64_t>(Before));
  return false;
}

/// The store came back from an older copy of itself, which has lost what this
/// gateway wrote since then. On the first answer to this process there is
/// nothing to lose.
void Gateway::onNewEra(std::uint64_t Before) {
  const TimePoint Now = clockNow();
  const bool Restored = m_core.m_endpointsKnown || m_leaderClaim.lease() != 0;
  m_core.m_metrics->gauge("store_era", static_cast<double>(m_storeEra.era()));
  decisionlog::line(LogClass::Lifecycle,
                    Restored ? "store_restored" : "store_era")
      .number("era", static_cast<std::int64_t>(m_storeEra.era()))
      .number("before", static_cast<std::int64_t>(Before))
      .number("lease", static_cast<std::int64_t>(m_leaderClaim.lease()))
      .number("led", m_leaderClaim.claimed() ? 1 : 0);
  m_leaderClaim.onLeaseLost();
  m_placementLeader.onClaimLost();
  m_memberWritten = false;
  if (!Restored)
    return;
  m_core.m_metrics->count("store_restored");
  m_lapsedRecordsUntil = std::max<TimePoint>(
      m_lapsedRecordsUntil,
      Now + lapsedRecordGrace(m_core.m_settings.m_drainLimit));
  FormerKeys::Values Members = m_formerMembers.values();
  for (const auto &[Key, Item] : m_gatewayItems)
    if (Key.rfind(MemberPrefix, 0) == 0)
      Members[Key] = Item.m_value;
  m_formerMembers.keep(std::move(Members), Now + m_core.m_settings.m_lease);
  std::uniform_real_distribution<double> Share(0, 1);
  m_restoreTurn =
      Now + fromSeconds(Share(m_core.m_random) *
                        toSeconds(restoreSpread(m_core.m_gatewayCount)));
  m_store.endWatch();
  m_relayTimer.cancel();
  m_leaseTimer.cancel();
}

asio::awaitable<void> Gateway::awaitRestoreTurn() {
  for (TimePoint Now = clockNow(); Now < m_restoreTurn; Now = clockNow())
    co_await sleep(m_restoreTurn - Now);
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

void Gateway::applyConfiguration(const StoreItem &Item, ChangeSource Source) {
  Result<Configuration> Next =
      m_core.m_dialect.decodeConfiguration(Item.m_value);
  m_configurationUnreadable = !Next;
  if (!Next) {
    m_core.m_metrics->count("configuration_unreadable");
    decisionlog::line(LogClass::Lifecycle, "configuration_unreadable")
        .number("revision", revisionOf(Item.m_version))
        .text("error", Next.error().m_message);
    return;
  }
  const std::uint64_t Version = Next.value().m_version;
  m_configurationBytes = Item.m_value.size();
  if (m_core.m_configuration && Version <= m_core.m_configuration->m_version)
    return; // An older version never replaces a newer one.
  m_core.m_configuration =
      std::make_shared<const Configuration>(std::move(Next.value()));
  m_core.m_configurationAt = clockNow();
  m_core.m_metrics->gauge("configuration_version",
                          static_cast<double>(Version));
  decisionlog::line(LogClass::Lifecycle, "configuration")
      .number("version", static_cast<std::int64_t>(Version))
      .number("revision", revisionOf(Item.m_version))
      .text("source", nameOf(ChangeSourceNames, Source))
      .number("routes", static_cast<std::int64_t>(
                            m_core.m_configuration->m_routes.size()))
      .real("confirmed_ms_ago", confirmedMsAgo(clockNow()));
  onAccountsApplied();
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
          .number("revision", revisionOf(Change.m_version))
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
        .number("revision", revisionOf(Change.m_version))
        .real("confirmed_ms_ago", confirmedMsAgo(Now));
  m_core.onRecord(Record.value(), Now);
}

void Gateway::applyEndpoints(const StoreRange &List, TimePoint ReadAt) {
  const TimePoint Now = clockNow();
  std::set<std::string> ListedIds;
  for (const StoreItem &Item : List.m_items) {
    ListedIds.insert(
        Item.m_key.substr(m_core.m_dialect.endpointPrefix().size()));
    applyEndpoint({Item.m_key, Item.m_value, Item.m_version});
  }
  std::vector<std::string> RemovedIds;
  for (const auto &[Id, E] : m_core.m_endpoints.all())
    if (!ListedIds.count(Id))
      RemovedIds.push_back(Id);
  for (const std::string &Id : RemovedIds)
    applyEndpoint(
        {m_core.m_dialect.endpointPrefix() + Id, std::nullopt, List.m_version});
  m_core.m_endpointsKnown = true;
  m_core.m_endpoints.onFirstListComplete();
  onCopyConfirmed(ReadAt);
  m_core.dispatchWaiting(Now);
}

/// Lists all keys that the gateway uses. Returns the version to watch from.
/// Fails with Unavailable if the store came back from a copy between two lists.
asio::awaitable<Result<StoreVersion>> Gateway::listStore() {
  const std::string Key = m_core.m_dialect.configurationKey();
  const TimePoint ReadAt = clockNow();
  const BootDuration SentAt = bootNow();
  Result<StoreRange> List = co_await m_store.range(Key);
  onStoreResult(List.has_value(), "configuration");
  if (!List)
    co_return List.error();
  // The watch starts at the version of the first list, which is the oldest. It
  // repeats changes that the later lists already include, but misses none;
  // applyChanges() leaves the repeated ones out.
  const StoreVersion Version = List.value().m_version;
  for (const StoreItem &Item : List.value().m_items)
    if (Item.m_key == Key)
      applyConfiguration(Item, ChangeSource::List);
  confirmCopy(SentAt);
  List = co_await m_store.range(m_core.m_dialect.endpointPrefix());
  onStoreResult(List.has_value(), "endpoints");
  if (!List)
    co_return List.error();
  if (List.value().m_version.m_era != Version.m_era)
    co_return mixedErasError();
  m_endpointsListedAt = List.value().m_version;
  applyEndpoints(List.value(), ReadAt);
  List = co_await m_store.range(GatewayPrefix);
  onStoreResult(List.has_value(), "gateways");
  if (!List)
    co_return List.error();
  if (List.value().m_version.m_era != Version.m_era)
    co_return mixedErasError();
  m_gatewaysListedAt = List.value().m_version;
  m_gatewayItems.clear();
  for (const StoreItem &Item : List.value().m_items)
    m_gatewayItems[Item.m_key] = Item;
  applyGateways(List.value().m_version);
  onPeersKnown();
  co_return Version;
}

void Gateway::applyChanges(const std::vector<StoreChange> &Changes,
                           const StoreVersion &Version, ChangeSource Source) {
  const TimePoint Now = clockNow();
  const std::string Endpoints = m_core.m_dialect.endpointPrefix();
  bool EndpointsChanged = false;
  bool GatewaysChanged = false;
  for (const StoreChange &C : Changes) {
    if (C.m_key.rfind(Endpoints, 0) == 0) {
      if (C.m_version <= m_endpointsListedAt)
        continue;
      EndpointsChanged = true;
      applyEndpoint(C);
    } else if (C.m_key.rfind(GatewayPrefix, 0) == 0) {
      if (C.m_version <= m_gatewaysListedAt)
        continue;
      GatewaysChanged = true;
      m_formerMembers.onChanged(C.m_key);
      if (C.m_value)
        m_gatewayItems[C.m_key] = {C.m_key, *C.m_value, C.m_version, C.m_lease};
      else
        m_gatewayItems.erase(C.m_key);
    } else if (C.m_key == m_core.m_dialect.configurationKey() && C.m_value) {
      applyConfiguration({C.m_key, *C.m_value, C.m_version}, Source);
    }
  }
  onCopyConfirmed(Now);
  m_core.m_copyFreshness.setChangesMissing(m_storeFollower.missesChanges());
  if (GatewaysChanged)
    applyGateways(Version);
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

/// How long a watch that is sent now waits for changes.
Milliseconds Gateway::nextWatchWait(TimePoint Now) const {
  if (m_storeFollower.missesChanges())
    return PresentChangesWait;
  const Milliseconds Wait =
      watchWait(Now - m_core.m_copyConfirmedAt, changeLimit());
  return m_peers.audience().isCoordinator()
             ? std::min(Wait, CoordinatorWatchTimeout)
             : Wait;
}

/// Ends a watch that was sent before a relay showed missing changes and that
/// should have returned them by now: its answer was probably lost.
void Gateway::endUnansweredWatch(TimePoint Now) {
  if (!m_watchSentAt || !m_storeFollower.missesChanges() ||
      *m_watchSentAt >= m_gapNoticedAt ||
      Now - m_gapNoticedAt < WatchResponseMargin)
    return;
  m_core.m_metrics->count("watch_ended_for_gap");
  m_store.endWatch();
}

/// Makes one watch call and applies and relays what it returned. Returns false
/// if the store's state must be read again.
asio::awaitable<bool> Gateway::watchOnce(Duration &Backoff) {
  const StoreVersion From = m_storeFollower.version();
  const TimePoint SentAt = clockNow();
  const BootDuration BootSentAt = bootNow();
  const bool Missing = m_storeFollower.missesChanges();
  const Milliseconds Wait = nextWatchWait(SentAt);
  m_watchSentAt = SentAt;
  Result<StoreChanges> Changes = co_await m_store.watch("", From, Wait);
  m_watchSentAt.reset();
  onStoreResult(Changes.has_value() || !copyIsOfEra(), "watch");
  if (!copyIsOfEra())
    co_return false;
  if (!Changes) {
    const TimePoint Now = clockNow();
    decisionlog::line(LogClass::KnownState, "watch_failed")
        .number("revision", revisionOf(From))
        .real("took_ms", toMillis(Now - SentAt))
        .real("answered_ms_ago", toMillis(Now - m_lastStoreSuccess))
        .text("error", Changes.error().m_message);
    // The next watch returns the missed changes from the store's history, or
    // reports that the history no longer has them.
    co_await sleep(Backoff);
    Backoff = std::min<Duration>(2 * Backoff, MaxStoreBackoff);
    // After ErrorKind::Full the store is listed again: several versions of a
    // large configuration may exceed the size of a watch response, and a list
    // has only one of them.
    co_return Changes.error().m_kind != ErrorKind::Full;
  }
  Backoff = MinStoreBackoff;
  if (Changes.value().m_historyLost)
    co_return false;
  // Relays showed changes, so a later version without any has skipped them.
  if (Missing && Changes.value().m_changes.empty()) {
    m_core.m_metrics->count("watch_incomplete");
    decisionlog::line(LogClass::KnownState, "watch_incomplete")
        .number("revision", revisionOf(From))
        .number("answer", revisionOf(Changes.value().m_version));
    co_await sleep(MinWatchPause);
    co_return false;
  }
  const std::optional<std::vector<StoreChange>> New =
      m_storeFollower.onWatched(Changes.value());
  if (!New)
    co_return false;
  // The store may return changes in parts, so only an answer without any shows
  // that the copy of the configuration is complete.
  const bool Complete = Changes.value().m_changes.empty();
  applyChanges(*New, Changes.value().m_version, ChangeSource::Watch);
  // A configuration with accounts has their keys, which other VMs read from the
  // store alone.
  const bool HasKeys =
      m_core.m_configuration && m_core.m_configuration->m_accounts;
  relayChanges(makeRelays(m_core.m_settings.m_vm, From, Changes.value(),
                          HasKeys ? m_core.m_dialect.configurationKey() : ""),
               BootSentAt, Complete);
  if (Complete)
    confirmCopy(BootSentAt);
  else
    co_await sleep(pauseBetweenWatches());
  co_return true;
}

/// Keeps the configuration, the endpoints and the gateways up to date, with a
/// single watch over all keys or with the relays of a coordinator.
asio::awaitable<void> Gateway::watchStore() {
  Duration Backoff = MinStoreBackoff;
  for (;;) {
    m_storeFollower.onReadStarted();
    co_await awaitRestoreTurn();
    Result<StoreVersion> Version = co_await listStore();
    if (!Version) {
      co_await sleep(Backoff);
      Backoff = std::min<Duration>(2 * Backoff, MaxStoreBackoff);
      continue;
    }
    Backoff = MinStoreBackoff;
    m_storeFollower.onRead(Version.value());
    m_core.m_copyFreshness.setChangesMissing(m_storeFollower.missesChanges());
    const TimePoint RelistAt =
        clockNow() + relistInterval(m_configurationBytes);
    while (clockNow() < RelistAt && copyIsOfEra()) {
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
  // The store has shown a newer era, and the copy is about to be read again.
  if (Relay.m_to.m_era < m_storeEra.era())
    return;
  if (Relay.m_configurationOnly) {
    if (m_storeFollower.version() == Relay.m_to && Relay.m_age &&
        !m_configurationUnreadable)
      m_core.m_copyFreshness.onRelayed(*Relay.m_age, bootNow());
    return;
  }
  const RelayFit Fit = m_storeFollower.fit(Relay);
  const bool Missed = m_storeFollower.missesChanges();
  const std::optional<std::vector<StoreChange>> Changes =
      m_storeFollower.onRelay(Relay, clockNow());
  if (Fit == RelayFit::OlderEra || Fit == RelayFit::NewerEra) {
    m_core.m_metrics->count("relay_" + std::string(nameOf(RelayFitNames, Fit)));
    decisionlog::line(LogClass::KnownState, "relay_of_other_era")
        .text("sender", Relay.m_sender)
        .text("relay", nameOf(RelayFitNames, Fit))
        .number("era", static_cast<std::int64_t>(Relay.m_to.m_era))
        .number("own",
                static_cast<std::int64_t>(m_storeFollower.version().m_era));
  }
  if (!Changes) {
    m_core.m_metrics->count("relay_gap");
    if (!Missed && m_storeFollower.missesChanges()) {
      m_gapNoticedAt = clockNow();
      m_core.m_copyFreshness.setChangesMissing(true);
    }
    decisionlog::line(LogClass::KnownState, "relay_gap")
        .text("sender", Relay.m_sender)
        .number("from", revisionOf(Relay.m_from))
        .number("own", revisionOf(m_storeFollower.version()))
        .real("confirmed_ms_ago", confirmedMsAgo(clockNow()));
    m_relayTimer.cancel();
    return;
  }
  if (m_storeFollower.isNewerThan(Relay))
    return;
  applyChanges(*Changes, Relay.m_to, ChangeSource::Relay);
  if (Relay.m_age && !m_configurationUnreadable)
    m_core.m_copyFreshness.onRelayed(*Relay.m_age, bootNow());
}

} // namespace primroseworks::gateway
