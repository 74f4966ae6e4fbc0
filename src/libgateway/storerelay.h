// Relay of store changes from a coordinator to the gateways of its failure
// domain.
//
// Load pattern: models are moved all the time, each change wakes up every watch
// of the store, and hundreds of gateways watch it. Only the coordinators watch
// continuously and pass the changes on; a gateway watches itself while it
// receives no relays, or after it missed one. No I/O.
#ifndef PRIMROSEWORKS_LIBGATEWAY_STORERELAY_H
#define PRIMROSEWORKS_LIBGATEWAY_STORERELAY_H

#include "libgateway/schedulingmessage.h"
#include "libgateway/store.h"
#include "primroseworks/names.h"

#include <optional>
#include <string>
#include <vector>

namespace primroseworks::gateway {

/// Timeout of a coordinator's watch, and so the longest interval between two
/// relays while the store responds.
inline constexpr Milliseconds CoordinatorWatchTimeout{500};
/// A gateway watches the store itself when it got no relay for this long. The
/// rest of the time within which a change must be in effect is for its own
/// call.
inline constexpr Milliseconds RelayTimeout{1200};

/// Splits the changes after version From into relays that fit in datagrams. A
/// change that is too large is left out, so that the receivers notice a gap and
/// read it themselves.
/// The same holds for a change of the key Withheld, whose value must not be
/// sent to other VMs; empty: none.
std::vector<StoreRelay> makeRelays(const std::string &Sender,
                                   const StoreVersion &From,
                                   const StoreChanges &Changes,
                                   const std::string &Withheld = "");

/// How a relay fits to the receiver's copy of the store.
enum class RelayFit {
  Follows,  ///< It continues or confirms the copy.
  Gap,      ///< Changes between them are missing, or the copy is being read.
  OlderEra, ///< The store came back after it; the copy is from after that.
  NewerEra  ///< The store came back before it; the copy is from before that.
};
inline constexpr NameTable<RelayFit, 4> RelayFitNames = {
    {{RelayFit::Follows, "follows"},
     {RelayFit::Gap, "gap"},
     {RelayFit::OlderEra, "older_era"},
     {RelayFit::NewerEra, "newer_era"}}};

/// Version of a gateway's copy of the store, which its own watch and relays
/// advance. Its era changes with a complete read only.
class StoreFollower {
public:
  /// The copy is being read again: relays are ignored until onRead().
  void onReadStarted() { m_reading = true; }
  /// The copy is complete up to Version.
  void onRead(const StoreVersion &Version);
  /// Returns the new ones of the changes that the gateway's own watch returned;
  /// nothing if they are of another era, so that the store must be read again.
  std::optional<std::vector<StoreChange>>
  onWatched(const StoreChanges &Changes);
  RelayFit fit(const StoreRelay &Relay) const;
  /// Whether the copy is newer than what a relay confirms, as after a pause of
  /// its sender.
  bool isNewerThan(const StoreRelay &Relay) const {
    return m_version > Relay.m_to;
  }
  /// Returns the new changes of a relay; nothing if changes before them are
  /// missing or it is of a newer era, so that the store must be asked. A relay
  /// of an older era has no new changes and does not keep the copy up to date.
  std::optional<std::vector<StoreChange>> onRelay(const StoreRelay &Relay,
                                                  TimePoint Now);
  const StoreVersion &version() const { return m_version; }
  /// Whether relays keep the copy up to date.
  bool followsRelay(TimePoint Now) const {
    return !m_reading && !missesChanges() && Now < m_relayValidUntil;
  }
  /// Whether a relay showed changes after version() that are not here yet.
  bool missesChanges() const { return m_version < m_missed; }
  TimePoint relayValidUntil() const { return m_relayValidUntil; }

private:
  std::vector<StoreChange> takeNew(const std::vector<StoreChange> &Changes,
                                   const StoreVersion &To);
  void onAnswered(const StoreVersion &Version);

  StoreVersion m_version;
  bool m_reading = true;
  /// A relay showed that there are changes up to this version.
  StoreVersion m_missed;
  TimePoint m_relayValidUntil{};
};

} // namespace primroseworks::gateway

#endif
