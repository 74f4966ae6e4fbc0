// Shares of recent service by rank.
#include "primroseworks/admission.h"

#include <algorithm>
#include <cmath>

namespace primroseworks {

namespace {
/// A rank is served up to its guarantee times this: recent service swings, and
/// aiming at the guarantee itself ends below it half of the time.
constexpr double ShareAim = 1.2;
/// Urgent work is first in any case, so its aim only tells when it may go over
/// the limit; below its guarantee it leaves room for the other aims. With 0.8
/// it went over the limit too seldom: 0.92 of the urgent requests of shift met
/// their targets instead of 0.97 (dentelle).
constexpr double UrgentAim = 0.925;
/// The aims together. When they reached 1, every rank was below its aim at once
/// and entitled to go over the limit of the endpoints.
constexpr double AimSum = 0.97;
} // namespace

void ServiceShares::setGuarantees(
    const std::array<RankPolicy, RankCount> &Ranks) {
  double Sum = 0;
  for (std::size_t I = 0; I < RankCount; ++I) {
    bool Urgent = static_cast<Rank>(I) == Rank::Urgent;
    m_aim[I] = Ranks[I].m_guaranteedShare * (Urgent ? UrgentAim : ShareAim);
    Sum += m_aim[I];
  }
  for (double &Aim : m_aim)
    Aim *= std::min(1.0, AimSum / std::max(Sum, AimSum));
}

void ServiceShares::decay(TimePoint Now) {
  if (Now <= m_time)
    return;
  double Factor = std::exp(-toSeconds(Now - m_time) / toSeconds(ShareWindow));
  for (double &S : m_service)
    S *= Factor;
  m_time = Now;
}

void ServiceShares::add(Rank R, double Tokens, TimePoint Now) {
  decay(Now);
  double &S = m_service[static_cast<std::size_t>(R)];
  S = std::max(0.0, S + Tokens);
}

double ServiceShares::share(Rank R, TimePoint Now) {
  decay(Now);
  double Total = 0;
  for (double S : m_service)
    Total += S;
  return Total > 0 ? m_service[static_cast<std::size_t>(R)] / Total : 0;
}

double ServiceShares::deficit(Rank R, TimePoint Now) {
  double Aim = m_aim[static_cast<std::size_t>(R)];
  decay(Now);
  double Total = 0;
  for (double S : m_service)
    Total += S;
  // Without any recent service no rank is short of it.
  if (Aim <= 0 || Total < 1)
    return 0;
  return std::max(0.0, 1 - share(R, Now) / Aim);
}

} // namespace primroseworks
