// Exchange of reports between gateways, as UDP datagrams. A report is state
// that replaces the sender's earlier one, so nothing is sent again, and no
// connection can fall silent.
#ifndef PRIMROSEWORKS_LIBGATEWAY_PEERS_H
#define PRIMROSEWORKS_LIBGATEWAY_PEERS_H

#include "libgateway/core.h"
#include "libgateway/peerreport.h"

#include <asio/awaitable.hpp>
#include <asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <string>

namespace primroseworks::gateway {

/// A gateway as its key in the store describes it.
struct Member {
  std::string m_name;
  std::string m_address; ///< IP; the port is the same for all.
  std::string m_failureDomain;
};

/// Receivers of one report, at most. In a fleet of no more gateways each
/// reports to all others. In a larger one each reports to the leader, which
/// tells all of them the sums; while no sums come, each reports to the leader
/// and to the others in turn. So the bytes grow with the fleet's size and not
/// with its square.
inline constexpr std::size_t ReportReceivers = 10;
/// The leader repeats what an engine holds for this long after a change.
inline constexpr Milliseconds HoldingRepeat{2500};

/// Pause between two tries to place waiting requests because of reports.
inline constexpr Milliseconds PlacePause{10};
/// A crash is told for this long, so that a lost datagram does not hide it.
inline constexpr Milliseconds StrikeRepeat{2000};

class Peers {
public:
  explicit Peers(Core &Shared) : m_core(Shared), m_socket(Shared.m_io) {}
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
  }
  /// Sends a report to the receivers whose turn it is. LeaderToken: this VM's
  /// fencing token, 0 if it does not lead.
  void send(std::uint64_t LeaderToken, TimePoint Now);
  /// Sends a report to the leader alone.
  void sendToLeader(TimePoint Now);
  /// Counts this VM's demand without sending it.
  void noteOwn(std::uint64_t LeaderToken, TimePoint Now);
  /// Called when a peer's callers wait for adapters.
  void setOnWanted(std::function<void()> OnWanted) {
    m_onWanted = std::move(OnWanted);
  }
  std::uint64_t bytesSent() const { return m_bytesSent; }

private:
  PeerReport ownReport(std::uint64_t LeaderToken, TimePoint Now);
  void apply(const PeerReport &Report, TimePoint Now);
  void noteReported(const PeerReport &Report);
  void applyFleetLoads(const PeerReport &Report, TimePoint Now);
  std::vector<PeerEndpointLoad> fleetLoads() const;
  std::vector<const Member *> receivers(bool IsLeader, TimePoint Now);
  bool isLarge() const { return m_members.size() > ReportReceivers; }
  bool hasFleetLoads(TimePoint Now) const;
  void sendBytes(const std::string &Bytes, const Member &To);

  Core &m_core;
  asio::ip::udp::socket m_socket;
  std::vector<Member> m_members; ///< Without this one.
  std::string m_leader;
  std::uint64_t m_leaderToken = 0; ///< Of the newest leader heard of.
  std::size_t m_turn = 0;          ///< Next of m_members to get a report.
  TimePoint m_placedAt{};          ///< When a report last placed requests.
  TimePoint m_fleetLoadsAt{};      ///< When the leader last told the sums.
  /// Own loads as the leader was last told.
  std::map<std::string, EndpointLoad> m_reported;
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
