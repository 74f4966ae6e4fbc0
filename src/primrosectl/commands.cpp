// The commands of primrosectl.
#include "primrosectl/commands.h"

#include "primrosectl/requestlog.h"
#include "primroseworks/config.h"

#include <algorithm>
#include <chrono>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace primroseworks::ctl {

namespace {

using Json = nlohmann::json;

// An accepted configuration is in force everywhere within 4 s; the rest is
// room for the answers.
constexpr std::chrono::seconds ForceWait{6};
constexpr std::chrono::milliseconds ForcePoll{200};

/// Runs commands with their output streams.
class Runner {
public:
  Runner(const Invocation &Call, std::ostream &Out, std::ostream &Err)
      : m_call(Call), m_out(Out), m_err(Err) {}

  Exit run();

private:
  using Command = Exit (Runner::*)();
  struct Entry {
    const char *m_name; ///< One or two words.
    std::size_t m_arguments;
    Command m_command;
  };
  static const Entry Entries[];

  Exit configCheck();
  Exit configApply();
  Exit configShow();
  Exit configDiff();
  Exit configHistory();
  Exit status();
  Exit endpoints();
  Exit models();
  Exit drain();
  Exit explain();
  Exit clearSuspect();

  Exit fail(Exit Code, const std::string &Message) {
    m_err << "primrosectl: " << Message << "\n";
    return Code;
  }
  Exit fail(const Error &Why);
  Exit refuse(const Answer &Res);
  /// Folder argument, merged and checked.
  Result<MergedConfig> loadChecked();
  Result<Json> fetch(const std::string &Path);
  Exit show(const std::string &Path, void (Runner::*Print)(const Json &));
  Exit waitInForce(std::uint64_t Revision);
  void printChanges(const std::vector<ConfigChange> &Changes);
  void printStatus(const Json &Body);
  void printEndpoints(const Json &Body);
  void printModels(const Json &Body);
  void printHistory(const Json &Body);
  void printExplanation(const Json &Body);
  const std::string &argument() const { return m_call.m_words.back(); }

