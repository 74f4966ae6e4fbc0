// Reservation of an endpoint for a failover.
#include "libgateway/failoverprobe.h"

namespace primroseworks::gateway {

FailoverProbe::~FailoverProbe() {
  if (m_asked != 0)
    m_core.m_schedulerClient->withdraw(m_asked);
  if (m_reserved)
    m_core.m_schedulerClient->onEnded(m_reserved->m_ticket, {});
}

bool FailoverProbe::poll(const ChoiceQuery &Query, TimePoint Now) {
  if (m_reserved)
    return true;
  if (m_asked != 0)
    return false;
  // Only an endpoint that is available now is worth leaving the silent one.
  const WaitLimits Immediately{Now, Duration::zero()};
  if (m_core.m_schedulerClient)
    m_asked = m_core.m_schedulerClient->request(Query, Immediately, *this, Now);
  return m_asked == 0 &&
         m_core.choose(Query, Now).m_obstacle == ChoiceObstacle::None;
}

std::optional<ReservedEndpoint> FailoverProbe::take() {
  std::optional<ReservedEndpoint> Out;
  Out.swap(m_reserved);
  return Out;
}

void FailoverProbe::onGranted(const Choice &Placement,
                              const CoordinatorTicket &Ticket) {
  m_asked = 0;
  m_reserved = ReservedEndpoint{Placement, Ticket};
}

} // namespace primroseworks::gateway
