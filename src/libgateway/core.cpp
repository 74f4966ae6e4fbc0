// Dispatch and retry operations on the shared gateway state.
#include "libgateway/core.h"
#include "libgateway/attempt.h"
#include "libgateway/log.h"
#include "libgateway/schedulerclient.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace primroseworks::gateway {

namespace {

/// Prompt parts for the log, in hexadecimal and separated by spaces.
std::string hexList(const std::vector<std::uint64_t> &Parts) {
  return fmt::format("{:x}", fmt::join(Parts, " "));
}

std::size_t budgetBytes(const Settings &Options) {
  const std::size_t Process = processMemoryLimit(Options.m_memoryBytes);
  return static_cast<std::size_t>(static_cast<double>(Process) *
                                  BudgetShareOfMemory);
}

} // namespace

Core::Core(asio::io_context &Io, Settings Options, const Dialect &Platform,
           CrashSuspects Suspects)
    : m_io(Io), m_settings(std::move(Options)), m_dialect(Platform),
      m_metrics(Metrics::create()),
      m_warmStart(
          WarmStart::create({m_settings.m_askPeers, m_settings.m_bootstrap})
              .value()),
      // parseSettings() has checked the limits.
      m_copyFreshness(
          CopyFreshness::create(m_settings.freshnessLimits()).value()),
      m_chooser(m_settings.m_failureDomain, m_settings.m_regions),
      m_memory(budgetBytes(m_settings)), m_pool(Io),
      m_suspects(std::move(Suspects)), m_endpointProbe(Io, m_pool),
      m_random(std::random_device{}()) {
  m_pool.limitMemory(m_memory);
  m_memory.setOnCut([this](const MemoryCut &Cut) { onMemoryCut(Cut); });
  if (m_settings.m_adaptivePace)
    m_endpoints.enablePacing([this](const PaceChange &C) { onPaceChange(C); });
}

/// Tells that a request or a response was cut, so that this process does not
/// exceed its memory.
void Core::onMemoryCut(const MemoryCut &Cut) {
  const std::string Kind(nameOf(MemoryKindNames, Cut.m_kind));
  m_metrics->count("memory_cut_" + Kind);
  decisionlog::line(LogClass::Failure, "memory_cut")
      .text("kind", Kind)
      .text("peer", Cut.m_peer)
      .number("bytes", static_cast<std::int64_t>(Cut.m_bytes))
      .number("held", static_cast<std::int64_t>(m_memory.held()))
      .number("limit", static_cast<std::int64_t>(m_memory.limit()));
}

/// Tells that an endpoint entered or left the limited state.
void Core::onPaceChange(const PaceChange &Change) {
  const std::string Cause(nameOf(PaceCauseNames, Change.m_cause));
  m_metrics->count(Change.m_limited ? "endpoint_limited_" + Cause
                                    : "endpoint_unlimited");
  decisionlog::line(LogClass::KnownState, Change.m_limited
                                              ? "endpoint_limited"
                                              : "endpoint_unlimited")
      .text("endpoint", Change.m_endpoint)
      .number("incarnation", static_cast<std::int64_t>(Change.m_incarnation))
      .text("cause", Cause)
      .number("limit", Change.m_limit)
      .number("slots", Change.m_slots)
      .real("floor_ms", Change.m_floorMs)
      .real("latency_ms", Change.m_latencyMs)
      .real("ratio", Change.m_ratio);
}

Choice Core::choose(const ChoiceQuery &Query, TimePoint Now) const {
  if (!m_configuration)
    return Choice();
  auto It = m_configuration->m_services.find(Query.m_service);
  if (It == m_configuration->m_services.end())
    return Choice();
  return m_chooser.choose(Query, m_endpoints, It->second, Now);
}

