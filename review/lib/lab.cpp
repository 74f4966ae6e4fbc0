// Implementation of what the scripts of the review share.
#include "lab.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

const Clock::time_point ScriptStart = Clock::now();

std::string lower(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char C) { return std::tolower(C); });
  return Text;
}

std::string trim(const std::string &Text) {
  const auto First = Text.find_first_not_of(" \t\r");
  if (First == std::string::npos)
    return "";
  return Text.substr(First, Text.find_last_not_of(" \t\r") - First + 1);
}

sockaddr_in socketAddress(const std::string &Ip, int Port) {
  sockaddr_in A{};
  A.sin_family = AF_INET;
  A.sin_port = htons(static_cast<std::uint16_t>(Port));
  inet_pton(AF_INET, Ip.c_str(), &A.sin_addr);
  return A;
}

std::pair<std::string, int> split(const std::string &Address) {
  const auto Colon = Address.rfind(':');
  return {Address.substr(0, Colon), std::stoi(Address.substr(Colon + 1))};
}

void setNoDelay(int Fd) {
  const int On = 1;
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
}

const char *Base64Digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encodeBase64(const std::string &In) {
  std::string Out;
  for (std::size_t I = 0; I < In.size(); I += 3) {
    std::uint32_t V = 0;
    for (std::size_t K = 0; K < 3; ++K)
      V = V << 8 |
          (I + K < In.size() ? static_cast<unsigned char>(In[I + K]) : 0);
    for (std::size_t K = 0; K < 4; ++K)
      Out += I + K <= In.size() ? Base64Digits[V >> (18 - 6 * K) & 63] : '=';
  }
  return Out;
}

std::string decodeBase64(const std::string &In) {
  std::string Out;
  std::uint32_t V = 0;
  int Bits = 0;
  for (char C : In) {
    const char *At = std::strchr(Base64Digits, C);
    if (C == '=' || !At)
      break;
    V = V << 6 | static_cast<std::uint32_t>(At - Base64Digits);
    Bits += 6;
    if (Bits >= 8) {
      Bits -= 8;
      Out += static_cast<char>(V >> Bits & 255);
    }
  }
  return Out;
}

std::map<std::string, std::string> queryOf(const std::string &Target) {
  std::map<std::string, std::string> Out;
  const auto Mark = Target.find('?');
  if (Mark == std::string::npos)
    return Out;
  std::istringstream Parts(Target.substr(Mark + 1));
  for (std::string Part; std::getline(Parts, Part, '&');) {
    const auto Equal = Part.find('=');
    std::string Value;
    for (std::size_t I = Equal + 1; I < Part.size(); ++I) {
      if (Part[I] == '%' && I + 2 < Part.size()) {
        Value += static_cast<char>(
            std::strtol(Part.substr(I + 1, 2).c_str(), nullptr, 16));
        I += 2;
      } else {
        Value += Part[I];
      }
    }
    Out[Part.substr(0, Equal)] = Value;
  }
  return Out;
}

} // namespace

double seconds() {
  return std::chrono::duration<double>(Clock::now() - ScriptStart).count();
}

void sleepFor(Ms Time) { std::this_thread::sleep_for(Time); }

std::string ip(int Number) {
  static const std::string Net = [] {
    std::random_device Random;
    return "127." + std::to_string(20 + Random() % 200) + '.' +
           std::to_string(Random() % 250) + '.';
  }();
  return Net + std::to_string(Number);
}

bool playsDisruption(int Count, char **Arguments) {
  const std::string Word = Count == 3 ? Arguments[2] : "";
  if (Word != "with" && Word != "without") {
    std::cerr << "usage: CASE FOLDER with|without; run.sh passes them\n";
    std::exit(2);
  }
  return Word == "with";
}

void Record::line(const std::string &Text) {
  char Time[32];
  std::snprintf(Time, sizeof(Time), "%8.3f  ", seconds());
  const std::lock_guard<std::mutex> Lock(m_mutex);
  m_out << Time << Text << std::endl;
}

// --- Sockets and messages ---------------------------------------------------

Socket::~Socket() {
  if (m_fd >= 0)
    ::close(m_fd);
}

