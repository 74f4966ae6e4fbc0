// What each daemon knows about the others' endpoints: one row per daemon of
// the region, and one summary per other region. Rows travel as deltas over a
// sparse graph of links, with a cursor per link and row. No I/O: the caller
// carries the messages and passes the time.
#ifndef PRIMROSEWORKS_GOSSIP_H
#define PRIMROSEWORKS_GOSSIP_H

#include "primroseworks/error.h"
#include "primroseworks/message.h"
#include "primroseworks/names.h"
#include "primroseworks/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace primroseworks {

/// A member as the link graph sees it.
struct GossipMember {
  std::string m_name;
  std::string m_region;
};

/// Up to this many members, all pairs are linked.
inline constexpr std::size_t FullMeshMembers = 9;

/// Names of the members that Self keeps links to, of both ends alike: all up to
/// FullMeshMembers; above that the ring neighbours at distances 1, 2, 4, .. in
/// the region, and those of the pairs between regions that have Self at an end
/// (each member picks two in each other region).
std::vector<std::string> linkNeighbours(std::vector<GossipMember> Members,
                                        const std::string &Self);

/// Load of an endpoint in 16 steps of its batch (0: empty, 15: full and a queue
/// as long as the batch).
unsigned loadBucketOf(unsigned Running, unsigned Queued, unsigned MaxBatch);

/// Free slots in steps that double: 0, 1, 2, 3-4, 5-8, ..; the result is the
/// lower end of the step, so that a reader never counts on more than there is.
unsigned freeSlotStep(unsigned FreeSlots);

enum class SummaryState { Live, Leaving, Down };
inline constexpr NameTable<SummaryState, 3> SummaryStateNames = {
    {{SummaryState::Live, "live"},
     {SummaryState::Leaving, "leaving"},
     {SummaryState::Down, "down"}}};

/// What an owner tells about one of its endpoints.
struct EndpointSummary {
  std::string m_endpoint;
  SummaryState m_state = SummaryState::Live;
  unsigned m_loadBucket = 0; ///< See loadBucketOf.
  unsigned m_freeSlots = 0;  ///< See freeSlotStep.
  std::vector<std::string> m_models;
};

/// One daemon's row as received.
struct GossipRow {
  std::string m_member;
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_version = 0;
  std::string m_region;
  std::string m_failureDomain;
  std::string m_programVersion;
  std::uint64_t m_configRevision = 0; ///< Lags: see GossipOptions.
  std::vector<EndpointSummary> m_endpoints;
  TimePoint m_progressed; ///< When m_version last rose.
};

/// Capacity of one model in another region.
struct RegionModel {
  unsigned m_replicas = 0;
  unsigned m_freeSlots = 0;  ///< Sum, as a step.
  unsigned m_loadBucket = 0; ///< Mean.
};

/// What is known of another region.
struct RegionCapacity {
  std::string m_region;
  std::uint64_t m_writer = 0; ///< Incarnation of the member that wrote it.
  std::uint64_t m_version = 0;
  std::map<std::string, RegionModel> m_models;
  std::map<std::uint64_t, std::string> m_members; ///< Alive, by incarnation.
  TimePoint m_progressed;
};

struct GossipOptions {
  std::string m_member;
  std::uint64_t m_incarnation = 0;
  std::string m_region;
  std::string m_failureDomain;
  std::string m_programVersion;
  /// Shortest time between two versions of a row, and between two messages on
  /// a link.
  Milliseconds m_interval{1000};
  /// With more members in the region, load changes are sent less often, by this
  /// time per member: the bytes a daemon receives stay the same. 100 members
  /// give 2 s.
  Milliseconds m_intervalPerMember{20};
  /// A row without changes gets a new version after this time, so that three
  /// fit into the 10 s in which a heartbeat has to progress.
  Milliseconds m_heartbeat{3000};
  /// The same while the region has at most FullMeshMembers: the rows of so few
  /// cost little, and readers take a row of up to 3 s for the present load.
  Milliseconds m_heartbeatFew{1000};
  /// Time between two versions of a region's summary, each of which shows the
  /// progress of its members; every second one carries changes of the models.
  Milliseconds m_summaryInterval{3000};
  /// Rows of members that are gone are forgotten after this time.
  Milliseconds m_forget{60'000};
  std::uint64_t m_seed = 1; ///< Phase of the links' messages.
};

/// A message for the link to m_peer.
struct GossipOutput {
  std::string m_peer;
  GossipMessage m_message;
};

/// Not thread safe: the owner serialises the calls.
class Gossip {
public:
  virtual ~Gossip() = default;

  /// Members that are not gone, Self included: for the pace, and for who writes
  /// the region's summary (of those with progress, the highest rendezvous hash
  /// of `summary/<region>`).
  virtual void setMembers(const std::vector<GossipMember> &Members,
                          TimePoint Now) = 0;

  /// Replaces this daemon's own endpoints.
  virtual void setEndpoints(const std::vector<EndpointSummary> &Endpoints,
                            TimePoint Now) = 0;

  /// Revision in force here; it is told to the peers at once.
  virtual void setConfigRevision(std::uint64_t Revision) = 0;

  virtual void linkUp(const std::string &Peer, TimePoint Now) = 0;
  virtual void linkDown(const std::string &Peer) = 0;

  /// Applies a message. A row that cannot be applied is asked for again.
  virtual void receive(const std::string &Peer, const GossipMessage &Received,
                       TimePoint Now) = 0;

  /// The message that is due on the link, if any; call it for each link that is
  /// writable, some times a second. It contains for each row only what the peer
  /// does not have, however long the link was not writable.
  virtual std::optional<GossipMessage> nextMessage(const std::string &Peer,
                                                   TimePoint Now) = 0;

  virtual const std::map<std::string, GossipRow> &rows() const = 0;
  virtual const std::map<std::string, RegionCapacity> &summaries() const = 0;

  /// Highest revision that a peer told, and the peer.
  virtual std::pair<std::uint64_t, std::string> configHint() const = 0;

  /// Members whose rows progressed since the last call, with incarnation; and
  /// members of other regions that a progressed summary names.
  virtual std::vector<std::pair<std::string, std::uint64_t>> takeProgress() = 0;
};

/// Fails with InvalidArgument if a name is missing or an interval is not
/// positive.
Result<std::unique_ptr<Gossip>> createGossip(GossipOptions Options);

} // namespace primroseworks

#endif
