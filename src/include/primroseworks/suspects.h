// Requests suspected of crashing endpoints, by fingerprint, and the parts of
// their prompts.
#ifndef PRIMROSEWORKS_SUSPECTS_H
#define PRIMROSEWORKS_SUSPECTS_H

#include "primroseworks/error.h"
#include "primroseworks/partsuspects.h"
#include "primroseworks/time.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace primroseworks {

struct SuspectOptions {
  unsigned m_strikes = 3; ///< Strikes at which a fingerprint is refused.
  Seconds m_refusal{600}; ///< Strikes expire this long after the last one.
  /// Fingerprints with one strike that one daemon may run on one endpoint
  /// together. One at a time made the innocents of a batch of 30 miss their
  /// deadlines on the model's last endpoint.
  unsigned m_group = 6;
  Seconds m_contention{15}; ///< How long after it was last heard of a
                            ///< fingerprint competes for endpoints with those
                            ///< that other daemons hold.
  /// A suspect does not start this long after its last strike, so that the
  /// strikes of one crash reach all daemons first. A crash is noticed after 50
  /// to 100 ms and told within 10 ms; the rest is for a busy machine.
  Milliseconds m_settle{500};
  /// Suspicion from which that wait applies.
  unsigned m_settleFrom = 1;
  /// How long after its last strike a refusal that was met here is repeated to
  /// the peers.
  Seconds m_refusalRepeat{15};
  PartSuspectOptions m_parts;
};

/// What is known of one suspect, for operators.
struct SuspectState {
  std::uint64_t m_fingerprint = 0;
  unsigned m_strikes = 0;
  unsigned m_suspicion = 0;
  bool m_refused = false;
  Duration m_remaining{}; ///< Until its strikes expire.
};

/// Strikes per fingerprint, and where struck fingerprints run.
///
/// A strike names its crash: the endpoint and its run. One crash gives a
/// fingerprint one strike, whatever daemons and attempts saw it. A crash whose
/// suspects include one with more strikes is explained by that one, and does
/// not restrict those with fewer; its suspicion is the strikes that remain.
///
/// A crash that is explained by a part of a prompt (PartSuspects) is none of a
/// fingerprint: its strike counts nowhere below. If a part shares all crashes
/// of a fingerprint but the last one, the fingerprint is not refused within
/// m_settle of it: the part's strike may be on its way. The same holds for
/// another fingerprint at the strike that reaches m_strikes.
///
/// A fingerprint is refused once it has m_strikes and one of its crashes has no
/// other suspect with as many: of several that always crashed together, each
/// must run once more, apart from the others.
///
/// Bound: a fingerprint that crashes every endpoint takes down at most
/// m_strikes endpoints one after the other, plus those that ran it at the same
/// instant or before the strike reached the daemon that sent it, plus one if
/// others crashed together with it each time. One crashing
/// fingerprint gives another at most two strikes while no two with a suspicion
/// of two share an endpoint. They do not: inside a daemon always, between
/// daemons that heard of both within m_contention and of each strike within
/// m_settle, unless two daemons hold the same fingerprint at once.
class CrashSuspects {
public:
  /// Fails with InvalidArgument if m_strikes is 0, a time is not positive or
  /// the settle time is negative.
  static Result<CrashSuspects> create(SuspectOptions Options);

  /// Id of the death of one run of an endpoint; not 0.
  static std::uint64_t crashId(const std::string &Endpoint, std::uint64_t Run);

  /// A strike seen by this daemon; if it is new, it is queued for the peers.
  /// Returns the strikes now held.
  unsigned strike(std::uint64_t Fingerprint, std::uint64_t Crash,
                  TimePoint Now);
  /// A strike seen by a peer; crash 0 means that the peer saw the fingerprint
  /// complete. Returns the strikes now held.
  unsigned addFromPeer(std::uint64_t Fingerprint, std::uint64_t Crash,
                       TimePoint Now);
  /// A completion proves the fingerprint harmless: clears its strikes and
  /// queues that for the peers as crash 0. A cleared strike that arrives again
  /// is ignored.
  void onCompleted(std::uint64_t Fingerprint);
  /// The run with this crash id has not ended: drops its strikes, here only,
  /// from fingerprints that were last struck before StruckBefore.
  void onAlive(std::uint64_t Crash, TimePoint StruckBefore);
  /// Clears a fingerprint on an operator's word, here only.
  void clear(std::uint64_t Fingerprint);
  /// Changes to send to the peers since the last call.
  std::vector<std::pair<std::uint64_t, std::uint64_t>> take();
  /// Strikes to send again, because the fingerprint is held here and must run
  /// alone, or is refused on a strike seen or met here within m_refusalRepeat:
  /// peers learn that it still competes, and get what a broken link lost.
  std::vector<std::pair<std::uint64_t, std::uint64_t>> repeats(TimePoint Now);
  /// All strikes, those of refused fingerprints first, for a peer that starts.
  std::vector<std::pair<std::uint64_t, std::uint64_t>> all(TimePoint Now);

