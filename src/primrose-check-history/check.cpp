// Reads histories, checks them and prints the report.
#include "primrose-check-history/check.h"
#include "primroseworks/history.h"

#include <boost/program_options.hpp>

#include <fstream>
#include <iterator>
#include <ostream>

namespace primroseworks {
namespace {

namespace po = boost::program_options;

constexpr int ExitBroken = 1;
constexpr int ExitUsage = 2;

Result<std::vector<HistoryEvent>> readFile(const std::string &Path) {
  std::ifstream In(Path);
  if (!In)
    return makeError(ErrorKind::NotFound,
                     "file '" + Path + "' cannot be read; check its name");
  Result<std::vector<HistoryEvent>> Events = readHistory(In);
  if (!Events)
    return makeError(Events.error().m_kind,
                     "file '" + Path + "', " + Events.error().m_message);
  return Events;
}

int checkFiles(const std::vector<std::string> &Paths, std::ostream &Out,
               std::ostream &Errors) {
  std::vector<HistoryEvent> All;
  for (const std::string &Path : Paths) {
    Result<std::vector<HistoryEvent>> Events = readFile(Path);
    if (!Events) {
      Errors << Events.error().m_message << "\n";
      return ExitUsage;
    }
    std::move(Events.value().begin(), Events.value().end(),
              std::back_inserter(All));
  }
  const HistoryReport Report = checkHistory(std::move(All));
  printReport(Report, Out);
  return Report.m_violations.empty() ? 0 : ExitBroken;
}

} // namespace

int runCheckHistory(const std::vector<std::string> &Arguments,
                    std::ostream &Out, std::ostream &Errors) {
  po::options_description Visible(
      "primrose-check-history FILE ...: checks histories of a run");
  Visible.add_options()("help", "print this text")("version",
                                                   "print the version");
  po::options_description All;
  All.add(Visible).add_options()("file", po::value<std::vector<std::string>>());
  po::positional_options_description Files;
  Files.add("file", -1);
  po::variables_map Values;
  try {
    po::store(
        po::command_line_parser(Arguments).options(All).positional(Files).run(),
        Values);
  } catch (const po::error &E) {
    Errors << E.what() << "; see --help\n";
    return ExitUsage;
  }
  if (Values.count("help") != 0) {
    Out << Visible;
    return 0;
  }
  if (Values.count("version") != 0) {
    Out << "primrose-check-history " << PRIMROSE_VERSION << "\n";
    return 0;
  }
  if (Values.count("file") == 0) {
    Errors << "no history file was given; see --help\n";
    return ExitUsage;
  }
  return checkFiles(Values["file"].as<std::vector<std::string>>(), Out, Errors);
}

} // namespace primroseworks