/// Tells that a request of a client account was refused on arrival.
void Core::logRefusal(const ChoiceQuery &Query, Duration ExpectedWait,
                      WaitRefusal Why) {
  const std::string Reason(nameOf(WaitRefusalNames, Why));
  m_metrics->count("wait_refused_" + Reason);
  if (Query.m_account.empty())
    return; // The line of the request itself tells all there is.
  decisionlog::line(LogClass::Failure, "wait_refused")
      .text("reason", Reason)
      .text("account", Query.m_account)
      .text("model", Query.m_model)
      .number("rank", Query.m_rank)
      .real("expected_wait_ms", toMillis(ExpectedWait))
      .number("account_waiting",
              static_cast<std::int64_t>(
                  m_queue.backlogs().requests(Query.m_account)))
      .number("waiting", static_cast<std::int64_t>(m_queue.size()));
}

/// Removes a request from the full queue, so that one of the account For can
/// wait.
void Core::evict(TicketId Victim, const std::string &For, TimePoint Now) {
  const Ticket T = *m_queue.find(Victim);
  const auto It = m_waiters.find(Victim);
  Waiter *W = It == m_waiters.end() ? nullptr : It->second;
  cancel(Victim);
  const Duration Wait =
      expectedWait(T.m_query, T.m_obstacle, T.m_onTimeUntil, Now);
  m_metrics->count("wait_queue_evicted");
  decisionlog::line(LogClass::Failure, "wait_evicted")
      .text("account", T.m_query.m_account)
      .text("for_account", For)
      .text("model", T.m_query.m_model)
      .number("rank", T.m_query.m_rank)
      .real("waited_ms", toMillis(Now - T.m_since))
      .real("expected_wait_ms", toMillis(Wait))
      .number("account_waiting",
              static_cast<std::int64_t>(
                  m_queue.backlogs().requests(T.m_query.m_account)));
  if (W)
    W->onEvicted(Wait);
}

Admission Core::admit(ChoiceQuery Query, const WaitLimits &Limits, Waiter &W,
                      TimePoint Now) {
  Admission Out;
  Out.m_obstacle = ChoiceObstacle::Full;
  std::optional<TimePoint> PausedUntil;
  if (m_queue.empty() || m_endpoints.anyPause(Now)) {
    const Choice C = choose(Query, Now);
    if (m_queue.empty() || C.m_obstacle == ChoiceObstacle::Paused) {
      Out.m_obstacle = C.m_obstacle;
      PausedUntil = C.m_pausedUntil;
    }
    if (Out.m_obstacle == ChoiceObstacle::None) {
      m_queue.onDispatchedAtOnce(Query, Now);
      W.onDispatched(C, Now);
      return Out;
    }
  }
  Out.m_rejected = true;
  if (Out.m_obstacle == ChoiceObstacle::Excluded) {
    if (!Query.m_mayRevisit) {
      Out.m_expectedWait = PausedUntil ? *PausedUntil - Now : Duration::zero();
      return Out;
    }
    Query.m_excluded.clear();
  }
  Out.m_expectedWait = PausedUntil ? *PausedUntil - Now
                                   : expectedWait(Query, Out.m_obstacle,
                                                  Limits.m_onTimeUntil, Now);
  if (Out.m_expectedWait > Limits.m_maxWait ||
      Limits.m_maxWait <= Duration::zero()) {
    // Without time to wait, the caller only asked for a free endpoint.
    if (Limits.m_maxWait > Duration::zero())
      logRefusal(Query, Out.m_expectedWait, WaitRefusal::TooLong);
    return Out;
  }
  const std::string Account = Query.m_account;
  if (const auto Victim = m_queue.victimFor(Account))
    evict(*Victim, Account, Now);
  if (m_queue.size() >= MaxWaitQueueSize)
    logRefusal(Query, Out.m_expectedWait, WaitRefusal::QueueFull);
  const bool AtPaceLimit = fullByPaceLimit(Query, Now);
  Out.m_ticket =
      m_queue.add(std::move(Query), Out.m_obstacle, Limits.m_onTimeUntil, Now);
  if (Out.m_ticket == 0) {
    m_metrics->count("wait_queue_full");
    return Out;
  }
  Out.m_rejected = false;
  try {
    m_waiters[Out.m_ticket] = &W;
    if (m_queue.size() > 1)
      dispatchWaiting(Now);
  } catch (...) { // W does not know its ticket yet.
    cancel(Out.m_ticket);
    throw;
  }
  if (!m_waiters.count(Out.m_ticket)) {
    Out.m_ticket = 0;
    Out.m_obstacle = ChoiceObstacle::None;
  } else if (AtPaceLimit) {
    m_metrics->count("waited_for_endpoint_limit");
  }
  return Out;
}

