// Processes of the soak.
#include "gatewayprocess.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/wait.h>

extern char **environ;

namespace primroseworks::soak {

GatewayProcess::~GatewayProcess() {
  if (m_pid <= 0)
    return;
  ::kill(m_pid, SIGKILL);
  ::waitpid(m_pid, nullptr, 0);
}

void GatewayProcess::start() {
  const std::string Base = m_setup.m_folder + '/' + m_setup.m_name;
  const std::string Settings = Base + ".yaml";
  const std::string Log = logPath();
  std::ofstream(Settings) << fmt::format(
      R"(vm: {{name: "{0}", failure-domain: "{1}", address: "{2}", descriptors: 1000, memory-mb: 160}}
failure-domains: {{"d1": "r1", "d2": "r1", "d3": "r2"}}
listen: {{callers: "{2}:{3}", ready: "{2}:{4}", metrics: "{2}:18603"}}
peers: {{port: 18604}}
store: {{address: "{5}", lease-ms: 2000}}
stop: {{limit-s: 8}}
retries: {{share: 0.2, window-s: 10, extra: 58}}
)",
      m_setup.m_name, m_setup.m_domain, m_setup.m_ip, CallerPort, ReadyPort,
      m_setup.m_store);
  std::string Words[] = {m_setup.m_program, "--settings", Settings};
  char *Arguments[] = {Words[0].data(), Words[1].data(), Words[2].data(),
                       nullptr};
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, 0, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&Actions, 1, Log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&Actions, 1, 2);
  // A copy of a stand-in's socket would keep its connection open when the
  // stand-in ends it.
  posix_spawn_file_actions_addclosefrom_np(&Actions, 3);
  m_stopping = false;
  m_paused = false;
  m_killed = false;
  ++m_interruptions;
  std::error_code NoLogYet;
  const std::uintmax_t LogSize = std::filesystem::file_size(Log, NoLogYet);
  m_logSizeAtStart = NoLogYet ? 0 : LogSize;
  if (posix_spawn(&m_pid, Arguments[0], &Actions, nullptr, Arguments,
                  environ) != 0)
    m_pid = -1;
  else
    limitMemory();
  posix_spawn_file_actions_destroy(&Actions);
}

void GatewayProcess::limitMemory() const {
  const rlimit Limit{AddressSpaceBytes, AddressSpaceBytes};
  (void)::prlimit(m_pid, RLIMIT_AS, &Limit, nullptr);
}

void GatewayProcess::signal(int Number) {
  if (m_pid <= 0)
    return;
  m_killed = m_killed || Number == SIGKILL;
  m_stopping = m_stopping || Number == SIGTERM;
  m_interruptions += Number == SIGHUP ? 0 : 1;
  if (Number == SIGSTOP || Number == SIGCONT)
    m_paused = Number == SIGSTOP;
  ::kill(m_pid, Number);
}

ProcessEnd GatewayProcess::poll() {
  if (m_pid <= 0)
    return ProcessEnd::Running;
  int Status = 0;
  if (::waitpid(m_pid, &Status, WNOHANG) != m_pid)
    return ProcessEnd::Running;
  m_pid = -1;
  if (m_killed)
    return ProcessEnd::Killed;
  if (WIFEXITED(Status) && WEXITSTATUS(Status) == 0 && m_stopping)
    return ProcessEnd::Clean;
  // The signal came before main() could handle it.
  const bool Began = std::filesystem::file_size(logPath()) > m_logSizeAtStart;
  if (WIFSIGNALED(Status) && WTERMSIG(Status) == SIGTERM && m_stopping &&
      !Began)
    return ProcessEnd::Clean;
  m_endText = WIFSIGNALED(Status)
                  ? fmt::format("signal {}", WTERMSIG(Status))
                  : fmt::format("exit code {}", WEXITSTATUS(Status));
  return ProcessEnd::Failed;
}

} // namespace primroseworks::soak
