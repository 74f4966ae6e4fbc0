// What all cases share: the record, gateway processes, documents of the
// operator and of engines.
#ifndef PRIMROSEWORKS_REVIEW_LIB2_LAB_H
#define PRIMROSEWORKS_REVIEW_LIB2_LAB_H

#include "net.h"
#include "store.h"

#include <fstream>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

/// Exit codes of a case.
enum Verdict { Held = 0, Broken = 1, CouldNotRun = 2 };

void sleepMs(int Ms);
/// Milliseconds since the start of the case.
long nowMs();
/// Whether TROUBLE is not 0.
bool troubleWanted();

/// Writes lines with their time to record.txt and to standard output.
class Record {
public:
  explicit Record(const std::string &Path) : m_file(Path) {}
  void line(const std::string &Text);

private:
  std::mutex m_mutex;
  std::ofstream m_file;
};

/// A process that is killed at the end of the case.
class Process {
public:
  Process() = default;
  ~Process() { end(9); }
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;
  /// Starts a program, with its output appended to a file.
  void start(const std::vector<std::string> &Command,
             const std::string &OutputFile);
  /// Runs Body in a child process, which exits when it returns.
  void fork(const std::function<void()> &Body);
  void signal(int Signal) const;
  /// Sends Signal and waits until the process has ended.
  void end(int Signal);
  bool running();

private:
  pid_t m_pid = 0;
};

struct GatewaySetup {
  std::string m_name = "front-a-1";
  std::string m_ip;
  std::string m_store;
  int m_callers = 0;
  int m_ready = 0;
  int m_metrics = 0;
  int m_peers = 0;
  /// Settings of jhelum-topup-grown, which has keys, not of braidwell-ops.
  bool m_keys = false;
};

/// A port of the address that nothing uses now.
int freePort(const std::string &Ip);
/// Fills in free ports.
GatewaySetup gatewaySetup(const std::string &Name, const std::string &Ip,
                          const std::string &Store);
/// Writes the settings file as deploy/gateway.yaml.in makes it of the settings
/// of the deployment, and starts the command of the deploy file.
void startGateway(Process &P, const GatewaySetup &Setup,
                  const std::string &Folder);
/// Waits until GET /ready is answered with 200.
bool awaitReady(const GatewaySetup &Setup, int TimeoutMs);

/// A loopback address of this case's own, 127.X.Y.Last.
std::string ownIp(int Last);

} // namespace review

#endif
