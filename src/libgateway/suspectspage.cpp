// Text of the operator's page of crash suspects.
#include "libgateway/suspectspage.h"

#include <charconv>
#include <fmt/format.h>

namespace primroseworks::gateway {

namespace {

constexpr int HexBase = 16;

/// The number that follows Base and a slash.
std::optional<std::uint64_t> numberAfter(const char *Base,
                                         const std::string &Path) {
  const std::string Prefix = std::string(Base) + '/';
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

std::string listParts(const PartSuspects &Parts, TimePoint Now) {
  std::string Out;
  for (const PartSuspectState &S : Parts.list(Now))
    Out +=
        fmt::format("{:x} {} {} {} {:.0f}\n", S.m_part, S.m_ends, S.m_requests,
                    S.m_refused ? "yes" : "no", toSeconds(S.m_remaining));
  return Out.empty() ? Out : "part ends requests refused ends_in_s\n" + Out;
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
    Out.m_body += listParts(Suspects.parts(), Now);
    return Out;
  }
  const std::optional<std::uint64_t> Part = numberAfter(SuspectPartsPath, Path);
  const std::optional<std::uint64_t> Fingerprint =
      numberAfter(SuspectsPath, Path);
  if (Method != "POST" || (!Fingerprint && !Part)) {
    Out.m_status = 404;
    Out.m_body = "GET /suspects lists the suspects, POST "
                 "/suspects/FINGERPRINT or /suspects/part/ID clears one\n";
    return Out;
  }
  if (Part)
    Suspects.parts().clear(*Part);
  else
    Suspects.onCompleted(*Fingerprint);
  Out.m_clearedPart = Part;
  Out.m_cleared = Fingerprint;
  Out.m_body = "cleared\n";
  return Out;
}

} // namespace primroseworks::gateway
