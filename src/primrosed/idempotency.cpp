// The order of lookup, claim, run and record around a request with a key.
#include "primrosed/idempotency.h"

#include <spdlog/spdlog.h>

namespace primroseworks {

namespace {

// A retry waits this long for the attempt in progress; the caller may then
// send it once more.
constexpr Milliseconds InProgressWait{25000};
constexpr Milliseconds ClaimWait{3000};
constexpr Milliseconds RecordWait{2000};
constexpr Milliseconds RetryDelay{500};

// Room comes back as keys expire, which are removed within seconds.
constexpr Milliseconds FullRetryAfter{10000};

// A claim that loses a race starts over with a lookup; more rounds than this
// mean that the key's shard changes hands all the time.
constexpr unsigned MaxRounds = 5;

Failure failure(Outcome Told, int Status, const char *Code,
                const char *Message) {
  Failure Out;
  Out.m_outcome = Told;
  Out.m_status = Status;
  Out.m_code = Code;
  Out.m_message = Message;
  Out.m_retryAfter = Milliseconds(1000);
  return Out;
}

Failure storeUnavailable() {
  // An earlier attempt with this key may have run, and without the journal
  // nobody can tell: this is not `not-run`.
  return failure(Outcome::Unknown, 503, "store_unavailable",
                 "the journal of requests that must not be repeated cannot be "
                 "reached; send it again later with the same key");
}

Failure journalFull() {
  Failure Out = failure(Outcome::NotRun, 503, "journal_full",
                        "the journal has no memory for another key; send it "
                        "again later with the same key");
  Out.m_retryAfter = FullRetryAfter;
  return Out;
}

KeyedResult failed(Failure Why) {
  KeyedResult Out;
  Out.m_failure = std::move(Why);
  return Out;
}

KeyedResult answered(JournalResult Answer, bool Replayed) {
  KeyedResult Out;
  Out.m_answer = std::move(Answer);
  Out.m_replayed = Replayed;
  return Out;
}

} // namespace

/// One round of lookup, claim and run.
struct Idempotency::Round {
  const KeyedRequest &m_request;
  std::optional<JournalClaim> m_held; ///< Granted and not released.
  std::optional<ClaimAnswer> m_lost;  ///< Why a claim was not granted.
  bool m_failed = false;              ///< The journal gave no answer.
};

Idempotency::Idempotency(DaemonContext &Context, Journal &Records,
                         Metrics &Counters)
    : m_context(Context), m_journal(Records), m_metrics(Counters),
      m_writer([this] { writeInBackground(); }) {}

Idempotency::~Idempotency() {
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_stopping = true;
  }
  m_changed.notify_all();
  m_writer.join();
}

KeyedResult Idempotency::runOnce(const KeyedRequest &Request,
                                 const KeyedWork &Work) {
  for (unsigned I = 0; I < MaxRounds; ++I) {
    if (auto Settled = lookup(Request, Work))
      return *Settled;
    Round State{Request, {}, {}, false};
    KeyedResult Result = Work.m_run(
        [&](const std::string &Attempt, const std::string &Endpoint) {
          return claim(State, Attempt, Endpoint);
        });
    if (State.m_held && State.m_failed)
      // It was not run, and the claim for its next attempt failed.
      writeUntilDone([this, Holder = *State.m_held] {
        return m_journal.release(Holder, RecordWait);
      });
    else if (State.m_held)
      record(*State.m_held, Result);
    if (!State.m_lost)
      return Result;
    // Another attempt claimed the key between lookup and claim: the next lookup
    // waits for it.
    if (State.m_lost->m_outcome == ClaimOutcome::InProgress)
      continue;
    if (auto Settled = settledBy(*State.m_lost, Request, Work))
      return *Settled;
  }
  return failed(storeUnavailable());
}

std::optional<KeyedResult> Idempotency::lookup(const KeyedRequest &Request,
                                               const KeyedWork &Work) {
  auto Known =
      m_journal.lookup(Request.m_key, Request.m_bodyHash, InProgressWait);
  if (Known)
    return settledBy(Known.value(), Request, Work);
  if (Known.error().m_kind == ErrorKind::NotFound)
    return std::nullopt;
  spdlog::info("event=journal_failed call=lookup error=\"{}\"",
               Known.error().m_message);
  m_metrics.journal("failed");
  return failed(storeUnavailable());
}

