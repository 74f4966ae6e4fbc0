// Scheduling of other gateways' requests.
#include "libgateway/scheduler.h"
#include "libgateway/log.h"

#include <vector>

namespace primroseworks::gateway {

/// A request of another gateway. While it is queued, it is the waiter of its
/// ticket in the local queue; once granted, it counts as local load.
class Scheduler::RemoteRequest : public Waiter {
public:
  RemoteRequest(Scheduler &Owner, const ScheduleRequest &Message, TimePoint Now)
      : m_owner(Owner), m_message(Message),
        m_queuedUntil(Now + Message.m_maxWait + QueuedRequestGrace) {
    ChoiceQuery &Q = m_message.m_query;
    Q.m_domain = Message.m_domain;
    Q.m_gatewayCount = m_owner.m_core.m_chooserCount;
    Q.m_jitterSeed = m_owner.m_core.m_random();
  }

  /// Dispatches or queues the request, and answers it.
  void admit(TimePoint Now) {
    Core &C = m_owner.m_core;
    const WaitLimits Limits{Now + m_message.m_onTime, m_message.m_maxWait};
    const Admission A = C.admit(m_message.m_query, Limits, *this, Now);
    if (granted())
      return; // Answered by onDispatched().
    m_choice.m_obstacle = A.m_obstacle;
    m_queueTicket = A.m_ticket;
    if (A.m_rejected) {
      reject(ScheduleStatus::Rejected, A.m_expectedWait);
      return;
    }
    if (!m_message.m_query.m_adapter.empty() && C.m_onAdapterWanted)
      C.m_onAdapterWanted();
    reply(ScheduleStatus::Waiting);
  }
  void onDispatched(const Choice &Where, TimePoint Now) override {
    m_queueTicket = 0;
    m_choice = Where;
    m_grantedAt = Now;
    Core &C = m_owner.m_core;
    C.m_endpoints.onSent(Where.m_endpoint, m_message.m_query.m_size);
    C.notifyLoadChanged(Where.m_endpoint);
    reply(ScheduleStatus::Granted);
  }
  void onRejected() override {
    if (m_queueTicket != 0)
      m_owner.m_core.cancel(m_queueTicket);
    // The gateway can still ask another coordinator.
    reject(ScheduleStatus::Unavailable);
  }
  void onEvicted(Duration ExpectedWait) override {
    // Another coordinator would let the account exceed its share there.
    m_choice.m_obstacle = ChoiceObstacle::Full;
    reject(ScheduleStatus::Rejected, ExpectedWait);
  }
  /// Answers the request, which is no longer queued.
  void reject(ScheduleStatus Status, Duration ExpectedWait = {}) {
    m_queueTicket = 0;
    m_rejected = true;
    m_rejection = Status;
    m_expectedWait = ExpectedWait;
    reply(Status, ExpectedWait);
  }
  void reply(ScheduleStatus Status, Duration ExpectedWait = {}) const {
    ScheduleReply R;
    R.m_ticket = m_message.m_ticket;
    R.m_receiverStart = m_message.m_sender.m_start;
    R.m_sender = m_owner.m_core.m_settings.m_vm;
    R.m_status = Status;
    R.m_choice = m_choice;
    R.m_expectedWait = std::chrono::duration_cast<Milliseconds>(ExpectedWait);
    m_owner.m_reply(m_message.m_sender.m_name, R);
  }
  /// Answers a repetition of the request.
  void replyAgain() const {
    if (m_rejected)
      reply(m_rejection, m_expectedWait);
    else
      reply(granted() ? ScheduleStatus::Granted : ScheduleStatus::Waiting);
  }
  /// Frees what the request uses.
  void release(TimePoint Now) {
    Core &C = m_owner.m_core;
    if (m_queueTicket != 0) {
      C.cancel(m_queueTicket);
      m_queueTicket = 0;
    } else if (granted()) {
      C.m_endpoints.onEnded(m_choice.m_endpoint, m_message.m_query.m_size,
                            m_prefillDone);
      if (!m_prefillDone)
        C.notifyLoadChanged(m_choice.m_endpoint);
      m_choice.m_endpoint.clear();
      C.dispatchWaiting(Now);
    }
  }
  bool granted() const { return !m_choice.m_endpoint.empty(); }

