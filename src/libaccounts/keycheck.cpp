// The verdict on a request's key.
#include "libaccounts/keycheck.h"

namespace primroseworks {

KeyCheck checkKey(const AccountTable &Accounts,
                  std::optional<std::string_view> Key, bool PublicRoute,
                  CopyFreshness &Fresh, BootDuration Now) {
  // 401 is final, but the key may have been added meanwhile, or the route may
  // need none any more.
  const auto Refusal = [&](KeyVerdict Verdict) {
    return KeyCheck{Fresh.mayMissChanges(Now) ? KeyVerdict::Stale : Verdict,
                    nullptr};
  };
  if (!Key)
    return PublicRoute ? KeyCheck{KeyVerdict::NotUsed, nullptr}
                       : Refusal(KeyVerdict::Missing);
  // Before the lookup: a key in the copy may have been removed meanwhile.
  if (Fresh.refusesKeys(Now))
    return {KeyVerdict::Stale, nullptr};
  if (const ClientAccount *Account = Accounts.findByKey(*Key))
    return {KeyVerdict::Known, Account};
  if (PublicRoute)
    return {KeyVerdict::NotUsed, nullptr};
  return Refusal(KeyVerdict::Unknown);
}

} // namespace primroseworks
