// What a member publishes: its row, and its region's summary while it is the
// writer.
#include "libgossip/gossip_pvt.h"

#include <xxhash.h>

namespace primroseworks::pvt {
namespace {

/// Urgent news waits up to this long, different for each link, so that two
/// members seldom send each other the same news.
constexpr Milliseconds UrgentSpread{200};

/// The next member writes the region's summary when the writer made no progress
/// for this long. With the summary's interval of 3 s and a second on the way,
/// the other regions then see progress within the 10 s of an alive member.
constexpr Seconds WriterProgress{5};

/// Time between the first two summaries of a new writer; longer than the spread
/// of urgent news, so that the second one arrives as a change of the first.
constexpr Milliseconds FirstSummaries{500};

/// Every so many summaries carry the models; the others only show progress.
constexpr unsigned SummariesPerModels = 2;

std::uint64_t rank(const std::string &Member, const std::string &Role) {
  const std::string Text = Member + '/' + Role;
  return XXH3_64bits(Text.data(), Text.size());
}

} // namespace

Duration GossipImpl::summaryInterval() const {
  return m_summariesWritten < 2
             ? std::min(FirstSummaries, m_options.m_summaryInterval)
             : m_options.m_summaryInterval;
}

void GossipImpl::setMembers(const std::vector<GossipMember> &Members,
                            TimePoint Now) {
  m_regionOf.clear();
  std::vector<std::pair<std::uint64_t, std::string>> Ranked;
  const std::string Role = "summary/" + m_options.m_region;
  for (const GossipMember &Member : Members) {
    m_regionOf[Member.m_name] = Member.m_region;
    if (Member.m_region == m_options.m_region)
      Ranked.emplace_back(rank(Member.m_name, Role), Member.m_name);
  }
  std::sort(Ranked.begin(), Ranked.end(), std::greater<>());
  m_writers.clear();
  for (auto &[Rank, Name] : Ranked)
    m_writers.push_back(std::move(Name));
  tick(Now);
}

void GossipImpl::setEndpoints(const std::vector<EndpointSummary> &Endpoints,
                              TimePoint Now) {
  bool StateChanged = false;
  for (std::size_t I = 0; I < Endpoints.size() && I < m_endpoints.size(); ++I)
    StateChanged |= Endpoints[I].m_endpoint == m_endpoints[I].m_endpoint &&
                    Endpoints[I].m_state != m_endpoints[I].m_state;
  m_endpoints = Endpoints;
  if (StateChanged)
    m_published = TimePoint(); // A leaving endpoint is told at once.
  tick(Now);
}

Duration GossipImpl::spread(Duration Length) {
  std::uniform_real_distribution<double> Part(0, 1);
  return fromSeconds(toSeconds(Length) * Part(m_random));
}

void GossipImpl::hurry(TimePoint Now) {
  for (auto &[Peer, Link] : m_links)
    Link.m_due = std::min(Link.m_due, Now + spread(UrgentSpread));
}

void GossipImpl::tick(TimePoint Now) {
  if (Now < m_lastTick + Milliseconds(100) && m_published != TimePoint())
    return;
  m_lastTick = Now;
  if (m_started == TimePoint())
    m_started = Now;
  publishOwn(Now);
  if (writesSummary(Now) &&
      (Now - m_summaryPublished >= summaryInterval() || memberStopped(Now)))
    publishSummary(Now);
  if (Now - m_lastForget >= Seconds(1))
    forgetOld(Now);
}

void GossipImpl::publishOwn(TimePoint Now) {
  if (m_published != TimePoint() && Now - m_published < interval())
    return;
  const Duration Heartbeat =
      m_writers.size() <= FullMeshMembers
          ? std::min(m_options.m_heartbeatFew, m_options.m_heartbeat)
          : m_options.m_heartbeat;
  const bool Force =
      m_published == TimePoint() || Now - m_published >= Heartbeat;
  const Applied Done = own().publish(m_endpoints, m_configRevision, Force);
  if (Done == Applied::Old)
    return;
  m_published = Now;
  own().m_row.m_progressed = Now;
  m_view[m_options.m_member] = own().m_row;
  if (Done == Applied::Urgent)
    hurry(Now);
}

bool GossipImpl::writesSummary(TimePoint Now) const {
  if (Now - m_started < WriterProgress)
    return false; // The other rows are not known yet.
  for (const std::string &Name : m_writers) {
    if (Name == m_options.m_member)
      return true;
    auto Row = m_view.find(Name);
    if (Row != m_view.end() && Now - Row->second.m_progressed < WriterProgress)
      return false;
  }
  return false;
}

/// True if a member that the last summary named makes no progress any more.
bool GossipImpl::memberStopped(TimePoint Now) const {
  auto Own = m_summaries.find(m_options.m_incarnation);
  if (Own == m_summaries.end())
    return false;
  for (const auto &[Incarnation, Name] : Own->second.m_summary.m_members) {
    auto Row = m_rows.find(Incarnation);
    if (Incarnation != m_options.m_incarnation &&
        (Row == m_rows.end() ||
         Now - Row->second.m_row.m_progressed > AliveProgress))
      return true;
  }
  return false;
}

void GossipImpl::publishSummary(TimePoint Now) {
  m_summaryPublished = Now;
  std::map<std::uint64_t, std::string> Members;
  for (const auto &[Incarnation, Row] : m_rows)
    if (Now - Row.m_row.m_progressed <= AliveProgress)
      Members[Incarnation] = Row.m_row.m_member;
  VersionedSummary &Summary = m_summaries[m_options.m_incarnation];
  Summary.m_summary.m_region = m_options.m_region;
  Summary.m_summary.m_writer = m_options.m_incarnation;
  if (m_summariesWritten++ % SummariesPerModels == 0)
    Summary.publish(regionModels(Members), Members);
  else
    Summary.publish(Summary.m_summary.m_models, Members);
  Summary.m_summary.m_progressed = Now;
  hurry(Now);
}

/// Capacity by model over the endpoints of Members.
std::map<std::string, RegionModel> GossipImpl::regionModels(
    const std::map<std::uint64_t, std::string> &Members) const {
  std::map<std::string, RegionModel> Models;
  for (const auto &[Incarnation, Name] : Members) {
    const VersionedRow &Row = m_rows.at(Incarnation);
    for (const EndpointSummary &Endpoint : Row.m_row.m_endpoints) {
      if (Endpoint.m_state != SummaryState::Live)
        continue;
      for (const std::string &Name : Endpoint.m_models) {
        RegionModel &Model = Models[Name];
        ++Model.m_replicas;
        Model.m_freeSlots += Endpoint.m_freeSlots;
        Model.m_loadBucket += Endpoint.m_loadBucket;
      }
    }
  }
  for (auto &[Name, Model] : Models)
    Model.m_loadBucket /= Model.m_replicas;
  return Models;
}

void GossipImpl::forgetOld(TimePoint Now) {
  m_lastForget = Now;
  for (auto It = m_rows.begin(); It != m_rows.end();) {
    const GossipRow &Row = It->second.m_row;
    if (It->first == m_options.m_incarnation ||
        m_regionOf.count(Row.m_member) != 0 ||
        Now - Row.m_progressed < m_options.m_forget) {
      ++It;
      continue;
    }
    auto View = m_view.find(Row.m_member);
    if (View != m_view.end() && View->second.m_incarnation == It->first)
      m_view.erase(View);
    It = m_rows.erase(It);
  }
  for (auto It = m_summaries.begin(); It != m_summaries.end();) {
    const RegionCapacity &Summary = It->second.m_summary;
    const auto Shown = m_regions.find(Summary.m_region);
    // The last summary of a region that is cut off stays in view.
    const bool Kept = (Shown != m_regions.end() &&
                       Shown->second.m_writer == Summary.m_writer) ||
                      It->first == m_options.m_incarnation ||
                      Now - Summary.m_progressed < m_options.m_forget;
    It = Kept ? std::next(It) : m_summaries.erase(It);
  }
}

} // namespace primroseworks::pvt
