// Record, processes and settings of the cases.
#include "lab.h"

#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

const auto StartedAt = std::chrono::steady_clock::now();

} // namespace

void sleepMs(int Ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Ms));
}

long nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - StartedAt)
      .count();
}

bool troubleWanted() {
  const char *Value = std::getenv("TROUBLE");
  return !Value || std::string(Value) != "0";
}

void Record::line(const std::string &Text) {
  const std::lock_guard<std::mutex> Lock(m_mutex);
  char Time[32];
  std::snprintf(Time, sizeof(Time), "%8.3f s  ",
                static_cast<double>(nowMs()) / 1000);
  m_file << Time << Text << std::endl;
  std::printf("%s%s\n", Time, Text.c_str());
  std::fflush(stdout);
}

void Process::start(const std::vector<std::string> &Command,
                    const std::string &OutputFile) {
  std::vector<char *> Arguments;
  for (const std::string &Word : Command)
    Arguments.push_back(const_cast<char *>(Word.c_str()));
  Arguments.push_back(nullptr);
  const pid_t Parent = getpid();
  m_pid = ::fork();
  if (m_pid != 0)
    return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != Parent)
    _exit(1);
  const int Out =
      ::open(OutputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(Out, 1);
  dup2(Out, 2);
  execv(Arguments[0], Arguments.data());
  _exit(127);
}

void Process::fork(const std::function<void()> &Body) {
  const pid_t Parent = getpid();
  m_pid = ::fork();
  if (m_pid != 0)
    return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != Parent)
    _exit(1);
  Body();
  _exit(0);
}

void Process::signal(int Signal) const {
  if (m_pid > 0)
    kill(m_pid, Signal);
}

void Process::end(int Signal) {
  if (m_pid <= 0)
    return;
  kill(m_pid, Signal);
  waitpid(m_pid, nullptr, 0);
  m_pid = 0;
}

bool Process::running() {
  if (m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid)
    m_pid = 0;
  return m_pid > 0;
}

int freePort(const std::string &Ip) {
  sockaddr_in A{};
  A.sin_family = AF_INET;
  inet_pton(AF_INET, Ip.c_str(), &A.sin_addr);
  const int Fd = ::socket(AF_INET, SOCK_STREAM, 0);
  socklen_t Size = sizeof(A);
  if (::bind(Fd, reinterpret_cast<const sockaddr *>(&A), sizeof(A)) != 0 ||
      getsockname(Fd, reinterpret_cast<sockaddr *>(&A), &Size) != 0)
    throw std::runtime_error("no free port at " + Ip);
  ::close(Fd);
  return ntohs(A.sin_port);
}

GatewaySetup gatewaySetup(const std::string &Name, const std::string &Ip,
                          const std::string &Store) {
  GatewaySetup G;
  G.m_name = Name;
  G.m_ip = Ip;
  G.m_store = Store;
  G.m_callers = freePort(Ip);
  G.m_ready = freePort(Ip);
  G.m_metrics = freePort(Ip);
  G.m_peers = 7380;
  return G;
}

void startGateway(Process &P, const GatewaySetup &Setup,
                  const std::string &Folder) {
  const std::string File = Folder + "/" + Setup.m_name + ".yaml";
  const auto At = [&](int Port) {
    return "\"" + Setup.m_ip + ":" + std::to_string(Port) + "\"\n";
  };
  const int Limit = Setup.m_keys ? 4000 : 2500;
  std::ofstream Out(File);
  Out << "vm:\n  name: \"" << Setup.m_name << "\"\n"
      << "  failure-domain: \"highland-a\"\n"
      << "  address: \"" << Setup.m_ip << "\"\n"
      << "  descriptors: 4100\n  cpu-share: 0.25\n  memory-mb: 260\n"
      << "failure-domains: {\"highland-a\":\"highland\"}\n"
      << "listen:\n  callers: " << At(Setup.m_callers)
      << "  ready: " << At(Setup.m_ready)
      << "  metrics: " << At(Setup.m_metrics)
      << "peers:\n  port: " << Setup.m_peers << "\n"
      << "store:\n  address: \"" << Setup.m_store << "\"\n"
      << "  lease-ms: 2000\n  drain-limit-ms: " << Limit
      << "\n  configuration-limit-ms: " << Limit << "\n"
      << "stop:\n  limit-s: 8\n"
      << "retries:\n  share: 0.2\n  window-s: 10\n  extra: "
      << (Setup.m_keys ? 218 : 58) << "\naccounts:\n";
  if (Setup.m_keys)
    Out << "  revoke-limit-ms: 5000\n  revoke-strict: true\n"
        << "quotas:\n  window-s: 8\n  over: 0.1\n  extra-tokens: 11000\n";
  Out << "start:\n  bootstrap: true\n";
  Out.close();
  P.start({"target/primrose-gateway", "--settings", File},
          Folder + "/" + Setup.m_name + ".log");
}

bool awaitReady(const GatewaySetup &Setup, int TimeoutMs) {
  const long End = nowMs() + TimeoutMs;
  while (nowMs() < End) {
    const SocketPtr S =
        Socket::connectTo(Setup.m_ip + ":" + std::to_string(Setup.m_ready));
    Message Answer;
    if (S && S->write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n") &&
        S->read(Answer, true, 1000) == ReadEnd::Complete &&
        Answer.status() == 200)
      return true;
    sleepMs(50);
  }
  return false;
}

std::string ownIp(int Last) {
  const unsigned Pid = static_cast<unsigned>(getpid());
  return "127." + std::to_string(64 + Pid / 250 % 128) + "." +
         std::to_string(Pid % 250) + "." + std::to_string(Last);
}

} // namespace review
