// Requests that must run at most once: the order of lookup, claim, run and
// record around a request with a key.
#ifndef PRIMROSED_IDEMPOTENCY_H
#define PRIMROSED_IDEMPOTENCY_H

#include "primrosed/context.h"
#include "primrosed/metrics.h"
#include "primrosed/outcome.h"
#include "primroseworks/journal.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace primroseworks {

/// One request with a key.
struct KeyedRequest {
  std::string m_key;
  std::string m_bodyHash;
};

/// Result of a keyed run: exactly one of m_answer and m_failure is set.
struct KeyedResult {
  std::optional<JournalResult> m_answer;
  std::optional<Failure> m_failure;
  bool m_replayed = false; ///< The answer was recorded earlier.
};

/// Called before an attempt is sent; a failure forbids it.
using BeforeSend = std::function<std::optional<Failure>(
    const std::string &Attempt, const std::string &Endpoint)>;

/// What a keyed request does when it is its turn, and how the attempt of a
/// daemon that has gone is continued (may be empty).
struct KeyedWork {
  std::function<KeyedResult(const BeforeSend &Claim)> m_run;
  std::function<std::optional<JournalResult>(const std::string &Endpoint,
                                             const std::string &Attempt)>
      m_recover;
};

class Idempotency {
public:
  Idempotency(DaemonContext &Context, Journal &Records, Metrics &Counters);
  ~Idempotency();
  Idempotency(const Idempotency &) = delete;
  Idempotency &operator=(const Idempotency &) = delete;

  /// Runs Work at most once for its key, over all daemons.
  KeyedResult runOnce(const KeyedRequest &Request, const KeyedWork &Work);

  /// Records that could not be written yet.
  std::size_t unsettled() const;
  /// Waits until every record is written, at most Wait.
  bool settle(Milliseconds Wait);

private:
  struct Round;

  std::optional<KeyedResult> settledBy(const ClaimAnswer &Known,
                                       const KeyedRequest &Request,
                                       const KeyedWork &Work);
  std::optional<KeyedResult> lookup(const KeyedRequest &Request,
                                    const KeyedWork &Work);
  std::optional<Failure> claim(Round &State, const std::string &Attempt,
                               const std::string &Endpoint);
  void record(const JournalClaim &Holder, const KeyedResult &Result);
  /// Tries Write now, and in the background until it succeeds.
  void writeUntilDone(std::function<Result<void>()> Write);
  void writeInBackground();

  DaemonContext &m_context;
  Journal &m_journal;
  Metrics &m_metrics;
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  std::deque<std::function<Result<void>()>> m_writes; ///< Not yet written.
  bool m_writing = false; ///< One of them is being tried.
  bool m_stopping = false;
  std::thread m_writer;
};

} // namespace primroseworks

#endif
