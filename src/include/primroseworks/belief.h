// What a daemon believes about endpoints between their lagging reports: load,
// token gap as a function of the batch, and contents of the prefix cache.
#ifndef PRIMROSEWORKS_BELIEF_H
#define PRIMROSEWORKS_BELIEF_H

#include "primroseworks/engine.h"
#include "primroseworks/intern.h"
#include "primroseworks/time.h"

#include <array>
#include <cstdint>
#include <deque>
#include <random>
#include <unordered_map>
#include <vector>

namespace primroseworks {

/// Token gap of one endpoint as a linear function of its batch size, fitted to
/// the reports with exponential forgetting.
class GapModel {
public:
  void observe(unsigned Running, double GapMillis);
  /// Predicted gap in ms with Sequences in the batch; 0 before any report.
  double predict(double Sequences) const;
  /// Most sequences with a predicted gap of at most TargetMillis, between 1 and
  /// MaxBatch. Grows a quarter and 8 beyond the largest batch seen lately at
  /// most, so that the fit is not trusted far outside its data.
  unsigned limit(double TargetMillis, unsigned MaxBatch) const;

private:
  struct Line {
    double m_base;
    double m_slope;
  };
  Line fit() const;

  double m_weight = 0; ///< Sums over observations, the newest weighing 1.
  double m_sumX = 0;
  double m_sumY = 0;
  double m_sumXX = 0;
  double m_sumXY = 0;
  double m_largest = 0; ///< Largest batch seen, decaying.
};

/// Time between load reports until it is measured.
inline constexpr Milliseconds ReportInterval{250};
/// How much older than the age found a report can be.
inline constexpr Milliseconds ReportDelay{150};

/// How old load reports are when they arrive, from how this daemon's own sends
/// and ends show in them: the change of the reported load follows the change of
/// the own load by the age of the reports. Pooled over all endpoints.
class ReportAge {
public:
  static constexpr std::size_t Steps = 32;
  static constexpr Milliseconds Step{250};
  /// One report: the change of the load it tells, and the change of the own
  /// load over the same time, for each age from 0 in steps.
  void observe(double Change, const std::array<double, Steps> &OwnChange);
  /// The age, in the middle of its step; ReportInterval until it is clear.
  Duration age() const;

private:
  std::array<double, Steps> m_own{};    ///< Sums of squares of own changes.
  std::array<double, Steps> m_common{}; ///< Sums of products.
};

/// Load of one endpoint: its last report, corrected by this daemon's sends and
/// ends and by what peers say they have in progress there.
class LoadBelief {
public:
  LoadBelief();
  /// Ages is told how the report relates to own changes, and tells its age.
  void onReport(const LoadReport &Report, TimePoint Now,
                ReportAge *Ages = nullptr);
  /// InFlight: requests of all other daemons now in progress there.
  void onPeerLoad(unsigned InFlight, TimePoint Now);
  /// Uncached is the part of the prompt that the endpoint has to compute.
  void onSent(unsigned Uncached, TimePoint Now);
  void onFirstToken(unsigned Uncached);
  /// An attempt ended; Prefilled is false if it never gave a token.
  void onEnded(unsigned Uncached, bool Prefilled, TimePoint Now);
  /// With false, load is taken from the last report alone, for ablations.
  void setCorrection(bool On) { m_correction = On; }
  bool reported() const { return m_hasReport; }
  const LoadReport &report() const { return m_report; }
  Duration reportAge(TimePoint Now) const { return Now - m_reportTime; }

