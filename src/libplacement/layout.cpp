// Working copy of one region's accelerators while a plan is made.
#include "libplacement/layout.h"

#include <algorithm>
#include <set>

namespace primroseworks::pvt {

namespace {
// Each round lets every want react to the others once. The result need not be
// exact: moves are planned for differences of a tenth of an accelerator.
constexpr unsigned BalanceRounds = 4;

/// Level up to which Amount fills the given loads, lowest first. Sorts Loads.
double fillLevel(std::vector<double> &Loads, double Amount) {
  std::sort(Loads.begin(), Loads.end());
  double Sum = 0;
  double Level = 0;
  for (std::size_t Used = 0; Used < Loads.size(); ++Used) {
    if (Used > 0 && Level <= Loads[Used])
      break;
    Sum += Loads[Used];
    Level = (Sum + Amount) / static_cast<double>(Used + 1);
  }
  return Level;
}

/// Load above Target after Amount is spread over Loads.
double overloadAfter(std::vector<double> &Loads, double Amount, double Target) {
  if (Loads.empty())
    return Amount;
  double Level = fillLevel(Loads, Amount);
  double Sum = 0;
  for (double Load : Loads)
    Sum += std::max(0.0, std::max(Load, Level) - Target);
  return Sum;
}
} // namespace

void Layout::balance() {
  for (Node &N : m_nodes)
    N.m_load = 0;
  m_parts.assign(m_wants.size(), {});
  for (std::size_t W = 0; W < m_wants.size(); ++W)
    m_parts[W].assign(m_wants[W].m_homes.size(), 0);
  for (unsigned Round = 0; Round < BalanceRounds; ++Round)
    for (std::size_t W = 0; W < m_wants.size(); ++W)
      if (m_wants[W].m_load > 0 && !m_wants[W].m_homes.empty())
        spread(W);
}

// Fills the homes of one want from the least loaded upwards until its whole
// load is placed.
void Layout::spread(std::size_t WantIndex) {
  const Want &W = m_wants[WantIndex];
  std::vector<double> &Parts = m_parts[WantIndex];
  for (std::size_t I = 0; I < W.m_homes.size(); ++I)
    m_nodes[W.m_homes[I]].m_load -= Parts[I];
  std::vector<double> Loads;
  Loads.reserve(W.m_homes.size());
  for (std::size_t Home : W.m_homes)
    Loads.push_back(m_nodes[Home].m_load);
  double Level = fillLevel(Loads, W.m_load);
  for (std::size_t I = 0; I < W.m_homes.size(); ++I) {
    Node &N = m_nodes[W.m_homes[I]];
    Parts[I] = std::max(0.0, Level - N.m_load);
    N.m_load += Parts[I];
  }
}

double Layout::gainOfHome(std::size_t WantIndex, std::size_t NodeIndex,
                          double Target) const {
  const Want &W = m_wants[WantIndex];
  std::vector<double> Loads{m_nodes[NodeIndex].m_load};
  double Before = std::max(0.0, Loads[0] - Target);
  for (std::size_t I = 0; I < W.m_homes.size(); ++I) {
    double Load = m_nodes[W.m_homes[I]].m_load;
    Before += std::max(0.0, Load - Target);
    Loads.push_back(Load - m_parts[WantIndex][I]);
  }
  return Before - overloadAfter(Loads, W.m_load, Target);
}

double Layout::lossOfHome(std::size_t WantIndex, std::size_t NodeIndex,
                          double Target) const {
  const Want &W = m_wants[WantIndex];
  std::vector<double> Loads;
  double Before = 0;
  for (std::size_t I = 0; I < W.m_homes.size(); ++I) {
    double Load = m_nodes[W.m_homes[I]].m_load;
    if (W.m_homes[I] == NodeIndex) {
      if (m_parts[WantIndex][I] <= 0)
        return 0;
      continue;
    }
    Before += std::max(0.0, Load - Target);
    Loads.push_back(Load - m_parts[WantIndex][I]);
  }
  return overloadAfter(Loads, W.m_load, Target) - Before;
}

double Layout::level(std::size_t WantIndex) const {
  const Want &W = m_wants[WantIndex];
  double Lowest = 0;
  bool First = true;
  for (std::size_t Home : W.m_homes) {
    Lowest =
        First ? m_nodes[Home].m_load : std::min(Lowest, m_nodes[Home].m_load);
    First = false;
  }
  return Lowest;
}

bool Layout::holds(std::size_t NodeIndex, std::size_t WantIndex) const {
  const auto &Homes = m_wants[WantIndex].m_homes;
  return std::find(Homes.begin(), Homes.end(), NodeIndex) != Homes.end();
}

bool Layout::domainHolds(const std::string &Domain,
                         std::size_t WantIndex) const {
  for (std::size_t Home : m_wants[WantIndex].m_homes)
    if (m_nodes[Home].m_view->m_failureDomain == Domain)
      return true;
  return false;
}

unsigned Layout::domains(std::size_t WantIndex, std::size_t Except) const {
  std::set<std::string_view> Seen;
  for (std::size_t Home : m_wants[WantIndex].m_homes)
    if (Home != Except)
      Seen.insert(m_nodes[Home].m_view->m_failureDomain);
  return static_cast<unsigned>(Seen.size());
}

void Layout::addHome(std::size_t NodeIndex, std::size_t WantIndex) {
  m_wants[WantIndex].m_homes.push_back(NodeIndex);
  m_nodes[NodeIndex].m_wants.push_back(WantIndex);
}

void Layout::removeHome(std::size_t NodeIndex, std::size_t WantIndex) {
  auto &Homes = m_wants[WantIndex].m_homes;
  Homes.erase(std::remove(Homes.begin(), Homes.end(), NodeIndex), Homes.end());
  auto &Held = m_nodes[NodeIndex].m_wants;
  Held.erase(std::remove(Held.begin(), Held.end(), WantIndex), Held.end());
}

} // namespace primroseworks::pvt
