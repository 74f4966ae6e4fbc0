// The part of an owner that changes what an engine holds.
#include "primrosed/ordersender.h"

#include <algorithm>
#include <spdlog/spdlog.h>

namespace primroseworks {

namespace {

constexpr unsigned MaxMoves = 256;
constexpr Milliseconds ModelPoll{200};
constexpr Milliseconds AdapterPoll{20};

// How long a planned load waits for a unit of the shared limit.
constexpr Seconds LongestModelWait{20};
constexpr Seconds LongestAdapterWait{3};
// A start of a model is taken within 100 ms from when it is due.
constexpr Milliseconds LimitPoll{20};

// An order that is neither done nor failed after this is left to the ledger:
// its claim stays until the engine's state settles it.
constexpr Seconds LongestFollow{30};

// Other daemons stop routing to a draining artifact within 3 s, and a report
// lags behind the engine: only a report read after both shows the last users.
constexpr Milliseconds DrainNotice =
    Milliseconds(3000) + Milliseconds(LongestReportLag);
constexpr Seconds LongestDrain{120};

TimePoint now() { return std::chrono::steady_clock::now(); }

bool checksFencing(const Catalog &Config, const std::string &Endpoint) {
  std::size_t Best = 0;
  bool Checks = false;
  for (const EngineRule &Rule : Config.m_engineRules) {
    bool Matches =
        Endpoint.compare(0, Rule.m_prefix.size(), Rule.m_prefix) == 0;
    if (Matches && Rule.m_prefix.size() >= Best) {
      Best = Rule.m_prefix.size();
      Checks = Rule.m_checksFencing;
    }
  }
  return Checks;
}

/// Gives a unit of a shared limit back when it leaves its scope.
class LimitUnit {
public:
  /// NotWanted: called before, so that the unit is not kept for another use.
  LimitUnit(SharedLimit &Limit, std::function<void()> NotWanted)
      : m_limit(Limit), m_notWanted(std::move(NotWanted)) {}
  ~LimitUnit() {
    m_notWanted();
    m_limit.release(now());
  }
  LimitUnit(const LimitUnit &) = delete;
  LimitUnit &operator=(const LimitUnit &) = delete;

private:
  SharedLimit &m_limit;
  std::function<void()> m_notWanted;
};

} // namespace

OrderSender::OrderSender(DaemonContext &Context, Mesh &Others, Fleet &Endpoints,
                         Metrics &Counters)
    : m_context(Context), m_mesh(Others), m_fleet(Endpoints),
      m_metrics(Counters), m_workers(MaxMoves, 0) {}

OrderSender::~OrderSender() {
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_stopping = true;
  }
  m_changed.notify_all();
  m_workers.shutdown();
}

bool OrderSender::pause(Milliseconds Time) {
  std::unique_lock<std::mutex> Lock(m_mutex);
  return !m_changed.wait_for(Lock, Time, [this] { return m_stopping; });
}

void OrderSender::setLimiters(std::shared_ptr<LoadLimiters> Limits) {
  std::lock_guard<std::mutex> Lock(m_mutex);
  m_limits = std::move(Limits);
}

OrderSender::OwnedPtr OrderSender::makeOwned(const OwnedEndpoint &Endpoint,
                                             const Catalog &Config) const {
  auto Fresh = std::make_shared<Owned>();
  Fresh->m_name = Endpoint.m_endpoint;
  Fresh->m_ledger = Endpoint.m_ledger;
  Fresh->m_engine = m_fleet.engine(Endpoint.m_endpoint);
  if (!Fresh->m_engine)
    return nullptr;
  EndpointOrdersOptions Options;
  Options.m_member = m_context.m_settings.m_name;
  Options.m_checksFencing = checksFencing(Config, Endpoint.m_endpoint);
  auto Orders =
      createEndpointOrders(Endpoint.m_ledger, *Fresh->m_engine, Options);
  if (!Orders)
    return nullptr;
  Fresh->m_orders = std::move(Orders.value());
  return Fresh;
}

