// The operator's page of crash suspects: which requests and which parts of
// prompts are suspected of ending endpoints, and a way to clear one of them.
#ifndef PRIMROSEWORKS_LIBGATEWAY_SUSPECTSPAGE_H
#define PRIMROSEWORKS_LIBGATEWAY_SUSPECTSPAGE_H

#include "primroseworks/suspects.h"

#include <optional>
#include <string>

namespace primroseworks::gateway {

/// GET lists the suspects; POST to SuspectsPath/FINGERPRINT clears one, here
/// and at the other gateways, POST to SuspectPartsPath/ID a part of a prompt.
inline constexpr const char *SuspectsPath = "/suspects";
inline constexpr const char *SuspectPartsPath = "/suspects/part";

struct SuspectsReply {
  unsigned m_status = 200;
  std::string m_body;
  std::optional<std::uint64_t> m_cleared; ///< Fingerprint that was cleared.
  std::optional<std::uint64_t> m_clearedPart;
};

SuspectsReply answerSuspects(const std::string &Method, const std::string &Path,
                             CrashSuspects &Suspects, TimePoint Now);

} // namespace primroseworks::gateway

#endif
