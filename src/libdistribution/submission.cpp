// Steps of a submission, each of which can be repeated after a lost answer.
#include "libdistribution/submission_pvt.h"

#include <thread>

namespace primroseworks::pvt {
namespace {

using Clock = std::chrono::steady_clock;

constexpr Milliseconds RetryPause{20};

bool isTransient(ErrorKind Kind) {
  return Kind == ErrorKind::Timeout || Kind == ErrorKind::Unavailable ||
         Kind == ErrorKind::RateLimited;
}

} // namespace

Submission::Submission(KvStore &Store, ConfigVersion Next, std::uint64_t Base,
                       std::string Id, Milliseconds Settle)
    : m_store(Store), m_base(Base), m_settle(Settle) {
  m_doc.m_version = std::move(Next);
  m_doc.m_id = std::move(Id);
}

Result<SubmitResult> Submission::run() {
  const TimePoint Deadline = Clock::now() + m_settle;
  while (true) {
    auto Outcome = attempt();
    if (Outcome && Outcome.value())
      return std::move(*Outcome.value());
    if (!Outcome && !isTransient(Outcome.error().m_kind))
      return Outcome.error();
    // Before the first write nothing can have happened.
    if (!Outcome && !m_wrote)
      return makeError(ErrorKind::Unavailable, Outcome.error().m_message);
    if (Clock::now() >= Deadline)
      return makeError(ErrorKind::Timeout,
                       "the store did not answer; submit the same "
                       "configuration again to learn whether it was accepted");
    std::this_thread::sleep_for(RetryPause);
  }
}

SubmitResult Submission::accepted() const {
  SubmitResult Out;
  Out.m_accepted = m_doc.m_version.m_revision;
  return Out;
}

Submission::Step Submission::attempt() {
  BOOST_OUTCOME_TRY(Found, m_store.get(ConfigHeadKey));
  m_head = HeadEntry();
  m_headStored = 0;
  if (Found) {
    BOOST_OUTCOME_TRY(Head, decodeHead(Found->m_value));
    m_head = Head;
    m_headStored = Found->m_revision;
  }
  if (m_head.m_revision != m_base)
    return checkChain(m_head);
  BOOST_OUTCOME_TRY(Outcome, createDocument());
  if (Outcome)
    return Outcome;
  return moveHead();
}

/// The head is past the base: it is ours only if the chain says so.
Submission::Step Submission::checkChain(const HeadEntry &Head) {
  const std::uint64_t Mine = m_doc.m_version.m_revision;
  if (Head.m_revision < Mine)
    return makeError(ErrorKind::InvalidArgument,
                     "revision " + std::to_string(m_base) +
                         " does not exist; submit against revision " +
                         std::to_string(Head.m_revision));
  BOOST_OUTCOME_TRY(Stored, m_store.get(docKey(Mine)));
  if (Stored) {
    BOOST_OUTCOME_TRY(Doc, decodeDoc(Stored->m_value));
    // The same document at the same place is an earlier try of this change.
    const bool SameChange = Doc.m_version.m_hash == m_doc.m_version.m_hash;
    bool InChain = Head.m_revision == Mine && Head.m_id == Doc.m_id;
    if (SameChange && Head.m_revision > Mine) {
      BOOST_OUTCOME_TRY(Next, m_store.get(docKey(Mine + 1)));
      if (Next) {
        BOOST_OUTCOME_TRY(Successor, decodeDoc(Next->m_value));
        InChain = Successor.m_parent == Doc.m_id;
      }
    }
    if (SameChange && InChain)
      return std::optional<SubmitResult>(accepted());
  }
  return conflict(Head.m_revision);
}

Submission::Step Submission::createDocument() {
  m_doc.m_parent = m_head.m_id;
  BOOST_OUTCOME_TRY(Value, encodeDoc(m_doc));
  const std::string Key = docKey(m_doc.m_version.m_revision);
  auto Created = m_store.compareAndSwap(Key, 0, Value);
  if (!Created) {
    m_wrote |= Created.error().m_kind == ErrorKind::Timeout;
    return Created.error();
  }
  m_wrote = true;
  if (Created.value().m_applied)
    return std::optional<SubmitResult>();
  if (!Created.value().m_current)
    return makeError(ErrorKind::Timeout, "the document was removed meanwhile");
  return foundDocument(*Created.value().m_current);
}

Submission::Step Submission::foundDocument(const KvEntry &Found) {
  BOOST_OUTCOME_TRY(Theirs, decodeDoc(Found.m_value));
  if (Theirs.m_parent != m_head.m_id) {
    // Left by a submitter that was paused before this revision was trimmed.
    BOOST_OUTCOME_TRYV(
        m_store.compareAndSwap(Found.m_key, Found.m_revision, std::nullopt));
    return makeError(ErrorKind::Timeout, "a stray document was removed");
  }
  if (Theirs.m_version.m_hash == m_doc.m_version.m_hash) {
    m_doc.m_id = Theirs.m_id; // An earlier try of this change.
    return std::optional<SubmitResult>();
  }
  // Finish the other's change; whether this write succeeds is learnt from the
  // head in the next attempt.
  const HeadEntry Next{Theirs.m_version.m_revision, Theirs.m_version.m_hash,
                       Theirs.m_id};
  auto Moved =
      m_store.compareAndSwap(ConfigHeadKey, m_headStored, encodeHead(Next));
  if (!Moved)
    return Moved.error();
  return conflict(Theirs.m_version.m_revision);
}

Submission::Step Submission::moveHead() {
  const HeadEntry Next{m_doc.m_version.m_revision, m_doc.m_version.m_hash,
                       m_doc.m_id};
  auto Moved =
      m_store.compareAndSwap(ConfigHeadKey, m_headStored, encodeHead(Next));
  if (!Moved)
    return Moved.error();
  if (Moved.value().m_applied)
    return std::optional<SubmitResult>(accepted());
  if (!Moved.value().m_current)
    return makeError(ErrorKind::Timeout, "the head was removed meanwhile");
  BOOST_OUTCOME_TRY(Head, decodeHead(Moved.value().m_current->m_value));
  if (Head.m_revision < m_doc.m_version.m_revision)
    return makeError(ErrorKind::Timeout, "the head changed meanwhile");
  return checkChain(Head);
}

Submission::Step Submission::conflict(std::uint64_t Revision) {
  BOOST_OUTCOME_TRY(Theirs, m_store.get(docKey(Revision)));
  BOOST_OUTCOME_TRY(Base, m_store.get(docKey(m_base)));
  ConfigConflict Out;
  Out.m_theirs.m_revision = Revision;
  std::string BaseDocument;
  if (Base) {
    BOOST_OUTCOME_TRY(Doc, decodeDoc(Base->m_value));
    BaseDocument = Doc.m_version.m_document;
  }
  if (Theirs) {
    BOOST_OUTCOME_TRY(Doc, decodeDoc(Theirs->m_value));
    Out.m_theirs = Doc.m_version;
    Out.m_difference = lineDifference(BaseDocument, Doc.m_version.m_document);
  }
  SubmitResult Result;
  Result.m_conflict = std::move(Out);
  return std::optional<SubmitResult>(std::move(Result));
}

} // namespace primroseworks::pvt
