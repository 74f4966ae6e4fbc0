// The journal over all daemons.
#include "primrosed/journalrouter.h"

#include "primroseworks/ownership.h"

#include <algorithm>
#include <spdlog/spdlog.h>
#include <thread>

namespace primroseworks {

namespace {

// Calls of other daemons that wait at the same time; lookups wait longest.
constexpr unsigned MaxWaitingCalls = 512;

// How long an owner lets a call of another daemon wait, and the longest wait
// for its answer; the difference covers the way there and back.
constexpr Milliseconds OwnerWait{2000};
constexpr Milliseconds LookupWait{25000};
constexpr Milliseconds AnswerMargin{1000};

// Keys of a shard that are checked for expiry in each step, of which there are
// two a second: 50,000 keys of one shard take 13 s.
constexpr std::size_t TrimmedEntries = 2000;

// Pause before another try while the shard changes its owner.
constexpr Milliseconds OwnerChangeDelay{100};

// A shard without an owner for longer is reported to the caller, who may wait
// better than a connection here.
constexpr Milliseconds LongestOwnerChange{5000};

// A shard that another owner took stays with it for a time in this range, so
// that two regions that are cut off from each other take turns instead of
// fencing each other with each write.
constexpr Milliseconds ShortestTurn{500};
constexpr Milliseconds LongestTurn{1500};

TimePoint now() { return std::chrono::steady_clock::now(); }

Milliseconds left(TimePoint End) {
  return std::max(Milliseconds(0),
                  std::chrono::duration_cast<Milliseconds>(End - now()));
}

JournalStatus statusOf(ClaimOutcome Value) {
  switch (Value) {
  case ClaimOutcome::Granted:
    return JournalStatus::Claimed;
  case ClaimOutcome::InProgress:
    return JournalStatus::InProgress;
  case ClaimOutcome::Recorded:
    return JournalStatus::Recorded;
  case ClaimOutcome::Unknown:
    return JournalStatus::Unknown;
  case ClaimOutcome::BodyMismatch:
    return JournalStatus::BodyDiffers;
  case ClaimOutcome::Orphaned:
    return JournalStatus::Orphaned;
  }
  return JournalStatus::Unknown;
}

JournalReplyMessage replyOf(const ClaimAnswer &Answer) {
  JournalReplyMessage Out;
  Out.m_status = statusOf(Answer.m_outcome);
  Out.m_requestId = Answer.m_holder.m_requestId;
  Out.m_daemon = Answer.m_holder.m_member;
  Out.m_incarnation = Answer.m_holder.m_incarnation;
  Out.m_endpoint = Answer.m_holder.m_endpoint;
  if (Answer.m_result) {
    Out.m_statusCode = Answer.m_result->m_status;
    Out.m_contentType = Answer.m_result->m_contentType;
    Out.m_body = Answer.m_result->m_body;
  }
  return Out;
}

JournalReplyMessage replyOf(const Error &Why) {
  JournalReplyMessage Out;
  switch (Why.m_kind) {
  case ErrorKind::NotFound:
    Out.m_status = JournalStatus::NotFound;
    break;
  case ErrorKind::Closed:
    Out.m_status = JournalStatus::NotOwner;
    break;
  case ErrorKind::Conflict:
    Out.m_status = JournalStatus::BodyDiffers;
    break;
  case ErrorKind::Full:
    Out.m_status = JournalStatus::Full;
    break;
  default:
    Out.m_status = JournalStatus::StoreUnavailable;
  }
  Out.m_body = Why.m_message;
  return Out;
}

template <class T>
JournalReplyMessage replyOf(const Result<T> &Answer, JournalStatus Done) {
  if (!Answer)
    return replyOf(Answer.error());
  if constexpr (!std::is_void_v<T>)
    return replyOf(Answer.value());
  JournalReplyMessage Out;
  Out.m_status = Done;
  return Out;
}

Error errorOf(const JournalReplyMessage &Reply) {
  switch (Reply.m_status) {
  case JournalStatus::NotFound:
    return makeError(ErrorKind::NotFound, "the key is not claimed; claim it");
  case JournalStatus::NotOwner:
    return makeError(ErrorKind::Closed,
                     "the shard changes its owner; ask again");
  case JournalStatus::Full:
    return makeError(ErrorKind::Full, Reply.m_body);
  default:
    return makeError(ErrorKind::Timeout, "the journal gave no answer (" +
                                             Reply.m_body + "); ask again");
  }
}

Result<ClaimAnswer> answerOf(const JournalReplyMessage &Reply,
                             const std::string &Key) {
  ClaimAnswer Out;
  switch (Reply.m_status) {
  case JournalStatus::Claimed:
    Out.m_outcome = ClaimOutcome::Granted;
    break;
  case JournalStatus::InProgress:
    Out.m_outcome = ClaimOutcome::InProgress;
    break;
  case JournalStatus::Recorded:
    Out.m_outcome = ClaimOutcome::Recorded;
    Out.m_result =
        JournalResult{Reply.m_statusCode, Reply.m_contentType, Reply.m_body};
    break;
  case JournalStatus::Unknown:
    Out.m_outcome = ClaimOutcome::Unknown;
    break;
  case JournalStatus::Orphaned:
    Out.m_outcome = ClaimOutcome::Orphaned;
    break;
  case JournalStatus::BodyDiffers:
    Out.m_outcome = ClaimOutcome::BodyMismatch;
    break;
  default:
    return errorOf(Reply);
  }
  Out.m_holder.m_key = Key;
  Out.m_holder.m_requestId = Reply.m_requestId;
  Out.m_holder.m_member = Reply.m_daemon;
  Out.m_holder.m_incarnation = Reply.m_incarnation;
  Out.m_holder.m_endpoint = Reply.m_endpoint;
  return Out;
}

Result<void> doneOf(const Result<JournalReplyMessage> &Reply) {
  if (!Reply)
    return Reply.error();
  switch (Reply.value().m_status) {
  case JournalStatus::Released:
  case JournalStatus::Recorded:
  case JournalStatus::Unknown:
    return boost::outcome_v2::success();
  case JournalStatus::BodyDiffers:
    return makeError(ErrorKind::Conflict,
                     "another request holds the key; look it up");
  default:
    return errorOf(Reply.value());
  }
}

JournalClaim claimFrom(const JournalClaimMessage &In) {
  return {In.m_key,    In.m_bodyHash,    In.m_requestId,
          In.m_daemon, In.m_incarnation, In.m_endpoint};
}

JournalClaim holderFrom(const std::string &Key, const std::string &RequestId) {
  JournalClaim Out;
  Out.m_key = Key;
  Out.m_requestId = RequestId;
  return Out;
}

} // namespace

JournalRouter::JournalRouter(DaemonContext &Context, KvStore &Store,
                             PeerNetwork &Peers, GoneCheck IsGone)
    : m_context(Context), m_store(Store), m_peers(Peers),
      m_isGone(std::move(IsGone)), m_workers(MaxWaitingCalls, 1) {
  registerHandlers(Peers);
}

JournalRouter::~JournalRouter() {
  close();
  m_workers.shutdown();
}

unsigned JournalRouter::shardOf(const std::string &Key) const {
  return journalShardOf(Key, m_context.m_settings.m_journalShards);
}

std::string JournalRouter::ownerOf(unsigned Shard) const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  return journalShardOwner(Shard, m_live);
}

