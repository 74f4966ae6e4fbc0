// Fuzz target of the operators' configuration, as YAML files and as a document
// from the store: no text may crash the reader, and a document that a folder
// gives must be read again with the same verdict.
#include "primroseworks/config.h"

#include "fuzz/target.h"

#include <cstdlib>

using namespace primroseworks;

std::vector<std::string> primroseworks::fuzzSeeds() {
  const std::string Yaml =
      "deployment: braidwell\nregions: [highland, islands]\n"
      "ranks:\n  urgent: {first_token_ms: 1500, token_gap_ms: 40, worth: 20, "
      "guaranteed_share: 0.5, max_queue_ms: 8000}\n"
      "models:\n  notes: {version: 1, weight_gib: 6, min_replicas: 2, "
      "regions: [highland], rollout: {version: 2, share: 0.1}}\n"
      "adapters:\n  glossary: {base: notes, size_mib: 40}\n"
      "services:\n  register: {routes: [{method: POST, path: /certificates, "
      "repeatable: false}]}\n"
      "load_limits: {loads_per_second: 1, concurrent_loads: 3}\n"
      "link_prices: {highland/islands: 0.02}\n"
      "engines: {engine-1: {checks_fencing: true}}\n"
      "callers: {front: {rank: batch}}\n";
  auto Merged = config::merge({{"a.yaml", Yaml}});
  return {"Y" + Yaml, "J" + Merged.value().m_document};
}

namespace {

/// Whether a catalog was made; a faulty document must not crash it.
bool builds(const std::string &Document) {
  const auto Built = config::buildCatalog(Document, 1);
  if (Built && Built.value().m_models.empty())
    std::abort(); // A configuration without models must be refused.
  return static_cast<bool>(Built);
}

} // namespace

// The first byte chooses the form.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  if (Size < 1)
    return 0;
  const std::string Text(reinterpret_cast<const char *>(Data) + 1, Size - 1);
  if (Data[0] != 'Y') {
    builds(Text);
    const auto Changes = config::diff("{}", Text);
    if (Changes && Changes.value().empty() && builds(Text))
      std::abort();
    return 0;
  }
  const auto Merged = config::merge({{"a.yaml", Text}});
  if (!Merged)
    return 0;
  const auto Built = config::buildCatalog(Merged.value(), 1);
  if (static_cast<bool>(Built) != builds(Merged.value().m_document))
    std::abort();
  return 0;
}