  const Invocation &m_call;
  std::ostream &m_out;
  std::ostream &m_err;
};

const Runner::Entry Runner::Entries[] = {
    {"config check", 1, &Runner::configCheck},
    {"config apply", 1, &Runner::configApply},
    {"config show", 1, &Runner::configShow},
    {"config show", 0, &Runner::configShow},
    {"config diff", 1, &Runner::configDiff},
    {"config history", 0, &Runner::configHistory},
    {"status", 0, &Runner::status},
    {"endpoints", 0, &Runner::endpoints},
    {"models", 0, &Runner::models},
    {"drain", 0, &Runner::drain},
    {"explain", 1, &Runner::explain},
    {"suspects clear", 1, &Runner::clearSuspect},
};

Exit Runner::run() {
  for (const Entry &E : Entries) {
    std::string Name = E.m_name;
    std::size_t Words = 1 + std::count(Name.begin(), Name.end(), ' ');
    if (m_call.m_words.size() != Words + E.m_arguments)
      continue;
    std::string Given = m_call.m_words[0];
    for (std::size_t I = 1; I < Words; ++I)
      Given += " " + m_call.m_words[I];
    if (Given == Name)
      return (this->*E.m_command)();
  }
  return fail(Exit::Usage, "unknown command or wrong number of arguments; see "
                           "primrosectl --help");
}

Exit Runner::fail(const Error &Why) {
  switch (Why.m_kind) {
  case ErrorKind::Unavailable:
  case ErrorKind::Timeout:
    return fail(Exit::Unreachable, Why.m_message);
  case ErrorKind::PermissionDenied:
    return fail(Exit::Refused, Why.m_message);
  case ErrorKind::Conflict:
    return fail(Exit::Conflict, Why.m_message);
  default:
    return fail(Exit::Invalid, Why.m_message);
  }
}

Exit Runner::refuse(const Answer &Res) {
  Json Body = Json::parse(Res.m_body, nullptr, false);
  std::string Message = Body.is_object() ? Body.value("message", "") : "";
  if (Message.empty())
    Message = fmt::format("the daemon answered status {}", Res.m_status);
  if (Res.m_status == 409)
    return fail(Exit::Conflict, Message);
  if (Res.m_status == 422)
    return fail(Exit::Invalid, Message);
  if (Res.m_status >= 500)
    return fail(Exit::Unreachable, Message);
  return fail(Exit::Refused, Message);
}

Result<MergedConfig> Runner::loadChecked() {
  BOOST_OUTCOME_TRY(Merged, config::loadFolder(argument()));
  BOOST_OUTCOME_TRYV(config::buildCatalog(Merged, 0));
  return Merged;
}

Result<Json> Runner::fetch(const std::string &Path) {
  BOOST_OUTCOME_TRY(Res, call(m_call.m_client, "GET", Path, ""));
  Json Body = Json::parse(Res.m_body, nullptr, false);
  if (Res.m_status == 200 && !Body.is_discarded())
    return Body;
  std::string Message = Body.is_object() ? Body.value("message", "") : "";
  return makeError(Res.m_status >= 500 ? ErrorKind::Unavailable
                                       : ErrorKind::PermissionDenied,
                   Message.empty()
                       ? fmt::format("the daemon answered status {}; check "
                                     "--daemon",
                                     Res.m_status)
                       : Message);
}

Exit Runner::show(const std::string &Path,
                  void (Runner::*Print)(const Json &)) {
  auto Body = fetch(Path);
  if (!Body)
    return fail(Body.error());
  if (m_call.m_json)
    m_out << Body.value().dump(2) << "\n";
  else
    (this->*Print)(Body.value());
  return Exit::Ok;
}

Exit Runner::configCheck() {
  auto Merged = loadChecked();
  if (!Merged)
    return fail(Merged.error());
  auto Built = config::buildCatalog(Merged.value(), 0);
  const Catalog &C = Built.value();
  if (m_call.m_json)
    m_out << Json{{"valid", true},
                  {"models", C.m_models.size()},
                  {"adapters", C.m_adapters.size()},
                  {"services", C.m_services.size()}}
                 .dump(2)
          << "\n";
  else
    m_out << fmt::format("valid: {} models, {} adapters, {} services\n",
                         C.m_models.size(), C.m_adapters.size(),
                         C.m_services.size());
  return Exit::Ok;
}

Exit Runner::configShow() {
  if (m_call.m_words.size() == 2)
    return show("/config", &Runner::printExplanation);
  auto Merged = loadChecked();
  if (!Merged)
    return fail(Merged.error());
  auto Values = config::diff("{}", Merged.value().m_document);
  if (m_call.m_json) {
    Json Out = Json::parse(Merged.value().m_document);
    if (m_call.m_origin)
      for (const auto &[Key, From] : Merged.value().m_origins)
        Out["_origin"][Key] = fmt::format("{}:{}", From.m_file, From.m_line);
    m_out << Out.dump(2) << "\n";
    return Exit::Ok;
  }
  for (const ConfigChange &Value : Values.value()) {
    if (Value.m_key.empty())
      continue;
    m_out << Value.m_key << ": " << Value.m_after;
    auto From = Merged.value().m_origins.find(Value.m_key);
    if (m_call.m_origin && From != Merged.value().m_origins.end())
      m_out << fmt::format("  # {}:{}", From->second.m_file,
                           From->second.m_line);
    m_out << "\n";
  }
  return Exit::Ok;
}

void Runner::printChanges(const std::vector<ConfigChange> &Changes) {
  if (m_call.m_json) {
    Json Out = Json::array();
    for (const ConfigChange &C : Changes)
      Out.push_back(
          {{"key", C.m_key}, {"before", C.m_before}, {"after", C.m_after}});
    m_out << Out.dump(2) << "\n";
    return;
  }
  for (const ConfigChange &C : Changes) {
    if (C.m_before.empty())
      m_out << "+ " << C.m_key << ": " << C.m_after << "\n";
    else if (C.m_after.empty())
      m_out << "- " << C.m_key << ": " << C.m_before << "\n";
    else
      m_out << "~ " << C.m_key << ": " << C.m_before << " -> " << C.m_after
            << "\n";
  }
}

Exit Runner::configDiff() {
  auto Merged = loadChecked();
  if (!Merged)
    return fail(Merged.error());
  auto InForce = fetch("/config");
  if (!InForce)
    return fail(InForce.error());
  auto Changes = config::diff(InForce.value().value("document", Json()).dump(),
                              Merged.value().m_document);
  if (!Changes)
    return fail(Changes.error());
  printChanges(Changes.value());
  return Changes.value().empty() ? Exit::Ok : Exit::Differs;
}

Exit Runner::configApply() {
  auto Merged = loadChecked();
  if (!Merged)
    return fail(Merged.error());
  std::uint64_t Expected = 0;
  if (m_call.m_expected) {
    Expected = *m_call.m_expected;
  } else {
    auto InForce = fetch("/config");
    if (!InForce)
      return fail(InForce.error());
    Expected = InForce.value().value("accepted", 0ULL);
    if (InForce.value().value("document", Json()).dump() ==
        Merged.value().m_document) {
      m_out << fmt::format("unchanged: revision {} is in force\n", Expected);
      return Exit::Ok;
    }
  }
  Json Body = {{"expected", Expected},
               {"document", Json::parse(Merged.value().m_document)}};
  auto Res = call(m_call.m_client, "POST", "/config", Body.dump());
  if (!Res)
    return fail(Res.error());
  if (Res.value().m_status != 200)
    return refuse(Res.value());
  std::uint64_t Revision =
      Json::parse(Res.value().m_body, nullptr, false).value("revision", 0ULL);
  return waitInForce(Revision);
}

Exit Runner::waitInForce(std::uint64_t Revision) {
  auto End = std::chrono::steady_clock::now() + ForceWait;
  std::string Missing;
  while (std::chrono::steady_clock::now() < End) {
    auto Status = fetch("/status");
    if (!Status)
      return fail(Status.error());
    Missing.clear();
    for (const Json &Member : Status.value().value("members", Json::array()))
      if (Member.value("state", "alive") == "alive" &&
          Member.value("revision", 0ULL) < Revision)
        Missing += " " + Member.value("name", "?");
    if (Missing.empty() && Status.value().value("revision", 0ULL) >= Revision) {
      if (m_call.m_json)
        m_out << Json{{"revision", Revision}}.dump() << "\n";
      else
        m_out << fmt::format("revision {} is accepted and in force\n",
                             Revision);
      return Exit::Ok;
    }
    std::this_thread::sleep_for(ForcePoll);
  }
  return fail(Exit::NotInForce,
              fmt::format("revision {} is accepted but not yet in force at:{}; "
                          "check these daemons with `primrosectl status`",
                          Revision, Missing));
}

Exit Runner::configHistory() {
  return show("/config/history", &Runner::printHistory);
}

void Runner::printHistory(const Json &Body) {
  for (const Json &Row : Body)
    m_out << fmt::format("{}  {}  {}\n", Row.value("revision", 0ULL),
                         Row.value("hash", ""), Row.value("daemon", ""));
}

Exit Runner::status() { return show("/status", &Runner::printStatus); }

void Runner::printStatus(const Json &Body) {
  m_out << fmt::format("{} ({}, {})  revision {}{}\n", Body.value("name", ""),
                       Body.value("region", ""),
                       Body.value("failure_domain", ""),
                       Body.value("revision", 0ULL),
                       Body.value("draining", false) ? "  draining" : "");
  for (const auto &[Key, Value] : Body.items())
    if (!Value.is_structured() && Key != "name" && Key != "region" &&
        Key != "failure_domain" && Key != "revision" && Key != "draining")
      m_out << fmt::format("  {}: {}\n", Key, Value.dump());
  for (const Json &Why : Body.value("degraded", Json::array()))
    m_out << "  degraded: " << Why.get<std::string>() << "\n";
  m_out << fmt::format("{:<16} {:<12} {:<14} {:<8} {:>8}  {}\n", "member",
                       "region", "domain", "state", "revision", "owns");
  for (const Json &M : Body.value("members", Json::array()))
    m_out << fmt::format("{:<16} {:<12} {:<14} {:<8} {:>8}  {}\n",
                         M.value("name", ""), M.value("region", ""),
                         M.value("failure_domain", ""), M.value("state", ""),
                         M.value("revision", 0ULL),
                         M.value("owns", Json::array()).dump());
}

Exit Runner::endpoints() { return show("/endpoints", &Runner::printEndpoints); }

void Runner::printEndpoints(const Json &Body) {
  m_out << fmt::format("{:<14} {:<12} {:<8} {:>7} {:>6}  {:<12} {}\n",
                       "endpoint", "region", "state", "running", "queued",
                       "owner", "resident");
  for (const Json &E : Body)
    m_out << fmt::format("{:<14} {:<12} {:<8} {:>7} {:>6}  {:<12} {}\n",
                         E.value("endpoint", ""), E.value("region", ""),
                         E.value("state", ""), E.value("running", 0),
                         E.value("queued", 0), E.value("owner", ""),
                         E.value("resident", Json::array()).dump());
}

Exit Runner::models() { return show("/models", &Runner::printModels); }

void Runner::printModels(const Json &Body) {
  for (const Json &M : Body)
    m_out << fmt::format("{:<24} {:<6} {}\n", M.value("model", ""),
                         M.value("version", ""),
                         M.value("homes", Json::array()).dump());
}

void Runner::printExplanation(const Json &Body) {
  m_out << Body.dump(2) << "\n";
}

Exit Runner::explain() {
  if (m_call.m_logs.empty())
    return show("/explain/" + argument(), &Runner::printExplanation);
  const Result<RequestLife> Life = readRequestLife(m_call.m_logs, argument());
  if (!Life)
    return fail(Life.error());
  m_out << describe(Life.value());
  return Exit::Ok;
}

Exit Runner::drain() {
  auto Res = call(m_call.m_client, "POST", "/drain", "");
  if (!Res)
    return fail(Res.error());
  if (Res.value().m_status != 202)
    return refuse(Res.value());
  m_out << "draining\n";
  return Exit::Ok;
}

Exit Runner::clearSuspect() {
  auto Res = call(m_call.m_client, "POST", "/suspects/clear/" + argument(), "");
  if (!Res)
    return fail(Res.error());
  if (Res.value().m_status != 200)
    return refuse(Res.value());
  m_out << "cleared\n";
  return Exit::Ok;
}

} // namespace

Exit run(const Invocation &Call, std::ostream &Out, std::ostream &Err) {
  return Runner(Call, Out, Err).run();
}

std::string commandHelp() {
  return R"(Commands:
  config check DIR       check a folder of configuration
  config show DIR        the merged folder; --origin adds file and line of each value
  config show            the configuration in force
  config diff DIR        what applying the folder would change (exit 1 if anything)
  config apply DIR       make it the next revision and wait until it is in force everywhere
  config history         accepted revisions
  status                 this daemon and its view of the members
  endpoints              engines with load, owner and resident artifacts
  models                 models with the endpoints that hold them
  explain REQUEST-ID     routing decisions of a request with candidates and scores
  explain --logs FILE... REQUEST-ID
                         the life of a request, from the saved logs of several gateways
  suspects clear HASH    serve a request again that ended endpoints
  drain                  stop this daemon gracefully
Exit codes: 0 ok, 1 differs, 2 usage, 3 invalid, 4 conflict, 5 unreachable, 6 refused, 7 not in force
)";
}

} // namespace primroseworks::ctl
