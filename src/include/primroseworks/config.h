// The operators' configuration: a folder of YAML files merged in name order,
// checked, and turned into a Catalog.
#ifndef PRIMROSEWORKS_CONFIG_H
#define PRIMROSEWORKS_CONFIG_H

#include "primroseworks/catalog.h"
#include "primroseworks/error.h"

#include <map>
#include <string>
#include <vector>

namespace primroseworks {

/// Where a value was set.
struct ConfigOrigin {
  std::string m_file;
  int m_line = 0; ///< From 1.
};

/// A merged configuration.
struct MergedConfig {
  /// The document as canonical JSON: sorted keys, no white space. This is what
  /// the store holds.
  std::string m_document;
  /// Origin of every value, by its dotted key ("models.summary.version").
  std::map<std::string, ConfigOrigin> m_origins;
};

/// A changed value, for `config diff`.
struct ConfigChange {
  std::string m_key;
  std::string m_before; ///< JSON text; empty if the key is new.
  std::string m_after;  ///< JSON text; empty if the key is gone.
};

namespace config {

/// Reads every *.yaml and *.yml file of Folder in name order and merges them:
/// maps are merged key by key, scalars and lists of a later file replace, and
/// a null value deletes the key. Fails with NotFound if the folder holds no
/// such file and InvalidArgument, naming file and line, if one is not YAML.
Result<MergedConfig> loadFolder(const std::string &Folder);

/// Merges texts given as pairs of file name and content, in the given order.
Result<MergedConfig>
merge(const std::vector<std::pair<std::string, std::string>> &Files);

/// Checks a merged configuration and builds its Catalog. The error lists every
/// fault with file, line, key, what was expected, and the remedy.
Result<Catalog> buildCatalog(const MergedConfig &Merged,
                             std::uint64_t Revision);

/// The same for a document from the store, which has no origins.
Result<Catalog> buildCatalog(const std::string &Document,
                             std::uint64_t Revision);

/// Differences between two documents, in key order.
Result<std::vector<ConfigChange>> diff(const std::string &Before,
                                       const std::string &After);

} // namespace config

} // namespace primroseworks

#endif
