// Parts of prompts that are suspected of ending the endpoints which begin to
// answer them, whatever else a request holds.
#ifndef PRIMROSEWORKS_PARTSUSPECTS_H
#define PRIMROSEWORKS_PARTSUSPECTS_H

#include "primroseworks/error.h"
#include "primroseworks/time.h"

#include <cstdint>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace primroseworks {

struct PartSuspectOptions {
  unsigned m_ends = 3; ///< Ends from which a part is refused.
  /// Different requests among these ends. One request that comes again and
  /// again is a suspect itself, and its parts are not.
  unsigned m_requests = 2;
  /// An answer speaks for its parts for this long.
  Seconds m_answerLifetime{3};
  /// Requests with a part that has all but one of the ends wait this long after
  /// its last one: an answer elsewhere may clear it meanwhile. Then the VMs
  /// take turns, so that an end is known before the next request begins.
  Milliseconds m_settle{500};
  Milliseconds m_turn{250};
  unsigned m_turns = 8;  ///< Before it is a VM's turn again, at most.
  Seconds m_refusal{60}; ///< The first refusal; each further one is twice as
                         ///< long.
  Seconds m_maxRefusal{600};
};

/// An end of an endpoint that counts against a part.
struct PartStrike {
  std::uint64_t m_part = 0;
  std::uint64_t m_crash = 0;   ///< CrashSuspects::crashId(); 0 clears the part.
  std::uint64_t m_request = 0; ///< Fingerprint of the request that held it.
  TimePoint m_brokenAt{};      ///< When the endpoint broke that request off.
};

/// What is known of one part, for operators.
struct PartSuspectState {
  std::uint64_t m_part = 0;
  unsigned m_ends = 0;
  unsigned m_requests = 0;
  bool m_refused = false;
  Duration m_remaining{}; ///< Until the refusal ends; zero if not refused.
};

/// Ends per part, and which parts were answered lately.
///
/// A part is struck if an endpoint ends before the answer to a request with it
/// has gone on for a while. An answer that goes on, anywhere, clears it: parts
/// that sound requests share are cleared as fast as they are struck, also when
/// endpoints end for another reason. A part is refused after m_ends ends under
/// m_requests different requests. After a refusal one more end, without an
/// answer, refuses it again.
class PartSuspects {
public:
  /// Fails with InvalidArgument if a count is 0 or a time is not positive.
  static Result<PartSuspects> create(PartSuspectOptions Options);

  /// An end that this VM saw; queued for the peers if it is new. Returns false
  /// if an answer speaks for the part.
  bool strike(const PartStrike &Strike, TimePoint Now);
  /// An end or a clearance that a peer saw. Returns whether it was new.
  bool addFromPeer(const PartStrike &Strike, TimePoint Now);
  /// An answer to a request with these parts has gone on, or is complete.
  /// Returns those that it cleared; the peers are told.
  std::vector<std::uint64_t> onAnswered(const std::vector<std::uint64_t> &Parts,
                                        TimePoint Now);
  /// Clears a part here and at the peers, on an operator's word.
  void clear(std::uint64_t Part);
  /// Changes to send to the peers since the last call.
  std::vector<PartStrike> take();
  bool hasChanges() const { return !m_outgoing.empty(); }
  /// The strikes of parts that are refused, for peers that start later: of
  /// those that were struck or met here.
  std::vector<PartStrike> repeats(TimePoint Now);
  /// All strikes, those of refused parts first, for a peer that starts.
  std::vector<PartStrike> all(TimePoint Now) const;
  /// A request with the part was refused here.
  void onRefused(std::uint64_t Part);

  unsigned ends(std::uint64_t Part) const;
  bool refused(std::uint64_t Part, TimePoint Now) const;
  /// The first of Parts that is refused; null if none.
  const std::uint64_t *firstRefused(const std::vector<std::uint64_t> &Parts,
                                    TimePoint Now) const;
  /// Time until the refusal ends.
  Duration remaining(std::uint64_t Part, TimePoint Now) const;
  /// Whether a request with these parts may be sent now.
  bool mayStart(const std::vector<std::uint64_t> &Parts, TimePoint Now) const;
  /// A request with these parts was sent, or its attempt has ended.
  void onStarted(const std::vector<std::uint64_t> &Parts);
  void onEnded(const std::vector<std::uint64_t> &Parts);
  /// This VM is the one with this index of Count VMs.
  void setTurn(std::size_t Index, std::size_t Count);
  /// Whether a part that is or was refused caused this crash.
  bool explains(std::uint64_t Crash) const {
    return m_explained.count(Crash) > 0;
  }
  /// Whether a part has nearly enough ends among Crashes, but not yet the last
  /// of them.
  bool mayExplainLast(const std::vector<std::uint64_t> &Crashes) const;
  /// Changes when the result of explains() may have changed.
  std::uint64_t version() const { return m_version; }
  /// All parts with ends, the worst first.
  std::vector<PartSuspectState> list(TimePoint Now) const;
  void expire(TimePoint Now);
  std::size_t size() const { return m_entries.size(); }

private:
  explicit PartSuspects(PartSuspectOptions Options) : m_options(Options) {}
  struct Entry {
    std::vector<std::uint64_t> m_crashes;  ///< At most CrashesPerPartMax.
    std::vector<std::uint64_t> m_requests; ///< Different ones, at most enough.
    std::vector<std::uint64_t> m_cleared;  ///< Ignored if told again.
    TimePoint m_lastStrike{};
    unsigned m_refusals = 0; ///< Earlier ones that an end followed.
    bool m_own = false;      ///< Struck here, or a refusal was met here.
  };
  using Parts = std::unordered_map<std::uint64_t, TimePoint>;

  bool add(const PartStrike &Strike, TimePoint Now);
  bool forgive(std::uint64_t Part);
  bool answeredSince(std::uint64_t Part, TimePoint Since) const;
  bool hasEnough(const Entry &E) const;
  Duration refusalOf(const Entry &E) const;
  bool partMayStart(std::uint64_t Part, TimePoint Now) const;
  Entry &entryOf(std::uint64_t Part);
  void findExplained();

  PartSuspectOptions m_options;
  std::unordered_map<std::uint64_t, Entry> m_entries; ///< Struck or cleared.
  /// When parts were last answered here. Both together hold all answers of the
  /// last m_answerLifetime, unless there are more than AnsweredPartsMax.
  Parts m_answered;
  Parts m_answeredBefore;
  TimePoint m_answeredSince{}; ///< When m_answered was begun.
  /// Requests that were sent from here and have not ended; none is 0.
  std::unordered_map<std::uint64_t, unsigned> m_running;
  unsigned m_turnIndex = 0; ///< This VM's turn, of m_turnCount.
  unsigned m_turnCount = 1;
  std::vector<PartStrike> m_outgoing;
  std::unordered_set<std::uint64_t> m_explained;
  std::uint64_t m_version = 0;
  TimePoint m_nextExpiry{};
};

/// Most parts held; further ones replace those without a refusal first.
inline constexpr std::size_t SuspectedPartsMax = 4096;
/// Most parts whose answers are remembered, in each of two lists.
inline constexpr std::size_t AnsweredPartsMax = 8192;
/// Crashes remembered per part; all of them explain strikes of requests.
inline constexpr std::size_t CrashesPerPartMax = 16;

} // namespace primroseworks

#endif
