// Retry limit of one service over a sliding window, as this VM's part of a
// limit that holds for all VMs together.
//
// Load pattern: an engine is lost or grey at peak load, and every request that
// fails there asks for a second endpoint at the same moment.
#ifndef PRIMROSEWORKS_LIBGATEWAY_RETRYWINDOW_H
#define PRIMROSEWORKS_LIBGATEWAY_RETRYWINDOW_H

#include "primroseworks/time.h"

#include <array>
#include <cstdint>

namespace primroseworks::gateway {

struct RetryLimit {
  double m_share = 0.2; ///< Repeats per request of callers.
  Seconds m_window{10}; ///< Over which both are counted.
  double m_extra = 0;   ///< Repeats beyond the share, of all VMs together.
};

/// Part of the limit that is used, so that VMs whose counts disagree about a
/// window's bounds stay below it together.
inline constexpr double RetryLimitMargin = 0.75;

class RetryWindow {
public:
  explicit RetryWindow(RetryLimit Limit) : m_limit(Limit) {}
  void onRequest(TimePoint Now);
  /// Whether the limit allows one more repeat.
  bool allows(unsigned Members, TimePoint Now) const;
  /// Counts one repeat if the limit allows it; Members is the number of VMs
  /// that share the extra repeats.
  bool tryAcquire(unsigned Members, TimePoint Now);

private:
  static constexpr std::size_t Buckets = 20;
  struct Bucket {
    std::int64_t m_index = -1;
    unsigned m_requests = 0;
    unsigned m_repeats = 0;
  };
  Bucket &bucket(TimePoint Now);
  std::int64_t indexOf(TimePoint Now) const;

  RetryLimit m_limit;
  std::array<Bucket, Buckets + 1> m_buckets;
};

} // namespace primroseworks::gateway

#endif
