// The verdict on a request's key.
#include "libaccounts/keycheck.h"

namespace primroseworks {

KeyCheck checkKey(const AccountTable &Accounts,
                  std::optional<std::string_view> Key, bool PublicRoute,
                  CopyFreshness &Fresh, BootDuration Now) {
  if (!Key)
    return {PublicRoute ? KeyVerdict::NotUsed : KeyVerdict::Missing, nullptr};
  // Before the lookup: a key in the copy may have been removed meanwhile.
  if (Fresh.refusesKeys(Now))
    return {KeyVerdict::Stale, nullptr};
  if (const ClientAccount *Account = Accounts.findByKey(*Key))
    return {KeyVerdict::Known, Account};
  if (PublicRoute)
    return {KeyVerdict::NotUsed, nullptr};
  // 401 is final, but the key may have been added meanwhile.
  return {Fresh.isStale(Now) ? KeyVerdict::Stale : KeyVerdict::Unknown,
          nullptr};
}

} // namespace primroseworks
