// primrose-gateway: the process on each VM that forwards callers' requests to
// endpoints of the users' platform.
#include "libgateway/gateway.h"
#include "platform/platformdialect.h"
#include "platform/platformstore.h"

#include <asio/io_context.hpp>
#include <boost/program_options.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace primroseworks;
namespace options = boost::program_options;

/// Exit codes: 0 after a normal shutdown, 1 for a failure, 2 for an invalid
/// command line or invalid settings.
constexpr int ExitFailure = 1;
constexpr int ExitUsage = 2;

int printSettings(const std::string &Path, const gateway::Settings &Effective) {
  std::ifstream In(Path);
  std::ostringstream Text;
  Text << In.rdbuf();
  for (const gateway::SettingRow &Row :
       gateway::describeSettings(Text.str(), Effective))
    std::cout << Row.m_key << " = " << Row.m_value
              << (Row.m_unit.empty() ? "" : " " + Row.m_unit)
              << (Row.m_isDefault ? " (default)" : "") << "\n";
  return 0;
}

int runGateway(gateway::Settings Settings, const std::string &Path) {
  asio::io_context Io(1);
  const platform::PlatformDialect Dialect;
  gateway::ConnectionPool StorePool(Io);
  const std::unique_ptr<gateway::MetadataStore> Store =
      platform::createPlatformStore(Io, StorePool, Settings.m_store);
  Result<CrashSuspects> Suspects =
      CrashSuspects::create(gateway::gatewaySuspectOptions());
  if (!Suspects) {
    std::cerr << Suspects.error().m_message << "\n";
    return ExitFailure;
  }
  gateway::Gateway Process(Io, std::move(Settings), Dialect, *Store, StorePool,
                           std::move(Suspects.value()), Path);
  const Result<void> Started = Process.start();
  if (!Started) {
    std::cerr << Started.error().m_message << "\n";
    return ExitFailure;
  }
  Process.run();
  // Suspended coroutines still hold references into Process, so the process
  // exits without running destructors.
  std::cout.flush();
  _exit(0);
}

} // namespace

int main(int Argc, char **Argv) {
  std::signal(SIGPIPE, SIG_IGN);
  // Until the gateway handles them, nothing is in progress, and changed
  // settings are read in any case.
  std::signal(SIGTERM, [](int) { _exit(0); });
  std::signal(SIGHUP, SIG_IGN);
  options::options_description Options("primrose-gateway --settings FILE");
  Options.add_options()("help", "print this help and exit")(
      "settings", options::value<std::string>(), "settings file (YAML)")(
      "check", "validate the settings, print the effective values and exit")(
      "version", "print the version and exit");
  options::variables_map Arguments;
  try {
    options::store(options::parse_command_line(Argc, Argv, Options), Arguments);
  } catch (const options::error &E) {
    std::cerr << E.what() << "; see --help\n";
    return ExitUsage;
  }
  if (Arguments.count("help")) {
    std::cout << Options;
    return 0;
  }
  if (Arguments.count("version")) {
    std::cout << "primrose-gateway " << PRIMROSE_VERSION << "\n";
    return 0;
  }
  if (!Arguments.count("settings")) {
    std::cerr
        << "missing option --settings; pass the path of the settings file\n";
    return ExitUsage;
  }
  const std::string Path = Arguments["settings"].as<std::string>();
  Result<gateway::Settings> Settings = gateway::loadSettings(Path);
  if (!Settings) {
    std::cerr << Settings.error().m_message << "\n";
    return ExitUsage;
  }
  if (Arguments.count("check"))
    return printSettings(Path, Settings.value());
  return runGateway(std::move(Settings.value()), Path);
}
