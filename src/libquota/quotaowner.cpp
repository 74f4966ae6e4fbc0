// Promises of agents, and credits from the buckets.
#include "libquota/quotaowner.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace primroseworks::quota {

namespace {

std::int64_t stampOf(BootTime Time) {
  return std::chrono::duration_cast<Milliseconds>(Time.time_since_epoch())
      .count();
}

/// Time until the bucket has gained Tokens. With zero Tokens the bucket is full
/// but smaller than the request, which must wait until the owner's share grows.
Milliseconds waitFor(double Tokens, double RatePerSecond) {
  constexpr double LongestSeconds = 3600;
  constexpr double ShareChangeSeconds = 0.5;
  const double Wait = RatePerSecond > 0 && Tokens > 0 ? Tokens / RatePerSecond
                                                      : ShareChangeSeconds;
  return Milliseconds(
      std::lround(std::ceil(std::min(Wait, LongestSeconds) * 1000)));
}

} // namespace

unsigned QuotaOwner::agentCount() const {
  auto Count = static_cast<unsigned>(m_agents.size());
  for (const auto &[Name, A] : m_agents)
    Count = std::max(Count, A.m_agents);
  return std::max(1U, Count);
}

/// Computes the share of the limits that the owner may hand out: all but the
/// base shares of agents without a promise in force.
void QuotaOwner::updateShare(BootTime Now) {
  const unsigned Count = agentCount();
  // Agents that only other agents know of: their shares are reserved, too.
  double Reserved =
      static_cast<double>(Count - m_agents.size()) / static_cast<double>(Count);
  for (const auto &[Name, A] : m_agents)
    if (A.m_promisedUntil <= Now)
      Reserved += A.m_baseShare;
  const double Next = std::clamp(1 - Reserved, 0.0, 1.0);
  if (Next < m_share) {
    // What the buckets hold beyond their new size is lost: the agents whose
    // shares were withdrawn fill buckets of their own from now on. Accounts
    // without a bucket so far start empty here.
    m_cutAt = m_shareSeconds;
    for (auto &[Name, B] : m_buckets) {
      fill(B);
      B.m_bucket.fill(0, bucketSize(B.m_limit, m_bounds) * Next);
    }
  }
  m_share = Next;
}

void QuotaOwner::advanceTo(BootTime At) {
  m_shareSeconds += m_share * toSeconds(At - m_advancedAt);
  m_advancedAt = At;
  updateShare(At);
}

/// Counts the share up to Now, with the ends of promises in their order.
void QuotaOwner::advance(BootTime Now) {
  std::vector<BootTime> Ends;
  for (const auto &[Name, A] : m_agents)
    if (A.m_promisedUntil > m_advancedAt && A.m_promisedUntil <= Now)
      Ends.push_back(A.m_promisedUntil);
  std::sort(Ends.begin(), Ends.end());
  for (const BootTime End : Ends)
    advanceTo(End);
  advanceTo(Now);
}

/// Takes over the list, and drops agents whose share is reserved no longer.
void QuotaOwner::updateAgents(const AgentList &List, BootTime Now) {
  const std::set<std::string> Reserved = List.reserved(Now);
  for (auto It = m_agents.begin(); It != m_agents.end();) {
    const bool Keep = Reserved.count(It->first) > 0 ||
                      Now - It->second.m_askedAt < ReservePeriod;
    It = Keep ? std::next(It) : m_agents.erase(It);
  }
  std::vector<Agent *> Added;
  for (const std::string &Name : Reserved)
    if (const auto [Place, IsNew] = m_agents.try_emplace(Name); IsNew)
      Added.push_back(&Place->second);
  for (Agent *A : Added)
    A->m_baseShare = 1.0 / agentCount();
}

void QuotaOwner::onPromise(const CreditRequest &Request, BootTime Now) {
  Agent &A = m_agents[Request.m_agent];
  A.m_askedAt = Now;
  A.m_agents = Request.m_agents;
  A.m_baseShare = 1.0 / agentCount();
  if (Request.m_token != m_token || Request.m_stamp > stampOf(Now))
    return;
  const BootTime Until =
      BootTime(Milliseconds(Request.m_stamp)) + PromisePeriod - PromiseMargin;
  A.m_promisedUntil = std::max(A.m_promisedUntil, Until);
}

/// Drops the buckets of accounts that have no limit any more.
void QuotaOwner::applyVersion(const QuotaLimits &Limits) {
  if (Limits.version() == m_version)
    return;
  m_version = Limits.version();
  for (auto It = m_buckets.begin(); It != m_buckets.end();)
    It = Limits.find(It->first) ? std::next(It) : m_buckets.erase(It);
}

void QuotaOwner::fill(Bucket &B) const {
  B.m_bucket.fill((m_shareSeconds - B.m_filledAt) * B.m_limit.m_ratePerSecond,
                  bucketSize(B.m_limit, m_bounds) * m_share);
  B.m_filledAt = m_shareSeconds;
}

CreditGrant QuotaOwner::grant(const CreditAsk &Ask, const QuotaLimit &Limit) {
  CreditGrant Out;
  Out.m_account = Ask.m_account;
  const auto [It, IsNew] = m_buckets.try_emplace(Ask.m_account);
  Bucket &B = It->second;
  if (IsNew)
    B.m_filledAt = m_cutAt;
  B.m_limit = Limit;
  fill(B);
  const double Size = bucketSize(Limit, m_bounds) * m_share;
  const bool Whole = m_share >= 1 - 1e-9;
  const double Debt = Whole ? std::numeric_limits<double>::infinity()
                            : debtLimit(Limit, m_bounds, m_share);
  const auto Least = static_cast<double>(Ask.m_least);
  if (m_share > 0 && B.m_bucket.hasRoom(Least, Size, Debt)) {
    const double Available =
        std::min(static_cast<double>(Ask.m_want), B.m_bucket.level());
    const auto Unit = static_cast<double>(std::max<Amount>(1, Ask.m_unit));
    const double More =
        std::floor(std::max(0.0, Available - Least) / Unit) * Unit;
    Out.m_amount = static_cast<Amount>(Least + More);
    B.m_bucket.take(Least + More);
  }
  if (m_share <= 0 || !B.m_bucket.hasRoom(Least, Size, Debt))
    Out.m_wait = waitFor(B.m_bucket.missing(Least, Size),
                         Limit.m_ratePerSecond * m_share);
  return Out;
}

CreditReply QuotaOwner::onRequest(const CreditRequest &Request,
                                  const AgentList &List,
                                  const QuotaLimits &Limits, BootTime Now) {
  advance(Now);
  updateAgents(List, Now);
  onPromise(Request, Now);
  updateShare(Now);
  applyVersion(Limits);
  CreditReply Out;
  Out.m_agent = Request.m_agent;
  Out.m_start = Request.m_start;
  Out.m_number = Request.m_number;
  Out.m_version = Limits.version();
  Out.m_agents = agentCount();
  Out.m_token = m_token;
  Out.m_stamp = stampOf(Now);
  Out.m_settled =
      Now - m_startedAt >= OwnerSettleTime && m_share >= MinSettledShare;
  for (const CreditAsk &Ask : Request.m_asks) {
    const QuotaLimit *Limit = Limits.find(Ask.m_account);
    if (Limit && !Limit->unlimited())
      Out.m_grants.push_back(grant(Ask, *Limit));
    else
      Out.m_grants.push_back({Ask.m_account, Ask.m_want, Milliseconds(0)});
  }
  return Out;
}

} // namespace primroseworks::quota
