// The memory that a gateway holds for requests, responses and calls. One limit
// counts for the whole process; who would exceed it takes from the peer that
// holds most. Does no I/O.
#ifndef PRIMROSEWORKS_LIBGATEWAY_MEMORYBUDGET_H
#define PRIMROSEWORKS_LIBGATEWAY_MEMORYBUDGET_H

#include "libgateway/types.h"

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace primroseworks::gateway {

/// What bytes are held for.
enum class MemoryKind {
  Request,  ///< Received from a caller.
  Response, ///< Received from an endpoint for a caller.
  Call      ///< Responses to calls: the store, reports and orders.
};
inline constexpr std::size_t MemoryKindCount = 3;
inline constexpr NameTable<MemoryKind, MemoryKindCount> MemoryKindNames = {
    {{MemoryKind::Request, "request"},
     {MemoryKind::Response, "response"},
     {MemoryKind::Call, "call"}}};

/// A claim up to this size is never revoked, so that small requests and
/// responses pass beside large ones.
inline constexpr std::size_t SmallClaimBytes = 65'536;
/// Share of the process's memory that the budget may use. The rest is for the
/// program, its state, the buffers of its sockets and copies under way.
inline constexpr double BudgetShareOfMemory = 0.4;
/// Shares of the budget that requests in progress may hold when one more
/// arrives: a large one, and one that is small.
inline constexpr double LargeRequestShare = 0.5;
inline constexpr double SmallRequestShare = 0.875;

class MemoryBudget;

/// The bytes of one holder; given back on destruction.
class MemoryClaim {
public:
  /// Called when the claim is revoked. The holder stops, frees its bytes and
  /// destroys the claim afterwards, not within the call.
  using Revocation = std::function<void()>;

  MemoryClaim(MemoryBudget &Budget, MemoryKind Kind, std::string Peer);
  ~MemoryClaim();
  MemoryClaim(const MemoryClaim &) = delete;
  MemoryClaim &operator=(const MemoryClaim &) = delete;

  /// Changes the claim to Bytes. Returns false if they would exceed the budget
  /// and this holder is the one to stop, or was revoked before.
  bool resize(std::size_t Bytes);
  /// Appends Part to Text, whose memory this claim counts beside Other bytes.
  /// The memory grows to no more than Most unless the text needs it. Returns
  /// false, with Text unchanged, if resize() does.
  bool append(std::string &Text, std::string_view Part, std::size_t Other,
              std::size_t Most);
  /// A claim without a revocation is not revoked.
  void setRevocation(Revocation Revoke) { m_revoke = std::move(Revoke); }
  /// The bytes are needed until their request has ended: the claim is not
  /// revoked from now on.
  void pin();
  /// The bytes are complete and on their way to their receiver: others are
  /// revoked first.
  void setComplete() { m_complete = true; }
  bool revoked() const { return m_revoked; }
  std::size_t bytes() const { return m_bytes; }

private:
  friend class MemoryBudget;

  MemoryBudget *m_budget; ///< Null once the budget has ended.
  const MemoryKind m_kind;
  const std::string m_peer;
  Revocation m_revoke;
  std::size_t m_bytes = 0;
  bool m_complete = false;
  bool m_pinned = false;
  bool m_revoked = false;
};
using MemoryClaimPtr = std::unique_ptr<MemoryClaim>;

/// A claim that was revoked, or that was not granted more.
struct MemoryCut {
  MemoryKind m_kind = MemoryKind::Response;
  std::string m_peer;
  std::size_t m_bytes = 0;
};

class MemoryBudget {
public:
  using CutObserver = std::function<void(const MemoryCut &)>;

  explicit MemoryBudget(std::size_t LimitBytes) : m_limit(LimitBytes) {}
  ~MemoryBudget();
  MemoryBudget(const MemoryBudget &) = delete;
  MemoryBudget &operator=(const MemoryBudget &) = delete;

  /// Peer names whom the bytes come from: the claims of the peer that holds
  /// most are revoked first.
  MemoryClaimPtr claim(MemoryKind Kind, std::string Peer);
  /// Whether a request of this size may be taken beside those in progress.
  bool admitsRequest(std::size_t Bytes) const;
  /// Called for each claim that is cut.
  void setOnCut(CutObserver OnCut) { m_onCut = std::move(OnCut); }
  std::size_t limit() const { return m_limit; }
  std::size_t held() const;
  std::size_t held(MemoryKind Kind) const { return m_held[index(Kind)]; }

private:
  friend class MemoryClaim;

  static std::size_t index(MemoryKind Kind) {
    return static_cast<std::size_t>(Kind);
  }
  bool grow(MemoryClaim &Claim, std::size_t Bytes);
  void set(MemoryClaim &Claim, std::size_t Bytes);
  MemoryClaim *largestOfLargestPeer(bool Complete) const;
  void revoke(MemoryClaim &Claim);
  void notifyCut(const MemoryClaim &Claim) const;
  /// Bytes that count against the limit: revoked ones are about to be freed.
  std::size_t counted() const { return held() - m_revokedBytes; }

  const std::size_t m_limit;
  std::array<std::size_t, MemoryKindCount> m_held{};
  std::size_t m_revokedBytes = 0;   ///< Part of m_held.
  std::size_t m_pinnedBytes = 0;    ///< Part of m_held.
  std::set<MemoryClaim *> m_claims; ///< Claims remove themselves.
  CutObserver m_onCut;
};

/// Clears Text and frees its memory, which an assignment need not do.
inline void freeText(std::string &Text) { std::string().swap(Text); }

/// Memory that this process may use, in bytes: Configured unless that is 0,
/// otherwise the smaller one of the machine's memory and the process's limit on
/// its address space.
std::size_t processMemoryLimit(std::size_t Configured);

} // namespace primroseworks::gateway

#endif
