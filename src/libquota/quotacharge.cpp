// Requests to the agents and their repetition.
#include "libquota/quotacharge.h"

#include <algorithm>

namespace primroseworks::quota {

QuotaCharge::QuotaCharge(QuotaRequest Request, std::vector<std::string> Agents,
                         BootTime Now)
    : m_request(std::move(Request)), m_agents(std::move(Agents)),
      m_askedAt(Now) {
  m_agents.resize(std::min(m_agents.size(), MaxAgentsAsked));
}

ChargeStep QuotaCharge::end(QuotaStatus Status, Milliseconds Wait,
                            std::string Agent) {
  ChargeStep Out;
  Out.m_result = ChargeResult{Status, Wait, std::move(Agent)};
  return Out;
}

ChargeStep QuotaCharge::pause(BootTime Now) const {
  ChargeStep Out;
  const BootTime Limit = m_askedAt + ChargeLimit;
  Out.m_wakeAt =
      m_waiting ? Limit
                : std::min(Limit, std::max(Now, m_sentAt) + ChargeRetransmit);
  return Out;
}

ChargeStep QuotaCharge::askNext(BootTime Now) {
  if (m_next >= m_agents.size())
    return end(QuotaStatus::Unavailable,
               m_shortestWait > Milliseconds::zero() ? m_shortestWait
                                                     : NoAgentRetry,
               "");
  ++m_next;
  m_sends = 1;
  m_waiting = false;
  m_sentAt = Now;
  ChargeStep Out = pause(Now);
  Out.m_sendTo = m_agents[m_next - 1];
  return Out;
}

ChargeStep QuotaCharge::onTimer(BootTime Now) {
  if (Now - m_askedAt >= ChargeLimit)
    return end(QuotaStatus::Unavailable, NoAgentRetry, "");
  if (m_waiting || Now - m_sentAt < ChargeRetransmit)
    return pause(Now);
  if (m_sends >= 2)
    return askNext(Now);
  ++m_sends;
  m_sentAt = Now;
  ChargeStep Out = pause(Now);
  Out.m_sendTo = m_agents[m_next - 1];
  return Out;
}

ChargeStep QuotaCharge::onReply(const QuotaReply &Reply, BootTime Now) {
  if (Now - m_askedAt >= ChargeLimit)
    return end(QuotaStatus::Unavailable, NoAgentRetry, "");
  const bool IsCurrent = m_next > 0 && Reply.m_agent == m_agents[m_next - 1];
  switch (Reply.m_status) {
  case QuotaStatus::Granted:
  case QuotaStatus::Denied:
    return end(Reply.m_status, Reply.m_wait, Reply.m_agent);
  case QuotaStatus::Waiting:
    m_waiting = m_waiting || IsCurrent;
    return pause(Now);
  case QuotaStatus::Unavailable:
    if (m_shortestWait == Milliseconds::zero() || Reply.m_wait < m_shortestWait)
      m_shortestWait = Reply.m_wait;
    return IsCurrent ? askNext(Now) : pause(Now);
  }
  return pause(Now);
}

} // namespace primroseworks::quota
