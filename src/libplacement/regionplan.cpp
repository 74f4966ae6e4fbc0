// One plan for one region.
#include "libplacement/regionplan.h"

#include <algorithm>
#include <tuple>

namespace primroseworks::pvt {

bool contains(const std::vector<Artifact> &List, const Artifact &Wanted) {
  return std::find(List.begin(), List.end(), Wanted) != List.end();
}

RegionPlan::RegionPlan(const Catalog &Config, const PlannerOptions &Options,
                       LoadBudget Budget)
    : m_config(Config), m_options(Options), m_modelLoads(Budget.m_models),
      m_adapterLoads(Budget.m_adapters) {}

void RegionPlan::addWant(Want W) {
  m_index[{W.m_artifact.m_name, W.m_artifact.m_version}] =
      m_layout.m_wants.size();
  m_layout.m_wants.push_back(std::move(W));
}

const Want *RegionPlan::wantOf(const std::string &Model,
                               const std::string &Version) const {
  auto It = m_index.find({Model, Version});
  return It == m_index.end() ? nullptr : &m_layout.m_wants[It->second];
}

void RegionPlan::addAccelerator(const AcceleratorView &View) {
  Node N;
  N.m_view = &View;
  std::size_t NodeIndex = m_layout.m_nodes.size();
  std::uint64_t Known = 0;
  std::set<Artifact> Present(View.m_loading.begin(), View.m_loading.end());
  for (const ResidentArtifact &R : View.m_resident) {
    Known += R.m_bytes;
    Present.insert(R.m_artifact);
    if (contains(View.m_unloading, R.m_artifact))
      N.m_beingFreed += R.m_bytes;
  }
  std::uint64_t Used = std::max(Known, View.m_claimedBytes);
  N.m_free = View.m_memoryBytes > Used ? View.m_memoryBytes - Used : 0;
  m_layout.m_nodes.push_back(std::move(N));
  for (const Artifact &A : Present) {
    if (A.m_kind != ArtifactKind::Model || contains(View.m_unloading, A))
      continue;
    auto It = m_index.find({A.m_name, A.m_version});
    if (It == m_index.end())
      continue;
    m_layout.addHome(NodeIndex, It->second);
    Want &W = m_layout.m_wants[It->second];
    if (!contains(View.m_loading, A))
      ++W.m_ready;
    // Memory of adapters that still have to join their base is set aside.
    for (const AdapterSpec *Adapter : W.m_adapters)
      if (Present.count({ArtifactKind::Adapter, Adapter->m_name,
                         Adapter->m_version}) == 0) {
        std::uint64_t &Free = m_layout.m_nodes[NodeIndex].m_free;
        Free -= std::min(Free, Adapter->m_bytes);
      }
  }
}

std::vector<RankedMove> RegionPlan::make() {
  m_layout.balance();
  unloadStrays();
  planRequired(MoveClass::NoHome);
  planRequired(MoveClass::MinReplicas);
  planRequired(MoveClass::Rollout);
  if (!m_required) {
    planOverload();
    planLocal();
  }
  planAdapters();
  return std::move(m_moves);
}

// A version that nobody asks for any more stays until the model has a copy of a
// wanted version, here or in another region.
bool RegionPlan::strayMayLeave(const Node &N,
                               const ResidentArtifact &Resident) const {
  const Artifact &A = Resident.m_artifact;
  if (A.m_kind == ArtifactKind::Model) {
    auto Spec = m_config.m_models.find(A.m_name);
    if (Spec == m_config.m_models.end())
      return true;
    if (m_servedElsewhere.count(A.m_name) != 0)
      return true;
    const Want *Current = wantOf(A.m_name, Spec->second.m_version);
    return Current != nullptr &&
           Current->m_ready + Current->m_remoteReplicas > 0;
  }
  auto Spec = m_config.m_adapters.find(A.m_name);
  if (Spec == m_config.m_adapters.end())
    return true;
  // An older version of an adapter leaves when the newer one is there.
  for (const ResidentArtifact &Other : N.m_view->m_resident)
    if (Other.m_artifact.m_kind == ArtifactKind::Adapter &&
        Other.m_artifact.m_name == A.m_name &&
        Other.m_artifact.m_version == Spec->second.m_version)
      return true;
  return false;
}

void RegionPlan::unloadStrays() {
  for (std::size_t I = 0; I < m_layout.m_nodes.size(); ++I) {
    const Node &N = m_layout.m_nodes[I];
    std::set<Artifact> Wanted;
    std::set<std::string> Bases;
    for (std::size_t W : N.m_wants) {
      Wanted.insert(m_layout.m_wants[W].m_artifact);
      for (const AdapterSpec *A : m_layout.m_wants[W].m_adapters)
        Wanted.insert({ArtifactKind::Adapter, A->m_name, A->m_version});
    }
    for (const ResidentArtifact &R : N.m_view->m_resident)
      if (R.m_artifact.m_kind == ArtifactKind::Model &&
          !contains(N.m_view->m_unloading, R.m_artifact))
        Bases.insert(R.m_artifact.m_name);
    for (const ResidentArtifact &R : N.m_view->m_resident) {
      if (Wanted.count(R.m_artifact) != 0 ||
          contains(N.m_view->m_unloading, R.m_artifact))
        continue;
      auto Adapter = m_config.m_adapters.find(R.m_artifact.m_name);
      bool BaseGone = R.m_artifact.m_kind == ArtifactKind::Adapter &&
                      Adapter != m_config.m_adapters.end() &&
                      Bases.count(Adapter->second.m_base) == 0;
      if (BaseGone || strayMayLeave(N, R))
        unloadArtifact(I, R, BaseGone ? "base model is not here" : "not served",
                       true);
    }
  }
}

void RegionPlan::planAdapters() {
  for (std::size_t I = 0; I < m_layout.m_nodes.size(); ++I) {
    Node &N = m_layout.m_nodes[I];
    std::set<Artifact> Present(N.m_view->m_loading.begin(),
                               N.m_view->m_loading.end());
    std::uint64_t Known = 0;
    for (const ResidentArtifact &R : N.m_view->m_resident) {
      Present.insert(R.m_artifact);
      Known += R.m_bytes;
    }
    std::uint64_t Used = std::max(Known, N.m_view->m_claimedBytes);
    std::uint64_t Size = N.m_view->m_memoryBytes;
    std::uint64_t Free = Size > Used ? Size - Used : 0;
    for (const RankedMove &M : m_moves)
      if (M.m_move.m_kind == MoveKind::Load &&
          M.m_move.m_endpoint == N.m_view->m_endpoint)
        Free -= std::min(Free, M.m_move.m_bytes);
    for (std::size_t WantIndex : N.m_wants) {
      const Want &W = m_layout.m_wants[WantIndex];
      // An adapter is loaded once its base is resident, so that engines do not
      // refuse the order.
      bool Resident = Present.count(W.m_artifact) != 0 &&
                      !contains(N.m_view->m_loading, W.m_artifact);
      for (const AdapterSpec *A : W.m_adapters) {
        Artifact Wanted{ArtifactKind::Adapter, A->m_name, A->m_version};
        if (!Resident || m_adapterLoads == 0 || A->m_bytes > Free ||
            !Present.insert(Wanted).second)
          continue;
        Free -= A->m_bytes;
        --m_adapterLoads;
        Move M{MoveKind::Load, N.m_view->m_endpoint, Wanted, A->m_bytes,
               "base model is here"};
        m_moves.push_back({std::move(M), MoveClass::NoHome, W.m_value});
      }
    }
  }
}

void RegionPlan::load(std::size_t WantIndex, std::size_t NodeIndex,
                      MoveClass Class, std::string Reason) {
  Want &W = m_layout.m_wants[WantIndex];
  Node &N = m_layout.m_nodes[NodeIndex];
  N.m_free -= W.m_bytes;
  --m_modelLoads;
  Move M{MoveKind::Load, N.m_view->m_endpoint, W.m_artifact,
         W.m_spec->m_weightBytes, std::move(Reason)};
  M.m_required = Class == MoveClass::NoHome || Class == MoveClass::MinReplicas;
  m_moves.push_back({std::move(M), Class, W.m_value});
  m_layout.addHome(NodeIndex, WantIndex);
  m_layout.balance();
}

void RegionPlan::unloadArtifact(std::size_t NodeIndex,
                                const ResidentArtifact &Resident,
                                const std::string &Reason, bool Drain) {
  Node &N = m_layout.m_nodes[NodeIndex];
  for (const RankedMove &M : m_moves)
    if (M.m_move.m_kind == MoveKind::Unload &&
        M.m_move.m_endpoint == N.m_view->m_endpoint &&
        M.m_move.m_artifact == Resident.m_artifact)
      return;
  N.m_beingFreed += Resident.m_bytes;
  Move M{MoveKind::Unload,
         N.m_view->m_endpoint,
         Resident.m_artifact,
         Resident.m_bytes,
         Reason,
         Drain};
  m_moves.push_back({std::move(M), MoveClass::NoHome, 0});
}

void RegionPlan::unload(std::size_t WantIndex, std::size_t NodeIndex,
                        const std::string &Reason) {
  Want &W = m_layout.m_wants[WantIndex];
  std::set<Artifact> Leaving{W.m_artifact};
  for (const AdapterSpec *A : W.m_adapters)
    Leaving.insert({ArtifactKind::Adapter, A->m_name, A->m_version});
  for (const ResidentArtifact &R :
       m_layout.m_nodes[NodeIndex].m_view->m_resident)
    if (Leaving.count(R.m_artifact) != 0)
      unloadArtifact(NodeIndex, R, Reason, true);
  --W.m_ready;
  m_layout.removeHome(NodeIndex, WantIndex);
}

bool RegionPlan::mayLose(std::size_t WantIndex, std::size_t NodeIndex,
                         MoveClass Class) const {
  const Want &W = m_layout.m_wants[WantIndex];
  const Node &N = m_layout.m_nodes[NodeIndex];
  if (contains(N.m_view->m_loading, W.m_artifact))
    return false;
  if (W.m_minReplicas == 0) // Another region is its home.
    return W.m_remoteReplicas > 0;
  if (W.m_ready < 2)
    return Class == MoveClass::NoHome && W.m_keptElsewhere;
  // To give a model its only copy, another one may fall below its minimum.
  if (Class == MoveClass::NoHome)
    return true;
  unsigned After = static_cast<unsigned>(W.m_homes.size()) - 1;
  return After >= W.m_minReplicas &&
         m_layout.domains(WantIndex, NodeIndex) >=
             std::min(W.m_minReplicas,
                      m_layout.domains(WantIndex, m_layout.m_nodes.size()));
}

std::vector<std::size_t> RegionPlan::victims(std::size_t NodeIndex,
                                             std::uint64_t Bytes,
                                             MoveClass Class,
                                             std::size_t For) const {
  const Node &N = m_layout.m_nodes[NodeIndex];
  std::vector<std::tuple<bool, double, std::size_t>> Order;
  for (std::size_t W : N.m_wants)
    if (W != For && mayLose(W, NodeIndex, Class))
      Order.emplace_back(
          !mayLose(W, NodeIndex, MoveClass::Overload),
          m_layout.lossOfHome(W, NodeIndex, 0) + m_layout.m_wants[W].m_load, W);
  std::sort(Order.begin(), Order.end());
  std::vector<std::size_t> Chosen;
  std::uint64_t Freed = N.m_free;
  for (const auto &[Below, Loss, W] : Order) {
    if (Freed >= Bytes)
      break;
    Freed += m_layout.m_wants[W].m_bytes;
    Chosen.push_back(W);
  }
  if (Freed < Bytes)
    Chosen.clear();
  return Chosen;
}

void RegionPlan::planRequired(MoveClass Class) {
  std::vector<std::size_t> Order;
  for (std::size_t I = 0; I < m_layout.m_wants.size(); ++I) {
    const Want &W = m_layout.m_wants[I];
    bool IsNext = W.m_artifact.m_version != W.m_spec->m_version;
    if (IsNext != (Class == MoveClass::Rollout) || W.m_minReplicas == 0)
      continue;
    bool None = W.m_homes.empty() && W.m_remoteReplicas == 0;
    if (None == (Class == MoveClass::NoHome) || IsNext)
      Order.push_back(I);
  }
  std::stable_sort(
      Order.begin(), Order.end(), [&](std::size_t A, std::size_t B) {
        return m_layout.m_wants[A].m_value > m_layout.m_wants[B].m_value;
      });
  for (std::size_t I : Order)
    while (m_modelLoads > 0 && placeRequired(I, Class)) {
    }
}

// Places one more copy if the want lacks copies or failure domains. Returns
// true if it planned a load.
bool RegionPlan::placeRequired(std::size_t WantIndex, MoveClass Class) {
  const Want &W = m_layout.m_wants[WantIndex];
  unsigned Have = static_cast<unsigned>(W.m_homes.size());
  unsigned Needed = Class == MoveClass::NoHome ? 1 : W.m_minReplicas;
  bool CopyMissing = Have < Needed;
  bool DomainMissing =
      m_layout.domains(WantIndex, m_layout.m_nodes.size()) < Needed;
  if (!CopyMissing && !DomainMissing)
    return false;
  std::optional<std::size_t> Best;
  std::vector<std::size_t> BestVictims;
  std::tuple<bool, std::size_t, double, std::uint64_t> BestKey;
  for (std::size_t I = 0; I < m_layout.m_nodes.size(); ++I) {
    const Node &N = m_layout.m_nodes[I];
    bool SameDomain =
        m_layout.domainHolds(N.m_view->m_failureDomain, WantIndex);
    if (m_layout.holds(I, WantIndex) || (SameDomain && !CopyMissing) ||
        contains(N.m_view->m_refused, W.m_artifact))
      continue;
    std::vector<std::size_t> Victims;
    if (N.m_free < W.m_bytes && N.m_free + N.m_beingFreed < W.m_bytes) {
      if (!W.m_mayEvict && Class == MoveClass::MinReplicas)
        continue;
      Victims = victims(I, W.m_bytes, Class, WantIndex);
      if (Victims.empty())
        continue;
    }
    std::tuple<bool, std::size_t, double, std::uint64_t> Key(
        SameDomain, Victims.size(), N.m_load, ~N.m_free);
    if (!Best || Key < BestKey) {
      Best = I;
      BestKey = Key;
      BestVictims = std::move(Victims);
    }
  }
  if (!Best)
    return false;
  if (m_layout.m_nodes[*Best].m_free < W.m_bytes) {
    for (std::size_t Victim : BestVictims)
      unload(Victim, *Best, "memory for " + W.m_artifact.m_name);
    return false;
  }
  load(WantIndex, *Best, Class,
       Class == MoveClass::NoHome    ? "no copy is resident"
       : Class == MoveClass::Rollout ? "version rollout"
                                     : "below minimum replicas");
  return true;
}

} // namespace primroseworks::pvt
