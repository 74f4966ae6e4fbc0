// One streamed call, checked: the answer must be whole and its own.
#ifndef PRIMROSE_LOAD_CALLER_H
#define PRIMROSE_LOAD_CALLER_H

#include "libhttp/httpclient.h"
#include "primrose-load/plan.h"

namespace primroseworks::load {

/// How a call ended for the caller.
enum class CallOutcome {
  Whole,    ///< The whole, right answer.
  Wrong,    ///< An answer that ended normally and is not the right one.
  Broken,   ///< The stream broke or ended with an error event.
  NotRun,   ///< The system said that it did not run.
  Unknown,  ///< The system said that it may have run, or said nothing.
  Rejected, ///< The system called the request invalid.
  NotSent,  ///< No connection.
  Shed      ///< Not sent: too many calls of this tool were in progress.
};
inline constexpr NameTable<CallOutcome, 8> CallOutcomeNames = {
    {{CallOutcome::Whole, "whole"},
     {CallOutcome::Wrong, "wrong"},
     {CallOutcome::Broken, "broken"},
     {CallOutcome::NotRun, "not_run"},
     {CallOutcome::Unknown, "unknown"},
     {CallOutcome::Rejected, "rejected"},
     {CallOutcome::NotSent, "not_sent"},
     {CallOutcome::Shed, "shed"}}};

struct CallRecord {
  Rank m_rank = Rank::Standard;
  CallOutcome m_outcome = CallOutcome::Unknown;
  std::string m_code; ///< Of an error: "queue_full".
  unsigned m_tokens = 0;
  double m_firstTokenMillis = 0; ///< From the scheduled arrival.
  double m_tokenGapMillis = 0;   ///< Mean over the answer.
};

/// Runs the call of What, which was due at Due. Blocks until it has ended.
CallRecord callOnce(pvt::HttpClient &Daemon, const Arrival &What, TimePoint Due,
                    Milliseconds Timeout, const std::atomic<bool> &Stop);

} // namespace primroseworks::load

#endif
