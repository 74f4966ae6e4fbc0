// Tests of the settings: errors name the missing or invalid key and the remedy.
#include "libgateway/settings.h"

#include <gtest/gtest.h>

using namespace primroseworks;
using namespace primroseworks::gateway;

namespace {

const std::string Good = R"(vm:
  name: "vm-1"
  failure-domain: "d1"
  address: "10.0.0.1"
failure-domains: {"d1":"r1","d2":"r2"}
listen:
  callers: "10.0.0.1:8000"
  ready: "10.0.0.1:8001"
peers:
  port: 7380
store:
  address: "10.9.0.1:8142"
retries:
  extra: 58
)";

std::string with(const std::string &From, const std::string &To) {
  std::string Out = Good;
  Out.replace(Out.find(From), From.size(), To);
  return Out;
}

} // namespace

TEST(GatewaySettings, ReadsValuesAndDefaults) {
  Result<Settings> S = parseSettings(Good);
  ASSERT_TRUE(S) << S.error().m_message;
  EXPECT_EQ(S.value().m_vm, "vm-1");
  EXPECT_EQ(S.value().m_regions.at("d2"), "r2");
  EXPECT_EQ(S.value().m_lease, Milliseconds(2000));
  EXPECT_DOUBLE_EQ(S.value().m_retries.m_extra, 58);
  EXPECT_FALSE(S.value().m_adaptivePace);
  EXPECT_TRUE(parseSettings(Good + "endpoints:\n  adaptive-pace: true\n")
                  .value()
                  .m_adaptivePace);
  EXPECT_EQ(S.value().m_quotas.m_window, Seconds(8));
  EXPECT_FALSE(S.value().m_askPeers);
  EXPECT_FALSE(S.value().m_bootstrap);
  const Settings Asking =
      parseSettings(Good + "start:\n  ask-peers: true\n  bootstrap: true\n")
          .value();
  EXPECT_TRUE(Asking.m_askPeers);
  EXPECT_TRUE(Asking.m_bootstrap);
  bool Default = false;
  for (const SettingRow &Row : describeSettings(Good, S.value()))
    if (Row.m_key == "stop.limit-s")
      Default = Row.m_isDefault && Row.m_value == "8";
  EXPECT_TRUE(Default);
}

// Guards against a process that starts with missing or invalid settings.
TEST(GatewaySettings, NamesTheWrongKeyAndTheRemedy) {
  const std::pair<std::string, std::string> Cases[] = {
      {with("  port: 7380\n", "  port: 99999\n"), "peers.port"},
      {with("  port: 7380\n", "  port: many\n"), "peers.port"},
      {with("  name: \"vm-1\"\n", ""), "vm.name"},
      {Good + "endpoints:\n  adaptive-pace: 2\n", "endpoints.adaptive-pace"},
      {Good + "start:\n  ask-peers: maybe\n", "start.ask-peers"},
      {with("\"10.9.0.1:8142\"", "\"10.9.0.1\""), "store.address"},
      {with("failure-domain: \"d1\"", "failure-domain: \"d7\""),
       "failure-domains"},
      {Good + "quotas:\n  window-s: 4\n  over: 0.1\n", "quotas.over"},
      {"- a list", "table"},
      {"vm: [", "YAML"}};
  for (const auto &[Yaml, Named] : Cases) {
    Result<Settings> S = parseSettings(Yaml);
    ASSERT_FALSE(S) << Named;
    EXPECT_EQ(S.error().m_kind, ErrorKind::InvalidArgument);
    EXPECT_NE(S.error().m_message.find(Named), std::string::npos)
        << S.error().m_message;
  }
}

// Guards against refusals in a deployment that does not ask for them, and
// against a limit that no VM can keep.
TEST(GatewaySettings, LimitOfRevokedKeysIsOptional) {
  const auto Read = [](const std::string &Section) {
    return parseSettings(Good + Section);
  };
  for (const char *Absent : {"", "accounts:\n"}) {
    EXPECT_EQ(Read(Absent).value().m_revokeLimit, Milliseconds(0));
    EXPECT_FALSE(Read(Absent).value().m_revokeStrict);
  }
  const Settings S =
      Read("accounts:\n  revoke-limit-ms: 5000\n  revoke-strict: true\n")
          .value();
  EXPECT_EQ(S.m_revokeLimit, Milliseconds(5000));
  EXPECT_TRUE(S.m_revokeStrict);
  for (const auto &[Section, Named] :
       {std::pair("accounts:\n  revoke-limit-ms: 700\n", "revoke-limit-ms"),
        std::pair("accounts:\n  revoke-strict: perhaps\n", "revoke-strict")}) {
    const Result<Settings> Bad = Read(Section);
    ASSERT_FALSE(Bad) << Section;
    EXPECT_NE(Bad.error().m_message.find(Named), std::string::npos);
  }
}
