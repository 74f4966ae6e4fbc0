// One plan for one region: which loads and unloads should start now.
#ifndef PRIMROSEWORKS_LIBPLACEMENT_REGIONPLAN_H
#define PRIMROSEWORKS_LIBPLACEMENT_REGIONPLAN_H

#include "libplacement/layout.h"

#include <map>
#include <optional>
#include <set>

namespace primroseworks::pvt {

/// Order in which loads are started when the load budget is short.
enum class MoveClass {
  NoHome,      ///< The model is resident nowhere.
  MinReplicas, ///< Fewer copies or failure domains than required.
  Rollout,     ///< A version being rolled out.
  Overload,    ///< The copies cannot carry the demand.
  Local        ///< Callers of the region use a copy in another region.
};

struct RankedMove {
  Move m_move;
  MoveClass m_class = MoveClass::NoHome;
  double m_value = 0; ///< Within a class, higher first.
};

class RegionPlan {
public:
  RegionPlan(const Catalog &Config, const PlannerOptions &Options,
             LoadBudget Budget);
  /// Adds what the region should hold, before any accelerator.
  void addWant(Want W);
  /// A model that may not run in this region and has a copy where it may.
  void addServedElsewhere(const std::string &Model) {
    m_servedElsewhere.insert(Model);
  }
  void addAccelerator(const AcceleratorView &View);
  /// Plans no move that follows demand: too little of it has been seen.
  void setRequiredOnly() { m_required = true; }
  /// Moves to start now; loads at most the budget.
  std::vector<RankedMove> make();

private:
  /// A node for a copy, and the wants that leave it.
  struct Spot {
    std::size_t m_node = 0;
    double m_gain = 0; ///< In accelerators, without the loss of the victims.
    std::vector<std::size_t> m_victims;
  };

  void unloadStrays();
  void planAdapters();
  void planRequired(MoveClass Class);
  void planOverload();
  void planLocal();
  void placeLocal(std::size_t WantIndex);
  double localGain(const Want &W) const;
  double evictionLoss(std::size_t WantIndex, std::size_t NodeIndex) const;
  void consider(std::size_t WantIndex, std::size_t NodeIndex, double Gain,
                MoveClass Class, std::optional<Spot> &Best) const;
  void placeOrMakeRoom(std::size_t WantIndex, const Spot &Where,
                       MoveClass Class, const std::string &Reason);
  bool relieve(std::size_t WantIndex);
  bool placeRequired(std::size_t WantIndex, MoveClass Class);
  std::vector<std::size_t> victims(std::size_t NodeIndex, std::uint64_t Bytes,
                                   MoveClass Class, std::size_t For) const;
  bool mayLose(std::size_t WantIndex, std::size_t NodeIndex,
               MoveClass Class) const;
  void load(std::size_t WantIndex, std::size_t NodeIndex, MoveClass Class,
            std::string Reason);
  void unload(std::size_t WantIndex, std::size_t NodeIndex,
              const std::string &Reason);
  void unloadArtifact(std::size_t NodeIndex, const ResidentArtifact &Resident,
                      const std::string &Reason, bool Drain);
  const Want *wantOf(const std::string &Model,
                     const std::string &Version) const;
  bool strayMayLeave(const Node &N, const ResidentArtifact &Resident) const;

  const Catalog &m_config;
  const PlannerOptions &m_options;
  bool m_required = false; ///< Only moves for required copies.
  unsigned m_modelLoads;   ///< Left of the budget.
  unsigned m_adapterLoads; ///< Left of the budget.
  Layout m_layout;
  std::map<std::pair<std::string, std::string>, std::size_t> m_index;
  std::set<std::string> m_servedElsewhere;
  std::vector<RankedMove> m_moves;
};

/// True if the list holds the artifact.
bool contains(const std::vector<Artifact> &List, const Artifact &Wanted);

} // namespace primroseworks::pvt

#endif
