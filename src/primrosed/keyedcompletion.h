// Completions with an Idempotency-Key: run at most once, recorded, replayed.
#ifndef PRIMROSED_KEYEDCOMPLETION_H
#define PRIMROSED_KEYEDCOMPLETION_H

#include "primrosed/completion.h"
#include "primrosed/idempotency.h"

namespace primroseworks {

/// As CompletionRunner::run(), at most once for the job's key. A replayed
/// answer is passed to Sink as one piece without an event id.
CompletionResult runKeyed(Idempotency &Keys, CompletionRunner &Runner,
                          const CompletionJob &Job, const EventSink &Sink,
                          const std::atomic<bool> &Abandon);

} // namespace primroseworks

#endif
