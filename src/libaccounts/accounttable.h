// The client accounts of one version of the operators' configuration, and the
// account of each API key.
//
// Load pattern: every request looks up its key, 1,000 accounts have 100,000
// keys, and two versions of the configuration are in memory while one replaces
// the other. The table holds a hash of each key, never the key.
#ifndef PRIMROSEWORKS_LIBACCOUNTS_ACCOUNTTABLE_H
#define PRIMROSEWORKS_LIBACCOUNTS_ACCOUNTTABLE_H

#include "libaccounts/account.h"
#include "primroseworks/error.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace primroseworks {

/// Salted hash of an API key. The salt is random for each process, so that
/// neither the hashes nor collisions of them can be prepared elsewhere.
using KeyHash = std::array<std::uint8_t, 16>;

KeyHash hashKey(std::string_view Key);

/// Accounts in the order of the configuration. Immutable; the members are safe
/// to use while the table is referenced.
class AccountTable {
public:
  /// Account that has a key, by the positions of two accounts in accounts().
  struct SharedKey {
    std::uint32_t m_winner = 0; ///< The key is its own.
    std::uint32_t m_loser = 0;  ///< The key is in its list, too.
  };

  const std::vector<ClientAccount> &accounts() const { return m_accounts; }
  /// Returns the account with this name, or null.
  const ClientAccount *find(std::string_view Name) const;
  /// Returns the account that has this key, or null. Takes constant time.
  const ClientAccount *findByKey(std::string_view Key) const;
  /// Number of different keys.
  std::size_t keyCount() const { return m_keys.size(); }
  /// Keys that are in more than one account; the first account has them.
  const std::vector<SharedKey> &sharedKeys() const { return m_sharedKeys; }
  /// Memory of the table, without that of the allocator.
  std::size_t memoryBytes() const;

private:
  friend class AccountTableBuilder;
  struct KeyRow {
    KeyHash m_hash;
    std::uint32_t m_account; ///< Position in m_accounts.
  };
  AccountTable() = default;
  /// Slot of a hash: the one that refers to it, or the empty one for it.
  std::size_t slotOf(const KeyHash &Hash) const;
  void growSlots();

  std::vector<ClientAccount> m_accounts;
  std::unordered_map<std::string, std::uint32_t> m_byName;
  std::vector<KeyRow> m_keys;
  /// Open addressing: positions in m_keys plus one; 0 is empty. The size is a
  /// power of two and at least twice the number of keys.
  std::vector<std::uint32_t> m_slots;
  std::vector<SharedKey> m_sharedKeys;
};

/// Collects the accounts of a configuration in their order. Keys are hashed at
/// once and not kept.
class AccountTableBuilder {
public:
  AccountTableBuilder();
  /// Begins an account; its keys follow. Fails with InvalidArgument if the name
  /// is empty, is in the table already or may not be in a header.
  Result<void> addAccount(ClientAccount Account);
  /// Adds a key to the last account. An empty key, and one that the account has
  /// already, is left out.
  void addKey(std::string_view Key);
  AccountTablePtr build();

private:
  std::shared_ptr<AccountTable> m_table;
};

} // namespace primroseworks

#endif