std::optional<KeyedResult> Idempotency::settledBy(const ClaimAnswer &Known,
                                                  const KeyedRequest &,
                                                  const KeyedWork &Work) {
  m_metrics.journal(std::string(nameOf(ClaimOutcomeNames, Known.m_outcome)));
  const JournalClaim &Holder = Known.m_holder;
  std::optional<JournalResult> Recovered;
  switch (Known.m_outcome) {
  case ClaimOutcome::Recorded:
    return answered(*Known.m_result, true);
  case ClaimOutcome::BodyMismatch:
    return failed(failure(Outcome::NotRun, 422, "key_reused",
                          "this Idempotency-Key was used with another body; "
                          "use a new key for a new request"));
  case ClaimOutcome::InProgress:
    return failed(failure(Outcome::Unknown, 503, "in_progress",
                          "an earlier attempt with this key is still running; "
                          "send it again later with the same key"));
  case ClaimOutcome::Granted:
    return std::nullopt;
  case ClaimOutcome::Unknown:
  case ClaimOutcome::Orphaned:
    break;
  }
  if (Work.m_recover && !Holder.m_endpoint.empty())
    Recovered = Work.m_recover(Holder.m_endpoint, Holder.m_requestId);
  if (Recovered) {
    writeUntilDone([this, Holder, Answer = *Recovered] {
      return m_journal.result(Holder, Answer, RecordWait);
    });
    return answered(std::move(*Recovered), false);
  }
  if (Known.m_outcome == ClaimOutcome::Orphaned)
    writeUntilDone(
        [this, Holder] { return m_journal.unknown(Holder, RecordWait); });
  return failed(failure(Outcome::Unknown, 409, "outcome_unknown",
                        "an earlier attempt with this key may have run and its "
                        "answer is lost; find out before sending it with a "
                        "new key"));
}

std::optional<Failure> Idempotency::claim(Round &State,
                                          const std::string &Attempt,
                                          const std::string &Endpoint) {
  // An earlier attempt of this round was not run; its claim makes way.
  if (State.m_held) {
    auto Released = m_journal.release(*State.m_held, ClaimWait);
    if (!Released) {
      State.m_failed = true;
      return storeUnavailable();
    }
    State.m_held.reset();
  }
  JournalClaim Wanted;
  Wanted.m_key = State.m_request.m_key;
  Wanted.m_bodyHash = State.m_request.m_bodyHash;
  Wanted.m_requestId = Attempt;
  Wanted.m_member = m_context.m_settings.m_name;
  Wanted.m_incarnation = m_context.m_incarnation;
  Wanted.m_endpoint = Endpoint;
  auto Answer = m_journal.claim(Wanted, ClaimWait);
  if (!Answer && Answer.error().m_kind == ErrorKind::Full) {
    m_metrics.journal("full");
    spdlog::info("event=journal_full request={}", Attempt);
    return journalFull();
  }
  if (!Answer) {
    State.m_failed = true;
    m_metrics.journal("failed");
    spdlog::info("event=journal_failed call=claim error=\"{}\"",
                 Answer.error().m_message);
    // The claim may still become durable, and nothing will be sent for it.
    writeUntilDone(
        [this, Wanted] { return m_journal.release(Wanted, RecordWait); });
    return storeUnavailable();
  }
  if (Answer.value().m_outcome == ClaimOutcome::Granted) {
    State.m_held = Wanted;
    return std::nullopt;
  }
  State.m_lost = Answer.value();
  return storeUnavailable();
}

void Idempotency::record(const JournalClaim &Holder,
                         const KeyedResult &Result) {
  if (Result.m_answer)
    writeUntilDone([this, Holder, Answer = *Result.m_answer] {
      return m_journal.result(Holder, Answer, RecordWait);
    });
  else if (Result.m_failure->m_outcome == Outcome::NotRun)
    writeUntilDone(
        [this, Holder] { return m_journal.release(Holder, RecordWait); });
  else
    writeUntilDone(
        [this, Holder] { return m_journal.unknown(Holder, RecordWait); });
}

void Idempotency::writeUntilDone(std::function<Result<void>()> Write) {
  auto Written = Write();
  if (Written || Written.error().m_kind == ErrorKind::Conflict)
    return;
  std::lock_guard<std::mutex> Lock(m_mutex);
  m_writes.push_back(std::move(Write));
  m_changed.notify_all();
}

void Idempotency::writeInBackground() {
  std::unique_lock<std::mutex> Lock(m_mutex);
  while (true) {
    m_changed.wait(Lock, [this] { return m_stopping || !m_writes.empty(); });
    if (m_stopping)
      return;
    auto Write = std::move(m_writes.front());
    m_writes.pop_front();
    m_writing = true;
    Lock.unlock();
    auto Written = Write();
    bool Done = Written || Written.error().m_kind == ErrorKind::Conflict;
    Lock.lock();
    m_writing = false;
    if (!Done) {
      m_writes.push_back(std::move(Write));
      m_changed.wait_for(Lock, RetryDelay, [this] { return m_stopping; });
    }
    m_changed.notify_all();
  }
}

std::size_t Idempotency::unsettled() const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  return m_writes.size() + (m_writing ? 1 : 0);
}

bool Idempotency::settle(Milliseconds Wait) {
  std::unique_lock<std::mutex> Lock(m_mutex);
  return m_changed.wait_for(Lock, Wait,
                            [this] { return m_writes.empty() && !m_writing; });
}

} // namespace primroseworks
