// Bounds of the prefill at an engine.
#include "libprefill/prefillbound.h"

namespace primroseworks {

bool mayPrefill(const PrefillWork &Work, Milliseconds GapTarget) {
  if (GapTarget <= Milliseconds::zero())
    return Work.m_pendingMs <= MaxPrefillBacklogMs;
  // A long prompt alone may take more than the share; it must run somewhere.
  return Work.m_pendingMs <= 0 ||
         Work.m_pendingMs + Work.m_ownMs <=
             MaxPrefillPauseShare * toMillis(GapTarget);
}

bool pausesStreams(const PrefillWork &Work, Milliseconds GapTarget) {
  return GapTarget > Milliseconds::zero() &&
         Work.m_pendingMs + Work.m_ownMs + EventTimeMs > toMillis(GapTarget);
}

} // namespace primroseworks
