// This daemon among the others.
#include "primrosed/mesh.h"

#include <algorithm>
#include <fmt/format.h>
#include <spdlog/spdlog.h>

namespace primroseworks {

namespace {

constexpr Milliseconds ExchangeInterval{200};
// Lease keys are read this often; at 400 daemons 133 reads/s.
constexpr Milliseconds LeaseReadInterval{3000};

// A member without heartbeat for this long owns no journal shard here. A cut
// between regions can last an hour, and a lease does not show it; a shorter
// time would move shards when one summary of a region is late.
constexpr Seconds JournalContact{12};

TimePoint now() { return std::chrono::steady_clock::now(); }

std::uint64_t wallMillis() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

} // namespace

Result<std::unique_ptr<Mesh>> Mesh::create(DaemonContext &Context,
                                           KvStore &Store, Fleet &Endpoints) {
  std::unique_ptr<Mesh> Made(new Mesh(Context, Store, Endpoints));
  BOOST_OUTCOME_TRYV(Made->init());
  return Made;
}

Result<void> Mesh::init() {
  const Settings &S = m_context.m_settings;
  PeerNetworkOptions Net;
  Net.m_name = S.m_name;
  // The links need a number that rises with each start also while the store is
  // away and gives no incarnation.
  Net.m_incarnation = wallMillis();
  Net.m_address = S.m_peerListen.m_host;
  Net.m_port = S.m_peerListen.m_port;
  Net.m_clusterKey = S.m_clusterKey;
  Net.m_certificateFile = S.m_peerCertificate;
  Net.m_keyFile = S.m_peerKey;
  Net.m_caFile = S.m_peerCa;
  Net.m_seed = m_context.m_processId;
  BOOST_OUTCOME_TRY(Peers, createPeerNetwork(Net));
  m_peers = std::move(Peers);
  MembershipOptions View;
  View.m_self = S.m_name;
  View.m_region = S.m_region;
  BOOST_OUTCOME_TRY(Members, createMembership(View));
  m_membership = std::move(Members);
  return boost::outcome_v2::success();
}

Mesh::~Mesh() { stop(); }

Result<void> Mesh::start() {
  m_peers->setHandler(
      MessageType::Gossip,
      [this](const std::string &From, const Message &In, const PeerReply &) {
        const auto &Body = std::get<GossipMessage>(In.m_body);
        std::lock_guard<std::mutex> Lock(m_mutex);
        std::uint64_t &Told = m_peerRevisions[From];
        Told = std::max(Told, Body.m_configRevision);
        if (m_gossip)
          m_gossip->receive(From, Body, now());
      });
  m_peers->setHandler(
      MessageType::DrainNotice,
      [this](const std::string &, const Message &In, const PeerReply &) {
        const auto &Notice = std::get<DrainNoticeMessage>(In.m_body);
        spdlog::info("event=member_draining member={}", Notice.m_member);
        std::lock_guard<std::mutex> Lock(m_mutex);
        m_draining.insert(Notice.m_member);
      });
  m_peers->setLinkHandler([this](const std::string &Peer, bool Up) {
    spdlog::info("event=link peer={} state={}", Peer, Up ? "up" : "down");
    std::lock_guard<std::mutex> Lock(m_mutex);
    if (Up) {
      m_links.insert(Peer);
      // A daemon that was restarted does not drain any more.
      m_draining.erase(Peer);
      m_readLeasesNow = true;
      m_wake.notify_all();
    } else {
      m_links.erase(Peer);
    }
    if (m_gossip && Up)
      m_gossip->linkUp(Peer, now());
    else if (m_gossip)
      m_gossip->linkDown(Peer);
  });
  BOOST_OUTCOME_TRYV(m_peers->start());
  const Settings &S = m_context.m_settings;
  LeaseOptions Options;
  Options.m_member.m_name = S.m_name;
  Options.m_member.m_region = S.m_region;
  Options.m_member.m_failureDomain = S.m_failureDomain;
  Options.m_member.m_peerAddress =
      S.m_peerAdvertise.m_port != 0
          ? fmt::format("{}:{}", S.m_peerAdvertise.m_host,
                        S.m_peerAdvertise.m_port)
          : fmt::format("{}:{}", S.m_peerListen.m_host, m_peers->boundPort());
  Options.m_seed = m_context.m_processId;
  BOOST_OUTCOME_TRY(Lease, createLeaseHolder(m_store, Options));
  m_lease = std::move(Lease);
  m_started = true;
  m_leaseTask = std::thread([this] { keepLease(); });
  m_leaseReader = std::thread([this] { readLeases(); });
  m_exchangeTask = std::thread([this] { exchange(); });
  return boost::outcome_v2::success();
}

void Mesh::announceDrain() {
  m_peers->broadcast(
      DrainNoticeMessage{m_context.m_settings.m_name, m_lease->incarnation()});
}

void Mesh::stop() {
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    if (!m_started || m_stopping)
      return;
    m_stopping = true;
  }
  m_wake.notify_all();
  m_leaseTask.join();
  m_leaseReader.join();
  m_exchangeTask.join();
  auto Released = m_lease->release();
  if (!Released)
    spdlog::info("event=lease_release_failed error=\"{}\"",
                 Released.error().m_message);
  m_peers->stop();
}