  unsigned strikes(std::uint64_t Fingerprint, TimePoint Now);
  /// Strikes from crashes that no fingerprint with more strikes explains.
  unsigned suspicion(std::uint64_t Fingerprint, TimePoint Now);
  bool struck(std::uint64_t Fingerprint, TimePoint Now) {
    return suspicion(Fingerprint, Now) > 0;
  }
  bool refused(std::uint64_t Fingerprint, TimePoint Now);
  /// A request with the fingerprint was refused here: this daemon repeats its
  /// strikes, so that peers which start later learn them.
  void onRefused(std::uint64_t Fingerprint);
  /// All fingerprints with strikes, the worst first.
  std::vector<SuspectState> list(TimePoint Now);
  /// Time until the strikes expire.
  Duration remaining(std::uint64_t Fingerprint, TimePoint Now) const;
  /// A request with the fingerprint waits in this daemon, until released.
  void hold(std::uint64_t Fingerprint);
  void release(std::uint64_t Fingerprint);

  /// Whether a fingerprint may start at Endpoint. Without suspicion: always.
  /// Otherwise not within m_settle of its last strike. With a suspicion of two:
  /// no other suspect runs there from here, and no competing one that is not
  /// held here ranks above it at that endpoint. With one: these are fewer than
  /// m_group, and none of them has two. The rank is a hash of both, so that all
  /// daemons agree without messages. Those with one that are held here need no
  /// rank: this daemon sees where they run.
  bool mayRun(std::uint64_t Fingerprint, const std::string &Endpoint,
              TimePoint Now);
  /// Records every run, struck or not: a strike can arrive while it runs.
  void onStarted(std::uint64_t Fingerprint, const std::string &Endpoint);
  void onEnded(std::uint64_t Fingerprint, const std::string &Endpoint);
  std::size_t size() const { return m_entries.size(); }
  PartSuspects &parts() { return m_parts; }

private:
  CrashSuspects(SuspectOptions Options, PartSuspects Parts)
      : m_options(Options), m_parts(std::move(Parts)) {}
  struct Entry {
    std::vector<std::uint64_t> m_crashes; ///< At most m_strikes + 1.
    std::vector<std::uint64_t> m_cleared; ///< Ignored if told again.
    TimePoint m_lastStrike;
    TimePoint m_lastHeard; ///< Last strike, or repetition of one.
    bool m_own = false;    ///< A strike was seen here, or a refusal met.
  };
  /// The suspects with most strikes of one crash.
  struct Worst {
    std::size_t m_strikes = 0;
    unsigned m_count = 0; ///< Suspects with that many.
  };
  unsigned add(std::uint64_t Fingerprint, std::uint64_t Crash, TimePoint Now);
  bool forgive(std::uint64_t Fingerprint);
  static void limitCleared(Entry &E);
  void expire(TimePoint Now);
  /// Strikes of crashes that no part of a prompt explains.
  std::size_t openStrikes(const Entry &E) const;
  unsigned suspicionOf(const Entry &E);
  /// Whether another fingerprint may turn out to have all crashes of E.
  bool mayShareLast(const Entry &E) const;
  bool isRefused(const Entry &E, TimePoint Now);
  void findWorst();
  /// Whether a suspect other than those held here with a suspicion of one
  /// competes for endpoints.
  bool competes(std::uint64_t Fingerprint, const Entry &E, unsigned Suspicion,
                TimePoint Now);

  SuspectOptions m_options;
  PartSuspects m_parts;
  std::unordered_map<std::uint64_t, Entry> m_entries; ///< Struck or cleared.
  std::unordered_map<std::string, std::unordered_map<std::uint64_t, unsigned>>
      m_running; ///< Endpoint to fingerprints and how often each runs there.
  /// How often a fingerprint waits or runs in this daemon; none is 0.
  std::unordered_map<std::uint64_t, unsigned> m_held;
  std::vector<std::pair<std::uint64_t, std::uint64_t>> m_outgoing;
  /// By crash; computed again after a change.
  std::unordered_map<std::uint64_t, Worst> m_worst;
  bool m_worstKnown = false;
  std::uint64_t m_worstVersion = 0; ///< Of m_parts, for m_worst.
  TimePoint m_nextExpiry{};
};

/// Cleared crashes remembered per fingerprint.
inline constexpr std::size_t ClearedCrashesMax = 6;

/// Most fingerprints held. Strikes beyond it replace the oldest entry, so that
/// a peer cannot exhaust memory.
inline constexpr std::size_t SuspectsMax = 4096;

} // namespace primroseworks

#endif
