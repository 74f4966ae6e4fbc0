// Which claims are granted, and which one is revoked for another.
#include "libgateway/memorybudget.h"

#include <algorithm>
#include <limits>
#include <map>
#include <sys/resource.h>
#include <sys/sysinfo.h>

namespace primroseworks::gateway {

namespace {

/// Small claims are granted up to this share of the limit while nothing can be
/// revoked for them.
constexpr double MaxOverdraft = 1.25;

} // namespace

MemoryClaim::MemoryClaim(MemoryBudget &Budget, MemoryKind Kind,
                         std::string Peer)
    : m_budget(&Budget), m_kind(Kind), m_peer(std::move(Peer)) {
  m_budget->m_claims.insert(this);
}

MemoryClaim::~MemoryClaim() {
  if (!m_budget)
    return;
  m_budget->set(*this, 0);
  m_budget->m_claims.erase(this);
}

bool MemoryClaim::resize(std::size_t Bytes) {
  if (m_revoked || !m_budget)
    return false;
  if (Bytes > m_bytes)
    return m_budget->grow(*this, Bytes);
  m_budget->set(*this, Bytes);
  return true;
}

bool MemoryClaim::append(std::string &Text, std::string_view Part,
                         std::size_t Other, std::size_t Most) {
  const std::size_t Needed = Text.size() + Part.size();
  std::size_t Capacity = Text.capacity();
  if (Needed > Capacity)
    Capacity = std::max(Needed, std::min(2 * Capacity, Most));
  if (!resize(Capacity + Other))
    return false;
  if (Capacity > Text.capacity()) {
    // reserve() of a text that has memory may take twice that.
    std::string Grown;
    Grown.reserve(Capacity);
    Grown.append(Text);
    Text.swap(Grown);
  }
  Text.append(Part);
  return true;
}

void MemoryClaim::pin() {
  if (m_pinned || !m_budget)
    return;
  m_pinned = true;
  m_budget->m_pinnedBytes += m_bytes;
}

MemoryBudget::~MemoryBudget() {
  for (MemoryClaim *C : m_claims)
    C->m_budget = nullptr;
}

MemoryClaimPtr MemoryBudget::claim(MemoryKind Kind, std::string Peer) {
  return std::make_unique<MemoryClaim>(*this, Kind, std::move(Peer));
}

std::size_t MemoryBudget::held() const {
  std::size_t Sum = 0;
  for (const std::size_t Bytes : m_held)
    Sum += Bytes;
  return Sum;
}

bool MemoryBudget::admitsRequest(std::size_t Bytes) const {
  const double Share =
      Bytes > SmallClaimBytes ? LargeRequestShare : SmallRequestShare;
  return static_cast<double>(m_pinnedBytes + Bytes) <=
         Share * static_cast<double>(m_limit);
}

void MemoryBudget::set(MemoryClaim &Claim, std::size_t Bytes) {
  const auto Change = [&Claim, Bytes](std::size_t &Sum) {
    Sum = Sum - Claim.m_bytes + Bytes;
  };
  Change(m_held[index(Claim.m_kind)]);
  if (Claim.m_revoked)
    Change(m_revokedBytes);
  if (Claim.m_pinned)
    Change(m_pinnedBytes);
  Claim.m_bytes = Bytes;
}

bool MemoryBudget::grow(MemoryClaim &Claim, std::size_t Bytes) {
  // A holder competes with what it has, not with what it asks for: one that
  // makes progress goes on beside larger ones that do not.
  const std::size_t More = Bytes - Claim.m_bytes;
  const auto Overdraft =
      static_cast<std::size_t>(MaxOverdraft * static_cast<double>(m_limit));
  while (counted() + More > m_limit) {
    MemoryClaim *Largest = largestOfLargestPeer(false);
    if (!Largest)
      Largest = largestOfLargestPeer(true);
    if (!Largest && Bytes <= SmallClaimBytes && counted() + More <= Overdraft)
      break;
    if (!Largest || Largest == &Claim) {
      notifyCut(Claim);
      return false;
    }
    revoke(*Largest);
  }
  set(Claim, Bytes);
  return true;
}

/// The largest claim, complete or not, of the peer whose claims of that sort
/// hold most together; null if there is none that may be revoked.
MemoryClaim *MemoryBudget::largestOfLargestPeer(bool Complete) const {
  struct Holder {
    std::size_t m_sum = 0;
    MemoryClaim *m_largest = nullptr;
  };
  std::map<std::string_view, Holder> Peers;
  for (MemoryClaim *C : m_claims) {
    if (C->m_pinned || C->m_revoked || !C->m_revoke ||
        C->m_complete != Complete || C->m_bytes <= SmallClaimBytes)
      continue;
    Holder &H = Peers[C->m_peer];
    H.m_sum += C->m_bytes;
    if (!H.m_largest || C->m_bytes > H.m_largest->m_bytes)
      H.m_largest = C;
  }
  const auto Most = std::max_element(Peers.begin(), Peers.end(),
                                     [](const auto &A, const auto &B) {
                                       return A.second.m_sum < B.second.m_sum;
                                     });
  return Most == Peers.end() ? nullptr : Most->second.m_largest;
}

void MemoryBudget::revoke(MemoryClaim &Claim) {
  Claim.m_revoked = true;
  m_revokedBytes += Claim.m_bytes;
  notifyCut(Claim);
  Claim.m_revoke();
}

void MemoryBudget::notifyCut(const MemoryClaim &Claim) const {
  if (m_onCut)
    m_onCut({Claim.m_kind, Claim.m_peer, Claim.m_bytes});
}

std::size_t processMemoryLimit(std::size_t Configured) {
  if (Configured != 0)
    return Configured;
  std::size_t Limit = std::numeric_limits<std::size_t>::max();
  struct sysinfo Machine {};
  if (sysinfo(&Machine) == 0)
    Limit = static_cast<std::size_t>(Machine.totalram) * Machine.mem_unit;
  rlimit AddressSpace{};
  if (getrlimit(RLIMIT_AS, &AddressSpace) == 0 &&
      AddressSpace.rlim_cur != RLIM_INFINITY)
    Limit = std::min<std::size_t>(Limit, AddressSpace.rlim_cur);
  return Limit;
}

} // namespace primroseworks::gateway
