// Tests of primrosectl against a fake operator port.
#include "primrosectl/commands.h"

#include "primroseworks/httpserver.h"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unistd.h>

using namespace primroseworks;
using namespace primroseworks::ctl;
using Json = nlohmann::json;

namespace {

/// A fake daemon that accepts one configuration.
class CommandsTest : public testing::Test {
protected:
  void SetUp() override {
    auto Made =
        createHttpServer({}, [this](const HttpRequest &Req, HttpResponse &Res) {
          handle(Req, Res);
        });
    ASSERT_TRUE(Made);
    m_server = std::move(Made.value());
    m_folder = testing::TempDir() + "commands_test" + std::to_string(getpid());
    std::filesystem::create_directories(m_folder);
    write("10-base.yaml", "deployment: t\nregions: [north]\nmodels:\n  m: "
                          "{weight_gib: 1}\n");
    std::filesystem::remove(m_folder + "/20-more.yaml");
  }

  void write(const std::string &Name, const std::string &Text) {
    std::ofstream(m_folder + "/" + Name) << Text;
  }

  void handle(const HttpRequest &Req, HttpResponse &Res) {
    if (Req.header("Authorization") != "Bearer secret") {
      Res.m_status = 401;
      Res.m_body = R"({"message":"wrong token"})";
    } else if (Req.m_path == "/config" && Req.m_method == "GET") {
      Res.m_body =
          Json{{"accepted", m_revision}, {"document", m_document}}.dump();
    } else if (Req.m_path == "/config") {
      Json Body = Json::parse(Req.m_body);
      if (Body["expected"] != m_revision) {
        Res.m_status = 409;
        Res.m_body =
            R"({"message":"revision 2 was accepted first: m.version"})";
        return;
      }
      m_document = Body["document"];
      ++m_revision;
      Res.m_body = Json{{"revision", m_revision}}.dump();
    } else if (Req.m_path == "/status") {
      Json Members = Json::array(
          {{{"name", "b"}, {"revision", m_lagging ? 0 : m_revision}}});
      Res.m_body = Json{{"revision", m_revision}, {"members", Members}}.dump();
    }
  }

  Exit run(std::vector<std::string> Words,
           std::optional<std::uint64_t> Expected = std::nullopt) {
    Invocation Call;
    Call.m_words = std::move(Words);
    Call.m_client.m_url =
        "http://127.0.0.1:" + std::to_string(m_server->port());
    Call.m_client.m_token = m_token;
    Call.m_expected = Expected;
    Call.m_origin = true;
    m_out.str("");
    m_err.str("");
    return ctl::run(Call, m_out, m_err);
  }

  std::unique_ptr<HttpServer> m_server;
  std::string m_folder;
  std::string m_token = "secret";
  Json m_document = Json::object();
  std::uint64_t m_revision = 1;
  bool m_lagging = false;
  std::ostringstream m_out;
  std::ostringstream m_err;
};

} // namespace

// Guards against an apply that reports success before all members have it.
TEST_F(CommandsTest, AppliesAndWaits) {
  EXPECT_EQ(run({"config", "diff", m_folder}), Exit::Differs);
  EXPECT_EQ(run({"config", "apply", m_folder}), Exit::Ok) << m_err.str();
  EXPECT_EQ(m_revision, 2u);
  EXPECT_EQ(run({"config", "diff", m_folder}), Exit::Ok) << m_out.str();
  EXPECT_EQ(run({"config", "apply", m_folder}), Exit::Ok);
  EXPECT_EQ(m_revision, 2u);
  write("20-more.yaml", "models: {m: {version: 2}}\n");
  m_lagging = true;
  EXPECT_EQ(run({"config", "apply", m_folder}), Exit::NotInForce);
  EXPECT_NE(m_err.str().find('b'), std::string::npos);
}

// Guards against racing operators who overwrite each other unseen.
TEST_F(CommandsTest, ConflictShowsTheOtherChange) {
  EXPECT_EQ(run({"config", "apply", m_folder}, 0), Exit::Conflict);
  EXPECT_NE(m_err.str().find("m.version"), std::string::npos);
}

// Guards against a wrong folder that reaches the daemon.
TEST_F(CommandsTest, InvalidFolderChangesNothing) {
  write("20-more.yaml", "models: {m: {weight_gib: heavy}}\n");
  EXPECT_EQ(run({"config", "apply", m_folder}), Exit::Invalid);
  EXPECT_NE(m_err.str().find("20-more.yaml:1: models.m.weight_gib"),
            std::string::npos)
      << m_err.str();
  EXPECT_EQ(m_revision, 1u);
}

// Guards against exit codes that scripts cannot tell apart.
TEST_F(CommandsTest, ExitCodes) {
  EXPECT_EQ(run({"config", "show", m_folder}), Exit::Ok);
  EXPECT_NE(m_out.str().find("models.m.weight_gib: 1  # 10-base.yaml:4"),
            std::string::npos)
      << m_out.str();
  EXPECT_EQ(run({"nonsense"}), Exit::Usage);
  EXPECT_EQ(run({"config", "check", m_folder + "/none"}), Exit::Invalid);
  m_token = "wrong";
  EXPECT_EQ(run({"status"}), Exit::Refused);
  m_server->stop();
  EXPECT_EQ(run({"status"}), Exit::Unreachable);
}
