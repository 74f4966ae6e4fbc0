// What gateways tell each other of crash suspects: strikes and clearances of
// requests and of parts of prompts.
#ifndef PRIMROSEWORKS_LIBGATEWAY_SUSPECTEXCHANGE_H
#define PRIMROSEWORKS_LIBGATEWAY_SUSPECTEXCHANGE_H

#include "libgateway/core.h"
#include "libgateway/peerreport.h"

#include <algorithm>
#include <vector>

namespace primroseworks::gateway {

/// A strike is repeated in reports for this long, so that a lost datagram does
/// not hide it.
inline constexpr Milliseconds StrikeRepeatPeriod{2000};
/// Interval at which the strikes of suspects that compete or are refused are
/// told again, for gateways that were away or start later.
inline constexpr Milliseconds SuspectRepeatInterval{1000};
/// Most strikes of one sort that are kept for repetition.
inline constexpr std::size_t RecentStrikesMax = 256;

inline std::uint64_t suspectOf(const PeerStrike &S) { return S.m_fingerprint; }
inline std::uint64_t suspectOf(const PartStrike &S) { return S.m_part; }
inline bool isSame(const PeerStrike &A, const PeerStrike &B) {
  return A.m_fingerprint == B.m_fingerprint && A.m_crash == B.m_crash;
}
inline bool isSame(const PartStrike &A, const PartStrike &B) {
  return A.m_part == B.m_part && A.m_crash == B.m_crash &&
         A.m_request == B.m_request;
}

/// Strikes and clearances that are repeated for StrikeRepeatPeriod.
template <class T> class RecentStrikes {
public:
  /// Adds a strike, or renews one that is there.
  void add(const T &S, TimePoint Now) {
    const auto Known =
        std::find_if(m_entries.begin(), m_entries.end(),
                     [&S](const Entry &E) { return isSame(E.m_strike, S); });
    if (Known != m_entries.end())
      Known->m_at = Now;
    else if (m_entries.size() < RecentStrikesMax)
      m_entries.push_back({S, Now});
  }
  /// Ends the repetition of a clearance, which would clear newer strikes.
  void dropClear(std::uint64_t Suspect) {
    drop([Suspect](const Entry &E) {
      return E.m_strike.m_crash == 0 && suspectOf(E.m_strike) == Suspect;
    });
  }
  /// Ends the repetition of strikes that were cleared.
  void dropStrikes(std::uint64_t Suspect) {
    drop([Suspect](const Entry &E) {
      return E.m_strike.m_crash != 0 && suspectOf(E.m_strike) == Suspect;
    });
  }
  void dropOld(TimePoint Now) {
    drop([Now](const Entry &E) { return Now - E.m_at > StrikeRepeatPeriod; });
  }
  template <class Visitor> void visit(Visitor V) const {
    for (const Entry &E : m_entries)
      V(E.m_strike);
  }

private:
  struct Entry {
    T m_strike;
    TimePoint m_at{};
  };
  template <class Predicate> void drop(Predicate P) {
    m_entries.erase(std::remove_if(m_entries.begin(), m_entries.end(), P),
                    m_entries.end());
  }
  std::vector<Entry> m_entries;
};

/// The suspects' part of the reports of one gateway.
class SuspectExchange {
public:
  explicit SuspectExchange(Core &Shared) : m_core(Shared) {}
  /// Takes the changes that this VM has seen since the last call.
  void collect(TimePoint Now);
  /// Adds this VM's recent changes to a report.
  void addOwn(PeerReport &Report, TimePoint Now) const;
  /// Adds those of its peers, which a coordinator passes on to its dependents.
  void addPeers(PeerReport &Report, TimePoint Now);
  /// Adds, once per SuspectRepeatInterval, the strikes of suspects that compete
  /// or are refused. Returns whether there are any.
  bool addRepeats(PeerReport &Report, TimePoint Now);
  /// Adds all strikes for a gateway that starts, RecentStrikesMax of each sort
  /// at most.
  void addAll(PeerReport &Report, TimePoint Now);
  /// Applies what a peer told. Adds what was new to News; PassOn: it is to be
  /// repeated for dependents.
  void apply(const PeerReport &Report, bool PassOn, PeerReport &News,
             TimePoint Now);

private:
  bool applyStrike(const PeerStrike &S, bool PassOn, TimePoint Now);
  bool applyStrike(const PartStrike &S, bool PassOn, TimePoint Now);

  Core &m_core;
  RecentStrikes<PeerStrike> m_own;
  RecentStrikes<PeerStrike> m_peers;
  RecentStrikes<PartStrike> m_ownParts;
  RecentStrikes<PartStrike> m_peersParts;
  TimePoint m_repeatedAt{};
};

} // namespace primroseworks::gateway

#endif
