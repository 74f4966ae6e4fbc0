// Incarnation numbers and the daemon's lease.
#include "primroseworks/lease.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <random>

namespace primroseworks {
namespace {

using nlohmann::json;

/// Attempts at one compare-and-swap before the step fails and backs off.
constexpr int CasAttempts = 8;

Error conflict(const std::string &Key) {
  return makeError(ErrorKind::Conflict, "key '" + Key +
                                            "' keeps changing; the next step "
                                            "tries again");
}

/// Takes the next incarnation number. A lost answer only skips a number.
Result<std::uint64_t> nextIncarnation(KvStore &Store) {
  for (int I = 0; I < CasAttempts; ++I) {
    BOOST_OUTCOME_TRY(Entry, Store.get(IncarnationKey));
    std::uint64_t Last = 0;
    if (Entry) {
      const json Value = json::parse(Entry->m_value, nullptr, false);
      if (!Value.is_number_unsigned())
        return makeError(ErrorKind::Protocol,
                         "key 'incarnation' is not a number; restore it to a "
                         "number above every member's incarnation");
      Last = Value.get<std::uint64_t>();
    }
    BOOST_OUTCOME_TRY(Answer, Store.compareAndSwap(
                                  IncarnationKey, Entry ? Entry->m_revision : 0,
                                  std::to_string(Last + 1)));
    if (Answer.m_applied)
      return Last + 1;
  }
  return conflict(IncarnationKey);
}

/// Counts the uses of one incarnation; shared by the holder and its uses.
struct Term {
  std::uint64_t m_incarnation = 0;
  std::atomic<int> m_uses{0};
  std::atomic<TimePoint::rep> m_expiry{0};
  std::atomic<bool> m_ended{false};

  bool validAt(TimePoint Now) const {
    return !m_ended && Now.time_since_epoch().count() < m_expiry;
  }
};

class LeaseUseImpl final : public LeaseUse {
public:
  explicit LeaseUseImpl(std::shared_ptr<Term> Held) : m_term(std::move(Held)) {
    ++m_term->m_uses;
  }
  ~LeaseUseImpl() override { --m_term->m_uses; }
  LeaseUseImpl(const LeaseUseImpl &) = delete;
  LeaseUseImpl &operator=(const LeaseUseImpl &) = delete;
  std::uint64_t incarnation() const override { return m_term->m_incarnation; }
  bool validAt(TimePoint Now) const override { return m_term->validAt(Now); }

private:
  std::shared_ptr<Term> m_term;
};

class LeaseHolderImpl final : public LeaseHolder {
public:
  LeaseHolderImpl(KvStore &Store, LeaseOptions Options)
      : m_store(Store), m_options(std::move(Options)),
        m_random(m_options.m_seed), m_term(std::make_shared<Term>()) {
    m_term->m_ended = true;
  }

  Result<void> step(TimePoint Now) override {
    if (m_released || Now < nextStep())
      return boost::outcome_v2::success();
    Result<void> Done = validAt(Now) ? renew(Now) : acquire(Now);
    schedule(Now, Done.has_value());
    return Done;
  }

  TimePoint nextStep() const override {
    std::lock_guard<std::mutex> Lock(m_mutex);
    return m_next;
  }

  bool validAt(TimePoint Now) const override {
    std::lock_guard<std::mutex> Lock(m_mutex);
    return !m_released && m_term->validAt(Now);
  }

  std::uint64_t incarnation() const override {
    std::lock_guard<std::mutex> Lock(m_mutex);
    return m_term->m_incarnation;
  }

  std::unique_ptr<LeaseUse> use(TimePoint Now) override {
    std::lock_guard<std::mutex> Lock(m_mutex);
    if (m_released || !m_term->validAt(Now))
      return nullptr;
    return std::make_unique<LeaseUseImpl>(m_term);
  }

  Result<void> release() override {
    LeaseId Lease = 0;
    {
      std::lock_guard<std::mutex> Lock(m_mutex);
      m_released = true;
      m_term->m_ended = true;
      Lease = m_member.m_lease;
    }
    if (Lease == 0)
      return boost::outcome_v2::success();
    return m_store.revokeLease(Lease);
  }

private:
  std::string memberKey() const {
    return MemberPrefix + m_options.m_member.m_name;
  }

  /// The expiry counts from before the call, because the store may have
  /// processed it at any time since.
  TimePoint localExpiry(TimePoint CallStart) const {
    return CallStart + m_options.m_ttl - m_options.m_expiryMargin;
  }

  Result<void> renew(TimePoint Now) {
    Result<void> Done = m_store.renewLease(m_member.m_lease);
    if (Done) {
      m_term->m_expiry = localExpiry(Now).time_since_epoch().count();
      return Done;
    }
    if (Done.error().m_kind == ErrorKind::NotFound)
      m_term->m_ended = true;
    return Done;
  }

  Result<void> acquire(TimePoint Now) {
    BOOST_OUTCOME_TRYV(endTerm());
    BOOST_OUTCOME_TRY(Old, m_store.get(memberKey()));
    BOOST_OUTCOME_TRYV(clearOldRecord(Old));
    MemberRecord Member = m_options.m_member;
    BOOST_OUTCOME_TRY(Incarnation, nextIncarnation(m_store));
    Member.m_incarnation = Incarnation;
    BOOST_OUTCOME_TRY(Lease, m_store.grantLease(m_options.m_ttl));
    Member.m_lease = Lease;
    BOOST_OUTCOME_TRYV(publish(Member));
    startTerm(Member, localExpiry(Now));
    return boost::outcome_v2::success();
  }