bool Mesh::pause(Duration Time) {
  std::unique_lock<std::mutex> Lock(m_mutex);
  return !m_wake.wait_for(Lock, Time, [this] { return m_stopping; });
}

void Mesh::keepLease() {
  do {
    if (now() < m_lease->nextStep())
      continue;
    auto Stepped = m_lease->step(now());
    if (!Stepped)
      spdlog::info("event=lease_failed error=\"{}\"",
                   Stepped.error().m_message);
    m_context.m_incarnation = m_lease->incarnation();
  } while (pause(Milliseconds(50)));
}

void Mesh::readLeases() {
  while (true) {
    auto Members = m_store.range(MemberPrefix);
    std::unique_lock<std::mutex> Lock(m_mutex);
    if (Members)
      m_membership->onLeaseSnapshot(Members.value().m_entries, now());
    else
      m_membership->onStoreUnavailable(now());
    m_wake.wait_for(Lock, LeaseReadInterval,
                    [this] { return m_stopping || m_readLeasesNow; });
    m_readLeasesNow = false;
    if (m_stopping)
      return;
  }
}

void Mesh::exchange() {
  do {
    std::vector<EndpointSummary> Row;
    if (m_rowSource)
      Row = m_rowSource();
    std::vector<std::pair<std::string, GossipMessage>> Due;
    {
      std::lock_guard<std::mutex> Lock(m_mutex);
      renewGossip();
      if (m_gossip)
        m_gossip->setEndpoints(Row, now());
      tick(now());
      for (const std::string &Peer : m_links)
        if (m_gossip && m_peers->writable(Peer))
          if (auto Next = m_gossip->nextMessage(Peer, now()))
            Due.emplace_back(Peer, std::move(*Next));
    }
    for (auto &[Peer, Body] : Due)
      (void)m_peers->send(Peer, std::move(Body));
  } while (pause(ExchangeInterval));
}

void Mesh::renewGossip() {
  std::uint64_t Incarnation = m_lease->incarnation();
  if (Incarnation == m_gossipIncarnation)
    return;
  GossipOptions Options;
  Options.m_member = m_context.m_settings.m_name;
  Options.m_incarnation = Incarnation;
  Options.m_region = m_context.m_settings.m_region;
  Options.m_failureDomain = m_context.m_settings.m_failureDomain;
  Options.m_programVersion = PRIMROSE_VERSION;
  Options.m_seed = m_context.m_processId;
  auto Made = createGossip(Options);
  if (!Made)
    return;
  m_gossip = std::move(Made.value());
  m_gossipIncarnation = Incarnation;
  for (const std::string &Peer : m_links)
    m_gossip->linkUp(Peer, now());
}

