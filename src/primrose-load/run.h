// An open-loop run: calls start when they are due, whatever became of the
// earlier ones.
#ifndef PRIMROSE_LOAD_RUN_H
#define PRIMROSE_LOAD_RUN_H

#include "primrose-load/report.h"

#include <functional>

namespace primroseworks::load {

struct RunOptions {
  std::vector<std::string> m_urls; ///< Daemons; each call takes one of them.
  Mix m_mix;
  std::uint64_t m_maxCalls = 1000;
  Milliseconds m_maxTime{60'000}; ///< For arrivals; calls may end later.
  Milliseconds m_callTimeout{120'000};
  unsigned m_maxInFlight = 500; ///< One thread each; calls beyond it are shed.
};

/// Runs until every call has ended. Progress gets a line each second. Fails
/// with InvalidArgument for a bad URL. Returns the time taken.
Result<Duration> run(const RunOptions &Options, Report &Into,
                     const std::function<void(const std::string &)> &Progress,
                     const std::atomic<bool> &Stop);

} // namespace primroseworks::load

#endif
