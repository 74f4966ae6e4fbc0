// Decides whether a request may go on by the API key that it carries.
#ifndef PRIMROSEWORKS_LIBACCOUNTS_KEYCHECK_H
#define PRIMROSEWORKS_LIBACCOUNTS_KEYCHECK_H

#include "libaccounts/accounttable.h"
#include "libaccounts/copyfreshness.h"
#include "primroseworks/names.h"

#include <optional>
#include <string_view>

namespace primroseworks {

enum class KeyVerdict {
  Known,   ///< The key is an account's.
  NotUsed, ///< A public route, and no key of an account.
  Missing, ///< The route needs a key, and the request has none.
  Unknown, ///< The route needs a key, and no account has this one.
  Stale    ///< The copy of the configuration is too old to tell.
};
inline constexpr NameTable<KeyVerdict, 5> KeyVerdictNames = {
    {{KeyVerdict::Known, "key_known"},
     {KeyVerdict::NotUsed, "key_not_used"},
     {KeyVerdict::Missing, "key_missing"},
     {KeyVerdict::Unknown, "key_unknown"},
     {KeyVerdict::Stale, "accounts_stale"}}};

struct KeyCheck {
  KeyVerdict m_verdict = KeyVerdict::Missing;
  const ClientAccount *m_account = nullptr; ///< Of a known key, else null.
};

/// Checks a request's key; empty if it has none. Fresh is the freshness of the
/// configuration that Accounts is from.
KeyCheck checkKey(const AccountTable &Accounts,
                  std::optional<std::string_view> Key, bool PublicRoute,
                  CopyFreshness &Fresh, BootDuration Now);

} // namespace primroseworks

#endif