SocketPtr Socket::connect(const std::string &Address, Ms Timeout) {
  const auto [Ip, Port] = split(Address);
  const int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto Out = std::make_shared<Socket>(Fd);
  const sockaddr_in To = socketAddress(Ip, Port);
  fcntl(Fd, F_SETFL, O_NONBLOCK);
  if (::connect(Fd, reinterpret_cast<const sockaddr *>(&To), sizeof(To)) != 0) {
    pollfd P{Fd, POLLOUT, 0};
    int Error = 0;
    socklen_t Size = sizeof(Error);
    if (poll(&P, 1, static_cast<int>(Timeout.count())) != 1 ||
        getsockopt(Fd, SOL_SOCKET, SO_ERROR, &Error, &Size) != 0 || Error != 0)
      return nullptr;
  }
  fcntl(Fd, F_SETFL, 0);
  setNoDelay(Fd);
  return Out;
}

bool Socket::send(const std::string &Bytes) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    const ssize_t N =
        ::send(m_fd, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (N <= 0)
      return false;
    Sent += static_cast<std::size_t>(N);
  }
  return true;
}

bool Socket::receive(Clock::time_point Until) {
  const auto Left =
      std::chrono::duration_cast<Ms>(Until - Clock::now()).count();
  pollfd P{m_fd, POLLIN, 0};
  if (Left < 0 || poll(&P, 1, static_cast<int>(Left)) != 1) {
    m_timedOut = true;
    return false;
  }
  char Buffer[65536];
  const ssize_t N = ::recv(m_fd, Buffer, sizeof(Buffer), 0);
  if (N <= 0)
    return false;
  m_input.append(Buffer, static_cast<std::size_t>(N));
  return true;
}

void Socket::shutDown() { ::shutdown(m_fd, SHUT_RDWR); }

void Socket::reset() {
  const std::lock_guard<std::mutex> Lock(m_mutex);
  // Connecting to "no address" ends a connection with a reset at once.
  const linger NoLinger{1, 0};
  setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &NoLinger, sizeof(NoLinger));
  sockaddr None{};
  None.sa_family = AF_UNSPEC;
  ::connect(m_fd, &None, sizeof(None));
}

std::string Message::header(const std::string &Name) const {
  for (const auto &[Key, Value] : m_headers)
    if (lower(Key) == lower(Name))
      return Value;
  return "";
}

bool Message::has(const std::string &Name) const {
  return std::any_of(
      m_headers.begin(), m_headers.end(),
      [&Name](const auto &H) { return lower(H.first) == lower(Name); });
}

int Message::status() const {
  return m_headArrived ? std::atoi(m_start.substr(9, 3).c_str()) : 0;
}

std::string Message::method() const {
  return m_start.substr(0, m_start.find(' '));
}

std::string Message::target() const {
  const auto First = m_start.find(' ') + 1;
  return m_start.substr(First, m_start.rfind(' ') - First);
}

Message readMessage(Socket &S, Clock::time_point Until,
                    const std::function<void(const Message &)> &OnBody) {
  Message M;
  std::size_t End = 0;
  while ((End = S.m_input.find("\r\n\r\n")) == std::string::npos)
    if (!S.receive(Until))
      return M;
  std::istringstream Lines(S.m_input.substr(0, End));
  S.m_input.erase(0, End + 4);
  std::getline(Lines, M.m_start);
  M.m_start = trim(M.m_start);
  for (std::string Line; std::getline(Lines, Line);) {
    const auto Colon = Line.find(':');
    M.m_headers.emplace_back(Line.substr(0, Colon),
                             trim(Line.substr(Colon + 1)));
  }
  M.m_headArrived = true;
  if (lower(M.header("Transfer-Encoding")) == "chunked") {
    for (;;) {
      std::size_t LineEnd = 0;
      while ((LineEnd = S.m_input.find("\r\n")) == std::string::npos)
        if (!S.receive(Until))
          return M;
      const std::size_t Size = std::stoul(S.m_input, nullptr, 16);
      while (S.m_input.size() < LineEnd + 2 + Size + 2)
        if (!S.receive(Until))
          return M;
      M.m_body += S.m_input.substr(LineEnd + 2, Size);
      S.m_input.erase(0, LineEnd + 2 + Size + 2);
      if (OnBody)
        OnBody(M);
      if (Size == 0) {
        M.m_complete = true;
        return M;
      }
    }
  }
  const std::string Length = M.header("Content-Length");
  const std::size_t Size = Length.empty() ? 0 : std::stoul(Length);
  while (S.m_input.size() < Size)
    if (!S.receive(Until))
      break;
  M.m_body = S.m_input.substr(0, Size);
  S.m_input.erase(0, M.m_body.size());
  M.m_complete = M.m_body.size() == Size;
  return M;
}

