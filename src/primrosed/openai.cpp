// The OpenAI-compatible forms of requests and answers.
#include "primrosed/openai.h"

#include "libbase/limitedjson.h"

#include <nlohmann/json.hpp>

namespace primroseworks::openai {

namespace {

using Json = nlohmann::json;

std::string dump(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Error bad(const std::string &Message) {
  return makeError(ErrorKind::InvalidArgument, Message);
}

/// Text of a message's content: a text, or a list of parts of type text.
Result<std::string> contentText(const Json &Content) {
  if (Content.is_string())
    return Content.get<std::string>();
  std::string Text;
  if (!Content.is_array())
    return bad("messages[].content must be a string or a list of text parts");
  for (const Json &Part : Content) {
    bool Ok = Part.is_object() && Part.value("type", Json()) == "text" &&
              Part.contains("text") && Part["text"].is_string();
    if (!Ok)
      return bad("messages[].content parts must be {\"type\": \"text\", "
                 "\"text\": \"...\"}");
    Text += Part["text"].get<std::string>();
  }
  return Text;
}

Result<std::string> chatPrompt(const Json &Body) {
  if (!Body.contains("messages") || !Body["messages"].is_array() ||
      Body["messages"].empty())
    return bad("messages must be a non-empty list");
  std::string Prompt;
  for (const Json &Message : Body["messages"]) {
    bool Ok = Message.is_object() && Message.contains("role") &&
              Message["role"].is_string() && Message.contains("content");
    if (!Ok)
      return bad("each of messages must have role and content");
    BOOST_OUTCOME_TRY(Text, contentText(Message["content"]));
    Prompt += Message["role"].get<std::string>() + ": " + Text + "\n";
  }
  return Prompt;
}

Result<std::string> textPrompt(const Json &Body) {
  if (!Body.contains("prompt"))
    return bad("prompt is missing");
  const Json &Prompt = Body["prompt"];
  if (Prompt.is_string())
    return Prompt.get<std::string>();
  if (Prompt.is_array() && Prompt.size() == 1 && Prompt[0].is_string())
    return Prompt[0].get<std::string>();
  return bad("prompt must be one string; send one request a prompt");
}

Result<unsigned> maxTokens(const Json &Body) {
  for (const char *Key : {"max_completion_tokens", "max_tokens"}) {
    if (!Body.contains(Key) || Body[Key].is_null())
      continue;
    bool Ok = Body[Key].is_number_integer() && Body[Key].get<long>() >= 1 &&
              Body[Key].get<long>() <= static_cast<long>(MaxTokensLimit);
    if (!Ok)
      return bad(std::string(Key) + " must be a whole number from 1 to " +
                 std::to_string(MaxTokensLimit));
    return Body[Key].get<unsigned>();
  }
  return 16U;
}

Result<bool> flagOf(const Json &Body, const char *Key) {
  if (!Body.contains(Key) || Body[Key].is_null())
    return false;
  if (!Body[Key].is_boolean())
    return bad(std::string(Key) + " must be true or false");
  return Body[Key].get<bool>();
}

Json usage(const AnswerInfo &Info) {
  return {{"prompt_tokens", Info.m_promptTokens},
          {"completion_tokens", Info.m_completionTokens},
          {"total_tokens", Info.m_promptTokens + Info.m_completionTokens}};
}

Json envelope(const AnswerInfo &Info, const char *ChatObject) {
  return {
      {"id", Info.m_id},
      {"object", Info.m_form == Form::Chat ? ChatObject : "text_completion"},
      {"created", Info.m_created},
      {"model", Info.m_model}};
}

} // namespace

Result<CompletionRequest> parseRequest(Form Which, const std::string &Text) {
  Json Body = pvt::parseLimited(Text);
  if (!Body.is_object())
    return bad("the body is not a JSON object of at most 64 levels; send one "
               "with content type application/json");
  CompletionRequest Out;
  Out.m_form = Which;
  if (!Body.contains("model") || !Body["model"].is_string())
    return bad("model is missing or not a string");
  Out.m_model = Body["model"].get<std::string>();
  if (Body.contains("n") && Body["n"] != 1 && !Body["n"].is_null())
    return bad("n must be 1; send several requests instead");
  BOOST_OUTCOME_TRY(Prompt,
                    Which == Form::Chat ? chatPrompt(Body) : textPrompt(Body));
  Out.m_prompt = std::move(Prompt);
  BOOST_OUTCOME_TRY(Tokens, maxTokens(Body));
  Out.m_maxTokens = Tokens;
  BOOST_OUTCOME_TRY(Stream, flagOf(Body, "stream"));
  Out.m_stream = Stream;
  if (Body.contains("stream_options") && Body["stream_options"].is_object()) {
    BOOST_OUTCOME_TRY(Usage, flagOf(Body["stream_options"], "include_usage"));
    Out.m_includeUsage = Usage;
  }
  return Out;
}

std::string wholeBody(const AnswerInfo &Info, const std::string &Text) {
  Json Body = envelope(Info, "chat.completion");
  Json Choice = {{"index", 0}, {"finish_reason", Info.m_finishReason}};
  if (Info.m_form == Form::Chat)
    Choice["message"] = {{"role", "assistant"}, {"content", Text}};
  else
    Choice["text"] = Text;
  Body["choices"] = Json::array({Choice});
  Body["usage"] = usage(Info);
  return dump(Body);
}

std::string chunkData(const AnswerInfo &Info, const std::string &Text,
                      bool First) {
  Json Body = envelope(Info, "chat.completion.chunk");
  Json Choice = {{"index", 0}, {"finish_reason", nullptr}};
  if (Info.m_form == Form::Chat) {
    Choice["delta"] = {{"content", Text}};
    if (First)
      Choice["delta"]["role"] = "assistant";
  } else {
    Choice["text"] = Text;
  }
  Body["choices"] = Json::array({Choice});
  return dump(Body);
}

std::string finalChunkData(const AnswerInfo &Info, bool IncludeUsage) {
  Json Body = envelope(Info, "chat.completion.chunk");
  Json Choice = {{"index", 0}, {"finish_reason", Info.m_finishReason}};
  if (Info.m_form == Form::Chat)
    Choice["delta"] = Json::object();
  else
    Choice["text"] = "";
  Body["choices"] = Json::array({Choice});
  if (IncludeUsage)
    Body["usage"] = usage(Info);
  return dump(Body);
}

std::string errorBody(const std::string &Message, const std::string &Type,
                      const std::string &Code) {
  return dump({{"error",
                {{"message", Message},
                 {"type", Type},
                 {"param", nullptr},
                 {"code", Code}}}});
}

} // namespace primroseworks::openai
