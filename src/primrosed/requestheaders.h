// What the headers of a caller's request say.
#ifndef PRIMROSED_REQUESTHEADERS_H
#define PRIMROSED_REQUESTHEADERS_H

#include "primroseworks/catalog.h"
#include "primroseworks/error.h"
#include "primroseworks/httpserver.h"
#include "primroseworks/time.h"

#include <optional>
#include <string>

namespace primroseworks {

/// Who sends a request, and how urgent it is.
struct CallerIdentity {
  std::string m_requestId; ///< Empty: the caller sent none.
  std::string m_caller;
  Rank m_rank = Rank::Standard;
  std::string m_key; ///< Idempotency key; empty: none.
  TimePoint m_deadline;
};

/// Reads the headers that every request may have. Fails with InvalidArgument;
/// the message names the header.
Result<CallerIdentity> readHeaders(const HttpRequest &Req,
                                   const Catalog &Config, TimePoint Now);

/// Position in a stream, from an event id.
struct StreamPosition {
  std::string m_endpoint;
  std::string m_attempt;
  unsigned m_next = 0; ///< Index of the first token not yet received.
};

/// Parses a Last-Event-ID.
std::optional<StreamPosition> parseEventId(const std::string &EventId);

} // namespace primroseworks

#endif