void Mesh::tick(TimePoint Now) {
  if (m_fleet.listed())
    m_membership->onVmList(m_fleet.vms(), Now);
  auto Config = m_context.m_catalog.get();
  std::uint64_t Revision = Config ? Config->m_revision : 0;
  m_peers->setConfigRevision(Revision);
  if (m_gossip) {
    m_gossip->setConfigRevision(Revision);
    for (const auto &[Member, Incarnation] : m_gossip->takeProgress())
      m_membership->onHeartbeat(Member, Incarnation, Now);
    m_membership->onHeartbeat(m_context.m_settings.m_name, m_gossipIncarnation,
                              Now);
  }
  for (const MemberEvent &Event : m_membership->update(Now))
    logEvent(Event, Now);
  if (m_gossip) {
    std::vector<GossipMember> Members;
    for (const auto &[Name, Info] : m_membership->members())
      if (Info.m_state != MemberState::Gone)
        Members.push_back({Name, Info.m_record.m_region});
    m_gossip->setMembers(Members, Now);
  }
  connectLocked();
  passRowsLocked(Now);
  passSummariesLocked(Now);
}

void Mesh::logEvent(const MemberEvent &Event, TimePoint) {
  spdlog::info("event=member kind={} member={} region={} incarnation={}",
               nameOf(MemberEventKindNames, Event.m_kind), Event.m_member,
               Event.m_region, Event.m_incarnation);
  if (Event.m_member.empty())
    return;
  std::uint64_t &Newest = m_newest[Event.m_member];
  if (Event.m_incarnation > Newest) {
    if (Newest != 0 && m_onGone)
      m_onGone(Event.m_member, Event.m_incarnation - 1);
    Newest = Event.m_incarnation;
  }
  if (Event.m_kind != MemberEventKind::Left)
    return;
  m_draining.erase(Event.m_member);
  auto Info = m_membership->members().find(Event.m_member);
  bool Unlisted = m_fleet.listed() && Info != m_membership->members().end() &&
                  !Info->second.m_listed;
  if (Unlisted && m_onGone)
    m_onGone(Event.m_member, Newest);
}

void Mesh::connectLocked() {
  const std::string &Self = m_context.m_settings.m_name;
  std::map<std::string, PeerAddress> Known;
  std::vector<GossipMember> Members = {{Self, m_context.m_settings.m_region}};
  for (const PeerSeed &Seed : m_context.m_settings.m_seeds)
    Known[Seed.m_name] = {Seed.m_name, Seed.m_address.m_host,
                          Seed.m_address.m_port, true};
  for (const VmInfo &Vm : m_fleet.vms())
    if (Vm.m_kind == VmKind::Daemon)
      Known[Vm.m_name] = {Vm.m_name, Vm.m_address, Vm.m_port, true};
  for (const auto &[Name, Info] : m_membership->members()) {
    if (Info.m_state == MemberState::Gone) {
      Known.erase(Name);
      continue;
    }
    auto Address = settings::parseAddress(Info.m_record.m_peerAddress);
    if (Address)
      Known[Name] = {Name, Address.value().m_host, Address.value().m_port,
                     true};
  }
  Known.erase(Self);
  for (const auto &[Name, Address] : Known) {
    auto Info = m_membership->members().find(Name);
    Members.push_back({Name, Info == m_membership->members().end()
                                 ? m_context.m_settings.m_region
                                 : Info->second.m_record.m_region});
  }
  std::vector<std::string> Standing = linkNeighbours(Members, Self);
  std::vector<PeerAddress> Peers;
  for (auto &[Name, Address] : Known) {
    Address.m_standing =
        std::find(Standing.begin(), Standing.end(), Name) != Standing.end();
    Peers.push_back(Address);
  }
  m_peers->setPeers(Peers);
}

