// Parsing and validation of the settings file.
#include "libgateway/settings.h"
#include "libaccounts/copyfreshness.h"

#include <fstream>
#include <functional>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace primroseworks::gateway {

namespace {

constexpr double BytesPerMb = 1'000'000;

Error settingError(const std::string &Key, const std::string &Found,
                   const std::string &Expected) {
  return makeError(ErrorKind::InvalidArgument,
                   "setting '" + Key + "': found " + Found + ", expected " +
                       Expected + "; correct it in the settings file");
}

std::string found(const YAML::Node &Node) {
  if (!Node || Node.IsNull())
    return "nothing";
  return Node.IsScalar() ? "'" + Node.Scalar() + "'" : "a list or a table";
}

/// Returns the node at a dotted path; undefined if a part of it is missing.
YAML::Node at(const YAML::Node &Root, const std::string &Key) {
  YAML::Node Node = YAML::Clone(Root);
  std::istringstream Parts(Key);
  for (std::string Part; std::getline(Parts, Part, '.');) {
    if (!Node.IsMap() || !Node[Part])
      return YAML::Node(YAML::NodeType::Undefined);
    YAML::Node Next = Node[Part];
    Node.reset(Next);
  }
  return Node;
}

bool isAddress(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos || Colon == 0 || Colon + 1 == Text.size())
    return false;
  for (std::size_t I = Colon + 1; I < Text.size(); ++I)
    if (Text[I] < '0' || Text[I] > '9')
      return false;
  return Text.size() - Colon <= 6;
}

enum class SettingType { Name, Address, OptionalAddress, Number, Flag };

struct SettingSpec {
  const char *m_key;
  SettingType m_type;
  const char *m_unit;
  double m_min; ///< For numbers only.
  double m_max;
  std::function<void(Settings &, const std::string &, double)> m_set;
  std::function<std::string(const Settings &)> m_get;
};

template <class T> std::string shown(const T &Value) {
  std::ostringstream Out;
  Out << Value;
  return Out.str();
}

