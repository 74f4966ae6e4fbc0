// primrosed: the daemon, one per VM.
#include "primrosed/daemon.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <thread>

namespace po = boost::program_options;
using namespace primroseworks;

namespace {

constexpr int ExitUsage = 2;
constexpr int ExitSettings = 3;
constexpr int ExitStart = 4;

// Decisions are logged under the dispatcher's lock; a slow reader of the log
// must not stop them. The oldest lines are dropped when this many wait.
constexpr std::size_t LogQueueLines = 8192;

void setUpLog(const std::string &Level) {
  spdlog::init_thread_pool(LogQueueLines, 1);
  auto Sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
  auto Logger = std::make_shared<spdlog::async_logger>(
      "primrosed", Sink, spdlog::thread_pool(),
      spdlog::async_overflow_policy::overrun_oldest);
  spdlog::set_default_logger(Logger);
  spdlog::set_pattern("ts=%Y-%m-%dT%H:%M:%S.%e%z level=%l %v");
  spdlog::set_level(spdlog::level::from_str(Level));
  spdlog::flush_every(Seconds(1));
}

/// Blocks SIGTERM and SIGINT in all threads; a thread of its own waits for
/// them.
sigset_t blockStopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  sigaddset(&Signals, SIGUSR1); // Ends the waiting thread.
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return Signals;
}

int serve(const Settings &Values) {
  sigset_t Signals = blockStopSignals();
  setUpLog(Values.m_logLevel);
  auto Made = Daemon::create(Values);
  if (!Made) {
    spdlog::error("event=start_failed error=\"{}\"", Made.error().m_message);
    spdlog::shutdown();
    std::cerr << "primrosed: " << Made.error().m_message << "\n";
    return ExitStart;
  }
  Daemon &D = *Made.value();
  std::thread Waiter([&] {
    int Signal = 0;
    sigwait(&Signals, &Signal);
    D.requestDrain();
  });
  D.run();
  pthread_kill(Waiter.native_handle(), SIGUSR1);
  Waiter.join();
  Made.value().reset();
  spdlog::shutdown();
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  po::options_description Options("primrosed --settings FILE [--check]");
  Options.add_options()("help,h", "show this and the keys of the settings")(
      "version", "show the version")("settings", po::value<std::string>(),
                                     "YAML file of settings")(
      "check", "check the settings, print the effective ones, and exit");
  po::variables_map Given;
  try {
    po::store(po::parse_command_line(Argc, Argv, Options), Given);
    po::notify(Given);
  } catch (const po::error &E) {
    std::cerr << "primrosed: " << E.what() << "; see --help\n";
    return ExitUsage;
  }
  if (Given.count("help") != 0) {
    std::cout << Options << "\nSettings:\n"
              << settings::reference()
              << "\nExit codes: 0 stopped gracefully, 2 usage, 3 settings, 4 "
                 "start failed\n";
    return 0;
  }
  if (Given.count("version") != 0) {
    std::cout << "primrosed " << PRIMROSE_VERSION << "\n";
    return 0;
  }
  if (Given.count("settings") == 0) {
    std::cerr << "primrosed: --settings FILE is missing; see --help\n";
    return ExitUsage;
  }
  auto Values = settings::load(Given["settings"].as<std::string>());
  if (!Values) {
    std::cerr << "primrosed: " << Values.error().m_message << "\n";
    return ExitSettings;
  }
  if (Given.count("check") != 0) {
    std::cout << settings::describe(Values.value());
    return 0;
  }
  return serve(Values.value());
}
