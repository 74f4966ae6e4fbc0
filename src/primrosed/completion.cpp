// Runs one completion.
#include "primrosed/completion.h"

#include "primroseworks/hash.h"
#include "primroseworks/prompt.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>
#include <thread>

namespace primroseworks {

namespace {

// Dispatches of one request, preemptions not counted. The retry budget is the
// limit in a large failure; this one stops a single request.
constexpr unsigned MaxAttempts = 4;

// Tries to continue a broken stream on its engine before it moves elsewhere.
constexpr unsigned MaxResumes = 2;
constexpr Milliseconds ResumeDelay{50};

// How long a request that was started may wait for another endpoint.
constexpr Seconds ContinuationWait{60};

TimePoint now() { return std::chrono::steady_clock::now(); }

std::uint64_t fingerprintOf(const CompletionJob &Job) {
  std::string Text = Job.m_model + '\n' + Job.m_adapter + '\n' +
                     std::to_string(Job.m_request.m_maxTokens) + '\n' +
                     Job.m_request.m_prompt;
  return hash::number(Text);
}

Failure refusalFailure(const Refusal &Why) {
  Failure Out;
  Out.m_code = std::string(nameOf(RefusalReasonNames, Why.m_reason));
  Out.m_retryAfter = Why.m_retryAfter;
  switch (Why.m_reason) {
  case RefusalReason::QueueFull:
    Out.m_status = 429;
    Out.m_message = "too many requests wait; send it again later";
    break;
  case RefusalReason::CrashSuspect:
    Out.m_status = 422;
    Out.m_message = "this request ended several endpoints; change it, or ask "
                    "the operator to clear it";
    break;
  case RefusalReason::DeadlinePassed:
    Out.m_message = "the request cannot meet its deadline; send it again later "
                    "or with a longer deadline";
    break;
  case RefusalReason::NoEndpoint:
    Out.m_message = "no endpoint serves the model at present; send it again "
                    "later";
    break;
  case RefusalReason::RetryBudget:
    Out.m_message = "too many requests are being retried; send it again later";
    break;
  case RefusalReason::QueueTimeout:
    Out.m_message = "no endpoint became free in time; send it again later";
    break;
  }
  return Out;
}

} // namespace

std::optional<StreamPosition> parseEventId(const std::string &EventId) {
  std::size_t Tilde = EventId.find('~');
  std::size_t Colon = EventId.rfind(':');
  if (Tilde == std::string::npos || Colon == std::string::npos ||
      Colon < Tilde || EventId.size() - Colon > 8 ||
      Colon + 1 == EventId.size() ||
      EventId.find_first_not_of("0123456789", Colon + 1) != std::string::npos)
    return std::nullopt;
  StreamPosition Out;
  Out.m_endpoint = EventId.substr(0, Tilde);
  Out.m_attempt = EventId.substr(Tilde + 1, Colon - Tilde - 1);
  Out.m_next = static_cast<unsigned>(std::stoul(EventId.substr(Colon + 1))) + 1;
  return Out;
}

/// State of one completion across its attempts.
struct CompletionRunner::Progress {
  Progress(const CompletionJob &Job, const EventSink &Sink,
           const std::atomic<bool> &Abandon)
      : m_job(Job), m_sink(Sink), m_abandon(Abandon),
        m_fingerprint(fingerprintOf(Job)) {}

