// Prompt blocks, hashed with xxHash.
#include "primroseworks/prompt.h"

#include <xxhash.h>

namespace primroseworks {

unsigned promptTokens(std::string_view Prompt) {
  return static_cast<unsigned>((Prompt.size() + BytesPerToken - 1) /
                               BytesPerToken);
}

std::vector<std::uint64_t> prefixHashes(std::string_view Model,
                                        std::string_view Adapter,
                                        std::string_view Prompt) {
  constexpr std::size_t BlockBytes = PrefixBlockTokens * BytesPerToken;
  std::uint64_t Hash = XXH64(Model.data(), Model.size(), 0);
  Hash = XXH64(Adapter.data(), Adapter.size(), Hash);
  std::vector<std::uint64_t> Out;
  for (std::size_t At = 0; At + BlockBytes <= Prompt.size(); At += BlockBytes) {
    Hash = XXH64(Prompt.data() + At, BlockBytes, Hash);
    Out.push_back(Hash);
  }
  return Out;
}

} // namespace primroseworks
