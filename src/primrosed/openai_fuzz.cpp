// Fuzz target of the bodies of completion requests: no body may crash the
// reader, and what it accepts must be within the limits and answerable.
#include "primrosed/openai.h"

#include "fuzz/target.h"

#include <cstdlib>

using namespace primroseworks;

std::vector<std::string> primroseworks::fuzzSeeds() {
  return {R"({"model":"notes","prompt":"a plain question","max_tokens":8,)"
          R"("stream":true,"stream_options":{"include_usage":true},"n":1})",
          R"({"model":"notes","messages":[{"role":"system","content":"short"},)"
          R"({"role":"user","content":[{"type":"text","text":"draft"}]}],)"
          R"("max_completion_tokens":16})",
          R"({"model":"notes","prompt":["one"],"max_tokens":null})"};
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const std::string Body(reinterpret_cast<const char *>(Data), Size);
  for (openai::Form Form : {openai::Form::Chat, openai::Form::Text}) {
    const auto Parsed = openai::parseRequest(Form, Body);
    if (!Parsed) {
      openai::errorBody(Parsed.error().m_message, "invalid_request", "bad");
      continue;
    }
    const openai::CompletionRequest &Request = Parsed.value();
    if (Request.m_maxTokens < 1 || Request.m_maxTokens > openai::MaxTokensLimit)
      std::abort();
    openai::AnswerInfo Info;
    Info.m_form = Form;
    Info.m_model = Request.m_model;
    openai::wholeBody(Info, Request.m_prompt);
    openai::chunkData(Info, Request.m_prompt, true);
  }
  return 0;
}
