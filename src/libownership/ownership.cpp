// Rendezvous hashing, and takeover and hand-over of endpoint records.
#include "primroseworks/ownership.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <mutex>
#include <random>

namespace primroseworks {

std::uint64_t rendezvousWeight(const std::string &Key,
                               const std::string &Member) {
  const std::uint64_t Seed = XXH3_64bits(Key.data(), Key.size());
  return XXH3_64bits_withSeed(Member.data(), Member.size(), Seed);
}

std::string rendezvousOwner(const std::string &Key,
                            const std::vector<std::string> &Members) {
  const std::string *Best = nullptr;
  std::uint64_t BestWeight = 0;
  for (const std::string &Member : Members) {
    const std::uint64_t Weight = rendezvousWeight(Key, Member);
    // The name decides between equal weights, whatever the order of the list.
    if (!Best || Weight > BestWeight ||
        (Weight == BestWeight && Member < *Best)) {
      Best = &Member;
      BestWeight = Weight;
    }
  }
  return Best ? *Best : std::string();
}

std::string journalShardOwner(unsigned Shard,
                              const std::vector<std::string> &LiveMembers) {
  return rendezvousOwner("journal/" + std::to_string(Shard), LiveMembers);
}

namespace {

/// State of one endpoint of the region.
struct Slot {
  std::string m_target;                     ///< Member that should own it.
  std::shared_ptr<EndpointLedger> m_ledger; ///< Set if owned.
  std::uint64_t m_incarnation = 0;          ///< Under which it is owned.
  std::optional<TimePoint> m_takeoverDue;
  std::optional<TimePoint> m_handOverDue;
  /// Revision on which a takeover was written whose outcome is not known. The
  /// record may name us although this member does not want it any more, and
  /// the successor would wait for us.
  std::optional<std::uint64_t> m_unsettledBase;
};

class EndpointOwnershipImpl final : public EndpointOwnership {
public:
  EndpointOwnershipImpl(KvStore &Store, OwnershipOptions Options)
      : m_store(Store), m_options(std::move(Options)),
        m_random(m_options.m_seed) {}

  void setMembers(std::vector<OwnershipMember> Members, TimePoint) override {
    m_members = std::move(Members);
    m_eligible.clear();
    for (const OwnershipMember &M : m_members)
      if (M.m_presence == MemberPresence::Alive &&
          M.m_region == m_options.m_region)
        m_eligible.push_back(M.m_name);
    chooseTargets();
  }

  void setEndpoints(std::vector<std::string> Endpoints, TimePoint) override {
    std::map<std::string, Slot> Next;
    {
      std::lock_guard<std::mutex> Lock(m_mutex);
      for (std::string &Id : Endpoints) {
        auto It = m_slots.find(Id);
        Next.emplace(std::move(Id), It == m_slots.end() ? Slot() : It->second);
      }
      m_slots.swap(Next);
    }
    chooseTargets();
  }

  Result<void> step(const LeaseUse &Use, TimePoint Now) override {
    if (Now < m_pausedUntil)
      return boost::outcome_v2::success();
    refill(Now);
    for (auto &[Id, State] : m_slots) {
      schedule(State, Use.incarnation(), Now);
      if (m_tokens < 1)
        break;
      Result<void> Done = boost::outcome_v2::success();
      if (State.m_unsettledBase)
        Done = settleTakeover(Id, State);
      else if (State.m_takeoverDue && *State.m_takeoverDue <= Now)
        Done = takeOver(Id, State, Use, Now);
      else if (State.m_handOverDue && *State.m_handOverDue <= Now)
        Done = handOver(Id, State, Now);
      if (!Done) {
        m_pausedUntil = Now + m_options.m_retryInterval;
        return Done;
      }
    }
    return boost::outcome_v2::success();
  }

  void startHandOver() override {
    m_stopping = true;
    chooseTargets();
  }

  std::vector<OwnedEndpoint> owned() const override {
    std::lock_guard<std::mutex> Lock(m_mutex);
    std::vector<OwnedEndpoint> Out;
    for (const auto &[Id, State] : m_slots)
      if (State.m_ledger && !State.m_ledger->lost())
        Out.push_back(
            {Id, State.m_ledger->stored().m_record.m_fence, State.m_ledger});
    return Out;
  }

private:
  void chooseTargets() {
    std::vector<std::string> Eligible = m_eligible;
    if (m_stopping)
      Eligible.erase(
          std::remove(Eligible.begin(), Eligible.end(), m_options.m_self),
          Eligible.end());
    for (auto &[Id, State] : m_slots)
      State.m_target = rendezvousOwner(EndpointPrefix + Id, Eligible);
  }

