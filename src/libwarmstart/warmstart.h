// Decides when a gateway that starts may report ready, and how much of the
// retry budget it takes for used. Does no I/O; the current time is an argument.
//
// Failure: a VM is killed and started again while endpoints fail. It has
// forgotten the retries that it made, the requests that end engines and the
// load that the others have placed. With an empty retry window it would use the
// budget of one window a second time.
#ifndef PRIMROSEWORKS_LIBWARMSTART_WARMSTART_H
#define PRIMROSEWORKS_LIBWARMSTART_WARMSTART_H

#include "primroseworks/error.h"
#include "primroseworks/names.h"
#include "primroseworks/time.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace primroseworks {

/// Used share of the retry budget of each service, from 0 to 1. A service that
/// is not listed has had no retries.
using RetryUses = std::map<std::string, double>;

/// Used share after a start at which no peer answers although the system has
/// run before: all VMs were killed. Windows use 0.75 of the budget at most, so
/// the retries before and after the kill stay within it together.
inline constexpr double UnknownRetryUse = 0.5;

/// State of a start.
enum class WarmStartState {
  Off,      ///< Peers are not asked.
  Unknown,  ///< The peers are not known yet.
  Asking,   ///< The peers have been asked; none has answered yet.
  Answered, ///< A peer has answered in time.
  NoPeers,  ///< There are none.
  TimedOut  ///< None answered in time.
};
inline constexpr NameTable<WarmStartState, 6> WarmStartStateNames = {
    {{WarmStartState::Off, "off"},
     {WarmStartState::Unknown, "unknown"},
     {WarmStartState::Asking, "asking"},
     {WarmStartState::Answered, "answered"},
     {WarmStartState::NoPeers, "no_peers"},
     {WarmStartState::TimedOut, "timed_out"}}};

struct WarmStartOptions {
  bool m_askPeers = false;
  /// The whole system starts for the first time.
  bool m_bootstrap = false;
  Milliseconds m_limit{300}; ///< From the question to the end of the wait.
};

class WarmStart {
public:
  /// Fails with InvalidArgument unless the limit is from 1 ms to 10 s.
  static Result<WarmStart> create(WarmStartOptions Options);

  WarmStartState state() const { return m_state; }
  /// Whether onPeersKnown() is still to be called.
  bool needsPeers() const { return m_state == WarmStartState::Unknown; }
  /// Whether a peer may be asked again.
  bool asking(TimePoint Now) const {
    return m_state == WarmStartState::Asking && Now < m_askedAt + m_limit;
  }
  /// Whether the gateway may report ready.
  bool ready(TimePoint Now) const;
  /// The peers to ask are known and are asked now. Later calls do nothing.
  void onPeersKnown(std::size_t Peers, TimePoint Now);
  /// A peer answered. Further answers count until the limit, one of each peer.
  /// Returns whether retryUse() may have changed.
  bool onAnswer(const std::string &Peer, const RetryUses &Uses, TimePoint Now);
  /// To be called at deadline().
  void onTime(TimePoint Now);
  /// When onPeersKnown() was called; the epoch before.
  TimePoint askedAt() const { return m_askedAt; }
  TimePoint deadline() const { return m_askedAt + m_limit; }
  /// Used share of the service's budget with which its window starts: the mean
  /// of the answers, or what holds without any.
  double retryUse(const std::string &Service) const;
  /// Largest of the services that the answers name, or what holds without any.
  double largestRetryUse() const;
  std::size_t answers() const { return m_answered.size(); }
  /// Time from the question to the first answer, or to the end of the wait.
  Duration waited() const { return m_decidedAt - m_askedAt; }

private:
  explicit WarmStart(WarmStartOptions Options);

  bool m_bootstrap;
  Duration m_limit;
  WarmStartState m_state;
  TimePoint m_askedAt{};
  TimePoint m_decidedAt{};          ///< When the state became a final one.
  std::set<std::string> m_answered; ///< Names; not empty only if Answered.
  RetryUses m_sums; ///< Of the answers; its mean is over m_answered.
};

} // namespace primroseworks

#endif
