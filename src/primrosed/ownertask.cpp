// What this daemon does as an owner.
#include "primrosed/ownertask.h"

#include <algorithm>
#include <spdlog/spdlog.h>

namespace primroseworks {

namespace {

constexpr Milliseconds OwnershipInterval{100};
constexpr Milliseconds JournalInterval{500};
constexpr Milliseconds LimitInterval{200};
constexpr Milliseconds PlanInterval{1000};
// Between looks for models that lost their last copy; they are planned for at
// once.
constexpr Milliseconds LossInterval{100};
// After a rejected load, while a model has no copy: the reports of owned
// engines are read every 250 ms.
constexpr Milliseconds ReplanInterval{250};
// Loads take a second or more and start once a second: a unit is returned as
// soon as its load ends, and who waits for one looks for it often.
constexpr Milliseconds ModelIdleTime{0};
constexpr Milliseconds ModelRetryInterval{200};
constexpr Milliseconds MoveReplyTimeout{2000};

// An adapter takes some tens of milliseconds; beyond this the request is
// placed elsewhere.
constexpr Milliseconds AdapterWait{3000};
constexpr Milliseconds AdapterPoll{20};

// An owner that could not read an engine for this long, six polls, tells
// nothing of its load and artifacts, and the others read it themselves.
constexpr Milliseconds ToldReportAge{1500};

TimePoint now() { return std::chrono::steady_clock::now(); }

} // namespace

Result<std::unique_ptr<OwnerTask>>
OwnerTask::create(DaemonContext &Context, KvStore &Store, Fleet &Endpoints,
                  Mesh &Others, Metrics &Counters) {
  std::unique_ptr<OwnerTask> Made(
      new OwnerTask(Context, Store, Endpoints, Others));
  BOOST_OUTCOME_TRYV(Made->init(Counters));
  return Made;
}

Result<void> OwnerTask::init(Metrics &Counters) {
  m_journal = std::make_unique<JournalRouter>(
      m_context, m_store, m_mesh.peers(),
      [this](const std::string &Member, std::uint64_t Incarnation) {
        return m_mesh.isGone(Member, Incarnation);
      });
  OwnershipOptions Options;
  Options.m_self = m_context.m_settings.m_name;
  Options.m_region = m_context.m_settings.m_region;
  Options.m_seed = m_context.m_processId;
  BOOST_OUTCOME_TRY(Ownership, createEndpointOwnership(m_store, Options));
  m_ownership = std::move(Ownership);
  m_orders =
      std::make_unique<OrderSender>(m_context, m_mesh, m_fleet, Counters);
  m_orders->setWantedHandler([this] {
    {
      std::lock_guard<std::mutex> Lock(m_mutex);
      m_unitsWanted = true;
    }
    m_wake.notify_all();
  });
  BOOST_OUTCOME_TRY(Placement, PlacementTask::create(m_context, m_fleet,
                                                     [this](const Move &M) {
                                                       return sendMove(M);
                                                     }));
  m_placement = std::move(Placement);
  m_mesh.setRowSource([this] { return row(); });
  m_mesh.setGoneHandler([this](const std::string &Member, std::uint64_t UpTo) {
    m_orders->processGone(Member, UpTo);
    std::lock_guard<std::mutex> Lock(m_mutex);
    std::uint64_t &Known = m_gone[Member];
    Known = std::max(Known, UpTo);
  });
  m_fleet.setOwnedReader(
      [this](const std::string &Name) { return m_orders->poll(Name); });
  m_mesh.peers().setHandler(
      MessageType::PlannedMove,
      [this](const std::string &, const Message &In, const PeerReply &Reply) {
        const Move &Wanted = std::get<PlannedMoveMessage>(In.m_body).m_move;
        auto Started = m_orders->start(Wanted);
        MoveReplyMessage Answer;
        Answer.m_accepted = Started.has_value();
        if (!Started) {
          Answer.m_reason = Started.error().m_message;
          Answer.m_noRoom = Started.error().m_kind == ErrorKind::Unavailable;
        }
        Reply(Answer);
      });
  return boost::outcome_v2::success();
}

OwnerTask::~OwnerTask() { stop(Milliseconds(0)); }

void OwnerTask::start() {
  m_tasks.emplace_back([this] { own(); });
  m_tasks.emplace_back([this] { keepJournal(); });
  m_tasks.emplace_back([this] { keepLimits(); });
  m_tasks.emplace_back([this] { plan(); });
}

bool OwnerTask::pause(Duration Time) {
  std::unique_lock<std::mutex> Lock(m_mutex);
  return !m_wake.wait_for(Lock, Time, [this] { return m_stopping; });
}

void OwnerTask::stop(Milliseconds Wait) {
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_handingOver = true;
  }
  const TimePoint End = now() + Wait;
  (void)m_orders->settle(Wait);
  while (now() < End && !m_ownership->owned().empty())
    if (!pause(OwnershipInterval))
      break;
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_stopping = true;
  }
  m_wake.notify_all();
  for (std::thread &Task : m_tasks)
    Task.join();
  m_tasks.clear();
  m_journal->close();
  std::lock_guard<std::mutex> Lock(m_mutex);
  if (m_limits) {
    (void)m_limits->m_models->close(now());
    (void)m_limits->m_adapters->close(now());
  }
}

