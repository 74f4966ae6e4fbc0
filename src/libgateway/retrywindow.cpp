// Counts requests and retries in a sliding window.
#include "libgateway/retrywindow.h"

#include <algorithm>

namespace primroseworks::gateway {

std::int64_t RetryWindow::bucketIndex(TimePoint Now) const {
  Duration Width =
      Duration(m_limit.m_window) / static_cast<int>(BucketsPerWindow);
  return Now.time_since_epoch() / Width;
}

RetryWindow::Bucket &RetryWindow::bucket(TimePoint Now) {
  std::int64_t Index = bucketIndex(Now);
  Bucket &B = m_buckets[static_cast<std::size_t>(Index) % m_buckets.size()];
  if (B.m_index != Index)
    B = Bucket{Index, 0, 0};
  return B;
}

void RetryWindow::onRequest(TimePoint Now) { ++bucket(Now).m_requests; }

RetryWindow::Counts RetryWindow::counts(unsigned Members, TimePoint Now) const {
  const std::int64_t Newest = bucketIndex(Now);
  const double Extra = m_limit.m_extra / std::max(1U, Members);
  double Requests = 0;
  Counts Out;
  for (const Bucket &B : m_buckets) {
    if (B.m_index < 0 ||
        B.m_index + static_cast<std::int64_t>(BucketsPerWindow) < Newest)
      continue;
    Requests += B.m_requests;
    Out.m_retries += B.m_retries;
  }
  if (m_initialIndex >= 0 &&
      m_initialIndex + static_cast<std::int64_t>(BucketsPerWindow) >= Newest)
    Out.m_retries += m_initialUse * Extra;
  Out.m_limit = m_limit.m_share * Requests + Extra;
  return Out;
}

bool RetryWindow::allows(RetryUse Use, unsigned Members, TimePoint Now) const {
  const Counts C = counts(Members, Now);
  double Allowed = UsableRetryLimitShare * C.m_limit;
  if (Use == RetryUse::Spare)
    Allowed *= SpareRetryShare;
  return C.m_retries + 1 <= Allowed;
}

void RetryWindow::setInitialUse(double Share, TimePoint At) {
  m_initialUse = std::clamp(Share, 0.0, 1.0);
  m_initialIndex = bucketIndex(At);
}

double RetryWindow::used(unsigned Members, TimePoint Now) const {
  const Counts C = counts(Members, Now);
  return C.m_limit > 0 ? std::min(1.0, C.m_retries / C.m_limit) : 0;
}

bool RetryWindow::tryAcquire(RetryUse Use, unsigned Members, TimePoint Now) {
  if (!allows(Use, Members, Now))
    return false;
  ++bucket(Now).m_retries;
  return true;
}

} // namespace primroseworks::gateway
