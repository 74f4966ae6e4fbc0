// Decides when a recorded order can no longer take effect.
#include "primroseworks/ledger.h"

#include <algorithm>
#include <set>

namespace primroseworks {
namespace {

template <class F> void forEachPending(const MemoryLedger &Ledger, F Visit) {
  for (const auto &[Key, Claims] : Ledger.claims())
    for (const PendingClaim &Claim : Claims.m_pending)
      Visit(Claim);
}

std::optional<TimePoint> earliest(std::optional<TimePoint> A, TimePoint B) {
  return A ? std::min(*A, B) : B;
}

} // namespace

void OrderTracker::sendFinished(const std::string &OrderId, TimePoint Now) {
  TimePoint &End = m_finished[OrderId];
  End = std::max(End, Now);
}

void OrderTracker::neverSent(const std::string &OrderId) {
  m_neverSent[OrderId] = true;
}

void OrderTracker::processGone(const std::string &Member, std::uint64_t UpTo,
                               TimePoint Now) {
  std::vector<Gone> &Proofs = m_gone[Member];
  for (const Gone &Proof : Proofs)
    if (Proof.m_upTo >= UpTo && Proof.m_since <= Now)
      return;
  Proofs.push_back({UpTo, Now});
}

void OrderTracker::reportSeen(const MemoryLedger &Ledger,
                              const LoadReport &Report, TimePoint Now) {
  if (!m_checksFencing)
    return;
  forEachPending(Ledger, [&](const PendingClaim &Claim) {
    if (Report.m_fence > Claim.m_fence)
      m_fenced.emplace(Claim.m_orderId, Now);
  });
}

std::optional<TimePoint>
OrderTracker::arrivalEnd(const PendingClaim &Claim) const {
  std::optional<TimePoint> End;
  auto Fenced = m_fenced.find(Claim.m_orderId);
  if (Fenced != m_fenced.end())
    End = Fenced->second;
  auto Finished = m_finished.find(Claim.m_orderId);
  if (Finished != m_finished.end())
    End = earliest(End, Finished->second + LongestOrderDelay);
  auto Proofs = m_gone.find(Claim.m_member);
  if (Proofs == m_gone.end())
    return End;
  for (const Gone &Proof : Proofs->second)
    if (Claim.m_incarnation <= Proof.m_upTo)
      End = earliest(End, Proof.m_since + LongestOrderDelay);
  return End;
}

std::vector<std::string> OrderTracker::ordersToAsk(const MemoryLedger &Ledger,
                                                   TimePoint Now) const {
  std::vector<std::string> Out;
  forEachPending(Ledger, [&](const PendingClaim &Claim) {
    const auto End = arrivalEnd(Claim);
    if (End && Now >= *End && m_settled.count(Claim.m_orderId) == 0 &&
        m_neverSent.count(Claim.m_orderId) == 0)
      Out.push_back(Claim.m_orderId);
  });
  return Out;
}

void OrderTracker::orderState(const MemoryLedger &Ledger,
                              const std::string &OrderId, OrderState State,
                              TimePoint AskedAt, TimePoint Now) {
  if (State == OrderState::Pending)
    return;
  forEachPending(Ledger, [&](const PendingClaim &Claim) {
    const auto End = arrivalEnd(Claim);
    if (Claim.m_orderId == OrderId && End && AskedAt >= *End)
      m_settled.emplace(OrderId, Now);
  });
}

bool OrderTracker::isOver(const PendingClaim &Claim,
                          TimePoint RequestedAt) const {
  if (m_neverSent.count(Claim.m_orderId) != 0)
    return true;
  auto Settled = m_settled.find(Claim.m_orderId);
  return Settled != m_settled.end() &&
         RequestedAt >= Settled->second + LongestReportLag;
}

void OrderTracker::prune(const MemoryLedger &Ledger) {
  std::set<std::string> Known;
  forEachPending(Ledger, [&](const PendingClaim &Claim) {
    Known.insert(Claim.m_orderId);
  });
  const auto Drop = [&](auto &Map) {
    for (auto It = Map.begin(); It != Map.end();)
      It = Known.count(It->first) == 0 ? Map.erase(It) : std::next(It);
  };
  Drop(m_finished);
  Drop(m_fenced);
  Drop(m_settled);
  // m_neverSent stays: a write that takes effect late may still add the claim.
}

} // namespace primroseworks
