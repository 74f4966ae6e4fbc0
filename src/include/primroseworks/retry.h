// Retry budget: keeps retries a bounded share of completed requests, so that
// retries cannot multiply the load of an overloaded fleet.
#ifndef PRIMROSEWORKS_RETRY_H
#define PRIMROSEWORKS_RETRY_H

#include "primroseworks/error.h"
#include "primroseworks/time.h"

#include <random>

namespace primroseworks {

/// Grants retries from credit that completed requests earn. Over any period the
/// retries granted are at most Share x completions + RetryReserve + one per
/// RetryReserveInterval.
class RetryBudget {
public:
  /// Fails with InvalidArgument unless Share is between 0 and 1.
  static Result<RetryBudget> create(double Share);

  /// Earns Share of one retry.
  void onCompleted();
  /// Spends one retry; false if there is not enough credit. With a share of 0
  /// every retry is refused.
  bool take(TimePoint Now);
  /// Delay before a refused retry may be sent again: between half and one and a
  /// half times Base, so that callers refused together do not return together.
  template <class Generator>
  static Milliseconds jittered(Milliseconds Base, Generator &Random) {
    std::uniform_real_distribution<double> Factor(0.5, 1.5);
    return Milliseconds(static_cast<Milliseconds::rep>(
        static_cast<double>(Base.count()) * Factor(Random)));
  }
  double credit() const { return m_credit; }

private:
  explicit RetryBudget(double Share);
  void refill(TimePoint Now);

  double m_share;
  double m_credit; ///< Between 0 and RetryCreditMax.
  TimePoint m_refilled{};
};

/// Retries that a daemon without completed requests can make: enough for the
/// requests of one broken stream set on a quiet daemon.
inline constexpr double RetryReserve = 5;
/// Credit does not grow beyond this, so that a long quiet period does not pay
/// for a retry storm.
inline constexpr double RetryCreditMax = 50;
/// A reserve below RetryReserve regains one retry in this time.
inline constexpr Seconds RetryReserveInterval{10};

} // namespace primroseworks

#endif
