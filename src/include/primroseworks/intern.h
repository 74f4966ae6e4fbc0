// Small numbers for names, so that decisions compare and index integers.
#ifndef PRIMROSEWORKS_INTERN_H
#define PRIMROSEWORKS_INTERN_H

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace primroseworks {

using EndpointId = std::uint32_t;
using ModelId = std::uint32_t;   ///< A model with its version.
using AdapterId = std::uint32_t; ///< 0 is no adapter.

/// Numbers names from 0 in the order of their first use. Numbers are never
/// reused: the names are those of endpoints, models and adapters.
class Interner {
public:
  std::uint32_t add(const std::string &Name) {
    auto [It, Added] = m_ids.emplace(Name, m_names.size());
    if (Added)
      m_names.push_back(Name);
    return It->second;
  }
  std::optional<std::uint32_t> find(const std::string &Name) const {
    auto It = m_ids.find(Name);
    if (It == m_ids.end())
      return std::nullopt;
    return It->second;
  }
  const std::string &name(std::uint32_t Id) const { return m_names[Id]; }
  std::size_t size() const { return m_names.size(); }

private:
  std::unordered_map<std::string, std::uint32_t> m_ids;
  std::vector<std::string> m_names;
};

} // namespace primroseworks

#endif
