// Charges the requests of this VM at the agents of the quotas.
//
// Load pattern: one datagram and its answer per request of an account with a
// limit, in most cases to an agent in the same failure domain.
#ifndef PRIMROSEWORKS_LIBGATEWAY_QUOTACLIENT_H
#define PRIMROSEWORKS_LIBGATEWAY_QUOTACLIENT_H

#include "libgateway/quotaservice.h"
#include "libquota/quotacharge.h"

#include <asio/awaitable.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace primroseworks::gateway {

/// A request's charge, and what it led to.
struct QuotaCharged {
  quota::QuotaTicket m_ticket;
  quota::ChargeResult m_result;
  BootTime m_decidedAt{};
};

class QuotaClient {
public:
  QuotaClient(Core &Shared, const PeerAudience &Audience, QuotaLinks Links);
  QuotaService &service() { return m_service; }
  void setStart(std::uint64_t Start, BootTime Now);
  /// Limit of an account; null if it has none.
  const QuotaLimit *limit(const std::string &Account) const;
  /// Charges a request. Returns within ChargeLimit, as measured by the steady
  /// clock.
  asio::awaitable<QuotaCharged> charge(std::string Account, quota::Amount Cost);
  /// Reports that a request whose charge was granted did not run and never
  /// will. Its cost is refunded if the charge is recent enough.
  void refund(const QuotaCharged &Charged, BootTime Now);
  void onMessage(const QuotaMessage &Message, BootTime Now);
  /// Runs the agent's periodic work.
  asio::awaitable<void> run();

private:
  struct Pending {
    Pending(quota::QuotaCharge Charge, asio::io_context &Io)
        : m_charge(std::move(Charge)), m_timer(Io) {}
    quota::QuotaCharge m_charge;
    asio::steady_timer m_timer; ///< Cancelled when an answer arrives.
    BootTime m_wakeAt{};
    std::optional<quota::ChargeResult> m_result;
  };
  using PendingPtr = std::shared_ptr<Pending>;
  std::vector<std::string> agentsFor(const std::string &Account) const;
  void apply(const PendingPtr &P, const quota::ChargeStep &Step, BootTime Now);
  void onReply(const quota::QuotaReply &Reply, BootTime Now);

  Core &m_core;
  const PeerAudience &m_audience;
  QuotaLinks m_links;
  QuotaService m_service;
  std::string m_self;
  std::uint64_t m_start = 0;
  std::uint64_t m_lastNumber = 0;
  std::map<std::uint64_t, PendingPtr> m_pending; ///< By ticket number.
};

} // namespace primroseworks::gateway

#endif
