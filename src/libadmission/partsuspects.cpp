// Suspected parts of prompts.
#include "primroseworks/partsuspects.h"

#include <algorithm>
#include <tuple>

namespace primroseworks {

namespace {

bool contains(const std::vector<std::uint64_t> &List, std::uint64_t Value) {
  return std::find(List.begin(), List.end(), Value) != List.end();
}

/// Appends Value; the oldest entry makes room for it.
void appendBounded(std::vector<std::uint64_t> &List, std::uint64_t Value,
                   std::size_t Max) {
  if (List.size() >= Max)
    List.erase(List.begin());
  List.push_back(Value);
}

} // namespace

Result<PartSuspects> PartSuspects::create(PartSuspectOptions Options) {
  if (Options.m_ends == 0 || Options.m_requests == 0 ||
      Options.m_refusal.count() <= 0 ||
      Options.m_maxRefusal < Options.m_refusal ||
      Options.m_answerLifetime.count() <= 0 || Options.m_settle.count() < 0 ||
      Options.m_turn.count() <= 0 || Options.m_turns == 0)
    return makeError(
        ErrorKind::InvalidArgument,
        "counts or times of suspected parts are not positive; set "
        "at least 1 end, 1 request, 1 turn and 1 s, and a longest refusal "
        "that is not below the first");
  return PartSuspects(Options);
}

bool PartSuspects::hasEnough(const Entry &E) const {
  return E.m_crashes.size() >= m_options.m_ends &&
         E.m_requests.size() >= m_options.m_requests;
}

Duration PartSuspects::refusalOf(const Entry &E) const {
  Duration Out = m_options.m_refusal;
  for (unsigned I = 0; I < E.m_refusals && Out < m_options.m_maxRefusal; ++I)
    Out *= 2;
  return std::min<Duration>(Out, m_options.m_maxRefusal);
}

bool PartSuspects::answeredSince(std::uint64_t Part, TimePoint Since) const {
  for (const Parts *List : {&m_answered, &m_answeredBefore}) {
    const auto It = List->find(Part);
    if (It != List->end() && It->second >= Since)
      return true;
  }
  return false;
}

/// The entry of a part; makes room for a new one.
PartSuspects::Entry &PartSuspects::entryOf(std::uint64_t Part) {
  if (m_entries.size() >= SuspectedPartsMax && m_entries.count(Part) == 0)
    m_entries.erase(std::min_element(
        m_entries.begin(), m_entries.end(),
        [this](const auto &A, const auto &B) {
          return std::make_tuple(hasEnough(A.second), A.second.m_lastStrike) <
                 std::make_tuple(hasEnough(B.second), B.second.m_lastStrike);
        }));
  return m_entries[Part];
}

bool PartSuspects::add(const PartStrike &S, TimePoint Now) {
  expire(Now);
  Entry &E = entryOf(S.m_part);
  if (contains(E.m_cleared, S.m_crash))
    return false;
  const bool NewCrash = !contains(E.m_crashes, S.m_crash);
  const bool NewRequest = E.m_requests.size() < m_options.m_requests &&
                          !contains(E.m_requests, S.m_request);
  if (NewCrash) {
    if (hasEnough(E) && Now - E.m_lastStrike >= refusalOf(E))
      ++E.m_refusals;
    appendBounded(E.m_crashes, S.m_crash, CrashesPerPartMax);
    E.m_lastStrike = Now;
  }
  if (NewRequest)
    E.m_requests.push_back(S.m_request);
  if ((NewCrash || NewRequest) && hasEnough(E))
    findExplained();
  return NewCrash || NewRequest;
}

bool PartSuspects::strike(const PartStrike &S, TimePoint Now) {
  if (answeredSince(S.m_part, S.m_brokenAt - m_options.m_answerLifetime))
    return false;
  if (add(S, Now))
    m_outgoing.push_back(S);
  m_entries.at(S.m_part).m_own = true;
  return true;
}

bool PartSuspects::addFromPeer(const PartStrike &S, TimePoint Now) {
  if (S.m_crash == 0)
    return forgive(S.m_part);
  if (!answeredSince(S.m_part, S.m_brokenAt - m_options.m_answerLifetime))
    return add(S, Now);
  forgive(S.m_part);
  Entry &E = entryOf(S.m_part);
  if (contains(E.m_cleared, S.m_crash))
    return false;
  appendBounded(E.m_cleared, S.m_crash, CrashesPerPartMax);
  E.m_lastStrike = Now;
  m_outgoing.push_back({S.m_part, 0, 0, {}});
  return false;
}

/// Drops the strikes of a part. Returns whether there were any.
bool PartSuspects::forgive(std::uint64_t Part) {
  const auto It = m_entries.find(Part);
  if (It == m_entries.end() || It->second.m_crashes.empty())
    return false;
  Entry &E = It->second;
  const bool Explained = hasEnough(E);
  for (const std::uint64_t Crash : E.m_crashes)
    appendBounded(E.m_cleared, Crash, CrashesPerPartMax);
  E.m_crashes.clear();
  E.m_requests.clear();
  E.m_refusals = 0;
  E.m_own = false;
  if (Explained)
    findExplained();
  return true;
}

std::vector<std::uint64_t>
PartSuspects::onAnswered(const std::vector<std::uint64_t> &Parts,
                         TimePoint Now) {
  if (Now - m_answeredSince >= m_options.m_answerLifetime ||
      m_answered.size() >= AnsweredPartsMax) {
    m_answeredBefore = std::exchange(m_answered, {});
    m_answeredSince = Now;
  }
  std::vector<std::uint64_t> Cleared;
  for (const std::uint64_t Part : Parts) {
    m_answered[Part] = Now;
    if (!forgive(Part))
      continue;
    Cleared.push_back(Part);
    m_outgoing.push_back({Part, 0, 0, {}});
  }
  return Cleared;
}

void PartSuspects::clear(std::uint64_t Part) {
  if (forgive(Part))
    m_outgoing.push_back({Part, 0, 0, {}});
}

std::vector<PartStrike> PartSuspects::take() {
  return std::exchange(m_outgoing, {});
}

std::vector<PartStrike> PartSuspects::repeats(TimePoint Now) {
  std::vector<PartStrike> Out;
  for (const auto &[Part, E] : m_entries) {
    if (!E.m_own || !refused(Part, Now))
      continue;
    for (std::size_t I = 0; I < E.m_crashes.size(); ++I)
      Out.push_back(
          {Part, E.m_crashes[I], E.m_requests[I % E.m_requests.size()], Now});
  }
  return Out;
}

std::vector<PartStrike> PartSuspects::all(TimePoint Now) const {
  std::vector<PartStrike> Out;
  for (const bool Refused : {true, false})
    for (const auto &[Part, E] : m_entries)
      if (!E.m_requests.empty() && refused(Part, Now) == Refused)
        for (std::size_t I = 0; I < E.m_crashes.size(); ++I)
          Out.push_back({Part, E.m_crashes[I],
                         E.m_requests[I % E.m_requests.size()],
                         E.m_lastStrike});
  return Out;
}

void PartSuspects::onRefused(std::uint64_t Part) {
  const auto It = m_entries.find(Part);
  if (It != m_entries.end())
    It->second.m_own = true;
}

unsigned PartSuspects::ends(std::uint64_t Part) const {
  const auto It = m_entries.find(Part);
  return It == m_entries.end()
             ? 0
             : static_cast<unsigned>(It->second.m_crashes.size());
}

Duration PartSuspects::remaining(std::uint64_t Part, TimePoint Now) const {
  const auto It = m_entries.find(Part);
  if (It == m_entries.end() || !hasEnough(It->second))
    return Duration::zero();
  const Entry &E = It->second;
  return std::max(Duration::zero(), E.m_lastStrike + refusalOf(E) - Now);
}

bool PartSuspects::refused(std::uint64_t Part, TimePoint Now) const {
  return remaining(Part, Now) > Duration::zero();
}

const std::uint64_t *
PartSuspects::firstRefused(const std::vector<std::uint64_t> &Parts,
                           TimePoint Now) const {
  if (m_entries.empty())
    return nullptr;
  const auto It =
      std::find_if(Parts.begin(), Parts.end(), [this, Now](std::uint64_t Part) {
        return refused(Part, Now);
      });
  return It == Parts.end() ? nullptr : &*It;
}

bool PartSuspects::partMayStart(std::uint64_t Part, TimePoint Now) const {
  const auto It = m_entries.find(Part);
  if (It == m_entries.end() ||
      It->second.m_crashes.size() + 1 < m_options.m_ends)
    return true;
  const Duration Since = Now - It->second.m_lastStrike - m_options.m_settle;
  if (Since < Duration::zero() || m_running.count(Part) != 0)
    return false;
  return Since / m_options.m_turn % m_turnCount == m_turnIndex;
}

bool PartSuspects::mayStart(const std::vector<std::uint64_t> &Parts,
                            TimePoint Now) const {
  return std::all_of(
      Parts.begin(), Parts.end(),
      [this, Now](std::uint64_t Part) { return partMayStart(Part, Now); });
}

void PartSuspects::onStarted(const std::vector<std::uint64_t> &Parts) {
  for (const std::uint64_t Part : Parts)
    ++m_running[Part];
}

void PartSuspects::onEnded(const std::vector<std::uint64_t> &Parts) {
  for (const std::uint64_t Part : Parts) {
    const auto It = m_running.find(Part);
    if (It != m_running.end() && --It->second == 0)
      m_running.erase(It);
  }
}

void PartSuspects::setTurn(std::size_t Index, std::size_t Count) {
  m_turnCount = static_cast<unsigned>(
      std::clamp<std::size_t>(Count, 1, m_options.m_turns));
  m_turnIndex = static_cast<unsigned>(Index % m_turnCount);
}

/// Finds out again which crashes have a part as their cause.
void PartSuspects::findExplained() {
  ++m_version;
  m_explained.clear();
  for (const auto &[Part, E] : m_entries)
    if (hasEnough(E))
      m_explained.insert(E.m_crashes.begin(), E.m_crashes.end());
}

bool PartSuspects::mayExplainLast(
    const std::vector<std::uint64_t> &Crashes) const {
  return std::any_of(
      m_entries.begin(), m_entries.end(), [&](const auto &Known) {
        const std::vector<std::uint64_t> &Ends = Known.second.m_crashes;
        const auto Shared = static_cast<std::size_t>(std::count_if(
            Crashes.begin(), Crashes.end(),
            [&Ends](std::uint64_t Crash) { return contains(Ends, Crash); }));
        return Shared + 1 >= m_options.m_ends &&
               !contains(Ends, Crashes.back());
      });
}

std::vector<PartSuspectState> PartSuspects::list(TimePoint Now) const {
  std::vector<PartSuspectState> Out;
  for (const auto &[Part, E] : m_entries)
    if (!E.m_crashes.empty())
      Out.push_back({Part, static_cast<unsigned>(E.m_crashes.size()),
                     static_cast<unsigned>(E.m_requests.size()),
                     refused(Part, Now), remaining(Part, Now)});
  std::sort(Out.begin(), Out.end(),
            [](const PartSuspectState &A, const PartSuspectState &B) {
              return std::make_tuple(B.m_refused, B.m_ends, A.m_part) <
                     std::make_tuple(A.m_refused, A.m_ends, B.m_part);
            });
  return Out;
}

/// Drops parts whose last end, or last refusal, is long over.
void PartSuspects::expire(TimePoint Now) {
  if (Now < m_nextExpiry)
    return;
  m_nextExpiry = Now + Seconds(1);
  bool Explained = false;
  for (auto It = m_entries.begin(); It != m_entries.end();) {
    const Entry &E = It->second;
    const bool Enough = hasEnough(E);
    const Duration Kept =
        m_options.m_maxRefusal + (Enough ? refusalOf(E) : Duration::zero());
    if (Now - E.m_lastStrike < Kept) {
      ++It;
      continue;
    }
    Explained = Explained || Enough;
    It = m_entries.erase(It);
  }
  if (Explained)
    findExplained();
}

} // namespace primroseworks
