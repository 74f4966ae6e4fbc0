// The charge of a request against the quota of its account, and its refund.
#include "libgateway/exchange.h"
#include "libgateway/quotaclient.h"

namespace primroseworks::gateway {

namespace {

quota::Amount costOf(const QuotaLimit &Limit, const RequestMetadata &Request) {
  if (Limit.m_unit == QuotaUnit::Requests)
    return 1;
  return Request.kvTokens() > 0 ? Request.kvTokens() : Limit.m_plainTokens;
}

} // namespace

/// Charges the request. Returns whether it may go on; otherwise it has been
/// answered, unless its caller is gone.
asio::awaitable<bool> Exchange::chargeQuota() {
  const QuotaLimit *Limit =
      m_core.m_quotas ? m_core.m_quotas->limit(m_query.m_account) : nullptr;
  const quota::Amount Cost = Limit ? costOf(*Limit, m_requestMetadata) : 0;
  if (Cost == 0)
    co_return true;
  m_quota = co_await m_core.m_quotas->charge(m_query.m_account, Cost);
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