void OrderSender::setOwned(const std::vector<OwnedEndpoint> &Endpoints,
                           const Catalog &Config) {
  std::lock_guard<std::mutex> Lock(m_mutex);
  std::map<std::string, OwnedPtr> Next;
  for (const OwnedEndpoint &E : Endpoints) {
    auto Known = m_owned.find(E.m_endpoint);
    bool Same = Known != m_owned.end() &&
                Known->second->m_ledger == E.m_ledger &&
                Known->second->m_engine == m_fleet.engine(E.m_endpoint);
    OwnedPtr Target = Same ? Known->second : makeOwned(E, Config);
    if (Target)
      Next.emplace(E.m_endpoint, std::move(Target));
  }
  m_owned.swap(Next);
}

OrderSender::OwnedPtr OrderSender::find(const std::string &Endpoint) const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  auto It = m_owned.find(Endpoint);
  return It == m_owned.end() ? nullptr : It->second;
}

void OrderSender::processGone(const std::string &Member, std::uint64_t UpTo) {
  std::lock_guard<std::mutex> Lock(m_mutex);
  for (auto &[Name, Target] : m_owned)
    Target->m_orders->processGone(Member, UpTo);
}

Result<LoadReport> OrderSender::poll(const std::string &Endpoint) {
  OwnedPtr Target = find(Endpoint);
  if (!Target)
    return makeError(ErrorKind::NotFound, "this daemon does not own " +
                                              Endpoint +
                                              "; read its report directly");
  BOOST_OUTCOME_TRY(Report, Target->m_orders->poll());
  reserveCache(*Target, Report);
  countViolations(*Target, Target->m_ledger->ledger());
  return Report;
}

void OrderSender::reserveCache(Owned &Target, const LoadReport &Report) {
  if (Target.m_ledger->ledger().reservedBytes() == Report.m_kvTotalBytes)
    return;
  // A failed commit is tried again with the next report.
  (void)Target.m_ledger->commit([&](MemoryLedger &Ledger) -> Result<bool> {
    BOOST_OUTCOME_TRYV(Ledger.setReserved(Report.m_kvTotalBytes));
    return true;
  });
}

void OrderSender::countViolations(Owned &Target, const MemoryLedger &Ledger) {
  std::lock_guard<std::mutex> Lock(Target.m_mutex);
  if (Ledger.violations() <= Target.m_violations)
    return;
  Target.m_violations = Ledger.violations();
  m_metrics.invariantViolated("memory_within_size");
  spdlog::error("event=invariant_violated invariant=memory_within_size "
                "endpoint={} committed={} size={}",
                Target.m_name, Ledger.committedBytes(), Ledger.sizeBytes());
}

Result<void> OrderSender::start(const Move &Wanted) {
  OwnedPtr Target = find(Wanted.m_endpoint);
  if (!Target || Target->m_ledger->lost())
    return makeError(ErrorKind::NotFound, "this daemon does not own " +
                                              Wanted.m_endpoint +
                                              "; ask its owner");
  const bool Later = Wanted.m_kind == MoveKind::Load &&
                     Wanted.m_artifact.m_kind == ArtifactKind::Model &&
                     givesWay(Wanted.m_artifact);
  {
    std::lock_guard<std::mutex> Lock(Target->m_mutex);
    if (!Target->m_moves.emplace(Wanted.m_artifact, Wanted).second)
      return makeError(ErrorKind::Conflict,
                       "a move of this artifact is in progress there; wait "
                       "for it");
    if (Later) {
      Target->m_moves.erase(Wanted.m_artifact);
      return makeError(ErrorKind::RateLimited,
                       "a model without any copy is loaded first; try again");
    }
    bool TooLarge = Wanted.m_kind == MoveKind::Load &&
                    Wanted.m_bytes > Target->m_ledger->ledger().freeBytes();
    if (TooLarge) {
      Target->m_moves.erase(Wanted.m_artifact);
      return makeError(ErrorKind::Unavailable,
                       "the artifact does not fit into the free memory of " +
                           Wanted.m_endpoint + "; unload another one first");
    }
  }
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    ++m_active;
  }
  m_workers.submit([this, Target, Wanted] { execute(Target, Wanted); });
  return boost::outcome_v2::success();
}

