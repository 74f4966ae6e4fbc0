// What the headers of a caller's request say.
#include "primrosed/requestheaders.h"

#include <algorithm>
#include <cctype>

namespace primroseworks {

namespace {

constexpr std::size_t MaxRequestIdBytes = 128;
constexpr std::size_t MaxKeyBytes = 255;
constexpr long MaxDeadlineMillis = 3600000;

bool isToken(const std::string &Text, std::size_t Most) {
  auto Allowed = [](unsigned char C) {
    return std::isalnum(C) != 0 || C == '.' || C == '_' || C == '-';
  };
  return !Text.empty() && Text.size() <= Most &&
         std::all_of(Text.begin(), Text.end(), Allowed);
}

bool isPrintable(const std::string &Text, std::size_t Most) {
  auto Allowed = [](unsigned char C) { return C > 0x20 && C < 0x7f; };
  return !Text.empty() && Text.size() <= Most &&
         std::all_of(Text.begin(), Text.end(), Allowed);
}

std::string callerOf(const HttpRequest &Req) {
  const std::string &Auth = Req.header("Authorization");
  const std::string Scheme = "Bearer ";
  if (Auth.compare(0, Scheme.size(), Scheme) == 0)
    return Auth.substr(Scheme.size());
  return Req.m_remoteAddress;
}

} // namespace

Result<CallerIdentity> readHeaders(const HttpRequest &Req,
                                   const Catalog &Config, TimePoint Now) {
  CallerIdentity Who;
  Who.m_requestId = Req.header("X-Request-Id");
  if (!Who.m_requestId.empty() && !isToken(Who.m_requestId, MaxRequestIdBytes))
    return makeError(ErrorKind::InvalidArgument,
                     "X-Request-Id must be 1 to 128 letters, digits, '.', '_' "
                     "or '-'");
  Who.m_key = Req.header("Idempotency-Key");
  if (!Who.m_key.empty() && !isPrintable(Who.m_key, MaxKeyBytes))
    return makeError(ErrorKind::InvalidArgument,
                     "Idempotency-Key must be 1 to 255 printable characters "
                     "without spaces");
  Who.m_caller = callerOf(Req);
  auto Default = Config.m_callerRanks.find(Who.m_caller);
  if (Default != Config.m_callerRanks.end())
    Who.m_rank = Default->second;
  const std::string &Wanted = Req.header("X-Primrose-Rank");
  if (!Wanted.empty()) {
    auto Parsed = parseName(RankNames, Wanted);
    if (!Parsed)
      return makeError(ErrorKind::InvalidArgument,
                       "X-Primrose-Rank must be one of: " +
                           allNames(RankNames));
    Who.m_rank = *Parsed;
  }
  Who.m_deadline = Now + Config.rank(Who.m_rank).m_maxQueueTime;
  const std::string &Deadline = Req.header("X-Primrose-Deadline-Ms");
  if (!Deadline.empty()) {
    bool Ok = Deadline.size() <= 7 &&
              Deadline.find_first_not_of("0123456789") == std::string::npos;
    long Value = Ok ? std::stol(Deadline) : 0;
    if (Value < 1 || Value > MaxDeadlineMillis)
      return makeError(ErrorKind::InvalidArgument,
                       "X-Primrose-Deadline-Ms must be a whole number of "
                       "milliseconds from 1 to 3600000");
    Who.m_deadline = Now + Milliseconds(Value);
  }
  return Who;
}

std::optional<StreamPosition> parseEventId(const std::string &EventId) {
  std::size_t Tilde = EventId.find('~');
  std::size_t Colon = EventId.rfind(':');
  if (Tilde == std::string::npos || Colon == std::string::npos ||
      Colon < Tilde || EventId.size() - Colon > 8 ||
      Colon + 1 == EventId.size() ||
      EventId.find_first_not_of("0123456789", Colon + 1) != std::string::npos)
    return std::nullopt;
  StreamPosition Out;
  Out.m_endpoint = EventId.substr(0, Tilde);
  Out.m_attempt = EventId.substr(Tilde + 1, Colon - Tilde - 1);
  Out.m_next = static_cast<unsigned>(std::stoul(EventId.substr(Colon + 1))) + 1;
  return Out;
}

} // namespace primroseworks
