// Fault layer in front of a key-value service.
#include "libkv/prefix_pvt.h"
#include "primroseworks/memorykvstore.h"

#include <deque>
#include <mutex>
#include <random>
#include <thread>

namespace primroseworks {
namespace {

using pvt::startsWith;

/// What happens to one write.
enum class WriteFault { None, Unavailable, LostAnswer, LostWrite, Delayed };

class FaultyKvStoreImpl final : public FaultyKvStore {
public:
  explicit FaultyKvStoreImpl(KvStore &Target) : m_target(Target) {}

  Result<std::optional<KvEntry>> get(const std::string &Key) override {
    BOOST_OUTCOME_TRYV(beforeRead(Key));
    return m_target.get(Key);
  }

  Result<CasResult> compareAndSwap(const std::string &Key,
                                   std::uint64_t Expected,
                                   const std::optional<std::string> &Value,
                                   std::optional<LeaseId> Lease) override {
    switch (beforeWrite(Key, true)) {
    case WriteFault::None:
      return m_target.compareAndSwap(Key, Expected, Value, Lease);
    case WriteFault::Unavailable:
      return outage();
    case WriteFault::LostAnswer:
      (void)m_target.compareAndSwap(Key, Expected, Value, Lease);
      return noAnswer();
    case WriteFault::LostWrite:
      return noAnswer();
    case WriteFault::Delayed:
      std::lock_guard<std::mutex> Lock(m_mutex);
      m_delayed.push_back({Key, Expected, Value, Lease});
      return noAnswer();
    }
    return noAnswer();
  }

  Result<RangeResult> range(const std::string &Prefix) override {
    BOOST_OUTCOME_TRYV(beforeRead(Prefix));
    return m_target.range(Prefix);
  }

  Result<WatchResult> watch(const std::string &Prefix, std::uint64_t After,
                            Milliseconds Wait) override {
    BOOST_OUTCOME_TRYV(beforeRead(Prefix));
    bool Silent = false;
    {
      std::lock_guard<std::mutex> Lock(m_mutex);
      Silent = m_silentWatch;
      m_faults += Silent ? 1 : 0;
    }
    if (!Silent)
      return m_target.watch(Prefix, After, Wait);
    std::this_thread::sleep_for(Wait);
    return WatchResult{{}, After};
  }

  Result<LeaseId> grantLease(Milliseconds Ttl) override {
    return leaseCall<LeaseId>([&] { return m_target.grantLease(Ttl); });
  }
  Result<void> renewLease(LeaseId Lease) override {
    return leaseCall<void>([&] { return m_target.renewLease(Lease); });
  }
  Result<void> revokeLease(LeaseId Lease) override {
    return leaseCall<void>([&] { return m_target.revokeLease(Lease); });
  }

  void setOutage(bool On) override {
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_outage = On;
  }
  void setSlowness(Milliseconds Delay) override {
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_delay = Delay;
  }
  void loseAnswers(unsigned Count) override {
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_lostAnswers = Count;
  }
  void loseWrites(unsigned Count) override {
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_lostWrites = Count;
  }
  void delayWrites(unsigned Count) override {
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_delayCount = Count;
  }
  void applyDelayedWrites() override {
    std::deque<DelayedWrite> Due;
    {
      std::lock_guard<std::mutex> Lock(m_mutex);
      Due.swap(m_delayed);
    }
    for (const DelayedWrite &Write : Due)
      (void)m_target.compareAndSwap(Write.m_key, Write.m_expected,
                                    Write.m_value, Write.m_lease);
  }
  void setSilentWatch(bool On) override {
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_silentWatch = On;
  }
  void setFaultPrefix(std::string Prefix) override {
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_prefix = std::move(Prefix);
  }
  void setRates(KvFaultRates Rates) override {
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_rates = Rates;
    m_random.seed(Rates.m_seed);
  }
  std::uint64_t faults() const override {
    std::lock_guard<std::mutex> Lock(m_mutex);
    return m_faults;
  }

private:
  struct DelayedWrite {
    std::string m_key;
    std::uint64_t m_expected = 0;
    std::optional<std::string> m_value;
    std::optional<LeaseId> m_lease;
  };