JournalRouter::ShardPtr JournalRouter::local(unsigned Shard) const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  auto It = m_shards.find(Shard);
  return It == m_shards.end() || It->second->lost() ? nullptr : It->second;
}

void JournalRouter::setMembers(std::vector<std::string> Live) {
  std::lock_guard<std::mutex> Lock(m_mutex);
  m_live = std::move(Live);
}

void JournalRouter::open(unsigned Shard, std::uint64_t Incarnation) {
  JournalOptions Options;
  Options.m_shard = Shard;
  Options.m_owner = m_context.m_settings.m_name;
  Options.m_incarnation = Incarnation;
  Options.m_minWriteInterval =
      Milliseconds(1000 * m_context.m_settings.m_journalShards /
                   m_context.m_settings.m_journalWritesPerSecond);
  Options.m_isGone = m_isGone;
  Options.m_budget = m_budget;
  Options.m_retention = Seconds(m_context.m_settings.m_journalRetentionSeconds);
  auto Opened = openJournalShard(m_store, Options);
  if (!Opened) {
    spdlog::info("event=journal_open_failed shard={} error=\"{}\"", Shard,
                 Opened.error().m_message);
    return;
  }
  spdlog::info("event=journal_open shard={} incarnation={} entries={}", Shard,
               Incarnation, Opened.value()->stats().m_entries);
  std::lock_guard<std::mutex> Lock(m_mutex);
  m_lost.erase(Shard);
  if (!m_closed)
    m_shards[Shard] = std::move(Opened.value());
}