  void refill(TimePoint Now) {
    if (m_refilled != TimePoint())
      m_tokens += toSeconds(Now - m_refilled) * m_options.m_writesPerSecond;
    // At most a tenth of a second's writes at once.
    m_tokens =
        std::min(m_tokens, std::max(1.0, m_options.m_writesPerSecond / 10));
    m_refilled = Now;
  }

  Duration spread() {
    // Few endpoints cannot meet in many writes, so they do not wait long.
    const double Longest = std::min(toSeconds(m_options.m_takeoverSpread),
                                    toSeconds(m_options.m_takeoverSpacing) *
                                        double(m_slots.size()));
    std::uniform_real_distribution<double> Part(0, 1);
    return fromSeconds(Longest * Part(m_random));
  }

  /// Sets or clears the times of the takeover and hand-over of one endpoint.
  void schedule(Slot &State, std::uint64_t Incarnation, TimePoint Now) {
    if (State.m_ledger && State.m_ledger->lost())
      setLedger(State, nullptr, 0);
    const bool Wanted = State.m_target == m_options.m_self;
    const bool Held = State.m_ledger && State.m_incarnation == Incarnation;
    if (!Wanted || Held)
      State.m_takeoverDue.reset();
    else if (!State.m_takeoverDue)
      State.m_takeoverDue = Now + spread();
    // Without any other live member the record stays ours until we are gone.
    const bool Surplus =
        State.m_ledger && !Wanted && (m_stopping || !State.m_target.empty());
    if (!Surplus)
      State.m_handOverDue.reset();
    else if (m_stopping)
      State.m_handOverDue = Now;
    else if (!State.m_handOverDue)
      State.m_handOverDue = Now + m_options.m_handOverDelay;
  }

  void setLedger(Slot &State, std::shared_ptr<EndpointLedger> Ledger,
                 std::uint64_t Incarnation) {
    std::lock_guard<std::mutex> Lock(m_mutex);
    State.m_ledger = std::move(Ledger);
    State.m_incarnation = Incarnation;
  }

  /// Whether the view still has the process that wrote the record. A view that
  /// has an older incarnation lags behind the record.
  bool inView(const EndpointRecord &Record) const {
    for (const OwnershipMember &M : m_members)
      if (M.m_name == Record.m_owner)
        return M.m_incarnation <= Record.m_incarnation;
    return false;
  }

  /// Whether the owner's lease is gone. The view can lag in both directions,
  /// so the store decides when the view says that the owner is gone.
  Result<bool> previousOwnerGone(const EndpointRecord &Record,
                                 const LeaseUse &Use) {
    if (Record.m_owner.empty())
      return true;
    if (Record.m_owner == m_options.m_self)
      return Record.m_incarnation < Use.incarnation();
    if (inView(Record))
      return false;
    BOOST_OUTCOME_TRY(Entry, m_store.get(MemberPrefix + Record.m_owner));
    if (!Entry)
      return true;
    BOOST_OUTCOME_TRY(Member, decodeMember(Entry->m_value));
    return Member.m_incarnation > Record.m_incarnation;
  }

  Result<void> takeOver(const std::string &Id, Slot &State, const LeaseUse &Use,
                        TimePoint Now) {
    State.m_takeoverDue = Now + m_options.m_retryInterval;
    BOOST_OUTCOME_TRY(Base, readEndpoint(m_store, Id));
    BOOST_OUTCOME_TRY(Gone, previousOwnerGone(Base.m_record, Use));
    if (!Gone)
      return boost::outcome_v2::success();
    EndpointRecord Next = Base.m_record;
    Next.m_owner = m_options.m_self;
    Next.m_incarnation = Use.incarnation();
    ++Next.m_fence;
    m_tokens -= 1;
    Result<StoredEndpoint> Written =
        writeEndpoint(m_store, Id, Base, std::move(Next));
    if (Written) {
      adopt(Id, State, std::move(Written).value());
      return boost::outcome_v2::success();
    }
    if (Written.error().m_kind == ErrorKind::Timeout)
      State.m_unsettledBase = Base.m_revision;
    if (Written.error().m_kind != ErrorKind::Conflict)
      return Written.error();
    return boost::outcome_v2::success();
  }

