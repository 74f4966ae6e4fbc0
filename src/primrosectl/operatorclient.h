// Calls of a daemon's operator port.
#ifndef PRIMROSECTL_OPERATORCLIENT_H
#define PRIMROSECTL_OPERATORCLIENT_H

#include "primroseworks/error.h"

#include <string>

namespace primroseworks::ctl {

struct ClientOptions {
  std::string m_url; ///< "http://HOST:PORT" or "https://HOST:PORT".
  std::string m_token;
  std::string m_caFile; ///< PEM; for https, empty: the system's.
};

/// Status and body of an answer.
struct Answer {
  int m_status = 0;
  std::string m_body;
};

/// Sends one call. Fails with Unavailable if nothing was sent and Timeout if no
/// answer came.
Result<Answer> call(const ClientOptions &Options, const std::string &Method,
                    const std::string &Path, const std::string &Body);

} // namespace primroseworks::ctl

#endif
