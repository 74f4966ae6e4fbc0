// Version of the metadata store's state. The store may come back from an older
// copy of itself: it loses the writes since the copy and issues their revisions
// again, under an era that is higher by one. No I/O.
#ifndef PRIMROSEWORKS_LIBSTOREVERSION_STOREVERSION_H
#define PRIMROSEWORKS_LIBSTOREVERSION_STOREVERSION_H

#include <cstdint>
#include <tuple>

namespace primroseworks {

/// Bits of the revision in a fencing token; the era is above them.
inline constexpr unsigned TokenRevisionBits = 40;
/// Largest number that each JSON decoder keeps exactly. Engines receive the
/// fencing token as a JSON number.
inline constexpr std::uint64_t MaxJsonNumber = (std::uint64_t{1} << 53) - 1;
inline constexpr std::uint64_t MaxStoreEra = MaxJsonNumber >> TokenRevisionBits;

/// A revision of the store and the era in which it was issued. Revisions of
/// different eras say nothing about each other.
struct StoreVersion {
  std::uint64_t m_era = 0; ///< 0: the store states no era.
  std::uint64_t m_revision = 0;

  /// Whether fencingToken() keeps the order of versions and is exact in JSON. A
  /// revision of era 0 may use all bits of the token, so that a store without
  /// eras works as it always did.
  bool isValid() const {
    return m_era == 0 ||
           (m_era <= MaxStoreEra && m_revision >> TokenRevisionBits == 0);
  }
};

inline bool operator==(const StoreVersion &A, const StoreVersion &B) {
  return std::tie(A.m_era, A.m_revision) == std::tie(B.m_era, B.m_revision);
}
inline bool operator!=(const StoreVersion &A, const StoreVersion &B) {
  return !(A == B);
}
inline bool operator<(const StoreVersion &A, const StoreVersion &B) {
  return std::tie(A.m_era, A.m_revision) < std::tie(B.m_era, B.m_revision);
}
inline bool operator>(const StoreVersion &A, const StoreVersion &B) {
  return B < A;
}
inline bool operator<=(const StoreVersion &A, const StoreVersion &B) {
  return !(B < A);
}
inline bool operator>=(const StoreVersion &A, const StoreVersion &B) {
  return !(A < B);
}

/// The version as one number, which engines compare to refuse the orders of a
/// former leader. Version must be valid. It rises with the version as long as
/// the revisions of era 0 fit in TokenRevisionBits; 2^40 writes take 29 years
/// at the store's limit of 1,200 writes a second.
std::uint64_t fencingToken(const StoreVersion &Version);

} // namespace primroseworks

#endif
