// How the fleet learns the state of its engines: by reading them, and from the
// rows of their owners.
#include "primrosed/fleet.h"

#include <algorithm>
#include <spdlog/spdlog.h>
#include <utility>

namespace primroseworks {

namespace {

// The schedule looks for due engines this often: a fifth of the shortest
// interval, so that owned engines are read about every 250 ms.
constexpr Milliseconds ScheduleInterval{50};

// An engine that does not answer holds a reader for the 2 s of a call's
// timeout. Engines of others get half of the readers, so that any number of
// them that is silent does not delay the reads of owned engines.
constexpr std::size_t Readers = 8;
constexpr std::size_t ReadersOfOthers = Readers / 2;

// A row may describe the engine up to this long before it arrives (the owner's
// poll, 1 s between two versions, the way), so that it does not replace a
// report or an answer that is younger.
constexpr Milliseconds RowLag{1500};

// A region's summary may describe an engine up to this long before it arrives:
// the row inside the region, up to 3 s between two summaries, and some links.
constexpr Seconds SummaryLag{10};

// An older summary replaces no reads: ten versions of it were missed.
constexpr Seconds SummaryFreshness{30};

// Engines of other regions are read directly this long after a request to
// them, and for this long after a request for a model that they hold.
constexpr Seconds RoutedTime{10};

// An engine that refuses this many connections in a row is down. The platform
// lists it for some time after its process has died.
constexpr unsigned MissesUntilDown = 2;

} // namespace

void Fleet::startReaders() {
  m_scheduler = std::thread([this] { schedule(); });
  for (std::size_t I = 0; I < Readers; ++I)
    m_readers.emplace_back([this] { readDue(); });
}

void Fleet::schedule() {
  do {
    std::lock_guard<std::mutex> Lock(m_mutex);
    scheduleLocked(std::chrono::steady_clock::now());
  } while (pause(ScheduleInterval));
}

bool Fleet::wantedLocked(const EngineEntry &Entry, TimePoint Now) const {
  return std::any_of(
      Entry.m_told.begin(), Entry.m_told.end(), [&](const Artifact &Held) {
        auto At = m_wanted.find({Held.m_name, Held.m_version});
        return Held.m_kind == ArtifactKind::Model && At != m_wanted.end() &&
               Now - At->second < RoutedTime;
      });
}

ReadKind Fleet::kindOf(const EngineEntry &Entry, TimePoint Now) const {
  if (Entry.m_owned)
    return ReadKind::Owned;
  bool Told = Now < Entry.m_freshUntil;
  if (Told && Entry.m_downInRow)
    return Entry.m_remote ? ReadKind::RemoteRefresh : ReadKind::Refresh;
  if (Entry.m_misses > 0)
    return ReadKind::Doubted;
  if (Told && Entry.m_remote) {
    if (Now - Entry.m_routed < RoutedTime)
      return ReadKind::Direct;
    return !Entry.m_report && wantedLocked(Entry, Now)
               ? ReadKind::Unread
               : ReadKind::RemoteRefresh;
  }
  if (Told)
    return Entry.m_unread ? ReadKind::Unread : ReadKind::Refresh;
  return ReadKind::Direct;
}

void Fleet::scheduleLocked(TimePoint Now) {
  std::vector<EntryPtr> Entries;
  std::vector<ReadCandidate> Candidates;
  m_direct = 0;
  for (auto It = m_wanted.begin(); It != m_wanted.end();)
    It = Now - It->second < RoutedTime ? std::next(It) : m_wanted.erase(It);
  for (const auto &[Name, Entry] : m_engines) {
    const ReadKind Kind = kindOf(*Entry, Now);
    m_direct += Kind == ReadKind::Direct ? 1 : 0;
    if (Entry->m_reading)
      continue;
    Entries.push_back(Entry);
    Candidates.push_back({Kind, Entry->m_lastRead});
  }
  std::size_t Others = ReadersOfOthers - m_readingOthers;
  for (std::size_t I : m_schedule.due(Candidates, Others, Now)) {
    EngineEntry &Entry = *Entries[I];
    Entry.m_reading = true;
    Entry.m_lastRead = Now;
    Entry.m_readAsOther = Candidates[I].m_kind != ReadKind::Owned;
    if (Entry.m_readAsOther)
      ++m_readingOthers;
    m_due.push_back(Entries[I]);
  }
  if (!m_due.empty())
    m_dueAdded.notify_all();
}

void Fleet::readDue() {
  std::unique_lock<std::mutex> Lock(m_mutex);
  while (true) {
    m_dueAdded.wait(Lock, [this] { return m_stopping || !m_due.empty(); });
    if (m_stopping)
      return;
    EntryPtr Entry = m_due.front();
    m_due.pop_front();
    Lock.unlock();
    ++(Entry->m_readAsOther ? m_otherReads : m_ownedReads);
    if (!Entry->m_removed && readEntry(*Entry))
      readCacheEvents(*Entry);
    Lock.lock();
    Entry->m_reading = false;
    if (Entry->m_readAsOther)
      --m_readingOthers;
  }
}

Result<LoadReport> Fleet::readEntry(EngineEntry &Entry) {
  const std::string &Name = Entry.m_vm.m_name;
  Result<LoadReport> Report =
      makeError(ErrorKind::NotFound, "not owned; read it directly");
  if (Entry.m_owned && m_readOwned)
    Report = m_readOwned(Name);
  if (!Report && Report.error().m_kind == ErrorKind::NotFound)
    Report = Entry.m_client->report();
  bool NotConnected =
      !Report && Report.error().m_kind == ErrorKind::Unavailable;
  if (Report || NotConnected)
    noteReach(Entry, Report.has_value());
  if (Report)
    onReport(Name, Report.value());
  return Report;
}

void Fleet::noteReach(EngineEntry &Entry, bool Reached) {
  VmInfo Vm;
  bool Down = false;
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    Entry.m_misses = Reached ? 0U : Entry.m_misses + 1U;
    // The engine itself knows better than its owner whether it answers.
    if (Reached)
      Entry.m_downInRow = false;
    Down = Entry.m_misses >= MissesUntilDown || Entry.m_downInRow;
    Vm = Entry.m_vm;
    if (Down == Entry.m_down || Entry.m_removed)
      return;
    Entry.m_down = Down;
  }
  showReach(Vm, Down);
}

