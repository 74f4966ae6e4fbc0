// Moves of a region's plan that follow demand: copies that relieve others, and
// copies for the region's own callers.
#include "libplacement/regionplan.h"

#include <algorithm>

namespace primroseworks::pvt {

namespace {
// A load takes one slot of the weight store, about 1 s of the whole fleet's
// loads, and memory bandwidth of its accelerator. Priced as two fifths of an
// accelerator; multiplied by m_minGain it is the least gain of a move.
constexpr double LoadCost = 0.4;
// Unloading a copy that demand may want back costs as much as the load that
// brings it back.
constexpr double EvictionCost = LoadCost;
// Worth of not using a slow link, per accelerator of load that uses it.
constexpr double LinkGain = 0.4;
// Wants tried per plan for relief, most loaded first. Bounds the cost of a plan
// during a flood that overloads every model.
constexpr std::size_t MaxReliefTrials = 16;
// Nodes tried per want, least loaded first.
constexpr std::size_t MaxNodeTrials = 6;
} // namespace

void RegionPlan::planOverload() {
  for (bool Again = true; Again && m_modelLoads > 0;) {
    Again = false;
    std::vector<std::size_t> Order;
    for (std::size_t I = 0; I < m_layout.m_wants.size(); ++I) {
      const Want &W = m_layout.m_wants[I];
      if (W.m_mayRelieve && W.m_homes.size() < W.m_maxReplicas &&
          !W.m_homes.empty() &&
          m_layout.level(I) > m_options.m_targetUtilization)
        Order.push_back(I);
    }
    std::stable_sort(
        Order.begin(), Order.end(), [&](std::size_t A, std::size_t B) {
          return m_layout.m_wants[A].m_load > m_layout.m_wants[B].m_load;
        });
    if (Order.size() > MaxReliefTrials)
      Order.resize(MaxReliefTrials);
    for (std::size_t I : Order)
      if (relieve(I)) {
        Again = true;
        break;
      }
  }
}

// Adds a copy of an overloaded want where it takes off most load above the
// target. Returns true if it changed the layout.
bool RegionPlan::relieve(std::size_t WantIndex) {
  const Want &W = m_layout.m_wants[WantIndex];
  double Target = m_options.m_targetUtilization;
  std::vector<std::size_t> Nodes;
  for (std::size_t I = 0; I < m_layout.m_nodes.size(); ++I)
    if (!m_layout.holds(I, WantIndex) && m_layout.m_nodes[I].m_load < Target &&
        !contains(m_layout.m_nodes[I].m_view->m_refused, W.m_artifact) &&
        !contains(m_layout.m_nodes[I].m_view->m_unloading, W.m_artifact))
      Nodes.push_back(I);
  std::size_t Tried = std::min(Nodes.size(), MaxNodeTrials);
  std::partial_sort(
      Nodes.begin(), Nodes.begin() + static_cast<std::ptrdiff_t>(Tried),
      Nodes.end(), [&](std::size_t A, std::size_t B) {
        return m_layout.m_nodes[A].m_load < m_layout.m_nodes[B].m_load;
      });
  Nodes.resize(Tried);
  std::optional<Spot> Best;
  for (std::size_t I : Nodes)
    consider(WantIndex, I, m_layout.gainOfHome(WantIndex, I, Target),
             MoveClass::Overload, Best);
  if (!Best)
    return false;
  placeOrMakeRoom(WantIndex, *Best, MoveClass::Overload,
                  "demand exceeds its copies");
  return true;
}

// Takes the node for Best if what a copy gains there, without what its victims
// lose, pays for a load and exceeds the best so far.
void RegionPlan::consider(std::size_t WantIndex, std::size_t NodeIndex,
                          double Gain, MoveClass Class,
                          std::optional<Spot> &Best) const {
  const Want &W = m_layout.m_wants[WantIndex];
  const Node &N = m_layout.m_nodes[NodeIndex];
  std::vector<std::size_t> Victims;
  if (N.m_free + N.m_beingFreed < W.m_bytes) {
    Victims = victims(NodeIndex, W.m_bytes, Class, WantIndex);
    if (Victims.empty())
      return;
    for (std::size_t Victim : Victims)
      Gain -= evictionLoss(Victim, NodeIndex);
  }
  if (Gain > (Best ? Best->m_gain : m_options.m_minGain * LoadCost))
    Best = Spot{NodeIndex, Gain, std::move(Victims)};
}

// Value of serving the region's callers here, in accelerators: what it takes
// off the copies in other regions if these are full; otherwise the copy saves
// the slow link only, which takes long to pay for a load.
double RegionPlan::localGain(const Want &W) const {
  return (W.m_mayRelieve ? W.m_localLoad : 0) + W.m_lastingLoad * LinkGain;
}

// Copies for the callers of this region when its models live elsewhere, most
// asked for first: one large copy relieves as much as several small ones.
void RegionPlan::planLocal() {
  std::vector<std::size_t> Order;
  for (std::size_t I = 0; I < m_layout.m_wants.size(); ++I) {
    const Want &W = m_layout.m_wants[I];
    if (W.m_homes.empty() && W.m_remoteReplicas > 0 &&
        W.m_artifact.m_version == W.m_spec->m_version)
      Order.push_back(I);
  }
  std::stable_sort(Order.begin(), Order.end(),
                   [&](std::size_t A, std::size_t B) {
                     return m_layout.m_wants[A].m_localLoad >
                            m_layout.m_wants[B].m_localLoad;
                   });
  for (std::size_t I : Order)
    if (m_modelLoads > 0)
      placeLocal(I);
}

void RegionPlan::placeLocal(std::size_t WantIndex) {
  const Want &W = m_layout.m_wants[WantIndex];
  std::optional<Spot> Best;
  for (std::size_t I = 0; I < m_layout.m_nodes.size(); ++I) {
    const Node &N = m_layout.m_nodes[I];
    if (contains(N.m_view->m_refused, W.m_artifact) ||
        contains(N.m_view->m_unloading, W.m_artifact))
      continue;
    // Among nodes that gain the same, the least loaded one is taken. One
    // accelerator takes no more than its room; more copies may follow.
    double Room = std::max(0.0, m_options.m_targetUtilization - N.m_load);
    double Gain =
        std::min(localGain(W), Room) * (1 - std::min(1.0, N.m_load) / 4);
    consider(WantIndex, I, Gain, MoveClass::Local, Best);
  }
  if (!Best)
    return;
  placeOrMakeRoom(WantIndex, *Best, MoveClass::Local, "callers in this region");
}

// What the region loses when a copy leaves: load that its other homes cannot
// take, or the use of a copy in another region.
double RegionPlan::evictionLoss(std::size_t WantIndex,
                                std::size_t NodeIndex) const {
  const Want &W = m_layout.m_wants[WantIndex];
  double Loss = m_options.m_minGain * EvictionCost;
  if (W.m_homes.size() > 1)
    return Loss + m_layout.lossOfHome(WantIndex, NodeIndex,
                                      m_options.m_targetUtilization);
  return Loss + std::max(localGain(W), W.m_heldLoad * LinkGain);
}

void RegionPlan::placeOrMakeRoom(std::size_t WantIndex, const Spot &Where,
                                 MoveClass Class, const std::string &Reason) {
  const Want &W = m_layout.m_wants[WantIndex];
  if (m_layout.m_nodes[Where.m_node].m_free >= W.m_bytes) {
    load(WantIndex, Where.m_node, Class, Reason);
    return;
  }
  for (std::size_t Victim : Where.m_victims)
    unload(Victim, Where.m_node, "memory for " + W.m_artifact.m_name);
  // The copy is counted from now on, so that this plan does not free memory for
  // it twice.
  m_layout.addHome(Where.m_node, WantIndex);
  m_layout.balance();
}

} // namespace primroseworks::pvt
