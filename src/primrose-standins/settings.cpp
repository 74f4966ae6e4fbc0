// Reads the settings file with yaml-cpp.
#include "primrose-standins/settings.h"

#include <yaml-cpp/yaml.h>

namespace primroseworks::standins {
namespace {

template <class T> void take(const YAML::Node &From, const char *Key, T &Into) {
  if (From && From[Key])
    Into = From[Key].as<T>();
}

void take(const YAML::Node &From, const char *Key, Milliseconds &Into) {
  if (From && From[Key])
    Into = Milliseconds(From[Key].as<long>());
}

VmInfo vmFrom(const YAML::Node &From, VmKind Kind) {
  VmInfo Vm;
  Vm.m_kind = Kind;
  Vm.m_address = "127.0.0.1";
  Vm.m_name = From["name"].as<std::string>();
  take(From, "service", Vm.m_service);
  take(From, "address", Vm.m_address);
  take(From, "port", Vm.m_port);
  take(From, "region", Vm.m_region);
  take(From, "failure_domain", Vm.m_failureDomain);
  return Vm;
}

void takeEngine(const YAML::Node &From, EngineSettings &Into) {
  take(From, "checks_fencing", Into.m_checksFencing);
  take(From, "memory_bytes", Into.m_memoryBytes);
  take(From, "kv_bytes", Into.m_kvBytes);
  take(From, "kv_bytes_per_token", Into.m_kvBytesPerToken);
  take(From, "max_batch", Into.m_maxBatch);
  take(From, "token_gap_ms", Into.m_gapMillis);
  take(From, "token_gap_per_sequence_ms", Into.m_gapPerSequenceMillis);
  take(From, "prefill_tokens_per_second", Into.m_prefillTokensPerSecond);
  take(From, "report_lag_ms", Into.m_reportLag);
  take(From, "cache_event_lag_ms", Into.m_cacheEventLag);
  take(From, "cache_event_loss", Into.m_cacheEventLoss);
  if (!From || !From["resident"])
    return;
  Into.m_resident.clear();
  for (const YAML::Node &Row : From["resident"]) {
    ResidentArtifact Held;
    std::string Kind = "model";
    Held.m_artifact.m_version = "1";
    take(Row, "kind", Kind);
    Held.m_artifact.m_kind =
        parseName(ArtifactKindNames, Kind).value_or(ArtifactKind::Model);
    Held.m_artifact.m_name = Row["name"].as<std::string>();
    take(Row, "version", Held.m_artifact.m_version);
    take(Row, "bytes", Held.m_bytes);
    Into.m_resident.push_back(Held);
  }
}

Settings settingsFrom(const YAML::Node &Root) {
  Settings Out;
  take(Root, "seed", Out.m_seed);
  take(Root["vms"], "lag_ms", Out.m_vmLag);
  take(Root["vms"], "port", Out.m_vmsPort);
  take(Root["kv"], "reads_per_second", Out.m_kvReadsPerSecond);
  take(Root["kv"], "writes_per_second", Out.m_kvWritesPerSecond);
  take(Root["kv"], "port", Out.m_kvPort);
  const YAML::Node Store = Root["weight_store"];
  take(Store, "loads_per_second", Out.m_weightStore.m_loadsPerSecond);
  take(Store, "concurrent", Out.m_weightStore.m_concurrent);
  take(Store, "load_ms", Out.m_weightStore.m_loadTime);
  take(Store, "adapters_concurrent", Out.m_weightStore.m_adaptersConcurrent);
  take(Store, "adapter_ms", Out.m_weightStore.m_adapterTime);
  EngineSettings Defaults;
  takeEngine(Root["engine_defaults"], Defaults);
  for (const YAML::Node &Row : Root["engines"]) {
    EngineSettings Engine = Defaults;
    Engine.m_vm = vmFrom(Row, VmKind::Engine);
    takeEngine(Row, Engine);
    Out.m_engines.push_back(std::move(Engine));
  }
  for (const YAML::Node &Row : Root["services"]) {
    ServiceSettings Service;
    Service.m_vm = vmFrom(Row, VmKind::Service);
    take(Row, "latency_ms", Service.m_latency);
    Out.m_services.push_back(std::move(Service));
  }
  for (const YAML::Node &Row : Root["daemons"])
    Out.m_daemons.push_back(vmFrom(Row, VmKind::Daemon));
  return Out;
}

} // namespace

Result<Settings> readSettings(const std::string &File) {
  try {
    return settingsFrom(YAML::LoadFile(File));
  } catch (const YAML::Exception &Failure) {
    return makeError(ErrorKind::InvalidArgument,
                     File + ": " + Failure.what() +
                         "; see docs/standins.md for the keys");
  }
}

} // namespace primroseworks::standins
