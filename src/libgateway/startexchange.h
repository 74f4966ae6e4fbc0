// What a gateway that starts asks its peers, and what they answer.
//
// Failure: a VM starts while a request that ends engines is refused everywhere
// else. It must know of it before callers are sent to it.
#ifndef PRIMROSEWORKS_LIBGATEWAY_STARTEXCHANGE_H
#define PRIMROSEWORKS_LIBGATEWAY_STARTEXCHANGE_H

#include "libgateway/core.h"
#include "libgateway/peerreport.h"
#include "libgateway/schedulingmessage.h"

namespace primroseworks::gateway {

/// A question is sent again to all peers after this time without an answer, so
/// that one lost datagram does not decide.
inline constexpr Milliseconds StartQueryInterval{100};
/// Largest part of an answer for loads. With 256 strikes of each sort an answer
/// stays below MaxPeerReportBytes.
inline constexpr std::size_t MaxStartLoadBytes = 12'000;

/// Whether this gateway may answer: one that is itself starting knows nothing,
/// and its answer would end the wait for those that do.
bool mayAnswerStart(const Core &Shared, TimePoint Now);
/// Adds to a report what a gateway that starts needs beside the strikes: the
/// use of the retry windows and loads. FleetLoads: it depends on this
/// coordinator and chooses by the total loads. Of loads that do not fit, the
/// smallest are left out.
void addStartState(PeerReport &Report, const Core &Shared,
                   const StartQuery &Query, bool FleetLoads, TimePoint Now);
/// Logs and counts how a start was decided, unless it is undecided.
void logStartDecision(const Core &Shared);

} // namespace primroseworks::gateway

#endif
