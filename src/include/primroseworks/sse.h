// Parser of server-sent events, fed in pieces of any size.
#ifndef PRIMROSEWORKS_SSE_H
#define PRIMROSEWORKS_SSE_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace primroseworks {

/// Most bytes of one event; a peer that sends more is not understood.
inline constexpr std::size_t MaxSseEventBytes = 1'000'000;

struct SseEvent {
  std::string m_type; ///< Empty means "message".
  std::string m_data; ///< Lines joined by '\n'.
  std::string m_id;   ///< Of this event; empty if it has none.
};

/// Called for each whole event; false stops the parser.
using SseSink = std::function<bool(const SseEvent &)>;

/// Splits a byte stream into events. An event that is not ended by an empty
/// line is never delivered. Not thread safe.
class SseParser {
public:
  enum class State { Open, Stopped, TooLarge };
  explicit SseParser(SseSink Sink,
                     std::size_t MaxEventBytes = MaxSseEventBytes);
  /// Takes the next piece. Nothing happens after the state has left Open.
  State feed(std::string_view Piece);
  State state() const { return m_state; }
  /// Comment lines seen so far; peers send them as heartbeats.
  std::uint64_t comments() const { return m_comments; }

private:
  void endLine();
  void field(std::string_view Name, std::string_view Value);

  SseSink m_sink;
  std::size_t m_maxBytes;
  State m_state = State::Open;
  std::string m_line;
  SseEvent m_event;
  bool m_hasData = false;
  bool m_first = true; ///< No line has ended yet: a byte order mark may come.
  bool m_skipFeed = false; ///< The last byte was '\r': a '\n' belongs to it.
  std::uint64_t m_comments = 0;
};

} // namespace primroseworks

#endif
