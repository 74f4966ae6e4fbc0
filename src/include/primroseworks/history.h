// Histories of concurrent runs: a recorder, and a checker of the promises that
// the system makes to callers and operators.
#ifndef PRIMROSEWORKS_HISTORY_H
#define PRIMROSEWORKS_HISTORY_H

#include "primroseworks/error.h"
#include "primroseworks/names.h"
#include "primroseworks/time.h"

#include <cstdint>
#include <iosfwd>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace primroseworks {

enum class HistoryKind {
  Invocation,            ///< A caller sent a request.
  Response,              ///< The caller got an answer, or gave up.
  Execution,             ///< An endpoint ran a request (its own ledger).
  ConfigurationAccepted, ///< A revision was accepted.
  ConfigurationSeen,     ///< A daemon had a revision in force.
  Memory,                ///< True memory in use on an accelerator.
  Fault                  ///< A fault was injected.
};
inline constexpr NameTable<HistoryKind, 7> HistoryKindNames = {
    {{HistoryKind::Invocation, "invocation"},
     {HistoryKind::Response, "response"},
     {HistoryKind::Execution, "execution"},
     {HistoryKind::ConfigurationAccepted, "configuration_accepted"},
     {HistoryKind::ConfigurationSeen, "configuration_seen"},
     {HistoryKind::Memory, "memory"},
     {HistoryKind::Fault, "fault"}}};

/// What a caller was told about its request.
enum class CallerOutcome { Ran, NotRun, Unknown };
inline constexpr NameTable<CallerOutcome, 3> CallerOutcomeNames = {
    {{CallerOutcome::Ran, "ran"},
     {CallerOutcome::NotRun, "not-run"},
     {CallerOutcome::Unknown, "unknown"}}};

/// One event; which members count depends on the kind.
struct HistoryEvent {
  HistoryKind m_kind = HistoryKind::Fault;
  std::int64_t m_atMicros = 0; ///< One clock for the whole run.
  std::string m_requestId;     ///< The caller's, unique per invocation.
  std::string m_key; ///< Of requests that must not be repeated; empty: none.
  std::string m_subject; ///< Caller, endpoint, daemon, or kind of fault.
  CallerOutcome m_outcome = CallerOutcome::Unknown;
  std::string m_answer;      ///< The answer or its digest.
  bool m_complete = true;    ///< The answer arrived with its end.
  std::uint64_t m_value = 0; ///< Revision, or bytes in use.
  std::uint64_t m_limit = 0; ///< Size of the accelerator in bytes.
};

/// The event as one line of JSON, without its end.
std::string encodeHistoryEvent(const HistoryEvent &Event);
/// Fails with Protocol if Line is not an event.
Result<HistoryEvent> decodeHistoryEvent(const std::string &Line);
/// Reads JSON lines; an error names the line.
Result<std::vector<HistoryEvent>> readHistory(std::istream &In);

/// Writes events to a file of JSON lines, in the order of the calls. Thread
/// safe.
class HistoryRecorder {
public:
  virtual ~HistoryRecorder() = default;
  /// Sets the event's time if it is 0.
  virtual void record(HistoryEvent Event) = 0;
  /// Ends the file; fails with Unavailable if it could not be written.
  virtual Result<void> close() = 0;
};
Result<std::unique_ptr<HistoryRecorder>>
createHistoryRecorder(const std::string &Path);

/// Promises that a history is checked for.
enum class Promise {
  AtMostOnce,     ///< A key was executed at most once.
  WholeAnswer,    ///< `ran` came with the whole answer to that request.
  NotRunTruth,    ///< A request that got `not-run` was never executed.
  NeverReverts,   ///< No daemon went back to a lower revision.
  InForce,        ///< An accepted revision is in force within 4 s.
  MemoryFits,     ///< Memory in use never exceeded an accelerator's size.
  SingleResponse, ///< One response per invocation, none without.
};
inline constexpr NameTable<Promise, 7> PromiseNames = {
    {{Promise::AtMostOnce, "at-most-once"},
     {Promise::WholeAnswer, "whole-answer"},
     {Promise::NotRunTruth, "not-run-truth"},
     {Promise::NeverReverts, "configuration-never-reverts"},
     {Promise::InForce, "configuration-in-force"},
     {Promise::MemoryFits, "memory-fits"},
     {Promise::SingleResponse, "single-response"}}};

/// A broken promise and the events that show it.
struct Violation {
  Promise m_promise = Promise::AtMostOnce;
  std::string m_text;
};

struct HistoryReport {
  std::uint64_t m_requests = 0;
  std::uint64_t m_unanswered = 0; ///< Invocations without a response.
  std::uint64_t m_executions = 0;
  std::map<std::string, std::uint64_t> m_outcomes; ///< By name.
  std::map<std::string, std::uint64_t> m_faults;   ///< By kind.
  std::vector<Violation> m_violations;
};

/// An accepted revision must be in force everywhere within this.
inline constexpr Milliseconds ConfigurationDeadline{4000};

/// Checks a whole run. Events may be in any order.
HistoryReport checkHistory(std::vector<HistoryEvent> Events);

/// Prints requests, faults by kind, and the violations of each promise.
void printReport(const HistoryReport &Report, std::ostream &Out);

} // namespace primroseworks

#endif
