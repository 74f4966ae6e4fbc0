// Which daemon owns an endpoint or a journal shard, and the records that say so
// in the key-value service.
#ifndef PRIMROSEWORKS_OWNERSHIP_H
#define PRIMROSEWORKS_OWNERSHIP_H

#include "primroseworks/kvstore.h"
#include "primroseworks/lease.h"
#include "primroseworks/ledger.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace primroseworks {

/// Weight of Member for Key in rendezvous hashing; the highest one owns.
std::uint64_t rendezvousWeight(const std::string &Key,
                               const std::string &Member);

/// The member with the highest weight for Key; empty if there is none. When
/// members change, only keys of those members change their owner.
std::string rendezvousOwner(const std::string &Key,
                            const std::vector<std::string> &Members);

/// The live member (of all regions) that owns a journal shard.
std::string journalShardOwner(unsigned Shard,
                              const std::vector<std::string> &LiveMembers);

enum class MemberPresence {
  Alive,   ///< May own.
  Leaving, ///< Hands over; gets nothing new.
  Suspect  ///< Keeps what it owns; gets nothing new.
};
inline constexpr NameTable<MemberPresence, 3> MemberPresenceNames = {
    {{MemberPresence::Alive, "alive"},
     {MemberPresence::Leaving, "leaving"},
     {MemberPresence::Suspect, "suspect"}}};

/// A member that is not gone, as the membership view has it.
struct OwnershipMember {
  std::string m_name;
  std::uint64_t m_incarnation = 0;
  std::string m_region;
  MemberPresence m_presence = MemberPresence::Alive;
};

struct OwnershipOptions {
  std::string m_self;
  std::string m_region;
  double m_writesPerSecond = 20; ///< Cap on takeovers and hand-overs.
  /// Takeovers start at a random time within this, so that those after the
  /// loss of a rack do not meet in one second.
  Milliseconds m_takeoverSpread{3000};
  /// The spread is at most this for each endpoint of the region: 20 takeovers
  /// a second in the region, should all endpoints lose their owners at once.
  Milliseconds m_takeoverSpacing{50};
  /// Time between attempts while the previous owner is still present.
  Milliseconds m_retryInterval{1000};
  /// How long another member must be the better owner before a hand-over, so
  /// that a member that comes and goes moves nothing.
  Milliseconds m_handOverDelay{5000};
  std::uint64_t m_seed = 1;
};

/// An endpoint that this daemon owns.
struct OwnedEndpoint {
  std::string m_endpoint;
  std::uint64_t m_fence = 0;
  std::shared_ptr<EndpointLedger> m_ledger;
};

/// Owns endpoints of one region. step() and the setters are called by one
/// thread; owned() is thread safe.
class EndpointOwnership {
public:
  virtual ~EndpointOwnership() = default;
  /// All members that are not gone.
  virtual void setMembers(std::vector<OwnershipMember> Members,
                          TimePoint Now) = 0;
  /// All endpoints of the region.
  virtual void setEndpoints(std::vector<std::string> Endpoints,
                            TimePoint Now) = 0;
  /// Takes over and hands over what is due, with blocking store calls, at the
  /// capped rate. Call it only with a valid use of the lease, every 100 ms.
  /// Fails, and changes nothing more, when the store cannot be reached; the
  /// next attempt is after m_retryInterval.
  virtual Result<void> step(const LeaseUse &Use, TimePoint Now) = 0;
  /// From now on step() hands over everything.
  virtual void startHandOver() = 0;
  /// Endpoints owned as far as this daemon knows. They stay listed while the
  /// store is unavailable or the lease lapsed: load reports are still polled,
  /// and a commit of the ledger fails if there is another owner.
  virtual std::vector<OwnedEndpoint> owned() const = 0;
};

/// Store must outlive the result. Fails with InvalidArgument if the name or
/// region is empty or the rate is not positive.
Result<std::unique_ptr<EndpointOwnership>>
createEndpointOwnership(KvStore &Store, OwnershipOptions Options);

} // namespace primroseworks

#endif