std::string openResponse(int Status, const Headers &H) {
  std::string Out = "HTTP/1.1 " + std::to_string(Status) + " -\r\n";
  for (const auto &[Name, Value] : H)
    Out += Name + ": " + Value + "\r\n";
  return Out + "\r\n";
}

std::string response(int Status, const Headers &H, const std::string &Body) {
  Headers All = H;
  All["Content-Length"] = std::to_string(Body.size());
  return openResponse(Status, All) + Body;
}

std::string chunk(const std::string &Bytes) {
  std::ostringstream Out;
  Out << std::hex << Bytes.size() << "\r\n" << Bytes << "\r\n";
  return Out.str();
}

// --- Servers ----------------------------------------------------------------

Server::~Server() { close(); }

void Server::listen(const std::string &Ip, int Port) {
  m_closed = false;
  m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in At = socketAddress(Ip, Port);
  if (bind(m_listener, reinterpret_cast<sockaddr *>(&At), sizeof(At)) != 0 ||
      ::listen(m_listener, 512) != 0)
    throw std::runtime_error("cannot listen at " + Ip);
  socklen_t Size = sizeof(At);
  getsockname(m_listener, reinterpret_cast<sockaddr *>(&At), &Size);
  m_address = Ip + ':' + std::to_string(ntohs(At.sin_port));
  std::thread([this] { accept(); }).detach();
}

void Server::accept() {
  const int Listener = m_listener;
  for (;;) {
    const int Fd = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Fd < 0)
      return;
    setNoDelay(Fd);
    auto S = std::make_shared<Socket>(Fd);
    {
      const std::lock_guard<std::mutex> Lock(m_mutex);
      if (m_closed)
        return;
      m_open.insert(S);
    }
    std::thread([this, S] {
      for (;;) {
        Message Request = readMessage(*S, Clock::now() + std::chrono::hours(1));
        if (!Request.m_complete || !serve(*S, Request))
          break;
      }
      S->shutDown();
      const std::lock_guard<std::mutex> Lock(m_mutex);
      m_open.erase(S);
    }).detach();
  }
}

void Server::close(bool Reset) {
  std::set<SocketPtr> Open;
  {
    const std::lock_guard<std::mutex> Lock(m_mutex);
    if (m_closed || m_listener < 0)
      return;
    m_closed = true;
    Open = m_open;
  }
  ::shutdown(m_listener, SHUT_RDWR);
  ::close(m_listener);
  for (const SocketPtr &S : Open)
    Reset ? S->reset() : S->shutDown();
}

void Relay::start(const std::string &Ip, const std::string &Target, int Port) {
  m_target = Target;
  m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in At = socketAddress(Ip, Port);
  if (bind(m_listener, reinterpret_cast<sockaddr *>(&At), sizeof(At)) != 0 ||
      ::listen(m_listener, 512) != 0)
    throw std::runtime_error("cannot listen at " + Ip);
  socklen_t Size = sizeof(At);
  getsockname(m_listener, reinterpret_cast<sockaddr *>(&At), &Size);
  m_address = Ip + ':' + std::to_string(ntohs(At.sin_port));
  std::thread([this] {
    for (;;) {
      const int Fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Fd < 0)
        return;
      setNoDelay(Fd);
      auto Near = std::make_shared<Socket>(Fd);
      auto Far = Socket::connect(m_target);
      if (!Far)
        continue;
      std::thread([this, Near, Far] { pump(Near, Far); }).detach();
      std::thread([this, Near, Far] { pump(Far, Near); }).detach();
    }
  }).detach();
}

void Relay::pump(SocketPtr From, SocketPtr To) {
  while (From->receive(Clock::now() + std::chrono::hours(1))) {
    while (m_held)
      sleepFor(Ms(2));
    if (!To->send(From->m_input))
      break;
    From->m_input.clear();
  }
  while (m_held)
    sleepFor(Ms(2));
  From->shutDown();
  To->shutDown();
}

// --- The store --------------------------------------------------------------

Json Store::itemJson(const std::string &Key) const {
  const Item &I = m_items.at(Key);
  return {{"key", Key},
          {"value", encodeBase64(I.m_value)},
          {"revision", I.m_revision},
          {"created-at", I.m_revision},
          {"lease", I.m_lease}};
}

