// Splits a stream of server-sent events into complete events with their ids.
#ifndef PRIMROSEWORKS_LIBGATEWAY_EVENTS_H
#define PRIMROSEWORKS_LIBGATEWAY_EVENTS_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace primroseworks::gateway {

/// One event: its bytes as received, including the empty line at its end.
struct StreamEvent {
  std::string m_bytes;
  std::optional<std::uint64_t> m_id;
  /// Whether every line is a field or a comment. The head of an HTTP message or
  /// an error in JSON is not.
  bool m_wellFormed = false;
  bool m_hasFields = false; ///< It has more than comments.
};

class EventSplitter {
public:
  void add(std::string_view Bytes) { m_pending.append(Bytes); }
  /// Returns the next complete event, or nothing if its end has not arrived.
  std::optional<StreamEvent> next();
  /// Number of buffered bytes of an incomplete event.
  std::size_t pending() const { return m_pending.size(); }
  std::size_t memoryBytes() const { return m_pending.capacity(); }
  void clear();

private:
  std::size_t findEventEnd();

  std::string m_pending;
  std::size_t m_lineStart = 0; ///< Of the first line that is not complete.
  std::size_t m_searched = 0;  ///< No line of m_pending ends in between.
};

} // namespace primroseworks::gateway

#endif
