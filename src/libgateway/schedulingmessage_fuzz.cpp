// Fuzz target of the decoder of scheduling messages: no input crashes it, and
// what it accepts survives another round.
#include "fuzz/target.h"
#include "libgateway/schedulingmessage.h"

#include <cstdlib>
#include <limits>

using namespace primroseworks;
using namespace primroseworks::gateway;

std::vector<std::string> primroseworks::fuzzSeeds() {
  ScheduleRequest Request;
  Request.m_sender = {"vm-1", 1765000000000};
  Request.m_ticket = 77;
  Request.m_query.m_excluded = {"e1", "e2"};
  Request.m_maxWait = Milliseconds(3500);
  ScheduleRequest Long = Request;
  Long.m_onTime = Milliseconds::min();
  Long.m_maxWait = Milliseconds::max();
  ScheduleReply Reply;
  Reply.m_sender = "vm-2";
  Reply.m_choice.m_scoreMs = 1.5;
  AttemptUpdate Update;
  Update.m_sender = Request.m_sender;
  Update.m_observation.m_health = AttemptHealth{};
  Update.m_observation.m_stalled = true;
  Update.m_observation.m_firstEventMs = 9e17;
  Update.m_observation.m_pause = Milliseconds::max();
  StoreRelay Relay;
  Relay.m_sender = "vm-2";
  Relay.m_to = {0, std::numeric_limits<std::uint64_t>::max()};
  Relay.m_changes = {{"servers/e1", "{}", {0, 5}, 1},
                     {"servers/e2", std::nullopt, {0, 6}, 0}};
  std::vector<std::string> Out;
  for (const SchedulingMessage &M :
       {SchedulingMessage(Request), SchedulingMessage(Long),
        SchedulingMessage(Reply), SchedulingMessage(Update),
        SchedulingMessage(OpenTickets{Request.m_sender, {1, 2}}),
        SchedulingMessage(Relay)})
    Out.push_back(encodeSchedulingMessage(M));
  Out.emplace_back("\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x80");
  return Out;
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const std::string Bytes(reinterpret_cast<const char *>(Data), Size);
  const Result<SchedulingMessage> Message = decodeSchedulingMessage(Bytes);
  if (Message &&
      !decodeSchedulingMessage(encodeSchedulingMessage(Message.value())))
    std::abort();
  return 0;
}
