// Known state of the endpoints.
#include "libgateway/endpoints.h"

#include <algorithm>

namespace primroseworks::gateway {

const HeldModel *Endpoint::held(const std::string &Model) const {
  for (const HeldModel &M : m_held)
    if (M.m_name == Model)
      return &M;
  return nullptr;
}

bool Endpoint::holds(const std::string &Model,
                     const std::string &Adapter) const {
  const HeldModel *M = held(Model);
  return M && (Adapter.empty() || M->m_adapters.count(Adapter) > 0);
}

EndpointLoad &EndpointLoad::operator+=(const EndpointLoad &O) {
  m_requests += O.m_requests;
  m_kvTokens += O.m_kvTokens;
  m_pendingPrefillTokens += O.m_pendingPrefillTokens;
  return *this;
}

EndpointLoad EndpointLoad::without(const EndpointLoad &Part) const {
  EndpointLoad Out;
  Out.m_requests = m_requests - std::min(m_requests, Part.m_requests);
  Out.m_kvTokens = m_kvTokens - std::min(m_kvTokens, Part.m_kvTokens);
  Out.m_pendingPrefillTokens =
      m_pendingPrefillTokens -
      std::min(m_pendingPrefillTokens, Part.m_pendingPrefillTokens);
  return Out;
}

EndpointLoad Endpoint::load() const {
  EndpointLoad Sum = m_localLoad;
  Sum += m_peerLoadSum;
  return Sum;
}

void Endpoint::setPeerLoad(const std::string &Peer, EndpointLoad Load,
                           TimePoint Until) {
  erasePeerLoad(Peer);
  m_peerLoads[Peer] = PeerLoad{Load, Until};
  m_peerLoadSum += Load;
}

void Endpoint::erasePeerLoad(const std::string &Peer) {
  const auto It = m_peerLoads.find(Peer);
  if (It == m_peerLoads.end())
    return;
  m_peerLoadSum = m_peerLoadSum.without(It->second.m_load);
  m_peerLoads.erase(It);
}

const std::vector<const Endpoint *> &
EndpointTable::holders(const std::string &Service,
                       const std::string &Model) const {
  static const std::vector<const Endpoint *> None;
  if (!m_holdersValid) {
    m_holders.clear();
    for (const auto &[Id, E] : m_endpoints) {
      m_holders[{E.m_record.m_service, ""}].push_back(&E);
      for (const HeldModel &M : E.m_held)
        m_holders[{E.m_record.m_service, M.m_name}].push_back(&E);
    }
    m_holdersValid = true;
  }
  const auto It = m_holders.find({Service, Model});
  return It == m_holders.end() ? None : It->second;
}

Endpoint *EndpointTable::find(const std::string &Id) {
  auto It = m_endpoints.find(Id);
  return It == m_endpoints.end() ? nullptr : &It->second;
}

void EndpointTable::onRecord(const EndpointRecord &Record, TimePoint Now) {
  m_holdersValid = false;
  Endpoint &E = m_endpoints[Record.m_id];
  const bool IsNew = E.m_record.m_id.empty() ||
                     E.m_record.m_incarnation != Record.m_incarnation ||
                     E.m_record.m_address != Record.m_address;
  if (IsNew) {
    const EndpointLoad LocalLoad = E.m_localLoad;
    const EndpointLoad CoordinatedLoad = E.m_coordinatedLoad;
    E = Endpoint();
    E.m_localLoad = LocalLoad;
    E.m_coordinatedLoad = CoordinatedLoad;
  }
  E.m_record = Record;
  E.m_notice = m_notices.find(Record.m_id, Record.m_incarnation);
  E.m_keptUntil.reset();
  if (IsNew ||
      (!E.m_controlledHere && Now - E.m_lastOrderTime > OrderSettleTime))
    E.m_held = Record.m_models;
  m_pacing.onRecord(E, IsNew, Now);
}

void EndpointTable::onRemoved(const std::string &Id, TimePoint KeepUntil,
                              TimePoint Now) {
  auto It = m_endpoints.find(Id);
  if (It == m_endpoints.end())
    return;
  m_holdersValid = false;
  if (KeepUntil <= Now) {
    m_pacing.onRemoved(It->second, Now);
    erase(It);
  } else if (!It->second.m_keptUntil)
    It->second.m_keptUntil = KeepUntil;
}

void EndpointTable::onList(const std::vector<EndpointRecord> &Records,
                           TimePoint KeepUntil, TimePoint Now) {
  std::set<std::string> Listed;
  for (const EndpointRecord &R : Records) {
    Listed.insert(R.m_id);
    onRecord(R, Now);
  }
  std::vector<std::string> Missing;
  for (const auto &[Id, E] : m_endpoints)
    if (!Listed.count(Id))
      Missing.push_back(Id);
  for (const std::string &Id : Missing)
    onRemoved(Id, KeepUntil, Now);
}

bool EndpointTable::maySend(const std::string &Id, TimePoint Now) const {
  const auto It = m_endpoints.find(Id);
  return It != m_endpoints.end() && It->second.acceptsRequests(Now);
}

bool EndpointTable::onNotice(const std::string &Id,
                             const EndpointNotice &Notice) {
  const bool IsNew = m_notices.add(Id, Notice);
  if (Endpoint *E = find(Id))
    E->m_notice = m_notices.find(Id, E->m_record.m_incarnation);
  return IsNew;
}

void EndpointTable::expire(TimePoint Now) {
  m_notices.expire(
      [this](const std::string &Id) { return m_endpoints.count(Id) > 0; }, Now);
  m_pacing.beginTick(Now);
  for (auto It = m_endpoints.begin(); It != m_endpoints.end();) {
    Endpoint &E = It->second;
    if (E.m_keptUntil && *E.m_keptUntil <= Now) {
      m_pacing.onRemoved(E, Now);
      It = erase(It);
      continue;
    }
    std::vector<std::string> Expired;
    for (const auto &[Name, Peer] : E.m_peerLoads)
      if (Peer.m_expires < Now)
        Expired.push_back(Name);
    for (const std::string &Name : Expired)
      E.erasePeerLoad(Name);
    for (auto R = E.m_rejectedArtifacts.begin();
         R != E.m_rejectedArtifacts.end();)
      R = R->second <= Now ? E.m_rejectedArtifacts.erase(R) : std::next(R);
    m_pacing.onTick(E, Now);
    ++It;
  }
}

void EndpointTable::onPeerLoad(const std::string &Peer, const std::string &Id,
                               EndpointLoad Load, TimePoint Until) {
  if (Endpoint *E = find(Id))
    E->setPeerLoad(Peer, Load, Until);
}

void EndpointTable::removePeerLoads(const std::string &Peer) {
  for (auto &[Id, E] : m_endpoints)
    E.erasePeerLoad(Peer);
}

void EndpointTable::removeAllPeerLoads() {
  for (auto &[Id, E] : m_endpoints) {
    E.m_peerLoads.clear();
    E.m_peerLoadSum = EndpointLoad();
  }
}

void EndpointTable::onHeld(const std::string &Id, std::uint64_t Incarnation,
                           std::uint64_t Orders,
                           const std::vector<HeldModel> &Held, TimePoint Now) {
  Endpoint *E = find(Id);
  if (!E || E->m_record.m_incarnation != Incarnation)
    return;
  E->m_held = Held;
  m_holdersValid = false;
  E->m_orders = Orders;
  E->m_lastOrderTime = Now;
}

void EndpointTable::onAnnouncedHoldings(const std::string &Id,
                                        std::uint64_t Incarnation,
                                        std::uint64_t Orders,
                                        const std::vector<HeldModel> &Held,
                                        TimePoint Now) {
  const Endpoint *E = find(Id);
  if (E && !E->m_controlledHere && Orders >= E->m_orders.value_or(0))
    onHeld(Id, Incarnation, Orders, Held, Now);
}

void EndpointTable::onSent(const std::string &Id, RequestSize Size,
                           PlacedBy By) {
  Endpoint *E = find(Id);
  if (!E)
    return;
  const EndpointLoad Added{1, Size.m_kvTokens, Size.m_promptTokens};
  E->m_localLoad += Added;
  if (By == PlacedBy::Coordinator)
    E->m_coordinatedLoad += Added;
}

void EndpointTable::onPrefillDone(const std::string &Id, RequestSize Size,
                                  PlacedBy By) {
  Endpoint *E = find(Id);
  if (!E)
    return;
  const EndpointLoad Done{0, 0, Size.m_promptTokens};
  E->m_localLoad -= Done;
  if (By == PlacedBy::Coordinator)
    E->m_coordinatedLoad -= Done;
}

void EndpointTable::onEnded(const std::string &Id, RequestSize Size,
                            bool PrefillDone, PlacedBy By) {
  if (!PrefillDone)
    onPrefillDone(Id, Size, By);
  Endpoint *E = find(Id);
  if (!E)
    return;
  const EndpointLoad Ended{1, Size.m_kvTokens, 0};
  E->m_localLoad -= Ended;
  if (By == PlacedBy::Coordinator)
    E->m_coordinatedLoad -= Ended;
}

void EndpointTable::onFirstEvent(const std::string &Id, Duration Latency,
                                 std::uint64_t Tokens) {
  if (const Endpoint *E = find(Id))
    m_prefillPace.onFirstEvent(E->m_record.m_service, Id, Latency, Tokens);
}

void EndpointTable::onHealth(const std::string &Id, AttemptHealth Health,
                             TimePoint Now) {
  Endpoint *E = find(Id);
  if (!E || Health == AttemptHealth::Refused)
    return;
  const bool Failed = Health != AttemptHealth::Good;
  if (E->m_consecutiveSilent == 0)
    E->m_failureShareBeforeSilence = E->m_failureShare;
  E->m_failureShare +=
      FailureWeight * ((Failed ? 1.0 : 0.0) - E->m_failureShare);
  E->m_consecutiveSilent =
      Health == AttemptHealth::Silent ? E->m_consecutiveSilent + 1 : 0;
  // Each further response of this sort would cost as much memory again.
  if (E->m_consecutiveSilent >= 2 || Health == AttemptHealth::Overrun)
    E->m_failureShare = std::max(E->m_failureShare, MaxFailureShare + 0.1);
  if (Failed)
    E->m_nextProbe = Now + AvoidedProbeInterval;
  if (Health == AttemptHealth::Overrun)
    E->m_overrunAt = Now;
  if (!Failed)
    m_pacing.onGood(*E, Now);
  else
    m_pacing.onTrouble(*E,
                       Health == AttemptHealth::Silent ? PaceTrouble::Silent
                                                       : PaceTrouble::Failed,
                       Now);
}

void EndpointTable::onAnswer(const std::string &Id, const AnswerSample &Answer,
                             TimePoint Now) {
  if (Endpoint *E = find(Id))
    m_pacing.onAnswer(*E, Answer, Now);
}

void EndpointTable::onRefused(const std::string &Id, TimePoint Now) {
  if (Endpoint *E = find(Id))
    m_pacing.onTrouble(*E, PaceTrouble::Refused, Now);
}

std::size_t EndpointTable::limitedEndpoints() const {
  return static_cast<std::size_t>(std::count_if(
      m_endpoints.begin(), m_endpoints.end(), [](const auto &Entry) {
        return Entry.second.m_pace && Entry.second.m_pace->limited();
      }));
}

void EndpointTable::onWentOn(const std::string &Id) {
  Endpoint *E = find(Id);
  if (!E || E->m_consecutiveSilent == 0)
    return;
  E->m_consecutiveSilent = 0;
  if (E->m_pace)
    E->m_pace->onWentOn();
  E->m_failureShare =
      std::min(E->m_failureShare, E->m_failureShareBeforeSilence);
}

void EndpointTable::onPeerOverrun(const std::string &Id,
                                  std::uint64_t Incarnation, TimePoint Now) {
  Endpoint *E = find(Id);
  if (!E || E->m_record.m_incarnation != Incarnation)
    return;
  E->m_failureShare = std::max(E->m_failureShare, MaxFailureShare + 0.1);
  E->m_nextProbe = Now + AvoidedProbeInterval;
}

std::optional<EndpointNotice>
EndpointTable::onConnectionRefused(const std::string &Id, TimePoint Now) {
  Endpoint *E = find(Id);
  if (!E || E->paused(Now))
    return std::nullopt;
  const auto Refusals = static_cast<int>(++E->m_refusedConnections);
  const Milliseconds Pause = std::min<Milliseconds>(
      RefusedConnectionPause * Refusals, MaxRefusedConnectionPause);
  EndpointNotice Notice;
  Notice.m_incarnation = E->m_record.m_incarnation;
  Notice.m_pausedUntil = Now + Pause;
  Notice.m_heardAt = Now;
  return Notice;
}

void EndpointTable::onConnected(const std::string &Id) {
  if (Endpoint *E = find(Id))
    E->m_refusedConnections = 0;
}

void EndpointTable::onFirstByte(const std::string &Id, Duration Latency) {
  Endpoint *E = find(Id);
  if (!E)
    return;
  const double LatencyMs = toMillis(Latency);
  E->m_firstByteMs =
      E->m_firstByteMs == 0
          ? LatencyMs
          : E->m_firstByteMs + LatencyWeight * (LatencyMs - E->m_firstByteMs);
}

void EndpointTable::onStallSample(const std::string &Id, bool Stalled) {
  if (Endpoint *E = find(Id))
    E->m_stallShare += StallWeight * ((Stalled ? 1.0 : 0.0) - E->m_stallShare);
}

void EndpointTable::onInterval(const std::string &Id, Duration Interval) {
  if (Endpoint *E = find(Id))
    E->m_intervalMs += IntervalWeight * (toMillis(Interval) - E->m_intervalMs);
}

void EndpointTable::onMeanInterval(const std::string &Id, Duration Mean) {
  if (Endpoint *E = find(Id))
    E->m_intervalMs += MeanIntervalWeight * (toMillis(Mean) - E->m_intervalMs);
}

void EndpointTable::onArtifactRejected(const std::string &Id,
                                       const std::string &Model,
                                       const std::string &Adapter,
                                       TimePoint Now) {
  if (Endpoint *E = find(Id))
    E->m_rejectedArtifacts[artifactKey(Model, Adapter)] =
        Now + RejectionLifetime;
}

void EndpointTable::onReplaced(const std::string &Id) {
  const auto It = m_endpoints.find(Id);
  if (It != m_endpoints.end())
    erase(It);
}

EndpointTable::EndpointMap::iterator
EndpointTable::erase(EndpointMap::iterator It) {
  m_holdersValid = false;
  m_prefillPace.forget(It->first);
  return m_endpoints.erase(It);
}

} // namespace primroseworks::gateway
