// In-memory key-value service.
#include "primroseworks/memorykvstore.h"
#include "libkv/prefix_pvt.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <set>

namespace primroseworks {
namespace {

using pvt::startsWith;

/// Longest time for which a waiting watch does not look at the leases.
constexpr Milliseconds LeaseCheckInterval{50};

/// Token bucket that holds one second of calls.
class RateLimit {
public:
  RateLimit(double PerSecond, TimePoint Now)
      : m_perSecond(PerSecond), m_tokens(std::max(1.0, PerSecond)),
        m_last(Now) {}

  bool take(TimePoint Now) {
    if (m_perSecond <= 0)
      return true;
    m_tokens = std::min(std::max(1.0, m_perSecond),
                        m_tokens + toSeconds(Now - m_last) * m_perSecond);
    m_last = Now;
    if (m_tokens < 1.0)
      return false;
    m_tokens -= 1.0;
    return true;
  }

private:
  double m_perSecond;
  double m_tokens;
  TimePoint m_last;
};

struct StoredValue {
  std::string m_value;
  std::uint64_t m_revision = 0;
  std::optional<LeaseId> m_lease;
};

struct StoredLease {
  TimePoint m_expiry;
  Milliseconds m_ttl{0};
  std::set<std::string> m_keys;
};

class MemoryKvStoreImpl final : public MemoryKvStore {
public:
  explicit MemoryKvStoreImpl(MemoryKvOptions Options)
      : m_options(std::move(Options)),
        m_readLimit(m_options.m_readsPerSecond, now()),
        m_writeLimit(m_options.m_writesPerSecond, now()) {}

  Result<std::optional<KvEntry>> get(const std::string &Key) override {
    std::lock_guard<std::mutex> Lock(m_mutex);
    BOOST_OUTCOME_TRYV(startRead());
    return entryOf(Key);
  }

  Result<CasResult> compareAndSwap(const std::string &Key,
                                   std::uint64_t Expected,
                                   const std::optional<std::string> &Value,
                                   std::optional<LeaseId> Lease) override {
    std::lock_guard<std::mutex> Lock(m_mutex);
    BOOST_OUTCOME_TRYV(startWrite());
    if (Value && Value->size() > MaxKvValueBytes)
      return makeError(ErrorKind::InvalidArgument,
                       "value of key '" + Key + "' has " +
                           std::to_string(Value->size()) +
                           " bytes; keep values within " +
                           std::to_string(MaxKvValueBytes) + " bytes");
    if (Lease && m_leases.count(*Lease) == 0)
      return leaseEnded(*Lease);
    std::optional<KvEntry> Current = entryOf(Key);
    CasResult Out;
    if ((Current ? Current->m_revision : 0) != Expected) {
      Out.m_current = std::move(Current);
      return Out;
    }
    Out.m_applied = true;
    if (Value)
      put(Key, *Value, Lease);
    else if (Current)
      erase(Key);
    Out.m_revision = m_revision;
    m_changed.notify_all();
    return Out;
  }

  Result<RangeResult> range(const std::string &Prefix) override {
    std::lock_guard<std::mutex> Lock(m_mutex);
    BOOST_OUTCOME_TRYV(startRead());
    RangeResult Out;
    for (auto It = m_values.lower_bound(Prefix);
         It != m_values.end() && startsWith(It->first, Prefix); ++It)
      Out.m_entries.push_back(
          {It->first, It->second.m_value, It->second.m_revision});
    Out.m_revision = m_revision;
    return Out;
  }

  Result<WatchResult> watch(const std::string &Prefix, std::uint64_t After,
                            Milliseconds Wait) override {
    std::unique_lock<std::mutex> Lock(m_mutex);
    expireLeases();
    if (!m_readLimit.take(now()))
      return rateLimited();
    ++m_counters.m_watches;
    const auto Deadline = std::chrono::steady_clock::now() + Wait;
    while (true) {
      expireLeases();
      if (After < m_forgotten)
        return makeError(ErrorKind::NotFound,
                         "changes after revision " + std::to_string(After) +
                             " are no longer kept; read the range again");
      WatchResult Out = eventsAfter(Prefix, After);
      const auto Present = std::chrono::steady_clock::now();
      if (!Out.m_events.empty() || Present >= Deadline || m_stopped)
        return Out;
      m_changed.wait_until(Lock,
                           std::min(Deadline, Present + LeaseCheckInterval));
    }
  }

  Result<LeaseId> grantLease(Milliseconds Ttl) override {
    std::lock_guard<std::mutex> Lock(m_mutex);
    BOOST_OUTCOME_TRYV(startWrite());
    if (Ttl <= Milliseconds(0))
      return makeError(ErrorKind::InvalidArgument,
                       "lease TTL is not positive; pass at least 1 ms");
    const LeaseId Id = ++m_lastLease;
    m_leases[Id] = StoredLease{now() + Ttl, Ttl, {}};
    return Id;
  }

  Result<void> renewLease(LeaseId Lease) override {
    std::lock_guard<std::mutex> Lock(m_mutex);
    BOOST_OUTCOME_TRYV(startWrite());
    auto It = m_leases.find(Lease);
    if (It == m_leases.end())
      return leaseEnded(Lease);
    It->second.m_expiry = now() + It->second.m_ttl;
    return boost::outcome_v2::success();
  }

