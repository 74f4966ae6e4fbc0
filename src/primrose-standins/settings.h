// Settings of the stand-ins, read from one YAML file. docs/standins.md lists
// every key.
#ifndef PRIMROSE_STANDINS_SETTINGS_H
#define PRIMROSE_STANDINS_SETTINGS_H

#include "primroseworks/engine.h"
#include "primroseworks/platform.h"

#include <string>
#include <vector>

namespace primroseworks::standins {

struct WeightStoreSettings {
  double m_loadsPerSecond = 1;
  unsigned m_concurrent = 3; ///< Loads at once at full speed.
  Milliseconds m_loadTime{1000};
  unsigned m_adaptersConcurrent = 25; ///< As above, for adapters.
  Milliseconds m_adapterTime{40};
};

struct EngineSettings {
  VmInfo m_vm;
  bool m_checksFencing = true;
  std::uint64_t m_memoryBytes = 80'000'000'000;
  std::uint64_t m_kvBytes = 10'000'000'000; ///< Reserved out of the memory.
  std::uint64_t m_kvBytesPerToken = 200'000;
  unsigned m_maxBatch = 32;
  double m_gapMillis = 15;            ///< Token gap of a batch of one.
  double m_gapPerSequenceMillis = .5; ///< Added for each further sequence.
  double m_prefillTokensPerSecond = 20'000;
  Milliseconds m_reportLag{500};
  Milliseconds m_cacheEventLag{500};
  double m_cacheEventLoss = 0.02; ///< Share of cache events that never come.
  std::vector<ResidentArtifact> m_resident;
};

struct ServiceSettings {
  VmInfo m_vm;
  Milliseconds m_latency{5};
};

struct Settings {
  std::uint64_t m_seed = 1;
  Milliseconds m_vmLag{500};
  double m_kvReadsPerSecond = 2000;
  double m_kvWritesPerSecond = 400;
  std::uint16_t m_kvPort = 0;
  std::uint16_t m_vmsPort = 0;
  WeightStoreSettings m_weightStore;
  std::vector<EngineSettings> m_engines;
  std::vector<ServiceSettings> m_services;
  std::vector<VmInfo> m_daemons; ///< Further rows of the VM list.
};

/// Fails with InvalidArgument, naming the place in the file.
Result<Settings> readSettings(const std::string &File);

} // namespace primroseworks::standins

#endif
