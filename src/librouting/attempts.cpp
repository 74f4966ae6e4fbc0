// Router: what attempts teach about endpoints.
#include "librouting/router_pvt.h"

#include <algorithm>
#include <cmath>

namespace primroseworks {

namespace {
/// Failures closer than this count once: one broken endpoint fails all its
/// streams together.
constexpr Milliseconds FailureWindow{200};
/// Weight after a death, equal to four failures.
constexpr double DeadWeight = 1.0 / 16;
/// A refusal hides the model at the endpoint until a report shows it again.
constexpr Milliseconds RefusalPause{500};
constexpr std::size_t FreedMax = 8;
constexpr double LearnGain = 0.1;
} // namespace

RouteAttempt Router::start(const RouteQuery &Query, const RouteChoice &Choice,
                           TimePoint Now) {
  EndpointRecord &E = m_endpoints[Choice.m_endpoint];
  RouteAttempt A;
  A.m_endpoint = Choice.m_endpoint;
  A.m_model = Query.m_model;
  A.m_adapter = Query.m_adapter;
  A.m_promptTokens = Query.m_promptTokens;
  A.m_cachedTokens = std::min(Choice.m_cachedTokens, Query.m_promptTokens);
  A.m_predictedMillis = Choice.m_firstTokenMillis;
  A.m_started = Now;
  if (Query.m_prefixHashes)
    A.m_prefixHashes = *Query.m_prefixHashes;
  E.m_load.onSent(A.m_promptTokens - A.m_cachedTokens, Now);
  if (A.m_adapter != 0 && std::find(E.m_adapters.begin(), E.m_adapters.end(),
                                    A.m_adapter) == E.m_adapters.end())
    E.m_adapters.push_back(A.m_adapter);
  if (Choice.m_probe)
    E.m_nextProbe =
        Now + fromSeconds(toSeconds(ProbeInterval) * (0.5 + unitRandom()));
  return A;
}

void Router::onFirstToken(RouteAttempt &Attempt, TimePoint Now) {
  if (Attempt.m_firstToken)
    return;
  Attempt.m_firstToken = true;
  EndpointRecord &E = m_endpoints[Attempt.m_endpoint];
  E.m_load.onFirstToken(Attempt.m_promptTokens - Attempt.m_cachedTokens);
  if (Attempt.m_predictedMillis > 0) {
    double Observed =
        toMillis(Now - Attempt.m_started) / Attempt.m_predictedMillis;
    double Next = E.m_latencyRatio * std::clamp(Observed, 0.25, 4.0);
    E.m_latencyRatio = std::clamp(
        E.m_latencyRatio + LearnGain * (Next - E.m_latencyRatio), 0.5, 3.0);
  }
  // What it just prefilled is in its cache.
  std::size_t Count = Attempt.m_prefixHashes.size();
  std::size_t Step = (Count + pvt::PrefixProbes - 1) / pvt::PrefixProbes;
  for (std::size_t I = Count; I > 0; I -= std::min(I, Step))
    m_prefixes.add(
        Attempt.m_endpoint,
        pvt::prefixKey(Attempt.m_model, Attempt.m_prefixHashes[I - 1]), 0.9,
        Now);
}

void Router::fail(EndpointId Id, bool Died, TimePoint Now) {
  EndpointRecord &E = m_endpoints[Id];
  if (Died)
    m_prefixes.forget(Id);
  bool Counted =
      E.m_lastFailure != TimePoint{} && Now - E.m_lastFailure < FailureWindow;
  double Next = Counted ? E.m_weight : E.m_weight / 2;
  if (Died)
    Next = std::min(Next, DeadWeight);
  // A floor lets a few successful probes bring it back.
  E.m_weight = std::max(Next, 1.0 / 64);
  if (!Counted) {
    E.m_lastFailure = Now;
    E.m_nextProbe =
        Now + fromSeconds(toSeconds(ProbeInterval) * (0.5 + unitRandom()));
  }
  markChanged(E);
}

void Router::onEnded(const RouteAttempt &Attempt, AttemptOutcome Outcome,
                     const StreamEnd *End, TimePoint Now) {
  EndpointRecord &E = m_endpoints[Attempt.m_endpoint];
  E.m_load.onEnded(Attempt.m_promptTokens - Attempt.m_cachedTokens,
                   Attempt.m_firstToken, Now);
  for (ModelId Model : E.m_models) {
    std::vector<EndpointId> &Freed = m_models[Model].m_freed;
    if (Freed.size() >= FreedMax)
      Freed.erase(Freed.begin());
    Freed.push_back(Attempt.m_endpoint);
  }
  switch (Outcome) {
  case AttemptOutcome::Completed: {
    double Held = toMillis(Now - Attempt.m_started);
    E.m_holdMillis +=
        (E.m_holdMillis > 0 ? LearnGain : 1) * (Held - E.m_holdMillis);
    if (E.m_weight < 1) {
      E.m_weight = std::min(1.0, E.m_weight * 2);
      markChanged(E);
    }
    if (End && Attempt.m_cachedTokens > 0 && !Attempt.m_prefixHashes.empty()) {
      double Block = static_cast<double>(Attempt.m_promptTokens) /
                     static_cast<double>(Attempt.m_prefixHashes.size());
      auto Predicted = static_cast<std::size_t>(
          std::ceil(Attempt.m_cachedTokens / std::max(1.0, Block)));
      std::size_t I =
          std::clamp<std::size_t>(Predicted, 1, Attempt.m_prefixHashes.size());
      m_prefixes.observe(
          Attempt.m_endpoint,
          pvt::prefixKey(Attempt.m_model, Attempt.m_prefixHashes[I - 1]),
          End->m_cachedPromptTokens + Block >= Attempt.m_cachedTokens, Now);
    }
    break;
  }
  case AttemptOutcome::NotRun:
    fail(Attempt.m_endpoint, false, Now);
    E.m_refusals.emplace_back(Attempt.m_model, Now + RefusalPause);
    break;
  case AttemptOutcome::Failed:
    fail(Attempt.m_endpoint, false, Now);
    break;
  case AttemptOutcome::EndpointDied:
    fail(Attempt.m_endpoint, true, Now);
    break;
  case AttemptOutcome::Cancelled:
    break;
  }
}

} // namespace primroseworks
