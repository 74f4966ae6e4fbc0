// Open-loop load generator for daemons.
#include "primrose-load/run.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>

namespace {

namespace po = boost::program_options;
using namespace primroseworks;

constexpr int ExitWrongAnswer = 1;
constexpr int ExitUsage = 2;

std::atomic<bool> StopRequested{false};
extern "C" void onSignal(int /*Number*/) { StopRequested = true; }

Result<load::Mix> mixFor(const po::variables_map &Args,
                         const std::vector<std::string> &Urls) {
  if (Args.count("mix") != 0)
    return load::readMix(Args["mix"].as<std::string>());
  BOOST_OUTCOME_TRY(Client, pvt::createHttpClient(Urls.front()));
  pvt::HttpCall Call;
  Call.m_path = "/v1/models";
  Call.m_timeout = Milliseconds(5000);
  const pvt::HttpReply Reply = Client->call(Call);
  if (Reply.m_failure || Reply.m_status != 200)
    return makeError(ErrorKind::Unavailable,
                     Urls.front() + " does not list its models (" +
                         Reply.m_detail + "); pass --mix FILE");
  return load::mixFromModels(Reply.m_body);
}

int execute(const po::variables_map &Args) {
  load::RunOptions Options;
  Options.m_urls = Args["url"].as<std::vector<std::string>>();
  auto Wanted = mixFor(Args, Options.m_urls);
  if (!Wanted) {
    std::cerr << "primrose-load: " << Wanted.error().m_message << '\n';
    return ExitUsage;
  }
  Options.m_mix = std::move(Wanted).value();
  if (Args.count("rate") != 0)
    Options.m_mix.m_rate = Args["rate"].as<double>();
  Options.m_mix.m_idPrefix = Args["id-prefix"].as<std::string>();
  if (Args.count("seed") != 0)
    Options.m_mix.m_seed = Args["seed"].as<std::uint64_t>();
  Options.m_maxCalls = Args["count"].as<std::uint64_t>();
  Options.m_maxTime = Seconds(Args["seconds"].as<unsigned>());
  Options.m_callTimeout = Seconds(Args["call-timeout"].as<unsigned>());
  Options.m_maxInFlight = Args["in-flight"].as<unsigned>();
  RankPolicy Targets;
  Targets.m_firstTokenTarget = Milliseconds(Args["first-token"].as<unsigned>());
  Targets.m_tokenGapTarget = Milliseconds(Args["token-gap"].as<unsigned>());
  load::Report Figures(Targets);
  const bool Quiet = Args.count("quiet") != 0;
  const auto Taken = load::run(
      Options, Figures,
      [Quiet](const std::string &Line) {
        if (!Quiet)
          std::cerr << Line << '\n';
      },
      StopRequested);
  if (!Taken) {
    std::cerr << "primrose-load: " << Taken.error().m_message << '\n';
    return ExitUsage;
  }
  if (Args["output"].as<std::string>() == "json")
    std::cout << Figures.json(Taken.value()).dump(2) << '\n';
  else
    std::cout << Figures.table(Taken.value());
  return Figures.sound() ? 0 : ExitWrongAnswer;
}

} // namespace

int main(int Argc, char **Argv) {
  po::options_description Options("primrose-load --url URL [--url URL ...]");
  Options.add_options()("help", "show the options")("version", "show version")(
      "url", po::value<std::vector<std::string>>()->required(),
      "daemon, http://IP:PORT; repeat for several")(
      "mix", po::value<std::string>(),
      "mix of work (YAML); without it, all models of the first daemon")(
      "rate", po::value<double>(), "arrivals per second; overrides the mix")(
      "seed", po::value<std::uint64_t>(), "overrides the mix")(
      "id-prefix", po::value<std::string>()->default_value("load"),
      "start of request ids and keys; a keyed run needs one of its own")(
      "count", po::value<std::uint64_t>()->default_value(1000), "most calls")(
      "seconds", po::value<unsigned>()->default_value(60),
      "longest time for arrivals")("call-timeout",
                                   po::value<unsigned>()->default_value(120),
                                   "longest time of one call in seconds")(
      "in-flight", po::value<unsigned>()->default_value(500),
      "most calls at once; calls beyond it are counted as shed")(
      "first-token", po::value<unsigned>()->default_value(1500),
      "target in ms")("token-gap", po::value<unsigned>()->default_value(40),
                      "target in ms")(
      "output", po::value<std::string>()->default_value("table"),
      "table or json")("quiet", "no progress lines");
  try {
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGINT, onSignal);
    std::signal(SIGTERM, onSignal);
    po::variables_map Args;
    po::store(po::parse_command_line(Argc, Argv, Options), Args);
    if (Args.count("help") != 0) {
      std::cout << Options
                << "\nExit codes: 0 every answer that ended normally was "
                   "right, 1 a wrong answer, 2 usage\n";
      return 0;
    }
    if (Args.count("version") != 0) {
      std::cout << "primrose-load " << PRIMROSE_VERSION << '\n';
      return 0;
    }
    po::notify(Args);
    return execute(Args);
  } catch (const std::exception &Failure) {
    std::cerr << "primrose-load: " << Failure.what() << "; see --help\n";
    return ExitUsage;
  }
}
