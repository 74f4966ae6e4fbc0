// Completions with an Idempotency-Key.
#include "primrosed/keyedcompletion.h"

#include <nlohmann/json.hpp>

namespace primroseworks {

namespace {

using Json = nlohmann::json;

JournalResult encode(const CompletionResult &Result) {
  Json Body = {{"text", Result.m_text},
               {"tokens", Result.m_end.m_tokens},
               {"prompt_tokens", Result.m_end.m_promptTokens},
               {"finish_reason", Result.m_end.m_finishReason}};
  return {200, "application/json",
          Body.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

CompletionResult decode(const JournalResult &Answer) {
  CompletionResult Out;
  Json Body = Json::parse(Answer.m_body, nullptr, false);
  if (!Body.is_object()) {
    Failure Why;
    Why.m_outcome = Outcome::Unknown;
    Why.m_status = 502;
    Why.m_code = "bad_record";
    Why.m_message = "the recorded answer cannot be read; it ran, ask the "
                    "operator";
    Out.m_failure = Why;
    return Out;
  }
  Out.m_text = Body.value("text", "");
  Out.m_end.m_tokens = Body.value("tokens", 0U);
  Out.m_end.m_promptTokens = Body.value("prompt_tokens", 0U);
  Out.m_end.m_finishReason = Body.value("finish_reason", "");
  return Out;
}

} // namespace

CompletionResult runKeyed(Idempotency &Keys, CompletionRunner &Runner,
                          const CompletionJob &Job, const EventSink &Sink,
                          const std::atomic<bool> &Abandon) {
  KeyedWork Work;
  Work.m_run = [&](const BeforeSend &Claim) {
    CompletionJob Claimed = Job;
    Claimed.m_beforeSend = Claim;
    CompletionResult Result = Runner.run(Claimed, Sink, Abandon);
    KeyedResult Out;
    if (Result.m_failure)
      Out.m_failure = Result.m_failure;
    else
      Out.m_answer = encode(Result);
    return Out;
  };
  Work.m_recover =
      [&](const std::string &Endpoint,
          const std::string &Attempt) -> std::optional<JournalResult> {
    CompletionResult Result =
        Runner.resume({Endpoint, Attempt, 0}, Sink, Abandon);
    if (Result.m_failure)
      return std::nullopt;
    return encode(Result);
  };
  KeyedResult Settled = Keys.runOnce({Job.m_key, Job.m_bodyHash}, Work);
  if (!Settled.m_answer) {
    CompletionResult Out;
    Out.m_failure = Settled.m_failure;
    return Out;
  }
  CompletionResult Out = decode(*Settled.m_answer);
  if (Settled.m_replayed && !Out.m_failure)
    Sink("", Out.m_text);
  return Out;
}

} // namespace primroseworks
