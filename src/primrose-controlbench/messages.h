// Size and codec cost of each kind of message.
#ifndef PRIMROSEWORKS_CONTROLBENCH_MESSAGES_H
#define PRIMROSEWORKS_CONTROLBENCH_MESSAGES_H

#include "primroseworks/message.h"

namespace primroseworks::controlbench {

/// A message as the fleet sends it: 14 rows with two changed loads each.
GossipMessage sampleGossip(std::uint64_t Version);

/// Prints one line a kind.
void measureMessages();

} // namespace primroseworks::controlbench

#endif
