// Which engines a daemon reads next.
#include "primrosed/readschedule.h"

#include "primroseworks/gossip.h"

#include <algorithm>
#include <tuple>

namespace primroseworks {

Duration readInterval(ReadKind Kind) {
  switch (Kind) {
  case ReadKind::Owned:
  case ReadKind::Doubted:
  case ReadKind::Unread:
    return Milliseconds(250);
  case ReadKind::Direct:
    return Milliseconds(1000);
  case ReadKind::Refresh:
  case ReadKind::RemoteRefresh:
    break;
  }
  // Rows leave out the run, the size of the batch and the cache events. A
  // restart is also seen from the row's state and from answers.
  return Seconds(60);
}

Duration directPeriod(std::size_t Engines) {
  return std::max(
      readInterval(ReadKind::Direct),
      fromSeconds(static_cast<double>(Engines) / OtherReadsPerSecond));
}

Duration rowFreshness(std::size_t Members) {
  return Members <= FullMeshMembers ? Seconds(3) : Seconds(10);
}

std::vector<std::size_t>
ReadSchedule::due(const std::vector<ReadCandidate> &Candidates,
                  std::size_t Others, TimePoint Now) {
  auto Refill = [&](double &Allowance, double PerSecond) {
    if (m_refilled != TimePoint{})
      Allowance = std::min(PerSecond,
                           Allowance + PerSecond * toSeconds(Now - m_refilled));
  };
  Refill(m_allowance, OtherReadsPerSecond);
  Refill(m_remoteAllowance, RemoteRefreshesPerSecond);
  m_refilled = Now;
  std::vector<std::size_t> Due;
  for (std::size_t I = 0; I < Candidates.size(); ++I) {
    const ReadCandidate &C = Candidates[I];
    if (C.m_lastRead == TimePoint{} ||
        Now - C.m_lastRead >= readInterval(C.m_kind))
      Due.push_back(I);
  }
  std::stable_sort(Due.begin(), Due.end(), [&](std::size_t A, std::size_t B) {
    return std::tie(Candidates[A].m_kind, Candidates[A].m_lastRead) <
           std::tie(Candidates[B].m_kind, Candidates[B].m_lastRead);
  });
  std::vector<std::size_t> Out;
  for (std::size_t I : Due) {
    if (Candidates[I].m_kind != ReadKind::Owned) {
      if (Others == 0 || m_allowance < 1)
        break;
      if (Candidates[I].m_kind == ReadKind::RemoteRefresh) {
        if (m_remoteAllowance < 1)
          break;
        m_remoteAllowance -= 1;
      }
      --Others;
      m_allowance -= 1;
    }
    Out.push_back(I);
  }
  return Out;
}

} // namespace primroseworks
