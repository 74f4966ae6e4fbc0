// The answer that a stand-in engine gives: a function of the prompt and the
// index alone, so that any client can check a whole answer, whichever engines
// produced it.
#ifndef PRIMROSE_STANDINS_TOKENS_H
#define PRIMROSE_STANDINS_TOKENS_H

#include <cstdio>
#include <string>
#include <string_view>
#include <xxhash.h>

namespace primroseworks::standins {

/// Token Index of the answer to Prompt: "t", the low 32 bits of
/// XXH64(Prompt, seed Index) as eight hexadecimal digits, and a space.
inline std::string tokenAt(std::string_view Prompt, unsigned Index) {
  const XXH64_hash_t Hash = XXH64(Prompt.data(), Prompt.size(), Index);
  char Text[16];
  std::snprintf(Text, sizeof Text, "t%08x ",
                static_cast<unsigned>(Hash & 0xffffffffU));
  return Text;
}

/// The whole answer of Count tokens.
inline std::string answerTo(std::string_view Prompt, unsigned Count) {
  std::string Out;
  for (unsigned I = 0; I < Count; ++I)
    Out += tokenAt(Prompt, I);
  return Out;
}

} // namespace primroseworks::standins

#endif
