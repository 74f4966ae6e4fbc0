// Attempts whose endpoint closed the connection instead of answering, until it
// is known whether the endpoint has ended.
//
// A closed connection alone shows nothing: an endpoint in trouble resets the
// connections of harmless requests and goes on. That its process has ended is
// shown by its address, which refuses connections, or by a record of another
// incarnation under its id or at its address.
#ifndef PRIMROSEWORKS_LIBGATEWAY_BROKENATTEMPTS_H
#define PRIMROSEWORKS_LIBGATEWAY_BROKENATTEMPTS_H

#include "libgateway/types.h"
#include "primroseworks/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace primroseworks::gateway {

/// One life of an endpoint's process.
struct EndpointIncarnation {
  std::string m_endpoint;
  std::uint64_t m_incarnation = 0;

  bool operator<(const EndpointIncarnation &O) const {
    return std::tie(m_endpoint, m_incarnation) <
           std::tie(O.m_endpoint, O.m_incarnation);
  }
};

/// What showed that an endpoint has ended.
enum class EndEvidence {
  Refused, ///< Its address refuses connections.
  Replaced ///< Another incarnation has its id or its address.
};
inline constexpr NameTable<EndEvidence, 2> EndEvidenceNames = {
    {{EndEvidence::Refused, "refused"}, {EndEvidence::Replaced, "replaced"}}};

/// A request whose attempt was broken off.
struct BrokenRequest {
  std::uint64_t m_fingerprint = 0;
  /// Parts of its prompt that its answer had not shown to be harmless.
  std::vector<std::uint64_t> m_parts;
  TimePoint m_at{}; ///< When the attempt was broken off.
};

/// An end that was found, with the requests whose attempts it broke off.
struct FoundEnd {
  EndpointIncarnation m_incarnation;
  std::vector<BrokenRequest> m_requests;
};

/// An end counts for attempts that were broken off within this time before it
/// was found. A process that starts again is registered within it.
inline constexpr Milliseconds EndEvidencePeriod{5000};
/// The record of an endpoint that has ended is gone within this time. One that
/// is still there shows that connections were refused for another reason, such
/// as a cut network.
inline constexpr Milliseconds EndConfirmationPeriod{6000};
/// Most broken attempts that are kept; beyond it, further ones are dropped.
inline constexpr std::size_t BrokenAttemptsMax = 4096;

class BrokenAttempts {
public:
  /// An endpoint at Address closed the connection of an attempt. Returns true
  /// if this incarnation is already known to have ended.
  bool onBroken(BrokenRequest Request, const EndpointIncarnation &Which,
                const std::string &Address);
  /// The address of this incarnation refuses connections.
  FoundEnd onRefused(const EndpointIncarnation &Which, TimePoint Now);
  /// This incarnation answered a request that was sent at SentAt: it did not
  /// end before.
  void onAnswered(const EndpointIncarnation &Which, TimePoint SentAt);
  /// A record shows which other incarnations have ended.
  std::vector<FoundEnd> onRecord(const EndpointRecord &Record, TimePoint Now);
  void expire(TimePoint Now);
  std::size_t size() const { return m_size; }

private:
  struct Entry {
    std::string m_address;
    std::vector<BrokenRequest> m_attempts; ///< Oldest first.
    std::optional<TimePoint> m_endedAt;
  };
  FoundEnd take(const EndpointIncarnation &Which, Entry &E, TimePoint Now);

  std::map<EndpointIncarnation, Entry> m_entries;
  std::size_t m_size = 0; ///< Attempts in all entries.
};

} // namespace primroseworks::gateway

#endif