  static Error outage() {
    return makeError(ErrorKind::Unavailable,
                     "the store is unavailable; try again later");
  }
  static Error noAnswer() {
    return makeError(ErrorKind::Timeout, "the store did not answer in time; "
                                         "read back what the call changed");
  }

  bool draw(double Chance) {
    return Chance > 0 &&
           std::uniform_real_distribution<double>(0, 1)(m_random) < Chance;
  }
  static bool takeOne(unsigned &Count) {
    if (Count == 0)
      return false;
    --Count;
    return true;
  }

  void sleepIfSlow() {
    Milliseconds Delay{0};
    {
      std::lock_guard<std::mutex> Lock(m_mutex);
      Delay = m_delay;
    }
    if (Delay > Milliseconds(0))
      std::this_thread::sleep_for(Delay);
  }

  /// Applies delayed writes at random, when rates ask for delays.
  void applySomeDelayedWrites() {
    {
      std::lock_guard<std::mutex> Lock(m_mutex);
      if (m_rates.m_delayedWrite <= 0 || m_delayed.empty() || !draw(0.5))
        return;
    }
    applyDelayedWrites();
  }

  Result<void> beforeRead(const std::string &Key) {
    sleepIfSlow();
    applySomeDelayedWrites();
    std::lock_guard<std::mutex> Lock(m_mutex);
    if (!startsWith(Key, m_prefix))
      return boost::outcome_v2::success();
    if (!m_outage && !draw(m_rates.m_unavailable))
      return boost::outcome_v2::success();
    ++m_faults;
    return outage();
  }

  WriteFault beforeWrite(const std::string &Key, bool MayDelay) {
    sleepIfSlow();
    applySomeDelayedWrites();
    std::lock_guard<std::mutex> Lock(m_mutex);
    if (!startsWith(Key, m_prefix))
      return WriteFault::None;
    const WriteFault Fault = chooseWriteFault(MayDelay);
    m_faults += Fault == WriteFault::None ? 0 : 1;
    return Fault;
  }

  WriteFault chooseWriteFault(bool MayDelay) {
    if (m_outage || draw(m_rates.m_unavailable))
      return WriteFault::Unavailable;
    if (takeOne(m_lostAnswers) || draw(m_rates.m_lostAnswer))
      return WriteFault::LostAnswer;
    if (takeOne(m_lostWrites) || draw(m_rates.m_lostWrite))
      return WriteFault::LostWrite;
    if (MayDelay && (takeOne(m_delayCount) || draw(m_rates.m_delayedWrite)))
      return WriteFault::Delayed;
    return WriteFault::None;
  }

  template <class T, class F> Result<T> leaseCall(F Call) {
    switch (beforeWrite("", false)) {
    case WriteFault::None:
      return Call();
    case WriteFault::Unavailable:
      return outage();
    case WriteFault::LostAnswer:
      (void)Call();
      return noAnswer();
    case WriteFault::LostWrite:
    case WriteFault::Delayed:
      return noAnswer();
    }
    return noAnswer();
  }

  KvStore &m_target;
  mutable std::mutex m_mutex;
  bool m_outage = false;
  bool m_silentWatch = false;
  Milliseconds m_delay{0};
  unsigned m_lostAnswers = 0;
  unsigned m_lostWrites = 0;
  unsigned m_delayCount = 0;
  std::deque<DelayedWrite> m_delayed;
  std::string m_prefix;
  KvFaultRates m_rates;
  std::mt19937_64 m_random{1};
  std::uint64_t m_faults = 0;
};

} // namespace

std::unique_ptr<FaultyKvStore> FaultyKvStore::create(KvStore &Target) {
  return std::make_unique<FaultyKvStoreImpl>(Target);
}

} // namespace primroseworks
