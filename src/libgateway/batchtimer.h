// Runs an action once for several requests.
//
// Load pattern: in a large fleet, requests for placement come faster than they
// can be served one by one, and each run takes longer. Requests share a run,
// which is not postponed by later ones, and runs leave most of the thread's
// time to others.
#ifndef PRIMROSEWORKS_LIBGATEWAY_BATCHTIMER_H
#define PRIMROSEWORKS_LIBGATEWAY_BATCHTIMER_H

#include "primroseworks/time.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>

namespace primroseworks::gateway {

/// Maximum share of the time that the runs of one action take.
inline constexpr double MaxBatchRunShare = 0.25;

/// Decides when the next run begins.
class BatchPace {
public:
  explicit BatchPace(Duration Delay) : m_delay(Delay) {}
  /// Returns when a run begins that is first requested at Now.
  TimePoint nextRun(TimePoint Now) const {
    return std::max(Now + m_delay, m_notBefore);
  }
  void onRun(TimePoint Begin, TimePoint End) {
    m_notBefore =
        End + fromSeconds(toSeconds(End - Begin) * (1 / MaxBatchRunShare - 1));
  }

private:
  Duration m_delay; ///< Within which requests share a run.
  TimePoint m_notBefore{};
};

class BatchTimer {
public:
  /// Runs Action on the thread of Io, Delay after the first request.
  BatchTimer(asio::io_context &Io, Duration Delay, std::function<void()> Action)
      : m_pace(Delay), m_action(std::move(Action)), m_timer(Io) {}
  /// Requests a run; requests until it begins share it.
  void request() {
    if (m_requested)
      return;
    m_requested = true;
    m_timer.expires_at(m_pace.nextRun(std::chrono::steady_clock::now()));
    m_timer.async_wait([this](std::error_code Ec) {
      if (!Ec)
        run();
    });
  }

private:
  void run() {
    m_requested = false;
    const TimePoint Begin = std::chrono::steady_clock::now();
    m_action();
    m_pace.onRun(Begin, std::chrono::steady_clock::now());
  }

  BatchPace m_pace;
  std::function<void()> m_action;
  bool m_requested = false; ///< A run is due.
  asio::steady_timer m_timer;
};

} // namespace primroseworks::gateway

#endif