  Scheduler &m_owner;
  ScheduleRequest m_message;
  TimePoint m_queuedUntil;
  TimePoint m_grantedAt{};
  TicketId m_queueTicket = 0; ///< In the local queue; 0: not queued.
  Choice m_choice;
  bool m_prefillDone = false;
  bool m_rejected = false;
  /// The answer to a rejected request, which may be lost.
  ScheduleStatus m_rejection = ScheduleStatus::Unavailable;
  Duration m_expectedWait{};
};

Scheduler::Scheduler(Core &Shared, SendReply Reply)
    : m_core(Shared), m_reply(std::move(Reply)) {}

Scheduler::~Scheduler() = default;

/// A restarted gateway no longer uses what its earlier process was granted.
void Scheduler::dropEarlierStarts(const GatewayInstance &Sender,
                                  TimePoint Now) {
  for (auto It = m_gateways.lower_bound({Sender.m_name, 0});
       It != m_gateways.end() && It->first.m_name == Sender.m_name &&
       It->first.m_start < Sender.m_start;) {
    for (auto &[Ticket, Request] : It->second.m_requests)
      Request->release(Now);
    It = m_gateways.erase(It);
  }
}

void Scheduler::onRequest(const ScheduleRequest &Request, TimePoint Now) {
  const bool Known = m_gateways.count(Request.m_sender) > 0;
  GatewayState &From = m_gateways[Request.m_sender];
  From.m_heardAt = Now;
  if (!Known)
    dropEarlierStarts(Request.m_sender, Now);
  const auto Existing = From.m_requests.find(Request.m_ticket);
  if (Existing != From.m_requests.end()) {
    Existing->second->replyAgain();
    return;
  }
  auto New = std::make_unique<RemoteRequest>(*this, Request, Now);
  if (!m_core.m_configuration || !m_core.m_endpointsKnown ||
      m_core.m_rejectingWaiting) {
    New->reply(ScheduleStatus::Unavailable);
    return;
  }
  RemoteRequest &R = *New;
  From.m_requests[Request.m_ticket] = std::move(New);
  R.admit(Now);
  if (R.m_rejected)
    From.m_requests.erase(Request.m_ticket);
}

/// Takes what an attempt showed for the adaptive limit of its endpoint.
void Scheduler::recordAnswer(const RemoteRequest &Request,
                             const AttemptObservation &Observation,
                             TimePoint Now) {
  EndpointTable &Table = m_core.m_endpoints;
  if (!Table.pacingEnabled())
    return;
  const std::string &Id = Request.m_choice.m_endpoint;
  const ChoiceQuery &Query = Request.m_message.m_query;
  const std::uint64_t Prompt = Query.m_size.m_promptTokens;
  const auto FromMs = [](double Ms) { return fromSeconds(Ms / 1000); };
  if (Observation.m_firstEventMs > 0)
    Table.onAnswer(
        Id,
        {Query.m_model, FromMs(Observation.m_firstEventMs),
         Prompt == 0 ? 0 : Prompt + Request.m_choice.m_pendingPrefillTokens},
        Now);
  else if (Observation.m_firstByteMs > 0 && !Request.m_prefillDone &&
           Observation.m_health == AttemptHealth::Good)
    Table.onAnswer(Id, wholeAnswer(Query, FromMs(Observation.m_firstByteMs)),
                   Now);
  // A first byte shows that the endpoint itself refused. Without one, the
  // gateway gave up before it sent the request.
  if (Observation.m_health == AttemptHealth::Refused &&
      Observation.m_firstByteMs > 0 && !Observation.m_endpointReplaced)
    Table.onRefused(Id, Now);
}

/// Applies what an attempt showed, as if it had been an attempt of this VM.
void Scheduler::record(const RemoteRequest &Request,
                       const AttemptObservation &Observation, TimePoint Now) {
  EndpointTable &Table = m_core.m_endpoints;
  const std::string &Id = Request.m_choice.m_endpoint;
  const ChoiceQuery &Query = Request.m_message.m_query;
  const auto FromMs = [](double Ms) { return fromSeconds(Ms / 1000); };
  if (Observation.m_firstByteMs > 0)
    Table.onFirstByte(Id, FromMs(Observation.m_firstByteMs));
  if (Observation.m_firstEventMs > 0)
    Table.onFirstEvent(Id, FromMs(Observation.m_firstEventMs),
                       Request.m_choice.m_pendingPrefillTokens +
                           Query.m_size.m_promptTokens);
  recordAnswer(Request, Observation, Now);
  if (Observation.m_intervalMs > 0)
    Table.onMeanInterval(Id, FromMs(Observation.m_intervalMs));
  if (Observation.m_stalled)
    Table.onStallSample(Id, *Observation.m_stalled);
  if (Observation.m_artifactRejected)
    Table.onArtifactRejected(Id, Query.m_model, Query.m_adapter, Now);
  if (Observation.m_health)
    Table.onHealth(Id, *Observation.m_health, Now);
  if (Observation.m_leaving || Observation.m_pause > Milliseconds::zero())
    m_core.onNotice(Id,
                    {Observation.m_incarnation, Observation.m_leaving,
                     Now + std::min(Observation.m_pause, MaxEndpointPause),
                     Now},
                    NoticeSource::Gateway, Now);
  if (Observation.m_endpointReplaced)
    Table.onReplaced(Id);
}

void Scheduler::onUpdate(const AttemptUpdate &Update, TimePoint Now) {
  const auto From = m_gateways.find(Update.m_sender);
  if (From == m_gateways.end())
    return;
  From->second.m_heardAt = Now;
  const auto It = From->second.m_requests.find(Update.m_ticket);
  if (It == From->second.m_requests.end())
    return;
  RemoteRequest &R = *It->second;
  if (Update.m_stage != AttemptStage::PrefillDone) {
    end(From->second, Update.m_ticket, Update.m_observation, Now);
    return;
  }
  if (!R.granted() || R.m_prefillDone)
    return;
  R.m_prefillDone = true;
  m_core.m_endpoints.onPrefillDone(R.m_choice.m_endpoint,
                                   R.m_message.m_query.m_size);
  m_core.notifyLoadChanged(R.m_choice.m_endpoint);
  record(R, Update.m_observation, Now);
  m_core.dispatchWaiting(Now);
}

void Scheduler::end(GatewayState &From, TicketId Ticket,
                    const AttemptObservation &Observation, TimePoint Now) {
  const auto It = From.m_requests.find(Ticket);
  // Removed first: release() dispatches other requests.
  const std::unique_ptr<RemoteRequest> Request = std::move(It->second);
  From.m_requests.erase(It);
  if (Request->granted())
    record(*Request, Observation, Now);
  Request->release(Now);
}

void Scheduler::onOpenTickets(const OpenTickets &Tickets, TimePoint Now) {
  const auto From = m_gateways.find(Tickets.m_sender);
  if (From == m_gateways.end())
    return;
  From->second.m_heardAt = Now;
  const std::set<TicketId> Open(Tickets.m_tickets.begin(),
                                Tickets.m_tickets.end());
  std::vector<TicketId> Lost;
  for (const auto &[Ticket, R] : From->second.m_requests)
    if (!Open.count(Ticket) && R->granted() &&
        Now - R->m_grantedAt > UnlistedGrantLifetime)
      Lost.push_back(Ticket);
  for (const TicketId Ticket : Lost) {
    m_core.m_metrics->count("schedule_grant_lost");
    end(From->second, Ticket, {}, Now);
  }
}

void Scheduler::expire(Duration GatewayLifetime, TimePoint Now) {
  for (auto From = m_gateways.begin(); From != m_gateways.end();) {
    const bool Gone = Now - From->second.m_heardAt > GatewayLifetime;
    std::vector<TicketId> Ended;
    for (const auto &[Ticket, R] : From->second.m_requests)
      if (Gone ||
          (!R->granted() && ((R->m_queueTicket == 0 && !R->m_rejected) ||
                             R->m_queuedUntil < Now)))
        Ended.push_back(Ticket);
    for (const TicketId Ticket : Ended)
      end(From->second, Ticket, {}, Now);
    if (Gone && !Ended.empty())
      decisionlog::line(LogClass::KnownState, "gateway_grants_dropped")
          .text("gateway", From->first.m_name)
          .number("requests", static_cast<std::int64_t>(Ended.size()));
    From = Gone ? m_gateways.erase(From) : std::next(From);
  }
}

std::size_t Scheduler::size() const {
  std::size_t Count = 0;
  for (const auto &[Gateway, State] : m_gateways)
    Count += State.m_requests.size();
  return Count;
}

} // namespace primroseworks::gateway
