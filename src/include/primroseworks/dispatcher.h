// Joins routing, admission, retry budgets and crash suspects: decides which
// request runs next, where, and which is refused. The daemon and primrose-bench
// drive the same object. It does no I/O; time is an argument. Not thread safe:
// the owner serialises the calls.
#ifndef PRIMROSEWORKS_DISPATCHER_H
#define PRIMROSEWORKS_DISPATCHER_H

#include "primroseworks/catalog.h"
#include "primroseworks/engine.h"
#include "primroseworks/error.h"
#include "primroseworks/time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace primroseworks {

enum class EndpointState { Live, Leaving };

/// An engine as the dispatcher sees it.
struct EndpointInfo {
  std::string m_name;
  std::string m_region;
  std::string m_failureDomain;
  EndpointState m_state = EndpointState::Live;
};

/// A request to place.
struct DispatchRequest {
  std::string m_id;     ///< Unique within this dispatcher.
  std::string m_caller; ///< For fairness.
  std::string m_model;
  std::string m_version; ///< Version to run; from the catalog.
  std::string m_adapter;
  Rank m_rank = Rank::Standard;
  std::vector<std::uint64_t> m_prefixHashes; ///< Of prompt blocks, cumulative.
  unsigned m_promptTokens = 0;
  unsigned m_maxTokens = 0;
  TimePoint m_deadline; ///< Latest useful time of the first token.
  std::uint64_t m_fingerprint = 0;
  bool m_retry = false;               ///< Not its first attempt.
  std::vector<std::string> m_exclude; ///< Endpoints that failed it.
};

/// One candidate with the figures that ranked it; lower score is better.
struct Candidate {
  std::string m_endpoint;
  double m_firstTokenMillis = 0;
  double m_tokenGapMillis = 0;
  unsigned m_cachedTokens = 0;
  double m_price = 0;
  double m_score = 0;
  std::string m_note; ///< Why it was passed over, if it was.
};

/// Run the request there now.
struct Grant {
  std::string m_requestId;
  std::string m_endpoint;
  std::string m_reason;
  std::vector<Candidate> m_candidates;
};

enum class RefusalReason {
  DeadlinePassed,
  QueueFull,
  NoEndpoint,
  CrashSuspect,
  RetryBudget,
  QueueTimeout
};
inline constexpr NameTable<RefusalReason, 6> RefusalReasonNames = {
    {{RefusalReason::DeadlinePassed, "deadline_passed"},
     {RefusalReason::QueueFull, "queue_full"},
     {RefusalReason::NoEndpoint, "no_endpoint"},
     {RefusalReason::CrashSuspect, "crash_suspect"},
     {RefusalReason::RetryBudget, "retry_budget"},
     {RefusalReason::QueueTimeout, "queue_timeout"}}};

/// Answer the request with `not-run`.
struct Refusal {
  std::string m_requestId;
  RefusalReason m_reason = RefusalReason::QueueFull;
  Milliseconds m_retryAfter{1000};
};

/// Cancel the running request and submit it again with what it has.
struct Preemption {
  std::string m_requestId;
};

/// What to do now.
struct Decisions {
  std::vector<Grant> m_grants;
  std::vector<Refusal> m_refusals;
  std::vector<Preemption> m_preemptions;
};

/// How an attempt ended.
enum class AttemptOutcome {
  Completed,
  NotRun,       ///< Refused by the endpoint or never sent.
  Failed,       ///< Broke after it was sent.
  Cancelled,    ///< The caller left or it was preempted.
  EndpointDied, ///< The endpoint's process died while it ran.
};

/// Parts of routing that can be left out, for ablations.
struct RoutingParts {
  /// Load reports are corrected by what was sent and has ended since.
  bool m_loadCorrection = true;
  bool m_prefixBelief = true; ///< Prompts expected in caches cost less.
  bool m_linkPrice = true;    ///< Slow links have a price in the score.
  bool m_drawTwo = true;      ///< The better of two drawn, not the best of all.
};

struct DispatcherOptions {
  std::string m_region; ///< Region of this daemon.
  unsigned m_maxQueued = 2000;
  double m_retryBudget = 0.1; ///< Retries as a share of completed requests.
  unsigned m_crashStrikes = 3;
  Seconds m_crashRefusal{600};
  Milliseconds m_failureDomainDelay{1};
  Milliseconds m_regionDelay{12};
  std::uint64_t m_seed = 1;
  RoutingParts m_routing;
};

/// How often strikes of fingerprints that wait are sent again.
inline constexpr Milliseconds StrikeRepeatInterval{2000};

class Dispatcher {
public:
  virtual ~Dispatcher() = default;
  virtual void setCatalog(std::shared_ptr<const Catalog> Next,
                          TimePoint Now) = 0;
  /// Adds or changes an endpoint. A leaving one gets no new request.
  virtual void setEndpoint(const EndpointInfo &Info, TimePoint Now) = 0;
  virtual void removeEndpoint(const std::string &Name, TimePoint Now) = 0;
  virtual void onReport(const std::string &Endpoint, const LoadReport &Report,
                        TimePoint Now) = 0;
  virtual void onCacheEvents(const std::string &Endpoint,
                             const std::vector<CacheEvent> &Events,
                             TimePoint Now) = 0;
  /// InFlight: how many requests all other daemons together have in progress at
  /// Endpoint now, as far as they said.
  virtual void onPeerLoad(const std::string &Endpoint, unsigned InFlight,
                          TimePoint Now) = 0;
  /// Queues a request; poll() answers it.
  virtual void submit(DispatchRequest Request, TimePoint Now) = 0;
  /// Withdraws a queued request.
  virtual void withdraw(const std::string &RequestId, TimePoint Now) = 0;
  /// All decisions that can be taken now. Call it after each event and at
  /// least every 20 ms while something is queued.
  virtual Decisions poll(TimePoint Now) = 0;
  virtual void onFirstToken(const std::string &RequestId, TimePoint Now) = 0;
  virtual void onFinished(const std::string &RequestId, AttemptOutcome Outcome,
                          const StreamEnd *End, TimePoint Now) = 0;
  /// Adds a strike that a peer reported; crash 0 means that the fingerprint
  /// completed there, which clears it. Returns the fingerprint's strikes.
  virtual unsigned addStrike(std::uint64_t Fingerprint, std::uint64_t Crash,
                             TimePoint Now) = 0;
  /// Fingerprints with news for the peers since the last call, each with the
  /// crash that struck it; crash 0 tells them that it completed.
  virtual std::vector<std::pair<std::uint64_t, std::uint64_t>>
  takeStrikes() = 0;
  /// Strikes to send again; call it every StrikeRepeatInterval.
  virtual std::vector<std::pair<std::uint64_t, std::uint64_t>>
  repeatStrikes(TimePoint Now) = 0;
  virtual void clearSuspect(std::uint64_t Fingerprint) = 0;
  virtual std::size_t queued(Rank R) const = 0;
  virtual std::size_t inFlight() const = 0;
};

/// The dispatcher that the daemon uses. Fails with InvalidArgument if an option
/// is out of range.
Result<std::unique_ptr<Dispatcher>> createDispatcher(DispatcherOptions Options);

} // namespace primroseworks

#endif
