// Evidence that an endpoint which broke off attempts has ended.
#include "libgateway/brokenattempts.h"

#include <algorithm>

namespace primroseworks::gateway {

bool BrokenAttempts::onBroken(BrokenRequest Request,
                              const EndpointIncarnation &Which,
                              const std::string &Address) {
  const auto Known = m_entries.find(Which);
  if (Known != m_entries.end() && Known->second.m_endedAt)
    return true;
  if (m_size >= BrokenAttemptsMax)
    return false;
  Entry &E = m_entries[Which];
  E.m_address = Address;
  E.m_attempts.push_back(std::move(Request));
  ++m_size;
  return false;
}

/// Takes the attempts of an incarnation that has ended.
FoundEnd BrokenAttempts::take(const EndpointIncarnation &Which, Entry &E,
                              TimePoint Now) {
  FoundEnd Out{Which, {}};
  for (BrokenRequest &B : E.m_attempts)
    if (Now - B.m_at <= EndEvidencePeriod)
      Out.m_requests.push_back(std::move(B));
  m_size -= E.m_attempts.size();
  E.m_attempts.clear();
  E.m_endedAt = Now;
  return Out;
}

FoundEnd BrokenAttempts::onRefused(const EndpointIncarnation &Which,
                                   TimePoint Now) {
  const auto It = m_entries.find(Which);
  return It == m_entries.end() ? FoundEnd{Which, {}}
                               : take(Which, It->second, Now);
}

void BrokenAttempts::onAnswered(const EndpointIncarnation &Which,
                                TimePoint SentAt) {
  const auto It = m_entries.find(Which);
  if (It == m_entries.end())
    return;
  Entry &E = It->second;
  const auto First = std::find_if(
      E.m_attempts.begin(), E.m_attempts.end(),
      [SentAt](const BrokenRequest &B) { return B.m_at >= SentAt; });
  m_size -= static_cast<std::size_t>(First - E.m_attempts.begin());
  E.m_attempts.erase(E.m_attempts.begin(), First);
  if (E.m_endedAt && *E.m_endedAt < SentAt)
    E.m_endedAt.reset();
}

std::vector<FoundEnd> BrokenAttempts::onRecord(const EndpointRecord &Record,
                                               TimePoint Now) {
  std::vector<FoundEnd> Out;
  for (auto &[Which, E] : m_entries) {
    const bool SamePlace =
        Which.m_endpoint == Record.m_id || E.m_address == Record.m_address;
    // A record of an earlier incarnation is from an older list.
    const bool Replaced =
        SamePlace && Record.m_incarnation > Which.m_incarnation;
    if (Replaced && !E.m_endedAt)
      Out.push_back(take(Which, E, Now));
  }
  return Out;
}

void BrokenAttempts::expire(TimePoint Now) {
  for (auto It = m_entries.begin(); It != m_entries.end();) {
    std::vector<BrokenRequest> &List = It->second.m_attempts;
    const auto First =
        std::find_if(List.begin(), List.end(), [Now](const BrokenRequest &B) {
          return Now - B.m_at <= EndEvidencePeriod;
        });
    m_size -= static_cast<std::size_t>(First - List.begin());
    List.erase(List.begin(), First);
    const auto &EndedAt = It->second.m_endedAt;
    const bool Ended = EndedAt && Now - *EndedAt <= EndEvidencePeriod;
    It = List.empty() && !Ended ? m_entries.erase(It) : std::next(It);
  }
}

} // namespace primroseworks::gateway
