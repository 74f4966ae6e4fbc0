// Adaptive concurrency limit of one endpoint. Does no I/O; the current time is
// an argument.
//
// Load pattern: an engine that has just started, or that recovers, is several
// times slower for some seconds. The load reports show it as idle, so every
// gateway fills it at once, and all that it was given is late. The limit starts
// low, doubles with each round of answers near the latency floor, shrinks with
// slow answers, refusals and failures, and no longer restricts once it reaches
// the slots that the endpoint states.
#ifndef PRIMROSEWORKS_LIBPACE_PACE_H
#define PRIMROSEWORKS_LIBPACE_PACE_H

#include "libpace/latencyfloor.h"
#include "primroseworks/names.h"

#include <string>
#include <string_view>
#include <vector>

namespace primroseworks {

/// Why an endpoint is limited.
enum class PaceCause {
  None,         ///< Not limited.
  GatewayStart, ///< This process has just started and knows no answers of it.
  Started,      ///< Its incarnation appeared while this process watched.
  Recovered,    ///< It answers again after a time of another cause.
  Slow,         ///< Its answers take much longer than their floor.
  Refused,      ///< It stated for several requests that it did not run them.
  Failed,       ///< Several attempts in a row failed.
  Silent        ///< Several attempts in a row got no answer.
};
inline constexpr NameTable<PaceCause, 8> PaceCauseNames = {
    {{PaceCause::None, "none"},
     {PaceCause::GatewayStart, "gateway_start"},
     {PaceCause::Started, "started"},
     {PaceCause::Recovered, "recovered"},
     {PaceCause::Slow, "slow"},
     {PaceCause::Refused, "refused"},
     {PaceCause::Failed, "failed"},
     {PaceCause::Silent, "silent"}}};

/// How this process came to know an incarnation of an endpoint.
enum class PaceOrigin {
  FirstList, ///< It was in the first list that the process read.
  Appeared   ///< It appeared later: the endpoint has just started.
};

/// A bad end of an attempt.
enum class PaceTrouble { Refused, Failed, Silent };

/// One answer of an endpoint.
struct PaceSample {
  /// Answers of different kinds, such as those of different models, have
  /// different floors.
  std::string_view m_kind;
  Duration m_latency{}; ///< Until the first event, or of the whole answer.
  /// Prompt tokens until the first event, queued ones included; 1 for plain
  /// services. Above 0.
  double m_work = 1;
};

/// Requests at an endpoint.
struct PaceLoad {
  unsigned m_total = 0; ///< Of all gateways, as far as known.
  unsigned m_local = 0; ///< That this process placed.
};

/// What the other endpoints of the service show.
struct PaceService {
  /// Floor of the service's unlimited endpoints for the kind of the sample, in
  /// ms per unit of work; 0 if unknown.
  double m_floorMs = 0;
  /// Most endpoints of the service are limited. A limit sends requests to other
  /// endpoints; where there are none, limits for slowness only cost capacity.
  bool m_mostLimited = false;
};

/// Limit of an endpoint whose incarnation appeared while the process watched.
/// Also the least limit that slow answers alone lead to: with 1, a long answer
/// would hold back the samples that show that the endpoint is fast again.
inline constexpr unsigned PaceStartLimit = 2;
/// Share of the slots with which a process that has just started begins.
inline constexpr double PaceFirstListShare = 0.5;
/// Share of the slots with which a recovered endpoint begins; PaceStartLimit at
/// least.
inline constexpr double PaceRecoveredShare = 0.25;
/// Latency that does not depend on the work: network, and the rest of a decode
/// step. It keeps short answers from looking slow for a few milliseconds.
inline constexpr double PaceBaseMs = 20;
/// An answer that took up to this multiple of its floor lets the limit grow.
inline constexpr double PaceGrowRatio = 1.6;
/// The limit shrinks when the mean of latency to floor exceeds this.
inline constexpr double PaceShrinkRatio = 2.0;
/// Weight of the newest answer in that mean, and the most that one answer
/// counts: a single answer raises the mean from 1 to 1.6 at most.
inline constexpr double PaceRatioWeight = 0.2;
inline constexpr double PaceMaxSampleRatio = 4.0;
/// Samples of requests sent after the last change that a shrink needs.
inline constexpr unsigned PaceMinSamples = 5;
/// One shrink for slow answers leaves between these shares of the limit.
inline constexpr double PaceMinShrink = 0.5;
inline constexpr double PaceMaxShrink = 0.9;
/// Weight of the newest attempt in the share of bad ends, and the share above
/// which the limit is halved: after two bad ends in a row.
inline constexpr double PaceTroubleWeight = 0.25;
inline constexpr double PaceMaxTroubleShare = 0.4;
/// An endpoint that did not answer this many attempts in a row has limit 1.
inline constexpr unsigned PaceSilentAttempts = 2;
/// A slow spell is over after so many good answers in a row.
inline constexpr unsigned PaceRecoveryAnswers = 2;
/// A round with a good answer is over after this time at the latest if nothing
/// spoke against it: an engine that decodes for minutes frees no slot for a
/// further sample.
inline constexpr Milliseconds PaceMaxRound{500};
/// The same if other gateways use all that the limit allows, so that this one
/// gets no sample. It is longer, since a slow engine cannot be told here.
inline constexpr Milliseconds PaceMaxUnseenRound{1500};
/// For this long after a start or a recovery, the floor of the whole service
/// counts as well: the endpoint's own answers are all slow then. It ends, so
/// that slower hardware is not limited for good.
inline constexpr Milliseconds PaceReferencePeriod{3000};
/// Kinds of answers of one endpoint that have a floor; the one without answers
/// for the longest time is dropped.
inline constexpr std::size_t PaceMaxKinds = 8;

/// The limit of one incarnation of an endpoint.
class EndpointPace {
public:
  /// Slots: maximum number of requests that the endpoint states; 0: unknown,
  /// the endpoint is never limited.
  static EndpointPace create(PaceOrigin Origin, unsigned Slots, TimePoint Now);