void Store::putLocked(const std::string &Key, const std::string &Value,
                      std::uint64_t Lease) {
  m_items[Key] = {Value, ++m_revision, Lease};
  m_history.push_back({m_revision, Clock::now(), Key, itemJson(Key)});
}

void Store::removeLocked(const std::string &Key) {
  if (m_items.erase(Key) == 0)
    return;
  ++m_revision;
  m_history.push_back(
      {m_revision, Clock::now(), Key,
       Json{{"key", Key}, {"revision", m_revision}, {"deleted", true}}});
}

void Store::put(const std::string &Key, const std::string &Value,
                std::uint64_t Lease) {
  const std::lock_guard<std::mutex> Lock(m_mutex);
  putLocked(Key, Value, Lease);
}

void Store::remove(const std::string &Key) {
  const std::lock_guard<std::mutex> Lock(m_mutex);
  removeLocked(Key);
}

std::string Store::value(const std::string &Key) {
  const std::lock_guard<std::mutex> Lock(m_mutex);
  const auto It = m_items.find(Key);
  return It == m_items.end() ? "" : It->second.m_value;
}

void Store::endLease(std::uint64_t Id) {
  m_leases.erase(Id);
  std::vector<std::string> Keys;
  for (const auto &[Key, I] : m_items)
    if (I.m_lease == Id)
      Keys.push_back(Key);
  for (const std::string &Key : Keys)
    removeLocked(Key);
}

void Store::expire() {
  std::vector<std::uint64_t> Ended;
  for (const auto &[Id, L] : m_leases)
    if (Clock::now() > L.m_end)
      Ended.push_back(Id);
  for (const std::uint64_t Id : Ended)
    endLease(Id);
  while (!m_history.empty() &&
         Clock::now() - m_history.front().m_at > HistoryTime) {
    m_forgotten = m_history.front().m_revision;
    m_history.pop_front();
  }
}

bool Store::serve(Socket &S, Message &Request) {
  const std::string Target = Request.target();
  const std::string Path = Target.substr(0, Target.find('?'));
  const auto Query = queryOf(Target);
  int Status = 200;
  Json Out;
  if (Path == "/kv-watch") {
    const std::uint64_t After = std::stoull(Query.at("after"));
    const auto End = Clock::now() + Ms(std::stol(Query.at("wait-ms")));
    for (;;) {
      {
        const std::lock_guard<std::mutex> Lock(m_mutex);
        expire();
        if (After < m_forgotten) {
          Status = 410;
          Out = Json::object();
          break;
        }
        Json Events = Json::array();
        for (const Change &C : m_history)
          if (C.m_revision > After &&
              C.m_key.rfind(Query.at("path-prefix"), 0) == 0)
            Events.push_back(C.m_json);
        if (!Events.empty() || Clock::now() > End) {
          Out = {{"events", Events}, {"store-revision", m_revision}};
          break;
        }
      }
      sleepFor(Ms(5));
    }
  } else {
    const std::lock_guard<std::mutex> Lock(m_mutex);
    expire();
    Out = execute(Request.method(), Path, Query, Request.m_body, Status);
  }
  return S.send(
      response(Status, {{"Content-Type", "application/json"}}, Out.dump()));
}

Json Store::execute(const std::string &Method, const std::string &Path,
                    const std::map<std::string, std::string> &Query,
                    const std::string &Body, int &Status) {
  if (Path == "/kv-range") {
    Json Items = Json::array();
    for (const auto &[Key, I] : m_items)
      if (Key.rfind(Query.at("path-prefix"), 0) == 0)
        Items.push_back(itemJson(Key));
    return {
        {"items", Items}, {"truncated", false}, {"store-revision", m_revision}};
  }
  if (Path == "/kv-txn") {
    const Json Call = Json::parse(Body);
    for (const Json &Row : Call.at("expected")) {
      const auto It = m_items.find(Row.at("key").get<std::string>());
      const std::uint64_t Now = It == m_items.end() ? 0 : It->second.m_revision;
      if (Now != Row.at("revision").get<std::uint64_t>()) {
        Status = 412;
        return {{"items", Json::array()}};
      }
    }
    for (const Json &Row : Call.at("writes")) {
      const std::uint64_t Lease = Row.value("lease", std::uint64_t{0});
      if (Lease != 0 && m_leases.count(Lease) == 0) {
        Status = 404;
        return Json::object();
      }
      putLocked(Row.at("key").get<std::string>(),
                decodeBase64(Row.at("value").get<std::string>()), Lease);
    }
    for (const Json &Key : Call.at("remove"))
      removeLocked(Key.get<std::string>());
    return {{"revision", m_revision}};
  }
  if (Path == "/kv-lease") {
    const Ms Ttl(Json::parse(Body).at("ttl-ms").get<long>());
    m_leases[++m_lastLease] = {Ttl, Clock::now() + Ttl};
    return {{"lease", m_lastLease}, {"ttl-ms", Ttl.count()}};
  }
  const std::uint64_t Id = std::stoull(Path.substr(Path.rfind('/') + 1));
  const auto Found = m_leases.find(Id);
  if (Found == m_leases.end()) {
    Status = 404;
    return Json::object();
  }
  const Ms Ttl = Found->second.m_ttl;
  if (Method == "POST")
    Found->second.m_end = Clock::now() + Ttl;
  else
    endLease(Id);
  return {{"ttl-ms", Ttl.count()}};
}

