// What this VM believes about the endpoints: who is registered, what each
// holds, how loaded it is and whether it answers. No I/O; time is an argument.
#ifndef PRIMROSEWORKS_LIBGATEWAY_ENDPOINTS_H
#define PRIMROSEWORKS_LIBGATEWAY_ENDPOINTS_H

#include "libgateway/types.h"

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
      0; ///< Prompts without a first event yet.

  EndpointLoad &operator+=(const EndpointLoad &O);
  /// What remains without Part; no count falls below zero.
  EndpointLoad without(const EndpointLoad &Part) const;
};

/// Size of a request, as far as an engine's load goes.
struct RequestSize {
  std::uint64_t m_kvTokens = 0;
  std::uint64_t m_promptTokens = 0;
};

/// How one attempt at an endpoint ended, as far as its health goes.
enum class AttemptHealth {
  Good,
  Failed, ///< A failure of its own, broken off or spoilt.
  Silent, ///< No answer in the time allowed, or no connection.
  Refused ///< It stated that it did not run the request.
};
inline constexpr NameTable<AttemptHealth, 4> AttemptHealthNames = {
    {{AttemptHealth::Good, "good"},
     {AttemptHealth::Failed, "failed"},
     {AttemptHealth::Silent, "silent"},
     {AttemptHealth::Refused, "refused"}}};

struct Endpoint {
  EndpointRecord m_record;
  /// Present belief of what it holds: the record, or newer orders.
  std::vector<HeldModel> m_held;
  /// Orders that m_held includes, once a report or the leader told.
  std::optional<std::uint64_t> m_orders;
  TimePoint m_heldSince{}; ///< Last change of m_held by an order.
  /// This VM gives its orders, and m_held comes from them and from reports.
  /// Entries are older than both.
  bool m_ledHere = false;
  EndpointLoad m_localLoad;
  struct PeerLoad {
    EndpointLoad m_load;
    TimePoint m_until{}; ///< Forgotten then, unless told again.
  };
  std::map<std::string, PeerLoad> m_peerLoads; ///< By member name.
  EndpointLoad m_peerSum;                      ///< Of m_peerLoads.
  double m_failureShare =
      0;                    ///< Decaying share of attempts that failed, 0 to 1.
  double m_firstByteMs = 0; ///< Decaying mean until the first answer byte.
  double m_intervalMs = 0;  ///< Decaying mean between events of a stream.
  double m_stallShare = 0; ///< Decaying share of streams with too long a pause.
  TimePoint m_nextProbe{}; ///< While it is avoided: the next request it gets.
  unsigned m_silentInRow = 0;
  /// Artifacts that it refused lately, and until when that counts.
  std::map<std::string, TimePoint> m_rejectedArtifacts;
  std::optional<TimePoint> m_missingSince; ///< Left the list in an outage.

  const HeldModel *held(const std::string &Model) const;
  bool holds(const std::string &Model, const std::string &Adapter) const;
  EndpointLoad load() const; ///< Own and peers'.
  void setPeer(const std::string &Peer, EndpointLoad Load, TimePoint Until);
  void erasePeer(const std::string &Peer);
};

/// Decaying share of failures above which an endpoint gets only probes.
inline constexpr double MaxFailureShare = 0.5;
/// Weight of the newest attempt in the decaying means.
inline constexpr double FailureWeight = 0.25;
inline constexpr double LatencyWeight = 0.15;
inline constexpr double StallWeight = 0.2;
inline constexpr double IntervalWeight = 0.03;
/// Reading time of a prompt token, in ms, until it is measured, and its bounds:
/// a stalled engine must not shut out requests for all others.
inline constexpr double TypicalReadMs = 0.06;
inline constexpr double LeastReadMs = 0.01;
inline constexpr double MostReadMs = 0.3;
inline constexpr double ReadWeight = 0.05;
/// Part of a first event's latency that does not depend on the prompt, in ms.
inline constexpr double FirstEventBaseMs = 30;
/// Pause between requests that test an avoided endpoint.
inline constexpr Milliseconds AvoidedProbeInterval{700};
/// A refusal of an artifact keeps requests for it away for this long.
inline constexpr Milliseconds RefusalLifetime{250};
/// Entries that lapsed while the store was away return within this time.
inline constexpr Milliseconds LapsedRecordGrace{2500};
/// An entry does not say which orders it includes. For this long after the last
/// order the belief from the order is kept; an entry is written at least every
/// heartbeat after a change.
inline constexpr Milliseconds OrderSettleTime{2500};

