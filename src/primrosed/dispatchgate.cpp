// Thread-safe use of the dispatcher.
#include "primrosed/dispatchgate.h"

#include <utility>

namespace primroseworks {

namespace {

// The dispatcher asks to be polled at least every 20 ms while work waits.
constexpr Milliseconds PollInterval{10};

TimePoint now() { return std::chrono::steady_clock::now(); }

} // namespace

DispatchGate::DispatchGate(std::unique_ptr<Dispatcher> Decider, DecisionLog Log)
    : m_decider(std::move(Decider)), m_log(std::move(Log)),
      m_ticker([this] { tick(); }) {}

DispatchGate::~DispatchGate() {
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_stopping = true;
  }
  m_wake.notify_all();
  m_ticker.join();
}

Placement DispatchGate::place(const DispatchRequest &Request,
                              const std::atomic<bool> &Abandon,
                              std::atomic<bool> &Preempt) {
  Waiting Entry;
  Entry.m_request = &Request;
  std::unique_lock<std::mutex> Lock(m_mutex);
  m_waiting[Request.m_id] = &Entry;
  m_decider->submit(Request, now());
  pollLocked(now());
  m_wake.notify_all();
  while (!Entry.m_answer) {
    Entry.m_answered.wait_for(Lock, Milliseconds(100));
    if (!Entry.m_answer && Abandon) {
      m_waiting.erase(Request.m_id);
      m_decider->withdraw(Request.m_id, now());
      return Withdrawn{};
    }
  }
  if (std::holds_alternative<Grant>(*Entry.m_answer))
    m_running[Request.m_id] = &Preempt;
  return std::move(*Entry.m_answer);
}

void DispatchGate::firstToken(const std::string &RequestId) {
  std::lock_guard<std::mutex> Lock(m_mutex);
  m_decider->onFirstToken(RequestId, now());
}

void DispatchGate::finished(const std::string &RequestId,
                            AttemptOutcome Outcome, const StreamEnd *End) {
  std::lock_guard<std::mutex> Lock(m_mutex);
  m_running.erase(RequestId);
  m_decider->onFinished(RequestId, Outcome, End, now());
  pollLocked(now());
}

void DispatchGate::pollLocked(TimePoint Now) {
  Decisions Taken = m_decider->poll(Now);
  for (Grant &Granted : Taken.m_grants) {
    std::string Id = Granted.m_requestId;
    answerLocked(Id, std::move(Granted));
  }
  for (Refusal &Refused : Taken.m_refusals) {
    std::string Id = Refused.m_requestId;
    answerLocked(Id, std::move(Refused));
  }
  for (const Preemption &Preempted : Taken.m_preemptions) {
    auto It = m_running.find(Preempted.m_requestId);
    if (It != m_running.end())
      *It->second = true;
  }
}

void DispatchGate::answerLocked(const std::string &RequestId,
                                Placement Answer) {
  auto It = m_waiting.find(RequestId);
  if (It == m_waiting.end())
    return;
  Waiting &Entry = *It->second;
  m_waiting.erase(It);
  m_log(*Entry.m_request, Answer);
  Entry.m_answer = std::move(Answer);
  Entry.m_answered.notify_one();
}

void DispatchGate::tick() {
  std::unique_lock<std::mutex> Lock(m_mutex);
  while (!m_stopping) {
    // Without waiting requests there is nothing to decide until one comes.
    if (m_waiting.empty())
      m_wake.wait(Lock, [this] { return m_stopping || !m_waiting.empty(); });
    else
      m_wake.wait_for(Lock, PollInterval);
    pollLocked(now());
  }
}

} // namespace primroseworks