  const CompletionJob &m_job;
  const EventSink &m_sink;
  const std::atomic<bool> &m_abandon;
  std::uint64_t m_fingerprint;
  CompletionResult m_result;
  std::string m_endpoint;        ///< Of the current attempt.
  unsigned m_tokens = 0;         ///< Received, so the index of the next.
  unsigned m_attempts = 0;       ///< Dispatches, preemptions not counted.
  bool m_sent = false;           ///< The current attempt was, and not refused.
  bool m_mayHaveRun = false;     ///< Some attempt was sent and not refused.
  bool m_died = false;           ///< The last endpoint died under it.
  std::uint64_t m_engineRun = 0; ///< Run id of the engine at dispatch.
  bool m_preempted = false;      ///< The last attempt was.
  std::vector<std::string> m_exclude;
  std::atomic<bool> m_preempt{false};
  StreamResult m_last;
};

CompletionResult CompletionRunner::run(const CompletionJob &Job,
                                       const EventSink &Sink,
                                       const std::atomic<bool> &Abandon) {
  Progress State(Job, Sink, Abandon);
  while (attempt(State) == Next::Again) {
  }
  return std::move(State.m_result);
}

std::string CompletionRunner::nextAttemptId(const std::string &RequestId) {
  return fmt::format("{}.{:x}.{}", RequestId, m_context.m_processId.load(),
                     ++m_attempts);
}

bool CompletionRunner::place(Progress &State, DispatchRequest &Request) {
  const CompletionJob &Job = State.m_job;
  Request.m_id = nextAttemptId(Job.m_requestId);
  Request.m_caller = Job.m_caller;
  Request.m_model = Job.m_model;
  Request.m_version = Job.m_version;
  Request.m_adapter = Job.m_adapter;
  Request.m_rank = Job.m_rank;
  Request.m_prefixHashes =
      prefixHashes(Job.m_model, Job.m_adapter, Job.m_request.m_prompt);
  Request.m_promptTokens = promptTokens(Job.m_request.m_prompt);
  Request.m_maxTokens = Job.m_request.m_maxTokens - State.m_tokens;
  // A request that was started has no first token to miss: its caller waits
  // for the rest.
  Request.m_deadline =
      State.m_attempts > 0 ? now() + ContinuationWait : Job.m_deadline;
  Request.m_fingerprint = State.m_fingerprint;
  // The budget is for failures that cost an endpoint work and could multiply: a
  // refused connection costs none, and the death of an endpoint is met once.
  Request.m_retry = State.m_attempts > 0 && !State.m_preempted &&
                    State.m_sent && !State.m_died;
  Request.m_exclude = State.m_exclude;
  State.m_preempt = false;
  m_fleet.noteWanted(Request.m_model, Request.m_version);
  Placement Answer = m_gate.place(Request, State.m_abandon, State.m_preempt);
  if (auto *Granted = std::get_if<Grant>(&Answer)) {
    m_fleet.noteRouted(Granted->m_endpoint);
    State.m_endpoint = Granted->m_endpoint;
    return true;
  }
  Failure Why;
  if (auto *Refused = std::get_if<Refusal>(&Answer)) {
    Why = refusalFailure(*Refused);
    m_metrics.refused(Job.m_rank, Refused->m_reason);
  } else {
    Why.m_status = 499;
    Why.m_code = "caller_gone";
    Why.m_message = "the caller closed its connection";
  }
  if (State.m_mayHaveRun)
    failUnknown(State, "the request was started and could not be finished; "
                       "send it again if a second run is harmless");
  else
    State.m_result.m_failure = Why;
  return false;
}

bool CompletionRunner::adapterReady(const Progress &State) {
  const std::string &Adapter = State.m_job.m_adapter;
  if (Adapter.empty() ||
      m_fleet.holds(State.m_endpoint, ArtifactKind::Adapter, Adapter))
    return true;
  auto Loaded = m_loadAdapter(State.m_endpoint, Adapter);
  if (!Loaded)
    spdlog::info("event=adapter_not_loaded request={} endpoint={} adapter={} "
                 "error=\"{}\"",
                 State.m_job.m_requestId, State.m_endpoint, Adapter,
                 Loaded.error().m_message);
  return Loaded.has_value();
}

CompletionRunner::Next CompletionRunner::attempt(Progress &State) {
  DispatchRequest Request;
  if (!place(State, Request))
    return Next::Done;
  std::shared_ptr<EngineClient> Engine = m_fleet.engine(State.m_endpoint);
  if (!Engine || !adapterReady(State)) {
    m_gate.finished(Request.m_id, AttemptOutcome::NotRun, nullptr);
    State.m_exclude.push_back(State.m_endpoint);
    return Next::Again;
  }
  if (State.m_job.m_beforeSend) {
    auto Forbidden = State.m_job.m_beforeSend(Request.m_id, State.m_endpoint);
    if (Forbidden) {
      m_gate.finished(Request.m_id, AttemptOutcome::NotRun, nullptr);
      State.m_result.m_failure = Forbidden;
      return Next::Done;
    }
  }
  State.m_engineRun = m_fleet.runId(State.m_endpoint);
  stream(State, *Engine, Request);
  return settle(State, Request.m_id);
}

void CompletionRunner::stream(Progress &State, EngineClient &Engine,
                              const DispatchRequest &Request) {
  const CompletionJob &Job = State.m_job;
  EngineRequest Order;
  Order.m_requestId = Request.m_id;
  Order.m_idempotencyKey = Job.m_key.empty() ? Job.m_requestId : Job.m_key;
  Order.m_model = Job.m_model;
  Order.m_version = Job.m_version;
  Order.m_adapter = Job.m_adapter;
  Order.m_prompt = Job.m_request.m_prompt;
  Order.m_maxTokens = Job.m_request.m_maxTokens;
  Order.m_priority = Job.m_rank;
  Order.m_resumeFrom = State.m_tokens;
  Order.m_resumeText = State.m_result.m_text;
  const TimePoint Sent = now();
  bool First = true;
  auto OnToken = [&](const TokenEvent &Event) {
    if (First) {
      First = false;
      m_gate.firstToken(Request.m_id);
      if (State.m_tokens == 0)
        m_metrics.firstToken(Job.m_rank, toSeconds(now() - Sent));
    }
    State.m_tokens = Event.m_index + 1;
    State.m_result.m_text += Event.m_text;
    State.m_sink(
        fmt::format("{}~{}:{}", State.m_endpoint, Request.m_id, Event.m_index),
        Event.m_text);
    // The answer of a request that runs at most once is kept for a retry.
    return !State.m_abandon || Job.m_beforeSend;
  };
  if (!State.m_preempted)
    ++State.m_attempts;
  State.m_preempted = false;
  // Cancelling and starting again would be a second run.
  const std::atomic<bool> Never{false};
  const std::atomic<bool> &Stop = Job.m_beforeSend ? Never : State.m_preempt;
  State.m_last = Engine.complete(Order, OnToken, Stop);
  State.m_sent = State.m_last.m_failure != StreamFailure::Refused &&
                 State.m_last.m_failure != StreamFailure::NotConnected;
  State.m_mayHaveRun = State.m_mayHaveRun || State.m_sent;
  for (unsigned I = 0; I < MaxResumes; ++I) {
    bool Broken = State.m_last.m_failure == StreamFailure::Broken ||
                  State.m_last.m_failure == StreamFailure::Invalid;
    if (!Broken || State.m_abandon || Stop)
      return;
    std::this_thread::sleep_for(ResumeDelay);
    m_metrics.resumed();
    State.m_last = Engine.resume(Request.m_id, State.m_tokens, OnToken, Stop);
  }
}

CompletionRunner::Next CompletionRunner::settle(Progress &State,
                                                const std::string &AttemptId) {
  const StreamResult &Last = State.m_last;
  if (Last.m_report)
    m_fleet.onReport(State.m_endpoint, *Last.m_report);
  if (Last.m_end) {
    m_gate.finished(AttemptId, AttemptOutcome::Completed, &*Last.m_end);
    State.m_result.m_end = *Last.m_end;
    State.m_result.m_end.m_tokens = State.m_tokens;
    return Next::Done;
  }
  const StreamFailure Why = *Last.m_failure;
  if (Why == StreamFailure::Cancelled && State.m_preempt && !State.m_abandon) {
    m_gate.finished(AttemptId, AttemptOutcome::Cancelled, nullptr);
    m_metrics.preempted();
    State.m_preempted = true;
    return Next::Again;
  }
  if (Why == StreamFailure::Cancelled) {
    m_gate.finished(AttemptId, AttemptOutcome::Cancelled, nullptr);
    failUnknown(State, "the caller closed its connection");
    return Next::Done;
  }
  bool NeverSent = !State.m_sent;
  AttemptOutcome Outcome = AttemptOutcome::Failed;
  if (NeverSent)
    Outcome = AttemptOutcome::NotRun;
  else if (endpointDied(State))
    Outcome = AttemptOutcome::EndpointDied;
  State.m_died = Outcome == AttemptOutcome::EndpointDied;
  m_gate.finished(AttemptId, Outcome, nullptr);
  m_metrics.attemptFailed(Why);
  if (Why == StreamFailure::NotConnected)
    m_fleet.onRefused(State.m_endpoint);
  spdlog::info("event=attempt_failed request={} endpoint={} failure={} "
               "tokens={} detail=\"{}\"",
               AttemptId, State.m_endpoint, nameOf(StreamFailureNames, Why),
               State.m_tokens, Last.m_detail);
  State.m_exclude.push_back(State.m_endpoint);
  if (State.m_job.m_beforeSend && State.m_mayHaveRun) {
    failUnknown(State, "the endpoint gave no whole answer and may have run the "
                       "request; send it again with the same key");
    return Next::Done;
  }
  if (State.m_attempts >= MaxAttempts) {
    failUnknown(State, "the request failed on several endpoints; send it again "
                       "later");
    return Next::Done;
  }
  return Next::Again;
}

bool CompletionRunner::endpointDied(const Progress &State) {
  if (State.m_last.m_failure == StreamFailure::NotConnected)
    return true;
  if (State.m_last.m_failure != StreamFailure::Refused)
    return false;
  // The engine does not know the stream: it restarted, or the request never
  // reached it.
  auto Report = m_fleet.readReport(State.m_endpoint);
  return Report && State.m_engineRun != 0 &&
         Report.value().m_runId != State.m_engineRun;
}

void CompletionRunner::failUnknown(Progress &State,
                                   const std::string &Message) {
  Failure Why;
  Why.m_outcome = State.m_mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
  Why.m_status = State.m_mayHaveRun ? 502 : 503;
  Why.m_code = "attempts_failed";
  Why.m_message = Message;
  Why.m_retryAfter = Milliseconds(1000);
  State.m_result.m_failure = Why;
}

CompletionResult CompletionRunner::resume(const StreamPosition &From,
                                          const EventSink &Sink,
                                          const std::atomic<bool> &Abandon) {
  CompletionResult Out;
  Failure Why;
  Why.m_outcome = Outcome::Unknown;
  Why.m_status = 410;
  Why.m_code = "stream_not_held";
  Why.m_message = "no endpoint holds this stream any more; send the request "
                  "again without Last-Event-ID";
  std::shared_ptr<EngineClient> Engine = m_fleet.engine(From.m_endpoint);
  if (!Engine) {
    Out.m_failure = Why;
    return Out;
  }
  unsigned Tokens = From.m_next;
  auto OnToken = [&](const TokenEvent &Event) {
    Tokens = Event.m_index + 1;
    Out.m_text += Event.m_text;
    Sink(
        fmt::format("{}~{}:{}", From.m_endpoint, From.m_attempt, Event.m_index),
        Event.m_text);
    return !Abandon;
  };
  std::atomic<bool> Never{false};
  StreamResult Last;
  for (unsigned I = 0; I <= MaxResumes; ++I) {
    Last = Engine->resume(From.m_attempt, Tokens, OnToken, Never);
    if (Last.m_end || Last.m_failure != StreamFailure::Broken || Abandon)
      break;
    std::this_thread::sleep_for(ResumeDelay);
  }
  m_metrics.resumed();
  if (Last.m_end)
    Out.m_end = *Last.m_end;
  else
    Out.m_failure = Why;
  return Out;
}

} // namespace primroseworks
