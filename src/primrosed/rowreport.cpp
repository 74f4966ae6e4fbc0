// What an owner's gossip row says about an endpoint, as a load report.
#include "primrosed/rowreport.h"

#include <algorithm>
#include <fmt/format.h>

namespace primroseworks {

std::uint64_t heldBytes(const LoadReport &Report) {
  std::uint64_t Sum = Report.m_kvTotalBytes;
  for (const ResidentArtifact &Held : Report.m_resident)
    Sum += Held.m_bytes;
  return Sum;
}

std::string gossipName(const Artifact &Held) {
  return fmt::format("{}/{}@{}", nameOf(ArtifactKindNames, Held.m_kind),
                     Held.m_name, Held.m_version);
}

std::optional<Artifact> gossipArtifact(const std::string &Name) {
  std::size_t Slash = Name.find('/');
  std::size_t At = Name.rfind('@');
  if (Slash == std::string::npos || At == std::string::npos || At < Slash)
    return std::nullopt;
  auto Kind = parseName(ArtifactKindNames, Name.substr(0, Slash));
  if (!Kind)
    return std::nullopt;
  return Artifact{*Kind, Name.substr(Slash + 1, At - Slash - 1),
                  Name.substr(At + 1)};
}

std::map<std::string, EndpointSummary>
remoteRows(const RegionCapacity &Region) {
  std::map<std::string, EndpointSummary> Out;
  for (const auto &[Name, Endpoint] : Region.m_endpoints) {
    EndpointSummary &Row = Out[Name];
    Row.m_endpoint = Name;
    Row.m_state = Endpoint.m_state;
    Row.m_models = Endpoint.m_models;
    unsigned Known = 0;
    for (const std::string &Held : Endpoint.m_models) {
      auto Model = Region.m_models.find(Held);
      if (Model == Region.m_models.end() || Model->second.m_replicas == 0)
        continue;
      const unsigned Replicas = Model->second.m_replicas;
      ++Known;
      Row.m_loadBucket += Model->second.m_loadBucket;
      // Rounded up: none is left only if no copy has a free slot.
      Row.m_freeSlots += (Model->second.m_freeSlots + Replicas - 1) / Replicas;
    }
    if (Known != 0) {
      Row.m_loadBucket /= Known;
      Row.m_freeSlots = (Row.m_freeSlots + Known - 1) / Known;
    }
  }
  return Out;
}

std::set<Artifact> heldArtifacts(const EndpointSummary &Row) {
  std::set<Artifact> Out;
  for (const std::string &Name : Row.m_models)
    if (auto Held = gossipArtifact(Name))
      Out.insert(*Held);
  return Out;
}

unsigned inFlightOf(const EndpointSummary &Row, unsigned MaxBatch) {
  unsigned Least = 0;
  while (Least < 2 * MaxBatch &&
         loadBucketOf(Least, 0, MaxBatch) < Row.m_loadBucket)
    ++Least;
  unsigned Most = Least;
  while (Most < 2 * MaxBatch &&
         loadBucketOf(Most + 1, 0, MaxBatch) <= Row.m_loadBucket)
    ++Most;
  // An engine without work is by far the most frequent case of step 0.
  unsigned Middle = Row.m_loadBucket == 0 ? 0 : (Least + Most) / 2;
  // The free slots are the least that there are.
  if (Row.m_freeSlots > 0 && Row.m_freeSlots <= MaxBatch)
    return std::min(Middle, MaxBatch - Row.m_freeSlots);
  return std::max(Middle, MaxBatch);
}

LoadReport withRow(LoadReport Last, const EndpointSummary &Row,
                   const std::map<Artifact, std::uint64_t> &Sizes) {
  unsigned InFlight = inFlightOf(Row, Last.m_maxBatch);
  Last.m_running = std::min(InFlight, Last.m_maxBatch);
  Last.m_queued = InFlight - Last.m_running;
  // The gap belongs to the load of its report; with the load of the row it
  // would teach a wrong slope. 0 means that none is known.
  Last.m_tokenGapMillis = 0;
  if (Last.m_queued == 0)
    Last.m_queuedPromptTokens = 0;
  std::vector<ResidentArtifact> Resident;
  for (const Artifact &Held : heldArtifacts(Row)) {
    auto Known = std::find_if(
        Last.m_resident.begin(), Last.m_resident.end(),
        [&](const ResidentArtifact &R) { return R.m_artifact == Held; });
    auto Size = Sizes.find(Held);
    if (Known != Last.m_resident.end())
      Resident.push_back(*Known);
    else
      Resident.push_back({Held, Size == Sizes.end() ? 0 : Size->second, 0});
  }
  Last.m_resident = std::move(Resident);
  return Last;
}

} // namespace primroseworks
