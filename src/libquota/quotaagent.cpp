// Credits, held requests and the base share of an agent.
#include "libquota/quotaagent.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace primroseworks::quota {

namespace {

/// Weight of the last interval in the mean rate of arrivals.
constexpr double ArrivalWeight = 0.5;
/// State of an account without requests is dropped after this time.
constexpr Seconds AccountMemory{30};

Milliseconds until(BootTime Then, BootTime Now) {
  return std::max(Milliseconds(1),
                  std::chrono::duration_cast<Milliseconds>(Then - Now));
}

} // namespace

QuotaAgent::QuotaAgent(std::string Name, std::uint64_t Start,
                       QuotaBounds Bounds, BootTime Now)
    : m_name(std::move(Name)), m_start(Start), m_bounds(Bounds),
      m_startedAt(Now) {}

void QuotaAgent::onListConfirmed(BootTime SentAt) {
  m_listConfirmedAt = std::max(m_listConfirmedAt.value_or(SentAt), SentAt);
}

// --- Credits ---------------------------------------------------------------

void QuotaAgent::addCredit(Account &A, Credit C) {
  const auto Place = std::upper_bound(
      A.m_credits.begin(), A.m_credits.end(), C,
      [](const Credit &X, const Credit &Y) { return X.m_until < Y.m_until; });
  A.m_credits.insert(Place, C);
}

Amount QuotaAgent::available(const Account &A) {
  Amount Sum = 0;
  for (const Credit &C : A.m_credits)
    Sum += C.m_amount;
  return Sum;
}

void QuotaAgent::dropExpired(Account &A, BootTime Now) const {
  const auto First =
      std::find_if(A.m_credits.begin(), A.m_credits.end(),
                   [Now](const Credit &C) { return C.m_until > Now; });
  A.m_credits.erase(A.m_credits.begin(), First);
}

/// Charges Cost against the credits and enters in T what was taken.
bool QuotaAgent::takeCredit(Account &A, Amount Cost, Ticket &T, BootTime Now) {
  dropExpired(A, Now);
  if (available(A) < Cost)
    return false;
  Amount Left = Cost;
  while (Left > 0) {
    Credit &C = A.m_credits.front();
    Credit Part = C;
    Part.m_amount = std::min(Left, C.m_amount);
    T.m_parts.push_back(Part);
    Left -= Part.m_amount;
    C.m_amount -= Part.m_amount;
    if (C.m_amount == 0)
      A.m_credits.erase(A.m_credits.begin());
  }
  return true;
}

// --- Base share ------------------------------------------------------------

/// Notices a change of the number of agents, after which base shares start
/// empty.
void QuotaAgent::countAgents(const AgentList &List, BootTime Now) {
  const bool StatedCounts =
      m_ownerAgents > 0 && Now - m_ownerAgentsAt < ReservePeriod;
  const unsigned Agents =
      std::max({1U, List.count(Now), StatedCounts ? m_ownerAgents : 0});
  m_agentsCountedAt = Now;
  if (Agents == m_baseAgents)
    return;
  m_baseAgents = Agents;
  m_baseChangedAt = Now;
}

/// Since when the base share has been filled; nothing if it must not be used.
std::optional<BootTime> QuotaAgent::baseSince(const AgentList &List,
                                              BootTime Now) {
  countAgents(List, Now);
  const BootTime Since =
      std::max({m_promisedUntil, m_startedAt + m_joinDelay, m_baseChangedAt});
  if (!List.known() || !m_listConfirmedAt || Now < Since ||
      Now - *m_listConfirmedAt >= BaseShareLimit)
    return std::nullopt;
  return Since;
}

/// Charges Cost against the base share. Sets Wait if there is no room.
bool QuotaAgent::takeBase(Account &A, Amount Cost, Ticket &T,
                          const AgentList &List, const QuotaLimit &Limit,
                          Milliseconds &Wait, BootTime Now) {
  Wait = UndecidedRetry;
  const std::optional<BootTime> Since = baseSince(List, Now);
  if (!Since)
    return false;
  if (A.m_baseFilledAt < *Since) {
    A.m_base = QuotaBucket();
    A.m_baseFilledAt = *Since;
  }
  const double Share = 1.0 / m_baseAgents;
  const double Size = bucketSize(Limit, m_bounds) * Share;
  const double Rate = Limit.m_ratePerSecond * Share;
  A.m_base.fill(Rate * toSeconds(Now - A.m_baseFilledAt), Size);
  A.m_baseFilledAt = Now;
  const auto Need = static_cast<double>(Cost);
  if (!A.m_base.hasRoom(Need, Size, debtLimit(Limit, m_bounds, Share))) {
    const double Missing = A.m_base.missing(Need, Size);
    if (Missing > 0)
      Wait = Milliseconds(std::lround(std::ceil(Missing / Rate * 1000)));
    return false;
  }
  A.m_base.take(Need);
  T.m_parts.push_back({Cost, Now, Now});
  return true;
}

