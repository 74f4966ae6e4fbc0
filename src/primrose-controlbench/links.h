// CPU and memory of real websocket links over loopback.
#ifndef PRIMROSEWORKS_CONTROLBENCH_LINKS_H
#define PRIMROSEWORKS_CONTROLBENCH_LINKS_H

#include "primroseworks/time.h"

#include <vector>

namespace primroseworks::controlbench {

/// For each size: all members in this process, all pairs linked. Prints the CPU
/// of idle links, the CPU a message costs both sides, and memory.
void measureLinks(const std::vector<unsigned> &Sizes, Seconds Length);

} // namespace primroseworks::controlbench

#endif
