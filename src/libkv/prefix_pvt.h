// Prefixes of keys.
#ifndef PRIMROSEWORKS_LIBKV_PREFIX_PVT_H
#define PRIMROSEWORKS_LIBKV_PREFIX_PVT_H

#include <string>

namespace primroseworks::pvt {

inline bool startsWith(const std::string &Text, const std::string &Prefix) {
  return Text.compare(0, Prefix.size(), Prefix) == 0;
}

} // namespace primroseworks::pvt

#endif
