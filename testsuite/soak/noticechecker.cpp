// Judgement of the requests that arrive after an endpoint's notice.
#include "noticechecker.h"

#include <fmt/format.h>

namespace primroseworks::soak {

namespace {

/// Bounds of the users' deployments.
constexpr std::chrono::milliseconds LeavingLimit{2500};
constexpr std::chrono::milliseconds PauseReaction{500};
constexpr unsigned MaxArrivalsInPause = 2;

} // namespace

void NoticeChecker::onPassedOn(const std::string &Id) {
  const auto It = m_requests.find(Id);
  if (It == m_requests.end() || It->second.m_leavingEndpoint.empty())
    return;
  const Request &R = It->second;
  m_leavingSince.try_emplace({R.m_vm, R.m_leavingEndpoint}, Clock::now());
}

void NoticeChecker::onInterruption(const std::string &Vm) {
  for (auto It = m_leavingSince.begin(); It != m_leavingSince.end();)
    It = It->first.first == Vm ? m_leavingSince.erase(It) : std::next(It);
  for (auto It = m_pauses.begin(); It != m_pauses.end();)
    It = It->first.first == Vm ? m_pauses.erase(It) : std::next(It);
}

void NoticeChecker::onArrival(const std::string &RequestId,
                              const std::string &Endpoint) {
  const auto It = m_requests.find(RequestId);
  if (It == m_requests.end())
    return;
  const VmAndEndpoint At{It->second.m_vm, Endpoint};
  checkLeaving(RequestId, It->second, At);
  checkPauses(RequestId, At);
}

void NoticeChecker::onResponse(const std::string &RequestId,
                               const std::string &Endpoint,
                               const platform::testing::EngineNotice &Notice) {
  const auto It = m_requests.find(RequestId);
  if (It == m_requests.end())
    return;
  Request &R = It->second;
  R.m_leavingEndpoint = Notice.m_leaving ? Endpoint : std::string();
  m_leavingNotices += Notice.m_leaving ? 1 : 0;
  if (Notice.m_retryAfter.count() == 0)
    return;
  ++m_pauseNotices;
  const Clock::time_point Now = Clock::now();
  m_pauses.emplace(VmAndEndpoint{R.m_vm, Endpoint},
                   Pause{Now, Now + Notice.m_retryAfter});
}

void NoticeChecker::checkLeaving(const std::string &Id, const Request &R,
                                 const VmAndEndpoint &At) {
  const auto Since = m_leavingSince.find(At);
  if (Since == m_leavingSince.end())
    return;
  ++m_arrivalsAfterNotice;
  if (R.m_sentAt <= Since->second + LeavingLimit)
    return;
  ++m_lateArrivals;
  const std::chrono::duration<double> Age = R.m_sentAt - Since->second;
  m_check.violation(fmt::format("{} reached {}, whose leaving {} had passed on "
                                "{:.2f} s before the request was sent",
                                Id, At.second, At.first, Age.count()));
}

void NoticeChecker::checkPauses(const std::string &Id,
                                const VmAndEndpoint &At) {
  const Clock::time_point Now = Clock::now();
  const auto [Begin, End] = m_pauses.equal_range(At);
  for (auto It = Begin; It != End; ++It) {
    Pause &P = It->second;
    if (Now < P.m_answeredAt + PauseReaction || Now > P.m_end ||
        m_lastLinkFault(At.second) >= P.m_answeredAt)
      continue;
    ++m_arrivalsInPause;
    if (++P.m_arrivals <= MaxArrivalsInPause)
      continue;
    ++m_excessArrivals;
    const std::chrono::duration<double> Age = Now - P.m_answeredAt;
    m_check.violation(fmt::format("{} reached {}, request {} of {} in a pause "
                                  "that it asked for {:.2f} s before",
                                  Id, At.second, P.m_arrivals, At.first,
                                  Age.count()));
  }
}

std::string NoticeChecker::summary() const {
  return fmt::format("{} leaving notices, {} requests after one, {} of them "
                     "late; {} pauses asked for, {} requests within one, {} of "
                     "them too many",
                     m_leavingNotices, m_arrivalsAfterNotice, m_lateArrivals,
                     m_pauseNotices, m_arrivalsInPause, m_excessArrivals);
}

} // namespace primroseworks::soak
