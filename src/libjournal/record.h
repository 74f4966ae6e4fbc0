// Records of the journal's log and their form in the store.
#ifndef PRIMROSEWORKS_LIBJOURNAL_RECORD_H
#define PRIMROSEWORKS_LIBJOURNAL_RECORD_H

#include "primroseworks/journal.h"

#include <vector>

namespace primroseworks::pvt {

enum class RecordKind {
  Open,    ///< Starts the term of an owner.
  Claim,   ///< A request holds the key.
  Release, ///< The request was not dispatched.
  Result,  ///< The request's answer.
  Unknown  ///< The request's answer is lost.
};
inline constexpr NameTable<RecordKind, 5> RecordKindNames = {
    {{RecordKind::Open, "open"},
     {RecordKind::Claim, "claim"},
     {RecordKind::Release, "release"},
     {RecordKind::Result, "result"},
     {RecordKind::Unknown, "unknown"}}};

/// One record. A Result or Unknown carries the whole claim, because the slot
/// of the claim may be gone.
struct Record {
  RecordKind m_kind = RecordKind::Open;
  JournalClaim m_claim;
  WallMillis m_at{0};      ///< Time of the claim.
  JournalResult m_result;  ///< For Result.
  std::size_t m_parts = 0; ///< Body values beside the log; 0: body is inline.
};

/// Value of one slot.
struct Batch {
  std::string m_owner;
  std::uint64_t m_incarnation = 0;
  /// Distinguishes the batches of one owner, so that no two have equal text.
  std::uint64_t m_number = 0;
  bool m_checkpoint = false; ///< Each record replaces the state of its key.
  std::vector<Record> m_records;
};

std::string encodeRecord(const Record &R);
/// Text of a batch whose records were encoded before.
std::string encodeBatch(const Batch &Frame,
                        const std::vector<std::string> &Records);
Result<Batch> decodeBatch(const std::string &Text);

std::string encodeBase64(const std::string &Bytes);
Result<std::string> decodeBase64(const std::string &Text);

} // namespace primroseworks::pvt

#endif
