// One seeded run of concurrent callers, operators and faults, recorded as a
// history.
#ifndef PRIMROSE_FAULTS_HISTORYRUN_H
#define PRIMROSE_FAULTS_HISTORYRUN_H

#include "cluster.h"

#include <string>

namespace primroseworks::faults {

struct HistoryRunOptions {
  ClusterOptions m_cluster;
  unsigned m_seed = 1;
  unsigned m_callers = 8;
  unsigned m_requestsPerCaller = 30;
  unsigned m_faults = 10; ///< Injected one after the other.
};

/// Runs and writes the history to Path as JSON lines.
Result<void> runHistory(const HistoryRunOptions &Options,
                        const std::string &Path);

} // namespace primroseworks::faults

#endif
