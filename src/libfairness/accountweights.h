// Weights of client accounts in the fair order, from what each was served in
// the past minute.
//
// Load pattern: a small account sends six times its usual load while all
// endpoints are full. With equal shares it could take as much as the largest
// account, whose usual load is above an equal share: that one would lose
// service through no fault of its own. So an account that usually uses more has
// a larger share, and none has less than a bound. No I/O.
#ifndef PRIMROSEWORKS_LIBFAIRNESS_ACCOUNTWEIGHTS_H
#define PRIMROSEWORKS_LIBFAIRNESS_ACCOUNTWEIGHTS_H

#include "primroseworks/time.h"

#include <map>
#include <string>

namespace primroseworks::fairness {

/// Minimum of a weight; 1 is that of the mean account. So an account that
/// returns after a while without requests counts like a mean one. The weights
/// of n accounts sum up to 2n at most, so that each account that waits gets at
/// least half of the mean service of all accounts; required is a quarter. With
/// 0.75, an account that returned in the simulated flood with a tenth of the
/// load was on time with 64 of 85 requests.
inline constexpr double MinAccountWeight = 1;
/// Time constant of the decaying mean of what an account is served: about nine
/// times as long as a flood of 6.5 s, so that a flood gains little weight.
inline constexpr Seconds UsagePeriod{60};
/// Time constant with which the weights move from equal ones to those of the
/// usage after the start of this process.
inline constexpr Seconds WeightTrustPeriod{15};
/// Interval of the search for accounts to drop.
inline constexpr Seconds UsageSweepInterval{10};
/// An account is dropped when its usage is below this share of the mean.
inline constexpr double MinUsageShare = 0.01;

class AccountWeights {
public:
  /// A request of Account with this cost in tokens was dispatched.
  void onServed(const std::string &Account, double Cost, TimePoint Now);
  /// At least MinAccountWeight; 1 without any history.
  double weight(const std::string &Account, TimePoint Now) const;
  std::size_t accounts() const { return m_usage.size(); }

private:
  /// Sum of costs that decays with time.
  struct Usage {
    double m_tokens = 0; ///< At m_at.
    TimePoint m_at{};
    double at(TimePoint Now) const;
    void add(double Cost, TimePoint Now);
  };
  void sweep(TimePoint Now);

  std::map<std::string, Usage> m_usage;
  Usage m_total;       ///< Of all accounts, also of those dropped since.
  TimePoint m_begin{}; ///< First request.
  TimePoint m_sweptAt{};
};

} // namespace primroseworks::fairness

#endif
