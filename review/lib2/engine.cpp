// Stand-in for a model engine.
#include "engine.h"

#include <vector>

namespace review {

namespace {

constexpr int HeartbeatMs = 1200;
constexpr int AdapterLoadMs = 29;

std::uint64_t unixMs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

} // namespace

Engine::Engine(Record &Log, Store &Entries, std::string Ip,
               EngineOptions Options)
    : m_log(Log), m_store(Entries), m_ip(std::move(Ip)),
      m_options(std::move(Options)), m_models(m_options.m_models) {
  m_address = m_ip + ":" + std::to_string(freePort(m_ip));
  m_born = unixMs();
  const int Port = std::stoi(m_address.substr(m_address.rfind(':') + 1));
  m_down = false;
  m_server = std::make_unique<Server>(
      m_ip, Port,
      [this](const SocketPtr &S, const Message &R) { return onRequest(S, R); });
  writeEntry();
  m_beatThread = std::thread([this] { beat(); });
}

Engine::~Engine() {
  m_ended = true;
  m_down = true;
  m_beatThread.join();
  if (m_server)
    m_server->stop();
  while (m_tasks > 0)
    sleepMs(2);
}

void Engine::crash() {
  std::unique_ptr<Server> Old;
  {
    const std::lock_guard<std::mutex> Lock(m_mutex);
    if (m_down)
      return;
    m_down = true;
    ++m_incarnation;
    ++m_crashes;
    Old = std::move(m_server);
  }
  m_log.line("engine " + m_options.m_id + " has ended");
  Old->stop();
}

void Engine::restart() {
  const std::lock_guard<std::mutex> Lock(m_mutex);
  m_models.clear();
  m_running.clear();
  m_leaving.clear();
  m_lastAnswers.clear();
  m_sequence = 0;
  m_fence = 0;
  m_busy = false;
  m_born = unixMs();
  m_down = false;
  const int Port = std::stoi(m_address.substr(m_address.rfind(':') + 1));
  m_server = std::make_unique<Server>(
      m_ip, Port,
      [this](const SocketPtr &S, const Message &R) { return onRequest(S, R); });
  writeEntry();
  m_log.line("engine " + m_options.m_id +
             " has started again under its id, empty");
}

std::map<std::string, int> Engine::runs() {
  const std::lock_guard<std::mutex> Lock(m_mutex);
  return m_runs;
}

std::uint64_t Engine::sequence() {
  const std::lock_guard<std::mutex> Lock(m_mutex);
  return m_sequence;
}

bool Engine::holds(const std::string &Model) {
  const std::lock_guard<std::mutex> Lock(m_mutex);
  return m_models.count(Model) > 0;
}

Engine::Json Engine::modelsJson() const {
  Json Out = Json::array();
  for (const auto &[Name, Adapters] : m_models)
    Out.push_back({{"name", Name}, {"version", 1}, {"adapters", Adapters}});
  return Out;
}

Engine::Json Engine::report() {
  const std::lock_guard<std::mutex> Lock(m_mutex);
  int Running = 0;
  for (const auto &[Name, Count] : m_running)
    Running += Count;
  return {
      {"stage", "unified"},     {"models", modelsJson()}, {"busy", m_busy},
      {"sequence", m_sequence}, {"waiting", 0},           {"running", Running},
      {"kv-used", 1000},        {"kv-total", 145819},     {"handles", 0},
      {"born", m_born},         {"coming", Json::array()}};
}

/// To be called with the mutex held, or before there are other threads.
void Engine::writeEntry() {
  m_store.put("servers/" + m_options.m_id,
              Json{{"service", m_options.m_service},
                   {"address", m_address},
                   {"zone", m_options.m_zone},
                   {"version", "v1"},
                   {"slots", 64},
                   {"state", "ready"},
                   {"cold-remaining-ms", 0},
                   {"stage", "unified"},
                   {"models", modelsJson()},
                   {"born", m_born},
                   {"sequence", ++m_beats}}
                  .dump());
}

void Engine::beat() {
  for (int Ms = 0; !m_ended; Ms += 20) {
    sleepMs(20);
    if (Ms % HeartbeatMs != 0 || m_down)
      continue;
    const std::lock_guard<std::mutex> Lock(m_mutex);
    writeEntry();
  }
}

std::string Engine::commonHeaders(const Message &Request) const {
  std::string Out = "X-Primroseworks-Instance-Id: " + m_options.m_id +
                    "\r\nKeep-Alive: timeout=30\r\n";
  const std::string Id = Request.header("x-primroseworks-request-id");
  if (!Id.empty())
    Out += "X-Primroseworks-Request-Id: " + Id + "\r\n";
  return Out;
}

bool Engine::answer(const SocketPtr &S, const std::string &Bytes) {
  {
    const std::lock_guard<std::mutex> Lock(m_mutex);
    m_lastAnswers[S.get()] = Bytes;
  }
  return S->write(Bytes);
}

bool Engine::onRequest(const SocketPtr &S, const Message &Request) {
  const std::string Expected =
      Request.header("x-primroseworks-expect-instance");
  if (!Expected.empty() && Expected != m_options.m_id)
    return answer(S, response(421,
                              commonHeaders(Request) +
                                  "X-Primroseworks-Not-Executed: 1\r\n",
                              ""));
  if (Request.path() == "/report")
    return answer(S, response(200,
                              commonHeaders(Request) +
                                  "Content-Type: application/json\r\n",
                              report().dump()));
  if (Request.path() == "/order")
    return onOrder(S, Request);
  return stream(S, Request);
}

bool Engine::onOrder(const SocketPtr &S, const Message &Request) {
  const Json Order = Json::parse(Request.m_body);
  m_log.line("order " + Order.dump());
  std::string Last;
  {
    const std::lock_guard<std::mutex> Lock(m_mutex);
    Last = m_lastAnswers[S.get()];
  }
  bool Keep = true;
  if (m_onOrder && m_onOrder(S, Order, Last, Keep))
    return Keep;
  int Status = 0;
  executeOrder(Order, Status);
  m_log.line("  answer to the order: " + std::to_string(Status));
  return answer(S, response(Status, commonHeaders(Request), ""));
}

unsigned Engine::heldAdapters() const {
  unsigned Count = 0;
  for (const auto &[Name, Adapters] : m_models)
    Count += static_cast<unsigned>(Adapters.size());
  return Count;
}

/// An engine that is ordered to load more than it holds crashes.
void Engine::overload(const std::string &What) {
  ++m_overloads;
  m_log.line("  LIMIT: ordered to load " + What + " beyond what it holds");
  ++m_tasks;
  std::thread([this] {
    crash();
    --m_tasks;
  }).detach();
}

Engine::Json Engine::executeOrder(const Json &Order, int &Status) {
  const std::lock_guard<std::mutex> Lock(m_mutex);
  const std::uint64_t Fence = Order.at("fencing-token");
  if (Fence < m_fence) {
    Status = 412;
    return {};
  }
  m_fence = Fence;
  const std::string Model = Order.at("model");
  const std::string Adapter = Order.value("adapter", std::string());
  const bool IsLoad = Order.at("operation") == "load";
  const auto Held = m_models.find(Model);
  const std::string Name = Model + "/" + Adapter;
  const bool Holds = Held != m_models.end() &&
                     (Adapter.empty() || Held->second.count(Adapter) > 0);
  if (m_busy || Order.value("expected", m_sequence) != m_sequence) {
    Status = 409;
    return {};
  }
  if (Holds == IsLoad && !(IsLoad && m_leaving.count(Name) > 0)) {
    Status = 200; // It already holds.
    return {};
  }
  if (!Adapter.empty() && Held == m_models.end()) {
    Status = 400;
    return {};
  }
  ++m_sequence;
  Status = 202;
  if (Adapter.empty() && IsLoad) {
    if (m_models.size() >= m_options.m_modelSlots) {
      overload(Model);
      return {};
    }
    m_busy = true;
    load(Model);
  } else if (Adapter.empty()) {
    m_models.erase(Model);
  } else if (IsLoad) {
    if (heldAdapters() >= m_options.m_adapterSlots) {
      overload(Name);
      return {};
    }
    m_leaving.erase(Name);
    Held->second.insert(Adapter);
  } else if (m_running[Name] > 0) {
    m_leaving.insert(Name);
  } else {
    Held->second.erase(Adapter);
    Status = 200;
  }
  return {};
}

void Engine::load(const std::string &Model) {
  ++m_tasks;
  std::thread([this, Model, Incarnation = m_incarnation.load()] {
    const long End = nowMs() + m_options.m_modelLoadMs;
    while (nowMs() < End && Incarnation == m_incarnation && !m_ended)
      sleepMs(10);
    {
      const std::lock_guard<std::mutex> Lock(m_mutex);
      if (Incarnation == m_incarnation) {
        m_busy = false;
        m_models[Model];
      }
    }
    --m_tasks;
  }).detach();
}

/// Runs a request: as many events as its second token number says.
bool Engine::stream(const SocketPtr &S, const Message &Request) {
  const std::string Id = Request.header("x-primroseworks-request-id");
  const std::string Name = Request.header("x-primroseworks-model");
  const std::size_t Slash = Name.find('/');
  const std::string Model = Name.substr(0, Slash);
  const std::string Adapter =
      Slash == std::string::npos ? "" : Name.substr(Slash + 1);
  const std::string Usage = Request.header("x-primroseworks-token-usage");
  const int Events = std::atoi(Usage.substr(Usage.find(',') + 1).c_str());
  const unsigned Incarnation = m_incarnation;
  bool Present = false;
  {
    const std::lock_guard<std::mutex> Lock(m_mutex);
    const auto Held = m_models.find(Model);
    Present = Held != m_models.end() &&
              (Adapter.empty() ||
               (Held->second.count(Adapter) > 0 && m_leaving.count(Name) == 0));
    if (Present) {
      ++m_running[Name];
      ++m_runs[Id];
    }
  }
  if (!Present)
    return answer(S, response(421,
                              commonHeaders(Request) +
                                  "X-Primroseworks-Not-Executed: 1\r\n",
                              ""));
  m_log.line("runs " + Id + " with " + Name);
  sleepMs(AdapterLoadMs);
  bool Open = S->write("HTTP/1.1 200 OK\r\n" + commonHeaders(Request) +
                       "X-Primroseworks-Response-Seal: seal-" + Id +
                       "\r\nContent-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n");
  const std::string From = Request.header("last-event-id");
  for (int I = From.empty() ? 0 : std::atoi(From.c_str()) + 1;
       I < Events && Incarnation == m_incarnation && !m_ended; ++I) {
    const std::string Event =
        "id: " + std::to_string(I) + "\ndata: " + Id + "\n\n";
    char Size[16];
    std::snprintf(Size, sizeof(Size), "%zx\r\n", Event.size());
    Open = Open && S->write(Size + Event + "\r\n");
    if (!Open && m_options.m_dropsRuns)
      break;
    sleepMs(m_options.m_eventMs);
  }
  {
    const std::lock_guard<std::mutex> Lock(m_mutex);
    if (Incarnation != m_incarnation)
      return false;
    if (--m_running[Name] == 0 && m_leaving.erase(Name) > 0)
      m_models[Model].erase(Adapter);
  }
  return Open && S->write("0\r\n\r\n");
}

std::string configuration(unsigned Version) {
  using Json = nlohmann::json;
  const auto Model = [](const char *Name, int Adapters) {
    return Json{{"name", Name},       {"weights-mb", 72700.0},
                {"load-time-s", 2.4}, {"adapters", Adapters},
                {"adapter-mb", 66.0}, {"warm-s", 1.2},
                {"disk-s", 1.6}};
  };
  const Json Engines = {{"slots", 64},
                        {"kv-capacity", 145819},
                        {"kv-token-bytes", 163840},
                        {"link-mbps", 370000.0},
                        {"weights-mb", 230000.0},
                        {"adapter-slots", 8},
                        {"loads-per-s", 1.2},
                        {"models", {Model("m0", 28)}}};
  const Json Config = {{"version", Version},
                       {"routes",
                        {{{"name", "r-query"},
                          {"host", "ficu95.example"},
                          {"path-prefix", "/query/"},
                          {"kind", "stream"},
                          {"timeout-ms", 30000},
                          {"target-latency-ms", 600},
                          {"priority", 1},
                          {"service", "braid-scribe"},
                          {"max-attempts", 1},
                          {"sticky", true},
                          {"resumable", false},
                          {"gap-aim-ms", 300}},
                         {{"name", "r-issue"},
                          {"host", "ficu95.example"},
                          {"path-prefix", "/issue/"},
                          {"kind", "unsafe"},
                          {"timeout-ms", 8000},
                          {"target-latency-ms", 300},
                          {"priority", 2},
                          {"service", "rope-register"},
                          {"max-attempts", 1},
                          {"sticky", false},
                          {"resumable", false}},
                         {{"name", "r-lookup"},
                          {"host", "ficu95.example"},
                          {"path-prefix", "/lookup/"},
                          {"kind", "safe"},
                          {"timeout-ms", 1000},
                          {"target-latency-ms", 300},
                          {"priority", 2},
                          {"service", "rope-register"},
                          {"max-attempts", 2},
                          {"sticky", false},
                          {"resumable", false}},
                         {{"name", "r-follow"},
                          {"host", "ficu95.example"},
                          {"path-prefix", "/follow/"},
                          {"kind", "stream"},
                          {"timeout-ms", 8000},
                          {"target-latency-ms", 600},
                          {"priority", 1},
                          {"service", "rope-register"},
                          {"max-attempts", 1},
                          {"sticky", false},
                          {"resumable", false},
                          {"gap-aim-ms", 300}}}},
                       {"services",
                        {{{"name", "braid-scribe"},
                          {"health-path", "/health"},
                          {"max-connections", 370},
                          {"protocol", "h1"},
                          {"tls", false},
                          {"engine", Engines}},
                         {{"name", "rope-register"},
                          {"health-path", "/health"},
                          {"max-connections", 110},
                          {"protocol", "h1"},
                          {"tls", false}}}},
                       {"limits",
                        {{"max-header-bytes", 16384},
                         {"max-body-bytes", 4194304},
                         {"header-timeout-ms", 5000},
                         {"idle-timeout-ms", 20000}}}};
  return Config.dump();
}

std::string streamRequest(const std::string &Id, const std::string &Model,
                          int DeadlineMs) {
  const std::string Body = "{\"prompt\":\"" + Id + "\"}";
  return "POST /query/" + Id + " HTTP/1.1\r\nHost: ficu95.example\r\n" +
         "X-Primroseworks-Request-Id: " + Id +
         "\r\nX-Primroseworks-Model: " + Model +
         "\r\nX-Primroseworks-Token-Usage: 500,120" +
         "\r\nX-Primroseworks-Prompt-Prefix: 5c1e:155,91bd:300," + Id +
         ":45\r\nX-Primroseworks-Deadline-Ms: " + std::to_string(DeadlineMs) +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

} // namespace review
