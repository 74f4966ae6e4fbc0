// Stand-ins and daemons as processes on loopback, and the faults that can be
// done to them.
#ifndef PRIMROSE_FAULTS_CLUSTER_H
#define PRIMROSE_FAULTS_CLUSTER_H

#include "peerproxy.h"
#include "primroseworks/error.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <vector>

namespace primroseworks::faults {

struct ClusterOptions {
  std::string m_binaries; ///< Folder of primrosed and primrose-standins.
  std::string m_sources;  ///< Root of the project, for the examples.
  std::string m_deployment = "braidwell";
  unsigned m_daemons = 3;
  /// Puts a proxy before each peer port, for cutRegion().
  bool m_proxyPeers = false;
  /// Puts a proxy before each engine as well; only with m_proxyPeers.
  bool m_proxyEngines = false;
};

/// One daemon process.
struct DaemonProcess {
  std::string m_name;
  std::string m_url;      ///< For callers.
  std::string m_operator; ///< For operators.
  std::string m_settings; ///< File.
  std::string m_log;      ///< File.
  pid_t m_pid = -1;
};

class Cluster {
public:
  /// Starts everything and applies the example configuration.
  static Result<std::unique_ptr<Cluster>> start(const ClusterOptions &Options);
  ~Cluster();
  Cluster(const Cluster &) = delete;
  Cluster &operator=(const Cluster &) = delete;

  const std::vector<DaemonProcess> &daemons() const { return m_daemons; }
  const std::string &standins() const { return m_control; }
  const std::string &store() const { return m_kv; }
  const std::string &region(unsigned Daemon) const {
    return m_regions[Daemon % 3];
  }

  void signal(unsigned Daemon, int Number);
  /// Kills a daemon at once and waits for its end.
  void kill(unsigned Daemon);
  /// Waits for a daemon that was told to stop; its exit status, or -1.
  int wait(unsigned Daemon);
  /// Starts a daemon that has ended again, with the same settings.
  void restart(unsigned Daemon);
  /// Whether the daemon answers /readyz with 200 within Seconds.
  bool waitReady(unsigned Daemon, unsigned Seconds);

  /// Cuts the peer links between a region and all others; daemon I is in region
  /// I % 3. With m_proxyEngines also the calls to engines of the other side.
  /// Calls to services and to the store still work.
  void cutRegion(unsigned Region);
  void healRegions();

  /// Posts to the control port of the stand-ins; the body of the answer.
  std::string control(const std::string &Path, const std::string &Body);
  std::string controlGet(const std::string &Path);
  /// Times each key or request id was executed.
  std::map<std::string, unsigned> executions();
  /// GET or POST of a daemon's operator port, with its token.
  std::pair<int, std::string> operate(unsigned Daemon,
                                      const std::string &Method,
                                      const std::string &Path,
                                      const std::string &Body = "");
  /// Applies a document through a daemon; the answer's status and body.
  std::pair<int, std::string> apply(unsigned Daemon, std::uint64_t Expected,
                                    const std::string &Document);
  std::string exampleDocument() const;

private:
  explicit Cluster(ClusterOptions Options);
  Result<void> startStandins(unsigned BasePort);
  void writeSettings(unsigned Index, unsigned BasePort);
  Result<void> startProxy(unsigned BasePort);
  Result<void> proxyEngines(unsigned BasePort, std::vector<ProxiedPort> &Ports);
  std::optional<unsigned> daemonAt(std::uint16_t Port);
  void setPid(unsigned Daemon, pid_t Pid);
  Result<void> startAll(unsigned BasePort);
  void stopAll();
  static pid_t spawn(const std::vector<std::string> &Arguments,
                     const std::string &OutFile, const std::string &ErrFile);

  ClusterOptions m_options;
  std::string m_folder;
  std::vector<std::string> m_regions;
  std::vector<DaemonProcess> m_daemons;
  std::mutex m_pidMutex;
  std::vector<pid_t> m_pids; ///< By daemon, for the proxy's thread.
  /// Region of each proxied port: those of daemons, then those of engines.
  std::vector<unsigned> m_portRegions;
  std::unique_ptr<PeerProxy> m_proxy;
  pid_t m_standinsPid = -1;
  std::string m_control;
  std::string m_kv;
  std::string m_vms;
};

} // namespace primroseworks::faults

#endif