// --- Engines ----------------------------------------------------------------

Engine::Engine(Store &Platform, std::string Id, std::string Service,
               std::string Zone, std::vector<std::string> Models, int Slots,
               Work Do)
    : m_store(Platform), m_id(std::move(Id)), m_service(std::move(Service)),
      m_zone(std::move(Zone)), m_slots(Slots), m_work(std::move(Do)),
      m_isEngine(!Models.empty()) {
  for (const std::string &M : Models)
    m_models[M];
}

Engine::~Engine() { crash(false); }

void Engine::start(const std::string &Ip, int Port) {
  listen(Ip, Port);
  m_born = std::chrono::duration_cast<Ms>(
               std::chrono::system_clock::now().time_since_epoch())
               .count();
  m_running = true;
  write();
  m_heartbeat = std::thread([this] {
    for (int Tick = 1; m_running; ++Tick) {
      sleepFor(Ms(50));
      if (m_running && !m_dark && Tick % 24 == 0)
        write();
    }
  });
}

void Engine::crash(bool Reset) {
  if (!m_running.exchange(false))
    return;
  close(Reset);
  m_heartbeat.join();
}

void Engine::drain() {
  {
    const std::lock_guard<std::mutex> Lock(m_mutex);
    m_draining = true;
  }
  write();
}

Json Engine::models() const {
  Json Out = Json::array();
  for (const auto &[Name, Adapters] : m_models)
    Out.push_back({{"name", Name}, {"version", 1}, {"adapters", Adapters}});
  return Out;
}

void Engine::write() {
  const std::lock_guard<std::mutex> Lock(m_mutex);
  Json Entry = {
      {"service", m_service},  {"address", address()},
      {"zone", m_zone},        {"version", 1},
      {"slots", m_slots},      {"state", m_draining ? "draining" : "ready"},
      {"sequence", ++m_beats}, {"born", m_born}};
  Entry["cold-remaining-ms"] = 0;
  if (m_isEngine) {
    Entry["stage"] = "unified";
    Entry["models"] = models();
  }
  m_store.put("servers/" + m_id, Entry.dump());
}

void Engine::startAgain() {
  const auto [Ip, Port] = split(address());
  {
    const std::lock_guard<std::mutex> Lock(m_mutex);
    m_models.clear();
    m_leaving.clear();
    m_orders = 0;
    m_token = 0;
    m_busy = false;
    ++m_start;
  }
  start(Ip, Port);
}

void Engine::hold(const std::string &Model,
                  const std::set<std::string> &Adapters, std::uint64_t Orders) {
  m_models[Model] = Adapters;
  m_orders = Orders;
}

void Engine::beginRun(const std::string &Model, const std::string &Adapter) {
  const std::lock_guard<std::mutex> Lock(m_mutex);
  ++m_runs[Model + '/' + Adapter];
}

void Engine::endRun(const std::string &Model, const std::string &Adapter) {
  const std::lock_guard<std::mutex> Lock(m_mutex);
  const std::string Name = Model + '/' + Adapter;
  if (--m_runs[Name] == 0 && m_leaving.erase(Name) > 0)
    m_models[Model].erase(Adapter);
}

/// The end of a model's load, unless the engine has started again meanwhile.
void Engine::takeModel(const std::string &Model, std::uint64_t Start) {
  {
    const std::lock_guard<std::mutex> Lock(m_mutex);
    if (Start != m_start)
      return;
    m_busy = false;
    m_models[Model];
  }
  write();
}

