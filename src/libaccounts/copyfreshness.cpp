// Confirmations and stalls of a copy of the configuration.
#include "libaccounts/copyfreshness.h"

#include <algorithm>
#include <utility>

namespace primroseworks {

Result<CopyFreshness> CopyFreshness::create(FreshnessLimits Limits) {
  if (Limits.m_limit > Milliseconds::zero() &&
      Limits.m_limit <= 2 * FreshnessMargin)
    return makeError(ErrorKind::InvalidArgument,
                     "the limit of " + std::to_string(Limits.m_limit.count()) +
                         " ms for the revocation of keys leaves no time for a "
                         "call to the store; set more than " +
                         std::to_string(2 * FreshnessMargin.count()) + " ms");
  return CopyFreshness(Limits);
}

/// A datagram or a response that is read after a stall may have arrived before
/// or during it. What was known before the stall is given up, too.
void CopyFreshness::noticeStall(BootDuration Now) {
  if (m_lastRun && Now - *m_lastRun > LoopStallLimit) {
    m_unreportedStall = std::max<Duration>(m_unreportedStall, Now - *m_lastRun);
    m_stallEnd = Now;
    m_validFrom = Now;
    m_confirmedAt.reset();
  }
  m_lastRun = Now;
}

std::optional<Duration> CopyFreshness::onTick(BootDuration Now) {
  noticeStall(Now);
  if (m_unreportedStall == Duration::zero())
    return std::nullopt;
  return std::exchange(m_unreportedStall, Duration::zero());
}

void CopyFreshness::onConfirmed(BootDuration SentAt, BootDuration Now) {
  noticeStall(Now);
  if (SentAt < m_validFrom || SentAt > Now)
    return;
  m_confirmedAt = std::max(SentAt, m_confirmedAt.value_or(SentAt));
}

void CopyFreshness::onRelayed(Duration Age, BootDuration Now) {
  noticeStall(Now);
  // After a stall, a call of this VM comes first.
  const bool Settled =
      m_confirmedAt && (!m_stallEnd || Now - *m_stallEnd >= RelaySettleTime);
  if (!Settled || Age < Duration::zero())
    return;
  m_confirmedAt = std::max(*m_confirmedAt, Now - Age - RelayTransitLimit);
}

/// At least half of the limit, so that a short one leaves time for a call.
Duration CopyFreshness::maxChangeAge() const {
  const Duration Limit = m_limits.m_changeLimit;
  return std::max<Duration>(Limit / 2, Limit - FreshnessMargin);
}

bool CopyFreshness::isOlderThan(Duration Limit, BootDuration Now) const {
  const std::optional<Duration> Age = age(Now);
  return !Age || *Age > Limit;
}

bool CopyFreshness::isStale(BootDuration Now) {
  noticeStall(Now);
  return revokeLimited() && isOlderThan(maxAge(), Now);
}

bool CopyFreshness::mayMissChanges(BootDuration Now) {
  if (m_changesMissing || isStale(Now))
    return true;
  return changeLimited() && isOlderThan(maxChangeAge(), Now);
}

bool CopyFreshness::needsConfirmation(BootDuration Now, Duration Lead) {
  noticeStall(Now);
  const auto DueAt = [](Duration MaxAge, Duration Before) {
    return std::max<Duration>(MaxAge / 2, MaxAge - Before);
  };
  if (revokeLimited() && isOlderThan(DueAt(maxAge(), Lead), Now))
    return true;
  return changeLimited() &&
         isOlderThan(DueAt(maxChangeAge(), ChangeConfirmLeadTime), Now);
}

std::optional<Duration> CopyFreshness::age(BootDuration Now) const {
  if (!m_confirmedAt)
    return std::nullopt;
  return Now - *m_confirmedAt;
}

} // namespace primroseworks