/// Decides without the owner. A lack of room in the base share does not show
/// that the account is over its limit, so the request is never denied.
QuotaReply QuotaAgent::decideByBase(const QuotaTicket &Id, Account &A,
                                    Amount Cost, const AgentList &List,
                                    const QuotaLimit &Limit, BootTime Now) {
  Milliseconds Wait{0};
  const bool Granted = takeBase(A, Cost, m_tickets[Id], List, Limit, Wait, Now);
  return decide(Id, Granted ? QuotaStatus::Granted : QuotaStatus::Unavailable,
                Wait, Now);
}

// --- Requests of VMs -------------------------------------------------------

QuotaReply QuotaAgent::reply(const QuotaTicket &Id, const Ticket &T,
                             BootTime Now) const {
  QuotaReply Out;
  Out.m_ticket = Id;
  Out.m_agent = m_name;
  Out.m_status = T.m_status;
  if (T.m_status == QuotaStatus::Denied ||
      T.m_status == QuotaStatus::Unavailable)
    Out.m_wait = until(T.m_deniedUntil, Now);
  return Out;
}

QuotaReply QuotaAgent::decide(const QuotaTicket &Id, QuotaStatus Status,
                              Milliseconds Wait, BootTime Now) {
  Ticket &T = m_tickets[Id];
  T.m_status = Status;
  T.m_deniedUntil = Now + Wait;
  T.m_chargedAt = Now;
  return reply(Id, T, Now);
}

QuotaReply QuotaAgent::onRequest(const QuotaRequest &Request,
                                 const AgentList &List,
                                 const QuotaLimits &Limits, BootTime Now) {
  forgetTickets(Now);
  const QuotaTicket &Id = Request.m_ticket;
  const auto [Place, IsNew] = m_tickets.try_emplace(Id);
  Ticket &T = Place->second;
  if (!IsNew)
    return reply(Id, T, Now);
  m_ticketAges.emplace_back(Now, Id);
  T.m_account = Request.m_account;
  const QuotaLimit *Limit = Limits.find(Request.m_account);
  // The VM has a newer configuration, in which the account has a limit.
  if (!Limit || Limit->unlimited())
    return decide(Id, QuotaStatus::Granted, Milliseconds(0), Now);
  Account &A = m_accounts[Request.m_account];
  A.m_usedAt = Now;
  A.m_arrived += 1;
  A.m_arrivedCost += static_cast<double>(Request.m_cost);
  if (takeCredit(A, Request.m_cost, T, Now))
    return decide(Id, QuotaStatus::Granted, Milliseconds(0), Now);
  if (!inContact(Now))
    return decideByBase(Id, A, Request.m_cost, List, *Limit, Now);
  if (Now < A.m_roomAt && Request.m_cost >= A.m_deniedCost) {
    const double Size = bucketSize(*Limit, m_bounds);
    const double More =
        std::max(0.0, std::min(static_cast<double>(Request.m_cost), Size) -
                          static_cast<double>(A.m_deniedCost));
    const Duration Extra = fromSeconds(More / Limit->m_ratePerSecond);
    return decide(Id, A.m_denial, until(A.m_roomAt + Extra, Now), Now);
  }
  A.m_held.push_back({Id, Request.m_cost, Now, std::nullopt});
  ++m_held;
  m_urgent = true;
  return reply(Id, T, Now);
}

void QuotaAgent::onRefund(const QuotaRefund &Refund, const QuotaLimits &Limits,
                          BootTime Now) {
  const auto It = m_tickets.find(Refund.m_ticket);
  if (It == m_tickets.end() || It->second.m_status != QuotaStatus::Granted ||
      Now - It->second.m_chargedAt > RefundLimit)
    return;
  Ticket &T = It->second;
  T.m_status = QuotaStatus::Unavailable; // The ticket is used up.
  T.m_deniedUntil = Now + UndecidedRetry;
  const QuotaLimit *Limit = Limits.find(T.m_account);
  if (!Limit || Limit->unlimited())
    return;
  Account &A = m_accounts[T.m_account];
  for (Credit Part : std::exchange(T.m_parts, {})) {
    Part.m_until = Part.m_origin + refundLifetime(*Limit, m_bounds);
    if (Part.m_until > Now)
      addCredit(A, Part);
  }
}

