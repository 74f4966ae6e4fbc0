// Leased units of a shared limit.
//
// Expiry needs no common clock. Every write of a holder raises the `renewal` of
// its entry. The holder counts its units as valid for the TTL, less the guard,
// from the moment before it sent the last write that it knows to have taken
// effect. Another holder removes the entry only after it has seen the same
// `renewal` for the TTL plus the longest operation by its own clock, counted
// from after it read it; its compare-and-swap fails if the entry was renewed
// in the meantime. An entry thus outlives every use of its units. When the
// holder's process is proved gone, it starts nothing more, and the entry is
// removed the longest operation later.
#include "primroseworks/limits.h"

#include "liblimits/record.h"
#include "liblimits/starts.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <utility>

namespace primroseworks {

using namespace pvt;

namespace {
// Attempts of one sync() when other holders write in between.
constexpr unsigned MaxConflicts = 5;

/// What is known of another holder's entry.
struct Observation {
  std::uint64_t m_renewal = 0;
  /// Start of the first sync() after the renewal was read; a time before the
  /// answer of the read could lie before the renewal itself.
  std::optional<TimePoint> m_since;
};

class LeasedLimit : public SharedLimit {
public:
  LeasedLimit(KvStore &Store, SharedLimitOptions Options)
      : m_store(Store), m_options(std::move(Options)),
        m_key("limit/" + m_options.m_name) {}

  void setLimit(unsigned Units, std::uint64_t Revision,
                double StartsPerSecond) override;
  void setWanted(unsigned Units) override;
  bool tryAcquire(TimePoint Now) override;
  void release(TimePoint Now) override;
  Result<void> sync(TimePoint Now) override;
  Result<void> close(TimePoint Now) override;
  void holderGone(const std::string &Holder, std::uint64_t UpTo,
                  TimePoint Now) override;
  unsigned inUse() const override;
  unsigned held(TimePoint Now) const override;
  unsigned limit() const override;

private:
  TimePoint clock() const;
  bool due(TimePoint Now) const;
  bool gone(std::uint64_t Incarnation, const LimitEntry &Entry,
            TimePoint Now) const;
  unsigned busy() const;
  bool startsMissing() const;
  void startTimers(TimePoint Now);
  void observe(const LimitRecord &Record);
  void reserve(LimitRecord &Next, unsigned Target, TimePoint Now,
               TimePoint Present);
  Result<void> update(TimePoint Now);
  Result<bool> settle(const LimitRecord &Sent);
  LimitRecord next(const LimitRecord &Current, TimePoint Now);
  void takeLimit(LimitRecord &Next);
  unsigned targetUnits(const LimitRecord &Current, unsigned Have,
                       TimePoint Now);
  bool sameAs(const LimitRecord &Current, const LimitRecord &Next,
              TimePoint Now) const;
  void removeExpired(LimitRecord &Record, TimePoint Now) const;
  void applied(const LimitRecord &Written, TimePoint Sent);

  KvStore &m_store;
  const SharedLimitOptions m_options;
  const std::string m_key;
  std::mutex m_syncMutex; ///< Held during sync(), across calls to the store.