/// Whether an endpoint with capacity for the request is left out because of its
/// adaptive limit, and no other one is available.
bool Core::fullByPaceLimit(const ChoiceQuery &Query, TimePoint Now) const {
  if (!m_endpoints.pacingEnabled())
    return false;
  const Choice C = choose(Query, Now);
  return C.m_obstacle == ChoiceObstacle::Full && C.m_limited;
}

ChoiceObstacle Core::cancel(TicketId Ticket) {
  const struct Ticket *Waiting = m_queue.find(Ticket);
  const ChoiceObstacle Obstacle =
      Waiting ? Waiting->m_obstacle : ChoiceObstacle::Full;
  m_queue.remove(Ticket);
  m_waiters.erase(Ticket);
  return Obstacle;
}

Duration Core::expectedWait(const ChoiceQuery &Query, ChoiceObstacle Obstacle,
                            TimePoint OnTimeUntil, TimePoint Now) const {
  if (Obstacle == ChoiceObstacle::NoModel && m_configuration) {
    const auto Target = m_configuration->m_services.find(Query.m_service);
    if (Target != m_configuration->m_services.end() &&
        Target->second.m_engine) {
      const auto &Models = Target->second.m_engine->m_models;
      const auto Model = Models.find(Query.m_model);
      if (Model != Models.end())
        return Model->second.m_loadTime;
    }
  }
  return m_queue.expectedWait(Query, OnTimeUntil, Now)
      .value_or(Duration::zero());
}

void Core::dispatchWaiting(TimePoint Now) {
  if (m_queue.empty())
    return;
  m_queue.dispatch(
      [this, Now](const ChoiceQuery &Query) { return choose(Query, Now); },
      [this, Now](const Grant &G) {
        auto It = m_waiters.find(G.m_ticket);
        if (It == m_waiters.end())
          return;
        Waiter *W = It->second;
        m_waiters.erase(It);
        W->onDispatched(G.m_choice, Now);
      },
      Now);
}

void Core::release(const std::string &Endpoint, const ChoiceQuery &Query,
                   PlacedBy By, bool PrefillDone, TimePoint Now) {
  m_endpoints.onEnded(Endpoint, Query.m_size, PrefillDone, By);
  m_demand.onEnded(Query.m_model, Query.m_adapter);
  // After the first event, the next regular report is early enough; peers that
  // all hear of a free slot at once would all take it.
  if (By == PlacedBy::Local && !PrefillDone)
    notifyLoadChanged(Endpoint);
  dispatchWaiting(Now);
}

void Core::onNotice(const std::string &Id, const EndpointNotice &Notice,
                    NoticeSource Source, TimePoint Now) {
  if (!m_endpoints.onNotice(Id, Notice))
    return;
  const Duration Pause = std::max(Duration::zero(), Notice.m_pausedUntil - Now);
  m_metrics->count(Notice.m_leaving ? "endpoint_leaving" : "endpoint_paused");
  decisionlog::line(LogClass::KnownState, "endpoint_notice")
      .text("endpoint", Id)
      .number("incarnation", static_cast<std::int64_t>(Notice.m_incarnation))
      .number("leaving", Notice.m_leaving ? 1 : 0)
      .real("pause_ms", toMillis(Pause))
      .text("source", nameOf(NoticeSourceNames, Source));
  if (Notice.m_leaving && m_onAdapterWanted)
    m_onAdapterWanted(); // Its models may be needed elsewhere.
}

void Core::onResponse(const std::string &Id, std::uint64_t Incarnation,
                      const HttpHead &Head, TimePoint Now) {
  const std::optional<EndpointNotice> Notice =
      noticeIn(Head, m_dialect.responseMetadata(Head), Id, Incarnation, Now);
  if (Notice)
    onNotice(Id, *Notice, NoticeSource::Response, Now);
}

