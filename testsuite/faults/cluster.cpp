// Stand-ins and daemons as processes on loopback.
#include "cluster.h"

#include "client.h"
#include "primroseworks/config.h"

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>
#include <spawn.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char **environ;

namespace primroseworks::faults {

namespace {

using Json = nlohmann::json;

const std::string Token = "test-operator-token";
const std::string ClusterKey = "test-cluster-key-0001";
constexpr Milliseconds Poll{50};

// Below the ports that Linux gives to outgoing connections (from 32768), which
// were found taken in runs with many connections.
constexpr unsigned LowestPort = 10000;
constexpr unsigned PortSpread = 22000;
constexpr Milliseconds OperatorTimeout{10000};

// Above the lag of 500 ms in examples/standins.
constexpr Milliseconds VmListLag{700};

std::string readAll(const std::string &Path) {
  std::ifstream In(Path);
  return {std::istreambuf_iterator<char>(In), {}};
}

unsigned realPeerPort(unsigned BasePort, unsigned Daemon) {
  constexpr unsigned BehindOthers = 100;
  return BasePort + BehindOthers + Daemon;
}

} // namespace

Cluster::Cluster(ClusterOptions Options) : m_options(std::move(Options)) {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "primrose-faults-XXXXXX")
          .string();
  m_folder = mkdtemp(Pattern.data());
  auto Merged = config::loadFolder(m_options.m_sources + "/examples/" +
                                   m_options.m_deployment);
  Json Document = Json::parse(Merged.value().m_document);
  m_regions = Document["regions"].get<std::vector<std::string>>();
}

Cluster::~Cluster() {
  stopAll();
  // Logs of a failed case are kept when this variable is set.
  if (std::getenv("PRIMROSE_KEEP_LOGS") != nullptr) {
    std::printf("logs: %s\n", m_folder.c_str());
    return;
  }
  std::error_code Ignored;
  std::filesystem::remove_all(m_folder, Ignored);
}