bool JournalRouter::keepOpen(unsigned Shard, bool Mine, TimePoint Now) {
  ShardPtr Closing;
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    if (!Mine)
      m_lost.erase(Shard);
    auto It = m_shards.find(Shard);
    if (It == m_shards.end())
      return false;
    if (Mine && !It->second->lost()) {
      It->second->trim(TrimmedEntries);
      return true;
    }
    if (Mine) {
      std::uniform_int_distribution<int> Wait(
          static_cast<int>(ShortestTurn.count()),
          static_cast<int>(LongestTurn.count()));
      m_lost[Shard] = {false, Now + Milliseconds(Wait(m_random))};
    }
    Closing = std::move(It->second);
    m_shards.erase(It);
  }
  spdlog::info("event=journal_closed shard={} reason={}", Shard,
               Mine ? "taken" : "moved");
  Closing->close();
  return false;
}

bool JournalRouter::mayOpen(unsigned Shard, TimePoint Now) const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  auto Lost = m_lost.find(Shard);
  return Lost == m_lost.end() ||
         (Lost->second.m_wanted && Now >= Lost->second.m_reopen);
}

void JournalRouter::want(unsigned Shard) {
  std::lock_guard<std::mutex> Lock(m_mutex);
  auto Lost = m_lost.find(Shard);
  if (Lost != m_lost.end())
    Lost->second.m_wanted = true;
}

void JournalRouter::step(std::uint64_t Incarnation, TimePoint Now) {
  for (unsigned Shard = 0; Shard < m_context.m_settings.m_journalShards;
       ++Shard) {
    const bool Mine = ownerOf(Shard) == m_context.m_settings.m_name;
    if (!keepOpen(Shard, Mine, Now) && Mine && mayOpen(Shard, Now))
      open(Shard, Incarnation);
  }
}

void JournalRouter::close() {
  std::map<unsigned, ShardPtr> Shards;
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_closed = true;
    Shards.swap(m_shards);
  }
  for (auto &[Number, Shard] : Shards)
    Shard->close();
}

std::map<unsigned, JournalStats> JournalRouter::shards() const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  std::map<unsigned, JournalStats> Out;
  for (const auto &[Number, Shard] : m_shards)
    Out[Number] = Shard->stats();
  return Out;
}

Result<JournalReplyMessage> JournalRouter::ask(
    const std::string &Key, const MessageBody &Body, Milliseconds Wait,
    const std::function<JournalReplyMessage(JournalShard &, Milliseconds)>
        &Here) {
  const TimePoint End = now() + Wait;
  const TimePoint OwnerEnd = now() + std::min(Wait, LongestOwnerChange);
  const unsigned Shard = shardOf(Key);
  JournalReplyMessage Reply;
  Reply.m_status = JournalStatus::NotOwner;
  bool MayArrive = false; // An earlier call may still reach its owner.
  while (true) {
    if (ShardPtr Open = local(Shard)) {
      Reply = Here(*Open, std::max(left(End), Milliseconds(1)));
    } else {
      std::string Owner = ownerOf(Shard);
      if (Owner == m_context.m_settings.m_name) {
        want(Shard);
      } else if (!Owner.empty()) {
        auto Got = m_peers.request(Owner, Body, left(End) + AnswerMargin);
        const auto *Typed =
            Got ? std::get_if<JournalReplyMessage>(&Got.value().m_body)
                : nullptr;
        if (Typed != nullptr)
          Reply = *Typed;
        else if (!Got && Got.error().m_kind != ErrorKind::Unavailable &&
                 Got.error().m_kind != ErrorKind::NotFound &&
                 Got.error().m_kind != ErrorKind::Closed)
          return Got.error();
        MayArrive |= !Got && Got.error().m_kind == ErrorKind::Closed;
      }
    }
    if (Reply.m_status == JournalStatus::Full && MayArrive)
      return makeError(ErrorKind::Timeout,
                       "an earlier call may still be recorded; release it");
    if (Reply.m_status != JournalStatus::NotOwner ||
        left(OwnerEnd) <= OwnerChangeDelay)
      return Reply;
    std::this_thread::sleep_for(OwnerChangeDelay);
  }
}

Result<ClaimAnswer> JournalRouter::claim(const JournalClaim &Claim,
                                         Milliseconds Wait) {
  JournalClaimMessage Body{Claim.m_key,         Claim.m_bodyHash,
                           Claim.m_requestId,   Claim.m_member,
                           Claim.m_incarnation, Claim.m_endpoint};
  BOOST_OUTCOME_TRY(
      Reply,
      ask(Claim.m_key, Body, Wait, [&](JournalShard &Shard, Milliseconds Left) {
        return replyOf(Shard.claim(Claim, Left), JournalStatus::Claimed);
      }));
  return answerOf(Reply, Claim.m_key);
}

