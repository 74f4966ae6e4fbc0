// Hashes of texts.
#include "primroseworks/hash.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace primroseworks::hash {

std::string text(std::string_view Value) {
  XXH128_hash_t Hash = XXH3_128bits(Value.data(), Value.size());
  return fmt::format("{:016x}{:016x}", Hash.high64, Hash.low64);
}

std::uint64_t number(std::string_view Value) {
  return XXH3_64bits(Value.data(), Value.size());
}

} // namespace primroseworks::hash
