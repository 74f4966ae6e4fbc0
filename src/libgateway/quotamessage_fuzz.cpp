// Fuzz target of the decoder of quota messages: no input crashes it, and what
// it accepts survives another round.
#include "fuzz/target.h"
#include "libgateway/quotamessage.h"

#include <cstdlib>

using namespace primroseworks;
using namespace primroseworks::gateway;

std::vector<std::string> primroseworks::fuzzSeeds() {
  const quota::QuotaTicket Ticket{"vm-1", 1765000000000, 77};
  quota::CreditRequest Asks;
  Asks.m_agent = "vm-1";
  Asks.m_asks = {{"a", 1, 2, 3}, {"b", 1, 1, UINT64_MAX}};
  quota::CreditReply Grants;
  Grants.m_stamp = INT64_MIN;
  Grants.m_grants = {{"a", 3, Milliseconds::max()}, {"b", 0, Milliseconds(1)}};
  std::vector<std::string> Out;
  for (const QuotaMessage &M :
       {QuotaMessage(quota::QuotaRequest{Ticket, "a", 1540}),
        QuotaMessage(quota::QuotaReply{
            Ticket, "vm-2", quota::QuotaStatus::Denied, Milliseconds(5)}),
        QuotaMessage(quota::QuotaRefund{Ticket}), QuotaMessage(Asks),
        QuotaMessage(Grants)})
    Out.push_back(encodeQuotaMessage(M));
  return Out;
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const std::string Bytes(reinterpret_cast<const char *>(Data), Size);
  const Result<QuotaMessage> Message = decodeQuotaMessage(Bytes);
  if (Message && !decodeQuotaMessage(encodeQuotaMessage(Message.value())))
    std::abort();
  return 0;
}
