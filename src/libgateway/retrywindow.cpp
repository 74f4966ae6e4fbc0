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

bool RetryWindow::allows(RetryUse Use, unsigned Members, TimePoint Now) const {
  const std::int64_t Newest = bucketIndex(Now);
  double Requests = 0;
  double Retries = 0;
  for (const Bucket &B : m_buckets) {
    if (B.m_index < 0 ||
        B.m_index + static_cast<std::int64_t>(BucketsPerWindow) < Newest)
      continue;
    Requests += B.m_requests;
    Retries += B.m_retries;
  }
  double Allowed =
      UsableRetryLimitShare *
      (m_limit.m_share * Requests + m_limit.m_extra / std::max(1U, Members));
  if (Use == RetryUse::Spare)
    Allowed *= SpareRetryShare;
  return Retries + 1 <= Allowed;
}

bool RetryWindow::tryAcquire(RetryUse Use, unsigned Members, TimePoint Now) {
  if (!allows(Use, Members, Now))
    return false;
  ++bucket(Now).m_retries;
  return true;
}

} // namespace primroseworks::gateway
