// The charge of one request by its VM: which agent is asked when, and which
// answer counts. No I/O.
#ifndef PRIMROSEWORKS_LIBQUOTA_QUOTACHARGE_H
#define PRIMROSEWORKS_LIBQUOTA_QUOTACHARGE_H

#include "libquota/quotatypes.h"

#include <optional>
#include <string>
#include <vector>

namespace primroseworks::quota {

/// A request to an agent is repeated once after this time without an answer,
/// and the next agent is asked after the same time again.
inline constexpr Milliseconds ChargeRetransmit{40};
/// Agents that are asked at most for one request.
inline constexpr std::size_t MaxAgentsAsked = 3;
/// Retry-After of a request that no agent answered.
inline constexpr Milliseconds NoAgentRetry{300};

/// What a charge has led to.
struct ChargeResult {
  QuotaStatus m_status = QuotaStatus::Unavailable; ///< Never Waiting.
  Milliseconds m_wait{0}; ///< Until there is room, if not granted.
  std::string m_agent;    ///< That decided; empty if none did.
};

/// What to do next for a charge.
struct ChargeStep {
  std::string m_sendTo; ///< Agent to send the request to; empty: none.
  BootTime m_wakeAt{};  ///< When to call onTimer() unless an answer arrives.
  std::optional<ChargeResult> m_result; ///< The charge has ended.
};

class QuotaCharge {
public:
  /// Agents: in the order in which they are asked.
  QuotaCharge(QuotaRequest Request, std::vector<std::string> Agents,
              BootTime Now);
  ChargeStep start(BootTime Now) { return askNext(Now); }
  ChargeStep onTimer(BootTime Now);
  /// Takes an agent's answer. One that arrives later than ChargeLimit after
  /// the request was sent first does not count: it may be from before a freeze.
  ChargeStep onReply(const QuotaReply &Reply, BootTime Now);
  const QuotaRequest &request() const { return m_request; }

private:
  ChargeStep askNext(BootTime Now);
  ChargeStep pause(BootTime Now) const;
  ChargeStep end(QuotaStatus Status, Milliseconds Wait, std::string Agent);

  QuotaRequest m_request;
  std::vector<std::string> m_agents;
  BootTime m_askedAt;
  std::size_t m_next = 0;         ///< Index of the next agent to ask.
  unsigned m_sends = 0;           ///< Requests to the current agent.
  bool m_waiting = false;         ///< The current agent has asked the owner.
  BootTime m_sentAt{};            ///< Last request to the current agent.
  Milliseconds m_shortestWait{0}; ///< Of the answers; zero: none.
};

} // namespace primroseworks::quota

#endif
