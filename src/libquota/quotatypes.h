// Messages and constants of the quotas over all VMs. VMs charge requests at an
// agent, and agents obtain credits from the owner of the buckets.
#ifndef PRIMROSEWORKS_LIBQUOTA_QUOTATYPES_H
#define PRIMROSEWORKS_LIBQUOTA_QUOTATYPES_H

#include "libaccounts/account.h"
#include "libbase/bootclock.h"
#include "primroseworks/names.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace primroseworks::quota {

/// In the unit of the account's limit: requests or tokens.
using Amount = std::uint64_t;

/// A credit expires this long after its request was sent.
inline constexpr Milliseconds CreditLifetime{400};
/// The cost of a request that did not run is refunded within this time of the
/// charge.
inline constexpr Milliseconds RefundLimit{300};
/// A VM uses a grant at most this long after it asked first.
inline constexpr Milliseconds ChargeLimit{300};
/// An agent does not use its base share until this long after the owner's last
/// answer.
inline constexpr Milliseconds PromisePeriod{700};
/// The owner counts a promise as in force for this much less, for differences
/// between the clocks' rates.
inline constexpr Milliseconds PromiseMargin{200};

/// Bound on the cost of an account's requests in each sliding window.
struct QuotaBounds {
  Duration m_window = Seconds(8);
  double m_over = 0.1;     ///< Share of rate x window + burst.
  double m_slack = 11'000; ///< In the unit of the limit.
};

/// Looks up the limits of the configuration in force.
class QuotaLimits {
public:
  virtual ~QuotaLimits() = default;
  /// Returns null if the account has no limit or is unknown.
  virtual const QuotaLimit *find(const std::string &Account) const = 0;
  /// Version of the configuration.
  virtual std::uint64_t version() const = 0;
  /// Whether any account has a limit.
  virtual bool any() const = 0;
};

/// Identifies a charge, so that an agent charges a repeated request once.
struct QuotaTicket {
  std::string m_sender;       ///< Name of the VM.
  std::uint64_t m_start = 0;  ///< Start of its process.
  std::uint64_t m_number = 0; ///< Unique within the process.
  bool operator<(const QuotaTicket &O) const {
    return std::tie(m_sender, m_start, m_number) <
           std::tie(O.m_sender, O.m_start, O.m_number);
  }
};

/// Asks an agent to charge a request.
struct QuotaRequest {
  QuotaTicket m_ticket;
  std::string m_account;
  Amount m_cost = 0;
};

/// Tells the agent that a charged request did not run and never will.
struct QuotaRefund {
  QuotaTicket m_ticket;
};

enum class QuotaStatus {
  Granted,
  Denied,     ///< The account is over its limit.
  Waiting,    ///< The agent has asked the owner; its answer follows.
  Unavailable ///< The agent cannot decide.
};
inline constexpr NameTable<QuotaStatus, 4> QuotaStatusNames = {
    {{QuotaStatus::Granted, "granted"},
     {QuotaStatus::Denied, "denied"},
     {QuotaStatus::Waiting, "waiting"},
     {QuotaStatus::Unavailable, "unavailable"}}};

/// An agent's answer to a QuotaRequest.
struct QuotaReply {
  QuotaTicket m_ticket;
  std::string m_agent;
  QuotaStatus m_status = QuotaStatus::Unavailable;
  Milliseconds m_wait{0}; ///< Until there is room, if not granted.
};

/// What an agent needs for one account.
struct CreditAsk {
  std::string m_account;
  Amount m_least = 0; ///< A smaller credit is of no use.
  Amount m_unit = 1;  ///< Typical cost of a request beyond m_least.
  Amount m_want = 0;  ///< In total; at least m_least.
};

/// Asks the owner for credits. Its echo of an answer's stamp proves that the
/// agent has that answer, and so does not use its base share until
/// PromisePeriod after the stamp.
struct CreditRequest {
  std::string m_agent;
  std::uint64_t m_start = 0;  ///< Start of the agent's process.
  std::uint64_t m_number = 0; ///< Unique within the process.
  std::uint64_t m_version = 0;
  unsigned m_agents = 0;     ///< Agents that this one knows of.
  std::uint64_t m_token = 0; ///< Of the owner whose stamp follows; 0: none.
  std::int64_t m_stamp = 0;  ///< Of the owner's last answer.
  std::vector<CreditAsk> m_asks;
};

struct CreditGrant {
  std::string m_account;
  Amount m_amount = 0;
  Milliseconds m_wait{0}; ///< Until there is room for m_least if not granted.
};

/// The owner's answer to a CreditRequest.
struct CreditReply {
  std::string m_agent;
  std::uint64_t m_start = 0;
  std::uint64_t m_number = 0;
  std::uint64_t m_version = 0;
  unsigned m_agents = 0;     ///< Agents among which base shares are divided.
  std::uint64_t m_token = 0; ///< Fencing token of the owner.
  std::int64_t m_stamp = 0;  ///< Owner's BootClock in ms when it answered.
  /// Whether a lack of room shows that the account is over its limit. The
  /// buckets of a new owner are empty although the accounts are not.
  bool m_settled = false;
  std::vector<CreditGrant> m_grants; ///< In the order of the asks.
};

using QuotaMessage = std::variant<QuotaRequest, QuotaReply, QuotaRefund,
                                  CreditRequest, CreditReply>;

/// Longest time from the request for a credit to the use of its refund. All
/// that runs in a window was then taken from the buckets within the window and
/// over x (window + burst / rate) more.
inline Duration refundLifetime(const QuotaLimit &Limit,
                               const QuotaBounds &Bounds) {
  const double Seconds =
      Bounds.m_over *
      (toSeconds(Bounds.m_window) + Limit.m_burst / Limit.m_ratePerSecond);
  const Duration Longest = Duration(CreditLifetime) + RefundLimit;
  return std::min<Duration>(Longest,
                            fromSeconds(std::min(Seconds, 1e3)) - ChargeLimit);
}

/// Size of an account's bucket. With a smaller one, an account with a small
/// burst loses what flows in while its next request is on the way.
inline double bucketSize(const QuotaLimit &Limit, const QuotaBounds &Bounds) {
  const double Least =
      Limit.m_unit == QuotaUnit::Requests ? 1 : Bounds.m_slack / 2;
  return std::max(Limit.m_burst, Least);
}

/// Debt that one full bucket of a share of the limit may take on for a request
/// that costs more than its size. Debts of the owner and of agents that fell
/// back later can add up: twice this and the least size fit in the slack.
inline double debtLimit(const QuotaLimit &Limit, const QuotaBounds &Bounds,
                        double Share) {
  constexpr double DebtShare = 0.25;
  const double Debt = Share * Bounds.m_slack * DebtShare;
  return Limit.m_unit == QuotaUnit::Requests ? std::min(1.0, Debt) : Debt;
}

} // namespace primroseworks::quota

#endif