  mutable std::mutex m_mutex; ///< Guards everything below; never held in I/O.
  unsigned m_limit = 0;
  std::uint64_t m_limitRevision = 0;
  double m_startsPerSecond = 0;
  unsigned m_wanted = 0;
  bool m_wantedRose = false; ///< Since the last sync().
  unsigned m_inUse = 0;
  /// Units that the entry in the store is known to cover, whichever of this
  /// holder's unanswered writes take effect.
  unsigned m_covered = 0;
  /// Units that may be used while other holders wait for theirs.
  unsigned m_allowed = ~0U;
  TimePoint m_validUntil;  ///< No unit is acquired from here on.
  TimePoint m_idleSince;   ///< Last time when all covered units were in use.
  bool m_hasEntry = false; ///< The store may hold an entry of this holder.
  bool m_closed = false;
  std::uint64_t m_renewal = 0;
  std::optional<TimePoint> m_lastSync;
  std::optional<TimePoint> m_lastWrite; ///< Sent, and known to have effect.
  std::map<std::uint64_t, Observation> m_observed;
  /// By holder: the highest incarnation that is proved gone, and since when.
  std::map<std::string, std::pair<std::uint64_t, TimePoint>> m_gone;
  StartSchedule m_starts;
};

TimePoint LeasedLimit::clock() const {
  return m_options.m_clock ? m_options.m_clock()
                           : std::chrono::steady_clock::now();
}

void LeasedLimit::setLimit(unsigned Units, std::uint64_t Revision,
                           double StartsPerSecond) {
  std::lock_guard<std::mutex> Lock(m_mutex);
  if (Revision < m_limitRevision)
    return;
  m_limit = Units;
  m_startsPerSecond = std::max(0.0, StartsPerSecond);
  m_limitRevision = Revision;
}

void LeasedLimit::setWanted(unsigned Units) {
  std::lock_guard<std::mutex> Lock(m_mutex);
  m_wantedRose |= Units > m_wanted;
  m_wanted = Units;
}

// Units that are used, or kept for a reserved start.
unsigned LeasedLimit::busy() const { return m_inUse + m_starts.reserved(); }

bool LeasedLimit::startsMissing() const {
  return m_startsPerSecond > 0 && std::min(m_wanted, m_covered) > busy();
}

bool LeasedLimit::tryAcquire(TimePoint Now) {
  std::lock_guard<std::mutex> Lock(m_mutex);
  if (m_closed || Now >= m_validUntil ||
      m_inUse >= std::min(m_covered, m_allowed))
    return false;
  if (m_startsPerSecond > 0 && !m_starts.take(m_startsPerSecond, Now))
    return false;
  if (++m_inUse == m_covered)
    m_idleSince = Now;
  return true;
}

void LeasedLimit::release(TimePoint Now) {
  std::lock_guard<std::mutex> Lock(m_mutex);
  if (m_inUse >= m_covered)
    m_idleSince = Now;
  if (m_inUse > 0)
    --m_inUse;
}

unsigned LeasedLimit::inUse() const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  return m_inUse;
}

unsigned LeasedLimit::held(TimePoint Now) const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  return Now < m_validUntil && !m_closed ? m_covered : 0;
}

unsigned LeasedLimit::limit() const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  return m_limit;
}

// A holder that neither has nor wants units does not call the store.
bool LeasedLimit::due(TimePoint Now) const {
  if (!m_hasEntry && m_wanted == 0 && m_inUse == 0)
    return false;
  if (!m_lastSync)
    return true;
  Duration Since = Now - *m_lastSync;
  bool WantsMore = m_wanted > m_covered || startsMissing();
  // Others may wait for a start that is no longer wanted here.
  bool Unwanted = m_starts.reserved() > 0 && busy() > m_wanted;
  if ((WantsMore && m_wantedRose) || Unwanted)
    return true;
  bool Idle = m_covered > std::max(m_wanted, busy()) &&
              Now - m_idleSince >= m_options.m_idleTime;
  return Since >= (WantsMore || Idle ? m_options.m_retryInterval
                                     : m_options.m_renewInterval);
}

void LeasedLimit::startTimers(TimePoint Now) {
  for (auto &[Incarnation, Seen] : m_observed)
    if (!Seen.m_since)
      Seen.m_since = Now;
}

void LeasedLimit::observe(const LimitRecord &Record) {
  for (auto It = m_observed.begin(); It != m_observed.end();)
    It = Record.m_entries.count(It->first) == 0 ? m_observed.erase(It)
                                                : std::next(It);
  for (const auto &[Incarnation, Entry] : Record.m_entries) {
    if (Incarnation == m_options.m_incarnation)
      continue;
    auto [It, New] = m_observed.try_emplace(
        Incarnation, Observation{Entry.m_renewal, std::nullopt});
    if (!New && It->second.m_renewal != Entry.m_renewal)
      It->second = {Entry.m_renewal, std::nullopt};
  }
}

void LeasedLimit::holderGone(const std::string &Holder, std::uint64_t UpTo,
                             TimePoint Now) {
  std::lock_guard<std::mutex> Lock(m_mutex);
  auto [It, New] = m_gone.try_emplace(Holder, UpTo, Now);
  if (!New && UpTo > It->second.first)
    It->second = {UpTo, Now};
}

bool LeasedLimit::gone(std::uint64_t Incarnation, const LimitEntry &Entry,
                       TimePoint Now) const {
  auto It = m_gone.find(Entry.m_holder);
  return It != m_gone.end() && Incarnation <= It->second.first &&
         Now - It->second.second >=
             m_options.m_longestOperation + m_options.m_guard;
}

// Runs after observe() of the same record, so every observation is of the
// renewal in the record.
void LeasedLimit::removeExpired(LimitRecord &Record, TimePoint Now) const {
  for (const auto &[Incarnation, Seen] : m_observed) {
    auto It = Record.m_entries.find(Incarnation);
    if (It == Record.m_entries.end())
      continue;
    bool Expired =
        Seen.m_since &&
        Now - *Seen.m_since >= m_options.m_ttl + m_options.m_longestOperation;
    if (Expired || gone(Incarnation, It->second, Now))
      Record.m_entries.erase(It);
  }
}

