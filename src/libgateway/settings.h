// Settings of one gateway process, parsed from YAML and validated.
#ifndef PRIMROSEWORKS_LIBGATEWAY_SETTINGS_H
#define PRIMROSEWORKS_LIBGATEWAY_SETTINGS_H

#include "libaccounts/copyfreshness.h"
#include "libgateway/retrywindow.h"
#include "libquota/quotatypes.h"
#include "primroseworks/error.h"

#include <map>
#include <string>
#include <vector>

namespace primroseworks::gateway {

struct Settings {
  std::string m_vm; ///< Name of this VM, unique in the deployment.
  std::string m_failureDomain;
  std::map<std::string, std::string> m_regions; ///< By failure domain.
  std::string m_address;      ///< IP of this VM, for its peers.
  std::string m_callers;      ///< "IP:PORT" where callers connect.
  std::string m_ready;        ///< "IP:PORT" of the readiness check.
  std::string m_metrics;      ///< "IP:PORT" of the metrics; empty: none.
  unsigned m_peerPort = 0;    ///< UDP port of all gateways.
  std::string m_store;        ///< "IP:PORT" of the platform's store.
  Milliseconds m_lease{2000}; ///< TTL of this process's lease in the store.
  /// An endpoint that is draining gets no new requests after this time.
  Milliseconds m_drainLimit{2500};
  /// A new configuration takes effect within this time.
  Milliseconds m_configurationLimit{2500};
  Milliseconds m_stopLimit{8000}; ///< From SIGTERM until the process is killed.
  RetryLimit m_retries;
  /// A removed API key stops working within this time; 0: the age of the copy
  /// of the configuration has no limit.
  Milliseconds m_revokeLimit{0};
  /// Requests with keys are refused while the copy is too old for that.
  bool m_revokeStrict = false;
  quota::QuotaBounds m_quotas;   ///< Of the use of each account.
  unsigned m_descriptors = 1024; ///< Maximum number of open files and sockets.
  bool m_adaptivePace = false; ///< Endpoints have adaptive concurrency limits.
  bool m_askPeers = false;     ///< Peers are asked before this VM is ready.
  bool m_bootstrap = false;    ///< The whole system starts for the first time.
  double m_cpuShare = 1;       ///< Cores that this VM may use.
  /// Memory that this process may use; 0: what it can read of its VM.
  std::size_t m_memoryBytes = 0;
  /// Limits of the age of this VM's copy of the configuration.
  FreshnessLimits freshnessLimits() const {
    return {m_revokeLimit, m_revokeStrict, m_configurationLimit};
  }
};

/// One row of the table of settings, for --check and the documentation.
struct SettingRow {
  std::string m_key;
  std::string m_value;
  std::string m_unit;
  bool m_isDefault = false;
};

/// Parses and validates a YAML document. Fails with InvalidArgument; the
/// message names the key, what was found, what is expected and the remedy.
Result<Settings> parseSettings(const std::string &Yaml);
/// Reads the file at Path; fails with NotFound if it cannot be read.
Result<Settings> loadSettings(const std::string &Path);
/// Returns the effective settings, one row per key.
std::vector<SettingRow> describeSettings(const std::string &Yaml,
                                         const Settings &Effective);

} // namespace primroseworks::gateway

#endif
