// Fuzz target of the message decoder: no input may crash it, and what it
// accepts must survive another round.
#include "primroseworks/message.h"

#include "fuzz/target.h"

#include <cstdlib>

std::vector<std::string> primroseworks::fuzzSeeds() {
  std::vector<std::string> Out;
  JournalClaimMessage Claim;
  Claim.m_key = "key-1";
  HelloMessage Hello;
  Hello.m_member = "daemon-1";
  Hello.m_nonce = "0123456789abcdef";
  for (MessageBody Body :
       {MessageBody(HeartbeatMessage{3, 7}), MessageBody(Claim),
        MessageBody(Hello), MessageBody(StrikesMessage{{}, {12345}})}) {
    Message Whole;
    Whole.m_body = std::move(Body);
    Out.push_back(encodeMessage(Whole).value());
  }
  return Out;
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const auto Decoded = primroseworks::decodeMessage(
      {reinterpret_cast<const char *>(Data), Size});
  if (!Decoded)
    return 0;
  const auto Encoded = primroseworks::encodeMessage(Decoded.value());
  if (Encoded && !primroseworks::decodeMessage(Encoded.value()))
    std::abort();
  return 0;
}