std::vector<std::string> OwnerTask::regionEndpoints() const {
  std::vector<std::string> Out;
  for (const EngineStatus &E : m_fleet.engines())
    if (E.m_vm.m_region == m_context.m_settings.m_region)
      Out.push_back(E.m_vm.m_name);
  return Out;
}

void OwnerTask::own() {
  bool Told = false;
  do {
    {
      std::lock_guard<std::mutex> Lock(m_mutex);
      if (m_handingOver && !Told) {
        m_ownership->startHandOver();
        Told = true;
      }
    }
    stepOwnership(now());
  } while (pause(OwnershipInterval));
}

void OwnerTask::stepOwnership(TimePoint Now) {
  auto Config = m_context.m_catalog.get();
  if (!Config || !m_fleet.listed())
    return;
  m_ownership->setMembers(m_mesh.ownershipMembers(), Now);
  m_ownership->setEndpoints(regionEndpoints(), Now);
  if (auto Use = m_mesh.lease().use(Now)) {
    auto Stepped = m_ownership->step(*Use, Now);
    if (!Stepped)
      spdlog::debug("event=ownership_failed error=\"{}\"",
                    Stepped.error().m_message);
  }
  std::vector<OwnedEndpoint> Owned = m_ownership->owned();
  std::vector<std::string> Names;
  for (const OwnedEndpoint &E : Owned)
    Names.push_back(E.m_endpoint);
  m_orders->setOwned(Owned, *Config);
  m_fleet.setOwned(Names);
}

void OwnerTask::keepJournal() {
  do {
    m_journal->setMembers(m_mesh.journalMembers(now()));
    if (auto Use = m_mesh.lease().use(now()))
      m_journal->step(Use->incarnation(), now());
  } while (pause(JournalInterval));
}

void OwnerTask::renewLimits(std::uint64_t Incarnation) {
  if (Incarnation == m_limitIncarnation)
    return;
  SharedLimitOptions Options;
  Options.m_holder = m_context.m_settings.m_name;
  Options.m_incarnation = Incarnation;
  Options.m_name = "model_loads";
  SharedLimitOptions ModelOptions = Options;
  ModelOptions.m_idleTime = ModelIdleTime;
  ModelOptions.m_retryInterval = ModelRetryInterval;
  auto Models = SharedLimit::create(m_store, ModelOptions);
  Options.m_name = "adapter_loads";
  auto Adapters = SharedLimit::create(m_store, Options);
  if (!Models || !Adapters)
    return;
  auto Fresh = std::make_shared<LoadLimiters>();
  Fresh->m_models = std::move(Models.value());
  Fresh->m_adapters = std::move(Adapters.value());
  Fresh->m_incarnation = Incarnation;
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_limits = Fresh;
  }
  m_limitIncarnation = Incarnation;
  m_orders->setLimiters(Fresh);
}

void OwnerTask::passGone(LoadLimiters &Held) {
  std::map<std::string, std::uint64_t> Gone;
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    Gone = m_gone;
  }
  // The own name's older incarnations send nothing more, since this one exists.
  std::uint64_t &Own = Gone[m_context.m_settings.m_name];
  Own = std::max(Own, Held.m_incarnation - 1);
  for (const auto &[Member, UpTo] : Gone) {
    Held.m_models->holderGone(Member, UpTo, now());
    Held.m_adapters->holderGone(Member, UpTo, now());
  }
}

void OwnerTask::keepLimits() {
  do {
    auto Config = m_context.m_catalog.get();
    std::uint64_t Incarnation = m_mesh.lease().incarnation();
    if (!Config || Incarnation == 0)
      continue;
    renewLimits(Incarnation);
    if (!m_limits)
      continue;
    const LoadLimits &Limits = Config->m_loadLimits;
    LoadLimiters &Held = *m_limits;
    passGone(Held);
    Held.m_models->setLimit(Limits.m_concurrentLoads, Config->m_revision,
                            Limits.m_loadsPerSecond);
    Held.m_adapters->setLimit(Limits.m_concurrentAdapterLoads,
                              Config->m_revision);
    Held.m_models->setWanted(m_orders->wanted(ArtifactKind::Model));
    Held.m_adapters->setWanted(m_orders->wanted(ArtifactKind::Adapter));
    (void)Held.m_models->sync(now());
    (void)Held.m_adapters->sync(now());
    m_orders->limitsChanged();
  } while (pauseLimits());
}

bool OwnerTask::pauseLimits() {
  std::unique_lock<std::mutex> Lock(m_mutex);
  m_wake.wait_for(Lock, LimitInterval,
                  [this] { return m_stopping || m_unitsWanted; });
  m_unitsWanted = false;
  return !m_stopping;
}

