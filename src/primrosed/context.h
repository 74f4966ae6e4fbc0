// What the parts of the daemon share: settings, the configuration in force,
// and the explanations of recent decisions.
#ifndef PRIMROSED_CONTEXT_H
#define PRIMROSED_CONTEXT_H

#include "primroseworks/catalog.h"
#include "primroseworks/settings.h"

#include <atomic>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace primroseworks {

/// The configuration in force. Its revision never falls.
class CatalogHolder {
public:
  std::shared_ptr<const Catalog> get() const {
    std::lock_guard<std::mutex> Lock(m_mutex);
    return m_catalog;
  }
  /// False if Next is not newer than what is in force.
  bool set(std::shared_ptr<const Catalog> Next) {
    std::lock_guard<std::mutex> Lock(m_mutex);
    if (m_catalog && Next->m_revision <= m_catalog->m_revision)
      return false;
    m_catalog = std::move(Next);
    return true;
  }

private:
  mutable std::mutex m_mutex;
  std::shared_ptr<const Catalog> m_catalog; ///< Null before the first one.
};

/// Explanations of the latest decisions by request id, as JSON.
class Explanations {
public:
  void add(const std::string &RequestId, const std::string &Json);
  /// All decisions of a request, oldest first, as a JSON list.
  std::optional<std::string> find(const std::string &RequestId) const;

private:
  static constexpr std::size_t MaxKept = 5000;
  mutable std::mutex m_mutex;
  std::deque<std::string> m_order; ///< At most MaxKept ids, oldest first.
  std::unordered_map<std::string, std::string> m_byRequest;
};

/// Shared state of one daemon.
struct DaemonContext {
  /// Whether it takes requests: it has started, knows a configuration and does
  /// not drain.
  bool ready() const {
    return m_started && !m_draining && m_catalog.get() != nullptr;
  }

  Settings m_settings;
  CatalogHolder m_catalog;
  Explanations m_explanations;
  std::atomic<bool> m_started{false}; ///< All ports are open.
  std::atomic<bool> m_draining{false};
  /// Identifies this process: the incarnation when the store gave one, else a
  /// random number. Part of each attempt's id.
  std::atomic<std::uint64_t> m_processId{0};
  std::atomic<std::uint64_t> m_incarnation{0}; ///< 0 before the first lease.
};

} // namespace primroseworks

#endif
