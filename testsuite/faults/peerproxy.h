// TCP proxies in front of the daemons' peer ports, to cut links between them.
#ifndef PRIMROSE_FAULTS_PEERPROXY_H
#define PRIMROSE_FAULTS_PEERPROXY_H

#include "primroseworks/error.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace primroseworks::faults {

/// Where one daemon is reached, and where it listens.
struct ProxiedPort {
  std::uint16_t m_advertised = 0;
  std::uint16_t m_real = 0;
};

struct PeerProxyOptions {
  std::vector<ProxiedPort> m_ports; ///< By daemon.
  /// The daemon that holds the local TCP port. Called from the proxy's thread.
  std::function<std::optional<unsigned>(std::uint16_t)> m_daemonAt;
};

/// While a pair of daemons is cut, bytes between them wait, as in a network
/// that drops packets: open connections stay silent, and new ones are accepted
/// but never answered.
class PeerProxy {
public:
  /// Fails with Unavailable if a port is taken.
  static Result<std::unique_ptr<PeerProxy>> create(PeerProxyOptions Options);
  virtual ~PeerProxy() = default;
  /// Replaces the set of cut pairs; any thread.
  virtual void setCut(std::function<bool(unsigned, unsigned)> IsCut) = 0;
};

/// Whether the process holds a TCP connection of IPv4 with this local port.
bool holdsPort(int Pid, std::uint16_t Port);

} // namespace primroseworks::faults

#endif
