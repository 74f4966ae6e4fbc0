// Dispatch of the quota messages to the agent and the owner.
#include "libgateway/quotaservice.h"
#include "libgateway/log.h"

#include <sstream>

namespace primroseworks::gateway {

using namespace quota;

QuotaService::QuotaService(Core &Shared, const PeerAudience &Audience,
                           QuotaLinks Links)
    : m_core(Shared), m_audience(Audience), m_links(std::move(Links)),
      m_self(Shared.m_settings.m_vm) {}

void QuotaService::setStart(std::uint64_t Start, BootTime Now) {
  m_agent = std::make_unique<QuotaAgent>(m_self, Start,
                                         m_core.m_settings.m_quotas, Now);
}

void QuotaService::setLimits(std::shared_ptr<const QuotaLimits> Limits) {
  m_limits = Limits && Limits->any() ? std::move(Limits) : nullptr;
}

bool QuotaService::isAgent(const std::string &Name) const {
  if (m_audience.isLarge())
    return m_audience.isCoordinator(Name);
  return Name == m_self || m_audience.find(Name);
}

void QuotaService::onMembers(BootTime Now) {
  std::set<std::string> Present;
  if (isAgent(m_self))
    Present.insert(m_self);
  for (const Member &M : m_audience.members())
    if (isAgent(M.m_name))
      Present.insert(M.m_name);
  m_agents.set(Present, Now);
}

void QuotaService::onRecordedAgents(const std::string &Names, BootTime Now) {
  std::set<std::string> Known;
  std::istringstream In(Names);
  for (std::string Name; std::getline(In, Name);)
    Known.insert(Name);
  m_agents.addKnown(Known, Now);
  // Only the first record counts: later ones may contain this VM because of its
  // present start.
  if (!m_recordSeen && m_agent && Known.count(m_self) > 0)
    m_agent->onRejoined();
  m_recordSeen = true;
}

std::string QuotaService::agentsToRecord(BootTime Now) const {
  std::string Out;
  for (const std::string &Name : m_agents.reserved(Now))
    Out += Name + '\n';
  return Out;
}

void QuotaService::onListConfirmed(BootTime Now) {
  const bool Stalled = m_tickAt != BootTime{} && Now - m_tickAt > QuotaStall;
  if (m_agent && !Stalled && Now - m_stalledAt > QuotaStallPause)
    m_agent->onListConfirmed(Now);
}

void QuotaService::deliver(const std::vector<QuotaReply> &Replies) {
  for (const QuotaReply &R : Replies) {
    m_core.m_metrics->count("quota_agent_" +
                            std::string(nameOf(QuotaStatusNames, R.m_status)));
    if (R.m_ticket.m_sender != m_self)
      m_links.m_send(R.m_ticket.m_sender, R);
    else if (m_onReply)
      m_onReply(R);
  }
}

void QuotaService::onRequest(const QuotaRequest &Request, BootTime Now) {
  if (!m_agent)
    return;
  if (!m_limits) {
    // This VM does not know the limits yet.
    deliver({QuotaReply{Request.m_ticket, m_self, QuotaStatus::Unavailable,
                        UndecidedRetry}});
    return;
  }
  const QuotaReply Reply =
      m_agent->onRequest(Request, m_agents, *m_limits, Now);
  askOwner(Now);
  deliver({Reply});
}

void QuotaService::onRefund(const QuotaRefund &Refund, BootTime Now) {
  if (m_agent && m_limits)
    m_agent->onRefund(Refund, *m_limits, Now);
}

void QuotaService::askOwner(BootTime Now) {
  const std::string Leader = m_links.m_leader();
  if (Leader.empty())
    return;
  const auto Request = m_agent->nextRequest(m_agents, *m_limits, Now);
  if (!Request)
    return;
  if (Leader == m_self)
    onCreditRequest(*Request, Now);
  else
    m_links.m_send(Leader, *Request);
}

void QuotaService::onCreditRequest(const CreditRequest &Request, BootTime Now) {
  const std::uint64_t Token = m_links.m_fencingToken();
  if (Token == 0 || !m_limits) {
    m_core.m_metrics->count("quota_request_to_no_owner");
    return;
  }
  if (!m_owner || m_owner->token() != Token) {
    m_owner =
        std::make_unique<QuotaOwner>(Token, m_core.m_settings.m_quotas, Now);
    decisionlog::line(LogClass::Lifecycle, "quota_owner")
        .number("token", static_cast<std::int64_t>(Token))
        .number("agents", m_agents.count(Now));
  }
  const CreditReply Reply =
      m_owner->onRequest(Request, m_agents, *m_limits, Now);
  if (Request.m_agent == m_self)
    onCreditReply(Reply, Now);
  else
    m_links.m_send(Request.m_agent, Reply);
}

void QuotaService::onCreditReply(const CreditReply &Reply, BootTime Now) {
  if (m_agent && m_limits)
    deliver(m_agent->onReply(Reply, *m_limits, Now));
}

/// Logs when the base share begins and ends to apply.
void QuotaService::logContact(BootTime Now) {
  const bool Contact = m_agent->inContact(Now);
  if (Contact == m_contact)
    return;
  m_contact = Contact;
  m_core.m_metrics->count(Contact ? "quota_owner_found" : "quota_owner_lost");
  decisionlog::line(LogClass::KnownState,
                    Contact ? "quota_owner_found" : "quota_owner_lost")
      .text("leader", m_links.m_leader())
      .number("agents", m_agents.count(Now));
}

void QuotaService::tick(BootTime Now) {
  if (m_tickAt != BootTime{} && Now - m_tickAt > QuotaStall)
    m_stalledAt = Now;
  m_tickAt = Now;
  if (!m_agent || !isActive())
    return;
  deliver(m_agent->expire(m_agents, *m_limits, Now));
  askOwner(Now);
  logContact(Now);
}

void QuotaService::exportState() {
  const bool Owns = m_owner && m_links.m_fencingToken() == m_owner->token();
  m_core.m_metrics->gauge("quota_owner_share", Owns ? m_owner->share() : 0);
  m_core.m_metrics->gauge("quota_accounts",
                          m_agent ? static_cast<double>(m_agent->accountCount())
                                  : 0);
}

} // namespace primroseworks::gateway
