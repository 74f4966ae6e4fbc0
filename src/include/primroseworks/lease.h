// This daemon's identity in the key-value service: an incarnation number and
// one lease that carries the member record.
#ifndef PRIMROSEWORKS_LEASE_H
#define PRIMROSEWORKS_LEASE_H

#include "primroseworks/kvstore.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace primroseworks {

/// Counter of incarnation numbers, and prefix of the member records.
inline constexpr const char *IncarnationKey = "incarnation";
inline constexpr const char *MemberPrefix = "member/";

/// Value of `member/<name>`.
struct MemberRecord {
  std::string m_name;
  std::uint64_t m_incarnation = 0;
  std::string m_region;
  std::string m_failureDomain;
  std::string m_peerAddress; ///< "address:port" of the peer link.
  LeaseId m_lease = 0;
};

std::string encodeMember(const MemberRecord &Member);
/// Fails with Protocol if Text is not a member record.
Result<MemberRecord> decodeMember(const std::string &Text);

struct LeaseOptions {
  MemberRecord m_member; ///< Incarnation and lease are filled in.
  Milliseconds m_ttl{15000};
  Milliseconds m_renewInterval{5000};
  double m_jitter = 0.2; ///< Width of the interval's spread, 0 to 1.
  /// The holder stops this long before the store does, so that a call that it
  /// started while valid ends before a successor may act.
  Milliseconds m_expiryMargin{3000};
  Milliseconds m_minBackoff{200};
  Milliseconds m_maxBackoff{5000};
  std::uint64_t m_seed = 1;
};

/// Keeps one incarnation in use. While any use exists, the holder takes no new
/// incarnation; others may therefore take a newer incarnation as proof that
/// every action under the older one has ended.
class LeaseUse {
public:
  virtual ~LeaseUse() = default;
  virtual std::uint64_t incarnation() const = 0;
  /// Check this after each blocking step of the action.
  virtual bool validAt(TimePoint Now) const = 0;
};

/// Holds the lease. step() is called by one thread; the other functions are
/// thread safe.
class LeaseHolder {
public:
  virtual ~LeaseHolder() = default;
  /// Takes the step that is due, with blocking store calls: acquires, renews
  /// or, after the lease lapsed, acquires again with a new incarnation. Now
  /// must be taken just before the call. Fails when the step failed; the next
  /// one is due after a back-off.
  virtual Result<void> step(TimePoint Now) = 0;
  virtual TimePoint nextStep() const = 0;
  virtual bool validAt(TimePoint Now) const = 0;
  /// The latest incarnation; 0 before the first one was obtained.
  virtual std::uint64_t incarnation() const = 0;
  /// Starts an action under the present incarnation; empty if the lease is not
  /// valid at Now.
  virtual std::unique_ptr<LeaseUse> use(TimePoint Now) = 0;
  /// Ends the lease and with it the member record. step() does nothing after
  /// it.
  virtual Result<void> release() = 0;
};

/// Store must outlive the result. Fails with InvalidArgument if the name is
/// empty or the intervals do not fit into each other.
Result<std::unique_ptr<LeaseHolder>> createLeaseHolder(KvStore &Store,
                                                       LeaseOptions Options);

} // namespace primroseworks

#endif
