// HMAC-SHA256 proofs of the cluster key.
#include "libpeer/handshake_pvt.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace primroseworks::pvt {
namespace {

/// Appends Part with its length, so that no two lists of parts give the same
/// bytes.
void append(std::string &Out, const std::string &Part) {
  Out += std::to_string(Part.size());
  Out += ':';
  Out += Part;
}

std::string hmac(const std::string &Key, const std::string &Data) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned Length = 0;
  HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()),
       reinterpret_cast<const unsigned char *>(Data.data()), Data.size(),
       Digest.data(), &Length);
  return std::string(reinterpret_cast<const char *>(Digest.data()), Length);
}

// The first part differs by side, so that a proof cannot be sent back to the
// side that made it.
std::string transcript(const char *Side, const std::string &Nonce,
                       const HelloMessage &Call) {
  std::string Out;
  append(Out, Side);
  append(Out, Nonce);
  append(Out, Call.m_nonce);
  append(Out, Call.m_member);
  append(Out, std::to_string(Call.m_incarnation));
  append(Out, Call.m_target);
  return Out;
}

} // namespace

Result<std::string> makeNonce() {
  std::array<unsigned char, NonceBytes> Bytes{};
  if (RAND_bytes(Bytes.data(), static_cast<int>(Bytes.size())) != 1)
    return makeError(ErrorKind::Internal,
                     "no random bytes from OpenSSL; check the system's entropy "
                     "source");
  return std::string(reinterpret_cast<const char *>(Bytes.data()),
                     Bytes.size());
}

std::string helloMac(const std::string &ClusterKey, const std::string &Nonce,
                     const HelloMessage &Call) {
  return hmac(ClusterKey, transcript("hello", Nonce, Call));
}

std::string welcomeMac(const std::string &ClusterKey, const std::string &Nonce,
                       const HelloMessage &Call, const WelcomeMessage &Answer) {
  std::string Data = transcript("welcome", Nonce, Call);
  append(Data, Answer.m_member);
  append(Data, std::to_string(Answer.m_incarnation));
  return hmac(ClusterKey, Data);
}

bool sameMac(const std::string &A, const std::string &B) {
  return A.size() == B.size() && !A.empty() &&
         CRYPTO_memcmp(A.data(), B.data(), A.size()) == 0;
}

} // namespace primroseworks::pvt
