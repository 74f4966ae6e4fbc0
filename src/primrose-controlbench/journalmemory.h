// Memory of the journal's keys.
#ifndef PRIMROSE_CONTROLBENCH_JOURNALMEMORY_H
#define PRIMROSE_CONTROLBENCH_JOURNALMEMORY_H

namespace primroseworks::controlbench {

/// Prints allocated and counted bytes a key for results of several sizes.
/// Returns false if the journal could not be written or read.
bool measureJournalMemory();

} // namespace primroseworks::controlbench

#endif
