// Stand-in for a model engine: reports, orders with fences and expected counts,
// event streams. Writes its entry in the store as engines do.
#ifndef PRIMROSEWORKS_REVIEW_LIB2_ENGINE_H
#define PRIMROSEWORKS_REVIEW_LIB2_ENGINE_H

#include "lab.h"
#include "store.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>

namespace review {

struct EngineOptions {
  std::string m_service = "braid-scribe";
  std::string m_id = "i-7f3a91c2";
  std::string m_zone = "highland-a";
  std::map<std::string, std::set<std::string>> m_models; ///< At the start.
  unsigned m_modelSlots = 3;   ///< Models that weights-mb holds.
  unsigned m_adapterSlots = 8; ///< As in the configuration.
  int m_modelLoadMs = 2400;
  int m_eventMs = 100;     ///< Between two events of a stream.
  bool m_dropsRuns = true; ///< Ends a run when its connection closes.
};

class Engine {
public:
  using Json = nlohmann::json;

  Engine(Record &Log, Store &Entries, std::string Ip, EngineOptions Options);
  ~Engine();

  /// Ends the process: resets all connections and forgets everything.
  void crash();
  /// Starts again under the same id, at the same address, empty.
  void restart();

  /// Requests that began to run, by id; each entry counts.
  std::map<std::string, int> runs();
  /// Orders to load more than the engine holds.
  unsigned overloads() const { return m_overloads; }
  unsigned crashes() const { return m_crashes; }
  std::uint64_t sequence();
  bool holds(const std::string &Model);
  Json executeOrder(const Json &Order, int &Status);

  /// Called for each order before it is carried out. Returns true if it has
  /// dealt with the order itself; the connection is closed then if Keep is
  /// false.
  std::function<bool(const SocketPtr &, const Json &Order,
                     const std::string &LastAnswer, bool &Keep)>
      m_onOrder;

private:
  bool onRequest(const SocketPtr &S, const Message &Request);
  bool onOrder(const SocketPtr &S, const Message &Request);
  bool stream(const SocketPtr &S, const Message &Request);
  bool answer(const SocketPtr &S, const std::string &Bytes);
  std::string commonHeaders(const Message &Request) const;
  Json report();
  Json modelsJson() const;
  void writeEntry();
  void beat();
  void load(const std::string &Model);
  unsigned heldAdapters() const;
  void overload(const std::string &What);

  Record &m_log;
  Store &m_store;
  std::string m_ip;
  EngineOptions m_options;
  std::string m_address;
  std::mutex m_mutex;
  std::map<std::string, std::set<std::string>> m_models;
  std::map<std::string, int> m_running; ///< By MODEL or MODEL/ADAPTER.
  std::set<std::string> m_leaving;      ///< Adapters whose unload waits.
  std::map<std::string, int> m_runs;
  std::map<Socket *, std::string> m_lastAnswers;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_fence = 0;
  std::uint64_t m_beats = 0;
  std::uint64_t m_born = 0;
  bool m_busy = false;
  std::atomic<unsigned> m_incarnation{0};
  std::atomic<unsigned> m_overloads{0};
  std::atomic<unsigned> m_crashes{0};
  std::atomic<bool> m_down{true};
  std::atomic<bool> m_ended{false};
  std::atomic<int> m_tasks{0};
  std::unique_ptr<Server> m_server;
  std::thread m_beatThread;
};

/// The configuration of a service of engines and a service of its own.
std::string configuration(unsigned Version);

/// Head of a client's request to the engines.
std::string streamRequest(const std::string &Id, const std::string &Model,
                          int DeadlineMs = 15'000);

} // namespace review

#endif
