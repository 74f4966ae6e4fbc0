// Requests in a run: from arrival through dispatch and engine to their end.
#include "primrose-bench/simulation_pvt.h"

namespace primroseworks::bench::pvt {

namespace {
constexpr double QueuePollInterval = 0.02;
constexpr unsigned MaxAttempts = 4;
constexpr unsigned BytesPerToken = 4;
constexpr unsigned BytesPerRequest = 500;
// Callers wait for the first token this many times the target, then give up.
constexpr double PatienceFactor = 2;
} // namespace

void Simulation::arrive(std::size_t Index) {
  const WorkItem &Item = m_work[Index];
  Live &L = m_live[Index];
  L.m_item = &Item;
  std::vector<std::size_t> Near;
  for (std::size_t D = 0; D < m_dispatchers.size(); ++D)
    if (m_deployment.m_daemonRegions[D] ==
        m_deployment.m_regions[Item.m_region])
      Near.push_back(D);
  L.m_daemon = Near[m_random() % Near.size()];
  Artifact Wanted{ArtifactKind::Model, m_deployment.m_models[Item.m_model],
                  "1"};
  if (!Item.m_adapter.empty())
    Wanted = {ArtifactKind::Adapter, Item.m_adapter, "1"};
  for (auto &Planner : m_planners)
    Planner->observeDemand(Wanted, m_deployment.m_regions[Item.m_region],
                           Item.m_promptTokens + Item.m_tokens, at(m_now),
                           Item.m_rank);
  const RankPolicy &Policy = m_deployment.m_catalog->rank(Item.m_rank);
  after(PatienceFactor * toSeconds(Policy.m_firstTokenTarget),
        [this, Index] { giveUp(Index); });
  submit(Index);
}

void Simulation::submit(std::size_t Index) {
  Live &L = m_live[Index];
  const WorkItem &Item = *L.m_item;
  const RankPolicy &Policy = m_deployment.m_catalog->rank(Item.m_rank);
  DispatchRequest Request;
  Request.m_id = std::to_string(Index);
  Request.m_caller = Item.m_caller;
  Request.m_model = m_deployment.m_models[Item.m_model];
  Request.m_version = "1";
  Request.m_adapter = Item.m_adapter;
  Request.m_rank = Item.m_rank;
  Request.m_prefixHashes = Item.m_prefixHashes;
  Request.m_promptTokens = Item.m_promptTokens + L.m_generated;
  Request.m_maxTokens = Item.m_tokens - L.m_generated;
  // A request that was cut off after its first token has no target left but
  // its token gap; it may wait as long as a new one of its rank.
  Request.m_deadline = at((L.m_firstToken < 0 ? Item.m_arrival : m_now) +
                          toSeconds(Policy.m_firstTokenTarget));
  Request.m_fingerprint = Index + 1;
  Request.m_retry = L.m_attempts > 0;
  Request.m_exclude = L.m_exclude;
  L.m_engine.reset();
  m_dispatchers[L.m_daemon]->submit(std::move(Request), at(m_now));
  poll(L.m_daemon);
}

void Simulation::pollLater(std::size_t Daemon) {
  if (m_pollPlanned[Daemon])
    return;
  std::size_t Queued = 0;
  for (const auto &Row : RankNames)
    Queued += m_dispatchers[Daemon]->queued(Row.m_value);
  if (Queued == 0)
    return;
  m_pollPlanned[Daemon] = true;
  after(QueuePollInterval, [this, Daemon] {
    m_pollPlanned[Daemon] = false;
    poll(Daemon);
  });
}

void Simulation::poll(std::size_t Daemon) {
  Decisions Now = m_dispatchers[Daemon]->poll(at(m_now));
  for (const Grant &G : Now.m_grants)
    grant(Daemon, G);
  for (const Refusal &R : Now.m_refusals) {
    Live &L = m_live[std::stoul(R.m_requestId)];
    L.m_over = true;
    L.m_refused = true;
    m_result.m_wastedTokens += L.m_generated;
  }
  for (const Preemption &P : Now.m_preemptions) {
    std::size_t Index = std::stoul(P.m_requestId);
    ++m_result.m_preemptions;
    if (m_live[Index].m_engine)
      after(delay(Daemon, *m_live[Index].m_engine),
            [this, Index] { preempt(Index); });
  }
  pollLater(Daemon);
}

void Simulation::grant(std::size_t Daemon, const Grant &G) {
  std::size_t Index = std::stoul(G.m_requestId);
  std::size_t E = engineIndex(G.m_endpoint);
  Live &L = m_live[Index];
  L.m_engine = E;
  ++L.m_attempts;
  if (m_deployment.m_engines[E].m_region !=
      m_deployment.m_daemonRegions[Daemon])
    m_result.m_billedBytes +=
        BytesPerRequest +
        BytesPerToken * (L.m_item->m_promptTokens + L.m_item->m_tokens);
  ++m_engines[E].m_sentSince[Daemon];
  after(delay(Daemon, E), [this, Index, E] { send(Index, E); });
}

void Simulation::send(std::size_t Index, std::size_t EngineIndex) {
  Live &L = m_live[Index];
  Engine &E = m_engines[EngineIndex];
  if (L.m_over || L.m_engine != EngineIndex)
    return;
  EngineJob Job;
  Job.m_id = std::to_string(Index);
  Job.m_model = {ArtifactKind::Model, m_deployment.m_models[L.m_item->m_model],
                 "1"};
  Job.m_adapter = L.m_item->m_adapter;
  Job.m_rank = L.m_item->m_rank;
  Job.m_prefixHashes = L.m_item->m_prefixHashes;
  Job.m_promptTokens = L.m_item->m_promptTokens + L.m_generated;
  Job.m_maxTokens = L.m_item->m_tokens - L.m_generated;
  if (E.m_dead || !E.m_fake->submit(std::move(Job))) {
    AttemptOutcome Outcome = AttemptOutcome::NotRun;
    after(delay(L.m_daemon, EngineIndex), [this, Index, EngineIndex, Outcome] {
      attemptFailed(Index, EngineIndex, Outcome);
    });
    return;
  }
  if (!E.m_fake->stepping())
    step(EngineIndex);
}

void Simulation::attemptFailed(std::size_t Index, std::size_t EngineIndex,
                               AttemptOutcome Outcome) {
  Live &L = m_live[Index];
  if (L.m_over || L.m_engine != EngineIndex)
    return;
  m_dispatchers[L.m_daemon]->onFinished(std::to_string(Index), Outcome, nullptr,
                                        at(m_now));
  L.m_exclude.push_back(m_deployment.m_engines[EngineIndex].m_name);
  if (L.m_attempts >= MaxAttempts) {
    L.m_over = true;
    L.m_refused = true;
    return;
  }
  submit(Index);
}

void Simulation::preempt(std::size_t Index) {
  Live &L = m_live[Index];
  if (L.m_over || !L.m_engine)
    return;
  std::size_t E = *L.m_engine;
  auto Job = m_engines[E].m_fake->cancel(std::to_string(Index));
  if (!Job)
    return; // It finished first.
  serve(*Job);
  m_result.m_wastedTokens += Job->m_prefilled - Job->m_cachedTokens;
  L.m_generated += Job->m_generated;
  m_dispatchers[L.m_daemon]->onFinished(Job->m_id, AttemptOutcome::Cancelled,
                                        nullptr, at(m_now));
  submit(Index);
}

void Simulation::giveUp(std::size_t Index) {
  Live &L = m_live[Index];
  if (L.m_over || L.m_firstToken >= 0)
    return;
  L.m_over = true;
  std::string Id = std::to_string(Index);
  if (!L.m_engine) {
    m_dispatchers[L.m_daemon]->withdraw(Id, at(m_now));
    return;
  }
  if (auto Job = m_engines[*L.m_engine].m_fake->cancel(Id)) {
    serve(*Job);
    m_result.m_wastedTokens +=
        Job->m_prefilled - Job->m_cachedTokens + Job->m_generated;
  }
  m_dispatchers[L.m_daemon]->onFinished(Id, AttemptOutcome::Cancelled, nullptr,
                                        at(m_now));
  poll(L.m_daemon);
}

void Simulation::step(std::size_t EngineIndex) {
  double Millis = m_engines[EngineIndex].m_fake->beginStep();
  if (Millis > 0)
    after(Millis / 1000, [this, EngineIndex] { finishStep(EngineIndex); });
}

void Simulation::finishStep(std::size_t EngineIndex) {
  Engine &E = m_engines[EngineIndex];
  if (E.m_dead)
    return;
  StepResult Result = E.m_fake->endStep();
  for (const std::string &Id : Result.m_firstTokens) {
    std::size_t Index = std::stoul(Id);
    after(delay(m_live[Index].m_daemon, EngineIndex),
          [this, Index, EngineIndex] { firstToken(Index, EngineIndex); });
  }
  for (EngineJob &Job : Result.m_finished) {
    std::size_t Index = std::stoul(Job.m_id);
    serve(Job);
    after(delay(m_live[Index].m_daemon, EngineIndex),
          [this, Index, Job = std::move(Job)] { done(Index, Job); });
  }
  step(EngineIndex);
}

// Counts the work that an engine did for an attempt.
void Simulation::serve(const EngineJob &Job) {
  if (measured(m_now))
    m_result.m_servedWork[static_cast<std::size_t>(Job.m_rank)] +=
        m_deployment.m_engine.cost(Job.m_prefilled - Job.m_cachedTokens,
                                   Job.m_generated, m_deployment.targetBatch());
}

void Simulation::firstToken(std::size_t Index, std::size_t EngineIndex) {
  Live &L = m_live[Index];
  if (L.m_over || L.m_engine != EngineIndex)
    return;
  if (L.m_firstToken < 0)
    L.m_firstToken = m_now;
  m_dispatchers[L.m_daemon]->onFirstToken(std::to_string(Index), at(m_now));
}

void Simulation::done(std::size_t Index, const EngineJob &Job) {
  Live &L = m_live[Index];
  if (L.m_over)
    return;
  L.m_over = true;
  L.m_completed = true;
  L.m_end = m_now;
  StreamEnd End;
  End.m_tokens = Job.m_generated;
  End.m_promptTokens = Job.m_promptTokens;
  End.m_cachedPromptTokens = Job.m_cachedTokens;
  m_dispatchers[L.m_daemon]->onFinished(Job.m_id, AttemptOutcome::Completed,
                                        &End, at(m_now));
  poll(L.m_daemon);
}

} // namespace primroseworks::bench::pvt
