// Members with real links in one process.
#include "primrose-controlbench/links.h"
#include "primrose-controlbench/messages.h"
#include "primroseworks/peer.h"

#include <atomic>
#include <fstream>
#include <iostream>
#include <spdlog/fmt/fmt.h>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>

namespace primroseworks::controlbench {
namespace {

using Clock = std::chrono::steady_clock;
using Networks = std::vector<std::unique_ptr<WebsocketPeerNetwork>>;

constexpr Seconds LinkLimit{20};
constexpr Milliseconds Tick{10};

double processCpu() {
  rusage Used{};
  getrusage(RUSAGE_SELF, &Used);
  auto Seconds = [](const timeval &Value) {
    return static_cast<double>(Value.tv_sec) +
           static_cast<double>(Value.tv_usec) * 1e-6;
  };
  return Seconds(Used.ru_utime) + Seconds(Used.ru_stime);
}

double residentMegabytes() {
  std::ifstream In("/proc/self/statm");
  double Size = 0;
  double Resident = 0;
  In >> Size >> Resident;
  return Resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

std::string nameOf(unsigned Index) { return fmt::format("m{:03}", Index); }

Networks connectAll(unsigned Members, std::atomic<std::uint64_t> &Received) {
  Networks Out;
  for (unsigned I = 0; I < Members; ++I) {
    PeerNetworkOptions Options;
    Options.m_name = nameOf(I);
    Options.m_incarnation = I + 1;
    Options.m_clusterKey = "key of the control bench";
    Options.m_seed = I + 1;
    auto Created = createPeerNetwork(Options);
    Created.value()->setHandler(
        MessageType::Gossip, [&Received](const std::string &, const Message &,
                                         const PeerReply &) { ++Received; });
    if (!Created.value()->start())
      return {};
    Out.push_back(std::move(Created.value()));
  }
  std::vector<PeerAddress> All;
  for (unsigned I = 0; I < Members; ++I)
    All.push_back({nameOf(I), "127.0.0.1", Out[I]->boundPort(), true});
  for (auto &Member : Out)
    Member->setPeers(All);
  return Out;
}

bool waitForLinks(const Networks &Members) {
  const TimePoint Deadline = Clock::now() + LinkLimit;
  for (const auto &Member : Members)
    while (Member->links().size() + 1 < Members.size()) {
      if (Clock::now() >= Deadline)
        return false;
      std::this_thread::sleep_for(Tick);
    }
  return true;
}

/// Sends PerSecond messages on each link of each member for Length; returns
/// the CPU used.
double sendAt(const Networks &Members, double PerSecond, Seconds Length) {
  const double Before = processCpu();
  const TimePoint Start = Clock::now();
  std::uint64_t Rounds = 0;
  while (Clock::now() - Start < Length) {
    const auto Due =
        static_cast<std::uint64_t>(toSeconds(Clock::now() - Start) * PerSecond);
    for (; Rounds < Due; ++Rounds) {
      const GossipMessage Value = sampleGossip(Rounds);
      for (unsigned From = 0; From < Members.size(); ++From)
        for (unsigned To = 0; To < Members.size(); ++To)
          if (From != To)
            (void)Members[From]->send(nameOf(To), Value);
    }
    std::this_thread::sleep_for(Tick);
  }
  return processCpu() - Before;
}

} // namespace

void measureLinks(const std::vector<unsigned> &Sizes, Seconds Length) {
  for (const unsigned Size : Sizes) {
    std::atomic<std::uint64_t> Received{0};
    const double Memory = residentMegabytes();
    const Networks Members = connectAll(Size, Received);
    if (Members.empty() || !waitForLinks(Members)) {
      std::cout << fmt::format("members {}: links did not come up\n", Size);
      continue;
    }
    const double Links = Size * (Size - 1) / 2.0;
    const double Idle = sendAt(Members, 0, Length);
    // At most 20,000 messages/s, to leave the machine to others.
    const double Rate = std::min(200.0, 20'000 / (2 * Links));
    Received = 0;
    const double Busy = sendAt(Members, Rate, Length);
    const auto Messages = static_cast<double>(Received.load());
    const auto Bytes =
        static_cast<double>(encodeMessage({sampleGossip(1)}).value().size());
    std::cout << fmt::format(
        "members {}, links {:.0f}: idle {:.4f} % of a core a link end; {:.1f} "
        "us of CPU a message of {:.0f} bytes, both sides; {:.2f} MB a member\n",
        Size, Links, 100 * Idle / toSeconds(Length) / (2 * Links),
        1e6 * (Busy - Idle) / std::max(1.0, Messages), Bytes,
        (residentMegabytes() - Memory) / Size);
    std::cout.flush();
  }
}

} // namespace primroseworks::controlbench
