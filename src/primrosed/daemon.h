// Puts the parts of the daemon together, starts them and stops them.
#ifndef PRIMROSED_DAEMON_H
#define PRIMROSED_DAEMON_H

#include "primrosed/callerapi.h"
#include "primrosed/completion.h"
#include "primrosed/configuration.h"
#include "primrosed/context.h"
#include "primrosed/dispatchgate.h"
#include "primrosed/fleet.h"
#include "primrosed/idempotency.h"
#include "primrosed/mesh.h"
#include "primrosed/metrics.h"
#include "primrosed/operatorapi.h"
#include "primrosed/ownertask.h"
#include "primrosed/servicecalls.h"
#include "primroseworks/countingkvstore.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

namespace primroseworks {

class Daemon {
public:
  /// Fails if a setting cannot be used or a port is taken.
  static Result<std::unique_ptr<Daemon>> create(Settings Values);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// Blocks until a drain was asked for by requestDrain() or an operator, and
  /// is complete.
  void run();
  /// Safe from any thread.
  void requestDrain();

private:
  explicit Daemon(Settings Values);
  Result<void> build();
  Result<void> start();
  void drain();
  void exchangeStrikes();
  void shareStrikes();
  std::vector<OperatorRoute> routes();
  void explainDecision(const DispatchRequest &Request, const Placement &Answer);
  void showStatus(HttpResponse &Res);
  void showEndpoints(HttpResponse &Res);
  void showModels(HttpResponse &Res);
  void showMetrics(HttpResponse &Res);
  void explain(const HttpRequest &Req, HttpResponse &Res);
  void clearSuspect(const HttpRequest &Req, HttpResponse &Res);
  void clearClaims(const HttpRequest &Req, HttpResponse &Res);

  DaemonContext m_context;
  Metrics m_metrics;
  std::unique_ptr<CountingKvStore> m_store;
  std::unique_ptr<DispatchGate> m_gate;
  std::unique_ptr<Fleet> m_fleet;
  std::unique_ptr<Mesh> m_mesh;
  std::unique_ptr<Configuration> m_configuration;
  std::unique_ptr<OwnerTask> m_owner;
  std::unique_ptr<Idempotency> m_keys;
  std::unique_ptr<CompletionRunner> m_runner;
  std::unique_ptr<ServiceCalls> m_services;
  std::unique_ptr<CallerApi> m_callers;
  std::unique_ptr<OperatorApi> m_operators;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_drainRequested = false;
  std::thread m_strikes;
};

} // namespace primroseworks

#endif
