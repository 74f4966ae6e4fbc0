// Counts the calls of a key-value client.
#include "primroseworks/countingkvstore.h"

#include <atomic>

namespace primroseworks {

namespace {

class Counting : public CountingKvStore {
public:
  explicit Counting(std::unique_ptr<KvStore> Inner)
      : m_inner(std::move(Inner)) {}

  Result<std::optional<KvEntry>> get(const std::string &Key) override {
    return count(m_reads, m_inner->get(Key));
  }
  Result<CasResult> compareAndSwap(const std::string &Key,
                                   std::uint64_t Expected,
                                   const std::optional<std::string> &Value,
                                   std::optional<LeaseId> Lease) override {
    return count(m_writes,
                 m_inner->compareAndSwap(Key, Expected, Value, Lease));
  }
  Result<RangeResult> range(const std::string &Prefix) override {
    return count(m_reads, m_inner->range(Prefix));
  }
  Result<WatchResult> watch(const std::string &Prefix, std::uint64_t After,
                            Milliseconds Wait) override {
    return count(m_watches, m_inner->watch(Prefix, After, Wait));
  }
  Result<LeaseId> grantLease(Milliseconds Ttl) override {
    return count(m_writes, m_inner->grantLease(Ttl));
  }
  Result<void> renewLease(LeaseId Lease) override {
    return count(m_writes, m_inner->renewLease(Lease));
  }
  Result<void> revokeLease(LeaseId Lease) override {
    return count(m_writes, m_inner->revokeLease(Lease));
  }
  KvCallCounts counts() const override {
    return {m_reads, m_writes, m_watches, m_failures};
  }

private:
  using Counter = std::atomic<std::uint64_t>;

  template <class T> Result<T> count(Counter &Which, Result<T> Answer) {
    ++Which;
    if (!Answer)
      ++m_failures;
    return Answer;
  }

  std::unique_ptr<KvStore> m_inner;
  Counter m_reads{0};
  Counter m_writes{0};
  Counter m_watches{0};
  Counter m_failures{0};
};

} // namespace

std::unique_ptr<CountingKvStore>
createCountingKvStore(std::unique_ptr<KvStore> Inner) {
  return std::make_unique<Counting>(std::move(Inner));
}

} // namespace primroseworks