void QuotaAgent::forgetTickets(BootTime Now) {
  while (!m_ticketAges.empty() &&
         Now - m_ticketAges.front().first >= TicketMemory) {
    m_tickets.erase(m_ticketAges.front().second);
    m_ticketAges.pop_front();
  }
}

void QuotaAgent::forgetAccounts(BootTime Now) {
  for (auto It = m_accounts.begin(); It != m_accounts.end();)
    It = Now - It->second.m_usedAt >= AccountMemory && It->second.m_held.empty()
             ? m_accounts.erase(It)
             : std::next(It);
}

// --- Requests to the owner -------------------------------------------------

/// What to ask for an account. Regular: also the credit that is expected to be
/// needed, and requests whose earlier ask may have been lost.
std::optional<CreditAsk> QuotaAgent::ask(const std::string &Name, Account &A,
                                         bool Regular, BootTime Now) {
  CreditAsk Out;
  Out.m_account = Name;
  for (Held &H : A.m_held) {
    const bool Known = H.m_askedAt && Now - *H.m_askedAt < BusyAskInterval;
    if (Known)
      continue;
    H.m_askedAt = Now;
    if (Out.m_least == 0)
      Out.m_least = H.m_cost;
    Out.m_want += H.m_cost;
  }
  dropExpired(A, Now);
  const Amount Available = available(A);
  if (Available < Out.m_least)
    Out.m_least -= Available;
  const double Requests = A.m_requestsPerSecond * toSeconds(PrefetchPeriod);
  const double Mean =
      A.m_requestsPerSecond > 0 ? A.m_costPerSecond / A.m_requestsPerSecond : 0;
  Out.m_unit = std::max<Amount>({1, static_cast<Amount>(std::llround(Mean)),
                                 Mean > 0 ? Amount{1} : Out.m_least});
  if (Regular && Requests >= MinPrefetchRequests) {
    const auto Expected =
        static_cast<Amount>(A.m_costPerSecond * toSeconds(PrefetchPeriod));
    Out.m_want += Expected > Available ? Expected - Available : 0;
  }
  if (Out.m_least == 0)
    Out.m_least = Out.m_unit;
  if (Out.m_want == 0)
    return std::nullopt;
  Out.m_want = std::max(Out.m_want, Out.m_least);
  return Out;
}

/// Whether requests are held or have arrived since the last regular request.
bool QuotaAgent::isBusy() const {
  return m_held > 0 ||
         std::any_of(m_accounts.begin(), m_accounts.end(),
                     [](const auto &Row) { return Row.second.m_arrived > 0; });
}

std::optional<CreditRequest> QuotaAgent::nextRequest(const AgentList &List,
                                                     const QuotaLimits &Limits,
                                                     BootTime Now) {
  const Duration Elapsed = Now - m_lastRegularAsk;
  const bool Regular =
      Elapsed >= BusyAskInterval && (Elapsed >= IdleAskInterval || isBusy());
  if (!Regular && !(m_urgent && Now - m_lastAsk >= MinAskInterval))
    return std::nullopt;
  CreditRequest Out;
  if (Regular) {
    forgetAccounts(Now);
    const double Seconds = std::clamp(toSeconds(Elapsed), 0.01, 1.0);
    for (auto &[Name, A] : m_accounts) {
      A.m_requestsPerSecond +=
          ArrivalWeight * (A.m_arrived / Seconds - A.m_requestsPerSecond);
      A.m_costPerSecond +=
          ArrivalWeight * (A.m_arrivedCost / Seconds - A.m_costPerSecond);
      A.m_arrived = A.m_arrivedCost = 0;
    }
    m_lastRegularAsk = Now;
  }
  for (auto &[Name, A] : m_accounts) {
    if (!Regular && A.m_held.empty())
      continue;
    if (Out.m_asks.size() >= MaxAsks)
      break;
    if (std::optional<CreditAsk> One = ask(Name, A, Regular, Now))
      Out.m_asks.push_back(std::move(*One));
  }
  m_urgent = Out.m_asks.size() >= MaxAsks;
  m_lastAsk = Now;
  Out.m_agent = m_name;
  Out.m_start = m_start;
  Out.m_number = ++m_lastNumber;
  Out.m_version = Limits.version();
  Out.m_agents = List.count(Now);
  Out.m_token = m_token;
  Out.m_stamp = m_stamp;
  m_asked[Out.m_number] = Now;
  while (!m_asked.empty() && Now - m_asked.begin()->second >= PromisePeriod)
    m_asked.erase(m_asked.begin());
  return Out;
}

