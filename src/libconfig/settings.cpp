// Settings of one daemon, driven by one table of keys.
#include "primroseworks/settings.h"

#include "libconfig/checker_pvt.h"
#include "libconfig/yaml_pvt.h"

#include <fmt/format.h>
#include <spdlog/common.h>

namespace primroseworks::settings {

namespace {

using Json = nlohmann::json;
using pvt::Checker;

/// A key that holds a text; a required one may not be empty.
struct TextKey {
  const char *m_key;
  std::string Settings::*m_member;
  bool m_required;
  bool m_secret;
  const char *m_meaning;
};

/// A key that holds HOST:PORT.
struct AddressKey {
  const char *m_key;
  SocketAddress Settings::*m_member;
  const char *m_meaning;
};

/// A key that holds a whole number.
struct NumberKey {
  const char *m_key;
  const char *m_unit;
  unsigned Settings::*m_member;
  unsigned m_low;
  unsigned m_high;
  const char *m_meaning;
};

constexpr TextKey TextKeys[] = {
    {"name", &Settings::m_name, true, false, "unique name of this daemon"},
    {"region", &Settings::m_region, true, false, "region of its VM"},
    {"failure_domain", &Settings::m_failureDomain, true, false,
     "failure domain of its VM"},
    {"kv_url", &Settings::m_kvUrl, true, false, "key-value service"},
    {"vm_list_url", &Settings::m_vmListUrl, true, false,
     "the platform's list of VMs"},
    {"cluster_key", &Settings::m_clusterKey, true, true,
     "secret shared by all daemons, at least 16 characters"},
    {"operator_token", &Settings::m_operatorToken, true, true,
     "bearer token of the operator port, at least 16 characters"},
    {"caller_certificate", &Settings::m_callerCertificate, false, false,
     "PEM file; TLS towards callers if set with caller_key"},
    {"caller_key", &Settings::m_callerKey, false, false, "PEM file"},
    {"operator_certificate", &Settings::m_operatorCertificate, false, false,
     "PEM file; TLS towards operators if set with operator_key"},
    {"operator_key", &Settings::m_operatorKey, false, false, "PEM file"},
    {"peer_certificate", &Settings::m_peerCertificate, false, false,
     "PEM file; TLS between daemons if set with peer_key and peer_ca"},
    {"peer_key", &Settings::m_peerKey, false, false, "PEM file"},
    {"peer_ca", &Settings::m_peerCa, false, false, "PEM file"},
    {"log_level", &Settings::m_logLevel, false, false,
     "trace, debug, info, warning, error, off"},
};

constexpr AddressKey AddressKeys[] = {
    {"caller_listen", &Settings::m_callerListen, "HTTP port for callers"},
    {"operator_listen", &Settings::m_operatorListen,
     "HTTP port for operators, health and metrics"},
    {"peer_listen", &Settings::m_peerListen, "port for other daemons"},
    {"peer_advertise", &Settings::m_peerAdvertise,
     "where other daemons reach peer_listen, if addresses are translated"},
};

/// An expired key may run again, so keys outlive every request: calls of
/// services take up to 600 s, and a stop waits up to an hour for requests.
constexpr unsigned MinRetentionSeconds = 2 * 3600;
constexpr unsigned MaxRetentionSeconds = 7 * 24 * 3600;

constexpr NumberKey NumberKeys[] = {
    {"max_connections", "connections", &Settings::m_maxConnections, 1, 20000,
     "open caller connections, one thread each; more get 503"},
    {"max_body_bytes", "bytes", &Settings::m_maxBodyBytes, 1024, 64 << 20,
     "largest request body; a larger one gets 413"},
    {"max_queued", "requests", &Settings::m_maxQueued, 1, 100000,
     "requests that wait for an endpoint; more get 429"},
    {"journal_shards", "shards", &Settings::m_journalShards, 1, 64,
     "shards of the journal; equal at all daemons"},
    {"journal_writes_per_second", "writes/s",
     &Settings::m_journalWritesPerSecond, 1, 1000,
     "write budget of all journal shards together"},
    {"journal_retention_seconds", "s", &Settings::m_journalRetentionSeconds,
     MinRetentionSeconds, MaxRetentionSeconds,
     "how long keys and their results are kept; equal at all daemons"},
};

constexpr std::size_t MinSecretLength = 16;

void readAddress(const Json &Document, const AddressKey &Key, Settings &Out,
                 Checker &Check) {
  std::string Text = Check.text(Document, "", Key.m_key, "127.0.0.1:0");
  auto Parsed = parseAddress(Text);
  if (Parsed)
    Out.*Key.m_member = Parsed.value();
  else
    Check.fault(Key.m_key, Parsed.error().m_message,
                fmt::format("write `{}: 127.0.0.1:8080`", Key.m_key));
}

void readSeeds(const Json &Document, Settings &Out, Checker &Check) {
  Check.each(
      Document, "", "seeds",
      [&](const std::string &Name, const Json &Value, const std::string &Path) {
        auto Parsed =
            parseAddress(Value.is_string() ? Value.get<std::string>() : "");
        if (Parsed)
          Out.m_seeds.push_back({Name, Parsed.value()});
        else
          Check.fault(Path, Parsed.error().m_message,
                      "write `NAME: 127.0.0.1:9000`");
      });
}

void checkSecrets(const Settings &Out, Checker &Check) {
  for (const TextKey &Key : TextKeys)
    if (Key.m_secret && (Out.*Key.m_member).size() < MinSecretLength)
      Check.fault(Key.m_key, "shorter than 16 characters",
                  "generate one with `openssl rand -hex 16`");
}

void checkKnownKeys(const Json &Document, Checker &Check) {
  for (const auto &[Name, Value] : Document.items()) {
    bool Known = Name == "seeds" || Name == "drain_timeout_ms";
    for (const TextKey &Key : TextKeys)
      Known = Known || Name == Key.m_key;
    for (const AddressKey &Key : AddressKeys)
      Known = Known || Name == Key.m_key;
    for (const NumberKey &Key : NumberKeys)
      Known = Known || Name == Key.m_key;
    if (!Known)
      Check.fault(Name, "unknown key",
                  "remove it; `primrosed --help` lists the keys");
  }
}

Result<Settings> build(const Json &Document, Checker &Check) {
  Settings Out;
  checkKnownKeys(Document, Check);
  for (const TextKey &Key : TextKeys) {
    Out.*Key.m_member = Check.text(Document, "", Key.m_key, Out.*Key.m_member);
    if (Key.m_required && (Out.*Key.m_member).empty())
      Check.fault(
          Key.m_key, "required and missing",
          fmt::format("write `{}: ...` ({})", Key.m_key, Key.m_meaning));
  }
  for (const AddressKey &Key : AddressKeys)
    readAddress(Document, Key, Out, Check);
  for (const NumberKey &Key : NumberKeys)
    Out.*Key.m_member = static_cast<unsigned>(Check.number(
        Document, "", Key.m_key, Out.*Key.m_member, Key.m_low, Key.m_high));
  Out.m_drainTimeout = Milliseconds(static_cast<long>(
      Check.number(Document, "", "drain_timeout_ms", 120000, 0, 3600000)));
  readSeeds(Document, Out, Check);
  checkSecrets(Out, Check);
  if (spdlog::level::from_str(Out.m_logLevel) == spdlog::level::off &&
      Out.m_logLevel != "off")
    Check.fault("log_level", "unknown level " + Out.m_logLevel,
                "use trace, debug, info, warning, error or off");
  if (!Check.faults().empty())
    return makeError(ErrorKind::InvalidArgument, Check.faults());
  return Out;
}

std::string formatAddress(const SocketAddress &Address) {
  return fmt::format("{}:{}", Address.m_host, Address.m_port);
}

} // namespace

Result<SocketAddress> parseAddress(const std::string &Text) {
  std::size_t Colon = Text.rfind(':');
  bool Ok =
      Colon != std::string::npos && Colon > 0 && Text.size() - Colon - 1 <= 5 &&
      Colon + 1 < Text.size() &&
      Text.find_first_not_of("0123456789", Colon + 1) == std::string::npos;
  if (!Ok || std::stoul(Text.substr(Colon + 1)) > 65535)
    return makeError(ErrorKind::InvalidArgument,
                     "expected HOST:PORT, got \"" + Text + "\"");
  return SocketAddress{
      Text.substr(0, Colon),
      static_cast<std::uint16_t>(std::stoul(Text.substr(Colon + 1)))};
}

Result<Settings> parse(const std::string &File, const std::string &Text) {
  Json Document = Json::object();
  std::map<std::string, ConfigOrigin> Origins;
  BOOST_OUTCOME_TRYV(pvt::mergeYaml(File, Text, Document, Origins));
  Checker Check(Origins);
  return build(Document, Check);
}

Result<Settings> load(const std::string &Path) {
  BOOST_OUTCOME_TRY(Text, pvt::readFile(Path));
  return parse(Path, Text);
}

std::string describe(const Settings &Values) {
  std::string Out;
  for (const TextKey &Key : TextKeys) {
    const std::string &Value = Values.*Key.m_member;
    Out +=
        fmt::format("{}: {}\n", Key.m_key,
                    Json(Key.m_secret ? std::string("(set)") : Value).dump());
  }
  for (const AddressKey &Key : AddressKeys)
    Out +=
        fmt::format("{}: {}\n", Key.m_key, formatAddress(Values.*Key.m_member));
  for (const NumberKey &Key : NumberKeys)
    Out += fmt::format("{}: {}\n", Key.m_key, Values.*Key.m_member);
  Out += fmt::format("drain_timeout_ms: {}\n", Values.m_drainTimeout.count());
  if (!Values.m_seeds.empty())
    Out += "seeds:\n";
  for (const PeerSeed &Seed : Values.m_seeds)
    Out +=
        fmt::format("  {}: {}\n", Seed.m_name, formatAddress(Seed.m_address));
  return Out;
}

std::string reference() {
  const Settings Defaults;
  std::string Out;
  for (const TextKey &Key : TextKeys)
    Out += fmt::format("  {:27} text{}; {}\n", Key.m_key,
                       Key.m_required ? ", required" : "", Key.m_meaning);
  for (const AddressKey &Key : AddressKeys)
    Out +=
        fmt::format("  {:27} HOST:PORT, default 127.0.0.1:0 (any port); {}\n",
                    Key.m_key, Key.m_meaning);
  for (const NumberKey &Key : NumberKeys)
    Out += fmt::format("  {:27} {}, default {}, {} to {}; {}\n", Key.m_key,
                       Key.m_unit, Defaults.*Key.m_member, Key.m_low,
                       Key.m_high, Key.m_meaning);
  Out += fmt::format("  {:27} ms, default 120000, 0 to 3600000; longest wait "
                     "for requests in progress at a stop\n",
                     "drain_timeout_ms");
  Out +=
      fmt::format("  {:27} map NAME: HOST:PORT; peers to ask first\n", "seeds");
  return Out;
}

} // namespace primroseworks::settings
