// Proof of the cluster key when a link is opened: the accepting side sends a
// nonce, the calling side proves the key first, so that a stranger learns
// nothing but the nonce.
#ifndef PRIMROSEWORKS_HANDSHAKE_PVT_H
#define PRIMROSEWORKS_HANDSHAKE_PVT_H

#include "primroseworks/error.h"
#include "primroseworks/message.h"

#include <string>

namespace primroseworks::pvt {

inline constexpr std::size_t NonceBytes = 32;

/// Fresh random bytes.
Result<std::string> makeNonce();

/// Proof of the calling side for Call, whose m_mac is ignored.
std::string helloMac(const std::string &ClusterKey, const std::string &Nonce,
                     const HelloMessage &Call);

/// Proof of the accepting side in answer to Call.
std::string welcomeMac(const std::string &ClusterKey, const std::string &Nonce,
                       const HelloMessage &Call, const WelcomeMessage &Answer);

/// Compares in constant time.
bool sameMac(const std::string &A, const std::string &B);

} // namespace primroseworks::pvt

#endif
