// What the scripts of the review share: a stand-in of the platform's store,
// stand-ins of engines and plain services, callers, and the gateway as a
// process. All sockets are on loopback; each connection has its own thread.
#ifndef PRIMROSE_REVIEW_LAB_H
#define PRIMROSE_REVIEW_LAB_H

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

/// Time since the start of the script.
double seconds();
void sleepFor(Ms Time);
/// "127.X.Y.N": a network of this run, so that runs do not meet.
std::string ip(int Number);
/// Whether the disruption is played: run.sh passes "with" or "without" after
/// the folder. Ends the script with 2 for anything else.
bool playsDisruption(int Count, char **Arguments);

/// Writes record.txt: what was sent, answered and run.
class Record {
public:
  explicit Record(const std::string &Folder)
      : m_out(Folder + "/record.txt", std::ios::trunc) {}
  void line(const std::string &Text);

private:
  std::mutex m_mutex;
  std::ofstream m_out;
};

/// A connection with blocking reads.
class Socket {
public:
  explicit Socket(int Fd) : m_fd(Fd) {}
  ~Socket();
  Socket(const Socket &) = delete;
  Socket &operator=(const Socket &) = delete;
  /// Null if nothing accepts in time.
  static std::shared_ptr<Socket> connect(const std::string &Address,
                                         Ms Timeout = Ms(1000));
  bool send(const std::string &Bytes);
  /// Appends what arrives to m_input. False at the end, or if nothing arrives
  /// before Until.
  bool receive(Clock::time_point Until);
  void shutDown();
  void reset(); ///< Ends the connection with a reset.
  bool m_timedOut = false;
  std::string m_input;
  std::string m_lastAnswer; ///< For an engine that sends it once more.

private:
  std::mutex m_mutex;
  int m_fd;
};
using SocketPtr = std::shared_ptr<Socket>;

struct Message {
  std::string m_start; ///< Request line or status line.
  std::vector<std::pair<std::string, std::string>> m_headers;
  std::string m_body;
  bool m_complete = false; ///< The whole body has arrived.
  bool m_headArrived = false;
  std::string header(const std::string &Name) const;
  bool has(const std::string &Name) const;
  int status() const;
  std::string method() const;
  std::string target() const;
};
using Headers = std::map<std::string, std::string>;

/// Reads one message; without m_complete if the connection ends before, or at
/// Until. OnBody sees the parts of the body as they arrive.
Message readMessage(Socket &S, Clock::time_point Until,
                    const std::function<void(const Message &)> &OnBody = {});
std::string response(int Status, const Headers &H, const std::string &Body);
/// Head of a response whose body has no stated length, or is chunked.
std::string openResponse(int Status, const Headers &H);
std::string chunk(const std::string &Bytes);

/// An HTTP server on a free port, or on a given one.
class Server {
public:
  virtual ~Server();
  void listen(const std::string &Ip, int Port = 0);
  const std::string &address() const { return m_address; }
  /// Closes the listener and all connections.
  void close(bool Reset = false);

protected:
  /// Answers a request; false to close the connection.
  virtual bool serve(Socket &S, Message &Request) = 0;

private:
  void accept();
  std::string m_address;
  int m_listener = -1;
  std::mutex m_mutex;
  std::set<SocketPtr> m_open;
  std::atomic<bool> m_closed{false};
};

/// The platform's store.
class Store : public Server {
public:
  void put(const std::string &Key, const std::string &Value,
           std::uint64_t Lease = 0);
  void remove(const std::string &Key);
  /// Empty if there is no such key.
  std::string value(const std::string &Key);
  /// The history of changes goes back by this much (`history-s`).
  static constexpr std::chrono::seconds HistoryTime{20};

protected:
  bool serve(Socket &S, Message &Request) override;

private:
  struct Change {
    std::uint64_t m_revision = 0;
    Clock::time_point m_at;
    std::string m_key;
    Json m_json;
  };
  struct Item {
    std::string m_value;
    std::uint64_t m_revision = 0;
    std::uint64_t m_lease = 0;
  };
  struct Lease {
    Ms m_ttl{};
    Clock::time_point m_end;
  };
  Json itemJson(const std::string &Key) const;
  void putLocked(const std::string &Key, const std::string &Value,
                 std::uint64_t Lease);
  void removeLocked(const std::string &Key);
  void endLease(std::uint64_t Id);
  void expire();
  Json execute(const std::string &Method, const std::string &Path,
               const std::map<std::string, std::string> &Query,
               const std::string &Body, int &Status);

  std::mutex m_mutex;
  std::map<std::string, Item> m_items;
  std::deque<Change> m_history;
  std::uint64_t m_forgotten = 0; ///< Latest revision that is not in m_history.
  std::map<std::uint64_t, Lease> m_leases;
  std::uint64_t m_revision = 10;
  std::uint64_t m_lastLease = 100;
};

/// A link: passes connections on to a target. While it is held, no byte passes
/// in either direction; the bytes arrive once the link is back, as after a
/// partition.
class Relay {
public:
  void start(const std::string &Ip, const std::string &Target, int Port = 0);
  const std::string &address() const { return m_address; }
  void hold(bool Held) { m_held = Held; }

private:
  void pump(SocketPtr From, SocketPtr To);
  std::string m_address;
  std::string m_target;
  int m_listener = -1;
  std::atomic<bool> m_held{false};
};

