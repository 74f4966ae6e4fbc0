// A real primrose-gateway process, started and signalled by its id.
#ifndef PRIMROSE_SOAK_GATEWAYPROCESS_H
#define PRIMROSE_SOAK_GATEWAYPROCESS_H

#include <chrono>
#include <string>
#include <sys/resource.h>
#include <sys/types.h>

namespace primroseworks::soak {

struct GatewaySetup {
  std::string m_program; ///< Path of primrose-gateway.
  std::string m_folder;  ///< For its settings and its log.
  std::string m_name;
  std::string m_ip;
  std::string m_domain;
  std::string m_store; ///< "IP:PORT" of its way to the store.
};

/// How an ended process ended.
enum class ProcessEnd { Running, Clean, Killed, Failed };

class GatewayProcess {
public:
  static constexpr int CallerPort = 18601;
  static constexpr int ReadyPort = 18602;
  /// A process that needs more ends, or fails to allocate.
  static constexpr rlim_t AddressSpaceBytes = 260'000'000;

  explicit GatewayProcess(GatewaySetup Setup) : m_setup(std::move(Setup)) {}
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess &) = delete;
  GatewayProcess &operator=(const GatewayProcess &) = delete;

  void start();
  /// Sends a signal to this process, and to no other; nothing if it has ended.
  void signal(int Number);
  /// Looks whether it has ended; call it often.
  ProcessEnd poll();
  bool running() const { return m_pid > 0; }
  /// Whether it was told nothing that keeps it from serving.
  bool serving() const {
    return running() && !m_stopping && !m_killed && !m_paused;
  }
  const std::string &name() const { return m_setup.m_name; }
  std::string callerAddress() const {
    return m_setup.m_ip + ':' + std::to_string(CallerPort);
  }
  /// What is known of its end, for a report.
  const std::string &endText() const { return m_endText; }

  bool m_stopping = false; ///< SIGTERM was sent to this run.
  bool m_paused = false;   ///< SIGSTOP was sent last.
  /// Starts, and signals that end, pause or resume it.
  unsigned m_interruptions = 0;

private:
  void limitMemory() const;
  std::string logPath() const {
    return m_setup.m_folder + '/' + m_setup.m_name + ".log";
  }

  GatewaySetup m_setup;
  pid_t m_pid = -1;
  bool m_killed = false; ///< SIGKILL was sent to this run.
  /// Size of the log when this run was started.
  std::uintmax_t m_logSizeAtStart = 0;
  std::string m_endText;
};

} // namespace primroseworks::soak

#endif
