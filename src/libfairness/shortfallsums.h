// Multiset of weighted numbers that tells how far its members lie below a limit
// in total, in O(log n). The fair queue keeps the tags of its accounts in it,
// so that the work ahead of a new request needs no pass over all accounts.
#ifndef PRIMROSEWORKS_LIBFAIRNESS_SHORTFALLSUMS_H
#define PRIMROSEWORKS_LIBFAIRNESS_SHORTFALLSUMS_H

#include <cstdint>
#include <utility>
#include <vector>

namespace primroseworks::fairness {

class ShortfallSums {
public:
  /// Adds a number under an id that is unique in the multiset.
  void add(double Value, double Weight, std::uint64_t Id);
  /// Removes the number that was added under Id; Value must be the same.
  void remove(double Value, std::uint64_t Id);
  /// Sum of weight * (Limit - x) over all members x that are less than Limit.
  double below(double Limit) const;
  bool empty() const { return m_root == None; }

private:
  using Index = std::uint32_t;
  static constexpr Index None = 0; ///< Also the unused first node.

  /// Node of a treap: ordered by value and id, a heap by priority.
  struct Node {
    double m_value = 0;
    double m_weight = 0;
    std::uint64_t m_id = 0;
    std::uint64_t m_priority = 0;
    Index m_left = None;
    Index m_right = None;
    /// Of the subtree. Computed anew from the children at each change, so that
    /// rounding errors do not add up.
    double m_sum = 0; ///< Of weight * value.
    double m_weights = 0;
  };
  Index makeNode(double Value, double Weight, std::uint64_t Id);
  void update(Index I);
  /// Splits a subtree into the members before (Value, Id) and the others.
  std::pair<Index, Index> split(Index I, double Value, std::uint64_t Id);
  Index merge(Index Left, Index Right);

  std::vector<Node> m_nodes = std::vector<Node>(1);
  std::vector<Index> m_free; ///< Nodes that are not in the tree.
  Index m_root = None;
};

} // namespace primroseworks::fairness

#endif
