// Stand-in for the platform's store.
#include "store.h"

namespace review {

namespace {

const char *const Digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encodeBase64(const std::string &Bytes) {
  std::string Out;
  for (std::size_t I = 0; I < Bytes.size(); I += 3) {
    unsigned Group = 0;
    for (std::size_t J = 0; J < 3; ++J)
      Group = (Group << 8) |
              (I + J < Bytes.size() ? static_cast<unsigned char>(Bytes[I + J])
                                    : 0U);
    for (std::size_t J = 0; J < 4; ++J)
      Out += I + J <= Bytes.size() ? Digits[(Group >> (18 - 6 * J)) & 63] : '=';
  }
  return Out;
}

std::string decodeBase64(const std::string &Text) {
  std::string Out;
  unsigned Group = 0;
  int Bits = 0;
  for (const char C : Text) {
    const std::string All = Digits;
    const std::size_t Value = All.find(C);
    if (Value == std::string::npos)
      break;
    Group = (Group << 6) | static_cast<unsigned>(Value);
    Bits += 6;
    if (Bits >= 8) {
      Bits -= 8;
      Out += static_cast<char>((Group >> Bits) & 255);
    }
  }
  return Out;
}

std::uint64_t idIn(const std::string &Path) {
  return std::stoull(Path.substr(Path.rfind('/') + 1));
}

} // namespace

Store::Store(const std::string &Ip) {
  m_server = std::make_unique<Server>(
      Ip, 0,
      [this](const SocketPtr &S, const Message &R) { return onRequest(S, R); });
}

Store::~Store() {
  {
    const std::lock_guard<std::mutex> Lock(m_mutex);
    m_stopped = true;
  }
  m_changed.notify_all();
  m_server.reset();
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
  return It == m_items.end() ? std::string() : It->second.m_value;
}

void Store::putLocked(const std::string &Key, const std::string &Value,
                      std::uint64_t Lease) {
  Item &I = m_items[Key];
  ++m_revision;
  if (I.m_createdAt == 0)
    I.m_createdAt = m_revision;
  I.m_value = Value;
  I.m_revision = m_revision;
  I.m_lease = Lease;
  m_history.push_back({m_revision, Key, itemJson(Key, I)});
  m_changed.notify_all();
}

void Store::removeLocked(const std::string &Key) {
  if (m_items.erase(Key) == 0)
    return;
  ++m_revision;
  m_history.push_back(
      {m_revision, Key,
       Json{{"key", Key}, {"revision", m_revision}, {"deleted", true}}});
  m_changed.notify_all();
}

Store::Json Store::itemJson(const std::string &Key, const Item &I) {
  return {{"key", Key},
          {"value", encodeBase64(I.m_value)},
          {"revision", I.m_revision},
          {"created-at", I.m_createdAt},
          {"lease", I.m_lease}};
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

void Store::expireLeases() {
  std::vector<std::uint64_t> Ended;
  for (const auto &[Id, L] : m_leases)
    if (Clock::now() >= L.m_end)
      Ended.push_back(Id);
  for (const std::uint64_t Id : Ended)
    endLease(Id);
}

bool Store::onRequest(const SocketPtr &S, const Message &Request) {
  int Status = 200;
  Json Out;
  {
    std::unique_lock<std::mutex> Lock(m_mutex);
    expireLeases();
    Out = Request.path() == "/kv-watch" ? watch(Request, Lock, Status)
                                        : execute(Request, Status);
  }
  return S->write(
      response(Status, "Content-Type: application/json\r\n", Out.dump()));
}

Store::Json Store::range(const Message &Request) {
  const std::string Prefix = Request.query("path-prefix");
  const std::string After = Request.query("after");
  Json Items = Json::array();
  for (const auto &[Key, I] : m_items)
    if (Key.rfind(Prefix, 0) == 0 && Key > After)
      Items.push_back(itemJson(Key, I));
  return {
      {"items", Items}, {"truncated", false}, {"store-revision", m_revision}};
}

Store::Json Store::watch(const Message &Request,
                         std::unique_lock<std::mutex> &Lock, int &Status) {
  const std::string Prefix = Request.query("path-prefix");
  const std::uint64_t After = std::stoull(Request.query("after"));
  const auto End = Clock::now() +
                   std::chrono::milliseconds(
                       std::min(30'000L, std::stol(Request.query("wait-ms"))));
  for (;;) {
    expireLeases();
    Json Events = Json::array();
    for (const Event &E : m_history)
      if (E.m_revision > After && E.m_key.rfind(Prefix, 0) == 0)
        Events.push_back(E.m_json);
    if (!Events.empty() || Clock::now() >= End || m_stopped)
      return {{"events", Events}, {"store-revision", m_revision}};
    // Leases end while the watch waits.
    m_changed.wait_until(
        Lock, std::min(End, Clock::now() + std::chrono::milliseconds(20)));
  }
  Status = 500;
  return Json::object();
}

Store::Json Store::transaction(const Json &Body, int &Status) {
  Json Current = Json::array();
  bool Holds = true;
  for (const Json &Row : Body.at("expected")) {
    const std::string Key = Row.at("key");
    const auto It = m_items.find(Key);
    const std::uint64_t Revision =
        It == m_items.end() ? 0 : It->second.m_revision;
    Holds = Holds && Revision == Row.at("revision").get<std::uint64_t>();
    if (It != m_items.end())
      Current.push_back(itemJson(Key, It->second));
  }
  if (!Holds) {
    Status = 412;
    return {{"items", Current}};
  }
  for (const Json &Row : Body.at("writes")) {
    const std::uint64_t Lease = Row.value("lease", std::uint64_t{0});
    if (Lease != 0 && m_leases.count(Lease) == 0) {
      Status = 404;
      return Json::object();
    }
  }
  for (const Json &Row : Body.at("writes"))
    putLocked(Row.at("key"), decodeBase64(Row.at("value")),
              Row.value("lease", std::uint64_t{0}));
  for (const Json &Key : Body.value("remove", Json::array()))
    removeLocked(Key);
  return {{"revision", m_revision}};
}

Store::Json Store::execute(const Message &Request, int &Status) {
  const std::string Path = Request.path();
  if (Path == "/kv-range")
    return range(Request);
  if (Path == "/kv-key") {
    const auto It = m_items.find(Request.query("key"));
    if (It == m_items.end()) {
      Status = 404;
      return {{"store-revision", m_revision}};
    }
    Json Out = itemJson(It->first, It->second);
    Out["store-revision"] = m_revision;
    return Out;
  }
  if (Path == "/kv-txn")
    return transaction(Json::parse(Request.m_body), Status);
  if (Path == "/kv-lease") {
    const std::chrono::milliseconds Ttl(
        Json::parse(Request.m_body).at("ttl-ms").get<long>());
    m_leases[++m_lastLease] = {Ttl, Clock::now() + Ttl};
    return {{"lease", m_lastLease}, {"ttl-ms", Ttl.count()}};
  }
  const bool Keep = Path.rfind("/kv-keep/", 0) == 0;
  if (!Keep && Path.rfind("/kv-lease-end/", 0) != 0) {
    Status = 404;
    return Json::object();
  }
  const auto Found = m_leases.find(idIn(Path));
  if (Found == m_leases.end()) {
    Status = 404;
    return Json::object();
  }
  const Json Out = {{"ttl-ms", Found->second.m_ttl.count()}};
  if (Keep)
    Found->second.m_end = Clock::now() + Found->second.m_ttl;
  else
    endLease(Found->first);
  return Out;
}

} // namespace review