void Mesh::passRowsLocked(TimePoint Now) {
  if (!m_gossip)
    return;
  // A row older than this says nothing about what is being unloaded now.
  constexpr Seconds HidesFor{10};
  std::size_t Alive = 0;
  for (const auto &[Name, Info] : m_membership->members())
    if (Info.m_state == MemberState::Alive &&
        Info.m_record.m_region == m_context.m_settings.m_region)
      ++Alive;
  const Duration Fresh = rowFreshness(Alive);
  std::map<std::string, OwnerRow> Rows;
  for (const auto &[Member, Row] : m_gossip->rows()) {
    auto Info = m_membership->members().find(Member);
    bool Living = Info != m_membership->members().end() &&
                  Info->second.m_state == MemberState::Alive;
    if (Now - Row.m_progressed >= HidesFor ||
        Member == m_context.m_settings.m_name)
      continue;
    for (const EndpointSummary &E : Row.m_endpoints) {
      OwnerRow &Known = Rows[E.m_endpoint];
      // After a hand-over two rows may name the endpoint.
      if (Known.m_summary == nullptr || Known.m_progressed < Row.m_progressed)
        Known = {&E, Row.m_progressed,
                 Living ? Row.m_progressed + Fresh : TimePoint{},
                 Row.m_progressed + HidesFor};
    }
  }
  m_fleet.onRows(Rows, Now);
}

void Mesh::passSummariesLocked(TimePoint Now) {
  if (!m_gossip)
    return;
  for (const auto &[Name, Region] : m_gossip->summaries()) {
    TimePoint &Passed = m_summariesPassed[Name];
    if (Name == m_context.m_settings.m_region || Passed == Region.m_progressed)
      continue;
    Passed = Region.m_progressed;
    m_fleet.onRegion(Name, remoteRows(Region), Region.m_progressed, Now);
  }
}

std::map<std::string, RegionCapacity> Mesh::regions() const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  return m_gossip ? m_gossip->summaries()
                  : std::map<std::string, RegionCapacity>();
}

std::vector<OwnershipMember> Mesh::ownershipMembers() const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  std::vector<OwnershipMember> Out;
  for (const auto &[Name, Info] : m_membership->members()) {
    bool Leaving = m_draining.count(Name) != 0 || Info.m_leaving;
    if (Info.m_state == MemberState::Gone)
      continue;
    MemberPresence Presence = Leaving ? MemberPresence::Leaving
                              : Info.m_state == MemberState::Alive
                                  ? MemberPresence::Alive
                                  : MemberPresence::Suspect;
    Out.push_back(
        {Name, Info.m_record.m_incarnation, Info.m_record.m_region, Presence});
  }
  return Out;
}

std::vector<std::string> Mesh::journalMembers(TimePoint Now) const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  std::vector<std::string> Out;
  for (const auto &[Name, Info] : m_membership->members()) {
    const bool Contact =
        Name == m_context.m_settings.m_name ||
        (!Info.m_frozen &&
         Now - std::max(Info.m_heartbeat, m_startTime) <= JournalContact);
    if (Info.m_leased && Info.m_state != MemberState::Gone && Contact &&
        m_draining.count(Name) == 0)
      Out.push_back(Name);
  }
  return Out;
}

unsigned Mesh::liveInRegion() const {
  unsigned Count = 0;
  for (const OwnershipMember &M : ownershipMembers())
    if (M.m_presence == MemberPresence::Alive &&
        M.m_region == m_context.m_settings.m_region)
      ++Count;
  return std::max(1U, Count);
}

bool Mesh::hasRole(const std::string &Role) const {
  std::vector<std::string> Region;
  for (const OwnershipMember &M : ownershipMembers())
    if (M.m_presence == MemberPresence::Alive &&
        M.m_region == m_context.m_settings.m_region)
      Region.push_back(M.m_name);
  return rendezvousOwner(Role + "/" + m_context.m_settings.m_region, Region) ==
         m_context.m_settings.m_name;
}

