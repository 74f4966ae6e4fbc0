// Members and the events of a run.
#include "primrose-controlbench/fleet_pvt.h"

#include <algorithm>
#include <spdlog/fmt/fmt.h>

namespace primroseworks::controlbench {
namespace {

constexpr Seconds VmListLag{30};

} // namespace

Fleet::Fleet(FleetOptions Options)
    : m_options(Options), m_random(Options.m_seed),
      m_now(TimePoint() + Seconds(1000)) {
  MemoryKvOptions Kv;
  Kv.m_clock = [this] { return m_now; };
  m_memory = std::move(MemoryKvStore::create(Kv).value());
  m_store = FaultyKvStore::create(*m_memory);
  m_fabric = createLocalPeerFabric();
  m_fabric->advance(m_now);
  const unsigned Regions = Options.m_members > FullMeshMembers ? 4 : 3;
  m_engines.resize(Options.m_endpoints);
  for (unsigned I = 0; I < Options.m_endpoints; ++I) {
    m_engines[I].m_summary.m_endpoint = fmt::format("engine-{:04}", I);
    m_engines[I].m_running = static_cast<unsigned>(m_random() % 16);
    for (unsigned Model = 0; Model < ModelsPerEngine; ++Model)
      m_engines[I].m_summary.m_models.push_back(
          fmt::format("model-{:03}", (I + Model * 41) % Options.m_models));
  }
  for (unsigned I = 0; I < Options.m_members; ++I) {
    auto Next = std::make_unique<Node>();
    Next->m_index = I;
    // Neighbours in the list share a region, and a rack in it.
    Next->m_region = fmt::format("region-{}", I * Regions / Options.m_members);
    Next->m_name = fmt::format("entry-{:03}", I);
    m_vms.push_back({Next->m_name, VmKind::Daemon, "",
                     fmt::format("10.0.{}.{}", I / 250, I % 250), 7400,
                     Next->m_region, fmt::format("domain-{}", I * 15 / 400),
                     VmState::Live});
    m_regionOf[Next->m_name] = Next->m_region;
    m_nodes.push_back(std::move(Next));
  }
  for (unsigned I = 0; I < Options.m_members; ++I)
    startNode(I);
  resetCounters();
}

Fleet::~Fleet() {
  for (auto &Member : m_nodes)
    Member->m_network.reset();
}

void Fleet::startNode(unsigned Index) {
  Node &Member = nodeOf(Index);
  Member.m_incarnation = ++m_lastIncarnation;
  Member.m_network =
      m_fabric->createMember(Member.m_name, Member.m_incarnation);
  GossipOptions Gossiping;
  Gossiping.m_member = Member.m_name;
  Gossiping.m_incarnation = Member.m_incarnation;
  Gossiping.m_region = Member.m_region;
  Gossiping.m_failureDomain = m_vms[Index].m_failureDomain;
  Gossiping.m_programVersion = "0.1.0";
  Gossiping.m_seed = m_options.m_seed * 1000 + Member.m_incarnation;
  Member.m_gossip = std::move(createGossip(Gossiping).value());
  MembershipOptions View;
  View.m_self = Member.m_name;
  View.m_region = Member.m_region;
  Member.m_membership = std::move(createMembership(View).value());
  DistributionOptions Config;
  Config.m_seed = Gossiping.m_seed;
  if (m_options.m_config == ConfigMode::WatchAlone)
    Config.m_poll = Milliseconds(86'400'000);
  Member.m_config = std::move(
      createConfigDistribution(Config, *m_store, *Member.m_network).value());
  Node *Target = &Member;
  Member.m_config->setListener([Target](const auto &Next) {
    Target->m_gossip->setConfigRevision(Next->m_revision);
  });
  const bool Hints = m_options.m_config == ConfigMode::PollAndGossip;
  Member.m_network->setHandler(
      MessageType::Gossip,
      [this, Target, Hints](const std::string &From, const Message &Received,
                            const PeerReply &) {
        Target->m_gossip->receive(
            From, std::get<GossipMessage>(Received.m_body), m_fabric->now());
        const auto [Revision, Peer] = Target->m_gossip->configHint();
        if (Hints && Revision > Target->m_config->revision())
          Target->m_config->onHint(Peer, Revision);
      });
  Member.m_network->setLinkHandler(
      [this, Target](const std::string &Peer, bool Up) {
        if (!Up)
          Target->m_gossip->linkDown(Peer);
        else if (Target->m_links.count(Peer) != 0)
          Target->m_gossip->linkUp(Peer, m_fabric->now());
      });
  auto Spread = [this](Seconds Length) {
    std::uniform_real_distribution<double> Part(0, 1);
    return m_now + fromSeconds(toSeconds(Length) * Part(m_random));
  };
  Member.m_members.clear();
  Member.m_links.clear();
  Member.m_lease = 0;
  Member.m_nextRenewal = m_now;
  Member.m_nextVmList = m_now;
  Member.m_nextLeaseRead = m_now;
  Member.m_nextView = Spread(ViewInterval);
  Member.m_nextWatch = Spread(WatchWait);
  Member.m_running = true;
  (void)Member.m_network->start();
}

// --- Events --------------------------------------------------------------

/// Changes one line of the document.
std::string Fleet::editDocument() {
  constexpr std::size_t LineBytes = 40;
  if (m_document.empty())
    for (unsigned Line = 0; m_document.size() < m_options.m_documentBytes;
         ++Line)
      m_document += fmt::format("- model-{:05}: {:>24}\n", Line, 0);
  const std::size_t Lines = m_document.size() / LineBytes;
  const std::string Value = fmt::format("{:>24}", m_revision + 1);
  m_document.replace((m_random() % Lines) * LineBytes + 15, Value.size(),
                     Value);
  return m_document;
}

bool Fleet::everywhere(std::uint64_t Revision) const {
  return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const auto &Member) {
    return !Member->m_running || Member->m_config->revision() >= Revision;
  });
}

