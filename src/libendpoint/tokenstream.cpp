// Rules for the events of a token stream.
#include "libendpoint/tokenstream.h"

#include "libbase/limitedjson.h"

#include <utility>

namespace primroseworks::pvt {

using Json = nlohmann::json;

LoadReport reportFromJson(const Json &From) {
  LoadReport Report;
  Report.m_sequence = From.at("sequence").get<std::uint64_t>();
  Report.m_runId = From.at("run_id").get<std::uint64_t>();
  Report.m_role = parseName(EngineRoleNames, From.value("role", "mixed"))
                      .value_or(EngineRole::Mixed);
  Report.m_running = From.at("running").get<unsigned>();
  Report.m_queued = From.at("queued").get<unsigned>();
  Report.m_maxBatch = From.at("max_batch").get<unsigned>();
  Report.m_queuedPromptTokens =
      From.at("queued_prompt_tokens").get<std::uint64_t>();
  Report.m_prefillTokensPerSecond =
      From.at("prefill_tokens_per_second").get<double>();
  Report.m_tokenGapMillis = From.at("token_gap_ms").get<double>();
  Report.m_kvUsedBytes = From.at("kv_used_bytes").get<std::uint64_t>();
  Report.m_kvTotalBytes = From.at("kv_total_bytes").get<std::uint64_t>();
  Report.m_memoryBytes = From.at("memory_bytes").get<std::uint64_t>();
  Report.m_fence = From.at("fence").get<std::uint64_t>();
  for (const Json &Row : From.at("resident")) {
    ResidentArtifact Held;
    const auto Kind =
        parseName(ArtifactKindNames, Row.at("kind").get<std::string>());
    Held.m_artifact = {Kind.value_or(ArtifactKind::Model),
                       Row.at("name").get<std::string>(),
                       Row.at("version").get<std::string>()};
    Held.m_bytes = Row.at("bytes").get<std::uint64_t>();
    Held.m_inUse = Row.value("in_use", 0U);
    Report.m_resident.push_back(std::move(Held));
  }
  return Report;
}

TokenStream::TokenStream(std::string RequestId, unsigned From,
                         const TokenSink &Sink)
    : m_requestId(std::move(RequestId)), m_next(From), m_sink(Sink) {}

bool TokenStream::onEvent(const SseEvent &Event) {
  if (ended())
    return false;
  const Json Body = parseLimited(Event.m_data);
  try {
    if (Body.at("request_id").get_ref<const std::string &>() != m_requestId) {
      ++m_dropped.m_foreign;
      return true;
    }
    return Body.contains("done") ? onEnd(Body) : onToken(Body);
  } catch (const Json::exception &) {
    ++m_dropped.m_malformed;
    return true;
  }
}

bool TokenStream::onToken(const Json &Body) {
  if (Body.at("index").get<std::int64_t>() != m_next) {
    ++m_dropped.m_outOfOrder;
    return true;
  }
  const TokenEvent Token{m_next, Body.at("token").get<std::string>()};
  ++m_next;
  if (m_sink(Token))
    return true;
  m_result.m_failure = StreamFailure::Cancelled;
  m_result.m_detail = "the receiver stopped the stream";
  return false;
}

bool TokenStream::onEnd(const Json &Body) {
  if (!Body.at("done").get<bool>())
    throw Json::other_error::create(501, "end event without done", &Body);
  StreamEnd End;
  End.m_tokens = Body.at("tokens").get<unsigned>();
  End.m_finishReason = Body.at("finish_reason").get<std::string>();
  End.m_promptTokens = Body.value("prompt_tokens", 0U);
  End.m_cachedPromptTokens = Body.value("cached_prompt_tokens", 0U);
  try {
    if (Body.contains("report"))
      m_result.m_report = reportFromJson(Body.at("report"));
  } catch (const Json::exception &) {
    m_result.m_report.reset(); // The answer is whole without it.
  }
  if (End.m_tokens == m_next) {
    m_result.m_end = std::move(End);
  } else {
    m_result.m_failure = StreamFailure::Invalid;
    m_result.m_detail = "the end event counts " + std::to_string(End.m_tokens) +
                        " tokens, received " + std::to_string(m_next);
  }
  return false;
}

StreamResult TokenStream::finish(StreamFailure Transport,
                                 const std::string &Detail) const {
  StreamResult Result = m_result;
  if (!ended()) {
    Result.m_failure = Transport;
    Result.m_detail = Detail;
  }
  if (m_dropped.total() > 0)
    Result.m_detail += " (dropped: " + std::to_string(m_dropped.m_foreign) +
                       " of other requests, " +
                       std::to_string(m_dropped.m_outOfOrder) +
                       " out of order, " +
                       std::to_string(m_dropped.m_malformed) + " malformed)";
  return Result;
}

} // namespace primroseworks::pvt
