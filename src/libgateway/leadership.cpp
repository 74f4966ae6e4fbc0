// Validity of the leadership claim.
#include "libgateway/leadership.h"

#include <algorithm>

namespace primroseworks::gateway {

void LeaderClaim::onLeaseRenewed(std::uint64_t Lease, BootTime SentAt) {
  if (Lease != m_lease) {
    m_claim.reset();
    m_validUntil = BootTime{};
  }
  m_lease = Lease;
  m_validUntil = std::max(m_validUntil, SentAt + m_ttl - m_margin);
}

void LeaderClaim::onLeaseLost() {
  m_lease = 0;
  m_claim.reset();
}

} // namespace primroseworks::gateway
