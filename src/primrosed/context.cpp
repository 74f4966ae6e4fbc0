// Explanations of the latest decisions.
#include "primrosed/context.h"

namespace primroseworks {

void Explanations::add(const std::string &RequestId, const std::string &Json) {
  std::lock_guard<std::mutex> Lock(m_mutex);
  auto [It, Fresh] = m_byRequest.emplace(RequestId, Json);
  if (!Fresh) {
    It->second += "," + Json;
    return;
  }
  m_order.push_back(RequestId);
  if (m_order.size() > MaxKept) {
    m_byRequest.erase(m_order.front());
    m_order.pop_front();
  }
}

std::optional<std::string>
Explanations::find(const std::string &RequestId) const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  auto It = m_byRequest.find(RequestId);
  if (It == m_byRequest.end())
    return std::nullopt;
  return "[" + It->second + "]";
}

} // namespace primroseworks
