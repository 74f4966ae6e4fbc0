// The OpenAI-compatible forms of requests and answers.
#ifndef PRIMROSED_OPENAI_H
#define PRIMROSED_OPENAI_H

#include "primroseworks/error.h"
#include "primroseworks/httpserver.h"

#include <string>

namespace primroseworks::openai {

enum class Form { Chat, Text };

/// A parsed completion request.
struct CompletionRequest {
  Form m_form = Form::Text;
  std::string m_model; ///< Name of a model or an adapter.
  std::string m_prompt;
  unsigned m_maxTokens = 16;
  bool m_stream = false;
  bool m_includeUsage = false;
};

/// Most tokens that a request may ask for.
inline constexpr unsigned MaxTokensLimit = 32768;

/// Parses a body. Fails with InvalidArgument; the message names the field.
Result<CompletionRequest> parseRequest(Form Which, const std::string &Body);

/// What an answer says besides its text.
struct AnswerInfo {
  Form m_form = Form::Text;
  std::string m_id;
  std::string m_model;
  std::string m_finishReason;
  unsigned m_promptTokens = 0;
  unsigned m_completionTokens = 0;
  long long m_created = 0; ///< Seconds since 1970.
};

/// Body of a whole answer.
std::string wholeBody(const AnswerInfo &Info, const std::string &Text);

/// Data of one streamed piece.
std::string chunkData(const AnswerInfo &Info, const std::string &Text,
                      bool First);

/// Data of the last piece, which carries the finish reason.
std::string finalChunkData(const AnswerInfo &Info, bool IncludeUsage);

/// Body of an error: `{"error": {message, type, code}}`.
std::string errorBody(const std::string &Message, const std::string &Type,
                      const std::string &Code);

} // namespace primroseworks::openai

#endif