bool Engine::holds(const std::string &Model, const std::string &Adapter) {
  const std::lock_guard<std::mutex> Lock(m_mutex);
  const auto It = m_models.find(Model);
  return It != m_models.end() &&
         (Adapter.empty() || It->second.count(Adapter) > 0);
}

int Engine::carryOut(const Json &Order) {
  const std::lock_guard<std::mutex> Lock(m_mutex);
  const auto Token = Order.at("fencing-token").get<std::uint64_t>();
  if (Token < m_token)
    return 412;
  m_token = Token;
  if (m_busy || Order.value("expected", m_orders) != m_orders)
    return 409;
  const std::string Model = Order.at("model").get<std::string>();
  const bool Load = Order.at("operation") == "load";
  if (!Order.contains("adapter")) {
    if (Load == (m_models.count(Model) > 0))
      return 200;
    ++m_orders;
    if (!Load) {
      m_models.erase(Model);
      return 202;
    }
    m_busy = true;
    std::thread([this, Model, Start = m_start] {
      sleepFor(m_loadTime);
      takeModel(Model, Start);
    }).detach();
    return 202;
  }
  if (m_models.count(Model) == 0)
    return 409;
  const std::string Adapter = Order.at("adapter").get<std::string>();
  if (Load == (m_models[Model].count(Adapter) > 0))
    return 200;
  std::size_t Held = 0;
  for (const auto &[Name, Adapters] : m_models)
    Held += Adapters.size();
  if (Load && Held >= m_adapterSlots && m_onOverload)
    m_onOverload(Order);
  ++m_orders;
  if (!Load && m_runs[Model + '/' + Adapter] > 0) {
    m_leaving.insert(Model + '/' + Adapter);
    return 202;
  }
  if (!Load) {
    m_models[Model].erase(Adapter);
    return 200;
  }
  m_models[Model].insert(Adapter);
  return 202;
}

Headers Engine::answerHeaders(const std::string &Id) {
  return {{"X-Primroseworks-Request-Id", Id},
          {"X-Primroseworks-Response-Seal", "seal." + Id}};
}

bool Engine::serve(Socket &S, Message &Request) {
  while (m_dark)
    sleepFor(Ms(5));
  Headers Own = {{"X-Primroseworks-Instance-Id", m_id}};
  if (Request.has("X-Primroseworks-Request-Id"))
    Own["X-Primroseworks-Request-Id"] =
        Request.header("X-Primroseworks-Request-Id");
  const std::string Expected =
      Request.header("X-Primroseworks-Expect-Instance");
  if (!Expected.empty() && Expected != m_id)
    return S.send(response(421, Own, ""));
  const std::string Path = Request.target();
  if (Path == "/health")
    return S.send(response(200, Own, ""));
  if (Path == "/report") {
    const std::lock_guard<std::mutex> Lock(m_mutex);
    const Json Report = {{"stage", "unified"}, {"models", models()},
                         {"busy", m_busy},     {"sequence", m_orders},
                         {"waiting", 0},       {"running", 0},
                         {"kv-used", 0},       {"kv-total", 145819},
                         {"handles", 0},       {"born", m_born}};
    S.m_lastAnswer = response(200, Own, Report.dump());
    return S.send(S.m_lastAnswer);
  }
  if (Path == "/order") {
    const Json Order = Json::parse(Request.m_body);
    if (m_leavesUnanswered && m_leavesUnanswered(Order)) {
      S.receive(Clock::now() + std::chrono::hours(1));
      return false;
    }
    const std::string Extra = m_repeatsLastAnswer && !S.m_lastAnswer.empty() &&
                                      m_repeatsLastAnswer(Order)
                                  ? S.m_lastAnswer
                                  : "";
    const int Status = carryOut(Order);
    if (m_onOrder)
      m_onOrder(Order, Status);
    S.m_lastAnswer = response(Status, Own, "{}");
    return S.send(Extra + S.m_lastAnswer);
  }
  return m_work(*this, S, Request,
                Request.header("X-Primroseworks-Request-Id"));
}

void Runs::add(const std::string &Id, const std::string &Engine) {
  const std::lock_guard<std::mutex> Lock(m_mutex);
  m_runs[Id].push_back(Engine);
}

