// What an owner's gossip row says about an endpoint, as a load report.
#ifndef PRIMROSED_ROWREPORT_H
#define PRIMROSED_ROWREPORT_H

#include "primroseworks/engine.h"
#include "primroseworks/gossip.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace primroseworks {

/// Bytes of the artifacts and of the cache reservation.
std::uint64_t heldBytes(const LoadReport &Report);

/// Name of an artifact in gossip rows: "model/NAME@VERSION".
std::string gossipName(const Artifact &Held);

/// The artifact of such a name; none if it is not one.
std::optional<Artifact> gossipArtifact(const std::string &Name);

/// The endpoints of another region as rows: load and free slots are the means
/// of the models that each holds.
std::map<std::string, EndpointSummary> remoteRows(const RegionCapacity &Region);

/// Artifacts that a row tells of.
std::set<Artifact> heldArtifacts(const EndpointSummary &Row);

/// Sequences running and queued, from the steps that a row tells: the middle of
/// the load step, at most what the free slots leave.
unsigned inFlightOf(const EndpointSummary &Row, unsigned MaxBatch);

/// Last with the load and the artifacts of Row. Sizes are those in Last, then
/// those in Sizes, then 0.
LoadReport withRow(LoadReport Last, const EndpointSummary &Row,
                   const std::map<Artifact, std::uint64_t> &Sizes);

} // namespace primroseworks

#endif
