// Acceptance of one configuration change in the store.
#ifndef PRIMROSEWORKS_SUBMISSION_PVT_H
#define PRIMROSEWORKS_SUBMISSION_PVT_H

#include "libdistribution/document_pvt.h"

namespace primroseworks::pvt {

/// One submission. The document is created under its revision's key, which only
/// one submitter can do; then the head is moved to it. Whoever finds a document
/// that the head does not point to yet moves the head, so that a submitter that
/// died between the two steps blocks nobody.
class Submission {
public:
  Submission(KvStore &Store, ConfigVersion Next, std::uint64_t Base,
             std::string Id, Milliseconds Settle);

  Result<SubmitResult> run();

private:
  /// Nothing: go on with the next step. A value: the outcome.
  using Step = Result<std::optional<SubmitResult>>;

  Step attempt();
  Step createDocument();
  Step foundDocument(const KvEntry &Found);
  Step moveHead();
  Step checkChain(const HeadEntry &Head);
  Step conflict(std::uint64_t Revision);
  SubmitResult accepted() const;

  KvStore &m_store;
  const std::uint64_t m_base;
  const Milliseconds m_settle;
  DocEntry m_doc;
  HeadEntry m_head;               ///< As last read; revision 0 if absent.
  std::uint64_t m_headStored = 0; ///< The store's revision of the head.
  bool m_wrote = false;           ///< A write of ours may have taken effect.
};

} // namespace primroseworks::pvt

#endif