  /// Own sends of this time before a report may be missing in it.
  Duration lag() const { return m_age + ReportDelay; }
  /// Sequences of other daemons that may have come or gone unseen, if a
  /// request stays HoldMillis.
  double uncertainty(double HoldMillis, TimePoint Now) const;
  unsigned own() const { return m_own; }
  /// Sequences believed at the endpoint, of all daemons, running or waiting.
  double occupancy(TimePoint Now) const;
  /// Prompt tokens believed to wait for prefill there.
  double backlogTokens(TimePoint Now) const;
  /// Sequences that may be at the endpoint so that its gap stays within
  /// GapTargetMillis.
  unsigned limit(double GapTargetMillis) const;
  /// Predicted gap in ms; 0 while no report had a gap.
  double predictGap(double Sequences) const { return m_gap.predict(Sequences); }
  /// Renews the number of free slots that this daemon may fill. Several daemons
  /// see the same free slots, so each gets a part per report interval: a base
  /// that is the same for each, and more in proportion to what it has there.
  /// The first time RandomUnit, in [0, 1), is added, so that daemons do not
  /// take their next slots at the same moment.
  void renewAllowance(double GapTargetMillis, double RandomUnit, TimePoint Now);
  Duration sinceRenewal(TimePoint Now) const { return Now - m_renewed; }
  bool allowanceLeft() const { return m_allowance >= 1; }
  /// Own ends not yet followed by an own send, since the last report: filling
  /// such a slot leaves the load as it was.
  bool replaces() const { return m_vacated > 0; }

private:
  unsigned ownThen(TimePoint Now) const;
  std::array<double, ReportAge::Steps> ownChange(TimePoint Now) const;
  void recordOwn(TimePoint Now);

  LoadReport m_report;
  bool m_hasReport = false;
  bool m_correction = true; ///< See setCorrection().
  TimePoint m_reportTime{};
  GapModel m_gap;
  unsigned m_own = 0;     ///< In progress from this daemon.
  double m_ownTokens = 0; ///< Of those, prompt tokens not yet prefilled.
  double m_others = 0;    ///< Sequences of other daemons.
  double m_othersTokens = 0;
  double m_growth = 0; ///< Mean change of m_others between reports.
  double m_foreign;    ///< Mean share of other daemons in the load, 0 to 1.
  Duration m_age;      ///< Of the last report when it arrived.
  Duration m_interval; ///< Mean time between reports.
  double m_allowance = 1;
  TimePoint m_renewed{};    ///< When m_allowance was renewed.
  unsigned m_vacated = 0;   ///< See replaces().
  bool m_contended = false; ///< Daemons compete for its free slots.
  double m_givenUp = 0;     ///< Fraction of a slot to leave to other daemons.
  struct OwnSample {
    TimePoint m_time;
    unsigned m_own;
  };
  /// Own count by time, oldest first, within the ages that ReportAge tells.
  std::deque<OwnSample> m_history;
};

/// Which endpoints probably hold a prompt prefix.
class PrefixBelief {
public:
  struct Holder {
    EndpointId m_endpoint = 0;
    double m_confidence = 0; ///< 0 to 1 at the time of the question.
  };
  /// The endpoint stored Hash, or was sent a prompt with it.
  void add(EndpointId Endpoint, std::uint64_t Hash, double Confidence,
           TimePoint Now);
  void remove(EndpointId Endpoint, std::uint64_t Hash);
  /// Cache events of the endpoint were lost: believe half of what was known.
  void doubt(EndpointId Endpoint);
  /// The endpoint's cache is empty.
  void forget(EndpointId Endpoint);
  /// A prompt with Hash was answered there; Hit tells whether it was cached.
  void observe(EndpointId Endpoint, std::uint64_t Hash, bool Hit,
               TimePoint Now);
  /// Confidence that Endpoint holds Hash.
  double confidence(EndpointId Endpoint, std::uint64_t Hash,
                    TimePoint Now) const;
  /// Endpoints that may hold Hash; at most PrefixHoldersMax.
  std::vector<Holder> holders(std::uint64_t Hash, TimePoint Now) const;
  std::size_t size() const { return m_entries.size(); }

private:
  struct Slot {
    EndpointId m_endpoint;
    std::uint32_t m_epoch;
    float m_confidence;
    TimePoint m_time;
  };
  struct EndpointTrust {
    std::uint32_t m_epoch = 0; ///< Slots of an earlier epoch are void.
    double m_trust = 1;        ///< Share of predicted hits that were hits.
  };
  double current(const Slot &S, TimePoint Now) const;
  EndpointTrust &trust(EndpointId Endpoint);
  void evictOldest();

  std::unordered_map<std::uint64_t, std::vector<Slot>> m_entries;
  std::deque<std::uint64_t> m_order; ///< Hashes by insertion, for eviction.
  std::vector<EndpointTrust> m_trust;
};

inline constexpr std::size_t PrefixHoldersMax = 4;
/// Prefixes remembered: about 10 MB.
inline constexpr std::size_t PrefixesMax = 65536;
/// Confidence halves in this time without news: caches turn over in minutes.
inline constexpr Seconds PrefixHalfLife{120};

} // namespace primroseworks

#endif
