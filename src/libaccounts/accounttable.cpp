// Hashing of API keys and the table of their accounts.
#include "libaccounts/accounttable.h"

#include <algorithm>
#include <cstring>
#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

namespace primroseworks {

namespace {

constexpr std::size_t MinSlots = 16;

using Salt = std::array<std::uint8_t, 16>;

const Salt &processSalt() {
  static const Salt Value = [] {
    Salt S{};
    // Without entropy the salt stays zero; the hash is still one-way.
    (void)RAND_bytes(S.data(), static_cast<int>(S.size()));
    return S;
  }();
  return Value;
}

/// Whether a name can be sent in a header as it is.
bool fitsHeader(std::string_view Name) {
  return std::all_of(Name.begin(), Name.end(), [](char C) {
    const auto U = static_cast<unsigned char>(C);
    return U > 0x20 && U != 0x7f;
  });
}

} // namespace

KeyHash hashKey(std::string_view Key) {
  std::string Salted(processSalt().begin(), processSalt().end());
  Salted += Key;
  std::array<std::uint8_t, SHA256_DIGEST_LENGTH> Digest{};
  SHA256(reinterpret_cast<const unsigned char *>(Salted.data()), Salted.size(),
         Digest.data());
  // Freed memory is part of a core file.
  OPENSSL_cleanse(Salted.data(), Salted.size());
  KeyHash Out{};
  std::copy_n(Digest.begin(), Out.size(), Out.begin());
  return Out;
}

std::size_t AccountTable::slotOf(const KeyHash &Hash) const {
  std::uint64_t Start = 0;
  std::memcpy(&Start, Hash.data(), sizeof(Start));
  const std::size_t Mask = m_slots.size() - 1;
  std::size_t Slot = Start & Mask;
  while (m_slots[Slot] != 0 && m_keys[m_slots[Slot] - 1].m_hash != Hash)
    Slot = (Slot + 1) & Mask;
  return Slot;
}

void AccountTable::growSlots() {
  m_slots.assign(std::max(MinSlots, 2 * m_slots.size()), 0);
  for (std::size_t I = 0; I < m_keys.size(); ++I)
    m_slots[slotOf(m_keys[I].m_hash)] = static_cast<std::uint32_t>(I + 1);
}

const ClientAccount *AccountTable::find(std::string_view Name) const {
  const auto It = m_byName.find(std::string(Name));
  return It == m_byName.end() ? nullptr : &m_accounts[It->second];
}

const ClientAccount *AccountTable::findByKey(std::string_view Key) const {
  const std::uint32_t Position = m_slots[slotOf(hashKey(Key))];
  return Position == 0 ? nullptr : &m_accounts[m_keys[Position - 1].m_account];
}

std::size_t AccountTable::memoryBytes() const {
  std::size_t Bytes = sizeof(*this) + m_keys.capacity() * sizeof(KeyRow) +
                      m_slots.capacity() * sizeof(std::uint32_t) +
                      m_sharedKeys.capacity() * sizeof(SharedKey);
  for (const ClientAccount &A : m_accounts)
    Bytes += 2 * (sizeof(A) + A.m_name.capacity());
  return Bytes;
}

AccountTableBuilder::AccountTableBuilder()
    : m_table(std::shared_ptr<AccountTable>(new AccountTable())) {
  m_table->growSlots();
}

Result<void> AccountTableBuilder::addAccount(ClientAccount Account) {
  if (Account.m_name.empty() || !fitsHeader(Account.m_name))
    return makeError(ErrorKind::InvalidArgument,
                     "a client account's name is empty or has spaces or "
                     "control characters; correct it in the configuration");
  const auto Position = static_cast<std::uint32_t>(m_table->m_accounts.size());
  if (!m_table->m_byName.emplace(Account.m_name, Position).second)
    return makeError(ErrorKind::InvalidArgument,
                     "client account '" + Account.m_name +
                         "' is listed twice; remove one of the entries");
  m_table->m_accounts.push_back(std::move(Account));
  return boost::outcome_v2::success();
}

void AccountTableBuilder::addKey(std::string_view Key) {
  AccountTable &T = *m_table;
  if (Key.empty() || T.m_accounts.empty())
    return;
  const auto Account = static_cast<std::uint32_t>(T.m_accounts.size() - 1);
  const KeyHash Hash = hashKey(Key);
  const std::size_t Slot = T.slotOf(Hash);
  if (T.m_slots[Slot] != 0) {
    const std::uint32_t Winner = T.m_keys[T.m_slots[Slot] - 1].m_account;
    if (Winner != Account)
      T.m_sharedKeys.push_back({Winner, Account});
    return;
  }
  T.m_keys.push_back({Hash, Account});
  if (2 * T.m_keys.size() > T.m_slots.size())
    T.growSlots();
  else
    T.m_slots[Slot] = static_cast<std::uint32_t>(T.m_keys.size());
}

AccountTablePtr AccountTableBuilder::build() {
  m_table->m_keys.shrink_to_fit();
  return std::move(m_table);
}

} // namespace primroseworks
