// Exchange of reports between gateways, as UDP datagrams. A report is state
// that replaces the sender's earlier one, so nothing is sent again, and no
// connection can fall silent.
#ifndef PRIMROSEWORKS_LIBGATEWAY_PEERS_H
#define PRIMROSEWORKS_LIBGATEWAY_PEERS_H

#include "libgateway/core.h"
#include "libgateway/peeraudience.h"
#include "libgateway/peerreport.h"

#include <asio/awaitable.hpp>
#include <asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace primroseworks::gateway {

/// The leader repeats what an engine holds for this long after a change.
inline constexpr Milliseconds HoldingRepeat{2500};

/// Changes of loads within this time share one datagram.
inline constexpr Milliseconds LoadNoticePause{4};
/// Changes of what engines hold within this time share one datagram, in a small
/// and in a large fleet.
inline constexpr Milliseconds AnnouncePause{3};
inline constexpr Milliseconds LargeAnnouncePause{60};
/// Pause between two tries to place waiting requests because of reports.
inline constexpr Milliseconds PlacePause{10};
/// A crash is told for this long, so that a lost datagram does not hide it.
inline constexpr Milliseconds StrikeRepeat{2000};

class Peers {
public:
  explicit Peers(Core &Shared);
  /// Binds the port. Fails with Unavailable if it is taken.
  Result<void> open();
  /// Receives reports until the socket is closed.
  asio::awaitable<void> receive();
  void setMembers(std::vector<Member> Members);
  /// Name holds the leader's key since the store's revision Token; an empty
  /// Name: nobody did at that revision.
  void setLeader(const std::string &Name, std::uint64_t Token);
  /// What an engine holds has changed by an order of this VM.
  void onHoldingChanged(const std::string &Endpoint, TimePoint Now) {
    m_changed[Endpoint] = Now;
    m_unannounced.insert(Endpoint);
  }
  /// Tells what engines hold as far as that has changed since it was last told.
  void announceHoldings(std::uint64_t LeaderToken, TimePoint Now);
  /// Time for which changes are gathered before they are announced.
  Duration announceDelay() const {
    return m_audience.isLarge() ? LargeAnnouncePause : AnnouncePause;
  }
  /// Sends a report to the receivers whose turn it is. LeaderToken: this VM's
  /// fencing token, 0 if it does not lead.
  void send(std::uint64_t LeaderToken, TimePoint Now);
  /// Sends a report to the leader alone.
  void sendToLeader(TimePoint Now);
  /// Counts this VM's demand without sending it.
  void recordLocalDemand(std::uint64_t LeaderToken, TimePoint Now);
  /// Called when a peer's callers wait for adapters.
  void setOnPeerAdapterWanted(std::function<void()> OnWanted) {
    m_onWanted = std::move(OnWanted);
  }
  std::uint64_t bytesSent() const { return m_bytesSent; }

private:
  PeerReport ownReport(std::uint64_t LeaderToken, TimePoint Now);
  void apply(const PeerReport &Report, TimePoint Now);
  void onLoadChanged(const std::string &Endpoint);
  void sendChangedLoads();
  void applyLoads(const PeerReport &Report, TimePoint Now);
  void applyDomainLoads(const PeerReport &Report, TimePoint Now);
  std::map<std::string, std::vector<PeerEndpointLoad>> domainLoads() const;
  PeerReport emptyReport(std::uint64_t LeaderToken);
  PeerHolding holding(const Endpoint &E) const;
  bool hasSums(TimePoint Now) const;
  void sendBytes(const std::string &Bytes, const Member &To);
  void sendTo(const PeerReport &Report, const std::vector<const Member *> &To);
  Core &m_core;
  asio::ip::udp::socket m_socket;
  PeerAudience m_audience;
  std::string m_leader;
  std::uint64_t m_leaderToken = 0; ///< Of the newest leader heard of.
  int m_reportsToSum = 0;          ///< Until this leader tells the sums.
  TimePoint m_placedAt{};          ///< When a report last placed requests.
  TimePoint m_sumsAt{};            ///< When the leader last told the sums.
  /// Own loads as the leader was last told.
  std::map<std::string, EndpointLoad> m_reported;
  std::set<std::string> m_changedLoads; ///< Endpoints, not told yet.
  asio::steady_timer m_loadNotice;
  bool m_loadNoticeDue = false;
  std::set<std::string> m_unannounced; ///< Engines whose holdings changed.
  std::uint64_t m_start = 0;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_bytesSent = 0;
  struct Position {
    std::uint64_t m_start = 0;
    std::uint64_t m_sequence = 0;
  };
  std::map<std::string, Position> m_positions; ///< Newest report by sender.
  std::map<std::string, TimePoint>
      m_changed; ///< Holdings to tell, by endpoint.
  std::function<void()> m_onWanted;
  struct RecentStrike {
    PeerStrike m_strike;
    TimePoint m_at{};
  };
  std::vector<RecentStrike> m_strikes; ///< Told until StrikeRepeat is over.
};

} // namespace primroseworks::gateway

#endif
