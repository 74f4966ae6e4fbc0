// Retry budget.
#include "primroseworks/retry.h"

#include <algorithm>

namespace primroseworks {

Result<RetryBudget> RetryBudget::create(double Share) {
  if (!(Share >= 0 && Share <= 1))
    return makeError(
        ErrorKind::InvalidArgument,
        "the retry budget is not between 0 and 1; set a share such as 0.1");
  return RetryBudget(Share);
}

RetryBudget::RetryBudget(double Share)
    : m_share(Share), m_credit(Share > 0 ? RetryReserve : 0) {}

void RetryBudget::onCompleted() {
  m_credit = std::min(RetryCreditMax, m_credit + m_share);
}

void RetryBudget::refill(TimePoint Now) {
  if (m_refilled == TimePoint{})
    m_refilled = Now;
  if (m_share > 0 && m_credit < RetryReserve)
    m_credit =
        std::min(RetryReserve, m_credit + toSeconds(Now - m_refilled) /
                                              toSeconds(RetryReserveInterval));
  m_refilled = Now;
}

bool RetryBudget::take(TimePoint Now) {
  refill(Now);
  if (m_credit < 1)
    return false;
  m_credit -= 1;
  return true;
}

} // namespace primroseworks