  /// Ends the present term; fails while a use of it exists. Under the lock, so
  /// that no use starts between the two.
  Result<void> endTerm() {
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_term->m_ended = true;
    if (m_term->m_uses == 0)
      return boost::outcome_v2::success();
    return makeError(ErrorKind::Unavailable,
                     "an action under incarnation " +
                         std::to_string(m_term->m_incarnation) +
                         " has not ended; the next step tries again");
  }

  /// Ends the lease behind the record that stands under our name: our own
  /// lapsed one or, when this process just started, its predecessor's.
  Result<void> clearOldRecord(const std::optional<KvEntry> &Old) {
    if (!Old)
      return boost::outcome_v2::success();
    Result<MemberRecord> Record = decodeMember(Old->m_value);
    if (!Record)
      return Record.error();
    const bool Ours = Record.value().m_incarnation <= m_lastTried;
    if (m_lastTried != 0 && !Ours)
      return makeError(ErrorKind::Conflict,
                       "another process uses the member name '" +
                           m_options.m_member.m_name +
                           "'; give each daemon a name of its own");
    Result<void> Ended = m_store.revokeLease(Record.value().m_lease);
    if (!Ended && Ended.error().m_kind != ErrorKind::NotFound)
      return Ended;
    return boost::outcome_v2::success();
  }

  Result<void> publish(const MemberRecord &Member) {
    m_lastTried = Member.m_incarnation;
    const std::string Value = encodeMember(Member);
    std::uint64_t Expected = 0;
    for (int I = 0; I < CasAttempts; ++I) {
      BOOST_OUTCOME_TRY(Answer, m_store.compareAndSwap(memberKey(), Expected,
                                                       Value, Member.m_lease));
      if (Answer.m_applied)
        return boost::outcome_v2::success();
      Expected = Answer.m_current ? Answer.m_current->m_revision : 0;
    }
    return conflict(memberKey());
  }

  void startTerm(const MemberRecord &Member, TimePoint Expiry) {
    auto Next = std::make_shared<Term>();
    Next->m_incarnation = Member.m_incarnation;
    Next->m_expiry = Expiry.time_since_epoch().count();
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_member = Member;
    m_term = std::move(Next);
  }

  void schedule(TimePoint Now, bool Done) {
    std::uniform_real_distribution<double> Spread(0, 1);
    std::lock_guard<std::mutex> Lock(m_mutex);
    if (Done) {
      m_backoff = Milliseconds(0);
      const double Factor = 1 + m_options.m_jitter * (Spread(m_random) - 0.5);
      m_next = Now + fromSeconds(toSeconds(m_options.m_renewInterval) * Factor);
      return;
    }
    m_backoff = std::clamp(m_backoff * 2, m_options.m_minBackoff,
                           m_options.m_maxBackoff);
    // Between half and the whole back-off, so that daemons do not return
    // together after an outage.
    const double Factor = 0.5 + 0.5 * Spread(m_random);
    m_next = Now + fromSeconds(toSeconds(m_backoff) * Factor);
  }

  KvStore &m_store;
  const LeaseOptions m_options;
  mutable std::mutex m_mutex;
  std::mt19937_64 m_random;
  std::shared_ptr<Term> m_term;
  MemberRecord m_member;
  /// Highest incarnation that this process tried to publish.
  std::uint64_t m_lastTried = 0;
  TimePoint m_next;
  Milliseconds m_backoff{0};
  std::atomic<bool> m_released{false};
};

} // namespace

std::string encodeMember(const MemberRecord &Member) {
  return json{{"name", Member.m_name},
              {"incarnation", Member.m_incarnation},
              {"region", Member.m_region},
              {"failure_domain", Member.m_failureDomain},
              {"peer", Member.m_peerAddress},
              {"lease", Member.m_lease}}
      .dump();
}

Result<MemberRecord> decodeMember(const std::string &Text) {
  try {
    const json Value = json::parse(Text);
    MemberRecord Out;
    Out.m_name = Value.at("name").get<std::string>();
    Out.m_incarnation = Value.at("incarnation").get<std::uint64_t>();
    Out.m_region = Value.at("region").get<std::string>();
    Out.m_failureDomain = Value.at("failure_domain").get<std::string>();
    Out.m_peerAddress = Value.at("peer").get<std::string>();
    Out.m_lease = Value.at("lease").get<LeaseId>();
    return Out;
  } catch (const json::exception &E) {
    return makeError(ErrorKind::Protocol,
                     std::string("member record cannot be read (") + E.what() +
                         "); delete the key");
  }
}

Result<std::unique_ptr<LeaseHolder>> createLeaseHolder(KvStore &Store,
                                                       LeaseOptions Options) {
  if (Options.m_member.m_name.empty())
    return makeError(ErrorKind::InvalidArgument,
                     "member name is empty; set the daemon's name");
  if (Options.m_renewInterval <= Milliseconds(0) ||
      Options.m_renewInterval + Options.m_expiryMargin >= Options.m_ttl)
    return makeError(ErrorKind::InvalidArgument,
                     "renewal interval and expiry margin do not fit into the "
                     "lease TTL; raise the TTL");
  if (Options.m_jitter < 0 || Options.m_jitter > 1)
    return makeError(ErrorKind::InvalidArgument,
                     "lease jitter is out of range; pass 0 to 1");
  return std::unique_ptr<LeaseHolder>(
      std::make_unique<LeaseHolderImpl>(Store, std::move(Options)));
}

} // namespace primroseworks
