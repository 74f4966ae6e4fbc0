// Hashes of texts, by xxHash.
#ifndef PRIMROSEWORKS_HASH_H
#define PRIMROSEWORKS_HASH_H

#include <cstdint>
#include <string>
#include <string_view>

namespace primroseworks::hash {

/// 128-bit hash as 32 hexadecimal digits. Not for secrets.
std::string text(std::string_view Value);

/// 64-bit hash.
std::uint64_t number(std::string_view Value);

} // namespace primroseworks::hash

#endif