bool OwnerTask::modelLost() {
  auto Config = m_context.m_catalog.get();
  if (!Config)
    return false;
  std::vector<std::string> Names;
  for (const auto &[Name, Model] : Config->m_models)
    Names.push_back(Name);
  std::set<std::string> Missing = m_fleet.withoutHome(Names);
  bool Lost = !std::includes(m_withoutHome.begin(), m_withoutHome.end(),
                             Missing.begin(), Missing.end());
  m_withoutHome = std::move(Missing);
  return Lost;
}

void OwnerTask::plan() {
  TimePoint Next = now();
  do {
    if (!modelLost() && now() < Next)
      continue;
    bool Rejected =
        m_placement->step(m_mesh.isPlanner() && !m_context.m_draining,
                          m_mesh.liveInRegion(), m_mesh.regions(), now());
    Next = now() +
           (Rejected && !m_withoutHome.empty() ? ReplanInterval : PlanInterval);
  } while (pause(LossInterval));
}

Result<void> OwnerTask::sendMove(const Move &Wanted) {
  auto Here = m_orders->start(Wanted);
  if (Here || Here.error().m_kind != ErrorKind::NotFound)
    return Here;
  std::string Owner = m_mesh.ownerOf(Wanted.m_endpoint);
  if (Owner.empty() || Owner == m_context.m_settings.m_name)
    return makeError(ErrorKind::NotFound, "no owner of " + Wanted.m_endpoint +
                                              " is known yet; try again");
  auto Reply = m_mesh.peers().request(
      Owner, PlannedMoveMessage{m_mesh.lease().incarnation(), Wanted},
      MoveReplyTimeout);
  if (!Reply)
    return Reply.error();
  const auto *Told = std::get_if<MoveReplyMessage>(&Reply.value().m_body);
  if (Told == nullptr)
    return makeError(ErrorKind::Protocol,
                     "the owner's answer is not understood; check versions");
  if (!Told->m_accepted)
    return makeError(Told->m_noRoom ? ErrorKind::Unavailable
                                    : ErrorKind::Conflict,
                     Told->m_reason);
  return boost::outcome_v2::success();
}

Result<void> OwnerTask::ensureAdapter(const std::string &Endpoint,
                                      const std::string &Adapter) {
  auto Config = m_context.m_catalog.get();
  auto Spec = Config->m_adapters.find(Adapter);
  if (Spec == Config->m_adapters.end())
    return makeError(ErrorKind::NotFound,
                     "adapter " + Adapter + " left the configuration");
  Move Wanted;
  Wanted.m_kind = MoveKind::Load;
  Wanted.m_endpoint = Endpoint;
  Wanted.m_artifact = {ArtifactKind::Adapter, Adapter, Spec->second.m_version};
  Wanted.m_bytes = Spec->second.m_bytes;
  Wanted.m_reason = "wanted by a request";
  auto Sent = sendMove(Wanted);
  // Another request may have asked for it first, and it may be resident in
  // memory that is full now; the report tells.
  if (!Sent && Sent.error().m_kind != ErrorKind::Conflict &&
      Sent.error().m_kind != ErrorKind::Unavailable)
    return Sent;
  const TimePoint End = now() + AdapterWait;
  while (now() < End) {
    auto Report = m_fleet.readReport(Endpoint);
    if (Report)
      for (const ResidentArtifact &R : Report.value().m_resident)
        if (R.m_artifact == Wanted.m_artifact)
          return boost::outcome_v2::success();
    if (!pause(AdapterPoll))
      break;
  }
  return makeError(ErrorKind::Timeout,
                   "adapter " + Adapter + " did not become resident on " +
                       Endpoint + " in time; place the request elsewhere");
}

std::vector<EndpointSummary> OwnerTask::row() const {
  std::vector<EndpointSummary> Out;
  for (const EngineStatus &E : m_fleet.engines()) {
    if (!E.m_owned)
      continue;
    EndpointSummary Row;
    Row.m_endpoint = E.m_vm.m_name;
    Row.m_state = E.m_vm.m_state == VmState::Leaving ? SummaryState::Leaving
                                                     : SummaryState::Live;
    if (!E.m_reachable)
      Row.m_state = SummaryState::Down;
    if (E.m_report && now() - E.m_reportedAt < ToldReportAge) {
      const LoadReport &R = *E.m_report;
      Row.m_loadBucket = loadBucketOf(R.m_running, R.m_queued, R.m_maxBatch);
      unsigned Free =
          R.m_maxBatch > R.m_running ? R.m_maxBatch - R.m_running : 0;
      Row.m_freeSlots = freeSlotStep(Free);
      Row.m_freeMemory =
          R.m_memoryBytes - std::min(R.m_memoryBytes, heldBytes(R));
      std::set<Artifact> Draining = m_orders->draining(Row.m_endpoint);
      for (const ResidentArtifact &Held : R.m_resident)
        if (Draining.count(Held.m_artifact) == 0)
          Row.m_models.push_back(gossipName(Held.m_artifact));
    }
    Out.push_back(std::move(Row));
  }
  return Out;
}

} // namespace primroseworks
