// Text of the operator's page of crash suspects.
#include "libgateway/suspectspage.h"

#include <charconv>
#include <fmt/format.h>

namespace primroseworks::gateway {

namespace {

constexpr int HexBase = 16;

std::optional<std::uint64_t> fingerprintIn(const std::string &Path) {
  const std::string Prefix = std::string(SuspectsPath) + '/';
  if (Path.rfind(Prefix, 0) != 0)
    return std::nullopt;
  std::uint64_t Value = 0;
  const char *End = Path.data() + Path.size();
  const auto [Rest, Error] =
      std::from_chars(Path.data() + Prefix.size(), End, Value, HexBase);
  if (Error != std::errc() || Rest != End)
    return std::nullopt;
  return Value;
}

} // namespace

SuspectsReply answerSuspects(const std::string &Method, const std::string &Path,
                             CrashSuspects &Suspects, TimePoint Now) {
  SuspectsReply Out;
  if (Method == "GET" && Path == SuspectsPath) {
    Out.m_body = "fingerprint strikes suspicion refused expires_in_s\n";
    for (const SuspectState &S : Suspects.list(Now))
      Out.m_body += fmt::format(
          "{:016x} {} {} {} {:.0f}\n", S.m_fingerprint, S.m_strikes,
          S.m_suspicion, S.m_refused ? "yes" : "no", toSeconds(S.m_remaining));
    return Out;
  }
  const std::optional<std::uint64_t> Fingerprint = fingerprintIn(Path);
  if (Method != "POST" || !Fingerprint) {
    Out.m_status = 404;
    Out.m_body = "GET /suspects lists the suspects, POST "
                 "/suspects/FINGERPRINT clears one\n";
    return Out;
  }
  Suspects.onCompleted(*Fingerprint);
  Out.m_cleared = Fingerprint;
  Out.m_body = "cleared\n";
  return Out;
}

} // namespace primroseworks::gateway
