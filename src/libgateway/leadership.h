// Whether this VM may order engines now: the claim on the leader's key, judged
// by the time at which the lease was last renewed. No I/O.
#ifndef PRIMROSEWORKS_LIBGATEWAY_LEADERSHIP_H
#define PRIMROSEWORKS_LIBGATEWAY_LEADERSHIP_H

#include "primroseworks/time.h"

#include <cstdint>
#include <optional>

namespace primroseworks::gateway {

/// Time that also counts while the VM is suspended, which the steady clock
/// does not. Validity of leases is judged by it.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static time_point now();
};
using BootTime = BootClock::time_point;

/// The lease of this process and the leader's key under it.
class LeaderClaim {
public:
  /// The holder stops acting Margin before the store ends the lease.
  LeaderClaim(Milliseconds Ttl, Milliseconds Margin)
      : m_ttl(Ttl), m_margin(Margin) {}

  /// A grant or renewal sent at SentAt was answered.
  void onLeaseRenewed(std::uint64_t Lease, BootTime SentAt);
  void onLeaseLost();
  /// The leader's key was written under the present lease.
  void onClaimed(std::uint64_t FencingToken) { m_token = FencingToken; }
  /// An engine has seen a higher token.
  void onFenced() { m_token.reset(); }
  /// The key was another's or gone at a revision of the store. A view from
  /// before the claim tells nothing about it. True if the claim has ended.
  bool onForeignKey(std::uint64_t Revision) {
    if (!m_token || Revision < *m_token)
      return false;
    m_token.reset();
    return true;
  }

  std::uint64_t lease() const { return m_lease; }
  bool leaseValid(BootTime Now) const {
    return m_lease != 0 && Now < m_validUntil;
  }
  /// Fencing token for an order sent at Now; nothing if it must not be sent.
  std::optional<std::uint64_t> tokenAt(BootTime Now) const {
    return leaseValid(Now) ? m_token : std::nullopt;
  }
  bool claimed() const { return m_token.has_value(); }

private:
  Milliseconds m_ttl;
  Milliseconds m_margin;
  std::uint64_t m_lease = 0;
  BootTime m_validUntil{};
  std::optional<std::uint64_t> m_token;
};

} // namespace primroseworks::gateway

#endif
