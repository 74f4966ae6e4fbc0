// What a caller is told about its request.
#ifndef PRIMROSED_OUTCOME_H
#define PRIMROSED_OUTCOME_H

#include "primroseworks/httpserver.h"
#include "primroseworks/names.h"
#include "primroseworks/time.h"

#include <string>

namespace primroseworks {

/// Value of the header X-Primrose-Outcome.
enum class Outcome {
  Ran,    ///< The whole answer was relayed.
  NotRun, ///< No endpoint executed it, before or after this answer.
  Unknown ///< It may have run.
};
inline constexpr NameTable<Outcome, 3> OutcomeNames = {
    {{Outcome::Ran, "ran"},
     {Outcome::NotRun, "not-run"},
     {Outcome::Unknown, "unknown"}}};

/// A failed request as the caller sees it.
struct Failure {
  Outcome m_outcome = Outcome::NotRun;
  int m_status = 503;
  std::string m_code;           ///< For programs: "queue_full".
  std::string m_message;        ///< For people; ends with the remedy.
  Milliseconds m_retryAfter{0}; ///< 0: no Retry-After.
};

/// Fills an answer with an OpenAI-shaped error and the outcome headers.
void answerFailure(const Failure &Why, HttpResponse &Res);

/// Sets the headers every answer carries.
void setOutcome(Outcome Value, const std::string &RequestId, HttpResponse &Res);

} // namespace primroseworks

#endif