std::vector<std::string> Runs::of(const std::string &Id) {
  const std::lock_guard<std::mutex> Lock(m_mutex);
  return m_runs[Id];
}

// --- The gateway ------------------------------------------------------------

const Json &zones() {
  static const Json Zones = {
      {"tunis-a", "tunis"}, {"sfax-a", "sfax"}, {"djerba-a", "djerba"}};
  return Zones;
}

namespace {

std::string readFile(const std::string &Path) {
  std::ifstream In(Path);
  std::ostringstream Out;
  Out << In.rdbuf();
  return Out.str();
}

/// Fills a template with plain places: "{{a.b}}", "{{a.0}}" and "{{a|json}}".
std::string fill(std::string Text, const Json &Fields) {
  std::size_t At = 0;
  while ((At = Text.find("{{", At)) != std::string::npos) {
    const std::size_t End = Text.find("}}", At);
    std::string Name = Text.substr(At + 2, End - At - 2);
    const std::size_t Bar = Name.find('|');
    const bool AsJson = Bar != std::string::npos;
    Name = Name.substr(0, Bar);
    Json Value = Fields;
    std::istringstream Parts(Name);
    for (std::string Part; std::getline(Parts, Part, '.');)
      Value = Value.is_array() ? Json(Value.at(std::stoul(Part)))
                               : Json(Value.at(Part));
    const std::string Out =
        !AsJson && Value.is_string() ? Value.get<std::string>() : Value.dump();
    Text.replace(At, End + 2 - At, Out);
    At += Out.size();
  }
  return Text;
}

/// The value of a line NAME = "VALUE" of the deploy file.
std::string deployValue(const std::string &Name) {
  std::istringstream Lines(readFile("deploy/system.toml"));
  const std::string Begin = Name + " = \"";
  for (std::string Line; std::getline(Lines, Line);)
    if (Line.rfind(Begin, 0) == 0)
      return Line.substr(Begin.size(), Line.rfind('"') - Begin.size());
  throw std::runtime_error("deploy/system.toml has no " + Name);
}

} // namespace

Gateway::~Gateway() { end(); }

void Gateway::end() {
  if (running()) {
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
    m_pid = -1;
  }
  if (!m_folder.empty())
    std::filesystem::remove_all(m_folder);
  m_folder.clear();
}

std::string Gateway::log() const { return readFile(m_folder + "/log"); }

void finish(int Code, std::vector<Gateway *> Gateways) {
  for (Gateway *G : Gateways)
    G->end();
  std::cout.flush();
  _exit(Code);
}

std::string Gateway::address() const { return m_options.m_ip + ":8149"; }

void Gateway::start() {
  if (m_folder.empty()) {
    std::string Name =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!mkdtemp(Name.data()))
      throw std::runtime_error("no temporary folder");
    m_folder = Name;
  }
  const std::string &Ip = m_options.m_ip;
  const Json Fields = {
      {"node-name", m_options.m_name},
      {"zone", m_options.m_zone},
      {"zones", zones()},
      {"ip", Ip},
      {"listen", {{"front", Ip + ":8149"}, {"ready", Ip + ":8141"}}},
      {"port-range", {7380, 7395}},
      {"limits", {{"max-fds", 4100}, {"cpu-share", 0.25}, {"memory-mb", 260}}},
      {"platform", {{"address", m_options.m_store}}},
      {"bounds",
       {{"drain-ms", 2500},
        {"config-apply-ms", 2500},
        {"grace-s", 8},
        {"budget-ratio", 0.2},
        {"budget-window-s", 10},
        {"budget-extra", 54}}}};
  const std::string Settings = m_folder + "/boot.yaml";
  std::ofstream(Settings) << fill(readFile(deployValue("template")), Fields);
  std::istringstream Command(deployValue("run"));
  std::vector<std::string> Words;
  for (std::string Word; Command >> Word;)
    Words.push_back(Word == "/etc/primroseworks/boot.yaml" ? Settings : Word);
  std::vector<char *> Arguments;
  for (std::string &Word : Words)
    Arguments.push_back(Word.data());
  Arguments.push_back(nullptr);
  const std::string Log = m_folder + "/log";
  m_end.clear();
  m_pid = fork();
  if (m_pid != 0)
    return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int Out = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(Out, 1);
  dup2(Out, 2);
  execv(Arguments[0], Arguments.data());
  _exit(127);
}

