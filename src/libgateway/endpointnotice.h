// What endpoints say of themselves in their responses: that they are leaving,
// or that they want no requests for some time. An address that refuses
// connections counts as the latter.
//
// Such a notice holds for one incarnation of an endpoint and outlives what the
// metadata store says: its record may be older, be read again from an older
// list, or be missing for some time.
#ifndef PRIMROSEWORKS_LIBGATEWAY_ENDPOINTNOTICE_H
#define PRIMROSEWORKS_LIBGATEWAY_ENDPOINTNOTICE_H

#include "libgateway/dialect.h"
#include "primroseworks/names.h"
#include "primroseworks/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace primroseworks::gateway {

/// Longest pause that an endpoint may ask for.
inline constexpr Milliseconds MaxEndpointPause = std::chrono::hours(1);
/// A notice of an endpoint that is not registered is forgotten after this time;
/// its process has ended by then.
inline constexpr Milliseconds NoticeLifetime = std::chrono::minutes(10);

struct EndpointNotice {
  /// Incarnation of the endpoint that it is about.
  std::uint64_t m_incarnation = 0;
  bool m_leaving = false;
  TimePoint m_pausedUntil{}; ///< It wants no requests before.
  TimePoint m_heardAt{};     ///< When this VM heard it last.
};

/// From whom a VM heard a notice.
enum class NoticeSource {
  Response,   ///< From the endpoint itself.
  Connection, ///< From its address, which refused a connection.
  Gateway     ///< From another gateway, in what its attempt showed.
};
inline constexpr NameTable<NoticeSource, 3> NoticeSourceNames = {
    {{NoticeSource::Response, "response"},
     {NoticeSource::Connection, "connection"},
     {NoticeSource::Gateway, "gateway"}}};

/// The notice in a response of the endpoint Id, received at Now; nothing if it
/// contains none or another endpoint sent it.
std::optional<EndpointNotice>
noticeIn(const HttpHead &Head, const ResponseMetadata &Metadata,
         const std::string &Id, std::uint64_t Incarnation, TimePoint Now);

/// The latest notices, by endpoint.
class EndpointNotices {
public:
  /// Adds what Notice says. Returns false if that was known or if it is about
  /// an earlier incarnation.
  bool add(const std::string &Id, const EndpointNotice &Notice);
  /// What this incarnation or a later one has said; an empty notice if nothing.
  /// A request to an earlier incarnation reaches the present one.
  EndpointNotice find(const std::string &Id, std::uint64_t Incarnation) const;
  /// Forgets old notices of endpoints that are not registered.
  void expire(const std::function<bool(const std::string &)> &IsRegistered,
              TimePoint Now);
  /// Whether any endpoint may want no requests at Now.
  bool anyPause(TimePoint Now) const { return Now < m_latestPauseEnd; }
  std::size_t size() const { return m_notices.size(); }

private:
  std::map<std::string, EndpointNotice> m_notices; ///< By endpoint id.
  TimePoint m_latestPauseEnd{}; ///< Of all notices that were ever added.
};

} // namespace primroseworks::gateway

#endif
