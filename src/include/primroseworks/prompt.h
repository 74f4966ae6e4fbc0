// How a prompt is cut into the blocks that engines cache, and how long it is.
// Engines and the router must agree on both.
#ifndef PRIMROSEWORKS_PROMPT_H
#define PRIMROSEWORKS_PROMPT_H

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace primroseworks {

/// Bytes that count as one token where no tokenizer is at hand.
inline constexpr std::size_t BytesPerToken = 4;

/// Tokens of one cached block.
inline constexpr unsigned PrefixBlockTokens = 16;

/// Estimated number of tokens of a prompt, rounded up.
unsigned promptTokens(std::string_view Prompt);

/// One hash per whole block of the prompt; each covers the prompt up to the end
/// of its block, and the model and adapter.
std::vector<std::uint64_t> prefixHashes(std::string_view Model,
                                        std::string_view Adapter,
                                        std::string_view Prompt);

} // namespace primroseworks

#endif
