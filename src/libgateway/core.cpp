// Dispatch and retry operations on the shared gateway state.
#include "libgateway/core.h"

namespace primroseworks::gateway {

Core::Core(asio::io_context &Io, Settings Options, const Dialect &Platform,
           CrashSuspects Suspects)
    : m_io(Io), m_settings(std::move(Options)), m_dialect(Platform),
      m_metrics(Metrics::create()),
      m_chooser(m_settings.m_failureDomain, m_settings.m_regions), m_pool(Io),
      m_suspects(std::move(Suspects)), m_random(std::random_device{}()) {}

Choice Core::choose(const ChoiceQuery &Query, TimePoint Now) const {
  if (!m_configuration)
    return Choice();
  auto It = m_configuration->m_services.find(Query.m_service);
  if (It == m_configuration->m_services.end())
    return Choice();
  return m_chooser.choose(Query, m_endpoints, It->second, Now);
}

void Core::dispatchWaiting(TimePoint Now) {
  if (m_queue.empty())
    return;
  m_queue.dispatch(
      [this, Now](const ChoiceQuery &Query) { return choose(Query, Now); },
      [this](const Grant &G) {
        auto It = m_waiters.find(G.m_ticket);
        if (It == m_waiters.end())
          return;
        Waiter *W = It->second;
        m_waiters.erase(It);
        W->onDispatched(G.m_choice);
      },
      Now);
}

void Core::release(const std::string &Endpoint, const ChoiceQuery &Query,
                   bool PrefillDone, TimePoint Now) {
  m_endpoints.onEnded(Endpoint, Query.m_size, PrefillDone);
  m_demand.onEnded(Query.m_model, Query.m_adapter);
  if (!PrefillDone)
    notifyLoadChanged(Endpoint); // Otherwise already sent with the first event.
  dispatchWaiting(Now);
}

void Core::rejectWaiting() {
  m_rejectingWaiting = true;
  std::vector<Waiter *> Waiters;
  for (const auto &[Id, W] : m_waiters)
    Waiters.push_back(W);
  for (Waiter *W : Waiters)
    W->onRejected();
}

RetryWindow &Core::retries(const std::string &Service) {
  return m_retries.try_emplace(Service, m_settings.m_retries).first->second;
}

} // namespace primroseworks::gateway
