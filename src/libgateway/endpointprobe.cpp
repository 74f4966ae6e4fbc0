// Probes of endpoints' addresses.
#include "libgateway/endpointprobe.h"

#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

namespace primroseworks::gateway {

asio::awaitable<ConnectOutcome>
EndpointProbe::ask(std::string Key, std::string Address,
                   Milliseconds SilenceTimeout) {
  const auto Running = m_pending.find(Key);
  if (Running != m_pending.end()) {
    const std::shared_ptr<Pending> P = Running->second;
    std::error_code Ignored;
    co_await P->m_done.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
    co_return P->m_outcome;
  }
  const auto P = std::make_shared<Pending>(m_io);
  m_pending[Key] = P;
  // Others wait for it.
  const auto Finish = [this, &Key, &P] {
    m_pending.erase(Key);
    P->m_done.cancel();
  };
  try {
    P->m_outcome = co_await m_pool.probe(Key, Address, EndpointProbeTimeout,
                                         SilenceTimeout);
  } catch (...) {
    Finish();
    throw;
  }
  Finish();
  co_return P->m_outcome;
}

} // namespace primroseworks::gateway
