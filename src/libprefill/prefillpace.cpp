// Decaying means of the prefill time per token.
#include "libprefill/prefillpace.h"

#include <algorithm>

namespace primroseworks {

void PrefillPace::onFirstEvent(const std::string &Service,
                               const std::string &Engine, Duration Latency,
                               std::uint64_t Tokens) {
  if (Tokens == 0)
    return;
  const double PrefillMs = std::max(0.0, toMillis(Latency) - FirstEventBaseMs);
  const double Sample = std::clamp(PrefillMs / static_cast<double>(Tokens),
                                   MinPrefillMsPerToken, MaxPrefillMsPerToken);
  double &Mean =
      m_services.try_emplace(Service, DefaultPrefillMsPerToken).first->second;
  Mean += PrefillWeight * (Sample - Mean);
  if (Tokens < MinEngineSampleTokens)
    return;
  double &Own = m_engines.try_emplace(Engine, Mean).first->second;
  Own += EnginePrefillWeight * (Sample - Own);
}

double PrefillPace::msPerToken(const std::string &Service) const {
  const auto It = m_services.find(Service);
  return It == m_services.end() ? DefaultPrefillMsPerToken : It->second;
}

double PrefillPace::msPerToken(const std::string &Service,
                               const std::string &Engine) const {
  const auto It = m_engines.find(Engine);
  return It == m_engines.end() ? msPerToken(Service) : It->second;
}

} // namespace primroseworks
