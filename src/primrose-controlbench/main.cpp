// primrose-controlbench: what the control plane costs at a given size. All
// figures are printed; fleet_test bounds the counted ones.
#include "primrose-controlbench/fleet.h"
#include "primrose-controlbench/journalmemory.h"
#include "primrose-controlbench/links.h"
#include "primrose-controlbench/messages.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <cmath>
#include <fstream>
#include <iostream>
#include <spdlog/fmt/fmt.h>
#include <sstream>
#include <unistd.h>

using namespace primroseworks;
using namespace primroseworks::controlbench;
namespace po = boost::program_options;

namespace {

constexpr double EnginesPerMember = 9.25;
constexpr unsigned EnginesToday = 9;
/// 12,000 changes a day.
constexpr double SecondsPerChange = 86'400.0 / 12'000;
constexpr Seconds WarmUp{60};
constexpr Seconds EventLimit{120};

double residentMegabytes() {
  std::ifstream In("/proc/self/statm");
  std::uint64_t Size = 0;
  std::uint64_t Resident = 0;
  In >> Size >> Resident;
  return static_cast<double>(Resident) *
         static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

FleetOptions optionsOf(unsigned Members, std::uint64_t Seed) {
  FleetOptions Out;
  Out.m_members = Members;
  const bool Today = Members <= FullMeshMembers;
  Out.m_endpoints =
      Today ? EnginesToday
            : static_cast<unsigned>(std::lround(EnginesPerMember * Members));
  Out.m_models = Today ? 18 : 850;
  Out.m_documentBytes = Today ? 12'000 : 130'000;
  Out.m_seed = Seed;
  return Out;
}

struct Times {
  std::vector<double> m_seconds;
  void add(Duration Length) { m_seconds.push_back(toSeconds(Length)); }
  double quantile(double Part) {
    if (m_seconds.empty())
      return 0;
    std::sort(m_seconds.begin(), m_seconds.end());
    return m_seconds[static_cast<std::size_t>(
        std::lround(Part * static_cast<double>(m_seconds.size() - 1)))];
  }
};

void printFleet(const FleetCounters &Sum, unsigned Members, double Megabytes,
                Times &Changes) {
  const double Length = toSeconds(Sum.m_length);
  const double Each = Length * Members;
  auto Rate = [&](double Value) { return Value / Each; };
  const auto Messages = static_cast<double>(Sum.m_peers.m_messagesSent);
  const auto Payload = static_cast<double>(Sum.m_peers.m_bytesSent +
                                           Sum.m_peers.m_bytesReceived);
  const double Headers = 2 * Messages * (MessageHeaderBytes + AckBytes);
  std::cout << fmt::format(
      "  per daemon: cpu {:.3f} % of a core (logic and codec), {:.1f} MB, "
      "{:.1f} messages/s sent\n",
      100 * Rate(Sum.m_cpuSeconds), Megabytes / Members, Rate(Messages));
  std::cout << fmt::format(
      "  per daemon: peers {:.2f} KB/s sent + {:.2f} KB/s received, with "
      "TCP/IP headers {:.2f} KB/s in all; store {:.2f} KB/s\n",
      Rate(static_cast<double>(Sum.m_peers.m_bytesSent)) / 1e3,
      Rate(static_cast<double>(Sum.m_peers.m_bytesReceived)) / 1e3,
      Rate(Payload + Headers) / 1e3,
      Rate(static_cast<double>(Sum.m_storeBytes)) / 1e3);
  std::cout << fmt::format(
      "  fleet: store {:.1f} reads/s, {:.1f} writes/s, {:.1f} watches/s; "
      "member events {}\n  by kind, per daemon and second:",
      static_cast<double>(Sum.m_store.m_reads) / Length,
      static_cast<double>(Sum.m_store.m_writes) / Length,
      static_cast<double>(Sum.m_store.m_watches) / Length, Sum.m_memberEvents);
  for (const auto &Row : MessageTypeNames) {
    const auto Count = static_cast<double>(
        Sum.m_peers.m_sentByType[static_cast<std::size_t>(Row.m_value)]);
    if (Count != 0)
      std::cout << fmt::format(" {} {:.3f}", Row.m_name, Rate(Count));
  }
  std::cout << fmt::format(
      "\n  configuration in force everywhere: median {:.2f} s, 95 in 100 "
      "{:.2f} s, longest {:.2f} s ({} changes)\n",
      Changes.quantile(0.5), Changes.quantile(0.95), Changes.quantile(1),
      Changes.m_seconds.size());
}

void runWindow(Fleet &Target, Seconds Length, Times &Changes) {
  Duration Used{};
  while (Used < Length) {
    const Duration Change = Target.changeConfig(Seconds(30));
    Changes.add(Change);
    const Duration Rest =
        std::max(Duration(0), fromSeconds(SecondsPerChange) - Change);
    Target.run(Rest);
    const Duration Before = Used;
    Used += Change + Rest;
    if (Before < Length / 2 && Used >= Length / 2)
      Target.restart(Target.size() / 2);
  }
}

void fleetMode(const std::vector<unsigned> &Sizes, Seconds Length,
               std::uint64_t Seed) {
  for (const unsigned Members : Sizes) {
    const double Before = residentMegabytes();
    Fleet Target(optionsOf(Members, Seed));
    Target.run(WarmUp);
    Times Changes;
    Target.changeConfig(Seconds(30));
    Target.resetCounters();
    runWindow(Target, Length, Changes);
    const FleetCounters Sum = Target.counters();
    std::cout << fmt::format(
        "members {}, endpoints {}: {} complete views, at most {} links\n",
        Members, optionsOf(Members, Seed).m_endpoints, Target.completeViews(),
        Target.mostLinks());
    printFleet(Sum, Members, residentMegabytes() - Before, Changes);
    const unsigned Lost = std::clamp(Members / 10, 1U, 20U);
    const auto Gone = Target.loseMembers(Lost, EventLimit);
    std::cout << fmt::format("  {} lost at once, known gone in their region "
                             "after {:.1f} s, everywhere after {:.1f} s\n",
                             Lost, toSeconds(Gone.first),
                             toSeconds(Gone.second));
    std::cout.flush();
  }
}

void configMode(const std::vector<unsigned> &Sizes, Seconds Length,
                std::uint64_t Seed) {
  constexpr std::array<std::pair<ConfigMode, const char *>, 3> Modes = {
      {{ConfigMode::PollAndGossip, "poll and gossip"},
       {ConfigMode::WatchAlone, "watch alone"},
       {ConfigMode::PollAlone, "poll alone"}}};
  for (const unsigned Members : Sizes)
    for (const auto &[Mode, Name] : Modes) {
      FleetOptions Options = optionsOf(Members, Seed);
      Options.m_config = Mode;
      Fleet Target(Options);
      Target.run(WarmUp);
      Target.changeConfig(Seconds(30));
      Target.resetCounters();
      Times Changes;
      runWindow(Target, Length, Changes);
      const FleetCounters Sum = Target.counters();
      const double Seconds = toSeconds(Sum.m_length);
      std::cout << fmt::format(
          "members {}, {}: in force everywhere median {:.2f} s, longest {:.2f} "
          "s; store {:.1f} reads/s, {:.1f} watches/s; documents from the store "
          "{:.2f}/s; store bytes {:.2f} KB/s a daemon\n",
          Members, Name, Changes.quantile(0.5), Changes.quantile(1),
          static_cast<double>(Sum.m_store.m_reads) / Seconds,
          static_cast<double>(Sum.m_store.m_watches) / Seconds,
          static_cast<double>(Sum.m_config.m_storeFetches) / Seconds,
          static_cast<double>(Sum.m_storeBytes) / Seconds / Members / 1e3);
      std::cout.flush();
    }
}

std::vector<unsigned> parseSizes(const std::string &Text) {
  std::vector<unsigned> Out;
  std::istringstream In(Text);
  for (std::string Part; std::getline(In, Part, ',');)
    Out.push_back(
        static_cast<unsigned>(std::clamp(std::stoul(Part), 1UL, 1000UL)));
  return Out;
}

} // namespace

int main(int Argc, char **Argv) {
  po::options_description Description("primrose-controlbench");
  Description.add_options()("help", "print this text")(
      "mode", po::value<std::string>()->default_value("fleet"),
      "fleet: in-process members; config: ways of distributing the "
      "configuration; links: websocket links over loopback; messages: size "
      "and codec cost of each kind; journal: memory of a key")(
      "sizes",
      po::value<std::string>()->default_value("3,6,9,25,50,100,200,400"),
      "members, separated by commas")(
      "seconds", po::value<unsigned>()->default_value(120),
      "measured time a size; simulated except in mode links")(
      "seed", po::value<std::uint64_t>()->default_value(1), "seed");
  try {
    po::variables_map Arguments;
    po::store(po::parse_command_line(Argc, Argv, Description), Arguments);
    po::notify(Arguments);
    if (Arguments.count("help") != 0) {
      std::cout << Description;
      return 0;
    }
    const auto Sizes = parseSizes(Arguments["sizes"].as<std::string>());
    const Seconds Length(Arguments["seconds"].as<unsigned>());
    const auto Seed = Arguments["seed"].as<std::uint64_t>();
    const auto Mode = Arguments["mode"].as<std::string>();
    if (Mode == "fleet")
      fleetMode(Sizes, Length, Seed);
    else if (Mode == "config")
      configMode(Sizes, Length, Seed);
    else if (Mode == "links")
      measureLinks(Sizes, Length);
    else if (Mode == "messages")
      measureMessages();
    else if (Mode == "journal") {
      if (!measureJournalMemory())
        throw std::runtime_error("the journal could not be measured");
    } else
      throw po::error(
          "unknown mode; use fleet, config, links, messages or journal");
  } catch (const std::exception &Failure) {
    std::cerr << Failure.what() << "; see --help\n";
    return 1;
  }
  return 0;
}