pid_t Cluster::spawn(const std::vector<std::string> &Arguments,
                     const std::string &OutFile, const std::string &ErrFile) {
  std::vector<char *> Argv;
  for (const std::string &Argument : Arguments)
    Argv.push_back(const_cast<char *>(Argument.c_str()));
  Argv.push_back(nullptr);
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  constexpr int Mode = 0600;
  posix_spawn_file_actions_addopen(&Actions, 0, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&Actions, 1, OutFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, Mode);
  posix_spawn_file_actions_addopen(&Actions, 2, ErrFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, Mode);
  pid_t Pid = -1;
  posix_spawn(&Pid, Argv[0], &Actions, nullptr, Argv.data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  return Pid;
}

Result<void> Cluster::startStandins(unsigned BasePort) {
  const std::string Settings = m_folder + "/standins.yaml";
  std::filesystem::copy_file(m_options.m_sources + "/examples/standins/" +
                                 m_options.m_deployment + ".yaml",
                             Settings,
                             std::filesystem::copy_options::overwrite_existing);
  std::ofstream Out(Settings, std::ios::app);
  Out << "daemons:\n";
  for (unsigned I = 0; I < m_options.m_daemons; ++I)
    Out << fmt::format("  - {{name: daemon-{}, region: {}, failure_domain: "
                       "{}-{}, port: {}}}\n",
                       I + 1, m_regions[I % 3], m_regions[I % 3], I / 3 + 1,
                       BasePort + 3 * I + 2);
  Out.close();
  const std::string Topology = m_folder + "/topology.json";
  std::filesystem::remove(Topology);
  m_standinsPid = spawn(
      {m_options.m_binaries + "/primrose-standins", "--settings", Settings},
      Topology, m_folder + "/standins.log");
  for (int I = 0; I < 200; ++I) {
    Json Ports = Json::parse(readAll(Topology), nullptr, false);
    if (Ports.is_object()) {
      m_control = Ports["control"].get<std::string>();
      m_kv = Ports["kv"].get<std::string>();
      m_vms = Ports["vms"].get<std::string>();
      return boost::outcome_v2::success();
    }
    std::this_thread::sleep_for(Poll);
  }
  return makeError(ErrorKind::Unavailable,
                   "the stand-ins do not start: " +
                       readAll(m_folder + "/standins.log"));
}

void Cluster::writeSettings(unsigned Index, unsigned BasePort) {
  DaemonProcess Each;
  unsigned Port = BasePort + 3 * Index;
  const std::string &Region = m_regions[Index % 3];
  Each.m_name = fmt::format("daemon-{}", Index + 1);
  Each.m_url = fmt::format("http://127.0.0.1:{}", Port);
  Each.m_operator = fmt::format("http://127.0.0.1:{}", Port + 1);
  Each.m_settings = fmt::format("{}/{}.yaml", m_folder, Each.m_name);
  Each.m_log = fmt::format("{}/{}.log", m_folder, Each.m_name);
  const unsigned Listen =
      m_options.m_proxyPeers ? realPeerPort(BasePort, Index) : Port + 2;
  const std::string Advertise =
      m_options.m_proxyPeers
          ? fmt::format("peer_advertise: 127.0.0.1:{}\n", Port + 2)
          : "";
  std::ofstream(Each.m_settings) << fmt::format(
      "name: {}\nregion: {}\nfailure_domain: {}-{}\n"
      "caller_listen: 127.0.0.1:{}\noperator_listen: 127.0.0.1:{}\n"
      "peer_listen: 127.0.0.1:{}\nkv_url: {}\nvm_list_url: {}\n"
      "cluster_key: {}\noperator_token: {}\n{}",
      Each.m_name, Region, Region, Index / 3 + 1, Port, Port + 1, Listen, m_kv,
      m_vms, ClusterKey, Token, Advertise);
  m_daemons.push_back(std::move(Each));
}

Result<void> Cluster::startAll(unsigned BasePort) {
  BOOST_OUTCOME_TRYV(startStandins(BasePort));
  for (unsigned I = 0; I < m_options.m_daemons; ++I)
    writeSettings(I, BasePort);
  if (m_options.m_proxyPeers) {
    BOOST_OUTCOME_TRYV(startProxy(BasePort));
  }
  for (unsigned I = 0; I < m_options.m_daemons; ++I)
    restart(I);
  std::this_thread::sleep_for(Milliseconds(500));
  for (const DaemonProcess &Each : m_daemons)
    if (waitpid(Each.m_pid, nullptr, WNOHANG) != 0)
      return makeError(ErrorKind::Unavailable,
                       Each.m_name + " does not start: " + readAll(Each.m_log));
  auto Applied = apply(0, 0, exampleDocument());
  if (Applied.first != 200)
    return makeError(ErrorKind::Unavailable,
                     "the configuration is not accepted: " + Applied.second);
  for (unsigned I = 0; I < m_options.m_daemons; ++I)
    if (!waitReady(I, 10))
      return makeError(ErrorKind::Unavailable,
                       m_daemons[I].m_name + " does not become ready");
  return boost::outcome_v2::success();
}

Result<std::unique_ptr<Cluster>> Cluster::start(const ClusterOptions &Options) {
  std::random_device Random;
  Error Last;
  // Another process may hold one of the ports; then another range is tried.
  for (int Try = 0; Try < 5; ++Try) {
    std::unique_ptr<Cluster> Made(new Cluster(Options));
    auto Started = Made->startAll(LowestPort + Random() % PortSpread);
    if (Started)
      return Made;
    Last = Started.error();
  }
  return Last;
}

void Cluster::stopAll() {
  m_proxy.reset(); // Its thread asks for the daemons.
  for (DaemonProcess &Each : m_daemons)
    if (Each.m_pid > 0) {
      ::kill(Each.m_pid, SIGKILL);
      waitpid(Each.m_pid, nullptr, 0);
    }
  m_daemons.clear();
  if (m_standinsPid > 0) {
    ::kill(m_standinsPid, SIGKILL);
    waitpid(m_standinsPid, nullptr, 0);
  }
}

void Cluster::signal(unsigned Daemon, int Number) {
  ::kill(m_daemons[Daemon].m_pid, Number);
}

void Cluster::kill(unsigned Daemon) {
  signal(Daemon, SIGKILL);
  wait(Daemon);
}

int Cluster::wait(unsigned Daemon) {
  int Status = 0;
  waitpid(m_daemons[Daemon].m_pid, &Status, 0);
  setPid(Daemon, -1);
  return WIFEXITED(Status) ? WEXITSTATUS(Status) : -1;
}

void Cluster::restart(unsigned Daemon) {
  const DaemonProcess &Each = m_daemons[Daemon];
  setPid(Daemon, spawn({m_options.m_binaries + "/primrosed", "--settings",
                        Each.m_settings},
                       Each.m_log, Each.m_log));
}

void Cluster::setPid(unsigned Daemon, pid_t Pid) {
  m_daemons[Daemon].m_pid = Pid;
  std::lock_guard<std::mutex> Lock(m_pidMutex);
  m_pids.resize(m_options.m_daemons, -1);
  m_pids[Daemon] = Pid;
}

std::optional<unsigned> Cluster::daemonAt(std::uint16_t Port) {
  std::vector<pid_t> Pids;
  {
    std::lock_guard<std::mutex> Lock(m_pidMutex);
    Pids = m_pids;
  }
  for (unsigned D = 0; D < Pids.size(); ++D)
    if (Pids[D] > 0 && holdsPort(Pids[D], Port))
      return D;
  return std::nullopt;
}

Result<void> Cluster::startProxy(unsigned BasePort) {
  PeerProxyOptions Options;
  for (unsigned I = 0; I < m_options.m_daemons; ++I) {
    Options.m_ports.push_back(
        {static_cast<std::uint16_t>(BasePort + 3 * I + 2),
         static_cast<std::uint16_t>(realPeerPort(BasePort, I))});
    m_portRegions.push_back(I % 3);
  }
  if (m_options.m_proxyEngines) {
    BOOST_OUTCOME_TRYV(proxyEngines(BasePort, Options.m_ports));
  }
  Options.m_daemonAt = [this](std::uint16_t Port) { return daemonAt(Port); };
  BOOST_OUTCOME_TRY(Made, PeerProxy::create(std::move(Options)));
  m_proxy = std::move(Made);
  return boost::outcome_v2::success();
}

Result<void> Cluster::proxyEngines(unsigned BasePort,
                                   std::vector<ProxiedPort> &Ports) {
  constexpr unsigned BehindPeers = 200;
  const Json Topology = Json::parse(controlGet("/topology"));
  for (Json Row : Topology["endpoints"]) {
    if (Row["kind"] != "engine")
      continue;
    const auto Advertised = static_cast<std::uint16_t>(
        BasePort + BehindPeers + Ports.size() - m_options.m_daemons);
    Ports.push_back({Advertised, Row["port"].get<std::uint16_t>()});
    const auto Region =
        std::find(m_regions.begin(), m_regions.end(), Row["region"]);
    m_portRegions.push_back(
        static_cast<unsigned>(std::distance(m_regions.begin(), Region)));
    Row["port"] = Advertised;
    if (control("/vms", Row.dump()) != "{}")
      return makeError(ErrorKind::Unavailable,
                       "the VM list does not take a proxied engine");
  }
  // No daemon may see the engines' own ports.
  std::this_thread::sleep_for(VmListLag);
  return boost::outcome_v2::success();
}

void Cluster::cutRegion(unsigned Region) {
  m_proxy->setCut([this, Region](unsigned From, unsigned To) {
    return (From % 3 == Region) != (m_portRegions[To] == Region);
  });
}

void Cluster::healRegions() { m_proxy->setCut(nullptr); }

bool Cluster::waitReady(unsigned Daemon, unsigned Limit) {
  TimePoint End = std::chrono::steady_clock::now() + Seconds(Limit);
  while (std::chrono::steady_clock::now() < End) {
    Answer Ready = call(m_daemons[Daemon].m_url, "GET", "/readyz", {}, "",
                        Milliseconds(1000));
    if (Ready.m_status == 200)
      return true;
    std::this_thread::sleep_for(Poll);
  }
  return false;
}

std::string Cluster::control(const std::string &Path, const std::string &Body) {
  return call(m_control, "POST", Path, {}, Body, OperatorTimeout).m_body;
}

std::string Cluster::controlGet(const std::string &Path) {
  return call(m_control, "GET", Path, {}, "", OperatorTimeout).m_body;
}

std::map<std::string, unsigned> Cluster::executions() {
  Json Body = Json::parse(controlGet("/executions"), nullptr, false);
  std::map<std::string, unsigned> Out;
  for (const auto &[Key, Times] : Body.items())
    Out[Key] = Times.get<unsigned>();
  return Out;
}

std::pair<int, std::string> Cluster::operate(unsigned Daemon,
                                             const std::string &Method,
                                             const std::string &Path,
                                             const std::string &Body) {
  Answer Got =
      call(m_daemons[Daemon].m_operator, Method, Path,
           {{"Authorization", "Bearer " + Token}}, Body, OperatorTimeout);
  return {Got.m_status, Got.m_body};
}

std::pair<int, std::string> Cluster::apply(unsigned Daemon,
                                           std::uint64_t Expected,
                                           const std::string &Document) {
  Json Body = {{"expected", Expected}, {"document", Json::parse(Document)}};
  return operate(Daemon, "POST", "/config", Body.dump());
}

std::string Cluster::exampleDocument() const {
  return config::loadFolder(m_options.m_sources + "/examples/" +
                            m_options.m_deployment)
      .value()
      .m_document;
}

} // namespace primroseworks::faults
