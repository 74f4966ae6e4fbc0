// A process that can be killed and restarted: its server, its port and the
// faults that are switched for it.
#ifndef PRIMROSE_STANDINS_HOST_H
#define PRIMROSE_STANDINS_HOST_H

#include "primrose-standins/ledger.h"
#include "primroseworks/httpserver.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace primroseworks::standins {

/// Faults by name with a number each: a count of events left to disturb, a
/// factor or a time in ms. Thread safe.
class Faults {
public:
  void set(const nlohmann::json &Values);
  double value(const std::string &Name) const;
  /// Uses up one of a counted fault; false if none is left.
  bool use(const std::string &Name);
  std::string marker() const;
  nlohmann::json all() const;

private:
  mutable std::mutex m_mutex; ///< Guards the members below.
  std::map<std::string, double> m_values;
  std::string m_marker; ///< "crash_marker": prompts with it crash the engine.
};

/// What lives inside a host between a start and a kill.
class Program {
public:
  virtual ~Program() = default;
  virtual void handle(const HttpRequest &Request, HttpResponse &Response) = 0;
  /// Ends every stream by cutting it.
  virtual void die() { m_dead = true; }
  /// Called every few ms while it lives.
  virtual void tick(TimePoint /*Now*/) {}
  /// Whether a call is new work, which a leaving endpoint must not get.
  virtual bool isWork(const HttpRequest & /*Request*/) const { return true; }
  const std::atomic<bool> &dead() const { return m_dead; }

private:
  std::atomic<bool> m_dead{false};
};

/// One endpoint's process on one port. Thread safe.
class Host {
public:
  using Factory = std::function<std::shared_ptr<Program>(bool Restarted)>;
  Host(std::string Name, std::uint16_t Port, Faults &Switches, Ledger &Book,
       Factory Make)
      : m_name(std::move(Name)), m_faults(Switches), m_book(Book),
        m_make(std::move(Make)), m_port(Port) {}
  ~Host();
  Host(const Host &) = delete;
  Host &operator=(const Host &) = delete;

  Result<void> start();
  /// Closes the port at once and cuts every connection, without answers.
  void kill();
  void tick(TimePoint Now);
  /// Notes the notice; work that comes too long after it is flagged.
  void leave(TimePoint Now);
  const std::string &name() const { return m_name; }
  std::uint16_t port() const { return m_port; }
  bool running() const;
  Faults &faults() { return m_faults; }

private:
  void handle(const std::shared_ptr<Program> &Running,
              const HttpRequest &Request, HttpResponse &Response);

  const std::string m_name;
  Faults &m_faults;
  Ledger &m_book;
  const Factory m_make;
  std::atomic<std::uint16_t> m_port;
  mutable std::mutex m_mutex; ///< Guards the members below.
  std::shared_ptr<Program> m_program;
  std::unique_ptr<HttpServer> m_server;
  std::vector<std::thread> m_closing; ///< Wait for connections of killed runs.
  bool m_restarted = false;
  TimePoint m_workUntil = TimePoint::max();
};

/// Sets a JSON answer.
void answer(HttpResponse &Response, int Status, const nlohmann::json &Body);
/// Makes the connection break before an answer.
void cut(HttpResponse &Response);
/// Sends no byte for 30 s or until End, and then breaks the connection.
void keepSilent(const std::atomic<bool> &End, HttpResponse &Response);
/// A refusal that promises the request was not run.
void refuse(HttpResponse &Response, int Status, const std::string &Why);

} // namespace primroseworks::standins

#endif