Result<void> JournalRouter::release(const JournalClaim &Holder,
                                    Milliseconds Wait) {
  JournalReleaseMessage Body{Holder.m_key, Holder.m_requestId};
  return doneOf(ask(
      Holder.m_key, Body, Wait, [&](JournalShard &Shard, Milliseconds Left) {
        return replyOf(Shard.release(Holder, Left), JournalStatus::Released);
      }));
}

Result<void> JournalRouter::result(const JournalClaim &Holder,
                                   const JournalResult &Answer,
                                   Milliseconds Wait) {
  JournalResultMessage Body{Holder.m_key,    Holder.m_requestId,
                            Answer.m_status, Answer.m_contentType,
                            Answer.m_body,   Holder.m_bodyHash};
  return doneOf(ask(Holder.m_key, Body, Wait,
                    [&](JournalShard &Shard, Milliseconds Left) {
                      return replyOf(Shard.result(Holder, Answer, Left),
                                     JournalStatus::Recorded);
                    }));
}

Result<void> JournalRouter::unknown(const JournalClaim &Holder,
                                    Milliseconds Wait) {
  JournalResultMessage Body{Holder.m_key, Holder.m_requestId, 0, "",
                            "",           Holder.m_bodyHash};
  return doneOf(ask(
      Holder.m_key, Body, Wait, [&](JournalShard &Shard, Milliseconds Left) {
        return replyOf(Shard.unknown(Holder, Left), JournalStatus::Unknown);
      }));
}

Result<ClaimAnswer> JournalRouter::lookup(const std::string &Key,
                                          const std::string &BodyHash,
                                          Milliseconds Wait) {
  JournalLookupMessage Body{Key, BodyHash};
  BOOST_OUTCOME_TRY(
      Reply, ask(Key, Body, Wait, [&](JournalShard &Shard, Milliseconds Left) {
        return replyOf(Shard.lookup(Key, BodyHash, Left),
                       JournalStatus::Recorded);
      }));
  return answerOf(Reply, Key);
}

void JournalRouter::registerHandlers(PeerNetwork &Peers) {
  using Call = std::function<JournalReplyMessage(JournalShard &)>;
  auto Serve = [this](const std::string &Key, const PeerReply &Reply, Call Do) {
    m_workers.submit([this, Key, Reply, Do = std::move(Do)] {
      ShardPtr Open = local(shardOf(Key));
      if (!Open)
        want(shardOf(Key));
      JournalReplyMessage Out;
      Out.m_status = JournalStatus::NotOwner;
      Reply(Open ? Do(*Open) : Out);
    });
  };
  Peers.setHandler(
      MessageType::JournalClaim,
      [Serve](const std::string &, const Message &In, const PeerReply &Reply) {
        auto Body = std::get<JournalClaimMessage>(In.m_body);
        Serve(Body.m_key, Reply, [Body](JournalShard &Shard) {
          return replyOf(Shard.claim(claimFrom(Body), OwnerWait),
                         JournalStatus::Claimed);
        });
      });
  Peers.setHandler(
      MessageType::JournalRelease,
      [Serve](const std::string &, const Message &In, const PeerReply &Reply) {
        auto Body = std::get<JournalReleaseMessage>(In.m_body);
        Serve(Body.m_key, Reply, [Body](JournalShard &Shard) {
          return replyOf(Shard.release(holderFrom(Body.m_key, Body.m_requestId),
                                       OwnerWait),
                         JournalStatus::Released);
        });
      });
  Peers.setHandler(
      MessageType::JournalResult,
      [Serve](const std::string &, const Message &In, const PeerReply &Reply) {
        auto Body = std::get<JournalResultMessage>(In.m_body);
        Serve(Body.m_key, Reply, [Body](JournalShard &Shard) {
          JournalClaim Holder = holderFrom(Body.m_key, Body.m_requestId);
          Holder.m_bodyHash = Body.m_bodyHash;
          if (Body.m_statusCode == 0)
            return replyOf(Shard.unknown(Holder, OwnerWait),
                           JournalStatus::Unknown);
          return replyOf(
              Shard.result(Holder,
                           {Body.m_statusCode, Body.m_contentType, Body.m_body},
                           OwnerWait),
              JournalStatus::Recorded);
        });
      });
  Peers.setHandler(
      MessageType::JournalLookup,
      [Serve](const std::string &, const Message &In, const PeerReply &Reply) {
        auto Body = std::get<JournalLookupMessage>(In.m_body);
        Serve(Body.m_key, Reply, [Body](JournalShard &Shard) {
          return replyOf(Shard.lookup(Body.m_key, Body.m_bodyHash, LookupWait),
                         JournalStatus::Recorded);
        });
      });
}

} // namespace primroseworks
