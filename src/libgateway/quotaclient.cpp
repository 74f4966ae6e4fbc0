// Charges in progress, and the choice of the agents.
#include "libgateway/quotaclient.h"
#include "libgateway/log.h"
#include "primroseworks/hash.h"

#include <algorithm>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <tuple>

namespace primroseworks::gateway {

using namespace quota;

QuotaClient::QuotaClient(Core &Shared, const PeerAudience &Audience,
                         QuotaLinks Links)
    : m_core(Shared), m_audience(Audience), m_links(Links),
      m_service(Shared, Audience, std::move(Links)),
      m_self(Shared.m_settings.m_vm) {
  m_service.setOnReply(
      [this](const QuotaReply &Reply) { onReply(Reply, BootClock::now()); });
}

void QuotaClient::setStart(std::uint64_t Start, BootTime Now) {
  m_start = Start;
  m_service.setStart(Start, Now);
}

const QuotaLimit *QuotaClient::limit(const std::string &Account) const {
  const QuotaLimits *Limits = m_service.limits();
  const QuotaLimit *Limit = Limits ? Limits->find(Account) : nullptr;
  return Limit && !Limit->unlimited() ? Limit : nullptr;
}

/// This VM if it is an agent, then the agents of its failure domain, of its
/// region, and others. All VMs of a domain ask the same agent for an account,
/// which needs less credit in advance then.
std::vector<std::string>
QuotaClient::agentsFor(const std::string &Account) const {
  using Row = std::tuple<int, std::uint64_t, std::string>;
  std::vector<Row> Rows;
  if (m_service.isAgent(m_self))
    Rows.emplace_back(0, 0, m_self);
  for (const Member &M : m_audience.members()) {
    if (!m_service.isAgent(M.m_name))
      continue;
    const bool SameDomain =
        M.m_failureDomain == m_core.m_settings.m_failureDomain;
    const int Distance = SameDomain ? 1 : m_audience.inRegion(M.m_name) ? 2 : 3;
    Rows.emplace_back(Distance, hash::number(M.m_name + '/' + Account),
                      M.m_name);
  }
  const std::size_t Count = std::min(Rows.size(), MaxAgentsAsked);
  std::partial_sort(Rows.begin(), Rows.begin() + static_cast<long>(Count),
                    Rows.end());
  std::vector<std::string> Out;
  for (std::size_t I = 0; I < Count; ++I)
    Out.push_back(std::get<2>(Rows[I]));
  return Out;
}

void QuotaClient::apply(const PendingPtr &P, const ChargeStep &Step,
                        BootTime Now) {
  if (P->m_result)
    return;
  P->m_result = Step.m_result;
  P->m_wakeAt = Step.m_wakeAt;
  P->m_timer.cancel();
  if (Step.m_sendTo.empty())
    return;
  const QuotaRequest &Request = P->m_charge.request();
  if (Step.m_sendTo == m_self)
    m_service.onRequest(Request, Now); // May answer at once.
  else
    m_links.m_send(Step.m_sendTo, Request);
}

void QuotaClient::onReply(const QuotaReply &Reply, BootTime Now) {
  const auto It = m_pending.find(Reply.m_ticket.m_number);
  if (Reply.m_ticket.m_start != m_start || It == m_pending.end())
    return;
  const PendingPtr P = It->second;
  apply(P, P->m_charge.onReply(Reply, Now), Now);
}

asio::awaitable<QuotaCharged> QuotaClient::charge(std::string Account,
                                                  Amount Cost) {
  const BootTime AskedAt = BootClock::now();
  const std::uint64_t Number = ++m_lastNumber;
  QuotaRequest Request{{m_self, m_start, Number}, Account, Cost};
  QuotaCharged Out;
  Out.m_ticket = Request.m_ticket;
  const auto P = std::make_shared<Pending>(
      QuotaCharge(std::move(Request), agentsFor(Account), AskedAt),
      m_core.m_io);
  m_pending[Number] = P;
  apply(P, P->m_charge.start(AskedAt), AskedAt);
  while (!P->m_result) {
    P->m_timer.expires_after(P->m_wakeAt - BootClock::now());
    std::error_code Ignored;
    co_await P->m_timer.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
    const BootTime Now = BootClock::now();
    if (!P->m_result && Now >= P->m_wakeAt)
      apply(P, P->m_charge.onTimer(Now), Now);
  }
  m_pending.erase(Number);
  Out.m_result = *P->m_result;
  Out.m_decidedAt = BootClock::now();
  m_core.m_metrics->count(
      "quota_" + std::string(nameOf(QuotaStatusNames, Out.m_result.m_status)));
  if (Out.m_result.m_status != QuotaStatus::Granted)
    decisionlog::line(LogClass::Failure, "quota_refused")
        .text("account", Account)
        .text("status", nameOf(QuotaStatusNames, Out.m_result.m_status))
        .text("agent", Out.m_result.m_agent)
        .number("cost", static_cast<std::int64_t>(Cost))
        .real("took_ms", toMillis(Out.m_decidedAt - AskedAt))
        .real("wait_ms", toMillis(Out.m_result.m_wait));
  co_return Out;
}

void QuotaClient::refund(const QuotaCharged &Charged, BootTime Now) {
  if (Now - Charged.m_decidedAt > RefundLimit) {
    m_core.m_metrics->count("quota_forfeited");
    return;
  }
  m_core.m_metrics->count("quota_refunded");
  const QuotaRefund Message{Charged.m_ticket};
  if (Charged.m_result.m_agent == m_self)
    m_service.onRefund(Message, Now);
  else
    m_links.m_send(Charged.m_result.m_agent, Message);
}

void QuotaClient::onMessage(const QuotaMessage &Message, BootTime Now) {
  if (const auto *Request = std::get_if<QuotaRequest>(&Message))
    m_service.onRequest(*Request, Now);
  else if (const auto *Reply = std::get_if<QuotaReply>(&Message))
    onReply(*Reply, Now);
  else if (const auto *Refund = std::get_if<QuotaRefund>(&Message))
    m_service.onRefund(*Refund, Now);
  else if (const auto *Asks = std::get_if<CreditRequest>(&Message))
    m_service.onCreditRequest(*Asks, Now);
  else if (const auto *Grants = std::get_if<CreditReply>(&Message))
    m_service.onCreditReply(*Grants, Now);
}

asio::awaitable<void> QuotaClient::run() {
  asio::steady_timer Timer(m_core.m_io);
  for (;;) {
    Timer.expires_after(m_service.isActive() ? QuotaTick : QuotaIdleTick);
    std::error_code Ignored;
    co_await Timer.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
    m_service.tick(BootClock::now());
  }
}

} // namespace primroseworks::gateway