void OrderSender::execute(const OwnedPtr &Target, const Move &Wanted) {
  const TimePoint Start = now();
  bool IsLoad = Wanted.m_kind == MoveKind::Load;
  std::string Result = IsLoad ? load(Target, Wanted) : unload(Target, Wanted);
  auto Config = m_context.m_catalog.get();
  spdlog::info("event=place kind={} endpoint={} artifact={} version={} "
               "reason=\"{}\" result={} seconds={:.3f} revision={}",
               nameOf(MoveKindNames, Wanted.m_kind), Wanted.m_endpoint,
               Wanted.m_artifact.m_name, Wanted.m_artifact.m_version,
               Wanted.m_reason, Result, toSeconds(now() - Start),
               Config ? Config->m_revision : 0);
  m_metrics.move(std::string(nameOf(MoveKindNames, Wanted.m_kind)), Result);
  {
    std::lock_guard<std::mutex> Lock(Target->m_mutex);
    Target->m_moves.erase(Wanted.m_artifact);
    Target->m_draining.erase(Wanted.m_artifact);
  }
  std::lock_guard<std::mutex> Lock(m_mutex);
  --m_active;
  m_changed.notify_all();
}

unsigned OrderSender::wanted(ArtifactKind Kind) const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  auto It = m_loads.find(Kind);
  return It == m_loads.end() ? 0 : It->second;
}

void OrderSender::count(ArtifactKind Kind, bool Counted) {
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    unsigned &Loads = m_loads[Kind];
    Loads = Counted ? Loads + 1 : Loads - 1;
  }
  if (m_onWanted)
    m_onWanted();
}

void OrderSender::limitsChanged() { m_changed.notify_all(); }

bool OrderSender::givesWay(const Artifact &Wanted) const {
  auto Config = m_context.m_catalog.get();
  if (!Config)
    return false;
  std::vector<std::string> Names;
  for (const auto &[Name, Model] : Config->m_models)
    Names.push_back(Name);
  std::set<std::string> Missing = m_fleet.withoutHome(Names);
  return !Missing.empty() && Missing.count(Wanted.m_name) == 0;
}

SharedLimit *OrderSender::takeUnit(LoadLimiters &Limits,
                                   const Artifact &Wanted) {
  bool IsModel = Wanted.m_kind == ArtifactKind::Model;
  SharedLimit &Limit = IsModel ? *Limits.m_models : *Limits.m_adapters;
  const TimePoint End =
      now() + (IsModel ? LongestModelWait : LongestAdapterWait);
  SharedLimit *Taken = nullptr;
  count(Wanted.m_kind, true);
  std::unique_lock<std::mutex> Lock(m_mutex);
  while (Taken == nullptr && !m_stopping && now() < End) {
    // While it waits, the planner sets memory aside for it that the model
    // without a copy may need. Both waited for each other then.
    if (IsModel && givesWay(Wanted))
      break;
    if (Limit.tryAcquire(now()))
      Taken = &Limit;
    else
      m_changed.wait_for(Lock, LimitPoll);
  }
  Lock.unlock();
  if (Taken == nullptr)
    count(Wanted.m_kind, false);
  return Taken;
}

std::string OrderSender::load(const OwnedPtr &Target, const Move &Wanted) {
  bool IsModel = Wanted.m_artifact.m_kind == ArtifactKind::Model;
  std::shared_ptr<LoadLimiters> Limits;
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    Limits = m_limits;
  }
  if (!Limits)
    return "no_limit_yet";
  const TimePoint Asked = now();
  SharedLimit *Taken = takeUnit(*Limits, Wanted.m_artifact);
  if (Taken == nullptr)
    return IsModel && givesWay(Wanted.m_artifact) ? "gave_way"
                                                  : "limit_reached";
  LimitUnit Unit(*Taken,
                 [this, &Wanted] { count(Wanted.m_artifact.m_kind, false); });
  spdlog::info("event=load_start endpoint={} artifact={} waited={:.3f}",
               Wanted.m_endpoint, Wanted.m_artifact.m_name,
               toSeconds(now() - Asked));
  std::unique_ptr<LeaseUse> Use = m_mesh.lease().use(now());
  // A newer incarnation proves to others that nothing starts with the units of
  // the older one.
  if (!Use || Use->incarnation() != Limits->m_incarnation)
    return "no_lease";
  auto State = Target->m_orders->load(*Use, Wanted.m_artifact, Wanted.m_bytes);
  if (!State && State.error().m_kind != ErrorKind::Timeout)
    return std::string(nameOf(ErrorKindNames, State.error().m_kind));
  return follow(*Target, Wanted.m_artifact, true,
                IsModel ? ModelPoll : AdapterPoll);
}

