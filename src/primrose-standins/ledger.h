// What really happened, for tests to compare with what callers were told.
#ifndef PRIMROSE_STANDINS_LEDGER_H
#define PRIMROSE_STANDINS_LEDGER_H

#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace primroseworks::standins {

/// Thread safe.
class Ledger {
public:
  /// Counts a run under its idempotency key or, without one, its request id.
  /// Returns how often it has run now.
  unsigned ran(const std::string &Key, const std::string &RequestId) {
    std::lock_guard<std::mutex> Lock(m_mutex);
    return ++m_runs[Key.empty() ? RequestId : Key];
  }
  /// Records a broken rule, such as memory exceeded.
  void flag(const std::string &Kind, const std::string &Detail) {
    std::lock_guard<std::mutex> Lock(m_mutex);
    ++m_counters["flag." + Kind];
    if (m_flags.size() < MaxFlags)
      m_flags.push_back({{"kind", Kind}, {"detail", Detail}});
  }
  void count(const std::string &Name) {
    std::lock_guard<std::mutex> Lock(m_mutex);
    ++m_counters[Name];
  }
  /// Keeps the highest value seen.
  void peak(const std::string &Name, std::uint64_t Value) {
    std::lock_guard<std::mutex> Lock(m_mutex);
    std::uint64_t &Slot = m_counters[Name];
    Slot = Slot < Value ? Value : Slot;
  }
  nlohmann::json executions() const {
    std::lock_guard<std::mutex> Lock(m_mutex);
    return m_runs;
  }
  nlohmann::json summary() const {
    std::lock_guard<std::mutex> Lock(m_mutex);
    return {{"counters", m_counters}, {"flags", m_flags}};
  }

private:
  static constexpr std::size_t MaxFlags = 1000;
  mutable std::mutex m_mutex; ///< Guards all members.
  std::map<std::string, unsigned> m_runs;
  std::map<std::string, std::uint64_t> m_counters;
  std::vector<nlohmann::json> m_flags;
};

} // namespace primroseworks::standins

#endif