class Engine;
/// Answers a request that an engine takes; false to close the connection.
using Work = std::function<bool(Engine &E, Socket &S, const Message &Request,
                                const std::string &Id)>;

/// An engine, or an instance of a plain service if it holds no models. It
/// registers itself and answers 421 to requests for another one.
class Engine : public Server {
public:
  Engine(Store &Platform, std::string Id, std::string Service, std::string Zone,
         std::vector<std::string> Models, int Slots, Work Do);
  ~Engine() override;
  /// Listens, registers and writes its entry as a heartbeat from then on.
  void start(const std::string &Ip, int Port = 0);
  /// Ends as a crash does; the entry stays.
  void crash(bool Reset);
  /// Reports `draining` and goes on serving.
  void drain();
  /// While set, it answers nothing and writes no entry, as without power.
  std::atomic<bool> m_dark{false};
  /// Starts again under its id at its address: it holds nothing, and its counts
  /// and fences start anew.
  void startAgain();
  /// Carries out an order. Returns the status of the answer.
  int carryOut(const Json &Order);
  /// What it holds at its start, after so many orders of an earlier leader.
  void hold(const std::string &Model, const std::set<std::string> &Adapters,
            std::uint64_t Orders);
  /// A run that uses an adapter begins or ends. An unload waits for its end.
  void beginRun(const std::string &Model, const std::string &Adapter);
  void endRun(const std::string &Model, const std::string &Adapter);
  /// If set and true for an order, the last answer on its connection is sent
  /// once more, right before the answer to the order.
  std::function<bool(const Json &Order)> m_repeatsLastAnswer;
  /// If set and true for an order, the order gets no answer and is not carried
  /// out.
  std::function<bool(const Json &Order)> m_leavesUnanswered;
  /// Called with each order and the status of its answer.
  std::function<void(const Json &Order, int Status)> m_onOrder;
  /// Whether it holds the model and, unless that is empty, its adapter.
  bool holds(const std::string &Model, const std::string &Adapter);
  /// Called, under a lock, with an order to load more than there is room for.
  std::function<void(const Json &Order)> m_onOverload;
  /// Places for adapters, and time that a model takes to load.
  unsigned m_adapterSlots = 8;
  Ms m_loadTime{2200};
  const std::string &id() const { return m_id; }
  const std::string &service() const { return m_service; }
  /// Headers of an answer of its own to the request Id.
  static Headers answerHeaders(const std::string &Id);

protected:
  bool serve(Socket &S, Message &Request) override;

private:
  void write();
  Json models() const;
  void takeModel(const std::string &Model, std::uint64_t Start);

  Store &m_store;
  std::string m_id;
  std::string m_service;
  std::string m_zone;
  int m_slots;
  Work m_work;
  std::mutex m_mutex;
  std::map<std::string, std::set<std::string>> m_models;
  bool m_isEngine;
  std::uint64_t m_orders = 0;
  std::uint64_t m_token = 0;
  std::uint64_t m_beats = 0;
  std::map<std::string, int> m_runs; ///< By MODEL/ADAPTER.
  std::set<std::string> m_leaving;   ///< Unloads that wait, MODEL/ADAPTER.
  std::uint64_t m_start = 0;         ///< Counts the starts.
  bool m_busy = false;
  bool m_draining = false;
  std::int64_t m_born = 0;
  std::atomic<bool> m_running{false};
  std::thread m_heartbeat;
};

/// Which engines began to work on which requests.
class Runs {
public:
  void add(const std::string &Id, const std::string &Engine);
  std::vector<std::string> of(const std::string &Id);

private:
  std::mutex m_mutex;
  std::map<std::string, std::vector<std::string>> m_runs;
};

struct GatewayOptions {
  std::string m_name;
  std::string m_ip;
  std::string m_zone;
  std::string m_store; ///< "IP:PORT"
};

/// A process with the command and the settings template of the deploy file.
class Gateway {
public:
  explicit Gateway(GatewayOptions Options) : m_options(std::move(Options)) {}
  ~Gateway();
  void start();
  bool awaitReady(Ms Limit);
  /// Kills the process if it runs and removes its files.
  void end();
  /// What the process has written.
  std::string log() const;
  void signal(int Number) const;
  /// Whether it still runs; otherwise m_end tells how it ended.
  bool running();
  std::string address() const;
  const std::string &name() const { return m_options.m_name; }
  pid_t pid() const { return m_pid; }
  std::string m_end;

private:
  GatewayOptions m_options;
  pid_t m_pid = -1;
  std::string m_folder; ///< Temporary.
};

/// Ends the script: no destructor may run beside the threads of the stand-ins.
[[noreturn]] void finish(int Code, std::vector<Gateway *> Gateways);

/// Zones of all scripts, as {zone: region}.
const Json &zones();
/// A configuration with the routes and services of a small deployment:
/// /unsafe/ and /safe/ lead to "plain" ("plain-b" has no route), /stream/
/// (resumable) and /once/ to "model" with the models m1 and m2.
Json configuration(std::uint64_t Version);

/// One attempt of a caller on a connection of its own, or on Kept.
struct Answer {
  std::string m_id;
  Message m_message;
  bool m_sent = false;
  bool m_timedOut = false;
};
struct Request {
  std::string m_method = "POST";
  std::string m_path;
  std::string m_body;
  Headers m_headers;
  Ms m_deadline{3000};
};
std::string newId();
Answer send(const std::string &Gateway, const Request &R, const std::string &Id,
            const SocketPtr &Kept = nullptr);

} // namespace review

#endif
