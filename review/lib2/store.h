// Stand-in for the platform's store: items, revisions, watches, leases and
// conditional writes, without faults.
#ifndef PRIMROSEWORKS_REVIEW_LIB2_STORE_H
#define PRIMROSEWORKS_REVIEW_LIB2_STORE_H

#include "net.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace review {

class Store {
public:
  using Json = nlohmann::json;
  using Clock = std::chrono::steady_clock;

  explicit Store(const std::string &Ip);
  ~Store();
  const std::string &address() const { return m_server->address(); }
  void put(const std::string &Key, const std::string &Value,
           std::uint64_t Lease = 0);
  void remove(const std::string &Key);
  /// Value of a key; empty if it is absent.
  std::string value(const std::string &Key);

private:
  struct Item {
    std::string m_value;
    std::uint64_t m_revision = 0;
    std::uint64_t m_createdAt = 0;
    std::uint64_t m_lease = 0;
  };
  struct Event {
    std::uint64_t m_revision = 0;
    std::string m_key;
    Json m_json;
  };
  struct Lease {
    std::chrono::milliseconds m_ttl{};
    Clock::time_point m_end{};
  };

  bool onRequest(const SocketPtr &S, const Message &Request);
  Json execute(const Message &Request, int &Status);
  Json range(const Message &Request);
  Json watch(const Message &Request, std::unique_lock<std::mutex> &Lock,
             int &Status);
  Json transaction(const Json &Body, int &Status);
  void putLocked(const std::string &Key, const std::string &Value,
                 std::uint64_t Lease);
  void removeLocked(const std::string &Key);
  void endLease(std::uint64_t Id);
  void expireLeases();
  static Json itemJson(const std::string &Key, const Item &I);

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Item> m_items;
  std::vector<Event> m_history;
  std::map<std::uint64_t, Lease> m_leases;
  std::uint64_t m_revision = 1;
  std::uint64_t m_lastLease = 100;
  bool m_stopped = false;
  std::unique_ptr<Server> m_server;
};

} // namespace review

#endif
