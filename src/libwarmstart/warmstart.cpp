// Decision on the start of a gateway.
#include "libwarmstart/warmstart.h"

#include <algorithm>

namespace primroseworks {

Result<WarmStart> WarmStart::create(WarmStartOptions Options) {
  constexpr Milliseconds MaxLimit{10'000};
  if (Options.m_limit < Milliseconds(1) || Options.m_limit > MaxLimit)
    return makeError(ErrorKind::InvalidArgument,
                     "a start cannot wait " +
                         std::to_string(Options.m_limit.count()) +
                         " ms for its peers; set 1 to " +
                         std::to_string(MaxLimit.count()) + " ms");
  return WarmStart(Options);
}

WarmStart::WarmStart(WarmStartOptions Options)
    : m_bootstrap(Options.m_bootstrap), m_limit(Options.m_limit),
      m_state(Options.m_askPeers ? WarmStartState::Unknown
                                 : WarmStartState::Off) {}

bool WarmStart::ready(TimePoint Now) const {
  if (m_state == WarmStartState::Unknown)
    return false;
  // The timer of the limit may be late on a busy VM.
  return m_state != WarmStartState::Asking || Now >= deadline();
}

void WarmStart::onPeersKnown(std::size_t Peers, TimePoint Now) {
  if (!needsPeers())
    return;
  m_askedAt = Now;
  m_decidedAt = Now;
  m_state = Peers == 0 ? WarmStartState::NoPeers : WarmStartState::Asking;
}

bool WarmStart::onAnswer(const std::string &Peer, const RetryUses &Uses,
                         TimePoint Now) {
  const bool Open =
      m_state == WarmStartState::Asking || m_state == WarmStartState::Answered;
  if (!Open || Now >= deadline() || !m_answered.insert(Peer).second)
    return false;
  if (m_state == WarmStartState::Asking) {
    m_state = WarmStartState::Answered;
    m_decidedAt = Now;
  }
  for (const auto &[Service, Use] : Uses)
    m_sums[Service] += std::clamp(Use, 0.0, 1.0);
  return true;
}

void WarmStart::onTime(TimePoint Now) {
  if (m_state != WarmStartState::Asking || Now < deadline())
    return;
  m_state = WarmStartState::TimedOut;
  m_decidedAt = Now;
}

double WarmStart::retryUse(const std::string &Service) const {
  if (m_state == WarmStartState::Off)
    return 0;
  if (m_state != WarmStartState::Answered)
    return m_bootstrap ? 0 : UnknownRetryUse;
  const auto Sum = m_sums.find(Service);
  return Sum == m_sums.end()
             ? 0
             : Sum->second / static_cast<double>(m_answered.size());
}

double WarmStart::largestRetryUse() const {
  if (m_state != WarmStartState::Answered)
    return retryUse({});
  double Largest = 0;
  for (const auto &[Service, Sum] : m_sums)
    Largest = std::max(Largest, retryUse(Service));
  return Largest;
}

} // namespace primroseworks
