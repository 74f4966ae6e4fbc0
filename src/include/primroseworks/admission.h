// Queues of waiting requests: by rank, and inside a rank fair between models
// and callers.
#ifndef PRIMROSEWORKS_ADMISSION_H
#define PRIMROSEWORKS_ADMISSION_H

#include "primroseworks/dispatcher.h"
#include "primroseworks/intern.h"

#include <array>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace primroseworks {

/// Hash of a caller's name.
using CallerKey = std::uint64_t;

/// A waiting request. The queues own it and set the members from m_sequence on.
struct QueuedRequest {
  DispatchRequest m_request;
  ModelId m_model = 0;
  AdapterId m_adapter = 0;
  TimePoint m_queued;  ///< When it was submitted.
  TimePoint m_target;  ///< A grant after this misses the first-token target.
  TimePoint m_expires; ///< A grant after this is useless.
  bool m_expiresByDeadline = true; ///< False: by the rank's longest queue time.

  double m_cost = 1; ///< Estimated work, in generated tokens.

  std::uint64_t m_sequence = 0; ///< Rises with each request.
  CallerKey m_caller = 0;
  bool m_late = false;   ///< m_target has passed.
  bool m_parked = false; ///< Set aside until a time, see park().
  TimePoint m_wake;      ///< End of the parking time.
  Duration m_pause{};    ///< Length of the last parking time.
  std::list<QueuedRequest *>::iterator m_inFlow;
  std::list<QueuedRequest *>::iterator m_inCaller;
};

/// What the attempt to place the request at the head of the queues gave.
enum class PlaceResult {
  Placed,
  Busy,        ///< No endpoint of its model has room for its rank now.
  NotResident, ///< No endpoint holds its model.
  Unsuitable,  ///< Endpoints have room, but not for this request.
};

/// Shares of service by rank over the last seconds.
class ServiceShares {
public:
  void setGuarantees(const std::array<RankPolicy, RankCount> &Ranks);
  void add(Rank R, double Tokens, TimePoint Now);
  /// The rank's part of the recent service of all ranks; 0 without service.
  double share(Rank R, TimePoint Now);
  /// How far the rank is below its guaranteed share and a margin, 0 to 1; 0
  /// when it has it.
  double deficit(Rank R, TimePoint Now);

private:
  void decay(TimePoint Now);
  std::array<double, RankCount> m_service{};
  std::array<double, RankCount> m_aim{}; ///< Shares to reach; sum below 1.
  TimePoint m_time{};
};

/// Time constant of recent service. With 10 s a rank that had more than its
/// share before a flood got nothing for the first 4 s of it.
inline constexpr Seconds ShareWindow{5};

/// Waiting requests. Order: a rank below its guaranteed share first, then
/// urgent, standard, urgent and standard that missed their target, batch. Work
/// that already missed its target follows work of its worth that has not, since
/// in a flood first-come order would make all of it late. Inside a rank,
/// deficit round robin by estimated tokens, between models and then between
/// callers.
class AdmissionQueues {
public:
  explicit AdmissionQueues(std::size_t Capacity) : m_capacity(Capacity) {}

  /// Takes the request. If the queues are full, returns the request that gave
  /// way: the newest of the caller with most waiting in the lowest rank, which
  /// may be the new one.
  std::unique_ptr<QueuedRequest> push(std::unique_ptr<QueuedRequest> Item,
                                      TimePoint Now);
  /// Removes a request by its id; null if it is not waiting.
  std::unique_ptr<QueuedRequest> remove(const std::string &Id);
  QueuedRequest *find(const std::string &Id);
  /// Removes one request whose time is over; null if there is none.
  std::unique_ptr<QueuedRequest> takeExpired(TimePoint Now);

  /// The request to place next; null if none can be. Entitled tells whether it
  /// is served because of its rank's guaranteed share. The caller answers with
  /// taken() or failed().
  QueuedRequest *next(TimePoint Now, bool &Entitled);
  /// The request was placed: charges and removes it.
  std::unique_ptr<QueuedRequest> taken(QueuedRequest &Item, TimePoint Now);
  /// It was not: Busy and NotResident block its model in its band, Unsuitable
  /// parks this request only.
  void failed(QueuedRequest &Item, PlaceResult Result, TimePoint Now);
  /// An endpoint with the model changed.
  void unblock(ModelId Model);
  /// Parked requests whose pause is over, and some of the blocked models,
  /// become eligible again. Call it every RecheckInterval.
  void recheck(TimePoint Now);

