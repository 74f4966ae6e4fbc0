// What a member receives and sends: deltas, cursors and the pace of messages.
#include "libgossip/gossip_pvt.h"

namespace primroseworks {
namespace pvt {
namespace {

/// A peer that sends no digest after this time gets whole rows.
constexpr Milliseconds DigestTimeout{2000};

/// While the digest is awaited, the link is looked at this often.
constexpr Milliseconds DigestPoll{100};

std::uint64_t cursor(const Versions &Cursors, std::uint64_t Incarnation) {
  auto It = Cursors.find(Incarnation);
  return It == Cursors.end() ? 0 : It->second;
}

void raise(Versions &Cursors, std::uint64_t Incarnation,
           std::uint64_t Version) {
  std::uint64_t &Cursor = Cursors[Incarnation];
  Cursor = std::max(Cursor, Version);
}

} // namespace

void GossipImpl::linkUp(const std::string &Peer, TimePoint Now) {
  LinkState &Link = m_links[Peer];
  Link = LinkState();
  Link.m_up = Now;
  Link.m_due = Now;
}

// --- Receiving ---------------------------------------------------------------

void GossipImpl::receive(const std::string &Peer, const GossipMessage &Received,
                         TimePoint Now) {
  if (m_links.count(Peer) == 0)
    linkUp(Peer, Now);
  LinkState &Link = m_links[Peer];
  if (Received.m_configRevision > m_hintRevision) {
    m_hintRevision = Received.m_configRevision;
    m_hintPeer = Peer;
  }
  Link.m_toldRevision =
      std::max(Link.m_toldRevision, Received.m_configRevision);
  if (Received.m_isDigest)
    takeDigest(Link, Received);
  for (const std::uint64_t Incarnation : Received.m_wantRows)
    Link.m_rows[Incarnation] = 0;
  for (const std::uint64_t Incarnation : Received.m_wantSummaries)
    Link.m_summaries[Incarnation] = 0;
  for (const RowDelta &Delta : Received.m_rows)
    applyRow(Link, Delta, Now);
  for (const SummaryDelta &Delta : Received.m_summaries)
    applySummary(Link, Delta, Now);
  tick(Now);
}

void GossipImpl::takeDigest(LinkState &Link, const GossipMessage &Received) {
  Link.m_digestReceived = true;
  for (const auto &[Incarnation, Version] : Received.m_rowVersions)
    raise(Link.m_rows, Incarnation, Version);
  for (const auto &[Incarnation, Version] : Received.m_summaryVersions)
    raise(Link.m_summaries, Incarnation, Version);
}

/// False if a newer incarnation of the same member is known.
bool GossipImpl::supersedes(const RowDelta &Delta) const {
  auto Known = m_rows.find(Delta.m_incarnation);
  const std::string &Member = Delta.m_hasIdentity || Known == m_rows.end()
                                  ? Delta.m_identity.m_member
                                  : Known->second.m_row.m_member;
  auto View = m_view.find(Member);
  return View == m_view.end() ||
         View->second.m_incarnation <= Delta.m_incarnation;
}

void GossipImpl::applyRow(LinkState &Link, const RowDelta &Delta,
                          TimePoint Now) {
  raise(Link.m_rows, Delta.m_incarnation, Delta.m_version);
  if (Delta.m_incarnation == m_options.m_incarnation || !supersedes(Delta))
    return;
  if (Delta.m_base != 0 && m_rows.count(Delta.m_incarnation) == 0) {
    Link.m_wantRows.insert(Delta.m_incarnation);
    return;
  }
  VersionedRow &Row = m_rows[Delta.m_incarnation];
  switch (Row.apply(Delta)) {
  case Applied::Old:
    break;
  case Applied::Missing:
    Link.m_wantRows.insert(Delta.m_incarnation);
    if (Row.m_row.m_version == 0)
      m_rows.erase(Delta.m_incarnation);
    break;
  case Applied::Urgent:
    hurry(Now);
    [[fallthrough]];
  case Applied::Changed:
    show(Row, Delta.m_base == 0, Now);
    break;
  }
}

/// A whole row is a copy that a link's start brought, of any age: it shows what
/// is there, but not that the member lives. Otherwise two members that forgot a
/// lost member at different times would revive it for each other for ever.
void GossipImpl::show(VersionedRow &Row, bool Whole, TimePoint Now) {
  GossipRow &Next = Row.m_row;
  Next.m_progressed = Whole ? Now - AliveProgress - Seconds(1) : Now;
  GossipRow &View = m_view[Next.m_member];
  if (View.m_incarnation != 0 && View.m_incarnation < Next.m_incarnation)
    m_rows.erase(View.m_incarnation);
  View = Next;
  if (!Whole)
    m_progress.emplace_back(View.m_member, View.m_incarnation);
}

void GossipImpl::applySummary(LinkState &Link, const SummaryDelta &Delta,
                              TimePoint Now) {
  raise(Link.m_summaries, Delta.m_incarnation, Delta.m_version);
  if (Delta.m_incarnation == m_options.m_incarnation)
    return;
  if (Delta.m_base != 0 && m_summaries.count(Delta.m_incarnation) == 0) {
    Link.m_wantSummaries.insert(Delta.m_incarnation);
    return;
  }
  VersionedSummary &Summary = m_summaries[Delta.m_incarnation];
  const Applied Done = Summary.apply(Delta);
  if (Done == Applied::Missing) {
    Link.m_wantSummaries.insert(Delta.m_incarnation);
    if (Summary.m_summary.m_version == 0)
      m_summaries.erase(Delta.m_incarnation);
  }
  if (Done != Applied::Changed)
    return;
  RegionCapacity &Next = Summary.m_summary;
  hurry(Now);
  auto Shown = m_regions.find(Next.m_region);
  const bool Whole = Delta.m_base == 0;
  Next.m_progressed = Now;
  if (Whole && Shown != m_regions.end() &&
      Shown->second.m_writer != Next.m_writer)
    return; // A copy of any age; the writer's next change shows that it lives.
  m_regions[Next.m_region] = Next;
  if (Whole)
    return;
  for (const auto &[Incarnation, Member] : Next.m_members)
    m_progress.emplace_back(Member, Incarnation);
}

// --- Sending -----------------------------------------------------------------

GossipMessage GossipImpl::digest(bool Inside) const {
  GossipMessage Out;
  Out.m_isDigest = true;
  if (Inside)
    for (const auto &[Incarnation, Row] : m_rows)
      Out.m_rowVersions.emplace_back(Incarnation, Row.m_row.m_version);
  for (const auto &[Writer, Summary] : m_summaries)
    Out.m_summaryVersions.emplace_back(Writer, Summary.m_summary.m_version);
  return Out;
}

void GossipImpl::addRows(LinkState &Link, GossipMessage &Out) {
  for (const auto &[Incarnation, Row] : m_rows) {
    const std::uint64_t Cursor = cursor(Link.m_rows, Incarnation);
    if (Row.m_row.m_version <= Cursor)
      continue;
    Out.m_rows.push_back(Row.deltaFrom(Cursor));
    Link.m_rows[Incarnation] = Row.m_row.m_version;
  }
}

// The writer tells its region's summary to the other regions; inside a region
// the summaries of the others are passed on.
void GossipImpl::addSummaries(LinkState &Link, bool Inside,
                              GossipMessage &Out) {
  for (const auto &[Writer, Summary] : m_summaries) {
    const bool Own = Writer == m_options.m_incarnation;
    const std::uint64_t Cursor = cursor(Link.m_summaries, Writer);
    if (Own == Inside || Summary.m_summary.m_version <= Cursor)
      continue;
    Out.m_summaries.push_back(Summary.deltaFrom(Cursor));
    Link.m_summaries[Writer] = Summary.m_summary.m_version;
  }
}

GossipMessage GossipImpl::news(LinkState &Link, bool Inside) {
  GossipMessage Out;
  if (Inside)
    addRows(Link, Out);
  addSummaries(Link, Inside, Out);
  Out.m_wantRows.assign(Link.m_wantRows.begin(), Link.m_wantRows.end());
  Out.m_wantSummaries.assign(Link.m_wantSummaries.begin(),
                             Link.m_wantSummaries.end());
  Link.m_wantRows.clear();
  Link.m_wantSummaries.clear();
  return Out;
}

namespace {

bool hasContent(const GossipMessage &Value) {
  return Value.m_isDigest || !Value.m_rows.empty() ||
         !Value.m_summaries.empty() || !Value.m_wantRows.empty() ||
         !Value.m_wantSummaries.empty();
}

} // namespace

std::optional<GossipMessage> GossipImpl::nextMessage(const std::string &Peer,
                                                     TimePoint Now) {
  tick(Now);
  auto It = m_links.find(Peer);
  if (It == m_links.end())
    return std::nullopt;
  LinkState &Link = It->second;
  const bool Due = Now >= Link.m_due;
  const bool NewRevision = m_configRevision > Link.m_toldRevision;
  if (!Due && !NewRevision)
    return std::nullopt;
  GossipMessage Out;
  if (!Link.m_digestSent)
    Out = digest(sameRegion(Peer));
  else if (Due && (Link.m_digestReceived || Now - Link.m_up >= DigestTimeout))
    Out = news(Link, sameRegion(Peer));
  Link.m_digestSent = true;
  if (Due)
    Link.m_due =
        Now + (Link.m_digestReceived ? interval() - spread(interval() / 8)
                                     : Duration(DigestPoll));
  if (!NewRevision && !hasContent(Out))
    return std::nullopt;
  Out.m_incarnation = m_options.m_incarnation;
  Out.m_configRevision = m_configRevision;
  Link.m_toldRevision = std::max(Link.m_toldRevision, m_configRevision);
  return Out;
}

} // namespace pvt

Result<std::unique_ptr<Gossip>> createGossip(GossipOptions Options) {
  if (Options.m_member.empty() || Options.m_region.empty() ||
      Options.m_incarnation == 0)
    return makeError(ErrorKind::InvalidArgument,
                     "gossip needs a member name, a region and an "
                     "incarnation; set them");
  if (Options.m_interval <= Milliseconds(0) ||
      Options.m_intervalPerMember < Milliseconds(0) ||
      Options.m_heartbeat <= Milliseconds(0) ||
      Options.m_summaryInterval <= Milliseconds(0))
    return makeError(ErrorKind::InvalidArgument,
                     "a gossip interval is not positive; set at least 1 ms");
  return std::unique_ptr<Gossip>(
      std::make_unique<pvt::GossipImpl>(std::move(Options)));
}

} // namespace primroseworks
