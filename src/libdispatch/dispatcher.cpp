// The dispatcher: admission decides which request is next, routing where it
// runs; outcomes feed the beliefs, the retry budget and the crash suspects.
#include "primroseworks/dispatcher.h"
#include "primroseworks/admission.h"
#include "primroseworks/retry.h"
#include "primroseworks/router.h"
#include "primroseworks/suspects.h"

#include <algorithm>
#include <fmt/format.h>
#include <random>
#include <unordered_map>
#include <unordered_set>

namespace primroseworks {

namespace {
/// Base of the pause that a refused caller is asked to make.
constexpr Milliseconds RetryPause{1000};
constexpr Milliseconds RetryPauseMax{30000};
/// A predicted wait is this uncertain; refuse early only when even a wait
/// shorter by this factor misses the deadline.
constexpr double WaitUncertainty = 1.5;
/// Waiting time after which a request may preempt batch work.
constexpr Milliseconds UrgentPatience{30};
constexpr Milliseconds StandardPatience{300};
/// A batch request is preempted at most this often, so that it ends one day.
constexpr unsigned PreemptionsMax = 2;
/// Batch work is preempted only while its share of service is above its
/// guarantee by this factor; otherwise it would be admitted again at once.
constexpr double PreemptAboveShare = 1.6;
/// Time from grant to first token is predicted with this uncertainty.
constexpr Milliseconds FirstTokenMargin{100};
constexpr double LearnGain = 0.05;
/// Models considered for preemption in one poll.
constexpr std::size_t PreemptingModels = 4;
/// Endpoints considered for each of them.
constexpr std::size_t PreemptedEndpoints = 16;
/// Preempted ids remembered until they are submitted again.
constexpr std::size_t PreemptedMax = 4096;

struct Running {
  RouteAttempt m_attempt;
  Rank m_rank = Rank::Standard;
  std::uint64_t m_fingerprint = 0;
  std::uint64_t m_crash = 0; ///< Id of the crash if its endpoint dies.
  double m_cost = 0;
  bool m_preempting = false;
};

class DispatcherImpl final : public Dispatcher {
public:
  DispatcherImpl(DispatcherOptions Options, std::unique_ptr<Router> R,
                 RetryBudget Retries, CrashSuspects Suspects)
      : m_options(std::move(Options)), m_router(std::move(R)),
        m_queues(m_options.m_maxQueued), m_retries(Retries),
        m_suspects(std::move(Suspects)), m_random(m_options.m_seed) {}

  void setCatalog(std::shared_ptr<const Catalog> Next, TimePoint Now) override;
  void setEndpoint(const EndpointInfo &Info, TimePoint Now) override;
  void removeEndpoint(const std::string &Name, TimePoint Now) override;
  void onReport(const std::string &Endpoint, const LoadReport &Report,
                TimePoint Now) override;
  void onCacheEvents(const std::string &Endpoint,
                     const std::vector<CacheEvent> &Events,
                     TimePoint Now) override;
  void onPeerLoad(const std::string &Endpoint, unsigned InFlight,
                  TimePoint Now) override;
  void submit(DispatchRequest Request, TimePoint Now) override;
  void withdraw(const std::string &RequestId, TimePoint Now) override;
  Decisions poll(TimePoint Now) override;
  void onFirstToken(const std::string &RequestId, TimePoint Now) override;
  void onFinished(const std::string &RequestId, AttemptOutcome Outcome,
                  const StreamEnd *End, TimePoint Now) override;
  unsigned addStrike(std::uint64_t Fingerprint, std::uint64_t Crash,
                     TimePoint Now) override;
  std::vector<std::pair<std::uint64_t, std::uint64_t>> takeStrikes() override {
    return m_suspects.take();
  }
  std::vector<std::pair<std::uint64_t, std::uint64_t>>
  repeatStrikes(TimePoint Now) override {
    return m_suspects.repeats(Now);
  }
  void clearSuspect(std::uint64_t Fingerprint) override {
    m_suspects.clear(Fingerprint);
  }
  std::size_t queued(Rank R) const override { return m_queues.size(R); }
  std::size_t inFlight() const override { return m_running.size(); }

private:
  const RankPolicy &policy(Rank R) const {
    return m_catalog ? m_catalog->rank(R) : m_defaultPolicy;
  }
  void refuse(const std::string &Id, RefusalReason Why, Milliseconds Base);
  /// Refuses a request that must not be queued; true if it did.
  bool refuseEarly(const DispatchRequest &Request, ModelId Model,
                   TimePoint Now);
  /// Whether the catalog has the model and the adapter; names that it lacks are
  /// not remembered, so that callers cannot exhaust memory with them.
  bool configured(const DispatchRequest &Request) const;
  std::string versionOf(const DispatchRequest &Request) const;
  /// The request no longer waits; false if it did not wait.
  bool leave(std::unique_ptr<QueuedRequest> Item) {
    if (Item)
      m_suspects.release(Item->m_request.m_fingerprint);
    return Item != nullptr;
  }
  void unblockAt(EndpointId Id);
  /// Refuses queued requests whose fingerprint has just got too many strikes.
  void refuseSuspects(std::uint64_t Fingerprint, TimePoint Now);
  void expire(TimePoint Now);
  void place(TimePoint Now, Decisions &Out);
  PlaceResult tryPlace(QueuedRequest &Item, bool Entitled, TimePoint Now,
                       Decisions &Out);
  void preempt(TimePoint Now, Decisions &Out);
  bool preemptFor(const QueuedRequest &Waiting, Decisions &Out);
  void rememberPreempted(const std::string &Id);

