// Fuzz target of the decoder of peer reports: no input crashes it, and what it
// accepts survives another round.
#include "fuzz/target.h"
#include "libgateway/peerreport.h"

#include <cstdlib>
#include <limits>

using namespace primroseworks;
using namespace primroseworks::gateway;

std::vector<std::string> primroseworks::fuzzSeeds() {
  PeerReport R;
  R.m_sender = "vm-1";
  R.m_start = 1234567890123;
  R.m_sequence = 9;
  PeerReport Whole = R;
  Whole.m_loads = {{"e1", {3, 4000, 1200}}};
  Whole.m_demands = {{"m1", {5, 2, 1.25}}};
  Whole.m_wantedAdapters = {{{"m1", "a2"}, 3}};
  Whole.m_usedAdapters = {{"m1", "a2"}};
  Whole.m_holdings = {{"e1", 77, 12, {HeldModel{"m1", 3, {"a1", "a2"}}}}};
  Whole.m_strikes = {{~0ULL, 5}};
  Whole.m_partStrikes = {{~0ULL, 5, 9, Milliseconds(70)}};
  Whole.m_overruns = {{"e1", 77}};
  Whole.m_leaderToken = 41;
  Whole.m_fleetLoads = {{"e2", {7, 9000, 300}}};
  PeerReport Large = R;
  constexpr auto Max = std::numeric_limits<std::uint64_t>::max();
  Large.m_loads = {{"e1", {~0U, Max, Max}}};
  Large.m_start = Max;
  // A map with a demand of -6 running requests.
  const std::string Negative = "\xa5\x61n\x64vm-1\x61t\x01\x61s\x01\x61l\x80"
                               "\x61"
                               "d\x81\x84\x62m1\x25\x02\x03";
  return {encodePeerReport(R), encodePeerReport(Whole), encodePeerReport(Large),
          Negative, "\xa1\x61n\x81\x81\x81\x81\x81\x81\x81\x81\x81\x80"};
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const std::string Bytes(reinterpret_cast<const char *>(Data), Size);
  const Result<PeerReport> Report = decodePeerReport(Bytes);
  // A longer report loses its used adapters, so it is not encoded again.
  if (Report && Size < MaxPeerReportBytes &&
      !decodePeerReport(encodePeerReport(Report.value())))
    std::abort();
  return 0;
}
