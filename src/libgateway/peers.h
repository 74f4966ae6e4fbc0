// Exchange of reports between gateways as UDP datagrams. A report is state that
// replaces the sender's earlier one, so there are no retransmissions, and no
// connections that could stall unnoticed.
#ifndef PRIMROSEWORKS_LIBGATEWAY_PEERS_H
#define PRIMROSEWORKS_LIBGATEWAY_PEERS_H

#include "libgateway/core.h"
#include "libgateway/peeraudience.h"
#include "libgateway/peerreport.h"
#include "libgateway/quotamessage.h"
#include "libgateway/schedulingmessage.h"
#include "libgateway/suspectexchange.h"

#include <asio/awaitable.hpp>
#include <asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace primroseworks::gateway {

/// The leader repeats an engine's holdings for this long after a change.
inline constexpr Milliseconds HoldingRepeatPeriod{2500};

/// Load changes within this time are sent in one datagram.
inline constexpr Milliseconds LoadUpdateDelay{4};
/// Changes of engines' holdings within this time are sent in one datagram.
inline constexpr Milliseconds AnnounceDelay{3};
/// Minimum interval between two attempts to dispatch waiting requests that are
/// triggered by load reports.
inline constexpr Milliseconds MinDispatchInterval{10};
/// An overrun of an endpoint is repeated in reports for this long. One report
/// may be lost.
inline constexpr Milliseconds OverrunRepeatPeriod{600};

class Peers {
public:
  explicit Peers(Core &Shared);
  /// Binds the UDP port. Fails with Unavailable if it cannot be bound, for
  /// example because it is in use.
  Result<void> open();
  /// Receives reports until the socket is closed.
  asio::awaitable<void> receive();
  void setMembers(const std::vector<Member> &Members);
  /// Name has held the leader's key since store revision Token; an empty Name
  /// means that there was no leader at that revision.
  void setLeader(const std::string &Name, std::uint64_t Token);
  /// An order of this VM changed an engine's holdings.
  void onHoldingChanged(const std::string &Endpoint, TimePoint Now) {
    m_changedHoldings[Endpoint] = Now;
    m_unannouncedHoldings.insert(Endpoint);
  }
  /// Sends the engines' holdings that changed since the last announcement. In a
  /// small fleet this is a regular report.
  void announceHoldings(std::uint64_t LeaderToken, TimePoint Now);
  /// Sends the total loads to the gateways that depend on this coordinator.
  void sendFleetLoads(TimePoint Now);
  /// Sends new strikes to the other gateways, in a large fleet to the
  /// coordinators.
  void sendStrikes(TimePoint Now);
  /// Sends a message to a gateway; does nothing if it is unknown.
  void sendMessage(const std::string &Name, const SchedulingMessage &Message);
  void sendQuotaMessage(const std::string &Name, const QuotaMessage &Message);
  /// Sets the receiver of quota messages.
  void setOnQuotaMessage(std::function<void(const QuotaMessage &)> OnMessage) {
    m_onQuotaMessage = std::move(OnMessage);
  }
  /// Name of the leader that was named last; empty if there is none.
  const std::string &leader() const { return m_leader; }
  /// The peers that this gateway asks when it starts: the coordinators of a
  /// large fleet, all other gateways of a small one.
  std::vector<const Member *> startPeers() const;
  void sendStartQuery();
  /// Sends store changes to the gateways that depend on this coordinator.
  void relay(const StoreRelay &Message);
  const PeerAudience &audience() const { return m_audience; }
  /// Start of this process as wall-clock ms; set by open().
  std::uint64_t start() const { return m_start; }
  /// Sets the receiver of scheduling messages.
  void setOnMessage(std::function<void(SchedulingMessage)> OnMessage) {
    m_onMessage = std::move(OnMessage);
  }
  /// Sends a report to its current receivers. LeaderToken: this VM's fencing
  /// token, 0 if it is not the leader.
  void send(std::uint64_t LeaderToken, TimePoint Now);
  /// Sends a report to the leader only.
  void sendToLeader(TimePoint Now);
  /// Adds this VM's demand to the fleet demand without sending a report.
  void recordLocalDemand(std::uint64_t LeaderToken, TimePoint Now);
  /// Sets the callback for reports of peers whose callers wait for adapters.
  void setOnPeerAdapterWanted(std::function<void()> OnPeerAdapterWanted) {
    m_onPeerAdapterWanted = std::move(OnPeerAdapterWanted);
  }
  std::uint64_t bytesSent() const { return m_bytesSent; }

private:
  std::size_t indexAmong(const std::vector<Member> &Members) const;
  PeerReport localReport(std::uint64_t LeaderToken, TimePoint Now);
  /// Returns false for a report that a newer one of its sender has replaced.
  bool apply(const PeerReport &Report, TimePoint Now);
  void onLoadChanged(const std::string &Endpoint);
  void sendChangedLoads();
  void applyLoads(const PeerReport &Report, TimePoint Now);
  void applyFleetLoads(const PeerReport &Report, TimePoint Now);
  void onReportBytes(const std::string &Bytes, const std::string &From);
  void onMessageBytes(const std::string &Bytes, const std::string &From);
  void onQuotaBytes(const std::string &Bytes, const std::string &From);
  void answerStart(const StartQuery &Query, const std::string &From);
  void onStartAnswer(const PeerReport &Report, TimePoint Now);
  PeerReport emptyReport(std::uint64_t LeaderToken);
  PeerHolding holding(const Endpoint &E) const;
  void repeatSuspects(TimePoint Now);
  void applyStrikes(const PeerReport &Report, TimePoint Now);
  std::vector<PeerEndpointLoad> ownLoads() const;
  void sendBytes(const std::string &Bytes, const Member &To);
  void sendTo(const PeerReport &Report, const std::vector<const Member *> &To);
  Core &m_core;
  asio::ip::udp::socket m_socket;
  PeerAudience m_audience;
  std::string m_leader;
  std::uint64_t m_leaderToken = 0; ///< Of the most recent known leader.
  TimePoint m_dispatchedAt{};      ///< Last dispatch triggered by a report.
  bool m_sentLoads = false;        ///< The last regular report contained loads.
  std::set<std::string> m_changedLoads; ///< Endpoints with unsent load changes.
  asio::steady_timer m_loadUpdateTimer;
  bool m_loadUpdatePending = false;
  std::set<std::string>
      m_unannouncedHoldings; ///< Engines with unsent changes of holdings.
  std::uint64_t m_start = 0;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_bytesSent = 0;
  struct ReportPosition {
    std::uint64_t m_start = 0;
    std::uint64_t m_sequence = 0;
  };
  std::map<std::string, ReportPosition>
      m_reportPositions; ///< Newest report of each sender.
  std::map<std::string, TimePoint>
      m_changedHoldings; ///< Time of the last change, by endpoint; repeated for
                         ///< HoldingRepeatPeriod.
  std::function<void()> m_onPeerAdapterWanted;
  SuspectExchange m_suspects;
  std::function<void(SchedulingMessage)> m_onMessage;
  std::function<void(const QuotaMessage &)> m_onQuotaMessage;
};

} // namespace primroseworks::gateway

#endif
