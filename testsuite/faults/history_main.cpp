// Records the history of one seeded run: history_driver SEED FILE [CALLERS
// REQUESTS FAULTS].
#include "historyrun.h"

#include <cstdlib>
#include <iostream>

using namespace primroseworks::faults;

int main(int Argc, char **Argv) {
  if (Argc != 3 && Argc != 6) {
    std::cerr << "history_driver: expected SEED FILE [CALLERS REQUESTS "
                 "FAULTS]\n";
    return 2;
  }
  HistoryRunOptions Options;
  Options.m_cluster.m_binaries = PRIMROSE_BINARY_DIR;
  Options.m_cluster.m_sources = PRIMROSE_SOURCE_DIR;
  Options.m_seed = static_cast<unsigned>(std::strtoul(Argv[1], nullptr, 10));
  if (Argc == 6) {
    auto Number = [&](int I) {
      return static_cast<unsigned>(std::strtoul(Argv[I], nullptr, 10));
    };
    Options.m_callers = Number(3);
    Options.m_requestsPerCaller = Number(4);
    Options.m_faults = Number(5);
  }
  auto Done = runHistory(Options, Argv[2]);
  if (Done)
    return 0;
  std::cerr << "history_driver: " << Done.error().m_message << "\n";
  return 1;
}
