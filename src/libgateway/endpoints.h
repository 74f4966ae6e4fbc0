// Known state of the endpoints: which are registered, what each of them holds,
// its load and its health. Does no I/O; the current time is an argument.
#ifndef PRIMROSEWORKS_LIBGATEWAY_ENDPOINTS_H
#define PRIMROSEWORKS_LIBGATEWAY_ENDPOINTS_H

#include "libgateway/endpointnotice.h"
#include "libgateway/endpointpacing.h"
#include "libgateway/engineledger.h"
#include "libgateway/types.h"
#include "libprefill/prefillpace.h"

#include <algorithm>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace primroseworks::gateway {

/// Work in progress at an endpoint.
struct EndpointLoad {
  unsigned m_requests = 0;
  std::uint64_t m_kvTokens = 0;
  std::uint64_t m_pendingPrefillTokens =
      0; ///< Prompt tokens without a first event yet.

  EndpointLoad &operator+=(const EndpointLoad &O);
  /// Removes Part; no count falls below zero.
  EndpointLoad &operator-=(const EndpointLoad &Part) {
    return *this = without(Part);
  }
  /// Returns the load minus Part; no count falls below zero.
  EndpointLoad without(const EndpointLoad &Part) const;
};

/// Contribution of a request to an engine's load.
struct RequestSize {
  std::uint64_t m_kvTokens = 0;
  std::uint64_t m_promptTokens = 0;
};

/// Health of an endpoint as shown by the end of one attempt.
enum class AttemptHealth {
  Good,
  Failed,  ///< Error of the endpoint, or a truncated or corrupt response.
  Silent,  ///< No response before the timeout, or no connection.
  Refused, ///< Stated that it did not execute the request.
  Overrun  ///< More bytes than a response may have: at fault at once.
};
inline constexpr NameTable<AttemptHealth, 5> AttemptHealthNames = {
    {{AttemptHealth::Good, "good"},
     {AttemptHealth::Failed, "failed"},
     {AttemptHealth::Silent, "silent"},
     {AttemptHealth::Refused, "refused"},
     {AttemptHealth::Overrun, "overrun"}}};

/// Which gateway chose the endpoint of a request of this VM, and reports the
/// load that it causes.
enum class PlacedBy { Local, Coordinator };

struct Endpoint {
  EndpointRecord m_record;
  /// Known holdings, from the record or from newer orders and reports.
  std::vector<HeldModel> m_held;
  /// Number of orders that m_held includes, once known from a report or from
  /// the leader.
  std::optional<std::uint64_t> m_orders;
  TimePoint m_lastOrderTime{}; ///< Last change of m_held by an order.
  /// This VM sends the endpoint's orders, and m_held comes from them and from
  /// reports. Endpoint records are older than both.
  bool m_controlledHere = false;
  EndpointLoad m_localLoad;
  /// Part of m_localLoad that coordinators report as theirs.
  EndpointLoad m_coordinatedLoad;
  struct PeerLoad {
    EndpointLoad m_load;
    TimePoint m_expires{}; ///< Dropped then, unless reported again.
  };
  std::map<std::string, PeerLoad> m_peerLoads; ///< By member name.
  EndpointLoad m_peerLoadSum;                  ///< Sum of m_peerLoads.
  double m_failureShare = 0; ///< Decaying share of failed attempts, 0 to 1.
  double m_firstByteMs = 0;  ///< Decaying mean time to the first response byte.
  double m_intervalMs = 0;   ///< Decaying mean interval between stream events.
  double m_stallShare = 0;   ///< Decaying share of stalled streams.
  TimePoint m_nextProbe{};   ///< Next probe request while it is avoided.
  TimePoint m_overrunAt{};   ///< Latest overrun that this VM has seen.
  unsigned m_consecutiveSilent = 0;
  /// m_failureShare before the first of m_consecutiveSilent.
  double m_failureShareBeforeSilence = 0;
  unsigned m_refusedConnections = 0; ///< In a row, one for each pause.
  /// Recently rejected artifacts, with the time until which each counts.
  std::map<std::string, TimePoint> m_rejectedArtifacts;
  /// Set while its record is missing because of an outage of the store: the
  /// endpoint is dropped then, unless the record returns.
  std::optional<TimePoint> m_keptUntil;

  EndpointNotice m_notice; ///< Of this incarnation.
  /// Its adaptive concurrency limit; empty unless limits are enabled.
  std::optional<EndpointPace> m_pace;

