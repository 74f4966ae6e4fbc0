// Notices of endpoints about themselves.
#include "libgateway/endpointnotice.h"

#include <algorithm>

namespace primroseworks::gateway {

namespace {

constexpr unsigned StatusMisdirected = 421;
constexpr unsigned StatusUnavailable = 503;

/// Whether the endpoint Id sent the response. Only a misdirected request is
/// answered by another one that listens at its address.
bool isFrom(const std::string &Id, const HttpHead &Head,
            const ResponseMetadata &Metadata) {
  if (!Metadata.m_endpoint.empty())
    return Metadata.m_endpoint == Id;
  return Head.m_status != StatusMisdirected;
}

} // namespace

std::optional<EndpointNotice>
noticeIn(const HttpHead &Head, const ResponseMetadata &Metadata,
         const std::string &Id, std::uint64_t Incarnation, TimePoint Now) {
  const bool Pauses = Head.m_status == StatusUnavailable &&
                      Metadata.m_retryAfter > Duration::zero();
  if (!(Metadata.m_leaving || Pauses) || !isFrom(Id, Head, Metadata))
    return std::nullopt;
  EndpointNotice Notice;
  Notice.m_incarnation = Incarnation;
  Notice.m_leaving = Metadata.m_leaving;
  if (Pauses)
    Notice.m_pausedUntil =
        Now + std::min<Duration>(Metadata.m_retryAfter, MaxEndpointPause);
  Notice.m_heardAt = Now;
  return Notice;
}

bool EndpointNotices::add(const std::string &Id, const EndpointNotice &Notice) {
  m_latestPauseEnd = std::max(m_latestPauseEnd, Notice.m_pausedUntil);
  const auto [It, IsNew] = m_notices.try_emplace(Id, Notice);
  if (IsNew)
    return true;
  EndpointNotice &Known = It->second;
  if (Notice.m_incarnation < Known.m_incarnation)
    return false;
  if (Notice.m_incarnation > Known.m_incarnation) {
    Known = Notice;
    return true;
  }
  const bool Changes = (Notice.m_leaving && !Known.m_leaving) ||
                       Notice.m_pausedUntil > Known.m_pausedUntil;
  Known.m_leaving = Known.m_leaving || Notice.m_leaving;
  Known.m_pausedUntil = std::max(Known.m_pausedUntil, Notice.m_pausedUntil);
  Known.m_heardAt = std::max(Known.m_heardAt, Notice.m_heardAt);
  return Changes;
}

EndpointNotice EndpointNotices::find(const std::string &Id,
                                     std::uint64_t Incarnation) const {
  const auto It = m_notices.find(Id);
  if (It == m_notices.end() || It->second.m_incarnation < Incarnation)
    return EndpointNotice();
  return It->second;
}

void EndpointNotices::expire(
    const std::function<bool(const std::string &)> &IsRegistered,
    TimePoint Now) {
  for (auto It = m_notices.begin(); It != m_notices.end();) {
    const EndpointNotice &N = It->second;
    const bool Old = Now - N.m_heardAt > NoticeLifetime &&
                     Now >= N.m_pausedUntil && !IsRegistered(It->first);
    It = Old ? m_notices.erase(It) : std::next(It);
  }
}

} // namespace primroseworks::gateway
