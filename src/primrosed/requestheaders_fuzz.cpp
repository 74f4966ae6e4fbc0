// Fuzz target of the headers of a caller's request: one header a line, as
// NAME:VALUE. No value may crash the reader, and what it accepts must be
// usable in logs, in keys of the journal and in event ids.
#include "primrosed/requestheaders.h"

#include "fuzz/target.h"

#include <algorithm>
#include <cstdlib>

using namespace primroseworks;

std::vector<std::string> primroseworks::fuzzSeeds() {
  return {"X-Request-Id:abc-1\nIdempotency-Key:key/1\n"
          "Authorization:Bearer front\nX-Primrose-Rank:urgent\n"
          "X-Primrose-Deadline-Ms:3000\nLast-Event-ID:engine-1~a-1:17",
          "X-Primrose-Deadline-Ms:3600000\nLast-Event-ID:~:0\n"
          "Authorization:Basic x"};
}

namespace {

HttpRequest requestFrom(std::string_view Text) {
  HttpRequest Out;
  Out.m_remoteAddress = "127.0.0.1";
  while (!Text.empty()) {
    const std::string_view Line = Text.substr(0, Text.find('\n'));
    const std::size_t Colon = Line.find(':');
    if (Colon != std::string_view::npos)
      Out.m_headers[std::string(Line.substr(0, Colon))] =
          Line.substr(Colon + 1);
    Text.remove_prefix(std::min(Text.size(), Line.size() + 1));
  }
  return Out;
}

bool printable(const std::string &Text) {
  return std::all_of(Text.begin(), Text.end(),
                     [](unsigned char C) { return C > 0x20 && C < 0x7f; });
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const HttpRequest Req =
      requestFrom({reinterpret_cast<const char *>(Data), Size});
  Catalog Config;
  Config.m_callerRanks["front"] = Rank::Batch;
  const TimePoint Now{};
  const auto Who = readHeaders(Req, Config, Now);
  if (Who &&
      (!printable(Who.value().m_requestId) || !printable(Who.value().m_key) ||
       Who.value().m_requestId.size() > 128 || Who.value().m_key.size() > 255 ||
       Who.value().m_deadline < Now ||
       Who.value().m_deadline > Now + Seconds(3600)))
    std::abort();
  const std::string &EventId = Req.header("Last-Event-ID");
  const auto From = parseEventId(EventId);
  if (From &&
      From->m_endpoint.size() + From->m_attempt.size() + 2 >= EventId.size())
    std::abort();
  return 0;
}