  bool limited() const { return m_cause != PaceCause::None; }
  /// Whether the endpoint may get no further request at this load.
  bool blocks(unsigned TotalLoad) const {
    return limited() && TotalLoad >= m_limit;
  }
  unsigned limit() const { return m_limit; }
  unsigned slots() const { return m_slots; }
  PaceCause cause() const { return m_cause; }
  /// Decaying mean of latency to floor; 1 is at the floor.
  double ratio() const { return m_ratio; }
  /// Time of the latest sample; the epoch before the first one.
  TimePoint lastSampleAt() const;
  /// Floor and mean of the kind with the latest sample, in ms per unit of work.
  double floorMs() const;
  double latencyMs() const;

  void setSlots(unsigned Slots);
  /// Takes an answer. Load contains its request.
  void onSample(const PaceSample &Sample, const PaceService &Service,
                PaceLoad Load, TimePoint Now);
  /// An attempt ended well.
  void onGood(TimePoint Now);
  void onTrouble(PaceTrouble Trouble, TimePoint Now);
  /// A silent attempt has gone on: its silence was no failure. What it answers
  /// next ends the limit of a silent endpoint.
  void onWentOn() { m_silentInRow = 0; }
  /// To be called several times a second.
  void onTick(PaceLoad Load, TimePoint Now);

private:
  struct Kind {
    std::string m_name;
    LatencyFloor m_floor;
  };
  LatencyFloor &floorOf(std::string_view Name);
  double ratioOf(const PaceSample &Sample, const LatencyFloor &Own,
                 const PaceService &Service, TimePoint Now) const;
  void shrinkIfSlow(TimePoint Now);
  void growIfAnswered(double SampleRatio, PaceLoad Load, TimePoint Now);
  void recover(TimePoint Now);
  void setLimit(unsigned Limit, PaceCause Cause, TimePoint Now);
  bool inTrouble() const {
    return m_cause == PaceCause::Refused || m_cause == PaceCause::Failed ||
           m_cause == PaceCause::Silent;
  }

  unsigned m_slots = 0;
  /// 1 to m_slots; equal to m_slots while m_cause is None.
  unsigned m_limit = 0;
  PaceCause m_cause = PaceCause::None;
  TimePoint m_changedAt{};      ///< Last change of m_limit or m_cause.
  TimePoint m_referenceUntil{}; ///< The service's floor counts until then.
  std::vector<Kind> m_kinds;    ///< PaceMaxKinds at most.
  std::size_t m_lastKind = 0;   ///< Index of the latest sample's kind.
  double m_ratio = 1;
  unsigned m_samples = 0; ///< Of requests sent after m_changedAt.
  /// Good answers since m_changedAt that came while the limit was reached.
  unsigned m_goodAtLimit = 0;
  unsigned m_goodInRow = 0;
  TimePoint m_lastBadAt{}; ///< Last slow answer or bad end.
  double m_troubleShare = 0;
  unsigned m_silentInRow = 0;
  /// Since when the limit has been reached, as the ticks saw it.
  TimePoint m_reachedSince = TimePoint::max();
};

} // namespace primroseworks

#endif
