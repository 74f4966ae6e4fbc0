// Route lookup in one version of the configuration.
#include "libgateway/types.h"

#include <algorithm>

namespace primroseworks::gateway {

namespace {

constexpr Milliseconds MinCallerTimeout{2000};

} // namespace

Milliseconds Route::callerTimeout() const {
  if (m_kind != RouteKind::Stream)
    return m_timeout;
  return std::max({MinCallerTimeout, 4 * m_latencyTarget, 8 * m_gapTarget});
}

const Route *Configuration::find(std::string_view Host,
                                 std::string_view Path) const {
  const Route *Best = nullptr;
  for (const Route &R : m_routes) {
    if (R.m_host != Host ||
        Path.substr(0, R.m_pathPrefix.size()) != R.m_pathPrefix)
      continue;
    if (!Best || R.m_pathPrefix.size() > Best->m_pathPrefix.size())
      Best = &R;
  }
  return Best;
}

} // namespace primroseworks::gateway