Duration Fleet::changeConfig(Duration Limit) {
  Node *By = nullptr;
  do {
    By = m_nodes[m_random() % m_nodes.size()].get();
  } while (!By->m_running);
  const double Before = threadCpu();
  const std::string Next = editDocument();
  m_harnessCpu += threadCpu() - Before;
  m_storeBytes += 10 * StoreCallBytes + m_options.m_documentBytes;
  const auto Outcome = By->m_config->submit(Next, "operator", m_revision, 1);
  if (!Outcome || !Outcome.value().m_accepted)
    return Limit;
  m_revision = *Outcome.value().m_accepted;
  const TimePoint Start = m_now;
  while (!everywhere(m_revision) && m_now - Start < Limit)
    step();
  return m_now - Start;
}

void Fleet::restart(unsigned Member) {
  Node &Target = nodeOf(Member);
  add(Target.m_past, Target.m_network->counters());
  const DistributionCounters Config = Target.m_config->counters();
  Target.m_pastConfig.m_polls += Config.m_polls;
  Target.m_pastConfig.m_storeFetches += Config.m_storeFetches;
  Target.m_pastConfig.m_peerFetches += Config.m_peerFetches;
  Target.m_network.reset();
  startNode(Member);
}

bool Fleet::knownGone(unsigned Count, bool OwnRegion) const {
  for (const auto &Member : m_nodes) {
    if (!Member->m_running ||
        (OwnRegion && Member->m_region != m_nodes[0]->m_region))
      continue;
    const auto &View = Member->m_membership->members();
    for (unsigned Lost = 0; Lost < Count; ++Lost) {
      auto It = View.find(m_nodes[Lost]->m_name);
      if (It != View.end() && It->second.m_state != MemberState::Gone)
        return false;
    }
  }
  return true;
}

std::pair<Duration, Duration> Fleet::loseMembers(unsigned Count,
                                                 Duration Limit) {
  const std::vector<VmInfo> Before = m_vms;
  for (unsigned Lost = 0; Lost < Count; ++Lost) {
    nodeOf(Lost).m_running = false;
    m_fabric->powerOff(nodeOf(Lost).m_name);
  }
  const TimePoint Start = m_now;
  Duration InRegion = Limit;
  while (!knownGone(Count, false) && m_now - Start < Limit) {
    step();
    if (InRegion == Limit && knownGone(Count, true))
      InRegion = m_now - Start;
    if (m_now - Start >= VmListLag)
      m_vms.assign(Before.begin() + Count, Before.end());
  }
  m_vms = Before;
  return {InRegion, m_now - Start};
}

void Fleet::setOutage(bool On) { m_store->setOutage(On); }

} // namespace primroseworks::controlbench
