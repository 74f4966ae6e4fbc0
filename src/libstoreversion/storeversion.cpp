// Fencing tokens of store versions.
#include "libstoreversion/storeversion.h"

#include <cassert>

namespace primroseworks {

std::uint64_t fencingToken(const StoreVersion &Version) {
  assert(Version.isValid());
  const std::uint64_t Token =
      (Version.m_era << TokenRevisionBits) + Version.m_revision;
  assert(Version.m_era == 0 || Token <= MaxJsonNumber);
  return Token;
}

} // namespace primroseworks
