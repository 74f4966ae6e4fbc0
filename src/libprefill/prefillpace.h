// Learns how fast engines prefill prompts.
//
// Load pattern: engines of one service differ in speed, by their hardware and
// by the models they hold. With one mean for all, a slow engine is given
// prompts whose prefill stops its running streams for too long.
#ifndef PRIMROSEWORKS_LIBPREFILL_PREFILLPACE_H
#define PRIMROSEWORKS_LIBPREFILL_PREFILLPACE_H

#include "primroseworks/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace primroseworks {

/// Prefill time per prompt token: the value before the first measurement, and
/// the limits of a sample. They keep one stalled engine, whose samples count
/// for the whole service, from blocking requests to the other engines.
inline constexpr double DefaultPrefillMsPerToken = 0.06;
inline constexpr double MinPrefillMsPerToken = 0.01;
inline constexpr double MaxPrefillMsPerToken = 0.3;
/// Weight of the newest sample in the mean of a service.
inline constexpr double PrefillWeight = 0.05;
/// Weight of the newest sample in the pace of an engine.
inline constexpr double EnginePrefillWeight = 0.1;
/// Part of the first event's latency that does not depend on the prompt.
inline constexpr double FirstEventBaseMs = 30;
/// A sample with fewer tokens says little of an engine: most of its latency
/// does not depend on the prompt.
inline constexpr std::uint64_t MinEngineSampleTokens = 400;

class PrefillPace {
public:
  /// Takes the latency of a stream's first event at an engine, and the prompt
  /// tokens to prefill until then, its own and those ahead of it.
  void onFirstEvent(const std::string &Service, const std::string &Engine,
                    Duration Latency, std::uint64_t Tokens);
  /// Mean over the engines of a service, in ms per prompt token.
  double msPerToken(const std::string &Service) const;
  /// Of one engine; that of its service before the first sample.
  double msPerToken(const std::string &Service,
                    const std::string &Engine) const;
  /// Drops what is known of an engine that is gone.
  void forget(const std::string &Engine) { m_engines.erase(Engine); }

private:
  std::map<std::string, double> m_services; ///< Decaying means, ms per token.
  std::map<std::string, double> m_engines;  ///< Decaying means, ms per token.
};

} // namespace primroseworks

#endif
