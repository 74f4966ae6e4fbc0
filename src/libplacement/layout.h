// Working copy of one region's accelerators while a plan is made: who holds
// what, how much memory is free, and how the load spreads over the copies.
#ifndef PRIMROSEWORKS_LIBPLACEMENT_LAYOUT_H
#define PRIMROSEWORKS_LIBPLACEMENT_LAYOUT_H

#include "primroseworks/placement.h"

#include <cstddef>
#include <vector>

namespace primroseworks::pvt {

/// A model version that the region should hold.
struct Want {
  Artifact m_artifact;
  const ModelSpec *m_spec = nullptr;
  std::vector<const AdapterSpec *> m_adapters;
  std::uint64_t m_bytes = 0; ///< Weights and all adapters.
  double m_load = 0;         ///< Demand, in accelerators.
  double m_heldLoad = 0;     ///< The same, but falling slowly.
  double m_value = 0;        ///< Demand weighted by the worth of its ranks.
  double m_localLoad = 0;    ///< Part of m_load from callers in this region.
  double m_lastingLoad = 0;  ///< Part of m_localLoad that has lasted.
  bool m_mayRelieve = false; ///< No copy anywhere has room; this region's turn.
  unsigned m_minReplicas = 0;
  bool m_mayEvict = true; ///< Required copies may take the memory of others.
  unsigned m_maxReplicas = ~0U;
  unsigned m_remoteReplicas = 0; ///< Resident in other regions.
  std::string m_remoteRegion;    ///< The least used other region with a copy.
  std::vector<std::size_t> m_homes; ///< Nodes that hold or load it.
  unsigned m_ready = 0;             ///< Homes that can serve it now.
  /// A region after this one by hash keeps a copy, so that the last one here
  /// may leave for a model without any.
  bool m_keptElsewhere = false;
};

/// One live accelerator of the region.
struct Node {
  const AcceleratorView *m_view = nullptr;
  std::uint64_t m_free = 0;         ///< Neither claimed nor set aside.
  std::uint64_t m_beingFreed = 0;   ///< Comes free when unloads end.
  std::vector<std::size_t> m_wants; ///< Wants with a home here.
  double m_load = 0;
};

class Layout {
public:
  std::vector<Want> m_wants;
  std::vector<Node> m_nodes;

  /// Spreads the load of every want over its homes so that the nodes' loads
  /// are as even as the homes allow.
  void balance();
  /// By how much the load above Target falls if the want gets a home on the
  /// node, in accelerators. Other wants are taken to stay where they are.
  double gainOfHome(std::size_t WantIndex, std::size_t NodeIndex,
                    double Target) const;
  /// By how much it rises on the other homes if the want leaves the node.
  double lossOfHome(std::size_t WantIndex, std::size_t NodeIndex,
                    double Target) const;
  /// Lowest load among the homes of a want; 0 without homes.
  double level(std::size_t WantIndex) const;
  bool holds(std::size_t NodeIndex, std::size_t WantIndex) const;
  bool domainHolds(const std::string &Domain, std::size_t WantIndex) const;
  /// Different failure domains among the homes of a want, without Except.
  unsigned domains(std::size_t WantIndex, std::size_t Except) const;
  void addHome(std::size_t NodeIndex, std::size_t WantIndex);
  void removeHome(std::size_t NodeIndex, std::size_t WantIndex);

private:
  void spread(std::size_t WantIndex);

  std::vector<std::vector<double>> m_parts; ///< Per want, load on each home.
};

} // namespace primroseworks::pvt

#endif
