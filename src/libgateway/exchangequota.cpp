// The charge of a request against the quota of its account, and its refund.
#include "libgateway/exchange.h"
#include "libgateway/quotaclient.h"
#include "libquota/quotaagent.h"

#include <algorithm>

namespace primroseworks::gateway {

namespace {

/// Requests of one VM that wait for a decision at most; the body of each is in
/// memory.
constexpr unsigned MaxUndecided = 300;

quota::Amount costOf(const QuotaLimit &Limit, const RequestMetadata &Request) {
  if (Limit.m_unit == QuotaUnit::Requests)
    return 1;
  return Request.kvTokens() > 0 ? Request.kvTokens() : Limit.m_plainTokens;
}

} // namespace

/// Charges the request. While nobody can decide, as for some seconds after the
/// owner of the quotas died, it waits as long as for an endpoint: a late answer
/// is worth more to the caller than a refusal.
asio::awaitable<void> Exchange::chargeUntilDecided(quota::Amount Cost) {
  const TimePoint Until = clockNow() + maxEndpointWait(clockNow());
  for (;;) {
    m_quota = co_await m_core.m_quotas->charge(m_query.m_account, Cost);
    const Duration Wait =
        std::max<Duration>(m_quota->m_result.m_wait, quota::UndecidedRetry);
    if (m_quota->m_result.m_status != quota::QuotaStatus::Unavailable ||
        m_callerGone || m_core.m_rejectingWaiting ||
        clockNow() + Wait > Until || m_core.m_undecided >= MaxUndecided)
      co_return;
    m_core.m_metrics->count("quota_waited");
    ++m_core.m_undecided;
    co_await waitForEndpoint(clockNow() + Wait);
    --m_core.m_undecided;
  }
}

/// Charges the request. Returns whether it may go on; otherwise it has been
/// answered, unless its caller is gone.
asio::awaitable<bool> Exchange::chargeQuota() {
  const QuotaLimit *Limit =
      m_core.m_quotas ? m_core.m_quotas->limit(m_query.m_account) : nullptr;
  const quota::Amount Cost = Limit ? costOf(*Limit, m_requestMetadata) : 0;
  if (Cost == 0)
    co_return true;
  co_await chargeUntilDecided(Cost);
  const quota::ChargeResult &Result = m_quota->m_result;
  if (m_callerGone)
    co_return false;
  if (Result.m_status == quota::QuotaStatus::Granted)
    co_return true;
  const bool Denied = Result.m_status == quota::QuotaStatus::Denied;
  m_keepAlive =
      co_await sendLocalResponse(Denied ? 429 : 503,
                                 Denied ? "quota_denied" : "quota_unavailable",
                                 Result.m_wait) &&
      m_keepAlive;
  co_return false;
}

/// Returns the cost of a request that did not run and never will.
void Exchange::settleQuota() {
  if (!m_quota || m_quota->m_result.m_status != quota::QuotaStatus::Granted)
    return;
  const bool MayHaveRun =
      m_mayHaveRun || m_committed || attemptsThatMayHaveRun() > 0;
  if (!MayHaveRun)
    m_core.m_quotas->refund(*m_quota, BootClock::now());
  m_quota.reset();
}

} // namespace primroseworks::gateway
