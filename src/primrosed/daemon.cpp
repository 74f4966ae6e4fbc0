// Puts the parts of the daemon together.
#include "primrosed/daemon.h"

#include "libbase/limitedjson.h"
#include "primroseworks/prompt.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <random>
#include <spdlog/spdlog.h>

namespace primroseworks {

namespace {

using Json = nlohmann::json;

constexpr Milliseconds StoreTimeout{2000};
constexpr Milliseconds DirectoryTimeout{1000};
/// New strikes are sent within this time. With 50 ms, struck requests had
/// started again elsewhere before the peers knew.
constexpr Milliseconds StrikeInterval{10};

// A hand-over that takes longer is left to the successors.
constexpr Milliseconds HandOverWait{10000};

std::uint64_t randomId() {
  std::random_device Device;
  return (static_cast<std::uint64_t>(Device()) << 16) ^ Device();
}

std::string dump(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// The request id that the caller knows, from an attempt's id.
std::string requestOf(const std::string &AttemptId) {
  std::size_t Dot = AttemptId.rfind('.');
  Dot = Dot == std::string::npos ? Dot : AttemptId.rfind('.', Dot - 1);
  return AttemptId.substr(0, Dot);
}

/// Crash 0 means that the fingerprint ran to its end.
void logStrike(std::uint64_t Fingerprint, std::uint64_t Crash) {
  if (Crash == 0)
    spdlog::info("event=suspect_cleared fingerprint={}", Fingerprint);
  else
    spdlog::warn("event=strike fingerprint={} crash={}", Fingerprint, Crash);
}

Json candidatesJson(const std::vector<Candidate> &Candidates) {
  Json Out = Json::array();
  for (const Candidate &C : Candidates)
    Out.push_back({{"endpoint", C.m_endpoint},
                   {"first_token_ms", C.m_firstTokenMillis},
                   {"token_gap_ms", C.m_tokenGapMillis},
                   {"cached_tokens", C.m_cachedTokens},
                   {"price", C.m_price},
                   {"score", C.m_score},
                   {"note", C.m_note}});
  return Out;
}

} // namespace

Daemon::Daemon(Settings Values) {
  m_context.m_settings = std::move(Values);
  m_context.m_processId = randomId();
}

Result<std::unique_ptr<Daemon>> Daemon::create(Settings Values) {
  std::unique_ptr<Daemon> Made(new Daemon(std::move(Values)));
  BOOST_OUTCOME_TRYV(Made->start());
  return Made;
}

Result<void> Daemon::build() {
  const Settings &S = m_context.m_settings;
  BOOST_OUTCOME_TRY(Store, createHttpKvStore(S.m_kvUrl, StoreTimeout));
  m_store = createCountingKvStore(std::move(Store));
  BOOST_OUTCOME_TRY(Directory,
                    createHttpVmDirectory(S.m_vmListUrl, DirectoryTimeout));
  DispatcherOptions Options;
  Options.m_region = S.m_region;
  Options.m_maxQueued = S.m_maxQueued;
  Options.m_seed = m_context.m_processId;
  BOOST_OUTCOME_TRY(Decider, createDispatcher(Options));
  m_gate = std::make_unique<DispatchGate>(
      std::move(Decider),
      [this](const DispatchRequest &Request, const Placement &Answer) {
        explainDecision(Request, Answer);
      });
  m_fleet = std::make_unique<Fleet>(std::move(Directory), *m_gate);
  BOOST_OUTCOME_TRY(Others, Mesh::create(m_context, *m_store, *m_fleet));
  m_mesh = std::move(Others);
  BOOST_OUTCOME_TRY(
      Config, Configuration::create(m_context, *m_store, *m_mesh, *m_gate));
  m_configuration = std::move(Config);
  BOOST_OUTCOME_TRY(Owner, OwnerTask::create(m_context, *m_store, *m_fleet,
                                             *m_mesh, m_metrics));
  m_owner = std::move(Owner);
  m_keys =
      std::make_unique<Idempotency>(m_context, m_owner->journal(), m_metrics);
  m_runner = std::make_unique<CompletionRunner>(
      m_context, *m_gate, *m_fleet,
      [this](const std::string &Endpoint, const std::string &Adapter) {
        return m_owner->ensureAdapter(Endpoint, Adapter);
      },
      m_metrics);
  m_services = std::make_unique<ServiceCalls>(m_context, *m_fleet, *m_keys);
  m_callers = std::make_unique<CallerApi>(m_context, *m_runner, *m_services,
                                          *m_keys, m_metrics);
  m_callers->setObserver([this](const CompletionJob &Job) {
    Artifact Wanted{ArtifactKind::Model, Job.m_model, Job.m_version};
    if (!Job.m_adapter.empty())
      Wanted = {ArtifactKind::Adapter, Job.m_adapter, ""};
    m_owner->placement().demand().observe(Wanted,
                                          promptTokens(Job.m_request.m_prompt) +
                                              Job.m_request.m_maxTokens,
                                          Job.m_rank);
  });
  m_operators = std::make_unique<OperatorApi>(m_context, routes());
  return boost::outcome_v2::success();
}

Result<void> Daemon::start() {
  const Settings &S = m_context.m_settings;
  BOOST_OUTCOME_TRYV(build());
  exchangeStrikes();
  BOOST_OUTCOME_TRYV(m_mesh->start());
  m_fleet->start();
  m_configuration->start();
  m_owner->start();
  BOOST_OUTCOME_TRYV(m_callers->start());
  // Last, because its answers use all other parts: a status request before the
  // lease holder or the port for callers existed ended the process.
  BOOST_OUTCOME_TRYV(m_operators->start());
  m_strikes = std::thread([this] { shareStrikes(); });
  m_context.m_started = true;
  spdlog::info("event=started name={} region={} failure_domain={} "
               "caller_port={} operator_port={} peer_port={}",
               S.m_name, S.m_region, S.m_failureDomain, m_callers->port(),
               m_operators->port(), m_mesh->port());
  return boost::outcome_v2::success();
}

Daemon::~Daemon() {
  requestDrain();
  if (m_strikes.joinable())
    m_strikes.join();
}

void Daemon::requestDrain() {
  std::lock_guard<std::mutex> Lock(m_mutex);
  m_drainRequested = true;
  m_wake.notify_all();
}

void Daemon::run() {
  {
    std::unique_lock<std::mutex> Lock(m_mutex);
    m_wake.wait(Lock, [this] { return m_drainRequested; });
  }
  drain();
}

void Daemon::drain() {
  m_context.m_draining = true;
  spdlog::info("event=drain_started connections={}", m_callers->connections());
  m_mesh->announceDrain();
  m_callers->stop(m_context.m_settings.m_drainTimeout);
  (void)m_keys->settle(HandOverWait);
  m_owner->stop(HandOverWait);
  m_configuration->stop();
  m_mesh->stop();
  m_fleet->stop();
  m_operators->stop();
  spdlog::info("event=drain_finished");
}

void Daemon::exchangeStrikes() {
  m_mesh->peers().setHandler(
      MessageType::Strikes,
      [this](const std::string &, const Message &In, const PeerReply &) {
        const auto &Body = std::get<StrikesMessage>(In.m_body);
        m_gate->with([&](Dispatcher &D, TimePoint Now) {
          for (const auto &[Fingerprint, Crash] : Body.m_strikes)
            D.addStrike(Fingerprint, Crash, Now);
          for (std::uint64_t Fingerprint : Body.m_cleared)
            D.clearSuspect(Fingerprint);
        });
      });
}

void Daemon::shareStrikes() {
  std::unique_lock<std::mutex> Lock(m_mutex);
  TimePoint NextRepeat{};
  while (!m_drainRequested) {
    Lock.unlock();
    auto Strikes =
        m_gate->with([](Dispatcher &D, TimePoint) { return D.takeStrikes(); });
    for (const auto &[Fingerprint, Crash] : Strikes)
      logStrike(Fingerprint, Crash);
    if (!Strikes.empty())
      m_mesh->peers().broadcast(StrikesMessage{Strikes, {}});
    if (const TimePoint Now = std::chrono::steady_clock::now();
        Now >= NextRepeat) {
      NextRepeat = Now + StrikeRepeatInterval;
      auto Repeated = m_gate->with(
          [](Dispatcher &D, TimePoint At) { return D.repeatStrikes(At); });
      if (!Repeated.empty())
        m_mesh->peers().broadcast(StrikesMessage{std::move(Repeated), {}});
    }
    Lock.lock();
    m_wake.wait_for(Lock, StrikeInterval);
  }
}

void Daemon::explainDecision(const DispatchRequest &Request,
                             const Placement &Answer) {
  auto Config = m_context.m_catalog.get();
  std::uint64_t Revision = Config ? Config->m_revision : 0;
  std::string Id = requestOf(Request.m_id);
  Json Told = {{"attempt", Request.m_id},
               {"model", Request.m_model},
               {"version", Request.m_version},
               {"adapter", Request.m_adapter},
               {"rank", nameOf(RankNames, Request.m_rank)},
               {"revision", Revision}};
  if (const auto *Granted = std::get_if<Grant>(&Answer)) {
    spdlog::info("event=route request={} model={} adapter={} rank={} "
                 "endpoint={} reason=\"{}\" revision={}",
                 Request.m_id, Request.m_model, Request.m_adapter,
                 nameOf(RankNames, Request.m_rank), Granted->m_endpoint,
                 Granted->m_reason, Revision);
    Told["endpoint"] = Granted->m_endpoint;
    Told["reason"] = Granted->m_reason;
    Told["candidates"] = candidatesJson(Granted->m_candidates);
  } else if (const auto *Refused = std::get_if<Refusal>(&Answer)) {
    spdlog::info("event=refuse request={} model={} adapter={} rank={} "
                 "reason={} retry_after_ms={} revision={}",
                 Request.m_id, Request.m_model, Request.m_adapter,
                 nameOf(RankNames, Request.m_rank),
                 nameOf(RefusalReasonNames, Refused->m_reason),
                 Refused->m_retryAfter.count(), Revision);
    Told["refused"] = nameOf(RefusalReasonNames, Refused->m_reason);
  }
  m_context.m_explanations.add(Id, dump(Told));
}

std::vector<OperatorRoute> Daemon::routes() {
  using Req = HttpRequest;
  using Res = HttpResponse;
  std::vector<OperatorRoute> Out = {
      {"GET", "/metrics", [this](const Req &, Res &R) { showMetrics(R); }},
      {"GET", "/status", [this](const Req &, Res &R) { showStatus(R); }},
      {"GET", "/endpoints", [this](const Req &, Res &R) { showEndpoints(R); }},
      {"GET", "/models", [this](const Req &, Res &R) { showModels(R); }},
      {"GET", "/explain/", [this](const Req &Q, Res &R) { explain(Q, R); }},
      {"POST", "/suspects/clear/",
       [this](const Req &Q, Res &R) { clearSuspect(Q, R); }},
      {"POST", "/claims/clear",
       [this](const Req &Q, Res &R) { clearClaims(Q, R); }},
      {"POST", "/drain",
       [this](const Req &, Res &R) {
         R.m_status = 202;
         R.m_body = R"({"draining":true})";
         requestDrain();
       }},
  };
  for (OperatorRoute &Route : m_configuration->routes())
    Out.push_back(std::move(Route));
  return Out;
}

void Daemon::showMetrics(HttpResponse &Res) {
  KvCallCounts Calls = m_store->counts();
  PeerCounters Peers = m_mesh->peers().counters();
  m_metrics.gauge("store_reads", "Reads of the key-value service.",
                  static_cast<double>(Calls.m_reads));
  m_metrics.gauge("store_writes", "Writes to the key-value service.",
                  static_cast<double>(Calls.m_writes));
  m_metrics.gauge("store_failures", "Failed calls of the key-value service.",
                  static_cast<double>(Calls.m_failures));
  m_metrics.gauge("peer_sent_bytes", "Bytes sent to other daemons.",
                  static_cast<double>(Peers.m_bytesSent));
  m_metrics.gauge("peer_received_bytes", "Bytes received from other daemons.",
                  static_cast<double>(Peers.m_bytesReceived));
  auto [OwnedReads, OtherReads] = m_fleet->reads();
  m_metrics.gauge("engine_reads_owned", "Reads of engines owned here.",
                  static_cast<double>(OwnedReads));
  m_metrics.gauge("engine_reads_other", "Reads of engines that others own.",
                  static_cast<double>(OtherReads));
  const JournalBudget &Journal = m_owner->journalRouter().budget();
  m_metrics.gauge("journal_bytes", "Memory of the journal's keys and results.",
                  static_cast<double>(Journal.used()));
  m_metrics.gauge("journal_refused_keys",
                  "New keys refused for lack of memory.",
                  static_cast<double>(Journal.refused()));
  m_metrics.gauge("connections", "Open caller connections.",
                  m_callers->connections());
  auto Config = m_context.m_catalog.get();
  m_metrics.gauge("configuration_revision", "Revision in force.",
                  Config ? static_cast<double>(Config->m_revision) : 0);
  Res.m_contentType = "text/plain; version=0.0.4";
  Res.m_body = m_metrics.text();
}

void Daemon::explain(const HttpRequest &Req, HttpResponse &Res) {
  std::string Id = Req.m_path.substr(std::string("/explain/").size());
  auto Found = m_context.m_explanations.find(Id);
  if (Found)
    Res.m_body = *Found;
  else
    answerError(404,
                makeError(ErrorKind::NotFound,
                          "no decision is known for request " + Id +
                              "; ask the daemon that served it, soon after "
                              "the request"),
                Res);
}

void Daemon::clearSuspect(const HttpRequest &Req, HttpResponse &Res) {
  std::string Text = Req.m_path.substr(std::string("/suspects/clear/").size());
  bool Ok = !Text.empty() && Text.size() <= 20 &&
            Text.find_first_not_of("0123456789") == std::string::npos;
  if (!Ok) {
    answerError(400,
                makeError(ErrorKind::InvalidArgument,
                          "expected a fingerprint, a whole number; the log "
                          "names it in event=strike"),
                Res);
    return;
  }
  std::uint64_t Fingerprint = std::strtoull(Text.c_str(), nullptr, 10);
  m_gate->with([&](Dispatcher &D, TimePoint) { D.clearSuspect(Fingerprint); });
  m_mesh->peers().broadcast(StrikesMessage{{}, {Fingerprint}});
  Res.m_body = R"({"cleared":true})";
}

void Daemon::clearClaims(const HttpRequest &Req, HttpResponse &Res) {
  Json Body = pvt::parseLimited(Req.m_body);
  const auto Text = [&Body](const char *Key) {
    return Body.is_object() && Body.contains(Key) && Body[Key].is_string()
               ? Body[Key].get<std::string>()
               : std::string();
  };
  std::string Endpoint = Text("endpoint");
  std::string Artifact = Text("artifact");
  auto Cleared = m_owner->orders().clearClaims(Endpoint, Artifact);
  if (!Cleared) {
    answerError(404, Cleared.error(), Res);
    return;
  }
  Res.m_body = dump({{"cleared", Cleared.value()}});
}

void Daemon::showStatus(HttpResponse &Res) {
  const Settings &S = m_context.m_settings;
  auto Config = m_context.m_catalog.get();
  KvCallCounts Calls = m_store->counts();
  Json Members = Json::array();
  for (const MemberStatus &M : m_mesh->status())
    Members.push_back(
        {{"name", M.m_name},
         {"region", M.m_region},
         {"failure_domain", M.m_failureDomain},
         {"state", M.m_state},
         {"incarnation", M.m_incarnation},
         {"revision",
          M.m_name == S.m_name && Config ? Config->m_revision : M.m_revision},
         {"owns", M.m_owns}});
  const JournalBudget &Journal = m_owner->journalRouter().budget();
  Json Shards = Json::object();
  for (const auto &[Number, Stats] : m_owner->journalRouter().shards())
    Shards[std::to_string(Number)] = {{"claims", Stats.m_claims},
                                      {"writes", Stats.m_slotWrites},
                                      {"entries", Stats.m_entries},
                                      {"bytes", Stats.m_bytes}};
  Res.m_body = dump({{"name", S.m_name},
                     {"region", S.m_region},
                     {"failure_domain", S.m_failureDomain},
                     {"incarnation", m_context.m_incarnation.load()},
                     {"revision", Config ? Config->m_revision : 0},
                     {"draining", m_context.m_draining.load()},
                     {"connections", m_callers->connections()},
                     {"store_reads", Calls.m_reads},
                     {"store_writes", Calls.m_writes},
                     {"store_failures", Calls.m_failures},
                     {"unsettled_records", m_keys->unsettled()},
                     {"degraded", m_mesh->degraded()},
                     {"journal_shards", Shards},
                     {"journal_bytes", Journal.used()},
                     {"journal_limit_bytes", Journal.limit()},
                     {"journal_refused", Journal.refused()},
                     {"members", Members}});
}

void Daemon::showEndpoints(HttpResponse &Res) {
  Json Out = Json::array();
  TimePoint Now = std::chrono::steady_clock::now();
  auto Memory = m_owner->orders().memory();
  for (const EngineStatus &E : m_fleet->engines()) {
    Json Row = {{"endpoint", E.m_vm.m_name},
                {"region", E.m_vm.m_region},
                {"failure_domain", E.m_vm.m_failureDomain},
                {"state", nameOf(VmStateNames, E.m_vm.m_state)},
                {"owner", E.m_owned ? m_context.m_settings.m_name
                                    : m_mesh->ownerOf(E.m_vm.m_name)}};
    auto Ledger = Memory.find(E.m_vm.m_name);
    if (Ledger != Memory.end())
      Row["claimed_bytes"] = Ledger->second.first;
    if (E.m_report) {
      Row["running"] = E.m_report->m_running;
      Row["queued"] = E.m_report->m_queued;
      Row["memory_bytes"] = E.m_report->m_memoryBytes;
      Row["report_age_seconds"] = toSeconds(Now - E.m_reportedAt);
      Row["resident"] = Json::array();
      for (const ResidentArtifact &R : E.m_report->m_resident)
        Row["resident"].push_back(R.m_artifact.m_name + "@" +
                                  R.m_artifact.m_version);
    }
    Out.push_back(std::move(Row));
  }
  Res.m_body = dump(Out);
}

void Daemon::showModels(HttpResponse &Res) {
  auto Config = m_context.m_catalog.get();
  Json Out = Json::array();
  auto Engines = m_fleet->engines();
  for (const auto &[Name, Model] :
       Config ? Config->m_models : std::map<std::string, ModelSpec>()) {
    Json Homes = Json::array();
    for (const EngineStatus &E : Engines)
      for (const ResidentArtifact &R : E.m_report
                                           ? E.m_report->m_resident
                                           : std::vector<ResidentArtifact>())
        if (R.m_artifact.m_kind == ArtifactKind::Model &&
            R.m_artifact.m_name == Name)
          Homes.push_back(E.m_vm.m_name + "@" + R.m_artifact.m_version);
    Out.push_back(
        {{"model", Name}, {"version", Model.m_version}, {"homes", Homes}});
  }
  Res.m_body = dump(Out);
}

} // namespace primroseworks
