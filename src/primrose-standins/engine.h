// A model engine: continuous batching with priorities, prefix cache, streams
// that can be resumed and cancelled, orders and memory accounting.
#ifndef PRIMROSE_STANDINS_ENGINE_H
#define PRIMROSE_STANDINS_ENGINE_H

#include "primrose-standins/host.h"
#include "primrose-standins/settings.h"
#include "primrose-standins/weightstore.h"

namespace primroseworks::standins {

/// One run of an engine. After a restart the accelerator is empty and RunId
/// differs.
std::shared_ptr<Program> makeEngine(const EngineSettings &Settings,
                                    std::uint64_t RunId, bool Restarted,
                                    Faults &Switches, Ledger &Book,
                                    WeightStore &Store);

} // namespace primroseworks::standins

#endif
