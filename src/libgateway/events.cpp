// Finds the boundaries and ids of server-sent events.
#include "libgateway/events.h"

#include <charconv>

namespace primroseworks::gateway {

namespace {

/// Size of the event at the start of Bytes, including the empty line at its
/// end; 0 if the event is incomplete.
std::size_t eventSize(std::string_view Bytes) {
  std::size_t LineStart = 0;
  for (;;) {
    const std::size_t End = Bytes.find('\n', LineStart);
    if (End == std::string_view::npos)
      return 0;
    std::string_view Line = Bytes.substr(LineStart, End - LineStart);
    if (!Line.empty() && Line.back() == '\r')
      Line.remove_suffix(1);
    if (Line.empty())
      return End + 1;
    LineStart = End + 1;
  }
}

/// Numeric id of the event; nothing if it has none.
std::optional<std::uint64_t> eventId(std::string_view Event) {
  std::size_t LineStart = 0;
  while (LineStart < Event.size()) {
    std::size_t End = Event.find('\n', LineStart);
    if (End == std::string_view::npos)
      End = Event.size();
    std::string_view Line = Event.substr(LineStart, End - LineStart);
    LineStart = End + 1;
    if (Line.substr(0, 3) != "id:")
      continue;
    Line.remove_prefix(3);
    while (!Line.empty() && Line.front() == ' ')
      Line.remove_prefix(1);
    std::uint64_t Id = 0;
    const auto [Rest, Error] =
        std::from_chars(Line.data(), Line.data() + Line.size(), Id);
    if (Error == std::errc())
      return Id;
  }
  return std::nullopt;
}

} // namespace

std::optional<StreamEvent> EventSplitter::next() {
  const std::size_t Size = eventSize(m_pending);
  if (Size == 0)
    return std::nullopt;
  StreamEvent Event;
  Event.m_bytes = m_pending.substr(0, Size);
  Event.m_id = eventId(Event.m_bytes);
  m_pending.erase(0, Size);
  return Event;
}

} // namespace primroseworks::gateway