/// Grants what the credits cover, in the order of arrival.
void QuotaAgent::serveHeld(Account &A, BootTime Now,
                           std::vector<QuotaReply> &Out) {
  for (auto It = A.m_held.begin(); It != A.m_held.end();) {
    Ticket &T = m_tickets[It->m_ticket];
    if (!takeCredit(A, It->m_cost, T, Now)) {
      ++It;
      continue;
    }
    Out.push_back(
        decide(It->m_ticket, QuotaStatus::Granted, Milliseconds(0), Now));
    It = A.m_held.erase(It);
    --m_held;
  }
}

/// Refuses the held requests that the owner had no room for.
void QuotaAgent::denyHeld(Account &A, const CreditGrant &Grant, bool Settled,
                          BootTime SentAt, BootTime Now,
                          std::vector<QuotaReply> &Out) {
  A.m_denial = Settled ? QuotaStatus::Denied : QuotaStatus::Unavailable;
  A.m_roomAt = Now + std::min<Duration>(Grant.m_wait, MaxDenialMemory);
  A.m_deniedCost = 0;
  for (auto It = A.m_held.begin(); It != A.m_held.end();) {
    if (!It->m_askedAt || *It->m_askedAt > SentAt) {
      ++It;
      continue;
    }
    if (A.m_deniedCost == 0 || It->m_cost < A.m_deniedCost)
      A.m_deniedCost = It->m_cost;
    Out.push_back(decide(It->m_ticket, A.m_denial, Grant.m_wait, Now));
    It = A.m_held.erase(It);
    --m_held;
  }
  if (A.m_deniedCost == 0)
    A.m_roomAt = BootTime{}; // Only credit ahead was asked for.
}

std::vector<QuotaReply> QuotaAgent::onReply(const CreditReply &Reply,
                                            const QuotaLimits &Limits,
                                            BootTime Now) {
  std::vector<QuotaReply> Out;
  const auto Asked = m_asked.find(Reply.m_number);
  if (Reply.m_start != m_start || Asked == m_asked.end())
    return Out;
  const BootTime SentAt = Asked->second;
  m_asked.erase(Asked);
  m_promisedUntil = std::max(m_promisedUntil, Now + PromisePeriod);
  if (std::tie(Reply.m_token, Reply.m_stamp) > std::tie(m_token, m_stamp)) {
    m_token = Reply.m_token;
    m_stamp = Reply.m_stamp;
    m_ownerAgents = Reply.m_agents;
    m_ownerAgentsAt = Now;
  }
  if (Now - SentAt >= CreditLifetime)
    return Out; // The requests that were held for it have been answered.
  for (const CreditGrant &G : Reply.m_grants) {
    const auto It = m_accounts.find(G.m_account);
    const QuotaLimit *Limit = Limits.find(G.m_account);
    if (It == m_accounts.end())
      continue;
    if (G.m_amount > 0)
      addCredit(It->second, {G.m_amount, SentAt, SentAt + CreditLifetime});
    serveHeld(It->second, Now, Out);
    if (G.m_wait > Milliseconds::zero() && Limit) {
      denyHeld(It->second, G, Reply.m_settled, SentAt, Now, Out);
      continue;
    }
    // The credit did not cover all of them, but the owner has more.
    for (Held &H : It->second.m_held) {
      if (H.m_askedAt && *H.m_askedAt <= SentAt)
        H.m_askedAt.reset();
      m_urgent = true;
    }
  }
  return Out;
}

std::vector<QuotaReply> QuotaAgent::expire(const AgentList &List,
                                           const QuotaLimits &Limits,
                                           BootTime Now) {
  std::vector<QuotaReply> Out;
  forgetTickets(Now);
  if (Now - m_agentsCountedAt >= BusyAskInterval)
    countAgents(List, Now);
  if (m_held == 0)
    return Out;
  for (auto &[Name, A] : m_accounts) {
    while (!A.m_held.empty() &&
           (Now - A.m_held.front().m_since >= MaxHold || !inContact(Now))) {
      const Held H = A.m_held.front();
      A.m_held.pop_front();
      --m_held;
      const QuotaLimit *Limit = Limits.find(Name);
      if (Limit && !Limit->unlimited() && !inContact(Now))
        Out.push_back(decideByBase(H.m_ticket, A, H.m_cost, List, *Limit, Now));
      else
        Out.push_back(
            decide(H.m_ticket, QuotaStatus::Unavailable, UndecidedRetry, Now));
    }
  }
  return Out;
}

} // namespace primroseworks::quota
