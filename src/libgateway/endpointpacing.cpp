// Limits of the registered endpoints.
#include "libgateway/endpointpacing.h"
#include "libgateway/endpoints.h"

#include <algorithm>

namespace primroseworks::gateway {

namespace {

PaceChange describe(const Endpoint &E, PaceCause Cause) {
  PaceChange Out;
  Out.m_endpoint = E.m_record.m_id;
  Out.m_incarnation = E.m_record.m_incarnation;
  Out.m_cause = Cause;
  Out.m_limited = E.m_pace->limited();
  Out.m_limit = E.m_pace->limit();
  Out.m_slots = E.m_pace->slots();
  Out.m_floorMs = E.m_pace->floorMs();
  Out.m_latencyMs = E.m_pace->latencyMs();
  Out.m_ratio = E.m_pace->ratio();
  return Out;
}

PaceLoad paceLoad(const Endpoint &E) {
  return {E.load().m_requests, E.m_localLoad.m_requests};
}

} // namespace

template <class F> void EndpointPacing::update(Endpoint &E, F Update) {
  if (!E.m_pace)
    return;
  const PaceCause Before = E.m_pace->cause();
  Update(*E.m_pace);
  const PaceCause After = E.m_pace->cause();
  if (m_changed && (Before == PaceCause::None) != (After == PaceCause::None))
    m_changed(describe(E, After == PaceCause::None ? Before : After));
}

void EndpointPacing::onRecord(Endpoint &E, bool IsNew, TimePoint Now) {
  if (!m_enabled)
    return;
  const EndpointRecord &Record = E.m_record;
  if (E.m_pace && !IsNew) {
    update(E, [&](EndpointPace &P) { P.setSlots(Record.m_slots); });
    return;
  }
  const auto Former = m_removed.find(Record.m_id);
  if (Former != m_removed.end() &&
      Former->second.m_incarnation == Record.m_incarnation) {
    E.m_pace = std::move(Former->second.m_pace);
    m_removed.erase(Former);
    E.m_pace->setSlots(Record.m_slots);
    return;
  }
  E.m_pace = EndpointPace::create(m_watching ? PaceOrigin::Appeared
                                             : PaceOrigin::FirstList,
                                  Record.m_slots, Now);
  if (m_changed && E.m_pace->limited())
    m_changed(describe(E, E.m_pace->cause()));
}

void EndpointPacing::onRemoved(const Endpoint &E, TimePoint Now) {
  if (E.m_pace)
    m_removed[E.m_record.m_id] = {E.m_record.m_incarnation, *E.m_pace, Now};
}

void EndpointPacing::onAnswer(Endpoint &E, const AnswerSample &Answer,
                              TimePoint Now) {
  // The work of a prompt without a stated length is unknown.
  if (!E.m_pace || (Answer.m_tokens == 0 && !Answer.m_model.empty()))
    return;
  const PaceLoad Load = paceLoad(E);
  PaceSample Sample{
      Answer.m_model,
      std::clamp<Duration>(Answer.m_latency, Duration(0), MaxSampleLatency),
      static_cast<double>(Answer.m_tokens)};
  // A plain service beyond its slots queues; its answers take longer by that.
  if (Answer.m_tokens == 0)
    Sample.m_work = std::max(1.0, static_cast<double>(Load.m_total) /
                                      std::max(1U, E.m_pace->slots()));
  LatencyFloor &Floor = m_serviceFloors[{E.m_record.m_service, Answer.m_model}];
  if (!E.m_pace->limited())
    Floor.add(Sample.m_latency, Sample.m_work, Now);
  const PaceService Service{Floor.floorMs(), mostLimited(E.m_record.m_service)};
  update(E, [&](EndpointPace &P) { P.onSample(Sample, Service, Load, Now); });
}

void EndpointPacing::onGood(Endpoint &E, TimePoint Now) {
  update(E, [&](EndpointPace &P) { P.onGood(Now); });
}

void EndpointPacing::onTrouble(Endpoint &E, PaceTrouble Trouble,
                               TimePoint Now) {
  update(E, [&](EndpointPace &P) { P.onTrouble(Trouble, Now); });
}

void EndpointPacing::onTick(Endpoint &E, TimePoint Now) {
  if (!E.m_pace)
    return;
  update(E, [&](EndpointPace &P) { P.onTick(paceLoad(E), Now); });
  forgetSlowness(E, Now);
  ServiceCount &Count = m_counting[E.m_record.m_service];
  ++Count.m_endpoints;
  Count.m_limited += E.m_pace->limited() ? 1 : 0;
}

/// The chooser passes over an endpoint whose last answers were slow while
/// others have capacity, so no answer would ever show that it is fast again.
/// (With 8 model engines at 3 requests/s each, one that was slow for the first
/// 2 s got no request in the 17 s after that.) Its limit bounds what a wrong
/// try costs.
void EndpointPacing::forgetSlowness(Endpoint &E, TimePoint Now) const {
  const bool WasSlow = E.m_pace->limited() || E.m_pace->ratio() > PaceGrowRatio;
  if (!WasSlow || E.load().m_requests > 0 ||
      Now - E.m_pace->lastSampleAt() < SlowEndpointRetry)
    return;
  E.m_firstByteMs = 0;
  E.m_intervalMs = 0;
  E.m_stallShare = 0;
}

bool EndpointPacing::mostLimited(const std::string &Service) const {
  const auto It = m_counts.find(Service);
  return It != m_counts.end() &&
         2 * It->second.m_limited > It->second.m_endpoints;
}

void EndpointPacing::beginTick(TimePoint Now) {
  m_counts.swap(m_counting);
  m_counting.clear();
  for (auto It = m_removed.begin(); It != m_removed.end();)
    It = Now - It->second.m_at > RemovedPaceLifetime ? m_removed.erase(It)
                                                     : std::next(It);
}

} // namespace primroseworks::gateway
