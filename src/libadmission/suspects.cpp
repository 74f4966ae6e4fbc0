// Crash suspects.
#include "primroseworks/suspects.h"

#include <algorithm>
#include <xxhash.h>

namespace primroseworks {

namespace {
std::uint64_t contestRank(std::uint64_t Fingerprint,
                          const std::string &Endpoint) {
  return XXH64(Endpoint.data(), Endpoint.size(), Fingerprint);
}

bool contains(const std::vector<std::uint64_t> &List, std::uint64_t Value) {
  return std::find(List.begin(), List.end(), Value) != List.end();
}
} // namespace

Result<CrashSuspects> CrashSuspects::create(SuspectOptions Options) {
  if (Options.m_strikes == 0 || Options.m_refusal.count() <= 0 ||
      Options.m_contention.count() <= 0 || Options.m_settle.count() < 0)
    return makeError(ErrorKind::InvalidArgument,
                     "crash strikes or their times are not positive; set at "
                     "least 1 strike and 1 s");
  BOOST_OUTCOME_TRY(Parts, PartSuspects::create(Options.m_parts));
  return CrashSuspects(Options, std::move(Parts));
}

std::uint64_t CrashSuspects::crashId(const std::string &Endpoint,
                                     std::uint64_t Run) {
  return std::max<std::uint64_t>(1,
                                 XXH64(Endpoint.data(), Endpoint.size(), Run));
}

unsigned CrashSuspects::add(std::uint64_t Fingerprint, std::uint64_t Crash,
                            TimePoint Now) {
  if (Fingerprint == 0)
    return 0;
  expire(Now);
  if (m_entries.size() >= SuspectsMax && m_entries.count(Fingerprint) == 0)
    m_entries.erase(std::min_element(
        m_entries.begin(), m_entries.end(), [](const auto &A, const auto &B) {
          return A.second.m_lastStrike < B.second.m_lastStrike;
        }));
  Entry &E = m_entries[Fingerprint];
  if (contains(E.m_cleared, Crash))
    return static_cast<unsigned>(E.m_crashes.size());
  E.m_lastHeard = Now;
  if (!contains(E.m_crashes, Crash) &&
      E.m_crashes.size() <= m_options.m_strikes) {
    E.m_crashes.push_back(Crash);
    E.m_lastStrike = Now;
    m_worstKnown = false;
  }
  return static_cast<unsigned>(E.m_crashes.size());
}

unsigned CrashSuspects::strike(std::uint64_t Fingerprint, std::uint64_t Crash,
                               TimePoint Now) {
  if (Fingerprint == 0)
    return 0;
  const unsigned Before = strikes(Fingerprint, Now);
  const unsigned After = add(Fingerprint, Crash, Now);
  m_entries.at(Fingerprint).m_own = true;
  if (After > Before)
    m_outgoing.emplace_back(Fingerprint, Crash);
  return After;
}

unsigned CrashSuspects::addFromPeer(std::uint64_t Fingerprint,
                                    std::uint64_t Crash, TimePoint Now) {
  if (Crash != 0)
    return add(Fingerprint, Crash, Now);
  forgive(Fingerprint);
  return 0;
}

bool CrashSuspects::forgive(std::uint64_t Fingerprint) {
  auto It = m_entries.find(Fingerprint);
  if (It == m_entries.end() || It->second.m_crashes.empty())
    return false;
  Entry &E = It->second;
  E.m_cleared.insert(E.m_cleared.end(), E.m_crashes.begin(), E.m_crashes.end());
  limitCleared(E);
  E.m_crashes.clear();
  E.m_own = false;
  m_worstKnown = false;
  return true;
}

void CrashSuspects::limitCleared(Entry &E) {
  if (E.m_cleared.size() > ClearedCrashesMax)
    E.m_cleared.erase(E.m_cleared.begin(),
                      E.m_cleared.end() -
                          static_cast<std::ptrdiff_t>(ClearedCrashesMax));
}

void CrashSuspects::onAlive(std::uint64_t Crash, TimePoint StruckBefore) {
  for (auto &[Fingerprint, E] : m_entries) {
    const auto It = std::find(E.m_crashes.begin(), E.m_crashes.end(), Crash);
    if (It == E.m_crashes.end() || E.m_lastStrike >= StruckBefore)
      continue;
    E.m_crashes.erase(It);
    E.m_cleared.push_back(Crash);
    limitCleared(E);
    m_worstKnown = false;
  }
}

void CrashSuspects::onCompleted(std::uint64_t Fingerprint) {
  if (forgive(Fingerprint))
    m_outgoing.emplace_back(Fingerprint, 0);
}

void CrashSuspects::clear(std::uint64_t Fingerprint) {
  forgive(Fingerprint);
  m_outgoing.erase(std::remove_if(m_outgoing.begin(), m_outgoing.end(),
                                  [&](const auto &Change) {
                                    return Change.first == Fingerprint;
                                  }),
                   m_outgoing.end());
}

std::vector<std::pair<std::uint64_t, std::uint64_t>> CrashSuspects::take() {
  return std::exchange(m_outgoing, {});
}

std::vector<std::pair<std::uint64_t, std::uint64_t>>
CrashSuspects::repeats(TimePoint Now) {
  std::vector<std::pair<std::uint64_t, std::uint64_t>> Out;
  expire(Now);
  for (auto &[Fingerprint, E] : m_entries) {
    const bool Refused = isRefused(E, Now);
    const bool Recent = Now - E.m_lastStrike < m_options.m_refusalRepeat;
    const bool Held = m_held.count(Fingerprint) != 0 && suspicionOf(E) > 1;
    if (Refused ? !(E.m_own && Recent) : !Held)
      continue;
    E.m_lastHeard = Now;
    for (std::uint64_t Crash : E.m_crashes)
      Out.emplace_back(Fingerprint, Crash);
  }
  return Out;
}

std::vector<std::pair<std::uint64_t, std::uint64_t>>
CrashSuspects::all(TimePoint Now) {
  std::vector<std::pair<std::uint64_t, std::uint64_t>> Out;
  for (const bool Refused : {true, false})
    for (const auto &[Fingerprint, E] : m_entries)
      if (isRefused(E, Now) == Refused)
        for (std::uint64_t Crash : E.m_crashes)
          Out.emplace_back(Fingerprint, Crash);
  return Out;
}

void CrashSuspects::expire(TimePoint Now) {
  if (Now < m_nextExpiry)
    return;
  m_nextExpiry = Now + Seconds(1);
  for (auto It = m_entries.begin(); It != m_entries.end();)
    if (Now - It->second.m_lastStrike >= m_options.m_refusal) {
      It = m_entries.erase(It);
      m_worstKnown = false;
    } else {
      ++It;
    }
}

unsigned CrashSuspects::strikes(std::uint64_t Fingerprint, TimePoint Now) {
  if (m_entries.empty())
    return 0;
  auto It = m_entries.find(Fingerprint);
  if (It == m_entries.end())
    return 0;
  if (Now - It->second.m_lastStrike >= m_options.m_refusal) {
    m_entries.erase(It);
    m_worstKnown = false;
    return 0;
  }
  return static_cast<unsigned>(It->second.m_crashes.size());
}

std::size_t CrashSuspects::openStrikes(const Entry &E) const {
  return static_cast<std::size_t>(std::count_if(
      E.m_crashes.begin(), E.m_crashes.end(),
      [this](std::uint64_t Crash) { return !m_parts.explains(Crash); }));
}

void CrashSuspects::findWorst() {
  if (m_worstKnown && m_worstVersion == m_parts.version())
    return;
  m_worst.clear();
  for (const auto &[Fingerprint, Each] : m_entries) {
    const std::size_t Strikes = openStrikes(Each);
    for (std::uint64_t Crash : Each.m_crashes) {
      if (m_parts.explains(Crash))
        continue;
      Worst &W = m_worst[Crash];
      if (Strikes > W.m_strikes)
        W = Worst{Strikes, 0};
      if (Strikes == W.m_strikes)
        ++W.m_count;
    }
  }
  m_worstKnown = true;
  m_worstVersion = m_parts.version();
}

unsigned CrashSuspects::suspicionOf(const Entry &E) {
  findWorst();
  const std::size_t Strikes = openStrikes(E);
  return static_cast<unsigned>(std::count_if(
      E.m_crashes.begin(), E.m_crashes.end(), [&](std::uint64_t Crash) {
        return !m_parts.explains(Crash) && m_worst[Crash].m_strikes <= Strikes;
      }));
}

bool CrashSuspects::mayShareLast(const Entry &E) const {
  // Those that tied at the last of m_strikes run apart from then on.
  if (E.m_crashes.size() != m_options.m_strikes)
    return false;
  const auto Holds = [](const Entry &O, std::uint64_t Crash) {
    return std::find(O.m_crashes.begin(), O.m_crashes.end(), Crash) !=
           O.m_crashes.end();
  };
  const auto First = E.m_crashes.begin();
  const auto Last = std::prev(E.m_crashes.end());
  return std::any_of(
      m_entries.begin(), m_entries.end(), [&](const auto &Known) {
        const Entry &O = Known.second;
        return !Holds(O, *Last) && std::all_of(First, Last, [&](auto Crash) {
          return Holds(O, Crash);
        });
      });
}

bool CrashSuspects::isRefused(const Entry &E, TimePoint Now) {
  const std::size_t Strikes = openStrikes(E);
  if (Strikes < m_options.m_strikes)
    return false;
  // The strike of what caused this crash, too, may be on its way.
  if (Now - E.m_lastStrike < m_options.m_settle &&
      (m_parts.mayExplainLast(E.m_crashes) || mayShareLast(E)))
    return false;
  findWorst();
  return std::any_of(
      E.m_crashes.begin(), E.m_crashes.end(), [&](std::uint64_t Crash) {
        const auto W = m_worst.find(Crash);
        return W != m_worst.end() && W->second.m_strikes == Strikes &&
               W->second.m_count == 1;
      });
}

bool CrashSuspects::refused(std::uint64_t Fingerprint, TimePoint Now) {
  return strikes(Fingerprint, Now) >= m_options.m_strikes &&
         isRefused(m_entries.at(Fingerprint), Now);
}

void CrashSuspects::onRefused(std::uint64_t Fingerprint) {
  const auto It = m_entries.find(Fingerprint);
  if (It != m_entries.end())
    It->second.m_own = true;
}

unsigned CrashSuspects::suspicion(std::uint64_t Fingerprint, TimePoint Now) {
  return strikes(Fingerprint, Now) == 0
             ? 0
             : suspicionOf(m_entries.at(Fingerprint));
}

std::vector<SuspectState> CrashSuspects::list(TimePoint Now) {
  std::vector<SuspectState> Out;
  for (const auto &[Fingerprint, E] : m_entries)
    if (!E.m_crashes.empty() && Now - E.m_lastStrike < m_options.m_refusal)
      Out.push_back({Fingerprint, static_cast<unsigned>(E.m_crashes.size()),
                     suspicionOf(E), isRefused(E, Now),
                     remaining(Fingerprint, Now)});
  std::sort(Out.begin(), Out.end(),
            [](const SuspectState &A, const SuspectState &B) {
              return std::make_pair(B.m_strikes, A.m_fingerprint) <
                     std::make_pair(A.m_strikes, B.m_fingerprint);
            });
  return Out;
}

Duration CrashSuspects::remaining(std::uint64_t Fingerprint,
                                  TimePoint Now) const {
  auto It = m_entries.find(Fingerprint);
  if (It == m_entries.end())
    return Duration::zero();
  return std::max<Duration>(Duration::zero(), It->second.m_lastStrike +
                                                  m_options.m_refusal - Now);
}

void CrashSuspects::hold(std::uint64_t Fingerprint) {
  if (Fingerprint != 0)
    ++m_held[Fingerprint];
}

void CrashSuspects::release(std::uint64_t Fingerprint) {
  auto It = m_held.find(Fingerprint);
  if (It != m_held.end() && --It->second == 0)
    m_held.erase(It);
}

bool CrashSuspects::competes(std::uint64_t Fingerprint, const Entry &E,
                             unsigned Suspicion, TimePoint Now) {
  if (Suspicion == 0 || Now - E.m_lastHeard >= m_options.m_contention ||
      isRefused(E, Now))
    return false;
  // One with two strikes may run from several daemons, because its caller
  // sends it again through all of them: it competes also if it is held here.
  return Suspicion > 1 || m_held.count(Fingerprint) == 0;
}

bool CrashSuspects::mayRun(std::uint64_t Fingerprint,
                           const std::string &Endpoint, TimePoint Now) {
  const unsigned Own = suspicion(Fingerprint, Now);
  if (Own == 0)
    return true;
  if (Own >= m_options.m_settleFrom &&
      Now - m_entries.at(Fingerprint).m_lastStrike < m_options.m_settle)
    return false;
  unsigned Beside = 0;
  auto Running = m_running.find(Endpoint);
  if (Running != m_running.end())
    for (const auto &[Other, Count] : Running->second) {
      unsigned Theirs = Other == Fingerprint ? 0 : suspicion(Other, Now);
      if (Theirs > 0 && (Own > 1 || Theirs > 1))
        return false;
      Beside += Theirs > 0 ? 1 : 0;
    }
  const std::uint64_t Mine = contestRank(Fingerprint, Endpoint);
  for (const auto &[Other, E] : m_entries) {
    const unsigned Theirs = suspicionOf(E);
    if (Other == Fingerprint || contestRank(Other, Endpoint) <= Mine ||
        !competes(Other, E, Theirs, Now))
      continue;
    if (Own > 1 || Theirs > 1)
      return false;
    ++Beside;
  }
  return Beside < m_options.m_group;
}

void CrashSuspects::onStarted(std::uint64_t Fingerprint,
                              const std::string &Endpoint) {
  if (Fingerprint == 0)
    return;
  ++m_running[Endpoint][Fingerprint];
  hold(Fingerprint);
}

void CrashSuspects::onEnded(std::uint64_t Fingerprint,
                            const std::string &Endpoint) {
  auto Running = m_running.find(Endpoint);
  if (Running == m_running.end())
    return;
  auto It = Running->second.find(Fingerprint);
  if (It == Running->second.end())
    return;
  release(Fingerprint);
  if (--It->second == 0)
    Running->second.erase(It);
  if (Running->second.empty())
    m_running.erase(Running);
}

} // namespace primroseworks
