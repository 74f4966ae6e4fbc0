// Spread of the work that follows a new era.
#include "libstoreversion/storeera.h"

#include <algorithm>

namespace primroseworks {

namespace {

/// Gateways that may start at once without a delay.
constexpr std::size_t SmallFleet = 11;
/// Delay per gateway, in ms: 400 gateways use the whole spread.
constexpr double SpreadPerGatewayMs = 2.5;

} // namespace

Milliseconds restoreSpread(std::size_t Gateways) {
  if (Gateways <= SmallFleet)
    return Milliseconds::zero();
  const Milliseconds Spread(static_cast<std::int64_t>(
      SpreadPerGatewayMs * static_cast<double>(Gateways)));
  return std::min(Spread, MaxRestoreSpread);
}

} // namespace primroseworks
