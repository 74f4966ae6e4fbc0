// Line splitter and field rules of server-sent events.
#include "primroseworks/sse.h"

#include <utility>

namespace primroseworks {

SseParser::SseParser(SseSink Sink, std::size_t MaxEventBytes)
    : m_sink(std::move(Sink)), m_maxBytes(MaxEventBytes) {}

SseParser::State SseParser::feed(std::string_view Piece) {
  while (!Piece.empty() && m_state == State::Open) {
    if (std::exchange(m_skipFeed, false) && Piece.front() == '\n') {
      Piece.remove_prefix(1);
      continue;
    }
    const std::size_t End = Piece.find_first_of("\r\n");
    const std::string_view Text = Piece.substr(0, End);
    if (m_line.size() + m_event.m_data.size() + Text.size() > m_maxBytes) {
      m_state = State::TooLarge;
      break;
    }
    m_line += Text;
    if (End == std::string_view::npos)
      break;
    m_skipFeed = Piece[End] == '\r';
    Piece.remove_prefix(End + 1);
    endLine();
  }
  return m_state;
}

void SseParser::endLine() {
  const std::string Line = std::exchange(m_line, {});
  std::string_view Text = Line;
  if (std::exchange(m_first, false) && Text.rfind("\xEF\xBB\xBF", 0) == 0)
    Text.remove_prefix(3);
  if (Text.empty()) {
    const SseEvent Event = std::exchange(m_event, {});
    if (std::exchange(m_hasData, false) && !m_sink(Event))
      m_state = State::Stopped;
    return;
  }
  const std::size_t Colon = Text.find(':');
  if (Colon == 0) {
    ++m_comments;
    return;
  }
  std::string_view Value;
  if (Colon != std::string_view::npos)
    Value = Text.substr(Colon + 1);
  if (!Value.empty() && Value.front() == ' ')
    Value.remove_prefix(1);
  field(Text.substr(0, Colon), Value);
}

void SseParser::field(std::string_view Name, std::string_view Value) {
  if (Name == "data") {
    if (std::exchange(m_hasData, true))
      m_event.m_data += '\n';
    m_event.m_data += Value;
  } else if (Name == "event") {
    m_event.m_type = Value;
  } else if (Name == "id") {
    m_event.m_id = Value;
  }
}

} // namespace primroseworks
