// Command line of the fault soak.
#include "soak.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <unistd.h>

namespace {

namespace options = boost::program_options;

} // namespace

int main(int Argc, char **Argv) {
  std::signal(SIGPIPE, SIG_IGN);
  options::options_description Known(
      "primrose-soak: real gateways under faults drawn from a seed");
  primroseworks::soak::SoakOptions Soak;
  std::string Folder;
  unsigned Runs = 1;
  long Seconds = 12;
  Known.add_options()("help", "print this text")(
      "gateway",
      options::value(&Soak.m_program)
          ->default_value(PRIMROSE_BINARY_DIR "/primrose-gateway"),
      "path of primrose-gateway")(
      "seed", options::value(&Soak.m_seed)->default_value(1),
      "first seed")("runs", options::value(&Runs)->default_value(1),
                    "runs, with one seed after the other")(
      "seconds", options::value(&Seconds)->default_value(12),
      "time of faults, in s")(
      "gateways", options::value(&Soak.m_gateways)->default_value(4),
      "gateway processes")(
      "callers", options::value(&Soak.m_callers)->default_value(16),
      "callers at once")("keep", options::value(&Folder),
                         "folder for logs, also of runs without a finding");
  options::variables_map Words;
  try {
    options::store(options::parse_command_line(Argc, Argv, Known), Words);
    options::notify(Words);
  } catch (const options::error &E) {
    std::cerr << E.what() << "; see --help\n";
    return 2;
  }
  if (Words.count("help")) {
    std::cout << Known;
    return 0;
  }
  if (Soak.m_gateways < 1 || Soak.m_gateways > 100) {
    std::cerr << "--gateways must be from 1 to 100\n";
    return 2;
  }
  Soak.m_faultTime = std::chrono::seconds(Seconds);
  Soak.m_subnet = static_cast<unsigned>(getpid());
  const std::string Base =
      Folder.empty() ? "/tmp/primrose-soak-" + std::to_string(getpid())
                     : Folder;
  unsigned Broken = 0;
  for (unsigned I = 0; I < Runs; ++I, ++Soak.m_seed) {
    Soak.m_folder = Base + "/seed-" + std::to_string(Soak.m_seed);
    if (primroseworks::soak::Soak(Soak).run()) {
      if (Folder.empty())
        std::filesystem::remove_all(Soak.m_folder);
      continue;
    }
    ++Broken;
    std::cout << "  logs: " << Soak.m_folder << std::endl;
  }
  if (Broken == 0 && Folder.empty())
    std::filesystem::remove_all(Base);
  std::cout << Runs << " runs, " << Broken << " with a broken promise\n";
  return Broken == 0 ? 0 : 1;
}