  const HeldModel *held(const std::string &Model) const;
  bool holds(const std::string &Model, const std::string &Adapter) const;
  /// Whether it is leaving, by its record or by its own responses.
  bool leaving() const { return m_record.m_draining || m_notice.m_leaving; }
  /// Whether it is registered and is not leaving, paused or not.
  bool available(TimePoint Now) const {
    return !leaving() && (!m_keptUntil || Now < *m_keptUntil);
  }
  /// Whether it asked for a pause, or refused connections, and that is not
  /// over.
  bool paused(TimePoint Now) const { return Now < m_notice.m_pausedUntil; }
  /// Whether requests may be sent to it at Now. Whatever chooses, reserves or
  /// sends asks this.
  bool acceptsRequests(TimePoint Now) const {
    return available(Now) && !paused(Now);
  }
  EndpointLoad load() const; ///< Local load plus that of the peers.
  /// Whether its adaptive limit allows no further request at this load.
  bool atPaceLimit(const EndpointLoad &Load) const {
    return m_pace && m_pace->blocks(Load.m_requests);
  }
  void setPeerLoad(const std::string &Peer, EndpointLoad Load, TimePoint Until);
  void erasePeerLoad(const std::string &Peer);
};

/// Share of failed attempts above which an endpoint is avoided: it gets only
/// probe requests.
inline constexpr double MaxFailureShare = 0.5;
/// Weight of the newest attempt in the decaying means.
inline constexpr double FailureWeight = 0.25;
inline constexpr double LatencyWeight = 0.15;
inline constexpr double StallWeight = 0.2;
inline constexpr double IntervalWeight = 0.03;
inline constexpr double MeanIntervalWeight = 0.3; ///< Of a whole stream's mean.
/// Pause after an endpoint refused a connection: so long times the number of
/// refusals in a row, but not over the maximum. The next run of its process is
/// another incarnation, which is not paused.
inline constexpr Milliseconds RefusedConnectionPause{250};
inline constexpr Milliseconds MaxRefusedConnectionPause{1000};
/// Interval between probe requests to an avoided endpoint.
inline constexpr Milliseconds AvoidedProbeInterval{700};
/// Time without requests for an artifact after the endpoint rejected one for
/// it.
inline constexpr Milliseconds RejectionLifetime{250};
/// Time within which records that lapsed while the store was unavailable are
/// expected to return.
inline constexpr Milliseconds MaxLapsedRecordGrace{2200};
/// Time from the last look at an endpoint's record until a request reaches it.
inline constexpr Milliseconds DispatchTime{300};
/// Returns for how long an endpoint is kept whose record may have lapsed. If it
/// left for good, its last request still reaches it within DrainLimit.
inline Milliseconds lapsedRecordGrace(Milliseconds DrainLimit) {
  return std::clamp(DrainLimit - DispatchTime, Milliseconds(0),
                    MaxLapsedRecordGrace);
}
class EndpointTable {
public:
  /// Gives each endpoint an adaptive concurrency limit. To be called before the
  /// first record.
  void enablePacing(EndpointPacing::OnChange Changed) {
    m_pacing.enable(std::move(Changed));
  }
  bool pacingEnabled() const { return m_pacing.enabled(); }
  /// The first list of endpoints is complete.
  void onFirstListComplete() { m_pacing.onFirstListComplete(); }
  /// Number of endpoints whose adaptive limit restricts them now.
  std::size_t limitedEndpoints() const;
  /// A complete list of the registered endpoints. Endpoints that are not listed
  /// are removed as by onRemoved().
  void onList(const std::vector<EndpointRecord> &Records, TimePoint KeepUntil,
              TimePoint Now);
  void onRecord(const EndpointRecord &Record, TimePoint Now);
  /// Removes an endpoint: at KeepUntil, unless its record returns before, or at
  /// once if that time is over. A later removal does not keep it any longer.
  void onRemoved(const std::string &Id, TimePoint KeepUntil, TimePoint Now);
  /// Whether a request that was placed at the endpoint may be sent there at
  /// Now.
  bool maySend(const std::string &Id, TimePoint Now) const;
  bool anyPause(TimePoint Now) const { return m_notices.anyPause(Now); }
  /// Takes what an endpoint said of itself, which may not be registered.
  /// Returns whether that is new.
  bool onNotice(const std::string &Id, const EndpointNotice &Notice);
  /// Drops endpoints whose records did not return, expired peer loads and old
  /// notices.
  void expire(TimePoint Now);

