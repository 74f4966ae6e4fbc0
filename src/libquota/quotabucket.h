// Token bucket of one account. How fast it fills and how large it is depends on
// the share of the limit that its holder has, which changes.
#ifndef PRIMROSEWORKS_LIBQUOTA_QUOTABUCKET_H
#define PRIMROSEWORKS_LIBQUOTA_QUOTABUCKET_H

#include <algorithm>

namespace primroseworks::quota {

/// Starts empty: what was not used before its holder had it is never paid out.
class QuotaBucket {
public:
  double level() const { return m_level; }
  /// Adds tokens, up to the bucket's size.
  void fill(double Tokens, double Size) {
    m_level = std::min(m_level + Tokens, Size);
  }
  void empty() { m_level = std::min(m_level, 0.0); }
  /// Whether there is room for Cost. A full bucket that is smaller than Cost
  /// takes on a debt of at most Debt.
  bool hasRoom(double Cost, double Size, double Debt) const {
    return m_level >= Cost || (m_level >= Size - Rounding && Cost > Size &&
                               Cost - Size <= Debt + Rounding);
  }
  /// Tokens that are missing for Cost; zero if there is room.
  double missing(double Cost, double Size) const {
    return std::max(0.0, std::min(Cost, Size) - m_level);
  }
  void take(double Cost) { m_level -= Cost; }

private:
  static constexpr double Rounding = 1e-6;
  double m_level = 0; ///< At most the size; negative after a debt.
};

} // namespace primroseworks::quota

#endif
