// Fuzz target of an engine's answers to reads and orders: no body may crash
// the readers, nor be taken for something else.
#include "libendpoint/engineanswers.h"

#include "fuzz/target.h"

#include <cstdlib>

using namespace primroseworks;

std::vector<std::string> primroseworks::fuzzSeeds() {
  return {R"({"sequence":4,"run_id":9,"role":"mixed","running":2,"queued":1,)"
          R"("max_batch":32,"queued_prompt_tokens":80,)"
          R"("prefill_tokens_per_second":9000.5,"token_gap_ms":12.5,)"
          R"("kv_used_bytes":1000,"kv_total_bytes":10000000000,)"
          R"("memory_bytes":80000000000,"fence":3,"resident":[{"kind":"model",)"
          R"("name":"notes","version":"1","bytes":6442450944,"in_use":1}]})",
          R"({"events":[{"sequence":7,"stored":true,"model":"notes",)"
          R"("prefix_hash":18446744073709551615}]})",
          R"({"order_id":"o-1","state":"pending"})"};
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const std::string_view Body(reinterpret_cast<const char *>(Data), Size);
  const auto Report = pvt::readReport(Body);
  const auto Events = pvt::readCacheEvents(Body);
  const auto State = pvt::readOrderState(Body);
  for (const Error *Failed :
       {Report ? nullptr : &Report.error(), Events ? nullptr : &Events.error(),
        State ? nullptr : &State.error()})
    if (Failed != nullptr && Failed->m_kind != ErrorKind::Protocol)
      std::abort();
  // An order that is reported as done has its memory settled.
  if (State && State.value() == OrderState::Done &&
      Body.find("done") == std::string_view::npos &&
      Body.find("\\u") == std::string_view::npos)
    std::abort();
  return 0;
}
