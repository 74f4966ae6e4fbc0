// Memory of the journal's keys, as allocated and as counted by its budget.
#include "primrose-controlbench/journalmemory.h"

#include "primroseworks/journal.h"
#include "primroseworks/memorykvstore.h"

#include <atomic>
#include <iostream>
#include <malloc.h>
#include <spdlog/fmt/fmt.h>
#include <thread>
#include <vector>

namespace primroseworks::controlbench {

namespace {

constexpr unsigned Writers = 32;
constexpr Milliseconds CallWait{20000};
/// Writers share a slot, so that the list of slots does not count.
constexpr Milliseconds WriteInterval{5};

struct Sample {
  std::size_t m_bodyBytes;
  unsigned m_keys;
};
constexpr Sample Samples[] = {{100, 20'000}, {1000, 20'000}, {100'000, 400}};

std::size_t allocatedBytes() {
  const auto Info = mallinfo2();
  return Info.uordblks + Info.hblkhd;
}

JournalOptions optionsOf(std::uint64_t Incarnation,
                         std::shared_ptr<JournalBudget> Budget) {
  JournalOptions Out;
  Out.m_owner = "entry-123";
  Out.m_incarnation = Incarnation;
  Out.m_minWriteInterval = WriteInterval;
  Out.m_checkpointSlots = 1'000'000; // No checkpoint during the measurement.
  Out.m_budget = std::move(Budget);
  return Out;
}

/// Claims and answers all keys of a sample.
bool fill(KvStore &Store, const Sample &S) {
  auto Shard = openJournalShard(
      Store, optionsOf(1, std::make_shared<JournalBudget>(1ULL << 40)));
  if (!Shard)
    return false;
  const JournalResult Answer{200, "application/json",
                             std::string(S.m_bodyBytes, 'x')};
  std::atomic<unsigned> Next{0};
  std::atomic<bool> Ok{true};
  std::vector<std::thread> Threads;
  for (unsigned T = 0; T < Writers; ++T)
    Threads.emplace_back([&] {
      for (unsigned I = Next++; I < S.m_keys && Ok; I = Next++) {
        const JournalClaim Claim{
            fmt::format("6f1d2c3b-9a47-4c1e-8d25-{:012}", I),
            std::string(32, 'a'),
            fmt::format("b7e3f0a1c2d4-{:012}", I),
            "entry-123",
            4711,
            "engine-highland-12"};
        if (!Shard.value()->claim(Claim, CallWait) ||
            !Shard.value()->result(Claim, Answer, CallWait))
          Ok = false;
      }
    });
  for (std::thread &T : Threads)
    T.join();
  return Ok;
}

bool measure(const Sample &S) {
  auto Store = MemoryKvStore::create({});
  if (!Store || !fill(*Store.value(), S))
    return false;
  auto Budget = std::make_shared<JournalBudget>();
  const std::size_t Before = allocatedBytes();
  auto Owner = openJournalShard(*Store.value(), optionsOf(2, Budget));
  if (!Owner)
    return false;
  const double Allocated =
      static_cast<double>(allocatedBytes() - Before) / S.m_keys;
  const double Counted = static_cast<double>(Budget->used()) / S.m_keys;
  std::cout << fmt::format(
      "result {} B: allocated {:.0f} B a key, counted {:.0f} B; {:.0f} keys "
      "fit\n",
      S.m_bodyBytes, Allocated, Counted,
      static_cast<double>(Budget->limit()) / Counted);
  return Owner.value()->stats().m_recoveredEntries == S.m_keys;
}

} // namespace

bool measureJournalMemory() {
  for (const Sample &S : Samples)
    if (!measure(S))
      return false;
  return true;
}

} // namespace primroseworks::controlbench
