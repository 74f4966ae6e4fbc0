// Requests to the coordinators.
#include "libgateway/schedulerclient.h"
#include "libgateway/log.h"
#include "primroseworks/hash.h"

namespace primroseworks::gateway {

namespace {

/// Stands for a request that cannot become late.
constexpr Milliseconds LongestOnTime = std::chrono::hours(1);

} // namespace

SchedulerClient::SchedulerClient(Core &Shared, const PeerAudience &Audience,
                                 Send SendMessage)
    : m_core(Shared), m_audience(Audience), m_send(std::move(SendMessage)),
      m_checkTimer(Shared.m_io) {
  m_self.m_name = Shared.m_settings.m_vm;
}

/// The first coordinator for the request that was neither asked yet nor silent
/// recently; empty if there is none.
std::string SchedulerClient::nextCoordinator(const PendingRequest &P,
                                             TimePoint Now) const {
  const ChoiceQuery &Q = P.m_message.m_query;
  const std::vector<std::string> Candidates =
      Q.m_model.empty() ? m_audience.plainSchedulers(hash::number(Q.m_service))
                        : m_audience.engineSchedulers();
  for (const std::string &Name : Candidates) {
    const auto Silent = m_silentUntil.find(Name);
    const bool IsSilent = Silent != m_silentUntil.end() && Silent->second > Now;
    if (!IsSilent && !P.m_asked.count(Name) && Name != m_self.m_name)
      return Name;
  }
  return {};
}

Duration SchedulerClient::replyTimeout(const std::string &Coordinator) const {
  return m_audience.inRegion(Coordinator) ? ScheduleReplyTimeout
                                          : RemoteScheduleReplyTimeout;
}

/// Whether this VM schedules such requests itself.
bool SchedulerClient::isOwnScheduler(const ChoiceQuery &Query) const {
  return m_audience.isCoordinator() &&
         (Query.m_model.empty() ||
          m_audience.engineSchedulers().front() == m_self.m_name);
}

TicketId SchedulerClient::request(const ChoiceQuery &Query,
                                  const WaitLimits &Limits, ScheduleWaiter &W,
                                  TimePoint Now) {
  if (!m_audience.isLarge() || isOwnScheduler(Query) ||
      m_core.m_rejectingWaiting)
    return 0;
  PendingRequest P;
  P.m_message.m_sender = m_self;
  P.m_message.m_domain = m_core.m_settings.m_failureDomain;
  P.m_message.m_query = Query;
  P.m_limits = Limits;
  P.m_waiter = &W;
  P.m_waitSince = Now;
  const TicketId Ticket = m_nextTicket++;
  P.m_message.m_ticket = Ticket;
  if (!askNext(Ticket, P, Now))
    return 0;
  m_pending[Ticket] = std::move(P);
  try {
    scheduleCheck();
  } catch (...) { // W does not know its ticket yet.
    m_pending.erase(Ticket);
    throw;
  }
  return Ticket;
}

/// Asks the next coordinator. Returns false if there is none.
bool SchedulerClient::askNext(TicketId Ticket, PendingRequest &P,
                              TimePoint Now) {
  if (!P.m_coordinator.empty())
    sendUpdate({P.m_coordinator, Ticket}, AttemptStage::Withdrawn, {});
  P.m_coordinator = nextCoordinator(P, Now);
  if (P.m_coordinator.empty())
    return false;
  P.m_asked.insert(P.m_coordinator);
  P.m_sends = 0;
  P.m_waiting = false;
  send(P, Now);
  return true;
}

void SchedulerClient::send(PendingRequest &P, TimePoint Now) {
  const auto Remaining = [Now](TimePoint Until) {
    return Until == TimePoint::max()
               ? LongestOnTime
               : std::chrono::duration_cast<Milliseconds>(Until - Now);
  };
  P.m_message.m_onTime = Remaining(P.m_limits.m_onTimeUntil);
  P.m_message.m_maxWait = std::max(
      Milliseconds(0), Remaining(P.m_waitSince + P.m_limits.m_maxWait));
  P.m_sentAt = Now;
  ++P.m_sends;
  m_send(P.m_coordinator, P.m_message);
}

void SchedulerClient::sendUpdate(const CoordinatorTicket &Ticket,
                                 AttemptStage Stage,
                                 const AttemptObservation &Observation) {
  m_send(Ticket.m_coordinator,
         AttemptUpdate{m_self, Ticket.m_id, Stage, Observation});
}

void SchedulerClient::withdraw(TicketId Ticket) {
  const auto It = m_pending.find(Ticket);
  if (It == m_pending.end())
    return;
  sendUpdate({It->second.m_coordinator, Ticket}, AttemptStage::Withdrawn, {});
  m_pending.erase(It);
}

void SchedulerClient::onPrefillDone(const CoordinatorTicket &Ticket,
                                    const AttemptObservation &Observation) {
  if (m_open[Ticket.m_coordinator].count(Ticket.m_id))
    sendUpdate(Ticket, AttemptStage::PrefillDone, Observation);
}

void SchedulerClient::onEnded(const CoordinatorTicket &Ticket,
                              const AttemptObservation &Observation) {
  if (m_open[Ticket.m_coordinator].erase(Ticket.m_id) > 0)
    sendUpdate(Ticket, AttemptStage::Ended, Observation);
}

void SchedulerClient::onReply(const ScheduleReply &Reply, TimePoint Now) {
  if (Reply.m_receiverStart != m_self.m_start)
    return; // For an earlier process of this VM.
  const auto It = m_pending.find(Reply.m_ticket);
  if (It == m_pending.end() || It->second.m_coordinator != Reply.m_sender) {
    const auto Open = m_open.find(Reply.m_sender);
    const bool InUse =
        Open != m_open.end() && Open->second.count(Reply.m_ticket);
    if (!InUse && Reply.m_status == ScheduleStatus::Granted)
      sendUpdate({Reply.m_sender, Reply.m_ticket}, AttemptStage::Withdrawn, {});
    return;
  }
  PendingRequest &P = It->second;
  P.m_sends = 0;
  m_core.m_metrics->count(
      "schedule_" + std::string(nameOf(ScheduleStatusNames, Reply.m_status)));
  if (Reply.m_status == ScheduleStatus::Waiting) {
    P.m_waiting = true;
    P.m_waiter->onScheduleWaiting(Reply.m_choice.m_obstacle);
    return;
  }
  if (Reply.m_status == ScheduleStatus::Unavailable &&
      askNext(Reply.m_ticket, P, Now))
    return;
  ScheduleWaiter *W = P.m_waiter;
  m_pending.erase(It);
  switch (Reply.m_status) {
  case ScheduleStatus::Granted:
    m_open[Reply.m_sender].insert(Reply.m_ticket);
    W->onGranted(Reply.m_choice, {Reply.m_sender, Reply.m_ticket});
    break;
  case ScheduleStatus::Rejected:
    W->onScheduleRejected(Reply.m_choice.m_obstacle, Reply.m_expectedWait);
    break;
  case ScheduleStatus::Unavailable:
  case ScheduleStatus::Waiting:
    W->onNoCoordinator();
    break;
  }
}

void SchedulerClient::sendOpenTickets() {
  for (auto It = m_open.begin(); It != m_open.end();) {
    OpenTickets Message{m_self, {It->second.begin(), It->second.end()}};
    for (const auto &[Ticket, P] : m_pending)
      if (P.m_coordinator == It->first)
        Message.m_tickets.push_back(Ticket);
    m_send(It->first, Message);
    It = It->second.empty() ? m_open.erase(It) : std::next(It);
  }
}

void SchedulerClient::endAll() {
  std::map<TicketId, PendingRequest> Ended;
  Ended.swap(m_pending);
  for (auto &[Ticket, P] : Ended) {
    sendUpdate({P.m_coordinator, Ticket}, AttemptStage::Withdrawn, {});
    P.m_waiter->onScheduleRejected(ChoiceObstacle::Full, Duration::zero());
  }
}

void SchedulerClient::check(TimePoint Now) {
  std::vector<ScheduleWaiter *> WithoutCoordinator;
  for (auto It = m_pending.begin(); It != m_pending.end();) {
    PendingRequest &P = It->second;
    const Duration Interval = P.m_waiting && P.m_sends == 0
                                  ? WaitingRefreshInterval
                                  : replyTimeout(P.m_coordinator);
    if (Now - P.m_sentAt < Interval) {
      ++It;
      continue;
    }
    if (P.m_sends < MaxScheduleSends) {
      send(P, Now);
      ++It;
      continue;
    }
    if (m_silentUntil[P.m_coordinator] <= Now) {
      m_core.m_metrics->count("coordinator_silent");
      decisionlog::line(LogClass::KnownState, "coordinator_silent")
          .text("coordinator", P.m_coordinator)
          .real("waited_ms", toMillis(Now - P.m_waitSince));
    }
    m_silentUntil[P.m_coordinator] = Now + SilentCoordinatorBackoff;
    if (askNext(It->first, P, Now)) {
      ++It;
      continue;
    }
    m_core.m_metrics->count("schedule_without_coordinator");
    WithoutCoordinator.push_back(P.m_waiter);
    It = m_pending.erase(It);
  }
  for (ScheduleWaiter *W : WithoutCoordinator)
    W->onNoCoordinator();
  if (!m_pending.empty())
    scheduleCheck();
}

void SchedulerClient::scheduleCheck() {
  if (m_checkScheduled)
    return;
  m_checkScheduled = true;
  m_checkTimer.expires_after(ScheduleCheckInterval);
  m_checkTimer.async_wait([this](std::error_code Ec) {
    m_checkScheduled = false;
    if (!Ec)
      check(std::chrono::steady_clock::now());
  });
}

} // namespace primroseworks::gateway