  DispatcherOptions m_options;
  std::shared_ptr<const Catalog> m_catalog;
  RankPolicy m_defaultPolicy;
  std::unique_ptr<Router> m_router;
  AdmissionQueues m_queues;
  RetryBudget m_retries;
  CrashSuspects m_suspects;
  /// Run of each endpoint by its last report.
  std::unordered_map<std::string, std::uint64_t> m_runs;
  std::mt19937_64 m_random;
  std::unordered_map<std::string, Running> m_running;
  /// Ids of own batch requests by endpoint, oldest first.
  std::unordered_map<EndpointId, std::vector<std::string>> m_batchAt;
  /// Preemptions in progress by endpoint: one at a time each.
  std::unordered_set<EndpointId> m_preempting;
  std::unordered_map<std::string, unsigned> m_preempted; ///< Times, by id.
  std::vector<Refusal> m_refusals; ///< To hand out with the next poll.
  TimePoint m_nextRecheck{};
  Duration m_typicalFirstToken{}; ///< Mean time from grant to first token.
};

void DispatcherImpl::setCatalog(std::shared_ptr<const Catalog> Next,
                                TimePoint) {
  m_catalog = std::move(Next);
  m_router->setCatalog(*m_catalog);
  m_queues.shares().setGuarantees(m_catalog->m_ranks);
}

void DispatcherImpl::unblockAt(EndpointId Id) {
  for (ModelId Model : m_router->modelsAt(Id))
    m_queues.unblock(Model);
}

void DispatcherImpl::setEndpoint(const EndpointInfo &Info, TimePoint Now) {
  unblockAt(m_router->setEndpoint(Info, Now));
}

void DispatcherImpl::removeEndpoint(const std::string &Name, TimePoint) {
  m_router->removeEndpoint(Name);
  m_runs.erase(Name);
}

void DispatcherImpl::onReport(const std::string &Endpoint,
                              const LoadReport &Report, TimePoint Now) {
  m_runs[Endpoint] = Report.m_runId;
  if (auto Id = m_router->onReport(Endpoint, Report, Now))
    unblockAt(*Id);
}

void DispatcherImpl::onCacheEvents(const std::string &Endpoint,
                                   const std::vector<CacheEvent> &Events,
                                   TimePoint Now) {
  m_router->onCacheEvents(Endpoint, Events, Now);
}

void DispatcherImpl::onPeerLoad(const std::string &Endpoint, unsigned InFlight,
                                TimePoint Now) {
  if (auto Id = m_router->onPeerLoad(Endpoint, InFlight, Now))
    unblockAt(*Id);
}

void DispatcherImpl::refuse(const std::string &Id, RefusalReason Why,
                            Milliseconds Base) {
  m_refusals.push_back(
      {Id, Why,
       RetryBudget::jittered(std::clamp(Base, RetryPause, RetryPauseMax),
                             m_random)});
}

std::string DispatcherImpl::versionOf(const DispatchRequest &Request) const {
  if (!Request.m_version.empty() || !m_catalog)
    return Request.m_version;
  auto It = m_catalog->m_models.find(Request.m_model);
  return It == m_catalog->m_models.end() ? std::string() : It->second.m_version;
}

bool DispatcherImpl::refuseEarly(const DispatchRequest &Request, ModelId Model,
                                 TimePoint Now) {
  if (m_suspects.refused(Request.m_fingerprint, Now)) {
    m_refusals.push_back(
        {Request.m_id, RefusalReason::CrashSuspect,
         std::chrono::duration_cast<Milliseconds>(
             m_suspects.remaining(Request.m_fingerprint, Now))});
    return true;
  }
  if (Request.m_deadline <= Now) {
    refuse(Request.m_id, RefusalReason::DeadlinePassed, RetryPause);
    return true;
  }
  auto Wait =
      m_queues.expectedWait(Request.m_rank, Model, Request.m_caller, Now);
  if (Wait && Now + fromSeconds(toSeconds(*Wait) / WaitUncertainty) >
                  Request.m_deadline) {
    refuse(Request.m_id, RefusalReason::DeadlinePassed,
           std::chrono::duration_cast<Milliseconds>(*Wait));
    return true;
  }
  bool Preempted = m_preempted.count(Request.m_id) > 0;
  if (Request.m_retry && !Preempted && !m_retries.take(Now)) {
    refuse(Request.m_id, RefusalReason::RetryBudget, RetryPause);
    return true;
  }
  return false;
}

bool DispatcherImpl::configured(const DispatchRequest &Request) const {
  if (!m_catalog || m_catalog->m_models.empty())
    return true;
  return m_catalog->m_models.count(Request.m_model) > 0 &&
         (Request.m_adapter.empty() ||
          m_catalog->m_adapters.count(Request.m_adapter) > 0);
}

void DispatcherImpl::submit(DispatchRequest Request, TimePoint Now) {
  // An id that is submitted again replaces its earlier request.
  leave(m_queues.remove(Request.m_id));
  onFinished(Request.m_id, AttemptOutcome::Cancelled, nullptr, Now);
  if (!configured(Request)) {
    refuse(Request.m_id, RefusalReason::NoEndpoint, RetryPause);
    return;
  }
  ModelId Model = m_router->model(Request.m_model, versionOf(Request));
  if (refuseEarly(Request, Model, Now))
    return;
  const RankPolicy &P = policy(Request.m_rank);
  auto Item = std::make_unique<QueuedRequest>();
  Item->m_model = Model;
  Item->m_adapter = m_router->adapter(Request.m_adapter);
  Item->m_queued = Now;
  Item->m_cost =
      Request.m_maxTokens + m_router->promptWeight() * Request.m_promptTokens;
  Item->m_target = Now + P.m_firstTokenTarget -
                   std::min<Duration>(m_typicalFirstToken + FirstTokenMargin,
                                      P.m_firstTokenTarget / 2);
  TimePoint LongestWait = Now + P.m_maxQueueTime;
  Item->m_expiresByDeadline = Request.m_deadline <= LongestWait;
  Item->m_expires = std::min(Request.m_deadline, LongestWait);
  Item->m_request = std::move(Request);
  m_suspects.hold(Item->m_request.m_fingerprint);
  if (auto Victim = m_queues.push(std::move(Item), Now)) {
    refuse(Victim->m_request.m_id, RefusalReason::QueueFull, RetryPause);
    leave(std::move(Victim));
  }
}

void DispatcherImpl::withdraw(const std::string &RequestId, TimePoint) {
  if (leave(m_queues.remove(RequestId)))
    return;
  // It may have been refused since the last poll.
  m_refusals.erase(std::remove_if(m_refusals.begin(), m_refusals.end(),
                                  [&](const Refusal &R) {
                                    return R.m_requestId == RequestId;
                                  }),
                   m_refusals.end());
}

void DispatcherImpl::expire(TimePoint Now) {
  while (auto Item = m_queues.takeExpired(Now)) {
    refuse(Item->m_request.m_id,
           Item->m_expiresByDeadline ? RefusalReason::DeadlinePassed
                                     : RefusalReason::QueueTimeout,
           RetryPause);
    leave(std::move(Item));
  }
}

PlaceResult DispatcherImpl::tryPlace(QueuedRequest &Item, bool Entitled,
                                     TimePoint Now, Decisions &Out) {
  const DispatchRequest &Request = Item.m_request;
  RouteQuery Query;
  Query.m_model = Item.m_model;
  Query.m_adapter = Item.m_adapter;
  Query.m_rank = Request.m_rank;
  Query.m_entitled = Entitled;
  Query.m_mayProbe = !Request.m_retry;
  Query.m_prefixHashes = &Request.m_prefixHashes;
  Query.m_promptTokens = Request.m_promptTokens;
  Query.m_maxTokens = Request.m_maxTokens;
  Query.m_exclude = &Request.m_exclude;
  Query.m_deadline = Request.m_deadline;
  if (m_suspects.struck(Request.m_fingerprint, Now)) {
    Query.m_allowed = [&](const std::string &Endpoint) {
      return m_suspects.mayRun(Request.m_fingerprint, Endpoint, Now);
    };
  }
  RouteChoice Choice = m_router->choose(Query, Now);
  switch (Choice.m_obstacle) {
  case RouteObstacle::None:
    break;
  case RouteObstacle::NotResident:
    return PlaceResult::NotResident;
  case RouteObstacle::Busy:
    return PlaceResult::Busy;
  case RouteObstacle::Request:
    return PlaceResult::Unsuitable;
  }
  const std::string &Endpoint = m_router->name(Choice.m_endpoint);
  Out.m_grants.push_back(
      {Request.m_id, Endpoint,
       fmt::format("{}{}, queued {:.0f} ms",
                   Entitled ? "guaranteed share; " : "", Choice.m_reason,
                   toMillis(Now - Item.m_queued)),
       std::move(Choice.m_candidates)});
  Running R;
  R.m_attempt = m_router->start(Query, Choice, Now);
  R.m_rank = Request.m_rank;
  R.m_fingerprint = Request.m_fingerprint;
  R.m_crash = CrashSuspects::crashId(Endpoint, m_runs[Endpoint]);
  R.m_cost = Item.m_cost;
  m_suspects.onStarted(Request.m_fingerprint, Endpoint);
  if (Request.m_rank == Rank::Batch)
    m_batchAt[Choice.m_endpoint].push_back(Request.m_id);
  m_running.insert_or_assign(Request.m_id, std::move(R));
  return PlaceResult::Placed;
}

unsigned DispatcherImpl::addStrike(std::uint64_t Fingerprint,
                                   std::uint64_t Crash, TimePoint Now) {
  unsigned Held = m_suspects.addFromPeer(Fingerprint, Crash, Now);
  refuseSuspects(Fingerprint, Now);
  return Held;
}

void DispatcherImpl::refuseSuspects(std::uint64_t Fingerprint, TimePoint Now) {
  if (!m_suspects.refused(Fingerprint, Now))
    return;
  auto Remaining = std::chrono::duration_cast<Milliseconds>(
      m_suspects.remaining(Fingerprint, Now));
  for (const std::string &Id : m_queues.withFingerprint(Fingerprint)) {
    leave(m_queues.remove(Id));
    m_refusals.push_back({Id, RefusalReason::CrashSuspect, Remaining});
  }
}

void DispatcherImpl::place(TimePoint Now, Decisions &Out) {
  bool Entitled = false;
  while (QueuedRequest *Item = m_queues.next(Now, Entitled)) {
    if (m_suspects.refused(Item->m_request.m_fingerprint, Now)) {
      refuseSuspects(Item->m_request.m_fingerprint, Now);
      continue;
    }
    PlaceResult Result = tryPlace(*Item, Entitled, Now, Out);
    if (Result == PlaceResult::Placed)
      leave(m_queues.taken(*Item, Now));
    else
      m_queues.failed(*Item, Result, Now);
  }
}

void DispatcherImpl::preempt(TimePoint Now, Decisions &Out) {
  double Kept = policy(Rank::Batch).m_guaranteedShare * PreemptAboveShare;
  if (m_batchAt.empty() || m_queues.shares().share(Rank::Batch, Now) <= Kept)
    return;
  for (Rank R : {Rank::Urgent, Rank::Standard}) {
    // A rank that has its guaranteed share waits for slots that end: in a flood
    // of its own it would only throw away what batch streams have computed.
    if (policy(R).m_guaranteedShare > 0 &&
        m_queues.shares().deficit(R, Now) <= 0)
      continue;
    Duration Patience = R == Rank::Urgent ? UrgentPatience : StandardPatience;
    for (const QueuedRequest *Waiting : m_queues.busyHeads(R, PreemptingModels))
      if (Now - Waiting->m_queued >= Patience)
        preemptFor(*Waiting, Out);
  }
}

bool DispatcherImpl::preemptFor(const QueuedRequest &Waiting, Decisions &Out) {
  std::size_t Count = m_router->replicas(Waiting.m_model);
  std::size_t Start =
      Count == 0
          ? 0
          : std::uniform_int_distribution<std::size_t>(0, Count - 1)(m_random);
  for (std::size_t I = 0; I < std::min(Count, PreemptedEndpoints); ++I) {
    EndpointId Id = m_router->replicaAt(Waiting.m_model, (Start + I) % Count);
    auto Batch = m_batchAt.find(Id);
    if (Batch == m_batchAt.end() || m_preempting.count(Id) > 0)
      continue;
    // The newest has the fewest tokens to compute again.
    for (auto It = Batch->second.rbegin(); It != Batch->second.rend(); ++It) {
      Running &Victim = m_running.find(*It)->second;
      auto Times = m_preempted.find(*It);
      if (Victim.m_preempting ||
          (Times != m_preempted.end() && Times->second >= PreemptionsMax))
        continue;
      Victim.m_preempting = true;
      m_preempting.insert(Id);
      rememberPreempted(*It);
      Out.m_preemptions.push_back({*It});
      return true;
    }
  }
  return false;
}

void DispatcherImpl::rememberPreempted(const std::string &Id) {
  if (m_preempted.size() >= PreemptedMax)
    m_preempted.clear();
  ++m_preempted[Id];
}

Decisions DispatcherImpl::poll(TimePoint Now) {
  Decisions Out;
  expire(Now);
  if (Now >= m_nextRecheck) {
    m_queues.recheck(Now);
    m_nextRecheck = Now + RecheckInterval;
  }
  place(Now, Out);
  preempt(Now, Out);
  Out.m_refusals = std::move(m_refusals);
  m_refusals.clear();
  return Out;
}

void DispatcherImpl::onFirstToken(const std::string &RequestId, TimePoint Now) {
  auto It = m_running.find(RequestId);
  if (It == m_running.end())
    return;
  RouteAttempt &Attempt = It->second.m_attempt;
  if (!Attempt.m_firstToken) {
    double Difference =
        toSeconds(Now - Attempt.m_started) - toSeconds(m_typicalFirstToken);
    m_typicalFirstToken += fromSeconds(LearnGain * Difference);
  }
  m_router->onFirstToken(Attempt, Now);
}

void DispatcherImpl::onFinished(const std::string &RequestId,
                                AttemptOutcome Outcome, const StreamEnd *End,
                                TimePoint Now) {
  auto It = m_running.find(RequestId);
  if (It == m_running.end())
    return;
  Running R = std::move(It->second);
  m_running.erase(It);
  EndpointId Id = R.m_attempt.m_endpoint;
  m_suspects.onEnded(R.m_fingerprint, m_router->name(Id));
  if (R.m_rank == Rank::Batch) {
    std::vector<std::string> &Batch = m_batchAt[Id];
    Batch.erase(std::remove(Batch.begin(), Batch.end(), RequestId),
                Batch.end());
    if (Batch.empty())
      m_batchAt.erase(Id);
  }
  if (R.m_preempting)
    m_preempting.erase(Id);
  m_router->onEnded(R.m_attempt, Outcome, End, Now);
  if (Outcome == AttemptOutcome::Completed) {
    m_retries.onCompleted();
    m_suspects.onCompleted(R.m_fingerprint);
    m_preempted.erase(RequestId);
  } else {
    // Only the part that was served counts towards the rank's share.
    double Unserved = 1 - toMillis(Now - R.m_attempt.m_started) /
                              std::max(1.0, m_router->holdMillis(Id));
    m_queues.shares().add(R.m_rank, -R.m_cost * std::max(0.0, Unserved), Now);
    if (Outcome == AttemptOutcome::EndpointDied) {
      m_suspects.strike(R.m_fingerprint, R.m_crash, Now);
      refuseSuspects(R.m_fingerprint, Now);
    }
  }
  unblockAt(Id);
}
} // namespace

Result<std::unique_ptr<Dispatcher>>
createDispatcher(DispatcherOptions Options) {
  if (Options.m_maxQueued == 0)
    return makeError(
        ErrorKind::InvalidArgument,
        "the queue holds no request; set m_maxQueued to 1 or more");
  RouterOptions Routing;
  Routing.m_region = Options.m_region;
  Routing.m_failureDomainDelay = Options.m_failureDomainDelay;
  Routing.m_regionDelay = Options.m_regionDelay;
  Routing.m_seed = Options.m_seed;
  Routing.m_parts = Options.m_routing;
  BOOST_OUTCOME_TRY(R, Router::create(std::move(Routing)));
  BOOST_OUTCOME_TRY(Retries, RetryBudget::create(Options.m_retryBudget));
  SuspectOptions Suspecting;
  Suspecting.m_strikes = Options.m_crashStrikes;
  Suspecting.m_refusal = Options.m_crashRefusal;
  BOOST_OUTCOME_TRY(Suspects, CrashSuspects::create(Suspecting));
  return std::unique_ptr<Dispatcher>(std::make_unique<DispatcherImpl>(
      std::move(Options), std::move(R), Retries, std::move(Suspects)));
}

} // namespace primroseworks
