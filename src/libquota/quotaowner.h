// The owner of the accounts' buckets: the leader, while its lease is valid. It
// fills them at the share of each limit that no other agent may use as its base
// share. No I/O.
//
// Load pattern: one request for credits per agent and 100 ms with demand, and
// one per request of an account that an agent has no credit for.
#ifndef PRIMROSEWORKS_LIBQUOTA_QUOTAOWNER_H
#define PRIMROSEWORKS_LIBQUOTA_QUOTAOWNER_H

#include "libquota/agentlist.h"
#include "libquota/quotabucket.h"
#include "libquota/quotatypes.h"

#include <map>
#include <unordered_map>

namespace primroseworks::quota {

/// A lack of room is no sign that an account is over its limit while the owner
/// is younger than this, since its buckets started empty.
inline constexpr Milliseconds OwnerSettleTime{2000};

/// Nor while the shares of so many agents are withdrawn that an account within
/// its limit may find no room.
inline constexpr double MinSettledShare = 0.85;

class QuotaOwner {
public:
  /// Token: fencing token of the claim under which this VM is the owner.
  QuotaOwner(std::uint64_t Token, QuotaBounds Bounds, BootTime Now)
      : m_token(Token), m_bounds(Bounds), m_startedAt(Now), m_advancedAt(Now) {}
  std::uint64_t token() const { return m_token; }
  /// Answers an agent. Must be called only while the lease is valid at Now.
  CreditReply onRequest(const CreditRequest &Request, const AgentList &List,
                        const QuotaLimits &Limits, BootTime Now);
  /// Share of the limits at which the buckets are filled, from 0 to 1.
  double share() const { return m_share; }
  std::size_t bucketCount() const { return m_buckets.size(); }

private:
  struct Agent {
    BootTime m_promisedUntil{};
    BootTime m_askedAt{};
    /// Base share that it uses when its promise has ended.
    double m_baseShare = 1;
    unsigned m_agents = 0; ///< Agents that it knows of.
  };
  struct Bucket {
    QuotaBucket m_bucket;
    double m_filledAt = 0; ///< Value of m_shareSeconds when it was filled.
    QuotaLimit m_limit;    ///< When it was filled.
  };
  void advance(BootTime Now);
  void advanceTo(BootTime At);
  void updateShare(BootTime Now);
  void updateAgents(const AgentList &List, BootTime Now);
  void onPromise(const CreditRequest &Request, BootTime Now);
  unsigned agentCount() const;
  void applyVersion(const QuotaLimits &Limits);
  void fill(Bucket &B) const;
  CreditGrant grant(const CreditAsk &Ask, const QuotaLimit &Limit);

  std::uint64_t m_token;
  QuotaBounds m_bounds;
  BootTime m_startedAt;
  BootTime m_advancedAt; ///< Up to when m_shareSeconds is counted.
  double m_share = 0;
  double m_shareSeconds = 0; ///< Integral of m_share since m_startedAt.
  /// m_shareSeconds when m_share last fell. Buckets were cut then.
  double m_cutAt = 0;
  std::map<std::string, Agent> m_agents;
  std::unordered_map<std::string, Bucket> m_buckets; ///< By account.
  std::uint64_t m_version = 0;
};

} // namespace primroseworks::quota

#endif
