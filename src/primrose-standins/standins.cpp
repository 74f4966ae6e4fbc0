// Starts the stand-ins and serves the control port.
#include "primrose-standins/standins.h"

#include "primrose-standins/engine.h"
#include "primrose-standins/platform.h"

#include <condition_variable>

namespace primroseworks::standins {
namespace {

using Json = nlohmann::json;

/// How finely loads and late orders move on.
constexpr Milliseconds TickInterval{5};

class AllStandins final : public Standins {
public:
  AllStandins(const Settings &From)
      : m_settings(From), m_store(From.m_weightStore, m_book),
        m_vms(From.m_vmLag) {}
  ~AllStandins() override {
    {
      std::lock_guard<std::mutex> Lock(m_mutex);
      m_end = true;
    }
    m_wake.notify_all();
    if (m_ticker.joinable())
      m_ticker.join();
    m_control.reset();
  }

  Result<void> start(std::uint16_t Port) {
    BOOST_OUTCOME_TRY(Kv, KvService::create(m_settings));
    m_kv = std::move(Kv);
    for (EngineSettings &Each : m_settings.m_engines) {
      BOOST_OUTCOME_TRYV(startEngine(Each));
    }
    for (ServiceSettings &Each : m_settings.m_services) {
      BOOST_OUTCOME_TRYV(startService(Each));
    }
    for (const VmInfo &Each : m_settings.m_daemons)
      m_vms.put(Each);
    HttpServerOptions VmOptions;
    VmOptions.m_port = m_settings.m_vmsPort;
    BOOST_OUTCOME_TRY(
        VmServer, createHttpServer(VmOptions, [this](const HttpRequest &,
                                                     HttpResponse &Response) {
          if (m_vmFaults.value("outage") > 0)
            return answer(Response, 503, {{"error", "outage"}});
          answer(Response, 200, m_vms.list(std::chrono::steady_clock::now()));
        }));
    m_vmServer = std::move(VmServer);
    HttpServerOptions Options;
    Options.m_port = Port;
    BOOST_OUTCOME_TRY(Control,
                      createHttpServer(Options, [this](const HttpRequest &Call,
                                                       HttpResponse &Response) {
                        control(Call, Response);
                      }));
    m_control = std::move(Control);
    m_ticker = std::thread([this] { tick(); });
    return boost::outcome_v2::success();
  }

  std::uint16_t controlPort() const override { return m_control->port(); }

  std::string topology() const override {
    Json Endpoints = Json::array();
    for (const auto &[Name, Each] : m_hosts) {
      Json Row = toJson(Each.m_vm);
      Row["running"] = Each.m_host->running();
      Endpoints.push_back(std::move(Row));
    }
    const auto Url = [](std::uint16_t Port) {
      return "http://127.0.0.1:" + std::to_string(Port);
    };
    return Json({{"control", Url(m_control->port())},
                 {"kv", Url(m_kv->port())},
                 {"vms", Url(m_vmServer->port())},
                 {"endpoints", Endpoints}})
        .dump(2);
  }

private:
  struct Endpoint {
    VmInfo m_vm;
    std::unique_ptr<Faults> m_faults;
    std::unique_ptr<Host> m_host; ///< Uses m_faults.
  };

  Result<void> startHost(const VmInfo &Vm, std::unique_ptr<Faults> Switches,
                         Host::Factory Make) {
    auto Next = std::make_unique<Host>(Vm.m_name, Vm.m_port, *Switches, m_book,
                                       std::move(Make));
    BOOST_OUTCOME_TRYV(Next->start());
    Endpoint Out{Vm, std::move(Switches), std::move(Next)};
    Out.m_vm.m_port = Out.m_host->port();
    m_vms.put(Out.m_vm);
    if (!m_hosts.emplace(Vm.m_name, std::move(Out)).second)
      return makeError(ErrorKind::InvalidArgument,
                       "endpoint '" + Vm.m_name +
                           "' is listed twice; rename one");
    return boost::outcome_v2::success();
  }
  Result<void> startEngine(const EngineSettings &Each) {
    auto Switches = std::make_unique<Faults>();
    Faults &Ref = *Switches;
    return startHost(Each.m_vm, std::move(Switches), [&, this](bool Restarted) {
      return makeEngine(Each, m_settings.m_seed * 1'000'000 + ++m_runs,
                        Restarted, Ref, m_book, m_store);
    });
  }
  Result<void> startService(const ServiceSettings &Each) {
    return startHost(
        Each.m_vm, std::make_unique<Faults>(),
        [&, this](bool /*Restarted*/) { return makeService(Each, m_book); });
  }

