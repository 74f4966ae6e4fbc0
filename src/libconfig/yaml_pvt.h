// YAML to JSON with the origin of each value. The only use of yaml-cpp.
#ifndef PRIMROSEWORKS_LIBCONFIG_YAML_PVT_H
#define PRIMROSEWORKS_LIBCONFIG_YAML_PVT_H

#include "primroseworks/config.h"

#include <nlohmann/json.hpp>

namespace primroseworks::pvt {

/// Parses Text (of file Name) and merges it over Document. A null deletes.
Result<void> mergeYaml(const std::string &Name, const std::string &Text,
                       nlohmann::json &Document,
                       std::map<std::string, ConfigOrigin> &Origins);

/// Whole content of a file; at most 4 MiB.
Result<std::string> readFile(const std::string &Path);

} // namespace primroseworks::pvt

#endif
