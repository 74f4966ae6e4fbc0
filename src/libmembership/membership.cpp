// Joins the VM list, the leases and the heartbeats into one state per member.
#include "primroseworks/membership.h"

#include <utility>

namespace primroseworks {
namespace {

/// A region counts as cut when none of its members was heard for this long;
/// below the 10 s after which its members would become suspect one by one.
constexpr Seconds RegionSilence{8};

/// One silent member cannot be told from a cut; with this many, the cut is far
/// likelier than that all failed within seconds.
constexpr std::size_t MinCutMembers = 2;

struct Member {
  MemberInfo m_info;
  bool m_heard = false;  ///< Any heartbeat so far.
  bool m_joined = false; ///< Was alive before.
  TimePoint m_firstSeen;
  TimePoint m_goneSince;
};

class MembershipImpl final : public Membership {
public:
  explicit MembershipImpl(MembershipOptions Options)
      : m_options(std::move(Options)) {}

  void onVmList(const std::vector<VmInfo> &List, TimePoint Now) override;
  void onLeaseSnapshot(const std::vector<KvEntry> &Entries,
                       TimePoint Now) override;
  void onLeaseEvent(const KvEvent &Event, TimePoint Now) override;
  void onStoreUnavailable(TimePoint Now) override {
    (void)Now;
    m_storeAvailable = false;
  }
  void onHeartbeat(const std::string &Name, std::uint64_t Incarnation,
                   TimePoint Now) override;
  std::vector<MemberEvent> update(TimePoint Now) override;
  const std::map<std::string, MemberInfo> &members() const override {
    return m_view;
  }
  const std::set<std::string> &cutRegions() const override { return m_cut; }
  bool storeAvailable() const override { return m_storeAvailable; }

private:
  Member &memberOf(const std::string &Name, TimePoint Now);
  void setLease(const std::string &Name, const std::string &Value,
                TimePoint Now);
  void storeAnswered(TimePoint Now);
  void setIncarnation(Member &Target, std::uint64_t Incarnation);
  void findCuts(TimePoint Now);
  bool leasesCount(TimePoint Now) const;
  MemberState stateOf(const Member &Target, TimePoint Now) const;
  void move(Member &Target, MemberState Next, TimePoint Now);
  void emit(MemberEventKind Kind, const Member &Target);