std::string OrderSender::follow(const Owned &Target, const Artifact &Moved,
                                bool Wanted, Milliseconds Poll) {
  const TimePoint End = now() + LongestFollow;
  while (now() < End && pause(Poll)) {
    auto Report = m_fleet.readReport(Target.m_name);
    if (!Report)
      continue;
    const auto &Resident = Report.value().m_resident;
    bool Held = std::any_of(
        Resident.begin(), Resident.end(),
        [&](const ResidentArtifact &R) { return R.m_artifact == Moved; });
    if (Held == Wanted)
      return "done";
    // The ledger drops a claim when the engine says that its order failed.
    if (Wanted && Target.m_ledger->ledger().claims().count(Moved) == 0)
      return "failed";
  }
  return "not_settled";
}

bool OrderSender::waitUnused(const OwnedPtr &Target, const Artifact &Unwanted) {
  if (!pause(DrainNotice))
    return false;
  const TimePoint End = now() + LongestDrain;
  do {
    auto Report = m_fleet.readReport(Target->m_name);
    if (!Report)
      continue;
    auto Row = std::find_if(
        Report.value().m_resident.begin(), Report.value().m_resident.end(),
        [&](const ResidentArtifact &R) { return R.m_artifact == Unwanted; });
    if (Row == Report.value().m_resident.end() || Row->m_inUse == 0)
      return true;
  } while (now() < End && pause(ModelPoll));
  return false;
}

std::string OrderSender::unload(const OwnedPtr &Target, const Move &Wanted) {
  {
    std::lock_guard<std::mutex> Lock(Target->m_mutex);
    Target->m_draining.insert(Wanted.m_artifact);
  }
  m_fleet.hide(Target->m_name, Wanted.m_artifact, true);
  std::string Result = sendUnload(Target, Wanted.m_artifact);
  m_fleet.hide(Target->m_name, Wanted.m_artifact, false);
  return Result;
}

std::string OrderSender::sendUnload(const OwnedPtr &Target,
                                    const Artifact &Unwanted) {
  if (!waitUnused(Target, Unwanted))
    return "still_in_use";
  std::unique_ptr<LeaseUse> Use = m_mesh.lease().use(now());
  if (!Use)
    return "no_lease";
  auto State = Target->m_orders->unload(*Use, Unwanted);
  if (!State && State.error().m_kind != ErrorKind::Timeout)
    return std::string(nameOf(ErrorKindNames, State.error().m_kind));
  return follow(*Target, Unwanted, false, ModelPoll);
}

std::vector<Move> OrderSender::inProgress() const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  std::vector<Move> Out;
  for (const auto &[Name, Target] : m_owned) {
    std::lock_guard<std::mutex> Inner(Target->m_mutex);
    for (const auto &[Key, Each] : Target->m_moves)
      Out.push_back(Each);
  }
  return Out;
}

std::set<Artifact> OrderSender::draining(const std::string &Endpoint) const {
  OwnedPtr Target = find(Endpoint);
  if (!Target)
    return {};
  std::lock_guard<std::mutex> Lock(Target->m_mutex);
  return Target->m_draining;
}

std::map<std::string, std::pair<std::uint64_t, std::uint64_t>>
OrderSender::memory() const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> Out;
  for (const auto &[Name, Target] : m_owned) {
    MemoryLedger Ledger = Target->m_ledger->ledger();
    Out[Name] = {Ledger.committedBytes(), Ledger.sizeBytes()};
  }
  return Out;
}

Result<unsigned> OrderSender::clearClaims(const std::string &Endpoint,
                                          const std::string &Name) {
  OwnedPtr Target = find(Endpoint);
  if (!Target)
    return makeError(ErrorKind::NotFound,
                     "this daemon does not own " + Endpoint +
                         "; `primrosectl endpoints` names the owner");
  unsigned Cleared = 0;
  MemoryLedger Ledger = Target->m_ledger->ledger();
  for (const auto &[Key, Claims] : Ledger.claims()) {
    if (Key.m_name != Name)
      continue;
    for (const PendingClaim &Claim : Claims.m_pending) {
      Target->m_orders->clearClaim(Claim.m_orderId);
      ++Cleared;
    }
  }
  return Cleared;
}

bool OrderSender::settle(Milliseconds Wait) {
  std::unique_lock<std::mutex> Lock(m_mutex);
  return m_changed.wait_for(Lock, Wait, [this] { return m_active == 0; });
}

} // namespace primroseworks