bool Mesh::isPlanner() const { return hasRole("planner"); }

bool Mesh::isWatcher() const { return hasRole("config-watch"); }

bool Mesh::isGone(const std::string &Member, std::uint64_t Incarnation) const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  auto Newest = m_newest.find(Member);
  if (Newest != m_newest.end() && Newest->second > Incarnation)
    return true;
  auto Info = m_membership->members().find(Member);
  if (Info == m_membership->members().end())
    return m_membership->storeAvailable() && m_fleet.listed();
  return Info->second.m_state == MemberState::Gone ||
         Info->second.m_record.m_incarnation > Incarnation;
}

std::string Mesh::ownerOf(const std::string &Endpoint) const {
  std::string Told = ownerInRows(Endpoint);
  if (!Told.empty())
    return Told;
  // Rows stay in their region; the owner elsewhere is the member that the hash
  // chooses, unless it has just changed.
  std::string Region;
  for (const VmInfo &Vm : m_fleet.vms())
    if (Vm.m_name == Endpoint)
      Region = Vm.m_region;
  std::vector<std::string> Eligible;
  for (const OwnershipMember &M : ownershipMembers())
    if (M.m_presence == MemberPresence::Alive && M.m_region == Region)
      Eligible.push_back(M.m_name);
  return rendezvousOwner(EndpointPrefix + Endpoint, Eligible);
}

std::string Mesh::ownerInRows(const std::string &Endpoint) const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  if (!m_gossip)
    return "";
  std::string Best;
  TimePoint Latest;
  for (const auto &[Key, Row] : m_gossip->rows())
    for (const EndpointSummary &E : Row.m_endpoints)
      if (E.m_endpoint == Endpoint && Row.m_progressed >= Latest) {
        Best = Row.m_member;
        Latest = Row.m_progressed;
      }
  return Best;
}

std::vector<MemberStatus> Mesh::status() const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  std::vector<MemberStatus> Out;
  for (const auto &[Name, Info] : m_membership->members()) {
    MemberStatus Row;
    Row.m_name = Name;
    Row.m_region = Info.m_record.m_region;
    Row.m_failureDomain = Info.m_record.m_failureDomain;
    Row.m_state = m_draining.count(Name) != 0
                      ? "draining"
                      : std::string(nameOf(MemberStateNames, Info.m_state));
    Row.m_incarnation = Info.m_record.m_incarnation;
    auto Linked = m_peerRevisions.find(Name);
    if (Linked != m_peerRevisions.end())
      Row.m_revision = Linked->second;
    if (m_gossip)
      for (const auto &[Key, Told] : m_gossip->rows())
        if (Told.m_member == Name) {
          Row.m_revision = std::max(Row.m_revision, Told.m_configRevision);
          for (const EndpointSummary &E : Told.m_endpoints)
            Row.m_owns.push_back(E.m_endpoint);
        }
    Out.push_back(std::move(Row));
  }
  return Out;
}

std::vector<std::string> Mesh::degraded() const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  std::vector<std::string> Out;
  if (!m_membership->storeAvailable())
    Out.emplace_back("the key-value service is unavailable: keyed requests, "
                     "moves and configuration changes wait");
  if (!m_lease->validAt(now()))
    Out.emplace_back("this daemon holds no valid lease: it owns nothing new");
  for (const std::string &Region : m_membership->cutRegions())
    Out.push_back("no contact with region " + Region +
                  ": its members are shown as last seen");
  return Out;
}

std::pair<std::uint64_t, std::string> Mesh::revisionHint() const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  return m_gossip ? m_gossip->configHint()
                  : std::pair<std::uint64_t, std::string>();
}

} // namespace primroseworks
