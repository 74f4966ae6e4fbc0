// Orders to one owned engine, in the sequence that keeps its memory ledger
// true: claim, check the lease, send, and end claims only by reports.
#ifndef PRIMROSEWORKS_ORDERS_H
#define PRIMROSEWORKS_ORDERS_H

#include "primroseworks/engine.h"
#include "primroseworks/lease.h"
#include "primroseworks/ledger.h"
#include "primroseworks/time.h"

#include <functional>
#include <memory>
#include <string>

namespace primroseworks {

struct EndpointOrdersOptions {
  std::string m_member;               ///< This daemon.
  bool m_checksFencing = false;       ///< From the operators' engine rules.
  std::function<TimePoint()> m_clock; ///< Empty is steady_clock.
};

/// Sends orders to one engine. Thread safe. Errors of the functions that send:
/// Closed if this daemon is not the owner or its lease is not valid, Conflict
/// if the artifact does not fit or the engine has seen a newer owner, and those
/// of the store and the engine.
class EndpointOrders {
public:
  virtual ~EndpointOrders() = default;
  /// Claims memory and orders the load. After an error, no memory is used
  /// unless a claim remains in the ledger.
  virtual Result<OrderState> load(const LeaseUse &Use, const Artifact &Wanted,
                                  std::uint64_t Bytes) = 0;
  /// Orders the unload. The claim ends when a report lacks the artifact.
  virtual Result<OrderState> unload(const LeaseUse &Use,
                                    const Artifact &Wanted) = 0;
  /// Orders the role. Sent after a takeover it also shows the engine the new
  /// fencing number, which ends claims of older owners at engines that check.
  virtual Result<OrderState> setRole(const LeaseUse &Use, EngineRole Role) = 0;
  /// Reads the engine's report and settles claims by it. Fails only if the
  /// engine cannot be reached; claims wait while the store is away.
  virtual Result<LoadReport> poll() = 0;
  /// See OrderTracker::processGone().
  virtual void processGone(const std::string &Member, std::uint64_t UpTo) = 0;
  /// An operator states that this order will not take effect; the next report
  /// ends its claim.
  virtual void clearClaim(const std::string &OrderId) = 0;
};

/// Engine must outlive the result. Fails with InvalidArgument if the member's
/// name is empty.
Result<std::unique_ptr<EndpointOrders>>
createEndpointOrders(std::shared_ptr<EndpointLedger> Ledger,
                     EngineClient &Engine, EndpointOrdersOptions Options);

} // namespace primroseworks

#endif
