// The agent and the owner of the quotas in this process, connected to the peers
// and the clock.
#ifndef PRIMROSEWORKS_LIBGATEWAY_QUOTASERVICE_H
#define PRIMROSEWORKS_LIBGATEWAY_QUOTASERVICE_H

#include "libgateway/core.h"
#include "libgateway/peeraudience.h"
#include "libgateway/quotamessage.h"
#include "libquota/quotaagent.h"
#include "libquota/quotaowner.h"

#include <functional>
#include <memory>
#include <string>

namespace primroseworks::gateway {

/// What the quotas need of the gateway.
struct QuotaLinks {
  /// Sends a message to a gateway other than this one.
  std::function<void(const std::string &, const QuotaMessage &)> m_send;
  std::function<std::string()> m_leader; ///< Its name; empty if unknown.
  /// Fencing token of this VM's claim; 0 if it does not lead now.
  std::function<std::uint64_t()> m_fencingToken;
};

/// Interval of the agent's work for requests that are held.
inline constexpr Milliseconds QuotaTick{10};
/// The same in a gateway that is no agent, or without limits.
inline constexpr Milliseconds QuotaIdleTick{200};
/// A longer interval shows that the process stood still. Confirmations of the
/// store that are read within the pause that follows may be from before it.
inline constexpr Milliseconds QuotaStall{1000};
inline constexpr Milliseconds QuotaStallPause{2000};

/// Shortest interval between writes of the agents to the store.
inline constexpr Milliseconds QuotaAgentsWriteInterval{1000};

class QuotaService {
public:
  QuotaService(Core &Shared, const PeerAudience &Audience, QuotaLinks Links);
  /// Start of this process as wall-clock ms. To be called before others.
  void setStart(std::uint64_t Start, BootTime Now);
  /// Limits: null if no account has one.
  void setLimits(std::shared_ptr<const quota::QuotaLimits> Limits);
  const quota::QuotaLimits *limits() const { return m_limits.get(); }
  /// Names of agents, one a line, that a leader recorded in the store.
  void onRecordedAgents(const std::string &Names, BootTime Now);
  std::string agentsToRecord(BootTime Now) const;
  /// The list of gateways was read.
  void onMembers(BootTime Now);
  /// The store has confirmed the list of gateways.
  void onListConfirmed(BootTime Now);
  /// Whether the gateway is an agent.
  bool isAgent(const std::string &Name) const;
  void onRequest(const quota::QuotaRequest &Request, BootTime Now);
  void onRefund(const quota::QuotaRefund &Refund, BootTime Now);
  void onCreditRequest(const quota::CreditRequest &Request, BootTime Now);
  void onCreditReply(const quota::CreditReply &Reply, BootTime Now);
  /// Work that is due at Now; to be called every QuotaTick, if active.
  void tick(BootTime Now);
  /// Whether tick() has work.
  bool isActive() const { return m_limits && isAgent(m_self); }
  void exportState();
  /// Sets the receiver of answers to requests of this VM.
  void setOnReply(std::function<void(const quota::QuotaReply &)> OnReply) {
    m_onReply = std::move(OnReply);
  }

private:
  void deliver(const std::vector<quota::QuotaReply> &Replies);
  void askOwner(BootTime Now);
  void logContact(BootTime Now);

  Core &m_core;
  const PeerAudience &m_audience;
  QuotaLinks m_links;
  std::string m_self;
  std::shared_ptr<const quota::QuotaLimits> m_limits;
  quota::AgentList m_agents;
  bool m_recordSeen = false; ///< A record of the agents was read.
  std::unique_ptr<quota::QuotaAgent> m_agent; ///< Null before setStart().
  std::unique_ptr<quota::QuotaOwner> m_owner; ///< Null before it first led.
  std::function<void(const quota::QuotaReply &)> m_onReply;
  BootTime m_tickAt{};
  BootTime m_stalledAt{};
  bool m_contact = false; ///< As logged last.
};

} // namespace primroseworks::gateway

#endif