void Fleet::showReach(const VmInfo &Vm, bool Down) {
  spdlog::info("event=endpoint endpoint={} reachable={}", Vm.m_name, !Down);
  if (Down)
    m_gate.with([&](Dispatcher &D, TimePoint Now) {
      D.removeEndpoint(Vm.m_name, Now);
    });
  else
    showEndpoint(Vm);
}

void Fleet::onRefused(const std::string &Name) {
  std::lock_guard<std::mutex> Lock(m_mutex);
  auto It = m_engines.find(Name);
  if (It == m_engines.end())
    return;
  EngineEntry &Entry = *It->second;
  if (Entry.m_misses == 0)
    Entry.m_misses = 1;
  Entry.m_lastRead = TimePoint{};
}

bool Fleet::takeRowLocked(EngineEntry &Entry, const OwnerRow &Row,
                          TimePoint Now) {
  const EndpointSummary &Told = *Row.m_summary;
  bool Down = Told.m_state == SummaryState::Down;
  // An owner that could not read the engine lately tells no artifacts.
  if (!Down && Told.m_models.empty()) {
    Entry.m_freshUntil = TimePoint{};
    Entry.m_hidesUntil = TimePoint{};
    return false;
  }
  Entry.m_freshUntil = Row.m_freshUntil;
  if (Row.m_progressed == Entry.m_rowAt)
    return false;
  Entry.m_rowAt = Row.m_progressed;
  if (Now < Row.m_freshUntil) {
    // An engine that came back may be another run.
    Entry.m_unread = Entry.m_unread || (Entry.m_downInRow && !Down);
    Entry.m_downInRow = Down && Row.m_progressed - Entry.m_answered >= RowLag;
  }
  if (Down)
    return false;
  Entry.m_told = heldArtifacts(Told);
  Entry.m_hidesUntil = Row.m_hidesUntil;
  if (!Entry.m_report || Now >= Row.m_freshUntil ||
      Row.m_progressed - Entry.m_answered < RowLag)
    return true;
  Entry.m_report = withRow(std::move(*Entry.m_report), Told, m_sizes);
  Entry.m_reportedAt = std::max(Entry.m_reportedAt, Row.m_progressed);
  for (const Artifact &Held : Entry.m_told)
    if (m_sizes.count(Held) == 0)
      Entry.m_unread = true;
  return true;
}

void Fleet::noteDownLocked(EngineEntry &Entry,
                           std::vector<std::pair<VmInfo, bool>> &Reach) {
  bool Down = Entry.m_misses >= MissesUntilDown || Entry.m_downInRow;
  if (Down != Entry.m_down)
    Reach.emplace_back(Entry.m_vm, Down);
  Entry.m_down = Down;
}

