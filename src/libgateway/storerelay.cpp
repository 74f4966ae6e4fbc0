// Splitting and applying of relayed store changes.
#include "libgateway/storerelay.h"

#include <algorithm>

namespace primroseworks::gateway {

namespace {

std::size_t sizeOf(const StoreChange &Change) {
  return Change.m_key.size() + (Change.m_value ? Change.m_value->size() : 0);
}

} // namespace

std::vector<StoreRelay> makeRelays(const std::string &Sender,
                                   const StoreVersion &From,
                                   const StoreChanges &Changes,
                                   const std::string &Withheld) {
  std::vector<StoreRelay> Out;
  StoreRelay Next{Sender, From, From, {}, {}};
  std::size_t Bytes = 0;
  const auto End = Changes.m_changes.end();
  for (auto First = Changes.m_changes.begin(); First != End;) {
    // Changes of one revision stay together.
    const StoreVersion Version = First->m_version;
    std::size_t Size = 0;
    bool LeftOut = false;
    auto Last = First;
    for (; Last != End && Last->m_version == Version; ++Last) {
      Size += sizeOf(*Last);
      LeftOut = LeftOut || sizeOf(*Last) > MaxRelayedValueBytes ||
                (!Withheld.empty() && Last->m_key == Withheld);
    }
    if (LeftOut || (Bytes + Size > MaxRelayBytes && Bytes > 0)) {
      if (!Next.m_changes.empty())
        Out.push_back(Next);
      Next.m_from = LeftOut ? Version : Next.m_to;
      Next.m_to = Next.m_from;
      Next.m_changes.clear();
      Bytes = 0;
    }
    if (!LeftOut) {
      Next.m_changes.insert(Next.m_changes.end(), First, Last);
      Next.m_to = Version;
      Bytes += Size;
    }
    First = Last;
  }
  Next.m_to = std::max(Next.m_to, Changes.m_version);
  Out.push_back(std::move(Next));
  return Out;
}

void StoreFollower::onRead(const StoreVersion &Version) {
  m_reading = false;
  m_version = Version;
  onAnswered(Version);
}

/// The store answered this gateway. What a relay of another era showed counts
/// until then alone, since only the store can tell the era.
void StoreFollower::onAnswered(const StoreVersion &Version) {
  if (m_missed.m_era != Version.m_era)
    m_missed = {};
}

std::vector<StoreChange>
StoreFollower::takeNew(const std::vector<StoreChange> &Changes,
                       const StoreVersion &To) {
  std::vector<StoreChange> Out;
  std::copy_if(
      Changes.begin(), Changes.end(), std::back_inserter(Out),
      [this](const StoreChange &C) { return C.m_version > m_version; });
  m_version = std::max(m_version, To);
  return Out;
}

std::optional<std::vector<StoreChange>>
StoreFollower::onWatched(const StoreChanges &Changes) {
  if (Changes.m_version.m_era != m_version.m_era)
    return std::nullopt;
  onAnswered(Changes.m_version);
  return takeNew(Changes.m_changes, Changes.m_version);
}

RelayFit StoreFollower::fit(const StoreRelay &Relay) const {
  if (m_reading)
    return RelayFit::Gap;
  if (Relay.m_to.m_era < m_version.m_era)
    return RelayFit::OlderEra;
  if (Relay.m_to.m_era > m_version.m_era)
    return RelayFit::NewerEra;
  return Relay.m_from > m_version ? RelayFit::Gap : RelayFit::Follows;
}

std::optional<std::vector<StoreChange>>
StoreFollower::onRelay(const StoreRelay &Relay, TimePoint Now) {
  if (m_reading)
    return std::nullopt;
  switch (fit(Relay)) {
  case RelayFit::OlderEra:
    return std::vector<StoreChange>();
  case RelayFit::Gap:
  case RelayFit::NewerEra:
    m_missed = std::max(m_missed, Relay.m_from);
    return std::nullopt;
  case RelayFit::Follows:
    break;
  }
  if (!isNewerThan(Relay))
    m_relayValidUntil = Now + RelayTimeout;
  return takeNew(Relay.m_changes, Relay.m_to);
}

} // namespace primroseworks::gateway