const std::vector<SettingSpec> &specs() {
  using S = Settings;
  using Str = const std::string &;
  static const std::vector<SettingSpec> Table = {
      {"vm.name", SettingType::Name, "", 0, 0,
       [](S &O, Str T, double) { O.m_vm = T; },
       [](const S &O) { return O.m_vm; }},
      {"vm.failure-domain", SettingType::Name, "", 0, 0,
       [](S &O, Str T, double) { O.m_failureDomain = T; },
       [](const S &O) { return O.m_failureDomain; }},
      {"vm.address", SettingType::Name, "IP", 0, 0,
       [](S &O, Str T, double) { O.m_address = T; },
       [](const S &O) { return O.m_address; }},
      {"vm.descriptors", SettingType::Number, "files", 64, 1e7,
       [](S &O, Str, double V) { O.m_descriptors = static_cast<unsigned>(V); },
       [](const S &O) { return shown(O.m_descriptors); }},
      {"vm.cpu-share", SettingType::Number, "cores", 0.001, 1024,
       [](S &O, Str, double V) { O.m_cpuShare = V; },
       [](const S &O) { return shown(O.m_cpuShare); }},
      {"vm.memory-mb", SettingType::Number, "MB, 0: that of the VM", 0, 1e8,
       [](S &O, Str, double V) {
         O.m_memoryBytes = static_cast<std::size_t>(V * BytesPerMb);
       },
       [](const S &O) {
         return shown(static_cast<double>(O.m_memoryBytes) / BytesPerMb);
       }},
      {"listen.callers", SettingType::Address, "IP:PORT", 0, 0,
       [](S &O, Str T, double) { O.m_callers = T; },
       [](const S &O) { return O.m_callers; }},
      {"listen.ready", SettingType::Address, "IP:PORT", 0, 0,
       [](S &O, Str T, double) { O.m_ready = T; },
       [](const S &O) { return O.m_ready; }},
      {"listen.metrics", SettingType::OptionalAddress, "IP:PORT", 0, 0,
       [](S &O, Str T, double) { O.m_metrics = T; },
       [](const S &O) { return O.m_metrics; }},
      {"peers.port", SettingType::Number, "UDP port", 1, 65535,
       [](S &O, Str, double V) { O.m_peerPort = static_cast<unsigned>(V); },
       [](const S &O) { return shown(O.m_peerPort); }},
      {"store.address", SettingType::Address, "IP:PORT", 0, 0,
       [](S &O, Str T, double) { O.m_store = T; },
       [](const S &O) { return O.m_store; }},
      {"store.lease-ms", SettingType::Number, "ms", 1000, 600000,
       [](S &O, Str, double V) {
         O.m_lease = Milliseconds(static_cast<long>(V));
       },
       [](const S &O) { return shown(O.m_lease.count()); }},
      {"store.drain-limit-ms", SettingType::Number, "ms", 500, 60000,
       [](S &O, Str, double V) {
         O.m_drainLimit = Milliseconds(static_cast<long>(V));
       },
       [](const S &O) { return shown(O.m_drainLimit.count()); }},
      {"store.configuration-limit-ms", SettingType::Number, "ms", 500, 60000,
       [](S &O, Str, double V) {
         O.m_configurationLimit = Milliseconds(static_cast<long>(V));
       },
       [](const S &O) { return shown(O.m_configurationLimit.count()); }},
      {"stop.limit-s", SettingType::Number, "s", 1, 3600,
       [](S &O, Str, double V) {
         O.m_stopLimit = Milliseconds(static_cast<long>(V * 1000));
       },
       [](const S &O) { return shown(toSeconds(O.m_stopLimit)); }},
      {"retries.share", SettingType::Number, "repeats per request", 0, 1,
       [](S &O, Str, double V) { O.m_retries.m_share = V; },
       [](const S &O) { return shown(O.m_retries.m_share); }},
      {"retries.window-s", SettingType::Number, "s", 1, 600,
       [](S &O, Str, double V) {
         O.m_retries.m_window = Seconds(static_cast<long>(V));
       },
       [](const S &O) { return shown(O.m_retries.m_window.count()); }},
      {"retries.extra", SettingType::Number, "repeats of all VMs", 0, 1e6,
       [](S &O, Str, double V) { O.m_retries.m_extra = V; },
       [](const S &O) { return shown(O.m_retries.m_extra); }},
      {"endpoints.adaptive-pace", SettingType::Flag, "true or false", 0, 0,
       [](S &O, Str, double V) { O.m_adaptivePace = V != 0; },
       [](const S &O) -> std::string {
         return O.m_adaptivePace ? "true" : "false";
       }},
      {"start.ask-peers", SettingType::Flag, "true or false", 0, 0,
       [](S &O, Str, double V) { O.m_askPeers = V != 0; },
       [](const S &O) -> std::string {
         return O.m_askPeers ? "true" : "false";
       }},
      {"start.bootstrap", SettingType::Flag, "true or false", 0, 0,
       [](S &O, Str, double V) { O.m_bootstrap = V != 0; },
       [](const S &O) -> std::string {
         return O.m_bootstrap ? "true" : "false";
       }},
      {"accounts.revoke-limit-ms", SettingType::Number, "ms, 0: no limit", 0,
       600000,
       [](S &O, Str, double V) {
         O.m_revokeLimit = Milliseconds(static_cast<long>(V));
       },
       [](const S &O) { return shown(O.m_revokeLimit.count()); }},
      {"accounts.revoke-strict", SettingType::Flag, "true or false", 0, 1,
       [](S &O, Str, double V) { O.m_revokeStrict = V != 0; },
       [](const S &O) {
         return std::string(O.m_revokeStrict ? "true" : "false");
       }},
      {"quotas.window-s", SettingType::Number, "s", 0.1, 3600,
       [](S &O, Str, double V) { O.m_quotas.m_window = fromSeconds(V); },
       [](const S &O) { return shown(toSeconds(O.m_quotas.m_window)); }},
      {"quotas.over", SettingType::Number, "share", 0, 1,
       [](S &O, Str, double V) { O.m_quotas.m_over = V; },
       [](const S &O) { return shown(O.m_quotas.m_over); }},
      {"quotas.extra-tokens", SettingType::Number, "cost", 0, 1e9,
       [](S &O, Str, double V) { O.m_quotas.m_slack = V; },
       [](const S &O) { return shown(O.m_quotas.m_slack); }},
  };
  return Table;
}

/// Settings that have a default; all others are required.
bool hasDefault(const std::string &Key) {
  return Key == "vm.descriptors" || Key == "vm.cpu-share" ||
         Key == "vm.memory-mb" || Key == "listen.metrics" ||
         Key == "store.lease-ms" || Key == "store.drain-limit-ms" ||
         Key == "store.configuration-limit-ms" || Key == "stop.limit-s" ||
         Key == "endpoints.adaptive-pace" || Key.rfind("retries.", 0) == 0 ||
         Key.rfind("accounts.", 0) == 0 || Key.rfind("quotas.", 0) == 0 ||
         Key.rfind("start.", 0) == 0;
}