// How many units the holder's entry should have. Units in use are never given
// back; idle ones are when others want them, when the limit was lowered, or
// when they have been idle for long.
unsigned LeasedLimit::targetUnits(const LimitRecord &Current, unsigned Have,
                                  TimePoint Now) {
  const unsigned Busy = busy();
  unsigned Wanted = m_closed ? 0 : std::max(m_wanted, Busy);
  unsigned Total = Current.total();
  unsigned Free = Current.m_limit > Total ? Current.m_limit - Total : 0;
  bool OthersWait = false;
  unsigned Claimants = 1;
  for (const auto &[Incarnation, Entry] : Current.m_entries) {
    if (Incarnation == m_options.m_incarnation)
      continue;
    OthersWait |= Entry.m_wanted > Entry.m_units;
    Claimants += Entry.m_wanted > 0 || Entry.m_units > 0 ? 1 : 0;
  }
  // With more claimants than units the share is 0: a unit is used for one turn
  // and then returned.
  unsigned Share = OthersWait ? Current.m_limit / Claimants : ~0U;
  m_allowed = std::max(Share, Busy);
  if (Wanted > Have && Have < std::max(1U, Share)) {
    unsigned Target =
        Have + std::min({Free, Wanted - Have, std::max(1U, Share) - Have});
    m_allowed = std::max(m_allowed, Target);
    return Target;
  }
  bool Return = m_closed || OthersWait || Total > Current.m_limit ||
                Now - m_idleSince >= m_options.m_idleTime;
  if (!Return)
    return Have;
  return std::min(Have, std::max(Busy, std::min(Wanted, Share)));
}

// Reserves starts for the units that this holder wants to use and is about to
// have.
void LeasedLimit::reserve(LimitRecord &Next, unsigned Target, TimePoint Now,
                          TimePoint Present) {
  unsigned Usable = m_closed ? 0 : std::min(m_wanted, Target);
  unsigned Missing = Usable > busy() ? Usable - busy() : 0;
  m_starts.reserve(Next, Missing, Now, Present);
}

// The configuration with the highest revision is in force.
void LeasedLimit::takeLimit(LimitRecord &Next) {
  if (m_limitRevision >= Next.m_limitRevision) {
    Next.m_limit = m_limit;
    Next.m_startsPerSecond = m_startsPerSecond;
    Next.m_limitRevision = m_limitRevision;
  } else {
    m_limit = Next.m_limit;
    m_startsPerSecond = Next.m_startsPerSecond;
    m_limitRevision = Next.m_limitRevision;
  }
}

// The record that this holder wants to write over Current.
LimitRecord LeasedLimit::next(const LimitRecord &Current, TimePoint Now) {
  LimitRecord Next = Current;
  takeLimit(Next);
  removeExpired(Next, Now);
  auto Own = Next.m_entries.find(m_options.m_incarnation);
  unsigned Have = Own == Next.m_entries.end() ? 0 : Own->second.m_units;
  const TimePoint Present = std::max(Now, clock());
  unsigned Waiting = m_wanted > m_inUse ? m_wanted - m_inUse : 0;
  m_starts.drop(m_closed ? 0 : Waiting, Present);
  unsigned Target = targetUnits(Next, Have, Now);
  // Until the write is answered, only what both the old and the new entry
  // cover may be used.
  m_covered = std::min({m_covered, Have, Target});
  reserve(Next, Target, Now, Present);
  ++m_renewal;
  if (Target == 0 && m_wanted == 0)
    Next.m_entries.erase(m_options.m_incarnation);
  else
    Next.m_entries[m_options.m_incarnation] = {m_options.m_holder, m_renewal,
                                               Target, m_wanted};
  return Next;
}

// True if the write would only renew, and it is too early for that. A holder
// that waits for units reads more often than it writes.
bool LeasedLimit::sameAs(const LimitRecord &Current, const LimitRecord &Next,
                         TimePoint Now) const {
  if (!m_lastWrite || Now - *m_lastWrite >= m_options.m_renewInterval ||
      Current.m_entries.size() != Next.m_entries.size() ||
      Current.m_limitRevision != Next.m_limitRevision)
    return false;
  auto Old = Current.m_entries.find(m_options.m_incarnation);
  auto New = Next.m_entries.find(m_options.m_incarnation);
  return Old != Current.m_entries.end() && New != Next.m_entries.end() &&
         Old->second.m_units == New->second.m_units &&
         Old->second.m_wanted == New->second.m_wanted && !m_starts.added() &&
         m_covered == New->second.m_units;
}

