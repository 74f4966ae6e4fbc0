// primrosectl: the operators' command-line tool.
#include "primrosectl/commands.h"

#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>

namespace po = boost::program_options;
using namespace primroseworks::ctl;

namespace {

std::string environment(const char *Name, const char *Default) {
  const char *Value = std::getenv(Name);
  return Value != nullptr ? Value : Default;
}

} // namespace

int main(int Argc, char **Argv) {
  Invocation Call;
  std::string Output;
  po::options_description Options("primrosectl [OPTIONS] COMMAND");
  Options.add_options()("help,h", "show this")("version", "show the version")(
      "daemon",
      po::value(&Call.m_client.m_url)
          ->default_value(
              environment("PRIMROSE_DAEMON", "http://127.0.0.1:8081")),
      "operator port of a daemon (PRIMROSE_DAEMON)")(
      "ca", po::value(&Call.m_client.m_caFile),
      "PEM file that signed the daemon's certificate")(
      "output", po::value(&Output)->default_value("text"), "text or json")(
      "origin", "with config show: file and line of each value")(
      "expect", po::value<std::uint64_t>(),
      "with config apply: the revision to replace (default: the accepted one)")(
      "logs", po::value(&Call.m_logs)->multitoken(),
      "with explain: saved logs of gateways");
  po::options_description Hidden;
  Hidden.add_options()("word", po::value(&Call.m_words));
  po::positional_options_description Words;
  Words.add("word", -1);
  po::variables_map Given;
  try {
    po::options_description All;
    All.add(Options).add(Hidden);
    po::store(po::command_line_parser(Argc, Argv)
                  .options(All)
                  .positional(Words)
                  .run(),
              Given);
    po::notify(Given);
  } catch (const po::error &E) {
    std::cerr << "primrosectl: " << E.what() << "; see --help\n";
    return static_cast<int>(Exit::Usage);
  }
  if (Given.count("help") != 0) {
    std::cout
        << Options
        << "  PRIMROSE_OPERATOR_TOKEN       bearer token (environment)\n\n"
        << commandHelp();
    return 0;
  }
  if (Given.count("version") != 0) {
    std::cout << "primrosectl " << PRIMROSE_VERSION << "\n";
    return 0;
  }
  if ((Output != "text" && Output != "json") || Call.m_words.empty()) {
    std::cerr << "primrosectl: expected a command and --output text or json; "
                 "see --help\n";
    return static_cast<int>(Exit::Usage);
  }
  // "explain --logs FILE... REQUEST-ID": the id follows the last file.
  if (Call.m_words.size() == 1 && Call.m_logs.size() > 1) {
    Call.m_words.push_back(Call.m_logs.back());
    Call.m_logs.pop_back();
  }
  // The token comes from the environment: arguments show in process lists.
  Call.m_client.m_token = environment("PRIMROSE_OPERATOR_TOKEN", "");
  Call.m_json = Output == "json";
  Call.m_origin = Given.count("origin") != 0;
  if (Given.count("expect") != 0)
    Call.m_expected = Given["expect"].as<std::uint64_t>();
  return static_cast<int>(run(Call, std::cout, std::cerr));
}
