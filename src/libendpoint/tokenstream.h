// Checks the events of one attempt: only the next token of the expected request
// is let through, and only a matching end event ends the stream normally.
#ifndef PRIMROSEWORKS_LIBENDPOINT_TOKENSTREAM_H
#define PRIMROSEWORKS_LIBENDPOINT_TOKENSTREAM_H

#include "primroseworks/engine.h"
#include "primroseworks/sse.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace primroseworks::pvt {

/// A load report from its JSON form; throws nlohmann::json::exception.
LoadReport reportFromJson(const nlohmann::json &From);

/// Events that were dropped, by reason.
struct DroppedEvents {
  std::uint64_t m_foreign = 0;    ///< Another request's id.
  std::uint64_t m_outOfOrder = 0; ///< Not the next index: doubled, late, early.
  std::uint64_t m_malformed = 0;  ///< Not an event of this protocol.
  std::uint64_t total() const { return m_foreign + m_outOfOrder + m_malformed; }
};

class TokenStream {
public:
  /// From is the index of the first token expected.
  TokenStream(std::string RequestId, unsigned From, const TokenSink &Sink);
  /// Takes one event; false ends the stream.
  bool onEvent(const SseEvent &Event);
  /// The result, once nothing more comes. Transport says how the connection
  /// ended if no end event came.
  StreamResult finish(StreamFailure Transport, const std::string &Detail) const;
  bool ended() const { return m_result.m_end || m_result.m_failure; }
  const DroppedEvents &dropped() const { return m_dropped; }

private:
  bool onToken(const nlohmann::json &Body);
  bool onEnd(const nlohmann::json &Body);

  std::string m_requestId;
  unsigned m_next; ///< Every token before this index was given to the sink.
  const TokenSink &m_sink;
  DroppedEvents m_dropped;
  StreamResult m_result;
};

} // namespace primroseworks::pvt

#endif
