// Merging, checking and comparing configurations.
#include "primroseworks/config.h"

#include "libbase/limitedjson.h"
#include "libconfig/checker_pvt.h"
#include "libconfig/yaml_pvt.h"

#include <algorithm>
#include <filesystem>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <set>

namespace primroseworks::config {

namespace {

using Json = nlohmann::json;
using pvt::Checker;

constexpr double BytesPerGib = 1024.0 * 1024 * 1024;
constexpr double BytesPerMib = 1024.0 * 1024;

std::string dump(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// Builds a Catalog from a document, one section a function.
class CatalogBuilder {
public:
  CatalogBuilder(const Json &Document,
                 const std::map<std::string, ConfigOrigin> &Origins)
      : m_document(Document), m_check(Origins) {}

  Result<Catalog> build(std::uint64_t Revision) {
    m_check.allowKeys(m_document, "",
                      {"deployment", "regions", "ranks", "models", "adapters",
                       "services", "engines", "load_limits", "link_prices",
                       "callers"});
    m_catalog.m_revision = Revision;
    m_catalog.m_deployment = m_check.text(m_document, "", "deployment", "");
    for (const std::string &Region : m_check.texts(m_document, "", "regions"))
      m_regions.insert(Region);
    if (m_regions.empty())
      m_check.fault("regions", "no region is named",
                    "write `regions: [NAME, ...]`");
    readRanks();
    readModels();
    readAdapters();
    readServices();
    readEngines();
    readLimits();
    readPrices();
    readCallers();
    if (!m_check.faults().empty())
      return makeError(ErrorKind::InvalidArgument, m_check.faults());
    return m_catalog;
  }

private:
  void readRanks() {
    double Shares = 0;
    m_check.each(m_document, "", "ranks",
                 [&](const std::string &Name, const Json &Value,
                     const std::string &Path) {
                   auto Which = parseName(RankNames, Name);
                   if (!Which) {
                     m_check.fault(Path, "unknown rank",
                                   "use one of: " + allNames(RankNames));
                     return;
                   }
                   Shares += readRank(*Which, Value, Path);
                 });
    if (Shares > 1)
      m_check.fault("ranks", fmt::format("guaranteed shares sum to {}", Shares),
                    "lower them until their sum is at most 1");
  }

  double readRank(Rank Which, const Json &Value, const std::string &Path) {
    RankPolicy &Policy = m_catalog.m_ranks[static_cast<std::size_t>(Which)];
    m_check.allowKeys(Value, Path,
                      {"first_token_ms", "token_gap_ms", "worth",
                       "guaranteed_share", "max_queue_ms"});
    Policy.m_firstTokenTarget =
        millis(Value, Path, "first_token_ms", 1500, 1, 600000);
    Policy.m_tokenGapTarget = millis(Value, Path, "token_gap_ms", 40, 1, 60000);
    Policy.m_worth = m_check.number(Value, Path, "worth", 1, 0, 1e6);
    Policy.m_guaranteedShare =
        m_check.number(Value, Path, "guaranteed_share", 0, 0, 1);
    Policy.m_maxQueueTime =
        millis(Value, Path, "max_queue_ms", 10000, 1, 3600000);
    return Policy.m_guaranteedShare;
  }

  Milliseconds millis(const Json &Map, const std::string &Path, const char *Key,
                      double Default, double Low, double High) {
    return Milliseconds(
        static_cast<long>(m_check.number(Map, Path, Key, Default, Low, High)));
  }

  void readModels() {
    m_check.each(
        m_document, "", "models",
        [&](const std::string &Name, const Json &Value,
            const std::string &Path) { readModel(Name, Value, Path); });
    if (m_catalog.m_models.empty())
      m_check.fault("models", "no model is named",
                    "write `models:` and below it `NAME: {weight_gib: 14}`");
  }

  void readModel(const std::string &Name, const Json &Value,
                 const std::string &Path) {
    m_check.allowKeys(
        Value, Path,
        {"version", "weight_gib", "regions", "min_replicas", "rollout"});
    ModelSpec Model;
    Model.m_name = Name;
    Model.m_version = m_check.text(Value, Path, "version", "1");
    double Gib = m_check.number(Value, Path, "weight_gib", 0, 0.001, 10000);
    if (Gib <= 0)
      m_check.fault(Path, "weight_gib is missing",
                    "write `weight_gib: 14`, the size of the weights");
    Model.m_weightBytes = static_cast<std::uint64_t>(Gib * BytesPerGib);
    Model.m_minReplicas = static_cast<unsigned>(
        m_check.number(Value, Path, "min_replicas", 2, 1, 1000));
    Model.m_regions = m_check.texts(Value, Path, "regions");
    for (const std::string &Region : Model.m_regions)
      checkRegion(Region, Path + ".regions");
    if (Value.is_object() && Value.contains("rollout"))
      readRollout(Value["rollout"], Path + ".rollout", Model);
    m_catalog.m_models[Name] = std::move(Model);
  }

  void readRollout(const Json &Value, const std::string &Path,
                   ModelSpec &Model) {
    m_check.allowKeys(Value, Path, {"version", "share"});
    Model.m_nextVersion = m_check.text(Value, Path, "version", "");
    Model.m_rolloutShare = m_check.number(Value, Path, "share", 0, 0, 1);
    if (Model.m_nextVersion == Model.m_version)
      m_check.fault(Path, "the version rolled out is the one being served",
                    "name another version or delete rollout");
  }

  void checkRegion(const std::string &Region, const std::string &Path) {
    if (m_regions.count(Region) == 0)
      m_check.fault(Path, "unknown region \"" + Region + "\"",
                    fmt::format("use one of: {}", fmt::join(m_regions, ", ")));
  }

  void readAdapters() {
    m_check.each(
        m_document, "", "adapters",
        [&](const std::string &Name, const Json &Value,
            const std::string &Path) {
          m_check.allowKeys(Value, Path, {"base", "version", "size_mib"});
          AdapterSpec Adapter;
          Adapter.m_name = Name;
          Adapter.m_base = m_check.text(Value, Path, "base", "");
          Adapter.m_version = m_check.text(Value, Path, "version", "1");
          Adapter.m_bytes = static_cast<std::uint64_t>(
              m_check.number(Value, Path, "size_mib", 64, 0.001, 1e6) *
              BytesPerMib);
          if (m_catalog.m_models.count(Adapter.m_base) == 0)
            m_check.fault(Path + ".base",
                          "no model is called \"" + Adapter.m_base + "\"",
                          "name a model of this configuration");
          if (m_catalog.m_models.count(Name) != 0)
            m_check.fault(Path, "a model has the same name",
                          "rename one; callers address both by name");
          m_catalog.m_adapters[Name] = std::move(Adapter);
        });
  }

  void readServices() {
    m_check.each(m_document, "", "services",
                 [&](const std::string &Name, const Json &Value,
                     const std::string &Path) {
                   m_check.allowKeys(Value, Path, {"timeout_ms", "routes"});
                   ServiceSpec Service;
                   Service.m_name = Name;
                   Service.m_timeout =
                       millis(Value, Path, "timeout_ms", 10000, 1, 600000);
                   if (Value.is_object() && Value.contains("routes"))
                     readRoutes(Value["routes"], Path + ".routes", Service);
                   m_catalog.m_services[Name] = std::move(Service);
                 });
  }

  void readRoutes(const Json &List, const std::string &Path,
                  ServiceSpec &Service) {
    if (!List.is_array()) {
      m_check.fault(Path, "expected a list",
                    "write `- {method: POST, path: /x, repeatable: false}`");
      return;
    }
    for (const Json &Item : List) {
      m_check.allowKeys(Item, Path, {"method", "path", "repeatable"});
      ServiceRoute Route;
      Route.m_method = m_check.text(Item, Path, "method", "");
      Route.m_pathPrefix = m_check.text(Item, Path, "path", "/");
      Route.m_repeatable = m_check.flag(Item, Path, "repeatable", false);
      if (Route.m_pathPrefix.empty() || Route.m_pathPrefix[0] != '/')
        m_check.fault(Path, "a path does not start with /",
                      "write `path: /" + Route.m_pathPrefix + "`");
      Service.m_routes.push_back(std::move(Route));
    }
  }

  void readEngines() {
    m_check.each(m_document, "", "engines",
                 [&](const std::string &Name, const Json &Value,
                     const std::string &Path) {
                   m_check.allowKeys(Value, Path, {"checks_fencing"});
                   EngineRule Rule;
                   Rule.m_prefix = Name;
                   Rule.m_checksFencing =
                       m_check.flag(Value, Path, "checks_fencing", false);
                   m_catalog.m_engineRules.push_back(std::move(Rule));
                 });
  }

  void readLimits() {
    if (!m_document.contains("load_limits"))
      return;
    const Json &Value = m_document["load_limits"];
    const std::string Path = "load_limits";
    m_check.allowKeys(
        Value, Path,
        {"loads_per_second", "concurrent_loads", "concurrent_adapter_loads"});
    LoadLimits &Limits = m_catalog.m_loadLimits;
    Limits.m_loadsPerSecond =
        m_check.number(Value, Path, "loads_per_second", 1, 0.001, 1e4);
    Limits.m_concurrentLoads = static_cast<unsigned>(
        m_check.number(Value, Path, "concurrent_loads", 3, 1, 1e4));
    Limits.m_concurrentAdapterLoads = static_cast<unsigned>(
        m_check.number(Value, Path, "concurrent_adapter_loads", 25, 1, 1e5));
  }

  void readPrices() {
    m_check.each(
        m_document, "", "link_prices",
        [&](const std::string &Name, const Json &, const std::string &Path) {
          std::size_t Slash = Name.find('/');
          if (Slash == std::string::npos) {
            m_check.fault(Path, "expected FROM/TO",
                          "name the link by its two regions, `north/south`");
            return;
          }
          checkRegion(Name.substr(0, Slash), Path);
          checkRegion(Name.substr(Slash + 1), Path);
          m_catalog.m_linkPrice[Name] =
              m_check.number(m_document["link_prices"], "link_prices",
                             Name.c_str(), 0, 0, 1e6);
        });
  }

  void readCallers() {
    m_check.each(m_document, "", "callers",
                 [&](const std::string &Name, const Json &Value,
                     const std::string &Path) {
                   m_check.allowKeys(Value, Path, {"rank"});
                   std::string Text =
                       m_check.text(Value, Path, "rank", "standard");
                   auto Which = parseName(RankNames, Text);
                   if (!Which)
                     m_check.fault(Path + ".rank", "unknown rank " + Text,
                                   "use one of: " + allNames(RankNames));
                   m_catalog.m_callerRanks[Name] =
                       Which.value_or(Rank::Standard);
                 });
  }

  const Json &m_document;
  Checker m_check;
  Catalog m_catalog;
  std::set<std::string> m_regions;
};

void flatten(const Json &Value, const std::string &Path,
             std::map<std::string, std::string> &Out) {
  if (!Value.is_object() || Value.empty()) {
    Out[Path] = dump(Value);
    return;
  }
  for (const auto &[Key, Child] : Value.items())
    flatten(Child, Path.empty() ? Key : Path + "." + Key, Out);
}

} // namespace

Result<MergedConfig>
merge(const std::vector<std::pair<std::string, std::string>> &Files) {
  Json Document = Json::object();
  MergedConfig Merged;
  for (const auto &[Name, Text] : Files) {
    BOOST_OUTCOME_TRYV(pvt::mergeYaml(Name, Text, Document, Merged.m_origins));
  }
  Merged.m_document = dump(Document);
  return Merged;
}

Result<MergedConfig> loadFolder(const std::string &Folder) {
  namespace fs = std::filesystem;
  std::error_code Failed;
  std::vector<fs::path> Paths;
  for (const auto &Entry : fs::directory_iterator(Folder, Failed)) {
    std::string Suffix = Entry.path().extension().string();
    if (Suffix == ".yaml" || Suffix == ".yml")
      Paths.push_back(Entry.path());
  }
  if (Failed || Paths.empty())
    return makeError(ErrorKind::NotFound,
                     Folder + ": no *.yaml file can be read there; name a "
                              "folder that holds the configuration");
  std::sort(Paths.begin(), Paths.end());
  std::vector<std::pair<std::string, std::string>> Files;
  for (const fs::path &Path : Paths) {
    BOOST_OUTCOME_TRY(Text, pvt::readFile(Path.string()));
    Files.emplace_back(Path.filename().string(), std::move(Text));
  }
  return merge(Files);
}

Result<Catalog> buildCatalog(const MergedConfig &Merged,
                             std::uint64_t Revision) {
  Json Document = pvt::parseLimited(Merged.m_document);
  if (!Document.is_object())
    return makeError(ErrorKind::InvalidArgument,
                     "the configuration document is not a JSON map; apply the "
                     "folder again");
  return CatalogBuilder(Document, Merged.m_origins).build(Revision);
}

Result<Catalog> buildCatalog(const std::string &Document,
                             std::uint64_t Revision) {
  return buildCatalog(MergedConfig{Document, {}}, Revision);
}

Result<std::vector<ConfigChange>> diff(const std::string &Before,
                                       const std::string &After) {
  std::map<std::string, std::string> Old;
  std::map<std::string, std::string> New;
  for (auto [Text, Out] : {std::pair(&Before, &Old), std::pair(&After, &New)}) {
    Json Document = pvt::parseLimited(*Text);
    if (Document.is_discarded())
      return makeError(ErrorKind::InvalidArgument,
                       "a document is not valid JSON; read it again from the "
                       "store");
    flatten(Document, "", *Out);
  }
  std::vector<ConfigChange> Changes;
  for (const auto &[Key, Value] : Old) {
    auto It = New.find(Key);
    if (It == New.end())
      Changes.push_back({Key, Value, ""});
    else if (It->second != Value)
      Changes.push_back({Key, Value, It->second});
  }
  for (const auto &[Key, Value] : New)
    if (Old.count(Key) == 0)
      Changes.push_back({Key, "", Value});
  std::sort(Changes.begin(), Changes.end(),
            [](const ConfigChange &A, const ConfigChange &B) {
              return A.m_key < B.m_key;
            });
  return Changes;
}

} // namespace primroseworks::config
