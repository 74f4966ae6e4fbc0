// What the parts of the router share: keys of prompt prefixes.
#ifndef PRIMROSEWORKS_ROUTER_PVT_H
#define PRIMROSEWORKS_ROUTER_PVT_H

#include "primroseworks/router.h"

namespace primroseworks::pvt {

/// Prefix hashes examined per decision.
inline constexpr std::size_t PrefixProbes = 32;

/// Key of a prompt prefix in the belief about caches.
inline std::uint64_t prefixKey(ModelId Model, std::uint64_t Hash) {
  return Hash ^ ((Model + 1) * 0x9E3779B97F4A7C15ULL);
}

} // namespace primroseworks::pvt

#endif