void Core::onConnectionRefused(const std::string &Id, TimePoint Now) {
  m_metrics->count("endpoint_connection_refused");
  const std::optional<EndpointNotice> Notice =
      m_endpoints.onConnectionRefused(Id, Now);
  if (Notice)
    onNotice(Id, *Notice, NoticeSource::Connection, Now);
}

/// Counts an end against the requests whose attempts it broke off.
void Core::strike(const FoundEnd &End, EndEvidence Evidence, TimePoint Now) {
  const EndpointIncarnation &Which = End.m_incarnation;
  const std::uint64_t Crash =
      CrashSuspects::crashId(Which.m_endpoint, Which.m_incarnation + 1);
  m_metrics->count(std::string("endpoint_end_") +
                   std::string(nameOf(EndEvidenceNames, Evidence)));
  for (const BrokenRequest &Broken : End.m_requests) {
    const std::uint64_t Fingerprint = Broken.m_fingerprint;
    const unsigned Strikes = m_suspects.strike(Fingerprint, Crash, Now);
    strikeParts(End, Broken, Crash, Now);
    m_metrics->count("crash_strike");
    decisionlog::line(LogClass::Failure, "crash_strike")
        .hex("fingerprint", Fingerprint)
        .text("endpoint", Which.m_endpoint)
        .number("incarnation", static_cast<std::int64_t>(Which.m_incarnation))
        .text("evidence", nameOf(EndEvidenceNames, Evidence))
        .text("parts", hexList(Broken.m_parts))
        .real("age_ms", toMillis(Now - Broken.m_at))
        .number("strikes", Strikes)
        .number("suspicion", m_suspects.suspicion(Fingerprint, Now))
        .number("refused", m_suspects.refused(Fingerprint, Now) ? 1 : 0);
    if (m_suspects.refused(Fingerprint, Now))
      notifyRefusal(Now);
  }
  if (m_onStrike)
    m_onStrike();
}

/// Counts an end against the parts of a request's prompt.
void Core::strikeParts(const FoundEnd &End, const BrokenRequest &Request,
                       std::uint64_t Crash, TimePoint Now) {
  PartSuspects &Parts = m_suspects.parts();
  for (const std::uint64_t Part : Request.m_parts) {
    if (!Parts.strike({Part, Crash, Request.m_fingerprint, Request.m_at},
                      Now)) {
      m_metrics->count("part_strike_refuted");
      continue;
    }
    const bool Refused = Parts.refused(Part, Now);
    m_metrics->count("part_strike");
    decisionlog::line(LogClass::Failure, "part_strike")
        .hex("part", Part)
        .text("endpoint", End.m_incarnation.m_endpoint)
        .number("incarnation",
                static_cast<std::int64_t>(End.m_incarnation.m_incarnation))
        .hex("fingerprint", Request.m_fingerprint)
        .real("age_ms", toMillis(Now - Request.m_at))
        .number("ends", Parts.ends(Part))
        .number("refused", Refused ? 1 : 0);
    if (Refused)
      notifyRefusal(Now);
  }
}

void Core::onAnswered(const std::vector<std::uint64_t> &Parts, TimePoint Now) {
  const std::vector<std::uint64_t> Cleared =
      m_suspects.parts().onAnswered(Parts, Now);
  for (const std::uint64_t Part : Cleared) {
    m_metrics->count("part_cleared");
    decisionlog::line(LogClass::Failure, "part_cleared")
        .hex("part", Part)
        .text("by", "answer");
  }
  if (!Cleared.empty() && m_onStrike)
    m_onStrike();
}