  void adopt(const std::string &Id, Slot &State, StoredEndpoint Stored) {
    const std::uint64_t Incarnation = Stored.m_record.m_incarnation;
    setLedger(State, createEndpointLedger(m_store, Id, std::move(Stored)),
              Incarnation);
    State.m_takeoverDue.reset();
    State.m_unsettledBase.reset();
  }

  /// Determines whether a takeover took effect. If it did not, the record is
  /// written again without a change, so that it cannot take effect later.
  Result<void> settleTakeover(const std::string &Id, Slot &State) {
    BOOST_OUTCOME_TRY(Present, readEndpoint(m_store, Id));
    if (Present.m_record.m_owner == m_options.m_self) {
      adopt(Id, State, std::move(Present));
      return boost::outcome_v2::success();
    }
    if (Present.m_revision != *State.m_unsettledBase) {
      State.m_unsettledBase.reset();
      return boost::outcome_v2::success();
    }
    m_tokens -= 1;
    Result<StoredEndpoint> Written =
        writeEndpoint(m_store, Id, Present, Present.m_record);
    if (Written)
      State.m_unsettledBase.reset();
    else if (Written.error().m_kind != ErrorKind::Conflict)
      return Written.error();
    return boost::outcome_v2::success();
  }

  /// A claim of a process that goes on living would be counted by the successor
  /// for as long as it lives. So a hand-over without a stop waits until the
  /// claims are settled.
  bool hasPending(const EndpointRecord &Record) const {
    for (const auto &[Key, Claims] : Record.m_ledger.claims())
      if (!Claims.m_pending.empty())
        return true;
    return false;
  }

  Result<void> handOver(const std::string &Id, Slot &State, TimePoint Now) {
    StoredEndpoint Base = State.m_ledger->stored();
    if (!m_stopping && hasPending(Base.m_record)) {
      State.m_handOverDue = Now + m_options.m_retryInterval;
      return boost::outcome_v2::success();
    }
    EndpointRecord Next = Base.m_record;
    Next.m_owner.clear();
    m_tokens -= 1;
    Result<StoredEndpoint> Written =
        writeEndpoint(m_store, Id, Base, std::move(Next));
    if (!Written && Written.error().m_kind != ErrorKind::Conflict)
      return Written.error();
    if (!Written)
      return settleHandOver(Id, State);
    setLedger(State, nullptr, 0);
    return boost::outcome_v2::success();
  }

  /// The record changed: by a successor, or by a commit of ours that was not
  /// known to have taken effect.
  Result<void> settleHandOver(const std::string &Id, Slot &State) {
    BOOST_OUTCOME_TRY(Present, readEndpoint(m_store, Id));
    if (Present.m_record.m_owner == m_options.m_self &&
        Present.m_record.m_incarnation == State.m_incarnation)
      adopt(Id, State, std::move(Present));
    else
      setLedger(State, nullptr, 0);
    return boost::outcome_v2::success();
  }

  KvStore &m_store;
  const OwnershipOptions m_options;
  std::mt19937_64 m_random;
  std::vector<OwnershipMember> m_members;
  std::vector<std::string> m_eligible;
  bool m_stopping = false;
  double m_tokens = 1;
  TimePoint m_refilled;
  TimePoint m_pausedUntil;
  /// Guards the set of slots and their ledgers against owned(); only the
  /// thread of step() changes them.
  mutable std::mutex m_mutex;
  std::map<std::string, Slot> m_slots;
};

} // namespace

Result<std::unique_ptr<EndpointOwnership>>
createEndpointOwnership(KvStore &Store, OwnershipOptions Options) {
  if (Options.m_self.empty() || Options.m_region.empty())
    return makeError(ErrorKind::InvalidArgument,
                     "the daemon's name or region is empty; set both");
  if (Options.m_writesPerSecond <= 0)
    return makeError(ErrorKind::InvalidArgument,
                     "the rate of takeovers is not positive; raise it");
  return std::unique_ptr<EndpointOwnership>(
      std::make_unique<EndpointOwnershipImpl>(Store, std::move(Options)));
}

} // namespace primroseworks