  /// Sets the load that a peer has at an endpoint; it counts until Until.
  void onPeerLoad(const std::string &Peer, const std::string &Id,
                  EndpointLoad Load, TimePoint Until);
  /// Drops the loads of a peer; its next report contains all of them.
  void removePeerLoads(const std::string &Peer);
  void removeAllPeerLoads();
  /// Takes an endpoint's holdings as announced by the placement leader. Ignored
  /// for endpoints that this VM controls, since a deposed leader may still
  /// announce its plans, and if a newer announcement was taken.
  void onAnnouncedHoldings(const std::string &Id, std::uint64_t Incarnation,
                           std::uint64_t Orders,
                           const std::vector<HeldModel> &Held, TimePoint Now);
  /// Sets what requests may use of an endpoint after Orders orders.
  void onHeld(const std::string &Id, std::uint64_t Incarnation,
              std::uint64_t Orders, const std::vector<HeldModel> &Held,
              TimePoint Now);
  void onSent(const std::string &Id, RequestSize Size,
              PlacedBy By = PlacedBy::Local);
  void onPrefillDone(const std::string &Id, RequestSize Size,
                     PlacedBy By = PlacedBy::Local);
  /// PrefillDone: onPrefillDone() was called for the request.
  void onEnded(const std::string &Id, RequestSize Size, bool PrefillDone,
               PlacedBy By = PlacedBy::Local);
  /// Takes a sample of the prefill time: the latency of a stream's first event,
  /// and the prompt tokens to process until then, its own and those ahead of
  /// it.
  void onFirstEvent(const std::string &Id, Duration Latency,
                    std::uint64_t Tokens);
  /// Prefill time per prompt token of the engines, as their answers show it.
  const PrefillPace &prefillPace() const { return m_prefillPace; }
  void onHealth(const std::string &Id, AttemptHealth Health, TimePoint Now);
  /// Takes a sample for the endpoint's adaptive limit. To be called while the
  /// request still counts as its load.
  void onAnswer(const std::string &Id, const AnswerSample &Answer,
                TimePoint Now);
  /// The endpoint itself stated that it did not run a request.
  void onRefused(const std::string &Id, TimePoint Now);
  /// The endpoint of a silent attempt has gone on: its silence was no failure.
  void onWentOn(const std::string &Id);
  /// Another VM has seen an overrun of this incarnation.
  void onPeerOverrun(const std::string &Id, std::uint64_t Incarnation,
                     TimePoint Now);
  /// Nothing listens at the address of the endpoint. Returns the notice of the
  /// pause that follows; nothing if it is paused already.
  std::optional<EndpointNotice> onConnectionRefused(const std::string &Id,
                                                    TimePoint Now);
  /// A connection to the endpoint was opened, or one was open.
  void onConnected(const std::string &Id);
  void onFirstByte(const std::string &Id, Duration Latency);
  /// Records whether a stream had a pause over its target (Stalled) or ended
  /// without one.
  void onStallSample(const std::string &Id, bool Stalled);
  /// Records the interval between successive events of a stream.
  void onInterval(const std::string &Id, Duration Interval);
  /// Records the mean interval between the events of a whole stream.
  void onMeanInterval(const std::string &Id, Duration Mean);
  void onArtifactRejected(const std::string &Id, const std::string &Model,
                          const std::string &Adapter, TimePoint Now);
  /// Removes the endpoint: another one responded at its address.
  void onReplaced(const std::string &Id);

  /// The endpoints of a service that hold Model; all of them if it is empty.
  const std::vector<const Endpoint *> &holders(const std::string &Service,
                                               const std::string &Model) const;
  Endpoint *find(const std::string &Id);
  const std::map<std::string, Endpoint> &all() const { return m_endpoints; }
  std::map<std::string, Endpoint> &all() { return m_endpoints; }
  static std::string artifactKey(const std::string &Model,
                                 const std::string &Adapter) {
    return Model + '/' + Adapter;
  }

private:
  using EndpointMap = std::map<std::string, Endpoint>;
  EndpointMap::iterator erase(EndpointMap::iterator It);

  EndpointMap m_endpoints; ///< By id.
  EndpointNotices m_notices;
  EndpointPacing m_pacing;
  using ServiceAndModel = std::pair<std::string, std::string>;
  /// Index of m_endpoints, built again when m_holdersValid is false. An empty
  /// model stands for all endpoints of the service.
  mutable std::map<ServiceAndModel, std::vector<const Endpoint *>> m_holders;
  mutable bool m_holdersValid = false;
  PrefillPace m_prefillPace;
};

} // namespace primroseworks::gateway

#endif
