// The configuration on this daemon: follows the accepted revision, builds the
// catalog, and serves the operators' calls about it.
#ifndef PRIMROSED_CONFIGURATION_H
#define PRIMROSED_CONFIGURATION_H

#include "primrosed/context.h"
#include "primrosed/dispatchgate.h"
#include "primrosed/mesh.h"
#include "primrosed/operatorapi.h"
#include "primroseworks/distribution.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

namespace primroseworks {

class Configuration {
public:
  /// Registers its message handler, before the links are started.
  static Result<std::unique_ptr<Configuration>> create(DaemonContext &Context,
                                                       KvStore &Store,
                                                       Mesh &Others,
                                                       DispatchGate &Gate);
  ~Configuration();
  Configuration(const Configuration &) = delete;
  Configuration &operator=(const Configuration &) = delete;

  void start();
  void stop();

  /// GET and POST /config, GET /config/history.
  std::vector<OperatorRoute> routes();

private:
  Configuration(DaemonContext &Context, Mesh &Others, DispatchGate &Gate)
      : m_context(Context), m_mesh(Others), m_gate(Gate) {}

  void adopt(const ConfigVersion &Version);
  void follow();
  void watch();
  void show(HttpResponse &Res);
  void apply(const HttpRequest &Req, HttpResponse &Res);
  void conflict(std::uint64_t Expected, const ConfigConflict &Theirs,
                HttpResponse &Res);
  void history(HttpResponse &Res);
  bool pause(Duration Time);

  DaemonContext &m_context;
  Mesh &m_mesh;
  DispatchGate &m_gate;
  std::unique_ptr<ConfigDistribution> m_distribution;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_stopping = false;
  std::thread m_follower;
  std::thread m_watcher;
};

} // namespace primroseworks

#endif
