// The client account of a request: its key, its rank, and what an endpoint is
// told of it.
#include "libaccounts/bearertoken.h"
#include "libaccounts/keycheck.h"
#include "libgateway/exchange.h"
#include "libgateway/retryafter.h"

#include <algorithm>

namespace primroseworks::gateway {

namespace {

constexpr unsigned StatusUnauthorized = 401;
constexpr unsigned StatusUnavailable = 503;
/// Beyond the revocation limit by more than this, the copies of other VMs are
/// probably stale, too.
constexpr Milliseconds LocalStalenessTime{1000};

std::optional<std::string_view> keyOf(const HttpHead &Head) {
  std::vector<std::string_view> Values;
  for (const HttpHeader &H : Head.m_headers)
    if (H.m_lowerName == "authorization")
      Values.emplace_back(H.m_value);
  return readBearerToken(Values);
}

} // namespace

/// Finds the account of the request, whose route is known. The verdict is
/// Known if there are no accounts.
KeyVerdict Exchange::identifyAccount() {
  const AccountTablePtr &Accounts = m_configuration->m_accounts;
  if (!Accounts)
    return KeyVerdict::Known;
  const KeyCheck Check = checkKey(*Accounts, keyOf(m_head), m_route->m_public,
                                  m_core.m_copyFreshness, bootNow());
  m_core.m_metrics->count(
      std::string(nameOf(KeyVerdictNames, Check.m_verdict)));
  m_account = Check.m_account;
  if (m_account)
    m_query.m_account = m_account->m_name;
  return Check.m_verdict;
}

/// Rank of the request: that of its account, if it has one, or of its route.
unsigned Exchange::rank() const {
  return m_account && m_account->m_rank ? *m_account->m_rank : m_route->m_rank;
}

/// Whether a header of the caller goes to the endpoint. With accounts, the
/// gateway alone states the account, and keeps the key.
bool Exchange::forwardsHeader(const HttpHeader &Header) const {
  const Dialect &Platform = m_core.m_dialect;
  if (m_head.isHopByHop(Header) || Header.m_lowerName == "content-length" ||
      !Platform.forwardsHeader(Header.m_lowerName))
    return false;
  return !m_configuration->m_accounts ||
         !Platform.isAccountHeader(Header.m_lowerName);
}

/// Answers a request whose key does not allow it to run.
asio::awaitable<bool> Exchange::rejectKey(KeyVerdict Verdict) {
  std::string Reason(nameOf(KeyVerdictNames, Verdict));
  if (Verdict == KeyVerdict::Stale)
    co_return co_await rejectStale(std::move(Reason));
  co_return co_await sendLocalResponse(StatusUnauthorized, std::move(Reason),
                                       Duration::zero());
}

/// Rejects a request for which this VM's copy of the configuration is too old.
asio::awaitable<bool> Exchange::rejectStale(std::string Reason) {
  Rejection R;
  R.m_timeLeft = m_requestMetadata.m_deadline.value_or(
      m_route ? m_route->m_timeout : Milliseconds::zero());
  // Soon after the limit another VM may have a current copy. Later the store is
  // probably unavailable to all.
  const Settings &S = m_core.m_settings;
  const Milliseconds Limit = std::max(S.m_revokeLimit, S.m_configurationLimit);
  const std::optional<Duration> Age = m_core.configurationAge();
  R.m_localCause = !Age || *Age < Limit + LocalStalenessTime;
  R.m_random = std::uniform_real_distribution<double>(0, 1)(m_core.m_random);
  const Duration RetryAfter = retryAfter(R);
  co_return co_await sendLocalResponse(StatusUnavailable, std::move(Reason),
                                       RetryAfter);
}

} // namespace primroseworks::gateway
