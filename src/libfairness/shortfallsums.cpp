// Implementation of the multiset as a treap.
#include "libfairness/shortfallsums.h"

#include <tuple>

namespace primroseworks::fairness {

namespace {

/// Finalizer of SplitMix64: spreads consecutive ids over all priorities, so
/// that the tree is balanced for any order of insertion.
std::uint64_t priorityOf(std::uint64_t Id) {
  Id += 0x9e3779b97f4a7c15ULL;
  Id = (Id ^ (Id >> 30)) * 0xbf58476d1ce4e5b9ULL;
  Id = (Id ^ (Id >> 27)) * 0x94d049bb133111ebULL;
  return Id ^ (Id >> 31);
}

} // namespace

ShortfallSums::Index ShortfallSums::makeNode(double Value, double Weight,
                                             std::uint64_t Id) {
  Index I = None;
  if (m_free.empty()) {
    I = static_cast<Index>(m_nodes.size());
    m_nodes.emplace_back();
  } else {
    I = m_free.back();
    m_free.pop_back();
  }
  m_nodes[I] = Node{Value, Weight,         Id,    priorityOf(Id), None,
                    None,  Weight * Value, Weight};
  return I;
}

void ShortfallSums::update(Index I) {
  Node &N = m_nodes[I];
  const Node &Left = m_nodes[N.m_left];
  const Node &Right = m_nodes[N.m_right];
  N.m_sum = Left.m_sum + N.m_weight * N.m_value + Right.m_sum;
  N.m_weights = Left.m_weights + N.m_weight + Right.m_weights;
}

std::pair<ShortfallSums::Index, ShortfallSums::Index>
ShortfallSums::split(Index I, double Value, std::uint64_t Id) {
  if (I == None)
    return {None, None};
  Node &N = m_nodes[I];
  if (std::tie(N.m_value, N.m_id) < std::tie(Value, Id)) {
    const auto [Before, After] = split(N.m_right, Value, Id);
    N.m_right = Before;
    update(I);
    return {I, After};
  }
  const auto [Before, After] = split(N.m_left, Value, Id);
  N.m_left = After;
  update(I);
  return {Before, I};
}

ShortfallSums::Index ShortfallSums::merge(Index Left, Index Right) {
  if (Left == None || Right == None)
    return Left == None ? Right : Left;
  if (m_nodes[Left].m_priority > m_nodes[Right].m_priority) {
    m_nodes[Left].m_right = merge(m_nodes[Left].m_right, Right);
    update(Left);
    return Left;
  }
  m_nodes[Right].m_left = merge(Left, m_nodes[Right].m_left);
  update(Right);
  return Right;
}

void ShortfallSums::add(double Value, double Weight, std::uint64_t Id) {
  const Index New = makeNode(Value, Weight, Id);
  const auto [Before, After] = split(m_root, Value, Id);
  m_root = merge(merge(Before, New), After);
}

void ShortfallSums::remove(double Value, std::uint64_t Id) {
  const auto [Before, From] = split(m_root, Value, Id);
  const auto [Found, After] = split(From, Value, Id + 1);
  if (Found != None)
    m_free.push_back(Found);
  m_root = merge(Before, After);
}

double ShortfallSums::below(double Limit) const {
  double Sum = 0;
  double Weights = 0;
  for (Index I = m_root; I != None;) {
    const Node &N = m_nodes[I];
    if (N.m_value >= Limit) {
      I = N.m_left;
      continue;
    }
    Sum += m_nodes[N.m_left].m_sum + N.m_weight * N.m_value;
    Weights += m_nodes[N.m_left].m_weights + N.m_weight;
    I = N.m_right;
  }
  return Limit * Weights - Sum;
}

} // namespace primroseworks::fairness
