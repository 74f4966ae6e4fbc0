// Client accounts in a gateway process: the age of its copy of the
// configuration, and the calls that confirm the copy.
#include "libaccounts/accounttable.h"
#include "libgateway/gateway.h"
#include "libgateway/log.h"

#include <algorithm>
#include <sys/resource.h>

namespace primroseworks::gateway {

namespace {

/// The limits of the accounts of one version of the configuration.
class ConfiguredLimits final : public quota::QuotaLimits {
public:
  explicit ConfiguredLimits(ConfigurationPtr Source)
      : m_configuration(std::move(Source)) {}
  const QuotaLimit *find(const std::string &Account) const override {
    const ClientAccount *A = m_configuration->m_accounts->find(Account);
    return A && !A->m_quota.unlimited() ? &A->m_quota : nullptr;
  }
  std::uint64_t version() const override { return m_configuration->m_version; }
  bool any() const override {
    const auto &All = m_configuration->m_accounts->accounts();
    return std::any_of(All.begin(), All.end(), [](const ClientAccount &A) {
      return !A.m_quota.unlimited();
    });
  }

private:
  ConfigurationPtr m_configuration; ///< Has accounts.
};

} // namespace

/// Reports the accounts of a configuration that was applied now.
void Gateway::onAccountsApplied() {
  const Configuration &C = *m_core.m_configuration;
  m_core.m_metrics->gauge(
      "accounts",
      C.m_accounts ? static_cast<double>(C.m_accounts->accounts().size()) : 0);
  if (!C.m_accounts) {
    m_quotas.service().setLimits(nullptr);
    return;
  }
  auto Limits = std::make_shared<ConfiguredLimits>(m_core.m_configuration);
  m_quotas.service().setLimits(Limits->any() ? std::move(Limits) : nullptr);
  // Requests in progress have keys, and a core file has the whole memory.
  const rlimit NoCoreFile{0, 0};
  (void)setrlimit(RLIMIT_CORE, &NoCoreFile);
  const AccountTable &T = *C.m_accounts;
  m_core.m_metrics->gauge("account_keys", static_cast<double>(T.keyCount()));
  decisionlog::line(LogClass::Lifecycle, "accounts")
      .number("version", static_cast<std::int64_t>(C.m_version))
      .number("accounts", static_cast<std::int64_t>(T.accounts().size()))
      .number("keys", static_cast<std::int64_t>(T.keyCount()))
      .number("bytes", static_cast<std::int64_t>(T.memoryBytes()));
  if (T.sharedKeys().empty())
    return;
  const AccountTable::SharedKey &First = T.sharedKeys().front();
  m_core.m_metrics->count("account_key_shared");
  decisionlog::line(LogClass::Lifecycle, "account_key_shared")
      .number("keys", static_cast<std::int64_t>(T.sharedKeys().size()))
      .text("account", T.accounts()[First.m_winner].m_name)
      .text("also_in", T.accounts()[First.m_loser].m_name);
}

/// A coordinator confirms its copy before the gateways that depend on it would
/// call the store themselves.
Duration Gateway::confirmLeadTime() const {
  return m_peers.audience().isCoordinator() ? CoordinatorConfirmLeadTime
                                            : ConfirmLeadTime;
}

/// Reports stalls and the age of the copy, and confirms the copy before
/// requests with keys have to be refused.
void Gateway::checkAccountsAge(BootDuration Now) {
  CopyFreshness &Fresh = m_core.m_copyFreshness;
  const std::optional<Duration> Stall = Fresh.onTick(Now);
  if (!Fresh.limited() || !m_core.m_configuration ||
      !m_core.m_configuration->m_accounts)
    return;
  if (Stall) {
    m_core.m_metrics->count("loop_stalled");
    decisionlog::line(LogClass::Lifecycle, "loop_stalled")
        .real("stall_ms", toMillis(*Stall));
  }
  reportAccountsAge(Now);
  if (m_confirming || !Fresh.needsConfirmation(Now, confirmLeadTime()))
    return;
  m_confirming = true;
  spawnTask(
      m_io, *m_core.m_metrics, "confirmation",
      [this] { return confirmAccounts(); }, [this] { m_confirming = false; });
}

void Gateway::reportAccountsAge(BootDuration Now) {
  const std::optional<Duration> Age = m_core.m_copyFreshness.age(Now);
  const bool Stale = m_core.m_copyFreshness.isStale(Now);
  if (Age)
    m_core.m_metrics->gauge("accounts_age_seconds", toSeconds(*Age));
  if (Stale == m_accountsStale)
    return;
  m_accountsStale = Stale;
  m_core.m_metrics->gauge("accounts_stale", Stale ? 1 : 0);
  m_core.m_metrics->count(Stale ? "accounts_became_stale"
                                : "accounts_confirmed");
  decisionlog::line(LogClass::Lifecycle,
                    Stale ? "accounts_became_stale" : "accounts_confirmed")
      .real("confirmed_ms_ago", Age ? toMillis(*Age) : -1)
      .text("keys", m_core.m_settings.m_revokeStrict ? "refused" : "served");
}

void Gateway::confirmCopy(BootDuration SentAt) {
  if (!m_configurationUnreadable)
    m_core.m_copyFreshness.onConfirmed(SentAt, bootNow());
}

asio::awaitable<void> Gateway::confirmAccounts() {
  Duration Backoff = MinStoreBackoff;
  while (
      m_core.m_copyFreshness.needsConfirmation(bootNow(), confirmLeadTime())) {
    if (co_await confirmAccountsOnce())
      break;
    co_await sleep(Backoff);
    Backoff = std::min<Duration>(2 * Backoff, MaxStoreBackoff);
  }
  m_confirming = false;
}

/// Asks the store for changes of the configuration alone. Returns whether there
/// were none, so that the copy is confirmed.
asio::awaitable<bool> Gateway::confirmAccountsOnce() {
  const BootDuration SentAt = bootNow();
  const std::string Key = m_core.m_dialect.configurationKey();
  const StoreVersion From = m_storeFollower.version();
  Result<StoreChanges> Changes =
      co_await m_store.watch(Key, From, PresentChangesWait);
  onStoreResult(Changes.has_value(), "confirmation");
  m_core.m_metrics->count("accounts_confirmation_sent");
  if (!Changes)
    decisionlog::line(LogClass::KnownState, "confirmation_failed")
        .number("revision", static_cast<std::int64_t>(From.m_revision))
        .real("took_ms", toMillis(bootNow() - SentAt))
        .text("error", Changes.error().m_message);
  if (!Changes || Changes.value().m_historyLost ||
      Changes.value().m_version.m_era != From.m_era)
    co_return false;
  for (const StoreChange &C : Changes.value().m_changes)
    if (C.m_key == Key && C.m_value)
      applyConfiguration({C.m_key, *C.m_value, C.m_version},
                         ChangeSource::Confirmation);
  // The store may return changes in parts.
  if (!Changes.value().m_changes.empty())
    co_return false;
  confirmCopy(SentAt);
  if (m_storeFollower.version() == From) {
    StoreRelay Confirmation{m_core.m_settings.m_vm, From, From, {}, {}, true};
    relayChanges({std::move(Confirmation)}, SentAt, true);
  }
  co_return true;
}

/// Sends relays to the gateways of this failure domain. Complete: the call that
/// was sent at SentAt returned all changes until then.
void Gateway::relayChanges(std::vector<StoreRelay> Relays, BootDuration SentAt,
                           bool Complete) {
  for (std::size_t I = 0; I < Relays.size(); ++I) {
    // The earlier ones lack the changes of the later ones.
    if (Complete && I + 1 == Relays.size())
      Relays[I].m_age = std::chrono::ceil<Milliseconds>(bootNow() - SentAt);
    m_peers.relay(Relays[I]);
  }
}

} // namespace primroseworks::gateway
