// Deltas of rows and summaries.
#include "libgossip/row_pvt.h"

#include <algorithm>

namespace primroseworks {
namespace {

/// Most endpoints of a row and models of a summary; a faulty peer must not make
/// this daemon reserve memory.
constexpr unsigned MaxRowEndpoints = 4096;
constexpr unsigned MaxSummaryModels = 8192;

/// Steps of free slots are 0, 1, 2, 3-4, 5-8, ..
unsigned stepIndex(unsigned FreeSlots) {
  unsigned Index = 0;
  for (unsigned Upper = 1; FreeSlots != 0; Upper *= 2) {
    ++Index;
    if (FreeSlots <= Upper)
      break;
  }
  return Index;
}

unsigned stepLowerEnd(unsigned Index) {
  if (Index < 2)
    return Index;
  return (1U << std::min(Index - 2, 30U)) + 1;
}

constexpr unsigned LoadBuckets = 16;

unsigned distance(unsigned A, unsigned B) { return A > B ? A - B : B - A; }

} // namespace

unsigned loadBucketOf(unsigned Running, unsigned Queued, unsigned MaxBatch) {
  if (MaxBatch == 0)
    return LoadBuckets - 1;
  const std::uint64_t Work = std::uint64_t(Running) + Queued;
  return static_cast<unsigned>(std::min<std::uint64_t>(
      LoadBuckets - 1,
      (Work * (LoadBuckets - 1)) / (2 * std::uint64_t(MaxBatch))));
}

unsigned freeSlotStep(unsigned FreeSlots) {
  return stepLowerEnd(stepIndex(FreeSlots));
}

namespace pvt {

unsigned loadCode(unsigned LoadBucket, unsigned FreeSlots) {
  return stepIndex(FreeSlots) * LoadBuckets +
         std::min(LoadBucket, LoadBuckets - 1);
}

unsigned loadBucketOfCode(unsigned Code) { return Code % LoadBuckets; }

unsigned freeSlotsOfCode(unsigned Code) {
  return stepLowerEnd(Code / LoadBuckets);
}

bool loadDiffers(unsigned Told, unsigned Next, unsigned Tolerance) {
  const unsigned ToldBucket = Told % LoadBuckets;
  const unsigned NextBucket = Next % LoadBuckets;
  const unsigned ToldStep = Told / LoadBuckets;
  const unsigned NextStep = Next / LoadBuckets;
  // Whether there is room at all is always told.
  if ((ToldStep == 0) != (NextStep == 0) ||
      (ToldBucket == LoadBuckets - 1) != (NextBucket == LoadBuckets - 1) ||
      (ToldBucket == 0) != (NextBucket == 0))
    return true;
  return distance(ToldBucket, NextBucket) > Tolerance ||
         distance(ToldStep, NextStep) > Tolerance;
}

// --- Rows --------------------------------------------------------------------

RowDelta VersionedRow::deltaFrom(std::uint64_t Base) const {
  RowDelta Out;
  Out.m_incarnation = m_row.m_incarnation;
  Out.m_version = m_row.m_version;
  Out.m_base = Base;
  if (m_configChanged > Base)
    Out.m_configRevision = m_row.m_configRevision;
  if (m_identityChanged > Base) {
    Out.m_hasIdentity = true;
    Out.m_identity = {m_row.m_member, m_row.m_region, m_row.m_failureDomain,
                      m_row.m_programVersion};
  }
  if (m_countChanged > Base) {
    Out.m_hasCount = true;
    Out.m_endpointCount = static_cast<unsigned>(m_row.m_endpoints.size());
  }
  for (unsigned I = 0; I < m_row.m_endpoints.size(); ++I) {
    const EndpointSummary &Endpoint = m_row.m_endpoints[I];
    if (m_stamps[I].m_detail > Base)
      Out.m_details.push_back({I, Endpoint.m_endpoint,
                               static_cast<unsigned>(Endpoint.m_state),
                               Endpoint.m_models});
    if (m_stamps[I].m_load > Base)
      Out.m_loads.emplace_back(
          I, loadCode(Endpoint.m_loadBucket, Endpoint.m_freeSlots));
  }
  return Out;
}

bool VersionedRow::fits(const RowDelta &Delta) const {
  const std::size_t Count =
      Delta.m_hasCount ? Delta.m_endpointCount : m_row.m_endpoints.size();
  if (Count > MaxRowEndpoints)
    return false;
  if (Delta.m_base == 0 && !(Delta.m_hasIdentity && Delta.m_hasCount))
    return false;
  for (const EndpointDetail &Detail : Delta.m_details)
    if (Detail.m_index >= Count)
      return false;
  for (const auto &[Index, Code] : Delta.m_loads)
    if (Index >= Count)
      return false;
  return true;
}

/// Returns true if the state of an endpoint that was known changed.
bool VersionedRow::applyDetails(const RowDelta &Delta) {
  bool StateChanged = false;
  for (const EndpointDetail &Detail : Delta.m_details) {
    EndpointSummary &Endpoint = m_row.m_endpoints[Detail.m_index];
    const auto State = Detail.m_state < SummaryStateNames.size()
                           ? static_cast<SummaryState>(Detail.m_state)
                           : SummaryState::Down;
    StateChanged |=
        Endpoint.m_endpoint == Detail.m_endpoint && Endpoint.m_state != State;
    Endpoint.m_endpoint = Detail.m_endpoint;
    Endpoint.m_state = State;
    Endpoint.m_models = Detail.m_models;
    m_stamps[Detail.m_index].m_detail = Delta.m_version;
  }
  for (const auto &[Index, Code] : Delta.m_loads) {
    m_row.m_endpoints[Index].m_loadBucket = loadBucketOfCode(Code);
    m_row.m_endpoints[Index].m_freeSlots = freeSlotsOfCode(Code);
    m_stamps[Index].m_load = Delta.m_version;
  }
  return StateChanged;
}

Applied VersionedRow::apply(const RowDelta &Delta) {
  if (Delta.m_version <= m_row.m_version)
    return Applied::Old;
  if (Delta.m_base > m_row.m_version || !fits(Delta))
    return Applied::Missing;
  m_row.m_incarnation = Delta.m_incarnation;
  m_row.m_version = Delta.m_version;
  if (Delta.m_hasIdentity) {
    m_row.m_member = Delta.m_identity.m_member;
    m_row.m_region = Delta.m_identity.m_region;
    m_row.m_failureDomain = Delta.m_identity.m_failureDomain;
    m_row.m_programVersion = Delta.m_identity.m_programVersion;
    m_identityChanged = Delta.m_version;
  }
  if (Delta.m_configRevision != 0) {
    m_row.m_configRevision = Delta.m_configRevision;
    m_configChanged = Delta.m_version;
  }
  if (Delta.m_hasCount) {
    m_row.m_endpoints.resize(Delta.m_endpointCount);
    m_stamps.resize(Delta.m_endpointCount);
    m_countChanged = Delta.m_version;
  }
  return applyDetails(Delta) ? Applied::Urgent : Applied::Changed;
}

Applied VersionedRow::publish(const std::vector<EndpointSummary> &Endpoints,
                              std::uint64_t ConfigRevision, bool Force) {
  RowDelta Delta;
  Delta.m_incarnation = m_row.m_incarnation;
  Delta.m_version = m_row.m_version + 1;
  Delta.m_base = m_row.m_version;
  const std::vector<EndpointSummary> &Old = m_row.m_endpoints;
  if (Old.size() != Endpoints.size() || m_row.m_version == 0) {
    Delta.m_hasCount = true;
    Delta.m_endpointCount = static_cast<unsigned>(Endpoints.size());
  }
  for (unsigned I = 0; I < Endpoints.size(); ++I) {
    const EndpointSummary &Next = Endpoints[I];
    const bool Added = I >= Old.size();
    if (Added || Old[I].m_endpoint != Next.m_endpoint ||
        Old[I].m_state != Next.m_state || Old[I].m_models != Next.m_models)
      Delta.m_details.push_back({I, Next.m_endpoint,
                                 static_cast<unsigned>(Next.m_state),
                                 Next.m_models});
    const unsigned Code = loadCode(Next.m_loadBucket, Next.m_freeSlots);
    if (Added || loadDiffers(loadCode(Old[I].m_loadBucket, Old[I].m_freeSlots),
                             Code, RowTolerance))
      Delta.m_loads.emplace_back(I, Code);
  }
  const bool Differs =
      Delta.m_hasCount || !Delta.m_details.empty() || !Delta.m_loads.empty();
  if (!Differs && !Force)
    return Applied::Old;
  if (ConfigRevision != m_row.m_configRevision)
    Delta.m_configRevision = ConfigRevision;
  if (m_row.m_version == 0) {
    Delta.m_hasIdentity = true;
    Delta.m_identity = {m_row.m_member, m_row.m_region, m_row.m_failureDomain,
                        m_row.m_programVersion};
  }
  return apply(Delta);
}

// --- Summaries ---------------------------------------------------------------

SummaryDelta VersionedSummary::deltaFrom(std::uint64_t Base) const {
  // What ended before the whole summary arrived is not known here.
  if (Base < m_whole)
    Base = 0;
  SummaryDelta Out;
  Out.m_incarnation = m_summary.m_writer;
  Out.m_version = m_summary.m_version;
  Out.m_base = Base;
  if (Base == 0)
    Out.m_region = m_summary.m_region;
  for (unsigned I = 0; I < m_slots.size(); ++I) {
    const Slot &Model = m_slots[I];
    if (Model.m_changed > Base)
      Out.m_models.push_back({Model.m_nameChanged > Base ? Model.m_model : "",
                              I, Model.m_replicas, Model.m_loadCode});
  }
  for (const auto &[Incarnation, Member] : m_members) {
    if (Member.m_changed <= Base)
      continue;
    if (Member.m_alive)
      Out.m_joined.emplace_back(Incarnation, Member.m_name);
    else if (Base != 0)
      Out.m_left.push_back(Incarnation);
  }
  return Out;
}

void VersionedSummary::set(unsigned Position, const std::string &Model,
                           unsigned Replicas, unsigned Code,
                           std::uint64_t Version) {
  if (Position >= m_slots.size())
    m_slots.resize(Position + 1);
  Slot &Target = m_slots[Position];
  if (!Model.empty() && Target.m_model != Model) {
    Target.m_model = Model;
    Target.m_nameChanged = Version;
    m_positions[Model] = Position;
  }
  Target.m_replicas = Replicas;
  Target.m_loadCode = Code;
  Target.m_changed = Version;
}

/// A whole summary follows: what it does not name has ended. The ends keep
/// their entries, so that they are passed on in deltas.
void VersionedSummary::endAll(std::uint64_t Version) {
  for (Slot &Known : m_slots) {
    Known.m_replicas = 0;
    Known.m_changed = Version;
  }
  for (auto &[Incarnation, Member] : m_members) {
    Member.m_alive = false;
    Member.m_changed = Version;
  }
}

Applied VersionedSummary::apply(const SummaryDelta &Delta) {
  if (Delta.m_version <= m_summary.m_version)
    return Applied::Old;
  if (Delta.m_base > m_summary.m_version ||
      (Delta.m_base == 0 && Delta.m_region.empty()))
    return Applied::Missing;
  for (const ModelSummary &Model : Delta.m_models)
    if (Model.m_index >= MaxSummaryModels ||
        (Model.m_model.empty() && Model.m_index >= m_slots.size()))
      return Applied::Missing;
  m_summary.m_writer = Delta.m_incarnation;
  m_summary.m_version = Delta.m_version;
  if (!Delta.m_region.empty())
    m_summary.m_region = Delta.m_region;
  if (Delta.m_base == 0) {
    endAll(Delta.m_version);
    m_whole = Delta.m_version;
  }
  for (const ModelSummary &Model : Delta.m_models)
    set(Model.m_index, Model.m_model, Model.m_replicas, Model.m_loadCode,
        Delta.m_version);
  for (const auto &[Incarnation, Name] : Delta.m_joined)
    m_members[Incarnation] = {Name, Delta.m_version, true};
  for (const std::uint64_t Incarnation : Delta.m_left)
    m_members[Incarnation] = {"", Delta.m_version, false};
  rebuild();
  return Applied::Changed;
}

void VersionedSummary::publish(
    const std::map<std::string, RegionModel> &Models,
    const std::map<std::uint64_t, std::string> &Members) {
  const std::uint64_t Version = ++m_summary.m_version;
  for (const auto &[Name, Model] : Models) {
    const auto Found = m_positions.find(Name);
    const unsigned Position = Found != m_positions.end()
                                  ? Found->second
                                  : static_cast<unsigned>(m_slots.size());
    const unsigned Code = loadCode(Model.m_loadBucket, Model.m_freeSlots);
    if (Found == m_positions.end() ||
        m_slots[Position].m_replicas != Model.m_replicas ||
        loadDiffers(m_slots[Position].m_loadCode, Code, SummaryTolerance))
      set(Position, Name, Model.m_replicas, Code, Version);
  }
  for (Slot &Known : m_slots)
    if (Known.m_replicas != 0 && Models.count(Known.m_model) == 0) {
      Known.m_replicas = 0;
      Known.m_changed = Version;
    }
  for (const auto &[Incarnation, Name] : Members)
    if (auto It = m_members.find(Incarnation);
        It == m_members.end() || !It->second.m_alive)
      m_members[Incarnation] = {Name, Version, true};
  for (auto &[Incarnation, Member] : m_members)
    if (Member.m_alive && Members.count(Incarnation) == 0) {
      Member.m_alive = false;
      Member.m_changed = Version;
    }
  rebuild();
}

void VersionedSummary::rebuild() {
  m_summary.m_models.clear();
  for (const Slot &Model : m_slots)
    if (Model.m_replicas != 0)
      m_summary.m_models[Model.m_model] = {Model.m_replicas,
                                           freeSlotsOfCode(Model.m_loadCode),
                                           loadBucketOfCode(Model.m_loadCode)};
  m_summary.m_members.clear();
  for (const auto &[Incarnation, Member] : m_members)
    if (Member.m_alive)
      m_summary.m_members[Incarnation] = Member.m_name;
}

} // namespace pvt
} // namespace primroseworks
