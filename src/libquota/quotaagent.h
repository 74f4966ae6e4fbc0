// An agent, which charges the requests of the VMs of its failure domain against
// credits of the owner, or against its base share while it has no contact with
// an owner. No I/O.
//
// Load pattern: up to some hundred requests a second of up to a thousand
// accounts, most of which send less than one request a second. A request of
// such an account finds no credit, so it is held until the owner has answered.
#ifndef PRIMROSEWORKS_LIBQUOTA_QUOTAAGENT_H
#define PRIMROSEWORKS_LIBQUOTA_QUOTAAGENT_H

#include "libquota/agentlist.h"
#include "libquota/quotabucket.h"
#include "libquota/quotatypes.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace primroseworks::quota {

/// Interval between the requests to the owner, with and without demand. With
/// the longer one a promise is still renewed twice within its time.
inline constexpr Milliseconds BusyAskInterval{100};
inline constexpr Milliseconds IdleAskInterval{200};
/// Shortest interval between requests to the owner for requests that are held.
inline constexpr Milliseconds MinAskInterval{20};
/// A request is held for the owner's answer this long at most.
inline constexpr Milliseconds MaxHold{200};
/// Credit is obtained ahead for this time, if so many requests are expected in
/// it; with fewer, the share that expires unused would be too large.
inline constexpr Milliseconds PrefetchPeriod{200};
inline constexpr double MinPrefetchRequests = 5;
/// Tickets are remembered for this long, to charge repeated requests once.
inline constexpr Milliseconds TicketMemory{1000};
/// The owner is asked again after this time although it stated a longer wait.
inline constexpr Milliseconds MaxDenialMemory{1000};
/// An agent uses no base share this soon after its start: the others must know
/// it, and promises of an earlier process of its VM must have ended.
inline constexpr Milliseconds JoinDelay{5000};
/// The same for an agent that the others have counted since before its start,
/// as after a restart: promises of the earlier process must have ended.
inline constexpr Milliseconds RejoinDelay = PromisePeriod + Milliseconds(300);
/// Retry-After of a request that no agent could decide on.
inline constexpr Milliseconds UndecidedRetry{200};
/// Maximum number of accounts in one request to the owner, so that it fits in a
/// datagram.
inline constexpr std::size_t MaxAsks = 150;

