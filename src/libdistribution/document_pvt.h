// Forms of configuration documents: entries in the store, hashes, and changes
// between two revisions.
#ifndef PRIMROSEWORKS_DOCUMENT_PVT_H
#define PRIMROSEWORKS_DOCUMENT_PVT_H

#include "primroseworks/distribution.h"

#include <utility>

namespace primroseworks::pvt {

/// Value of `config/head`. m_id names the submission.
struct HeadEntry {
  std::uint64_t m_revision = 0;
  std::string m_hash;
  std::string m_id;
};

/// Value of `config/doc/<revision>`. m_parent is the id of the submission that
/// it follows, so that a document written by a submitter that was paused for
/// hundreds of revisions is not taken for an accepted one.
struct DocEntry {
  ConfigVersion m_version;
  std::string m_id;
  std::string m_parent;
};

std::string encodeHead(const HeadEntry &Head);
Result<HeadEntry> decodeHead(const std::string &Value);
/// Fails with InvalidArgument if the document is not UTF-8.
Result<std::string> encodeDoc(const DocEntry &Doc);
Result<DocEntry> decodeDoc(const std::string &Value);
std::string docKey(std::uint64_t Revision);

std::string hashOf(const std::string &Document);

/// The change from Old to New: one replaced stretch of bytes.
ConfigPatch makePatch(const std::string &Old, const ConfigVersion &New);
/// Fails with Protocol if the change does not fit or the hash differs.
Result<std::string> applyPatch(const std::string &Old,
                               const ConfigPatch &Patch);

} // namespace primroseworks::pvt

#endif
