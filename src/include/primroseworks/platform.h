// The platform's list of VMs behind an abstract interface.
#ifndef PRIMROSEWORKS_PLATFORM_H
#define PRIMROSEWORKS_PLATFORM_H

#include "primroseworks/error.h"
#include "primroseworks/names.h"
#include "primroseworks/time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace primroseworks {

enum class VmKind { Daemon, Engine, Service };
inline constexpr NameTable<VmKind, 3> VmKindNames = {
    {{VmKind::Daemon, "daemon"},
     {VmKind::Engine, "engine"},
     {VmKind::Service, "service"}}};

enum class VmState { Live, Leaving };
inline constexpr NameTable<VmState, 2> VmStateNames = {
    {{VmState::Live, "live"}, {VmState::Leaving, "leaving"}}};

/// One VM as the platform lists it. The list lags behind the truth.
struct VmInfo {
  std::string m_name;
  VmKind m_kind = VmKind::Engine;
  std::string m_service; ///< Name of the service, for m_kind Service.
  std::string m_address; ///< IP number.
  std::uint16_t m_port = 0;
  std::string m_region;
  std::string m_failureDomain;
  VmState m_state = VmState::Live;
};

/// Source of the list of VMs.
class VmDirectory {
public:
  virtual ~VmDirectory() = default;
  /// All VMs the platform knows; fails with Unavailable or Timeout.
  virtual Result<std::vector<VmInfo>> list() = 0;
};

/// Client of the HTTP form (`GET /vms`) at BaseUrl.
Result<std::unique_ptr<VmDirectory>>
createHttpVmDirectory(const std::string &BaseUrl, Milliseconds CallTimeout);

} // namespace primroseworks

#endif
