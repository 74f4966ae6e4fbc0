// Key-value service, VM list and plain services of the stand-ins.
#include "primrose-standins/platform.h"

namespace primroseworks::standins {
namespace {

using Json = nlohmann::json;

Json toJson(const KvEntry &Entry) {
  return {{"key", Entry.m_key},
          {"value", Entry.m_value},
          {"revision", Entry.m_revision}};
}

/// An error as its status; a lost answer breaks the connection.
void fail(HttpResponse &Response, const Error &Failure) {
  const Json Body = {{"error", Failure.m_message}};
  switch (Failure.m_kind) {
  case ErrorKind::Timeout:
    return cut(Response);
  case ErrorKind::RateLimited:
    return answer(Response, 429, Body);
  case ErrorKind::Unavailable:
    return answer(Response, 503, Body);
  case ErrorKind::NotFound:
    return answer(Response, 404, Body);
  default:
    return answer(Response, 400, Body);
  }
}

void get(KvStore &Store, const Json &Call, HttpResponse &Response) {
  const auto Found = Store.get(Call.at("key").get<std::string>());
  if (!Found)
    return fail(Response, Found.error());
  answer(Response, 200,
         {{"entry", Found.value() ? toJson(*Found.value()) : Json()}});
}

void cas(KvStore &Store, const Json &Call, HttpResponse &Response) {
  std::optional<std::string> Value;
  if (!Call.at("value").is_null())
    Value = Call.at("value").get<std::string>();
  std::optional<LeaseId> Lease;
  if (Call.contains("lease") && !Call.at("lease").is_null())
    Lease = Call.at("lease").get<LeaseId>();
  const auto Done = Store.compareAndSwap(
      Call.at("key").get<std::string>(),
      Call.at("expected").get<std::uint64_t>(), Value, Lease);
  if (!Done)
    return fail(Response, Done.error());
  const CasResult &Out = Done.value();
  if (Out.m_applied)
    answer(Response, 200, {{"revision", Out.m_revision}});
  else
    answer(Response, 409,
           {{"current", Out.m_current ? toJson(*Out.m_current) : Json()}});
}

void range(KvStore &Store, const Json &Call, HttpResponse &Response) {
  const auto Found = Store.range(Call.at("prefix").get<std::string>());
  if (!Found)
    return fail(Response, Found.error());
  Json Rows = Json::array();
  for (const KvEntry &Each : Found.value().m_entries)
    Rows.push_back(toJson(Each));
  answer(Response, 200,
         {{"entries", Rows}, {"revision", Found.value().m_revision}});
}

void watch(KvStore &Store, const Json &Call, HttpResponse &Response) {
  constexpr long MaxWaitMillis = 30'000; // A waiting watch holds a thread.
  const long Wait = std::min(Call.at("wait_ms").get<long>(), MaxWaitMillis);
  const auto Seen =
      Store.watch(Call.at("prefix").get<std::string>(),
                  Call.at("after").get<std::uint64_t>(), Milliseconds(Wait));
  if (!Seen)
    return fail(Response, Seen.error());
  Json Rows = Json::array();
  for (const KvEvent &Each : Seen.value().m_events)
    Rows.push_back({{"key", Each.m_key},
                    {"value", Each.m_value ? Json(*Each.m_value) : Json()},
                    {"revision", Each.m_revision}});
  answer(Response, 200,
         {{"events", Rows}, {"revision", Seen.value().m_revision}});
}

void lease(KvStore &Store, const std::string &Path, const Json &Call,
           HttpResponse &Response) {
  if (Path == "/lease/grant") {
    const auto Made =
        Store.grantLease(Milliseconds(Call.at("ttl_ms").get<long>()));
    if (!Made)
      return fail(Response, Made.error());
    return answer(Response, 200, {{"lease", Made.value()}});
  }
  const auto Id = Call.at("lease").get<LeaseId>();
  const Result<void> Done =
      Path == "/lease/renew" ? Store.renewLease(Id) : Store.revokeLease(Id);
  if (!Done)
    return fail(Response, Done.error());
  answer(Response, 200, Json::object());
}

class PlainService final : public Program {
public:
  PlainService(const ServiceSettings &Settings, Ledger &Book)
      : m_settings(Settings), m_book(Book) {}
  void handle(const HttpRequest &Request, HttpResponse &Response) override {
    const std::string Key = Request.header("Idempotency-Key");
    const std::string Id = Request.header("X-Request-Id");
    const unsigned Runs = m_book.ran(Key, Id);
    std::this_thread::sleep_for(m_settings.m_latency);
    answer(Response, 200,
           {{"service", m_settings.m_vm.m_service},
            {"instance", m_settings.m_vm.m_name},
            {"method", Request.m_method},
            {"path", Request.m_target},
            {"request_id", Id},
            {"idempotency_key", Key},
            {"body", Request.m_body},
            {"runs", Runs}});
  }

private:
  const ServiceSettings m_settings;
  Ledger &m_book;
};

} // namespace

Result<std::unique_ptr<KvService>> KvService::create(const Settings &From) {
  std::unique_ptr<KvService> Out(new KvService);
  MemoryKvOptions Rates;
  Rates.m_readsPerSecond = From.m_kvReadsPerSecond;
  Rates.m_writesPerSecond = From.m_kvWritesPerSecond;
  BOOST_OUTCOME_TRY(Store, MemoryKvStore::create(Rates));
  Out->m_store = std::move(Store);
  Out->m_faulty = FaultyKvStore::create(*Out->m_store);
  HttpServerOptions Options;
  Options.m_port = From.m_kvPort;
  Options.m_maxBodyBytes = 8U << 20U; // 1 MB of text, escaped.
  BOOST_OUTCOME_TRY(
      Server,
      createHttpServer(Options, [Self = Out.get()](const HttpRequest &Request,
                                                   HttpResponse &Response) {
        Self->handle(Request, Response);
      }));
  Out->m_server = std::move(Server);
  return Out;
}

KvService::~KvService() {
  m_ending = true;
  if (m_store)
    m_store->stopWatches();
}

void KvService::handle(const HttpRequest &Request, HttpResponse &Response) {
  unsigned Left = m_silentNext;
  while (Left > 0 && !m_silentNext.compare_exchange_weak(Left, Left - 1)) {
  }
  if (Left > 0)
    return keepSilent(m_ending, Response);
  try {
    const Json Call = Json::parse(Request.m_body);
    const std::string &Path = Request.m_path;
    if (Path == "/kv/get")
      get(*m_faulty, Call, Response);
    else if (Path == "/kv/cas")
      cas(*m_faulty, Call, Response);
    else if (Path == "/kv/range")
      range(*m_faulty, Call, Response);
    else if (Path == "/kv/watch")
      watch(*m_faulty, Call, Response);
    else if (Path.rfind("/lease/", 0) == 0)
      lease(*m_faulty, Path, Call, Response);
    else
      answer(Response, 400, {{"error", "no such call"}});
  } catch (const Json::exception &Failure) {
    answer(Response, 400, {{"error", Failure.what()}});
  }
}

void KvService::setFaults(const Json &Values) {
  if (Values.contains("prefix"))
    m_faulty->setFaultPrefix(Values.at("prefix").get<std::string>());
  if (Values.contains("outage"))
    m_faulty->setOutage(Values.at("outage").get<bool>());
  if (Values.contains("slow_ms"))
    m_faulty->setSlowness(Milliseconds(Values.at("slow_ms").get<long>()));
  if (Values.contains("lose_answers"))
    m_faulty->loseAnswers(Values.at("lose_answers").get<unsigned>());
  if (Values.contains("lose_writes"))
    m_faulty->loseWrites(Values.at("lose_writes").get<unsigned>());
  if (Values.contains("delay_writes"))
    m_faulty->delayWrites(Values.at("delay_writes").get<unsigned>());
  if (Values.contains("apply_delayed"))
    m_faulty->applyDelayedWrites();
  if (Values.contains("silent_next"))
    m_silentNext = Values.at("silent_next").get<unsigned>();
  if (Values.contains("silent_watch"))
    m_faulty->setSilentWatch(Values.at("silent_watch").get<bool>());
}

Json KvService::counters() const {
  const KvCounters Counts = m_store->counters();
  return {{"reads", Counts.m_reads},
          {"writes", Counts.m_writes},
          {"watches", Counts.m_watches},
          {"rate_limited", Counts.m_rateLimited},
          {"faults", m_faulty->faults()}};
}

VmInfo vmFromJson(const Json &From) {
  VmInfo Vm;
  Vm.m_name = From.at("name").get<std::string>();
  Vm.m_kind = parseName(VmKindNames, From.at("kind").get<std::string>())
                  .value_or(VmKind::Daemon);
  Vm.m_service = From.value("service", "");
  Vm.m_address = From.value("address", "127.0.0.1");
  Vm.m_port = From.at("port").get<std::uint16_t>();
  Vm.m_region = From.value("region", "");
  Vm.m_failureDomain = From.value("failure_domain", "");
  Vm.m_state = parseName(VmStateNames, From.value("state", "live"))
                   .value_or(VmState::Live);
  return Vm;
}

Json toJson(const VmInfo &Vm) {
  return {{"name", Vm.m_name},
          {"kind", nameOf(VmKindNames, Vm.m_kind)},
          {"service", Vm.m_service},
          {"address", Vm.m_address},
          {"port", Vm.m_port},
          {"region", Vm.m_region},
          {"failure_domain", Vm.m_failureDomain},
          {"state", nameOf(VmStateNames, Vm.m_state)}};
}

void VmList::put(const VmInfo &Vm) {
  std::lock_guard<std::mutex> Lock(m_mutex);
  m_vms[Vm.m_name] = Vm;
  record();
}

bool VmList::setState(const std::string &Name, VmState State) {
  std::lock_guard<std::mutex> Lock(m_mutex);
  const auto Found = m_vms.find(Name);
  if (Found == m_vms.end())
    return false;
  Found->second.m_state = State;
  record();
  return true;
}

bool VmList::remove(const std::string &Name) {
  std::lock_guard<std::mutex> Lock(m_mutex);
  if (m_vms.erase(Name) == 0)
    return false;
  record();
  return true;
}

void VmList::record() {
  Json Rows = Json::array();
  for (const auto &[Name, Vm] : m_vms)
    Rows.push_back(toJson(Vm));
  m_history.emplace_back(std::chrono::steady_clock::now(), std::move(Rows));
}

Json VmList::list(TimePoint Now) const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  while (m_history.size() > 1 && m_history[1].first <= Now - m_lag)
    m_history.pop_front();
  if (m_history.empty())
    return Json::array();
  return m_history.front().second;
}

std::shared_ptr<Program> makeService(const ServiceSettings &Settings,
                                     Ledger &Book) {
  return std::make_shared<PlainService>(Settings, Book);
}

} // namespace primroseworks::standins
