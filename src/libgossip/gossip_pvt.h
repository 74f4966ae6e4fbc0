// One daemon's gossip state: rows, summaries, links. Publishing is in
// gossippublish.cpp, the exchange with peers in gossip.cpp.
#ifndef PRIMROSEWORKS_GOSSIP_PVT_H
#define PRIMROSEWORKS_GOSSIP_PVT_H

#include "libgossip/row_pvt.h"

#include <algorithm>
#include <random>
#include <set>

namespace primroseworks::pvt {

/// A member counts as alive in a summary while its row progressed within this:
/// two heartbeats and a part of a link's interval. Other regions take the
/// summary as the member's heartbeat, so that a longer time delays its end.
inline constexpr Seconds AliveProgress{6};

using Versions = std::map<std::uint64_t, std::uint64_t>;

/// One link. Invariant: a cursor is at most the version that the peer has or
/// that is on its way over this connection.
struct LinkState {
  TimePoint m_up;
  TimePoint m_due;
  bool m_digestSent = false;
  bool m_digestReceived = false;
  std::uint64_t m_toldRevision = 0;
  Versions m_rows; ///< Cursors, by incarnation.
  Versions m_summaries;
  std::set<std::uint64_t> m_wantRows;
  std::set<std::uint64_t> m_wantSummaries;
};

class GossipImpl final : public Gossip {
public:
  explicit GossipImpl(GossipOptions Options)
      : m_options(std::move(Options)), m_random(m_options.m_seed) {
    GossipRow &Row = own().m_row;
    Row.m_member = m_options.m_member;
    Row.m_incarnation = m_options.m_incarnation;
    Row.m_region = m_options.m_region;
    Row.m_failureDomain = m_options.m_failureDomain;
    Row.m_programVersion = m_options.m_programVersion;
  }

  void setMembers(const std::vector<GossipMember> &Members,
                  TimePoint Now) override;
  void setEndpoints(const std::vector<EndpointSummary> &Endpoints,
                    TimePoint Now) override;
  void setConfigRevision(std::uint64_t Revision) override {
    m_configRevision = std::max(m_configRevision, Revision);
  }
  void linkUp(const std::string &Peer, TimePoint Now) override;
  void linkDown(const std::string &Peer) override { m_links.erase(Peer); }
  void receive(const std::string &Peer, const GossipMessage &Received,
               TimePoint Now) override;
  std::optional<GossipMessage> nextMessage(const std::string &Peer,
                                           TimePoint Now) override;
  const std::map<std::string, GossipRow> &rows() const override {
    return m_view;
  }
  const std::map<std::string, RegionCapacity> &summaries() const override {
    return m_regions;
  }
  std::pair<std::uint64_t, std::string> configHint() const override {
    return {m_hintRevision, m_hintPeer};
  }
  std::vector<std::pair<std::string, std::uint64_t>> takeProgress() override {
    return std::exchange(m_progress, {});
  }

private:
  VersionedRow &own() { return m_rows[m_options.m_incarnation]; }
  Duration interval() const {
    return std::max<Duration>(m_options.m_interval,
                              m_options.m_intervalPerMember *
                                  static_cast<int>(m_writers.size()));
  }
  /// A new writer shows soon that it goes on.
  Duration summaryInterval() const;
  bool sameRegion(const std::string &Peer) const {
    auto It = m_regionOf.find(Peer);
    return It != m_regionOf.end() && It->second == m_options.m_region;
  }

  void tick(TimePoint Now);
  void publishOwn(TimePoint Now);
  bool writesSummary(TimePoint Now) const;
  bool memberStopped(TimePoint Now) const;
  void publishSummary(TimePoint Now);
  std::map<std::string, RegionModel>
  regionModels(const std::map<std::uint64_t, std::string> &Members) const;
  void forgetOld(TimePoint Now);
  void hurry(TimePoint Now);
  Duration spread(Duration Length);
  void applyRow(LinkState &Link, const RowDelta &Delta, TimePoint Now);
  void applySummary(LinkState &Link, const SummaryDelta &Delta, TimePoint Now);
  bool supersedes(const RowDelta &Delta) const;
  void show(VersionedRow &Row, bool Whole, TimePoint Now);
  void takeDigest(LinkState &Link, const GossipMessage &Received);
  GossipMessage digest(bool Inside) const;
  GossipMessage news(LinkState &Link, bool Inside);
  void addRows(LinkState &Link, GossipMessage &Out);
  void addSummaries(LinkState &Link, bool Inside, GossipMessage &Out);

  const GossipOptions m_options;
  std::mt19937_64 m_random;
  std::map<std::string, std::string> m_regionOf; ///< Members by name.
  /// Members of the region in the order in which they write its summary.
  std::vector<std::string> m_writers;
  unsigned m_summariesWritten = 0;
  TimePoint m_started;

  std::map<std::uint64_t, VersionedRow> m_rows;          ///< By incarnation.
  std::map<std::uint64_t, VersionedSummary> m_summaries; ///< By writer.
  /// What readers see: the newest incarnation of each member, and the summary
  /// of each region that progressed last.
  std::map<std::string, GossipRow> m_view;
  std::map<std::string, RegionCapacity> m_regions;

  std::map<std::string, LinkState> m_links;
  std::vector<EndpointSummary> m_endpoints;
  TimePoint m_published;
  TimePoint m_summaryPublished;
  TimePoint m_lastTick;
  TimePoint m_lastForget;
  std::uint64_t m_configRevision = 0;
  std::uint64_t m_hintRevision = 0;
  std::string m_hintPeer;
  std::vector<std::pair<std::string, std::uint64_t>> m_progress;
};

} // namespace primroseworks::pvt

#endif