  const MembershipOptions m_options;
  std::map<std::string, Member> m_members;
  std::map<std::string, MemberInfo> m_view;
  std::set<std::string> m_cut;
  std::vector<MemberEvent> m_events;
  bool m_listKnown = false;
  bool m_leasesKnown = false;
  bool m_storeAvailable = false;
  TimePoint m_graceUntil; ///< Until then a missing lease does not count.
};

Member &MembershipImpl::memberOf(const std::string &Name, TimePoint Now) {
  auto [It, Added] = m_members.try_emplace(Name);
  if (Added) {
    It->second.m_info.m_name = Name;
    It->second.m_firstSeen = Now;
    It->second.m_info.m_heartbeat = Now; // Not silent before it was known.
  }
  return It->second;
}

void MembershipImpl::onVmList(const std::vector<VmInfo> &List, TimePoint Now) {
  m_listKnown = true;
  for (auto &[Name, Known] : m_members)
    Known.m_info.m_listed = false;
  for (const VmInfo &Vm : List) {
    if (Vm.m_kind != VmKind::Daemon)
      continue;
    MemberInfo &Info = memberOf(Vm.m_name, Now).m_info;
    Info.m_listed = true;
    Info.m_leaving = Vm.m_state == VmState::Leaving;
    Info.m_record.m_region = Vm.m_region;
    Info.m_record.m_failureDomain = Vm.m_failureDomain;
    // The lease record is written by the member itself and wins.
    if (Info.m_record.m_peerAddress.empty() || !Info.m_leased)
      Info.m_record.m_peerAddress =
          Vm.m_address + ":" + std::to_string(Vm.m_port);
  }
}

void MembershipImpl::storeAnswered(TimePoint Now) {
  if (!m_storeAvailable && m_leasesKnown)
    m_graceUntil = Now + m_options.m_storeGrace;
  m_storeAvailable = true;
  m_leasesKnown = true;
}

void MembershipImpl::setLease(const std::string &Name, const std::string &Value,
                              TimePoint Now) {
  const auto Record = decodeMember(Value);
  if (!Record)
    return;
  Member &Target = memberOf(Name, Now);
  if (Record.value().m_incarnation < Target.m_info.m_record.m_incarnation)
    return; // The lease of an earlier run that has not ended yet.
  setIncarnation(Target, Record.value().m_incarnation);
  Target.m_info.m_leased = true;
  Target.m_info.m_record = Record.value();
}

void MembershipImpl::onLeaseSnapshot(const std::vector<KvEntry> &Entries,
                                     TimePoint Now) {
  storeAnswered(Now);
  for (auto &[Name, Known] : m_members)
    Known.m_info.m_leased = false;
  const std::string Prefix = MemberPrefix;
  for (const KvEntry &Entry : Entries)
    if (Entry.m_key.compare(0, Prefix.size(), Prefix) == 0)
      setLease(Entry.m_key.substr(Prefix.size()), Entry.m_value, Now);
}

void MembershipImpl::onLeaseEvent(const KvEvent &Event, TimePoint Now) {
  const std::string Prefix = MemberPrefix;
  if (Event.m_key.compare(0, Prefix.size(), Prefix) != 0)
    return;
  const std::string Name = Event.m_key.substr(Prefix.size());
  if (Event.m_value)
    setLease(Name, *Event.m_value, Now);
  else if (auto It = m_members.find(Name); It != m_members.end())
    It->second.m_info.m_leased = false;
}

void MembershipImpl::setIncarnation(Member &Target, std::uint64_t Incarnation) {
  std::uint64_t &Known = Target.m_info.m_record.m_incarnation;
  if (Incarnation <= Known)
    return;
  const bool Restart = Known != 0 && Target.m_info.m_state != MemberState::Gone;
  Known = Incarnation;
  if (Restart)
    emit(MemberEventKind::Restarted, Target);
}

void MembershipImpl::onHeartbeat(const std::string &Name,
                                 std::uint64_t Incarnation, TimePoint Now) {
  Member &Target = memberOf(Name, Now);
  if (Incarnation < Target.m_info.m_record.m_incarnation)
    return;
  setIncarnation(Target, Incarnation);
  Target.m_heard = true;
  Target.m_info.m_heartbeat = Now;
}

/// Finds the regions all of whose members went silent together.
void MembershipImpl::findCuts(TimePoint Now) {
  struct Contact {
    std::size_t m_expected = 0;
    std::size_t m_heard = 0;
  };
  std::map<std::string, Contact> Regions;
  for (const auto &[Name, Known] : m_members) {
    const MemberInfo &Info = Known.m_info;
    if (Info.m_record.m_region == m_options.m_region ||
        Info.m_state == MemberState::Gone || !Known.m_joined)
      continue;
    Contact &Region = Regions[Info.m_record.m_region];
    ++Region.m_expected;
    Region.m_heard += Now - Info.m_heartbeat < RegionSilence;
  }
  for (const auto &[Region, State] : Regions) {
    const bool Cut = State.m_heard == 0 && (State.m_expected >= MinCutMembers ||
                                            m_cut.count(Region) != 0);
    if (Cut && m_cut.insert(Region).second)
      m_events.push_back({MemberEventKind::RegionCut, "", Region, 0});
    if (!Cut && m_cut.erase(Region) != 0) {
      m_events.push_back({MemberEventKind::RegionBack, "", Region, 0});
      // Members get the time to be heard that they had before the cut.
      for (auto &[Name, Known] : m_members)
        if (Known.m_info.m_frozen && Known.m_info.m_record.m_region == Region)
          Known.m_info.m_heartbeat = Now;
    }
  }
}

bool MembershipImpl::leasesCount(TimePoint Now) const {
  return m_storeAvailable && m_leasesKnown && Now >= m_graceUntil;
}

MemberState MembershipImpl::stateOf(const Member &Target, TimePoint Now) const {
  const MemberInfo &Info = Target.m_info;
  const Duration Silence = Now - Info.m_heartbeat;
  if (Info.m_name == m_options.m_self)
    return MemberState::Alive;
  const bool Unlisted = m_listKnown && !Info.m_listed;
  if (Unlisted && Silence >= m_options.m_goneUnlisted)
    return MemberState::Gone;
  if (Info.m_frozen)
    return Info.m_state;
  const bool NoLease = leasesCount(Now) ? !Info.m_leased : !m_storeAvailable;
  if (NoLease && Silence >= m_options.m_goneWithoutLease)
    return MemberState::Gone;
  const bool Progress = Target.m_heard && Silence < m_options.m_aliveProgress;
  const bool LeaseCounts = leasesCount(Now);
  if (Progress && (Info.m_leased || !LeaseCounts))
    return MemberState::Alive;
  // A member that is gone comes back only by a heartbeat.
  return Info.m_state == MemberState::Gone && !Progress ? MemberState::Gone
                                                        : MemberState::Suspect;
}

void MembershipImpl::emit(MemberEventKind Kind, const Member &Target) {
  m_events.push_back({Kind, Target.m_info.m_name,
                      Target.m_info.m_record.m_region,
                      Target.m_info.m_record.m_incarnation});
}

void MembershipImpl::move(Member &Target, MemberState Next, TimePoint Now) {
  if (Target.m_info.m_state == Next)
    return;
  Target.m_info.m_state = Next;
  switch (Next) {
  case MemberState::Alive:
    emit(Target.m_joined ? MemberEventKind::Recovered : MemberEventKind::Joined,
         Target);
    Target.m_joined = true;
    break;
  case MemberState::Suspect:
    emit(MemberEventKind::Suspected, Target);
    break;
  case MemberState::Gone:
    Target.m_goneSince = Now;
    if (Target.m_joined)
      emit(MemberEventKind::Left, Target);
    Target.m_joined = false;
    break;
  }
}

std::vector<MemberEvent> MembershipImpl::update(TimePoint Now) {
  findCuts(Now);
  for (auto It = m_members.begin(); It != m_members.end();) {
    Member &Target = It->second;
    Target.m_info.m_frozen = m_cut.count(Target.m_info.m_record.m_region) != 0;
    move(Target, stateOf(Target, Now), Now);
    const bool Forget = Target.m_info.m_state == MemberState::Gone &&
                        Now - Target.m_goneSince >= m_options.m_forget &&
                        !Target.m_info.m_listed && !Target.m_info.m_leased;
    It = Forget ? m_members.erase(It) : std::next(It);
  }
  m_view.clear();
  for (const auto &[Name, Known] : m_members)
    m_view.emplace_hint(m_view.end(), Name, Known.m_info);
  return std::exchange(m_events, {});
}

} // namespace

Result<std::unique_ptr<Membership>>
createMembership(MembershipOptions Options) {
  if (Options.m_self.empty() || Options.m_region.empty())
    return makeError(ErrorKind::InvalidArgument,
                     "membership needs the member's name and region; set "
                     "them");
  return std::unique_ptr<Membership>(
      std::make_unique<MembershipImpl>(std::move(Options)));
}

} // namespace primroseworks
