// Decides whether an engine may be sent another prompt now.
//
// Load pattern: several prompts reach an engine within the time of one prefill.
// The engine reads them one after another and produces no tokens meanwhile, so
// the running streams pause for the sum of their prefill times and are late.
#ifndef PRIMROSEWORKS_LIBPREFILL_PREFILLBOUND_H
#define PRIMROSEWORKS_LIBPREFILL_PREFILLBOUND_H

#include "primroseworks/time.h"

namespace primroseworks {

/// Maximum prefill backlog of an engine that is sent another prompt, if its
/// streams state no longest pause. Requests beyond it wait in the gateway,
/// where more urgent ones can overtake them and another engine can take them.
inline constexpr double MaxPrefillBacklogMs = 250;
/// Share of the longest pause that prompts read at the same time may take. The
/// rest is for the tokens of the event itself, for engines that are slower than
/// their mean, and for prompts sent by other VMs.
inline constexpr double MaxPrefillPauseShare = 0.45;
/// Part of a pause that is not prefill: the tokens of one event.
inline constexpr double EventTimeMs = 50;

/// Prefill at an engine if it is sent a prompt now.
struct PrefillWork {
  double m_pendingMs = 0; ///< Of prompts that were sent to it before.
  double m_ownMs = 0;     ///< Of the prompt itself.
};

/// Whether the prompt may be sent to the engine. GapTarget: longest pause of
/// its streams that is on time; zero if they state none.
bool mayPrefill(const PrefillWork &Work, Milliseconds GapTarget);
/// Whether the running streams of the engine would pause for too long.
bool pausesStreams(const PrefillWork &Work, Milliseconds GapTarget);

} // namespace primroseworks

#endif
