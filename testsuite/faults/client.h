// A caller for the failure cases: completions whose whole answer it can check,
// and calls of services.
#ifndef PRIMROSE_FAULTS_CLIENT_H
#define PRIMROSE_FAULTS_CLIENT_H

#include "primroseworks/time.h"

#include <map>
#include <string>
#include <vector>

namespace primroseworks::faults {

/// One answer as the caller got it.
struct Answer {
  bool m_received = false; ///< False: the connection failed or broke.
  int m_status = 0;
  std::string m_outcome; ///< X-Primrose-Outcome; empty if none came.
  std::string m_body;
  std::map<std::string, std::string> m_headers;
};

/// What was read of a stream.
struct StreamAnswer {
  Answer m_head;
  std::string m_text;
  std::string m_lastId; ///< Of the last event.
  bool m_done = false;  ///< [DONE] came.
  bool m_error = false; ///< An error event came.
};

using Headers = std::vector<std::pair<std::string, std::string>>;

Answer call(const std::string &Url, const std::string &Method,
            const std::string &Path, const Headers &Sent,
            const std::string &Body, Milliseconds Timeout);

/// Reads a streamed completion. StopAfter: closes the connection after so many
/// events; 0: reads to the end.
StreamAnswer stream(const std::string &Url, const Headers &Sent,
                    const std::string &Body, unsigned StopAfter,
                    Milliseconds Timeout);

/// What a bare TCP connection gave.
struct RawAnswer {
  std::string m_bytes;
  bool m_closed = false; ///< By the other side, before the time was over.
};

/// Sends Parts over a bare connection, Pause apart, and reads until the other
/// side closes or Timeout is over.
RawAnswer exchangeBytes(unsigned Port, const std::vector<std::string> &Parts,
                        Milliseconds Pause, Milliseconds Timeout);

/// Port of an URL of a daemon.
unsigned portOf(const std::string &Url);

/// Body of a completion request.
std::string completionBody(const std::string &Model, const std::string &Prompt,
                           unsigned MaxTokens, bool Stream);

/// Text of a whole completion answer; empty if it has none.
std::string textOf(const Answer &Whole);

} // namespace primroseworks::faults

#endif
