// The promises, judged by what was seen.
#include "checker.h"

#include <fmt/format.h>

namespace primroseworks::soak {

void Checker::onRun(const std::string &Id, const std::string &Endpoint) {
  const auto It = m_requests.find(Id);
  if (It == m_requests.end()) {
    violation("a request runs that no caller sent: " + Id);
    return;
  }
  Request &R = It->second;
  R.m_runs.push_back(Endpoint);
  if (R.m_runs.size() > 1 && !mayRunAgain(R.m_work))
    violation(
        fmt::format("{} ran at {} and again at {}", Id, R.m_runs[0], Endpoint));
}

void Checker::onVerdict(const std::string &Id, Verdict V) {
  m_requests[Id].m_verdict = V;
  if (V == Verdict::NotSent)
    return;
  ++m_ended;
  if (V == Verdict::Success)
    ++m_succeeded;
}

bool Checker::hasRun(const std::string &Id) const {
  const auto It = m_requests.find(Id);
  return It != m_requests.end() && !It->second.m_runs.empty();
}

void Checker::violation(const std::string &What) {
  m_violations.push_back(fmt::format(
      "{:.3f} s: {}",
      std::chrono::duration<double>(Clock::now() - m_start).count(), What));
}

void Checker::finish() {
  for (const auto &[Id, R] : m_requests) {
    if (R.m_verdict == Verdict::NotRun && !mayRunAgain(R.m_work) &&
        !R.m_runs.empty())
      violation(Id + " was answered as not run, but ran at " + R.m_runs[0]);
    if (R.m_verdict == Verdict::Success && R.m_runs.empty())
      violation(Id + " was answered with success, but ran nowhere");
  }
}

std::map<Verdict, unsigned> Checker::counts() const {
  std::map<Verdict, unsigned> Out;
  for (const auto &[Id, R] : m_requests)
    ++Out[R.m_verdict];
  return Out;
}

std::pair<unsigned, unsigned> Checker::takeEnded() {
  const std::pair<unsigned, unsigned> Out{m_ended, m_succeeded};
  m_ended = 0;
  m_succeeded = 0;
  return Out;
}

} // namespace primroseworks::soak
