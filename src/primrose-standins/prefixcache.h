// Prefix cache of a stand-in engine with its event log.
#ifndef PRIMROSE_STANDINS_PREFIXCACHE_H
#define PRIMROSE_STANDINS_PREFIXCACHE_H

#include "primroseworks/time.h"

#include <cstdint>
#include <deque>
#include <list>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace primroseworks::standins {

/// Least recently used blocks in limited memory. Not thread safe.
class PrefixCache {
public:
  PrefixCache(std::size_t MaxBlocks, double EventLoss, std::uint64_t Seed)
      : m_maxBlocks(MaxBlocks), m_eventLoss(EventLoss), m_random(Seed) {}
  /// Leading blocks that are held; they become the most recently used.
  unsigned touch(const std::vector<std::uint64_t> &Hashes) {
    unsigned Hits = 0;
    for (const std::uint64_t Hash : Hashes) {
      const auto Found = m_index.find(Hash);
      if (Found == m_index.end())
        break;
      m_order.splice(m_order.begin(), m_order, Found->second);
      ++Hits;
    }
    return Hits;
  }
  void insert(const std::string &Model,
              const std::vector<std::uint64_t> &Hashes, TimePoint Now) {
    for (const std::uint64_t Hash : Hashes) {
      if (m_index.count(Hash) != 0)
        continue;
      m_order.push_front({Hash, Model});
      m_index[Hash] = m_order.begin();
      log(true, Model, Hash, Now);
      if (m_order.size() <= m_maxBlocks)
        continue;
      const Block Oldest = m_order.back();
      m_order.pop_back();
      m_index.erase(Oldest.m_hash);
      log(false, Oldest.m_model, Oldest.m_hash, Now);
    }
  }
  std::size_t blocks() const { return m_order.size(); }
  /// Events after sequence After that are older than Until. Some are missing.
  nlohmann::json events(std::uint64_t After, TimePoint Until) const {
    nlohmann::json Rows = nlohmann::json::array();
    for (const Event &Each : m_events)
      if (Each.m_sequence > After && Each.m_time <= Until && !Each.m_lost)
        Rows.push_back({{"sequence", Each.m_sequence},
                        {"stored", Each.m_stored},
                        {"model", Each.m_model},
                        {"prefix_hash", Each.m_hash}});
    return {{"events", Rows}};
  }

private:
  struct Block {
    std::uint64_t m_hash;
    std::string m_model;
  };
  struct Event {
    std::uint64_t m_sequence;
    TimePoint m_time;
    bool m_stored;
    bool m_lost;
    std::string m_model;
    std::uint64_t m_hash;
  };
  void log(bool Stored, const std::string &Model, std::uint64_t Hash,
           TimePoint Now) {
    const bool Lost =
        std::uniform_real_distribution<>()(m_random) < m_eventLoss;
    m_events.push_back({++m_sequence, Now, Stored, Lost, Model, Hash});
    if (m_events.size() > MaxEvents)
      m_events.pop_front();
  }

  static constexpr std::size_t MaxEvents = 4096; ///< Older ones are a gap.
  const std::size_t m_maxBlocks;
  const double m_eventLoss;
  std::mt19937_64 m_random;
  std::list<Block> m_order; ///< Most recently used first.
  std::unordered_map<std::uint64_t, std::list<Block>::iterator> m_index;
  std::deque<Event> m_events;
  std::uint64_t m_sequence = 0;
};

} // namespace primroseworks::standins

#endif