bool Gateway::awaitReady(Ms Limit) {
  const auto End = Clock::now() + Limit;
  while (Clock::now() < End && running()) {
    if (const SocketPtr S = Socket::connect(m_options.m_ip + ":8141")) {
      S->send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
      if (readMessage(*S, Clock::now() + Ms(500)).status() == 200)
        return true;
    }
    sleepFor(Ms(50));
  }
  return false;
}

void Gateway::signal(int Number) const {
  if (m_pid > 0)
    ::kill(m_pid, Number);
}

bool Gateway::running() {
  if (m_pid <= 0)
    return false;
  int Status = 0;
  if (::waitpid(m_pid, &Status, WNOHANG) != m_pid)
    return true;
  m_pid = -1;
  m_end = WIFSIGNALED(Status) ? "signal " + std::to_string(WTERMSIG(Status))
                              : "code " + std::to_string(WEXITSTATUS(Status));
  return false;
}

Json configuration(std::uint64_t Version) {
  const auto Route = [](const char *Name, const char *Kind, const char *Service,
                        int Timeout) {
    return Json{{"name", Name},
                {"host", "fitting.example"},
                {"path-prefix", std::string("/") + Name + "/"},
                {"kind", Kind},
                {"service", Service},
                {"timeout-ms", Timeout},
                {"target-latency-ms", 500},
                {"max-attempts", 2},
                {"priority", 0}};
  };
  Json Stream = Route("stream", "stream", "model", 15000);
  Stream["resumable"] = true;
  Stream["gap-aim-ms"] = 300;
  Stream["sticky"] = true;
  Json Once = Stream;
  Once["name"] = "once";
  Once["path-prefix"] = "/once/";
  Once["resumable"] = false;
  Json Models = Json::array();
  for (const char *Name : {"m1", "m2"})
    Models.push_back({{"name", Name},
                      {"weights-mb", 70000},
                      {"load-time-s", 9},
                      {"adapters", 2},
                      {"adapter-mb", 12}});
  return {{"version", Version},
          {"routes",
           {Route("unsafe", "unsafe", "plain", 3000),
            Route("safe", "safe", "plain", 3000), Stream, Once}},
          {"services",
           {{{"name", "plain"},
             {"slots", 6},
             {"max-connections", 100},
             {"health-path", "/health"}},
            {{"name", "plain-b"},
             {"slots", 6},
             {"max-connections", 100},
             {"health-path", "/health"}},
            {{"name", "model"},
             {"slots", 64},
             {"max-connections", 360},
             {"health-path", "/health"},
             {"engine",
              {{"slots", 64},
               {"kv-capacity", 133582},
               {"weights-mb", 230000},
               {"adapter-slots", 8},
               {"loads-per-s", 1.1},
               {"models", Models}}}}}},
          {"limits",
           {{"max-header-bytes", 16384},
            {"max-body-bytes", 4194304},
            {"header-timeout-ms", 3000},
            {"idle-timeout-ms", 15000}}}};
}

// --- Callers ----------------------------------------------------------------

std::string newId() {
  static std::atomic<unsigned> Next{1};
  char Id[32];
  std::snprintf(Id, sizeof(Id), "%08x%08x", static_cast<unsigned>(getpid()),
                Next++);
  return Id;
}

Answer send(const std::string &Gateway, const Request &R, const std::string &Id,
            const SocketPtr &Kept) {
  Answer Out;
  Out.m_id = Id;
  const auto Until = Clock::now() + R.m_deadline + Ms(1000);
  const SocketPtr S = Kept ? Kept : Socket::connect(Gateway);
  if (!S)
    return Out;
  std::string Head = R.m_method + ' ' + R.m_path + " HTTP/1.1\r\n";
  Headers All = R.m_headers;
  All["Host"] = "fitting.example";
  All["X-Primroseworks-Request-Id"] = Id;
  All["X-Primroseworks-Deadline-Ms"] = std::to_string(R.m_deadline.count());
  if (R.m_method == "POST")
    All["Content-Length"] = std::to_string(R.m_body.size());
  for (const auto &[Name, Value] : All)
    Head += Name + ": " + Value + "\r\n";
  Out.m_sent = S->send(Head + "\r\n" + R.m_body);
  if (!Out.m_sent)
    return Out;
  Out.m_message = readMessage(*S, Until);
  Out.m_timedOut = S->m_timedOut;
  return Out;
}

} // namespace review
