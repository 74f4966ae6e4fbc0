// Exchange of strikes and clearances between gateways.
#include "libgateway/suspectexchange.h"
#include "libgateway/log.h"

namespace primroseworks::gateway {

namespace {

PeerPartStrike encode(const PartStrike &S, TimePoint Now) {
  const Duration Age = S.m_crash == 0
                           ? Duration::zero()
                           : std::max(Duration::zero(), Now - S.m_brokenAt);
  return {S.m_part, S.m_crash, S.m_request,
          std::chrono::duration_cast<Milliseconds>(Age)};
}

void logPartCleared(std::uint64_t Part, std::string_view By) {
  decisionlog::line(LogClass::Failure, "part_cleared")
      .hex("part", Part)
      .text("by", By);
}

PartStrike decode(const PeerPartStrike &S, TimePoint Now) {
  return {S.m_part, S.m_crash, S.m_request, Now - S.m_age};
}

} // namespace

void SuspectExchange::collect(TimePoint Now) {
  m_own.dropOld(Now);
  m_ownParts.dropOld(Now);
  for (const auto &[Fingerprint, Crash] : m_core.m_suspects.take()) {
    if (Crash != 0) {
      m_own.dropClear(Fingerprint);
      m_peers.dropClear(Fingerprint);
    }
    m_own.add({Fingerprint, Crash}, Now);
  }
  for (const PartStrike &S : m_core.m_suspects.parts().take()) {
    if (S.m_crash != 0) {
      m_ownParts.dropClear(S.m_part);
      m_peersParts.dropClear(S.m_part);
    }
    m_ownParts.add(S, Now);
  }
}

void SuspectExchange::addOwn(PeerReport &Report, TimePoint Now) const {
  m_own.visit([&](const PeerStrike &S) { Report.m_strikes.push_back(S); });
  m_ownParts.visit([&](const PartStrike &S) {
    Report.m_partStrikes.push_back(encode(S, Now));
  });
}

void SuspectExchange::addPeers(PeerReport &Report, TimePoint Now) {
  m_peers.dropOld(Now);
  m_peersParts.dropOld(Now);
  m_peers.visit([&](const PeerStrike &S) { Report.m_strikes.push_back(S); });
  m_peersParts.visit([&](const PartStrike &S) {
    Report.m_partStrikes.push_back(encode(S, Now));
  });
}

bool SuspectExchange::addRepeats(PeerReport &Report, TimePoint Now) {
  if (Now - m_repeatedAt < SuspectRepeatInterval)
    return false;
  m_repeatedAt = Now;
  for (const auto &[Fingerprint, Crash] : m_core.m_suspects.repeats(Now))
    if (Report.m_strikes.size() < RecentStrikesMax)
      Report.m_strikes.push_back({Fingerprint, Crash});
  for (const PartStrike &S : m_core.m_suspects.parts().repeats(Now))
    if (Report.m_partStrikes.size() < RecentStrikesMax)
      Report.m_partStrikes.push_back(encode(S, Now));
  return !Report.m_strikes.empty() || !Report.m_partStrikes.empty();
}

void SuspectExchange::addAll(PeerReport &Report, TimePoint Now) {
  for (const auto &[Fingerprint, Crash] : m_core.m_suspects.all(Now))
    if (Report.m_strikes.size() < RecentStrikesMax)
      Report.m_strikes.push_back({Fingerprint, Crash});
  for (const PartStrike &S : m_core.m_suspects.parts().all(Now))
    if (Report.m_partStrikes.size() < RecentStrikesMax)
      Report.m_partStrikes.push_back(encode(S, Now));
}

/// Returns whether the strike or clearance was new.
bool SuspectExchange::applyStrike(const PeerStrike &S, bool PassOn,
                                  TimePoint Now) {
  const unsigned Before = m_core.m_suspects.strikes(S.m_fingerprint, Now);
  const unsigned After =
      m_core.m_suspects.addFromPeer(S.m_fingerprint, S.m_crash, Now);
  if (After > Before) {
    m_own.dropClear(S.m_fingerprint);
    m_peers.dropClear(S.m_fingerprint);
    if (m_core.m_suspects.refused(S.m_fingerprint, Now))
      m_core.notifyRefusal(Now);
  }
  if (PassOn)
    m_peers.add(S, Now);
  return After != Before;
}

bool SuspectExchange::applyStrike(const PartStrike &S, bool PassOn,
                                  TimePoint Now) {
  PartSuspects &Parts = m_core.m_suspects.parts();
  const bool New = Parts.addFromPeer(S, Now);
  if (New && S.m_crash != 0) {
    m_ownParts.dropClear(S.m_part);
    m_peersParts.dropClear(S.m_part);
    if (Parts.refused(S.m_part, Now))
      m_core.notifyRefusal(Now);
  } else if (New) {
    m_ownParts.dropStrikes(S.m_part);
    m_peersParts.dropStrikes(S.m_part);
    logPartCleared(S.m_part, "peer");
  }
  if (PassOn)
    m_peersParts.add(S, Now);
  return New;
}

void SuspectExchange::apply(const PeerReport &Report, bool PassOn,
                            PeerReport &News, TimePoint Now) {
  for (const PeerStrike &S : Report.m_strikes)
    if (applyStrike(S, PassOn, Now))
      News.m_strikes.push_back(S);
  for (const PeerPartStrike &S : Report.m_partStrikes)
    if (applyStrike(decode(S, Now), PassOn, Now))
      News.m_partStrikes.push_back(S);
}

} // namespace primroseworks::gateway
