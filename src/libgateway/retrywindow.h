// Retry limit of one service over a sliding window: this VM's share of a limit
// for all VMs together.
//
// A restarted VM does not know its retries before the restart, so a part of the
// limit may be set as used at the start (libwarmstart).
//
// Load pattern: an engine is lost or fails part of its requests at peak load,
// and every request that fails there is retried at another endpoint at the same
// moment.
#ifndef PRIMROSEWORKS_LIBGATEWAY_RETRYWINDOW_H
#define PRIMROSEWORKS_LIBGATEWAY_RETRYWINDOW_H

#include "primroseworks/names.h"
#include "primroseworks/time.h"

#include <array>
#include <cstdint>

namespace primroseworks::gateway {

struct RetryLimit {
  double m_share = 0.2; ///< Retries per request of callers.
  Seconds m_window{10}; ///< Window in which requests and retries are counted.
  double m_extra = 0;   ///< Retries beyond the share, for all VMs together.
};

/// What a retry is for.
enum class RetryUse {
  Needed, ///< Nothing else may answer the request.
  Spare   ///< An attempt that is silent may still answer it.
};
inline constexpr NameTable<RetryUse, 2> RetryUseNames = {
    {{RetryUse::Needed, "needed"}, {RetryUse::Spare, "spare"}}};

/// Share of the usable limit up to which it is used for spare retries. All
/// streams of an endpoint fall silent at the same moment; what is left is for
/// requests that fail next.
inline constexpr double SpareRetryShare = 0.5;
/// Usable share of the limit. The margin keeps all VMs together below the limit
/// although the bounds of their windows differ.
inline constexpr double UsableRetryLimitShare = 0.75;

class RetryWindow {
public:
  explicit RetryWindow(RetryLimit Limit) : m_limit(Limit) {}
  void onRequest(TimePoint Now);
  /// Whether the limit allows one more retry.
  bool allows(RetryUse Use, unsigned Members, TimePoint Now) const;
  /// Counts one retry and returns true if the limit allows it. Members is the
  /// number of VMs that share m_extra.
  bool tryAcquire(RetryUse Use, unsigned Members, TimePoint Now);
  /// Counts a share of this VM's part of m_extra, from 0 to 1, as used for one
  /// window from At on. Replaces what an earlier call set.
  void setInitialUse(double Share, TimePoint At);
  /// Used share of the whole limit, from 0 to 1, not only of its usable part.
  double used(unsigned Members, TimePoint Now) const;

private:
  static constexpr std::size_t BucketsPerWindow = 20;
  struct Bucket {
    std::int64_t m_index = -1;
    unsigned m_requests = 0;
    unsigned m_retries = 0;
  };
  struct Counts {
    double m_limit = 0; ///< Retries that the whole limit allows this VM.
    double m_retries = 0;
  };
  Counts counts(unsigned Members, TimePoint Now) const;
  Bucket &bucket(TimePoint Now);
  std::int64_t bucketIndex(TimePoint Now) const;

  RetryLimit m_limit;
  std::array<Bucket, BucketsPerWindow + 1> m_buckets;
  double m_initialUse = 0;          ///< Share of this VM's part of m_extra.
  std::int64_t m_initialIndex = -1; ///< Bucket of its time; -1: none was set.
};

} // namespace primroseworks::gateway

#endif