void LeasedLimit::applied(const LimitRecord &Written, TimePoint Sent) {
  auto Own = Written.m_entries.find(m_options.m_incarnation);
  m_hasEntry = Own != Written.m_entries.end();
  m_covered = m_hasEntry ? Own->second.m_units : 0;
  m_lastWrite = Sent;
  m_validUntil = Sent + m_options.m_ttl - m_options.m_guard;
  m_starts.applied();
  observe(Written);
}

// After a write without an answer: did it take effect? The write may still
// arrive later, as long as nobody writes in between; m_covered allows for it.
Result<bool> LeasedLimit::settle(const LimitRecord &Sent) {
  BOOST_OUTCOME_TRY(Entry, m_store.get(m_key));
  if (!Entry)
    return false;
  BOOST_OUTCOME_TRY(Record, LimitRecord::decode(Entry->m_value));
  auto Mine = Sent.m_entries.find(m_options.m_incarnation);
  auto Found = Record.m_entries.find(m_options.m_incarnation);
  // Only this holder raises its renewal, one write at a time.
  return Mine != Sent.m_entries.end() && Found != Record.m_entries.end() &&
         Mine->second.m_renewal == Found->second.m_renewal;
}

Result<void> LeasedLimit::update(TimePoint Now) {
  BOOST_OUTCOME_TRY(Entry, m_store.get(m_key));
  TimePoint Read = std::max(Now, clock());
  for (unsigned Try = 0; Try < MaxConflicts; ++Try) {
    LimitRecord Current;
    if (Entry) {
      BOOST_OUTCOME_TRY(Decoded, LimitRecord::decode(Entry->m_value));
      Current = std::move(Decoded);
    }
    LimitRecord Next;
    {
      std::lock_guard<std::mutex> Lock(m_mutex);
      observe(Current);
      m_starts.observe(Current, Read);
      Next = next(Current, Now);
      if (sameAs(Current, Next, Now))
        return boost::outcome_v2::success();
      m_hasEntry = true;
    }
    auto Written = m_store.compareAndSwap(m_key, Entry ? Entry->m_revision : 0,
                                          Next.encode());
    bool Applied = Written && Written.value().m_applied;
    if (!Written) {
      if (Written.error().m_kind != ErrorKind::Timeout)
        return Written.error();
      BOOST_OUTCOME_TRY(Settled, settle(Next));
      if (!Settled)
        return Written.error();
      Applied = true;
    }
    if (Applied) {
      std::lock_guard<std::mutex> Lock(m_mutex);
      applied(Next, Now);
      return boost::outcome_v2::success();
    }
    Entry = Written.value().m_current;
    Read = std::max(Now, clock());
  }
  return makeError(ErrorKind::Conflict,
                   "other holders of " + m_key +
                       " kept writing; it is tried again at the next sync");
}

Result<void> LeasedLimit::sync(TimePoint Now) {
  std::lock_guard<std::mutex> SyncLock(m_syncMutex);
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    startTimers(Now);
    if (!due(Now))
      return boost::outcome_v2::success();
    m_lastSync = Now;
    m_wantedRose = false;
  }
  return update(Now);
}

Result<void> LeasedLimit::close(TimePoint Now) {
  std::lock_guard<std::mutex> SyncLock(m_syncMutex);
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_closed = true;
    m_wanted = 0;
    startTimers(Now);
    if (!m_hasEntry)
      return boost::outcome_v2::success();
  }
  return update(Now);
}

bool inRange(const SharedLimitOptions &O) {
  return !O.m_name.empty() && O.m_incarnation != 0 &&
         O.m_guard >= Milliseconds(0) && O.m_ttl > O.m_guard &&
         O.m_renewInterval > Milliseconds(0) &&
         O.m_renewInterval < O.m_ttl - O.m_guard &&
         O.m_longestOperation >= Milliseconds(0);
}
} // namespace

Result<std::unique_ptr<SharedLimit>>
SharedLimit::create(KvStore &Store, SharedLimitOptions Options) {
  if (!inRange(Options))
    return makeError(ErrorKind::InvalidArgument,
                     "limit options out of range; give a name, an incarnation "
                     "above 0 and a renewal interval shorter than the TTL "
                     "without the guard");
  return std::unique_ptr<SharedLimit>(
      std::make_unique<LeasedLimit>(Store, std::move(Options)));
}

} // namespace primroseworks
