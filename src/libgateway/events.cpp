// Finds the boundaries and ids of server-sent events.
#include "libgateway/events.h"
#include "libgateway/memorybudget.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace primroseworks::gateway {

namespace {

/// Calls Visit with each line of the event, without its line end.
template <class Visitor>
void visitLines(std::string_view Event, Visitor Visit) {
  std::size_t LineStart = 0;
  while (LineStart < Event.size()) {
    const std::size_t End = std::min(Event.find('\n', LineStart), Event.size());
    std::string_view Line = Event.substr(LineStart, End - LineStart);
    LineStart = End + 1;
    if (!Line.empty() && Line.back() == '\r')
      Line.remove_suffix(1);
    Visit(Line);
  }
}

/// Whether the line is a field: a name of letters, digits and hyphens, which a
/// colon and a value may follow.
bool isField(std::string_view Line) {
  const std::string_view Name = Line.substr(0, Line.find(':'));
  return !Name.empty() &&
         std::all_of(Name.begin(), Name.end(), [](unsigned char C) {
           return std::isalnum(C) != 0 || C == '-' || C == '_';
         });
}

/// Number in the line if it is a field "id" with a number.
std::optional<std::uint64_t> eventId(std::string_view Line) {
  if (Line.substr(0, 3) != "id:")
    return std::nullopt;
  Line.remove_prefix(3);
  while (!Line.empty() && Line.front() == ' ')
    Line.remove_prefix(1);
  std::uint64_t Id = 0;
  const auto [Rest, Error] =
      std::from_chars(Line.data(), Line.data() + Line.size(), Id);
  return Error == std::errc() ? std::optional(Id) : std::nullopt;
}

} // namespace

void EventSplitter::clear() {
  freeText(m_pending);
  m_lineStart = 0;
  m_searched = 0;
}

/// Size of the first event, including the empty line at its end; 0 if the event
/// is incomplete. Bytes that were searched before are not searched again.
std::size_t EventSplitter::findEventEnd() {
  for (;;) {
    const std::size_t End = m_pending.find('\n', m_searched);
    if (End == std::string::npos) {
      m_searched = m_pending.size();
      return 0;
    }
    const std::string_view Line(m_pending.data() + m_lineStart,
                                End - m_lineStart);
    m_lineStart = End + 1;
    m_searched = End + 1;
    if (Line.empty() || Line == "\r")
      return End + 1;
  }
}

std::optional<StreamEvent> EventSplitter::next() {
  const std::size_t Size = findEventEnd();
  if (Size == 0)
    return std::nullopt;
  StreamEvent Event;
  Event.m_bytes = m_pending.substr(0, Size);
  Event.m_wellFormed = true;
  visitLines(Event.m_bytes, [&Event](std::string_view Line) {
    if (Line.empty() || Line.front() == ':')
      return;
    Event.m_hasFields = true;
    Event.m_wellFormed = Event.m_wellFormed && isField(Line);
    if (!Event.m_id)
      Event.m_id = eventId(Line);
  });
  m_pending.erase(0, Size);
  m_lineStart = 0;
  m_searched = 0;
  return Event;
}

} // namespace primroseworks::gateway