/// Age that a report may have: one that comes later after an order includes it.
inline constexpr Milliseconds ReportAgeMax{700};

class EndpointTable {
public:
  /// A complete list of the registered endpoints. StoreWasAway: entries may
  /// have lapsed although their endpoints live.
  void onList(const std::vector<EndpointRecord> &Records, bool StoreWasAway,
              TimePoint Now);
  void onRecord(const EndpointRecord &Record, TimePoint Now);
  void onRemoved(const std::string &Id, bool StoreWasAway, TimePoint Now);
  /// Drops endpoints whose entries did not return, and loads whose time is up.
  void expire(TimePoint Now);

  /// A peer's load, which counts until Until.
  void onPeerLoad(const std::string &Peer, const std::string &Id,
                  EndpointLoad Load, TimePoint Until);
  /// Forgets a peer's loads: its next report tells all of them.
  void removePeerLoads(const std::string &Peer);
  /// Forgets the loads of all peers.
  void removeAllPeerLoads();
  /// What the placement leader says an endpoint holds. Ignored for endpoints
  /// that this VM orders: a deposed leader may still announce its plans.
  void onAnnouncedHoldings(const std::string &Id, std::uint64_t Incarnation,
                           std::uint64_t Orders,
                           const std::vector<HeldModel> &Held, TimePoint Now);
  /// What an endpoint holds after an order of this VM.
  void onHeld(const std::string &Id, std::uint64_t Incarnation,
              std::uint64_t Orders, const std::vector<HeldModel> &Held,
              TimePoint Now);
  /// An engine's own report, which is some hundred ms old.
  void onReport(const std::string &Id, std::uint64_t Incarnation,
                std::uint64_t Orders, const std::vector<HeldModel> &Held,
                TimePoint Now);
  void onSent(const std::string &Id, RequestSize Size);
  /// The engine has read the prompt.
  void onPrefillDone(const std::string &Id, RequestSize Size);
  /// PromptRead: onPrefillDone() was called for it.
  void onEnded(const std::string &Id, RequestSize Size, bool PromptRead);
  /// Time until the first event of a stream, and the prompt tokens that were
  /// ahead of it or its own.
  void onFirstEvent(const std::string &Service, Duration Latency,
                    std::uint64_t Tokens);
  /// Time that an engine of the service takes to read a prompt token, in ms.
  double prefillMsPerToken(const std::string &Service) const;
  void onHealth(const std::string &Id, AttemptHealth Health, TimePoint Now);
  void onFirstByte(const std::string &Id, Duration Latency);
  /// A stream had a pause over its target, or ended without one.
  void onStallSample(const std::string &Id, bool TooLong);
  /// Events of a stream came this long after those before.
  void onInterval(const std::string &Id, Duration Interval);
  void onArtifactRejected(const std::string &Id, const std::string &Model,
                          const std::string &Adapter, TimePoint Now);
  /// Another endpoint answered at its address.
  void onReplaced(const std::string &Id);

  Endpoint *find(const std::string &Id);
  const std::map<std::string, Endpoint> &all() const { return m_endpoints; }
  std::map<std::string, Endpoint> &all() { return m_endpoints; }
  static std::string artifactKey(const std::string &Model,
                                 const std::string &Adapter) {
    return Model + '/' + Adapter;
  }

private:
  std::map<std::string, Endpoint> m_endpoints; ///< By id.
  std::map<std::string, double> m_readMs;      ///< By service; decaying mean.
};

} // namespace primroseworks::gateway

#endif
