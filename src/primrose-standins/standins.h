// All stand-ins of one process behind its control port.
#ifndef PRIMROSE_STANDINS_STANDINS_H
#define PRIMROSE_STANDINS_STANDINS_H

#include "primrose-standins/settings.h"

#include <cstdint>
#include <memory>
#include <string>

namespace primroseworks::standins {

/// Runs from create() until it is destroyed.
class Standins {
public:
  virtual ~Standins() = default;
  /// The port for /topology, /executions, /ledger and the faults.
  virtual std::uint16_t controlPort() const = 0;
  /// All names and ports as JSON.
  virtual std::string topology() const = 0;
};

/// Starts everything. Port 0 takes any free port for the control port.
Result<std::unique_ptr<Standins>> createStandins(const Settings &From,
                                                 std::uint16_t Port);

} // namespace primroseworks::standins

#endif
