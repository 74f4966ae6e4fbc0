// libFuzzer target: the event parser and the rules for token events must take
// any bytes, in pieces of any size, with the same result.
#include "libendpoint/tokenstream.h"

#include "fuzz/target.h"

#include <cstdlib>

using namespace primroseworks;

namespace {

struct Outcome {
  std::string m_text;
  bool m_ended = false;
  std::uint64_t m_dropped = 0;
};

Outcome parse(std::string_view Text, std::size_t Step) {
  Outcome Out;
  unsigned Next = 0;
  const TokenSink Sink = [&](const TokenEvent &Token) {
    if (Token.m_index != Next++)
      std::abort(); // A token is lost or repeated.
    Out.m_text += Token.m_text;
    return true;
  };
  pvt::TokenStream Tokens("a", 0, Sink);
  SseParser Parser(
      [&Tokens](const SseEvent &Event) { return Tokens.onEvent(Event); });
  for (std::size_t At = 0; At < Text.size(); At += Step)
    if (Parser.feed(Text.substr(At, Step)) != SseParser::State::Open)
      break;
  const StreamResult Result = Tokens.finish(StreamFailure::Broken, "");
  if (Result.m_end.has_value() == Result.m_failure.has_value() ||
      (Result.m_end && Result.m_end->m_tokens != Next))
    std::abort(); // The result contradicts what was delivered.
  Out.m_ended = Result.m_end.has_value();
  Out.m_dropped = Tokens.dropped().total();
  return Out;
}

} // namespace

std::vector<std::string> primroseworks::fuzzSeeds() {
  return {std::string("\x05") +
              "data: {\"request_id\":\"a\",\"index\":0,\"token\":\"x\"}\n\n"
              "data: {\"request_id\":\"a\",\"index\":1,\"token\":\"y\"}\n\n"
              "data: {\"request_id\":\"a\",\"done\":true,\"tokens\":2,"
              "\"finish_reason\":\"stop\"}\n\n",
          std::string("\x01") + ": comment\r\nid: 4\r\nevent: error\r\n"
                                "data: one\r\ndata: two\r\n\r\n"};
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  if (Size < 1)
    return 0;
  const std::string_view Text(reinterpret_cast<const char *>(Data) + 1,
                              Size - 1);
  const Outcome Whole = parse(Text, Text.size() + 1);
  const Outcome Pieces = parse(Text, 1 + Data[0] % 16);
  if (Whole.m_text != Pieces.m_text || Whole.m_ended != Pieces.m_ended ||
      Whole.m_dropped != Pieces.m_dropped)
    std::abort();
  return 0;
}
