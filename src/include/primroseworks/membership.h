// Which daemons are members: a view from the platform's VM list, the lease keys
// in the store and the heartbeats that gossip carries. No I/O; time is an
// argument.
#ifndef PRIMROSEWORKS_MEMBERSHIP_H
#define PRIMROSEWORKS_MEMBERSHIP_H

#include "primroseworks/error.h"
#include "primroseworks/kvstore.h"
#include "primroseworks/lease.h"
#include "primroseworks/names.h"
#include "primroseworks/platform.h"
#include "primroseworks/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace primroseworks {

enum class MemberState {
  Alive,   ///< Lease present and heartbeat progressing.
  Suspect, ///< Keeps what it owns and gets nothing new.
  Gone     ///< What it owned may be taken over once its lease is gone.
};
inline constexpr NameTable<MemberState, 3> MemberStateNames = {
    {{MemberState::Alive, "alive"},
     {MemberState::Suspect, "suspect"},
     {MemberState::Gone, "gone"}}};

struct MemberInfo {
  std::string m_name;
  MemberRecord m_record;
  MemberState m_state = MemberState::Suspect;
  bool m_leased = false; ///< When the store was last read.
  bool m_listed = false; ///< In the VM list.
  bool m_leaving = false;
  bool m_frozen = false; ///< In a region without contact.
  TimePoint m_heartbeat; ///< When its heartbeat last progressed.
};

enum class MemberEventKind {
  Joined,    ///< First seen alive.
  Restarted, ///< A new incarnation of a member; its state did not change.
  Suspected,
  Recovered, ///< Alive again.
  Left,      ///< Gone.
  RegionCut, ///< No contact with m_region; its members are frozen.
  RegionBack
};
inline constexpr NameTable<MemberEventKind, 7> MemberEventKindNames = {
    {{MemberEventKind::Joined, "joined"},
     {MemberEventKind::Restarted, "restarted"},
     {MemberEventKind::Suspected, "suspected"},
     {MemberEventKind::Recovered, "recovered"},
     {MemberEventKind::Left, "left"},
     {MemberEventKind::RegionCut, "region_cut"},
     {MemberEventKind::RegionBack, "region_back"}}};

struct MemberEvent {
  MemberEventKind m_kind = MemberEventKind::Joined;
  std::string m_member; ///< Empty for region events.
  std::string m_region;
  std::uint64_t m_incarnation = 0;
};

struct MembershipOptions {
  std::string m_self;
  std::string m_region;
  Seconds m_aliveProgress{10};    ///< Heartbeat within this: alive.
  Seconds m_goneWithoutLease{15}; ///< No lease and no heartbeat for this: gone.
  Seconds m_goneUnlisted{10}; ///< Not in the VM list and no heartbeat: gone.
  /// After an outage of the store, members need this long to renew or regain
  /// their leases; until then a missing lease counts as present.
  Seconds m_storeGrace{15};
  /// A member is forgotten this long after it was gone.
  Seconds m_forget{600};
};

/// Not thread safe: the owner serialises the calls.
class Membership {
public:
  virtual ~Membership() = default;

  /// A successful read of the VM list. A failed one changes nothing: the last
  /// list stays in use.
  virtual void onVmList(const std::vector<VmInfo> &List, TimePoint Now) = 0;

  /// All lease keys, as read from the store.
  virtual void onLeaseSnapshot(const std::vector<KvEntry> &Entries,
                               TimePoint Now) = 0;
  /// One change of a lease key, from a watch.
  virtual void onLeaseEvent(const KvEvent &Event, TimePoint Now) = 0;
  /// A call to the store failed with Unavailable or Timeout.
  virtual void onStoreUnavailable(TimePoint Now) = 0;

  /// The member's heartbeat progressed.
  virtual void onHeartbeat(const std::string &Member, std::uint64_t Incarnation,
                           TimePoint Now) = 0;

  /// Applies the passage of time. Returns what changed since the last call.
  /// Call it each second.
  virtual std::vector<MemberEvent> update(TimePoint Now) = 0;

  virtual const std::map<std::string, MemberInfo> &members() const = 0;
  virtual const std::set<std::string> &cutRegions() const = 0;
  virtual bool storeAvailable() const = 0;
};

/// Fails with InvalidArgument if the member's name or region is missing.
Result<std::unique_ptr<Membership>> createMembership(MembershipOptions Options);

} // namespace primroseworks

#endif