bool Fleet::takeRemoteLocked(EngineEntry &Entry, const EndpointSummary &Told,
                             TimePoint Progressed,
                             const std::map<Artifact, std::uint64_t> &Sizes) {
  const bool Down = Told.m_state == SummaryState::Down;
  if (!Down && Told.m_models.empty()) {
    Entry.m_remote = false;
    Entry.m_freshUntil = TimePoint{};
    return false;
  }
  const bool Later = Progressed - Entry.m_answered >= SummaryLag;
  Entry.m_remote = true;
  Entry.m_freshUntil = Progressed + SummaryFreshness;
  Entry.m_downInRow = Down && (Later || !Entry.m_report);
  if (Down)
    return false;
  std::set<Artifact> Held = heldArtifacts(Told);
  bool Changed = Held != Entry.m_told;
  for (const Artifact &Before : Entry.m_told)
    if (Held.count(Before) == 0)
      Entry.m_dropped.insert(Before);
  for (const Artifact &Each : Held)
    Entry.m_dropped.erase(Each);
  Entry.m_told = std::move(Held);
  const EndpointSummary Last = std::exchange(Entry.m_remoteRow, Told);
  if (!Entry.m_report || !Later)
    return Changed;
  // An unchanged row is used once after an answer of the engine.
  if (!Changed && Entry.m_rowAt > Entry.m_answered &&
      Last.m_loadBucket == Told.m_loadBucket &&
      Last.m_freeSlots == Told.m_freeSlots)
    return false;
  Entry.m_rowAt = Progressed;
  Entry.m_report = withRow(std::move(*Entry.m_report), Told, Sizes);
  Entry.m_reportedAt = std::max(Entry.m_reportedAt, Progressed);
  return true;
}

void Fleet::onRegion(const std::string &Region,
                     const std::map<std::string, EndpointSummary> &Told,
                     TimePoint Progressed, TimePoint) {
  std::vector<std::string> Changed;
  std::vector<std::pair<VmInfo, bool>> Reach;
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    for (const auto &[Name, Entry] : m_engines) {
      if (Entry->m_vm.m_region != Region || Entry->m_owned)
        continue;
      auto Row = Told.find(Name);
      if (Row == Told.end()) {
        // No owner tells of it: it is read directly.
        Entry->m_remote = false;
        Entry->m_downInRow = false;
        Entry->m_freshUntil = TimePoint{};
      } else if (takeRemoteLocked(*Entry, Row->second, Progressed, m_sizes)) {
        Changed.push_back(Name);
      }
      noteDownLocked(*Entry, Reach);
    }
  }
  for (const auto &[Vm, Down] : Reach)
    showReach(Vm, Down);
  for (const std::string &Name : Changed)
    tellDispatcher(Name);
}

void Fleet::noteWanted(const std::string &Model, const std::string &Version) {
  std::lock_guard<std::mutex> Lock(m_mutex);
  m_wanted[{Model, Version}] = std::chrono::steady_clock::now();
}

void Fleet::noteRouted(const std::string &Name) {
  std::lock_guard<std::mutex> Lock(m_mutex);
  auto It = m_engines.find(Name);
  if (It != m_engines.end())
    It->second->m_routed = std::chrono::steady_clock::now();
}

void Fleet::onRows(const std::map<std::string, OwnerRow> &Rows, TimePoint Now) {
  std::vector<std::string> Changed;
  std::vector<std::pair<VmInfo, bool>> Reach;
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    for (const auto &[Name, Entry] : m_engines) {
      auto Row = Rows.find(Name);
      // The summary of another region tells of it; no row does.
      if (Entry->m_remote && Row == Rows.end())
        continue;
      Entry->m_remote = false;
      if (Entry->m_owned || Row == Rows.end()) {
        // An engine that its last owner saw down is shown when it answers.
        Entry->m_freshUntil = TimePoint{};
        Entry->m_hidesUntil = TimePoint{};
      } else if (takeRowLocked(*Entry, Row->second, Now)) {
        Changed.push_back(Name);
      }
      noteDownLocked(*Entry, Reach);
    }
  }
  for (const auto &[Vm, Down] : Reach)
    showReach(Vm, Down);
  for (const std::string &Name : Changed)
    tellDispatcher(Name);
}

void Fleet::readCacheEvents(EngineEntry &Entry) {
  auto Events = Entry.m_client->cacheEvents(Entry.m_cacheSequence);
  if (!Events || Events.value().empty())
    return;
  Entry.m_cacheSequence = Events.value().back().m_sequence;
  m_gate.with([&](Dispatcher &D, TimePoint Now) {
    D.onCacheEvents(Entry.m_vm.m_name, Events.value(), Now);
  });
}

} // namespace primroseworks
