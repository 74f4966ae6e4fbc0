// Streamed completions in the OpenAI form, and the check of their answers.
#include "primrose-load/caller.h"

#include "primrose-standins/tokens.h"
#include "primroseworks/sse.h"

#include <nlohmann/json.hpp>

namespace primroseworks::load {
namespace {

using Json = nlohmann::json;

/// What has arrived of one answer.
struct Answer {
  std::string m_text;
  unsigned m_pieces = 0;
  TimePoint m_first;
  TimePoint m_last;
  bool m_finished = false; ///< "[DONE]" came.
  std::string m_errorCode; ///< Of an error event.
};

std::string codeOf(const Json &Body) {
  try {
    return Body.at("error").at("code").get<std::string>();
  } catch (const Json::exception &) {
    return "no_code";
  }
}

bool take(const SseEvent &Event, Answer &Into) {
  if (Event.m_data == "[DONE]") {
    Into.m_finished = true;
    return true;
  }
  const Json Body = Json::parse(Event.m_data, nullptr, false);
  if (Event.m_type == "error" || (Body.is_object() && Body.contains("error"))) {
    Into.m_errorCode = codeOf(Body);
    return true;
  }
  try {
    const auto Text = Body.at("choices").at(0).at("text").get<std::string>();
    if (Text.empty())
      return true;
    Into.m_last = std::chrono::steady_clock::now();
    if (Into.m_pieces++ == 0)
      Into.m_first = Into.m_last;
    Into.m_text += Text;
  } catch (const Json::exception &) {
    Into.m_errorCode = "malformed_event";
  }
  return true;
}

pvt::HttpCall callFor(const Arrival &What, Milliseconds Timeout) {
  pvt::HttpCall Call;
  Call.m_method = "POST";
  Call.m_path = "/v1/completions";
  Call.m_headers = {
      {"X-Request-Id", What.m_requestId},
      {"X-Primrose-Rank", std::string(nameOf(RankNames, What.m_kind.m_rank))}};
  if (What.m_kind.m_keyed)
    Call.m_headers.emplace_back("Idempotency-Key", What.m_requestId);
  Call.m_body = Json({{"model", What.m_kind.m_model},
                      {"prompt", What.m_prompt},
                      {"max_tokens", What.m_kind.m_maxTokens},
                      {"stream", true}})
                    .dump();
  Call.m_timeout = Timeout;
  // The daemon is silent until the first token, which may wait in a queue.
  Call.m_silence = Timeout;
  return Call;
}

CallOutcome failedOutcome(const pvt::HttpReply &Reply, CallRecord &Record) {
  if (Reply.m_failure) {
    Record.m_code = Reply.m_failure == pvt::HttpFailure::Timeout
                        ? "call_timeout"
                        : Reply.m_detail;
    if (Reply.m_failure == pvt::HttpFailure::NotSent)
      return CallOutcome::NotSent;
    return Reply.m_status == 200 ? CallOutcome::Broken : CallOutcome::Unknown;
  }
  Record.m_code = codeOf(Json::parse(Reply.m_body, nullptr, false));
  const std::string Told = Reply.header("X-Primrose-Outcome");
  if (Told == "not-run")
    return Reply.m_status == 429 || Reply.m_status == 503
               ? CallOutcome::NotRun
               : CallOutcome::Rejected;
  return CallOutcome::Unknown;
}

} // namespace

CallRecord callOnce(pvt::HttpClient &Daemon, const Arrival &What, TimePoint Due,
                    Milliseconds Timeout, const std::atomic<bool> &Stop) {
  Answer Got;
  SseParser Parser([&Got](const SseEvent &Event) { return take(Event, Got); });
  const pvt::HttpReply Reply = Daemon.call(
      callFor(What, Timeout),
      [&](std::string_view Piece) {
        return Parser.feed(Piece) == SseParser::State::Open;
      },
      &Stop);
  CallRecord Record;
  Record.m_rank = What.m_kind.m_rank;
  Record.m_tokens = Got.m_pieces;
  if (Got.m_pieces > 0)
    Record.m_firstTokenMillis = toMillis(Got.m_first - Due);
  if (Got.m_pieces > 1)
    Record.m_tokenGapMillis =
        toMillis(Got.m_last - Got.m_first) / (Got.m_pieces - 1);
  if (Reply.m_failure || Reply.m_status != 200) {
    Record.m_outcome = failedOutcome(Reply, Record);
  } else if (!Got.m_errorCode.empty() || !Got.m_finished) {
    Record.m_outcome = CallOutcome::Broken;
    Record.m_code =
        Got.m_errorCode.empty() ? "no_end_of_stream" : Got.m_errorCode;
  } else {
    const bool Right =
        Got.m_text ==
        standins::answerTo(What.m_prompt, What.m_kind.m_maxTokens);
    Record.m_outcome = Right ? CallOutcome::Whole : CallOutcome::Wrong;
  }
  return Record;
}

} // namespace primroseworks::load