  void tick() {
    std::unique_lock<std::mutex> Lock(m_mutex);
    while (!m_wake.wait_for(Lock, TickInterval, [this] { return m_end; })) {
      const TimePoint Now = std::chrono::steady_clock::now();
      m_store.tick(Now);
      for (auto &[Name, Each] : m_hosts)
        Each.m_host->tick(Now);
    }
  }

  void control(const HttpRequest &Call, HttpResponse &Response) {
    try {
      const Json Body =
          Call.m_body.empty() ? Json::object() : Json::parse(Call.m_body);
      if (!route(Call.m_method, Call.m_path, Body, Response))
        answer(Response, 404, {{"error", "see docs/standins.md"}});
    } catch (const Json::exception &Failure) {
      answer(Response, 400, {{"error", Failure.what()}});
    }
  }

  bool route(const std::string &Method, const std::string &Path,
             const Json &Body, HttpResponse &Response) {
    if (Path == "/topology")
      answer(Response, 200, Json::parse(topology()));
    else if (Path == "/executions")
      answer(Response, 200, m_book.executions());
    else if (Path == "/ledger")
      answer(Response, 200, ledger());
    else if (Path == "/kv/faults")
      m_kv->setFaults(Body);
    else if (Path == "/vms/faults")
      m_vmFaults.set(Body);
    else if (Path == "/weight-store")
      m_store.setSlowFactor(Body.at("slow").get<double>());
    else if (Path == "/vms" && Method == "POST")
      m_vms.put(vmFromJson(Body));
    else if (Path.rfind("/vms/", 0) == 0)
      return changeVm(Method, Path.substr(5));
    else if (Path.rfind("/endpoints/", 0) == 0)
      return changeEndpoint(Path.substr(11), Body, Response);
    else
      return false;
    if (Response.m_body.empty())
      Response.m_body = "{}";
    return true;
  }

  bool changeVm(const std::string &Method, const std::string &Rest) {
    if (Method == "DELETE")
      return m_vms.remove(Rest);
    const std::size_t Slash = Rest.find('/');
    if (Slash == std::string::npos || Rest.substr(Slash) != "/leave")
      return false;
    const auto Found = m_hosts.find(Rest.substr(0, Slash));
    if (Found != m_hosts.end())
      Found->second.m_host->leave(std::chrono::steady_clock::now());
    return m_vms.setState(Rest.substr(0, Slash), VmState::Leaving);
  }

  bool changeEndpoint(const std::string &Rest, const Json &Body,
                      HttpResponse &Response) {
    const std::size_t Slash = Rest.find('/');
    const auto Found = m_hosts.find(Rest.substr(0, Slash));
    if (Slash == std::string::npos || Found == m_hosts.end())
      return false;
    const std::string What = Rest.substr(Slash + 1);
    Host &Target = *Found->second.m_host;
    if (What == "kill") {
      Target.kill();
    } else if (What == "restart") {
      Target.kill();
      const Result<void> Started = Target.start();
      if (!Started)
        answer(Response, 500, {{"error", Started.error().m_message}});
    } else if (What == "faults") {
      Target.faults().set(Body);
      answer(Response, 200, Target.faults().all());
    } else {
      return false;
    }
    if (Response.m_body.empty())
      Response.m_body = "{}";
    return true;
  }

  Json ledger() const {
    Json Out = m_book.summary();
    Out["kv"] = m_kv->counters();
    Out["executions"] = m_book.executions();
    return Out;
  }

  Settings m_settings;
  Ledger m_book;
  WeightStore m_store;
  VmList m_vms;
  Faults m_vmFaults;
  std::atomic<std::uint64_t> m_runs{0};
  std::map<std::string, Endpoint> m_hosts; ///< Fixed after start().
  std::unique_ptr<KvService> m_kv;
  std::unique_ptr<HttpServer> m_vmServer;
  std::unique_ptr<HttpServer> m_control;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_end = false; ///< Guarded by m_mutex.
  std::thread m_ticker;
};

} // namespace

Result<std::unique_ptr<Standins>> createStandins(const Settings &From,
                                                 std::uint16_t Port) {
  auto Out = std::make_unique<AllStandins>(From);
  BOOST_OUTCOME_TRYV(Out->start(Port));
  return std::unique_ptr<Standins>(std::move(Out));
}

} // namespace primroseworks::standins