asio::awaitable<EndpointFate> Core::onBroken(BrokenRequest Request,
                                             EndpointIncarnation Which,
                                             std::string Address) {
  const Endpoint *E = m_endpoints.find(Which.m_endpoint);
  // An endpoint that leaves ends as planned, and so does one whose record was
  // removed before it ended.
  if (!E || (E->m_record.m_incarnation == Which.m_incarnation && E->leaving()))
    co_return EndpointFate::Unknown;
  if (m_brokenAttempts.onBroken(Request, Which, Address)) {
    strike({Which, {std::move(Request)}}, EndEvidence::Refused, clockNow());
    co_return EndpointFate::Ended;
  }
  if (E->m_record.m_incarnation > Which.m_incarnation) {
    for (const FoundEnd &End :
         m_brokenAttempts.onRecord(E->m_record, clockNow()))
      strike(End, EndEvidence::Replaced, clockNow());
    co_return EndpointFate::Ended;
  }
  const std::string Key = Which.m_endpoint + '@' + Address;
  const ConnectOutcome Outcome =
      co_await m_endpointProbe.ask(Key, Address, EndpointUnresponsiveTimeout);
  if (Outcome != ConnectOutcome::Refused)
    co_return Outcome == ConnectOutcome::Accepted ? EndpointFate::Lives
                                                  : EndpointFate::Unknown;
  onConnectionRefused(Which.m_endpoint, clockNow());
  const FoundEnd End = m_brokenAttempts.onRefused(Which, clockNow());
  if (!End.m_requests.empty())
    strike(End, EndEvidence::Refused, clockNow());
  co_return EndpointFate::Ended;
}

asio::awaitable<void> Core::onEndedByClose(BrokenRequest Request,
                                           std::vector<std::uint64_t> Parts,
                                           EndpointIncarnation Which,
                                           std::string Address) {
  const std::uint64_t Fingerprint = Request.m_fingerprint;
  const EndpointFate Fate = co_await onBroken(
      std::move(Request), std::move(Which), std::move(Address));
  m_metrics->count("response_ended_by_close");
  if (Fate != EndpointFate::Lives)
    co_return;
  m_suspects.onCompleted(Fingerprint);
  onAnswered(Parts, clockNow());
}

void Core::notifyRefusal(TimePoint Now) {
  for (RefusalListener *Listener : m_refusalListeners)
    Listener->onSuspectRefused(Now);
}

void Core::dropRefutedStrikes(TimePoint Now) {
  if (m_suspects.size() == 0)
    return;
  for (const auto &[Id, E] : m_endpoints.all())
    if (!E.m_keptUntil)
      m_suspects.onAlive(
          CrashSuspects::crashId(Id, E.m_record.m_incarnation + 1),
          Now - EndConfirmationPeriod);
}

void Core::onRecord(const EndpointRecord &Record, TimePoint Now) {
  m_endpoints.onRecord(Record, Now);
  for (const FoundEnd &End : m_brokenAttempts.onRecord(Record, Now))
    strike(End, EndEvidence::Replaced, Now);
}

void Core::rejectWaiting() {
  m_rejectingWaiting = true;
  std::vector<Waiter *> Waiters;
  for (const auto &[Id, W] : m_waiters)
    Waiters.push_back(W);
  for (Waiter *W : Waiters)
    W->onRejected();
  if (m_schedulerClient)
    m_schedulerClient->endAll();
}

RetryWindow &Core::retries(const std::string &Service) {
  const auto [It, New] = m_retries.try_emplace(Service, m_settings.m_retries);
  if (New)
    startRetries(Service, It->second);
  return It->second;
}

/// Retries that the former process may have made count for one window from the
/// question on, since an answer is the use at that time.
void Core::startRetries(const std::string &Service, RetryWindow &Window) const {
  if (m_warmStart.state() != WarmStartState::Off)
    Window.setInitialUse(m_warmStart.retryUse(Service),
                         std::max(m_startedAt, m_warmStart.askedAt()));
}

void Core::onStartChanged() {
  for (auto &[Service, Window] : m_retries)
    startRetries(Service, Window);
}

std::optional<Duration> Core::configurationAge() const {
  if (m_configuration && m_configuration->m_accounts)
    return m_copyFreshness.age(bootNow());
  if (!m_endpointsKnown)
    return std::nullopt;
  return clockNow() - m_copyConfirmedAt;
}

bool Core::configurationMayMissChanges() {
  if (m_configuration && m_configuration->m_accounts)
    return m_copyFreshness.mayMissChanges(bootNow());
  if (m_copyFreshness.changesMissing())
    return true;
  const std::optional<Duration> Age = configurationAge();
  return !Age || *Age > m_settings.m_configurationLimit - FreshnessMargin;
}

} // namespace primroseworks::gateway
