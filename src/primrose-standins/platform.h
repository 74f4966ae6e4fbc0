// The platform's side: the key-value service, the VM list and plain services.
#ifndef PRIMROSE_STANDINS_PLATFORM_H
#define PRIMROSE_STANDINS_PLATFORM_H

#include "primrose-standins/host.h"
#include "primrose-standins/settings.h"
#include "primroseworks/memorykvstore.h"

#include <deque>

namespace primroseworks::standins {

/// The key-value service over HTTP.
class KvService {
public:
  static Result<std::unique_ptr<KvService>> create(const Settings &From);
  ~KvService();
  std::uint16_t port() const { return m_server->port(); }
  /// Switches "outage", "slow_ms", "lose_answers", "lose_writes",
  /// "delay_writes", "apply_delayed", "silent_watch", "silent_next" and
  /// "prefix".
  void setFaults(const nlohmann::json &Values);
  nlohmann::json counters() const;

private:
  KvService() = default;
  void handle(const HttpRequest &Request, HttpResponse &Response);

  std::unique_ptr<MemoryKvStore> m_store;
  std::unique_ptr<FaultyKvStore> m_faulty; ///< Over m_store.
  std::atomic<unsigned> m_silentNext{0};   ///< Calls left without an answer.
  std::atomic<bool> m_ending{false};
  std::unique_ptr<HttpServer> m_server; ///< Last: ends first.
};

/// The VM list; readers see it as it was a while ago. Thread safe.
class VmList {
public:
  explicit VmList(Milliseconds Lag) : m_lag(Lag) {}
  /// Adds or replaces a row.
  void put(const VmInfo &Vm);
  bool setState(const std::string &Name, VmState State);
  bool remove(const std::string &Name);
  nlohmann::json list(TimePoint Now) const;

private:
  void record();

  const Milliseconds m_lag;
  mutable std::mutex m_mutex; ///< Guards the members below.
  std::map<std::string, VmInfo> m_vms;
  mutable std::deque<std::pair<TimePoint, nlohmann::json>> m_history;
};

VmInfo vmFromJson(const nlohmann::json &From);
nlohmann::json toJson(const VmInfo &Vm);

/// A plain service that answers every call with what it got and how often the
/// key has run.
std::shared_ptr<Program> makeService(const ServiceSettings &Settings,
                                     Ledger &Book);

} // namespace primroseworks::standins

#endif
