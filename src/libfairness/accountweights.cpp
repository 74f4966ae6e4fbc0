// Implementation of the weights of accounts.
#include "libfairness/accountweights.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace primroseworks::fairness {

double AccountWeights::Usage::at(TimePoint Now) const {
  return m_tokens * std::exp(-toSeconds(Now - m_at) / toSeconds(UsagePeriod));
}

void AccountWeights::Usage::add(double Cost, TimePoint Now) {
  m_tokens = at(Now) + Cost;
  m_at = Now;
}

void AccountWeights::onServed(const std::string &Account, double Cost,
                              TimePoint Now) {
  if (m_usage.empty())
    m_begin = m_sweptAt = Now;
  m_usage[Account].add(Cost, Now);
  m_total.add(Cost, Now);
  if (Now - m_sweptAt >= UsageSweepInterval)
    sweep(Now);
}

/// Drops the accounts that have not been served for long.
void AccountWeights::sweep(TimePoint Now) {
  m_sweptAt = Now;
  const double Mean = m_total.at(Now) / static_cast<double>(m_usage.size());
  for (auto It = m_usage.begin(); It != m_usage.end();)
    It = It->second.at(Now) < MinUsageShare * Mean ? m_usage.erase(It)
                                                   : std::next(It);
}

double AccountWeights::weight(const std::string &Account, TimePoint Now) const {
  const double Mean =
      m_usage.empty() ? 0
                      : m_total.at(Now) / static_cast<double>(m_usage.size());
  if (Mean <= 0)
    return 1;
  const auto It = m_usage.find(Account);
  const double Share = It == m_usage.end() ? 0 : It->second.at(Now) / Mean;
  const double Trust =
      1 - std::exp(-toSeconds(Now - m_begin) / toSeconds(WeightTrustPeriod));
  return std::max(1 - Trust + Trust * Share, MinAccountWeight);
}

} // namespace primroseworks::fairness