class QuotaAgent {
public:
  /// Start identifies the process of this VM.
  QuotaAgent(std::string Name, std::uint64_t Start, QuotaBounds Bounds,
             BootTime Now);
  /// The others counted this VM as an agent before the process started.
  void onRejoined() { m_joinDelay = RejoinDelay; }
  /// The store confirmed the list of agents with a call sent at SentAt.
  void onListConfirmed(BootTime SentAt);
  /// Returns the answer to a VM's request. More may follow if it is Waiting.
  QuotaReply onRequest(const QuotaRequest &Request, const AgentList &List,
                       const QuotaLimits &Limits, BootTime Now);
  void onRefund(const QuotaRefund &Refund, const QuotaLimits &Limits,
                BootTime Now);
  /// Returns the request that is due to the owner now, if any.
  std::optional<CreditRequest>
  nextRequest(const AgentList &List, const QuotaLimits &Limits, BootTime Now);
  /// Returns answers to requests that were held.
  std::vector<QuotaReply> onReply(const CreditReply &Reply,
                                  const QuotaLimits &Limits, BootTime Now);
  /// Returns answers to requests that were held for too long.
  std::vector<QuotaReply> expire(const AgentList &List,
                                 const QuotaLimits &Limits, BootTime Now);
  /// Whether a promise not to use the base share is in force.
  bool inContact(BootTime Now) const { return Now < m_promisedUntil; }
  std::size_t heldCount() const { return m_held; }
  std::size_t accountCount() const { return m_accounts.size(); }

private:
  /// Part of a credit.
  struct Credit {
    Amount m_amount = 0;
    BootTime m_origin{}; ///< When it was asked for, or taken from the base.
    BootTime m_until{};
  };
  struct Held {
    QuotaTicket m_ticket;
    Amount m_cost = 0;
    BootTime m_since{};
    std::optional<BootTime> m_askedAt;
  };
  struct Account {
    std::vector<Credit> m_credits; ///< The one that expires first is first.
    std::deque<Held> m_held;
    QuotaBucket m_base;
    BootTime m_baseFilledAt{};
    /// The owner has no room for m_deniedCost until then.
    BootTime m_roomAt{};
    Amount m_deniedCost = 0;
    QuotaStatus m_denial = QuotaStatus::Denied;
    /// Arrivals since the last regular request to the owner, and their rates.
    double m_arrived = 0;
    double m_arrivedCost = 0;
    double m_requestsPerSecond = 0;
    double m_costPerSecond = 0;
    BootTime m_usedAt{};
  };
  struct Ticket {
    std::string m_account;
    QuotaStatus m_status = QuotaStatus::Waiting;
    BootTime m_deniedUntil{};
    BootTime m_chargedAt{};
    std::vector<Credit> m_parts; ///< Of a granted request.
  };
  QuotaReply reply(const QuotaTicket &Id, const Ticket &T, BootTime Now) const;
  QuotaReply decide(const QuotaTicket &Id, QuotaStatus Status,
                    Milliseconds Wait, BootTime Now);
  bool takeCredit(Account &A, Amount Cost, Ticket &T, BootTime Now);
  bool takeBase(Account &A, Amount Cost, Ticket &T, const AgentList &List,
                const QuotaLimit &Limit, Milliseconds &Wait, BootTime Now);
  void countAgents(const AgentList &List, BootTime Now);
  std::optional<BootTime> baseSince(const AgentList &List, BootTime Now);
  QuotaReply decideByBase(const QuotaTicket &Id, Account &A, Amount Cost,
                          const AgentList &List, const QuotaLimit &Limit,
                          BootTime Now);
  static void addCredit(Account &A, Credit C);
  static Amount available(const Account &A);
  void dropExpired(Account &A, BootTime Now) const;
  std::optional<CreditAsk> ask(const std::string &Name, Account &A,
                               bool Regular, BootTime Now);
  void serveHeld(Account &A, BootTime Now, std::vector<QuotaReply> &Out);
  void denyHeld(Account &A, const CreditGrant &Grant, bool Settled,
                BootTime SentAt, BootTime Now, std::vector<QuotaReply> &Out);
  bool isBusy() const;
  void forgetTickets(BootTime Now);
  void forgetAccounts(BootTime Now);

  std::string m_name;
  std::uint64_t m_start;
  QuotaBounds m_bounds;
  BootTime m_startedAt;
  Duration m_joinDelay = JoinDelay;
  std::optional<BootTime> m_listConfirmedAt;
  BootTime m_promisedUntil{};
  /// Of the owner's newest answer.
  std::uint64_t m_token = 0;
  std::int64_t m_stamp = 0;
  unsigned m_ownerAgents = 0; ///< Agents that the owner stated.
  BootTime m_ownerAgentsAt{};
  unsigned m_baseAgents = 0; ///< Number that the base share is a part of.
  BootTime m_baseChangedAt{};
  BootTime m_agentsCountedAt{};
  std::uint64_t m_lastNumber = 0;
  std::map<std::uint64_t, BootTime> m_asked; ///< When, by number; unanswered.
  BootTime m_lastAsk{};
  BootTime m_lastRegularAsk{};
  std::size_t m_held = 0;
  bool m_urgent = false; ///< A request is held that the owner does not know.
  std::map<std::string, Account> m_accounts;
  std::map<QuotaTicket, Ticket> m_tickets;
  std::deque<std::pair<BootTime, QuotaTicket>> m_ticketAges;
};

} // namespace primroseworks::quota

#endif
