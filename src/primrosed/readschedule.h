// Which engines a daemon reads next: those that it owns often, the others only
// as far as their owners' gossip rows do not tell enough, at a bounded rate.
#ifndef PRIMROSED_READSCHEDULE_H
#define PRIMROSED_READSCHEDULE_H

#include "primroseworks/time.h"

#include <cstddef>
#include <vector>

namespace primroseworks {

/// Why an engine is read, the most urgent first.
enum class ReadKind {
  Owned,   ///< This daemon is its owner.
  Doubted, ///< It refused a connection.
  Unread,  ///< An owner's row tells of something that only a report explains.
  Direct,  ///< No fresh row of a living owner tells of it.
  Refresh, ///< A row tells of it; what rows leave out is read now and then.
  RemoteRefresh ///< The same with the summary of its region.
};

struct ReadCandidate {
  ReadKind m_kind = ReadKind::Direct;
  TimePoint m_lastRead{}; ///< Start of the last read.
};

/// Most reads a second, on average, of engines that this daemon does not own.
/// 16 engines without rows, more than a deployment of today has, are read each
/// second. Beyond that each is read less often: one read is two calls of about
/// 700 B, and at the target size 2,775 engines are in other regions.
inline constexpr unsigned OtherReadsPerSecond = 16;

/// Most reads a second of the kind RemoteRefresh: at the target size 2,775
/// engines each minute would be 46 reads/s, for engines that this daemon does
/// not route to.
inline constexpr double RemoteRefreshesPerSecond = 1;

/// Time between two reads of an engine, as far as the rate allows.
Duration readInterval(ReadKind Kind);

/// Time between two direct reads of one of this many engines.
Duration directPeriod(std::size_t Engines);

/// How long a row replaces reports, with this many live members in the region.
/// Up to a full mesh 3 s: such a row has a new version each second and comes
/// over one link. In larger regions versions are up to 3 s apart and pass
/// several links, so it is the 10 s in which a member's heartbeat has to
/// progress.
Duration rowFreshness(std::size_t Members);

class ReadSchedule {
public:
  /// Indices of the candidates to read now, the most urgent and then the
  /// longest unread first. At most Others that this daemon does not own.
  std::vector<std::size_t> due(const std::vector<ReadCandidate> &Candidates,
                               std::size_t Others, TimePoint Now);

private:
  double m_allowance = OtherReadsPerSecond; ///< Reads of others; refilled.
  double m_remoteAllowance = RemoteRefreshesPerSecond;
  TimePoint m_refilled{};
};

} // namespace primroseworks

#endif
