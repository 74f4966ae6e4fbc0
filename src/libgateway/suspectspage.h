// The operator's page of crash suspects: which requests are suspected of ending
// the endpoints that run them, and a way to clear one of them.
#ifndef PRIMROSEWORKS_LIBGATEWAY_SUSPECTSPAGE_H
#define PRIMROSEWORKS_LIBGATEWAY_SUSPECTSPAGE_H

#include "primroseworks/suspects.h"

#include <optional>
#include <string>

namespace primroseworks::gateway {

/// GET lists the suspects; POST to SuspectsPath/FINGERPRINT clears one, here
/// and at the other gateways.
inline constexpr const char *SuspectsPath = "/suspects";

struct SuspectsReply {
  unsigned m_status = 200;
  std::string m_body;
  std::optional<std::uint64_t> m_cleared; ///< Fingerprint that was cleared.
};

SuspectsReply answerSuspects(const std::string &Method, const std::string &Path,
                             CrashSuspects &Suspects, TimePoint Now);

} // namespace primroseworks::gateway

#endif