  ServiceShares &shares() { return m_shares; }
  /// Ids of the waiting requests with a fingerprint. Examines all: for rare
  /// events only.
  std::vector<std::string> withFingerprint(std::uint64_t Fingerprint) const;
  std::size_t size() const { return m_items.size(); }
  std::size_t size(Rank R) const {
    return m_callers[static_cast<std::size_t>(R)].m_total;
  }
  /// Time that a new request would wait, from the rate at which requests of its
  /// rank and model were placed; nothing while that rate is unknown.
  std::optional<Duration>
  expectedWait(Rank R, ModelId Model, const std::string &Caller, TimePoint Now);
  /// Waiting requests of a model in a rank.
  std::size_t waiting(Rank R, ModelId Model) const;
  /// A request of each of up to Max models that wait because their endpoints
  /// are busy.
  std::vector<const QueuedRequest *> busyHeads(Rank R, std::size_t Max) const;

private:
  struct Flow {
    std::list<QueuedRequest *> m_items;
    double m_deficit = 0;
  };
  /// Order of turns. Members that are new have no debts and come first, in the
  /// order of their arrival, until their first turn is used.
  template <class Key> struct Round {
    std::list<Key> m_new;
    std::list<Key> m_old;
    std::unordered_map<Key, std::pair<bool, typename std::list<Key>::iterator>>
        m_places; ///< Whether in m_new, and where.

    bool empty() const { return m_places.empty(); }
    const Key &front() const {
      return m_new.empty() ? m_old.front() : m_new.front();
    }
    void add(const Key &K, bool New) {
      std::list<Key> &L = New ? m_new : m_old;
      m_places[K] = {New, L.insert(L.end(), K)};
    }
    void remove(const Key &K) {
      auto It = m_places.find(K);
      if (It == m_places.end())
        return;
      (It->second.first ? m_new : m_old).erase(It->second.second);
      m_places.erase(It);
    }
    /// The front member's turn is over.
    void endTurn() {
      std::list<Key> &From = m_new.empty() ? m_old : m_new;
      m_places[From.front()].first = false;
      m_old.splice(m_old.end(), From, From.begin());
    }
  };
  enum class Block { None, Busy, NotResident };
  struct ModelQueue {
    /// An empty flow stays until its deficit is paid, so that a caller that
    /// sends one request at a time gains nothing.
    std::unordered_map<CallerKey, Flow> m_flows;
    Round<CallerKey> m_round;
    std::size_t m_size = 0; ///< Requests in all flows.
    double m_deficit = 0;
    Block m_block = Block::None;
  };
  struct Band {
    std::unordered_map<ModelId, ModelQueue> m_models; ///< Likewise.
    Round<ModelId> m_round;                           ///< Not blocked ones.
  };
  struct CallerItems {
    std::list<QueuedRequest *> m_items; ///< Oldest first.
  };
  struct RankCallers {
    std::unordered_map<CallerKey, CallerItems> m_callers;
    std::set<std::pair<std::size_t, CallerKey>> m_bySize;
    std::size_t m_total = 0;
  };
  /// How fast requests of one rank and model are placed.
  struct Drain {
    double m_rate = 0; ///< Per second, decayed.
    TimePoint m_time{};
    TimePoint m_waitingSince{}; ///< Start of the present backlog.
    std::size_t m_waiting = 0;
    std::size_t m_late = 0; ///< Of those, passed by every new request.
  };
  static constexpr std::size_t BandCount = 2 * RankCount;
  static std::size_t bandOf(const QueuedRequest &Item);
  static std::uint64_t drainKey(Rank R, ModelId Model) {
    return (static_cast<std::uint64_t>(R) << 32) | Model;
  }
  void enqueue(QueuedRequest &Item, bool Front);
  void dequeue(QueuedRequest &Item);
  void block(std::size_t BandIndex, ModelId Model, Block Why);
  void unblockIn(std::size_t BandIndex, ModelId Model);
  void eraseModel(std::size_t BandIndex, ModelId Model);
  QueuedRequest *head(std::size_t BandIndex, TimePoint Now);
  QueuedRequest *rotate(std::size_t BandIndex);
  static QueuedRequest *rotateFlows(ModelQueue &M);
  void setLate(QueuedRequest &Item);
  void countCaller(QueuedRequest &Item);
  void uncountCaller(QueuedRequest &Item);
  std::unique_ptr<QueuedRequest> extract(QueuedRequest &Item, TimePoint Now);
  QueuedRequest *victim(Rank NotAbove);

  std::size_t m_capacity;
  std::unordered_map<std::string, std::unique_ptr<QueuedRequest>> m_items;
  /// Order by time, then by age, so that runs repeat.
  struct Earlier {
    bool operator()(const std::pair<TimePoint, QueuedRequest *> &A,
                    const std::pair<TimePoint, QueuedRequest *> &B) const {
      return A.first != B.first ? A.first < B.first
                                : A.second->m_sequence < B.second->m_sequence;
    }
  };
  using TimeIndex = std::set<std::pair<TimePoint, QueuedRequest *>, Earlier>;
  std::uint64_t m_nextSequence = 0;
  TimeIndex m_byExpiry;
  TimeIndex m_parked; ///< By wake time.
  std::array<Band, BandCount> m_bands;
  std::array<std::set<ModelId>, BandCount> m_busy; ///< Blocked as busy.
  std::array<ModelId, BandCount> m_recheckFrom{};  ///< Next of m_busy.
  std::array<RankCallers, RankCount> m_callers;
  std::unordered_map<std::uint64_t, Drain> m_drains;
  ServiceShares m_shares;
};

/// How often blocked models and parked requests are looked at again.
inline constexpr Milliseconds RecheckInterval{20};

} // namespace primroseworks

#endif
