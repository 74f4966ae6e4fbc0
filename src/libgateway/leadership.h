// Whether this VM may send orders to engines now. It depends on the claim on
// the leader key and on the time of the last lease renewal. No I/O.
#ifndef PRIMROSEWORKS_LIBGATEWAY_LEADERSHIP_H
#define PRIMROSEWORKS_LIBGATEWAY_LEADERSHIP_H

#include "libbase/bootclock.h"
#include "libstoreversion/storeversion.h"
#include "primroseworks/time.h"

#include <cstdint>
#include <optional>

namespace primroseworks::gateway {

/// The lease of this process and its claim on the leader key under that lease.
class LeaderClaim {
public:
  /// The holder stops acting as leader Margin before the store ends the lease.
  LeaderClaim(Milliseconds Ttl, Milliseconds Margin)
      : m_ttl(Ttl), m_margin(Margin) {}

  /// The response to a grant or renewal sent at SentAt arrived.
  void onLeaseRenewed(std::uint64_t Lease, BootTime SentAt);
  void onLeaseLost();
  /// The leader key was written under the current lease. Written is valid.
  void onClaimed(const StoreVersion &Written) { m_claim = Written; }
  /// An engine has seen a higher fencing token.
  void onFenced() { m_claim.reset(); }
  /// At this version of the store the leader key was absent or had another
  /// holder. A version from before the claim says nothing about it. Returns
  /// true if this ended the claim.
  bool onForeignKey(const StoreVersion &Version) {
    if (!m_claim || Version < *m_claim)
      return false;
    m_claim.reset();
    return true;
  }

  std::uint64_t lease() const { return m_lease; }
  bool leaseValid(BootTime Now) const {
    return m_lease != 0 && Now < m_validUntil;
  }
  /// Fencing token for an order sent at Now; nothing if none may be sent.
  std::optional<std::uint64_t> tokenAt(BootTime Now) const {
    if (!leaseValid(Now) || !m_claim)
      return std::nullopt;
    return fencingToken(*m_claim);
  }
  bool claimed() const { return m_claim.has_value(); }

private:
  Milliseconds m_ttl;
  Milliseconds m_margin;
  std::uint64_t m_lease = 0;
  BootTime m_validUntil{};
  std::optional<StoreVersion> m_claim; ///< Of the leader key; is valid.
};

} // namespace primroseworks::gateway

#endif
