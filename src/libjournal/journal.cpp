// Calls of an owned shard of the journal.
#include "primroseworks/journal.h"
#include "libjournal/shard.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>

namespace primroseworks::pvt {
namespace {

/// How often a waiting lookup asks whether the holder is gone.
constexpr Milliseconds GoneCheckInterval{200};

/// How long a lookup waits for the proof that this owner was not replaced.
constexpr Milliseconds ConfirmWait{1000};

Error closedError() {
  return makeError(ErrorKind::Closed,
                   "this daemon does not own the journal shard any more; ask "
                   "the present owner");
}
Error awayError() {
  return makeError(ErrorKind::Unavailable,
                   "the journal cannot be written while the store is "
                   "unavailable; try again later");
}
Error fullError() {
  return makeError(ErrorKind::Full,
                   "the journal has no memory for another key; send it again "
                   "when keys have expired, or shorten their retention");
}
Error notSettled() {
  return makeError(ErrorKind::Timeout,
                   "the journal's write has no known outcome yet; repeat the "
                   "call, or release the claim");
}

bool isUtf8(const std::string &Text) {
  try {
    (void)nlohmann::json(Text).dump();
    return true;
  } catch (const nlohmann::json::type_error &) {
    return false;
  }
}

Result<void> checkClaim(const JournalClaim &Claim) {
  const std::string All = Claim.m_key + Claim.m_bodyHash + Claim.m_requestId +
                          Claim.m_member + Claim.m_endpoint;
  if (!Claim.m_key.empty() && !Claim.m_requestId.empty() &&
      All.size() <= MaxClaimBytes && isUtf8(All))
    return boost::outcome_v2::success();
  return makeError(ErrorKind::InvalidArgument,
                   "a claim lacks its key or request id, is longer than " +
                       std::to_string(MaxClaimBytes) +
                       " bytes or is not UTF-8; correct the key");
}

WallMillis systemWallClock() {
  return std::chrono::duration_cast<WallMillis>(
      std::chrono::system_clock::now().time_since_epoch());
}

} // namespace

JournalShardImpl::JournalShardImpl(KvStore &Store, JournalOptions Options)
    : m_store(Store), m_options(std::move(Options)),
      m_prefix("journal/" + std::to_string(m_options.m_shard) + "/"),
      m_markerKey("journal-trim/" + std::to_string(m_options.m_shard)) {
  if (!m_options.m_budget)
    m_options.m_budget = std::make_shared<JournalBudget>();
  if (!m_options.m_wallClock)
    m_options.m_wallClock = systemWallClock;
}

EntryPtr JournalShardImpl::find(const std::string &Key) {
  auto It = m_entries.find(Key);
  if (It == m_entries.end())
    return nullptr;
  EntryPtr E = It->second;
  const bool Settled = E->m_claimSequence <= m_durableSequence &&
                       E->m_finishSequence <= m_durableSequence;
  if (Settled && m_options.m_wallClock() - E->m_at >= m_options.m_retention) {
    eraseEntry(Key, E);
    return nullptr;
  }
  return E;
}

void JournalShardImpl::eraseEntry(const std::string &Key, const EntryPtr &E) {
  auto It = m_entries.find(Key);
  if (It == m_entries.end() || It->second != E)
    return;
  for (std::size_t Part = 0; Part < E->m_parts; ++Part)
    m_deadBodies.push_back(bodyKey(E->m_claim, Part));
  m_options.m_budget->remove(std::exchange(E->m_bytes, 0));
  m_entries.erase(It);
}

std::uint64_t JournalShardImpl::enqueue(RecordKind Kind, const EntryPtr &E) {
  Record R;
  R.m_kind = Kind;
  R.m_claim = E->m_claim;
  R.m_at = E->m_at;
  R.m_result = E->m_result;
  R.m_parts = E->m_parts;
  m_queue.push_back({++m_lastSequence, Kind, encodeRecord(R), E});
  m_changed.notify_all();
  return m_lastSequence;
}

Result<void> JournalShardImpl::awaitDurable(Lock &L, std::uint64_t Sequence,
                                            const Entry *E,
                                            TimePoint Deadline) {
  while (true) {
    if (E && E->m_failed)
      return awayError();
    if (Sequence <= m_durableSequence)
      return boost::outcome_v2::success();
    if (stopped())
      return closedError();
    if (m_changed.wait_until(L, Deadline) == std::cv_status::timeout &&
        Clock::now() >= Deadline && Sequence > m_durableSequence)
      return E && E->m_failed ? awayError() : notSettled();
  }
}

ClaimAnswer JournalShardImpl::describe(const Entry &E) const {
  ClaimAnswer Out;
  Out.m_holder = E.m_claim;
  const bool FinishDurable =
      E.m_finish != Finish::None && E.m_finishSequence <= m_durableSequence;
  if (E.m_finish == Finish::Result && FinishDurable) {
    Out.m_outcome = ClaimOutcome::Recorded;
    Out.m_result = E.m_result;
  } else if (E.m_finish == Finish::Unknown && FinishDurable) {
    Out.m_outcome = ClaimOutcome::Unknown;
  } else if (E.m_finish == Finish::None &&
             E.m_claimSequence <= m_durableSequence && m_options.m_isGone &&
             m_options.m_isGone(E.m_claim.m_member, E.m_claim.m_incarnation)) {
    Out.m_outcome = ClaimOutcome::Orphaned;
  }
  return Out;
}

Result<ClaimAnswer> JournalShardImpl::claim(const JournalClaim &Claim,
                                            Milliseconds Wait) {
  BOOST_OUTCOME_TRYV(checkClaim(Claim));
  const TimePoint Deadline = Clock::now() + Wait;
  Lock L(m_mutex);
  if (stopped())
    return closedError();
  EntryPtr E = find(Claim.m_key);
  const bool Same = E && E->m_claim.m_requestId == Claim.m_requestId &&
                    E->m_claim.m_incarnation == Claim.m_incarnation;
  if (E && E->m_claim.m_bodyHash != Claim.m_bodyHash) {
    ClaimAnswer Mismatch;
    Mismatch.m_outcome = ClaimOutcome::BodyMismatch;
    Mismatch.m_holder = E->m_claim;
    return Mismatch;
  }
  if (E && (!Same || E->m_finish != Finish::None)) {
    ClaimAnswer Known = describe(*E);
    const std::size_t Parts = E->m_parts;
    L.unlock();
    return withBody(std::move(Known), Parts);
  }
  // An abandoned claim gets released; its request id cannot be used again.
  if (E && E->m_abandoned)
    return awayError();
  if (!E) {
    BOOST_OUTCOME_TRY(Added, newEntry(L, Claim, Deadline));
    if (!Added) { // Another request claimed the key meanwhile.
      L.unlock();
      return claim(Claim, std::max(Milliseconds(0),
                                   std::chrono::duration_cast<Milliseconds>(
                                       Deadline - Clock::now())));
    }
    E = Added;
  }
  Result<void> Durable = awaitDurable(L, E->m_claimSequence, E.get(), Deadline);
  // Only an entry that still waits may be granted: a release may have come.
  if (Durable && E->m_finish == Finish::None && !E->m_abandoned) {
    ++m_stats.m_claims;
    ClaimAnswer Granted;
    Granted.m_outcome = ClaimOutcome::Granted;
    Granted.m_holder = E->m_claim;
    return Granted;
  }
  E->m_abandoned = true;
  return Durable ? notSettled() : Durable.error();
}

/// Adds an entry for a claim of a key without one and queues its record. Null
/// if there was no room and the key got an entry while this owner made sure
/// that it had not been replaced; a successor may know the key.
Result<EntryPtr> JournalShardImpl::newEntry(Lock &L, const JournalClaim &Claim,
                                            TimePoint Deadline) {
  if (m_away)
    return awayError();
  auto E = std::make_shared<Entry>();
  E->m_claim = Claim;
  E->m_at = m_options.m_wallClock();
  const std::size_t Bytes = entryBytes(*E);
  if (!m_options.m_budget->tryAdd(Bytes)) {
    BOOST_OUTCOME_TRYV(confirmOwner(L, Deadline));
    if (find(Claim.m_key))
      return EntryPtr();
    m_options.m_budget->countRefusal();
    return fullError();
  }
  E->m_bytes = Bytes;
  m_entries[Claim.m_key] = E;
  E->m_claimSequence = enqueue(RecordKind::Claim, E);
  return E;
}

/// The entry that Holder's request holds; null if nobody holds the key. Fails
/// with Conflict if another request does.
Result<EntryPtr> JournalShardImpl::holderEntry(Lock &L,
                                               const JournalClaim &Holder,
                                               TimePoint Deadline) {
  if (stopped())
    return closedError();
  EntryPtr E = find(Holder.m_key);
  if (!E || E->m_claim.m_requestId == Holder.m_requestId)
    return E;
  BOOST_OUTCOME_TRYV(confirmOwner(L, Deadline));
  return makeError(ErrorKind::Conflict,
                   "key '" + Holder.m_key +
                       "' is held by another request; look the key up");
}

/// Writes a record without effect. If this owner was replaced, the write fails,
/// and the caller asks the successor, which may know of later claims, instead
/// of relying on what this owner knows.
Result<void> JournalShardImpl::confirmOwner(Lock &L, TimePoint Deadline) {
  const std::uint64_t Sequence =
      enqueue(RecordKind::Open, std::make_shared<Entry>());
  return awaitDurable(L, Sequence, nullptr, Deadline);
}

Result<void> JournalShardImpl::release(const JournalClaim &Holder,
                                       Milliseconds Wait) {
  const TimePoint Deadline = Clock::now() + Wait;
  BOOST_OUTCOME_TRYV(checkClaim(Holder));
  Lock L(m_mutex);
  if (stopped())
    return closedError();
  const EntryPtr E = find(Holder.m_key);
  if (!E || E->m_claim.m_requestId != Holder.m_requestId)
    return confirmOwner(L, Deadline);
  if (E->m_finish == Finish::Result || E->m_finish == Finish::Unknown)
    return makeError(ErrorKind::Conflict,
                     "key '" + Holder.m_key + "' is finished; look the key up");
  if (E->m_finish == Finish::None) {
    E->m_finish = Finish::Release;
    E->m_finishSequence = enqueue(RecordKind::Release, E);
  }
  Result<void> Durable =
      awaitDurable(L, E->m_finishSequence, E.get(), Deadline);
  if (!Durable && E->m_failed) // The claim itself was never written.
    return boost::outcome_v2::success();
  return Durable;
}

Result<void> JournalShardImpl::result(const JournalClaim &Holder,
                                      const JournalResult &Answer,
                                      Milliseconds Wait) {
  const TimePoint Deadline = Clock::now() + Wait;
  BOOST_OUTCOME_TRYV(checkClaim(Holder));
  if (Answer.m_contentType.size() > MaxClaimBytes ||
      !isUtf8(Answer.m_contentType))
    return makeError(ErrorKind::InvalidArgument,
                     "the content type of a result is too long or not UTF-8; "
                     "record the result without it");
  Lock L(m_mutex);
  if (stopped())
    return closedError();
  const EntryPtr Known = find(Holder.m_key);
  // A repeated call must not place the body again: nobody would delete it.
  if (Known && Known->m_claim.m_requestId == Holder.m_requestId &&
      Known->m_finish == Finish::Result)
    return awaitDurable(L, Known->m_finishSequence, nullptr, Deadline);
  L.unlock();
  BudgetHold Room(*m_options.m_budget);
  BOOST_OUTCOME_TRY(Parts, placeBody(Holder, Answer.m_body, Room));
  L.lock();
  BOOST_OUTCOME_TRY(E, holderEntry(L, Holder, Deadline));
  if (E && E->m_finish == Finish::Release)
    return makeError(ErrorKind::Conflict, "key '" + Holder.m_key +
                                              "' was released; its request "
                                              "must not have been run");
  if (!E) {
    // The claim is older than the retention, or a new owner recovered the log
    // without it. The answer is still worth keeping.
    E = std::make_shared<Entry>();
    E->m_claim = Holder;
    E->m_at = m_options.m_wallClock();
    m_entries[Holder.m_key] = E;
  }
  if (E->m_finish != Finish::Result) {
    E->m_finish = Finish::Result;
    E->m_result = Answer;
    E->m_parts = Parts;
    if (Parts != 0)
      std::string().swap(E->m_result.m_body);
    E->m_bytes += Room.take();
    charge(*E);
    E->m_finishSequence = enqueue(RecordKind::Result, E);
  }
  return awaitDurable(L, E->m_finishSequence, nullptr, Deadline);
}

Result<void> JournalShardImpl::unknown(const JournalClaim &Holder,
                                       Milliseconds Wait) {
  const TimePoint Deadline = Clock::now() + Wait;
  Lock L(m_mutex);
  BOOST_OUTCOME_TRY(E, holderEntry(L, Holder, Deadline));
  if (!E || E->m_finish == Finish::Release) {
    BOOST_OUTCOME_TRYV(confirmOwner(L, Deadline));
    return makeError(ErrorKind::Conflict,
                     "key '" + Holder.m_key + "' is not claimed; claim it");
  }
  if (E->m_finish == Finish::None) {
    E->m_finish = Finish::Unknown;
    charge(*E);
    E->m_finishSequence = enqueue(RecordKind::Unknown, E);
  }
  return awaitDurable(L, E->m_finishSequence, nullptr, Deadline);
}

Result<ClaimAnswer> JournalShardImpl::lookup(const std::string &Key,
                                             const std::string &BodyHash,
                                             Milliseconds Wait) {
  const TimePoint Deadline = Clock::now() + Wait;
  bool Confirmed = false;
  Lock L(m_mutex);
  while (true) {
    const EntryPtr E = find(Key);
    if (!E && stopped())
      return closedError();
    if (!E)
      return makeError(ErrorKind::NotFound,
                       "key '" + Key + "' is not claimed; claim it");
    ClaimAnswer Answer = describe(*E);
    if (E->m_claim.m_bodyHash != BodyHash) {
      Answer.m_outcome = ClaimOutcome::BodyMismatch;
      Answer.m_result.reset();
      return Answer;
    }
    const bool Held = Answer.m_outcome == ClaimOutcome::InProgress;
    if (Held && Clock::now() >= Deadline && !Confirmed) {
      // Another owner may have recorded the end of the request meanwhile.
      Result<void> Owner = confirmOwner(L, Clock::now() + ConfirmWait);
      if (!Owner && Owner.error().m_kind == ErrorKind::Closed)
        return Owner.error();
      Confirmed = true;
      continue;
    }
    if (!Held || Clock::now() >= Deadline) {
      const std::size_t Parts = E->m_parts;
      L.unlock();
      return withBody(std::move(Answer), Parts);
    }
    if (stopped())
      return closedError();
    m_changed.wait_until(L,
                         std::min(Deadline, Clock::now() + GoneCheckInterval));
  }
}

JournalStats JournalShardImpl::stats() const {
  std::lock_guard<std::mutex> L(m_mutex);
  JournalStats Out = m_stats;
  Out.m_entries = m_entries.size();
  for (const auto &[Key, E] : m_entries)
    Out.m_bytes += E->m_bytes;
  return Out;
}

} // namespace primroseworks::pvt

namespace primroseworks {

unsigned journalShardOf(const std::string &Key, unsigned Shards) {
  return static_cast<unsigned>(XXH3_64bits(Key.data(), Key.size()) %
                               std::max(1U, Shards));
}

Result<std::unique_ptr<JournalShard>> openJournalShard(KvStore &Store,
                                                       JournalOptions Options) {
  if (Options.m_owner.empty() || Options.m_incarnation == 0)
    return makeError(ErrorKind::InvalidArgument,
                     "a journal owner needs a name and an incarnation; "
                     "acquire the lease first");
  if (Options.m_maxInlineBody >= Options.m_maxSlotBytes ||
      Options.m_maxSlotBytes > MaxKvValueBytes)
    return makeError(ErrorKind::InvalidArgument,
                     "journal slots do not fit the store's values; lower the "
                     "slot or inline size");
  auto Shard =
      std::make_unique<pvt::JournalShardImpl>(Store, std::move(Options));
  BOOST_OUTCOME_TRYV(Shard->open());
  return std::unique_ptr<JournalShard>(std::move(Shard));
}

} // namespace primroseworks
