// Client accounts of the operators' configuration, and the lookup of the
// account that holds an API key.
#ifndef PRIMROSEWORKS_LIBACCOUNTS_ACCOUNT_H
#define PRIMROSEWORKS_LIBACCOUNTS_ACCOUNT_H

#include "primroseworks/names.h"

#include <memory>
#include <optional>
#include <string>

namespace primroseworks {

/// What a quota counts.
enum class QuotaUnit { Requests, Tokens };
inline constexpr NameTable<QuotaUnit, 2> QuotaUnitNames = {
    {{QuotaUnit::Requests, "requests"}, {QuotaUnit::Tokens, "tokens"}}};

/// Limit on the use of all VMs by one account, as a token bucket.
struct QuotaLimit {
  QuotaUnit m_unit = QuotaUnit::Requests;
  double m_ratePerSecond = 0; ///< In m_unit; 0: unlimited.
  double m_burst = 0;         ///< Size of the bucket, in m_unit.
  /// Cost of a request that states no token usage, if m_unit is Tokens.
  unsigned m_plainTokens = 0;

  bool unlimited() const { return m_ratePerSecond <= 0; }
};

/// A client account. Its keys are only in the AccountTable.
struct ClientAccount {
  std::string m_name;
  std::optional<unsigned> m_rank; ///< Replaces the rank of the route.
  QuotaLimit m_quota;
};

class AccountTable;
using AccountTablePtr = std::shared_ptr<const AccountTable>;

} // namespace primroseworks

#endif