/// Checks that credits and refunds are spent within the excess that the bound
/// of a window allows.
Result<void> checkQuotas(const quota::QuotaBounds &Bounds) {
  const Milliseconds Needed = quota::CreditLifetime + quota::RefundLimit;
  const double Allowed = Bounds.m_over * toSeconds(Bounds.m_window);
  if (toSeconds(Needed) <= Allowed)
    return boost::outcome_v2::success();
  return settingError("quotas.window-s x quotas.over", shown(Allowed) + " s",
                      "at least " + shown(toSeconds(Needed)) +
                          " s, the lifetime of credits and their refund");
}

Result<void> readOne(const YAML::Node &Root, const SettingSpec &Spec,
                     Settings &Out) {
  const YAML::Node Node = at(Root, Spec.m_key);
  if (!Node.IsDefined() || Node.IsNull()) {
    if (hasDefault(Spec.m_key))
      return boost::outcome_v2::success();
    return settingError(Spec.m_key, "nothing", "a value");
  }
  if (!Node.IsScalar())
    return settingError(Spec.m_key, found(Node), "one value");
  const std::string &Text = Node.Scalar();
  if (Spec.m_type == SettingType::Number) {
    double Value = 0;
    if (!YAML::convert<double>::decode(Node, Value) || !(Value >= Spec.m_min) ||
        !(Value <= Spec.m_max))
      return settingError(Spec.m_key, found(Node),
                          "a number from " + shown(Spec.m_min) + " to " +
                              shown(Spec.m_max) + " (" + Spec.m_unit + ")");
    Spec.m_set(Out, Text, Value);
    return boost::outcome_v2::success();
  }
  if (Spec.m_type == SettingType::Flag) {
    bool Value = false;
    if (!YAML::convert<bool>::decode(Node, Value))
      return settingError(Spec.m_key, found(Node), Spec.m_unit);
    Spec.m_set(Out, Text, Value ? 1 : 0);
    return boost::outcome_v2::success();
  }
  if (Text.empty() && Spec.m_type == SettingType::OptionalAddress)
    return boost::outcome_v2::success();
  if (Spec.m_type != SettingType::Name && !isAddress(Text))
    return settingError(Spec.m_key, found(Node), "an address as IP:PORT");
  if (Text.empty())
    return settingError(Spec.m_key, "an empty text", "a name");
  Spec.m_set(Out, Text, 0);
  return boost::outcome_v2::success();
}

} // namespace

Result<Settings> parseSettings(const std::string &Yaml) {
  YAML::Node Root;
  try {
    Root = YAML::Load(Yaml);
  } catch (const YAML::Exception &E) {
    return makeError(ErrorKind::InvalidArgument,
                     "settings are not valid YAML: " + std::string(E.what()) +
                         "; correct the line named in this message");
  }
  if (!Root.IsMap())
    return makeError(ErrorKind::InvalidArgument,
                     "settings are not a table; start with 'vm:' and its keys");
  Settings Out;
  for (const SettingSpec &Spec : specs()) {
    BOOST_OUTCOME_TRYV(readOne(Root, Spec, Out));
  }
  const Result<CopyFreshness> Fresh =
      CopyFreshness::create(Out.freshnessLimits());
  if (!Fresh)
    return makeError(ErrorKind::InvalidArgument,
                     "setting 'accounts.revoke-limit-ms': " +
                         Fresh.error().m_message);
  BOOST_OUTCOME_TRYV(checkQuotas(Out.m_quotas));
  const YAML::Node Domains = at(Root, "failure-domains");
  if (!Domains.IsMap())
    return settingError("failure-domains", found(Domains),
                        "a table from failure domain to region");
  for (const auto &Row : Domains)
    Out.m_regions[Row.first.Scalar()] = Row.second.Scalar();
  if (!Out.m_regions.count(Out.m_failureDomain))
    return settingError("failure-domains",
                        "no row '" + Out.m_failureDomain + "'",
                        "a row for vm.failure-domain");
  return Out;
}

Result<Settings> loadSettings(const std::string &Path) {
  std::ifstream In(Path);
  if (!In)
    return makeError(ErrorKind::NotFound,
                     "cannot read the settings file '" + Path +
                         "'; check the path and its permissions");
  std::ostringstream Text;
  Text << In.rdbuf();
  return parseSettings(Text.str());
}

std::vector<SettingRow> describeSettings(const std::string &Yaml,
                                         const Settings &Effective) {
  std::vector<SettingRow> Rows;
  const YAML::Node Root = YAML::Load(Yaml);
  for (const SettingSpec &Spec : specs()) {
    const YAML::Node Node = at(Root, Spec.m_key);
    Rows.push_back({Spec.m_key, Spec.m_get(Effective), Spec.m_unit,
                    !Node.IsDefined() || Node.IsNull()});
  }
  return Rows;
}

} // namespace primroseworks::gateway