  Result<void> revokeLease(LeaseId Lease) override {
    std::lock_guard<std::mutex> Lock(m_mutex);
    BOOST_OUTCOME_TRYV(startWrite());
    if (m_leases.count(Lease) == 0)
      return leaseEnded(Lease);
    endLease(Lease);
    return boost::outcome_v2::success();
  }

  KvCounters counters() const override {
    std::lock_guard<std::mutex> Lock(m_mutex);
    return m_counters;
  }

  void stopWatches() override {
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_stopped = true;
    m_changed.notify_all();
  }

private:
  TimePoint now() const {
    return m_options.m_clock ? m_options.m_clock()
                             : std::chrono::steady_clock::now();
  }

  Error rateLimited() {
    ++m_counters.m_rateLimited;
    return makeError(ErrorKind::RateLimited,
                     "the store's call rate is exceeded; call it less often");
  }

  static Error leaseEnded(LeaseId Lease) {
    return makeError(ErrorKind::NotFound, "lease " + std::to_string(Lease) +
                                              " has ended; grant a new one");
  }

  Result<void> startRead() {
    expireLeases();
    if (!m_readLimit.take(now()))
      return rateLimited();
    ++m_counters.m_reads;
    return boost::outcome_v2::success();
  }

  Result<void> startWrite() {
    expireLeases();
    if (!m_writeLimit.take(now()))
      return rateLimited();
    ++m_counters.m_writes;
    return boost::outcome_v2::success();
  }

  std::optional<KvEntry> entryOf(const std::string &Key) const {
    auto It = m_values.find(Key);
    if (It == m_values.end())
      return std::nullopt;
    return KvEntry{Key, It->second.m_value, It->second.m_revision};
  }

  void put(const std::string &Key, const std::string &Value,
           std::optional<LeaseId> Lease) {
    StoredValue &Stored = m_values[Key];
    detach(Key, Stored);
    Stored.m_value = Value;
    Stored.m_revision = ++m_revision;
    Stored.m_lease = Lease;
    if (Lease)
      m_leases[*Lease].m_keys.insert(Key);
    record({Key, Value, m_revision});
  }

  void erase(const std::string &Key) {
    auto It = m_values.find(Key);
    if (It == m_values.end())
      return;
    detach(Key, It->second);
    m_values.erase(It);
    ++m_revision;
    record({Key, std::nullopt, m_revision});
  }

  void detach(const std::string &Key, const StoredValue &Stored) {
    if (!Stored.m_lease)
      return;
    auto It = m_leases.find(*Stored.m_lease);
    if (It != m_leases.end())
      It->second.m_keys.erase(Key);
  }

  void record(KvEvent Event) {
    m_history.push_back(std::move(Event));
    if (m_history.size() <= m_options.m_historyLength)
      return;
    m_forgotten = m_history.front().m_revision;
    m_history.pop_front();
  }

  WatchResult eventsAfter(const std::string &Prefix,
                          std::uint64_t After) const {
    WatchResult Out;
    Out.m_revision = m_revision;
    auto It = std::upper_bound(m_history.begin(), m_history.end(), After,
                               [](std::uint64_t Revision, const KvEvent &E) {
                                 return Revision < E.m_revision;
                               });
    for (; It != m_history.end(); ++It)
      if (startsWith(It->m_key, Prefix))
        Out.m_events.push_back(*It);
    return Out;
  }

  void endLease(LeaseId Lease) {
    auto It = m_leases.find(Lease);
    const std::set<std::string> Keys = std::move(It->second.m_keys);
    m_leases.erase(It);
    for (const std::string &Key : Keys)
      erase(Key);
    m_changed.notify_all();
  }

  void expireLeases() {
    const TimePoint Now = now();
    std::vector<LeaseId> Ended;
    for (const auto &[Id, Lease] : m_leases)
      if (Lease.m_expiry <= Now)
        Ended.push_back(Id);
    for (LeaseId Id : Ended)
      endLease(Id);
  }

  const MemoryKvOptions m_options;
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  RateLimit m_readLimit;
  RateLimit m_writeLimit;
  std::map<std::string, StoredValue> m_values;
  std::map<LeaseId, StoredLease> m_leases;
  /// Changes in order of revision; all later than m_forgotten.
  std::deque<KvEvent> m_history;
  std::uint64_t m_forgotten = 0;
  std::uint64_t m_revision = 0;
  LeaseId m_lastLease = 0;
  KvCounters m_counters;
  bool m_stopped = false;
};

} // namespace

Result<std::unique_ptr<MemoryKvStore>>
MemoryKvStore::create(MemoryKvOptions Options) {
  if (Options.m_readsPerSecond < 0 || Options.m_writesPerSecond < 0)
    return makeError(ErrorKind::InvalidArgument,
                     "a call rate is negative; pass 0 for no limit");
  if (Options.m_historyLength == 0)
    return makeError(ErrorKind::InvalidArgument,
                     "history length is 0; keep at least one change");
  return std::unique_ptr<MemoryKvStore>(
      std::make_unique<MemoryKvStoreImpl>(std::move(Options)));
}

} // namespace primroseworks
