// Fakes of the platform and of the endpoints in one process, on loopback.
#include "primrose-standins/standins.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>

namespace {

namespace po = boost::program_options;
using namespace primroseworks;

int run(const po::variables_map &Args) {
  const auto Read = standins::readSettings(Args["settings"].as<std::string>());
  if (!Read) {
    std::cerr << "primrose-standins: " << Read.error().m_message << '\n';
    return 2;
  }
  // Blocked before any thread starts, so that sigwait() receives them.
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  const auto All =
      standins::createStandins(Read.value(), Args["port"].as<std::uint16_t>());
  if (!All) {
    std::cerr << "primrose-standins: " << All.error().m_message << '\n';
    return 1;
  }
  std::cout << All.value()->topology() << std::endl;
  int Received = 0;
  sigwait(&Signals, &Received);
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  po::options_description Options("primrose-standins");
  Options.add_options()("help", "show the options")(
      "settings", po::value<std::string>()->required(), "settings file (YAML)")(
      "port", po::value<std::uint16_t>()->default_value(0),
      "control port; 0 takes any free one");
  try {
    std::signal(SIGPIPE, SIG_IGN);
    po::variables_map Args;
    po::store(po::parse_command_line(Argc, Argv, Options), Args);
    if (Args.count("help") != 0) {
      std::cout << Options << '\n';
      return 0;
    }
    po::notify(Args);
    return run(Args);
  } catch (const std::exception &Failure) {
    std::cerr << "primrose-standins: " << Failure.what() << "; see --help\n";
    return 2;
  }
}
