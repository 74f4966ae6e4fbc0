// Settings of one daemon: a YAML file read once at the start.
#ifndef PRIMROSEWORKS_SETTINGS_H
#define PRIMROSEWORKS_SETTINGS_H

#include "primroseworks/error.h"
#include "primroseworks/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace primroseworks {

/// An IP number and a port.
struct SocketAddress {
  std::string m_host = "127.0.0.1";
  std::uint16_t m_port = 0; ///< 0: any free port.
};

/// Address of a peer that a starting daemon asks first.
struct PeerSeed {
  std::string m_name;
  SocketAddress m_address;
};

/// Settings of one daemon.
struct Settings {
  std::string m_name;
  std::string m_region;
  std::string m_failureDomain;
  SocketAddress m_callerListen;
  SocketAddress m_operatorListen;
  SocketAddress m_peerListen;
  /// Where other daemons reach peer_listen; port 0 means at peer_listen itself.
  SocketAddress m_peerAdvertise;
  std::string m_kvUrl;
  std::string m_vmListUrl;
  std::string m_clusterKey;    ///< Shared by all daemons of a deployment.
  std::string m_operatorToken; ///< Bearer token of the operator port.
  std::string m_callerCertificate;
  std::string m_callerKey;
  std::string m_operatorCertificate;
  std::string m_operatorKey;
  std::string m_peerCertificate;
  std::string m_peerKey;
  std::string m_peerCa;
  std::vector<PeerSeed> m_seeds;
  unsigned m_maxConnections = 1200;
  unsigned m_maxBodyBytes = 1 << 20;
  unsigned m_maxQueued = 2000;
  unsigned m_journalShards = 8;
  unsigned m_journalWritesPerSecond = 100;
  unsigned m_journalRetentionSeconds = 86'400;
  Milliseconds m_drainTimeout{120000};
  std::string m_logLevel = "info";
};

namespace settings {

/// Reads and checks a settings file. The error lists every fault with file,
/// line, key, what was expected, and the remedy.
Result<Settings> load(const std::string &Path);

/// The same from a text; File names it in errors.
Result<Settings> parse(const std::string &File, const std::string &Text);

/// The effective settings as YAML, secrets replaced by `(set)`.
std::string describe(const Settings &Values);

/// One line a key: name, unit, default, range, meaning.
std::string reference();

/// Parses "HOST:PORT".
Result<SocketAddress> parseAddress(const std::string &Text);

} // namespace settings

} // namespace primroseworks

#endif
