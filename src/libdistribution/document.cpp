// Entries, hashes and changes of configuration documents.
#include "libdistribution/document_pvt.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>
#include <sstream>
#include <xxhash.h>

namespace primroseworks {
namespace {

using Json = nlohmann::json;

Error badEntry(const char *Key, const std::string &Why) {
  return makeError(ErrorKind::Protocol,
                   std::string("the store's entry ") + Key +
                       " cannot be read: " + Why +
                       "; restore it from the configuration directory");
}

std::vector<std::string> linesOf(const std::string &Text) {
  std::vector<std::string> Out;
  std::istringstream In(Text);
  for (std::string Line; std::getline(In, Line);)
    Out.push_back(Line);
  return Out;
}

/// Lengths of the common start and, after it, the common end.
template <class Sequence>
std::pair<std::size_t, std::size_t> commonEnds(const Sequence &A,
                                               const Sequence &B) {
  const std::size_t Shorter = std::min(A.size(), B.size());
  std::size_t Start = 0;
  while (Start < Shorter && A[Start] == B[Start])
    ++Start;
  std::size_t End = 0;
  while (End < Shorter - Start &&
         A[A.size() - 1 - End] == B[B.size() - 1 - End])
    ++End;
  return {Start, End};
}

} // namespace

std::string lineDifference(const std::string &Old, const std::string &New,
                           std::size_t MaxLines) {
  const auto A = linesOf(Old);
  const auto B = linesOf(New);
  const auto Ends = commonEnds(A, B);
  std::string Out;
  std::size_t Lines = 0;
  auto Add = [&](char Sign, const std::vector<std::string> &From) {
    for (std::size_t I = Ends.first;
         I + Ends.second < From.size() && Lines < MaxLines; ++I)
      if (++Lines == MaxLines)
        Out += "...\n";
      else
        Out += Sign + From[I] + '\n';
  };
  Add('-', A);
  Add('+', B);
  return Out;
}

namespace pvt {

std::string encodeHead(const HeadEntry &Head) {
  return Json{
      {"revision", Head.m_revision}, {"hash", Head.m_hash}, {"id", Head.m_id}}
      .dump();
}

Result<HeadEntry> decodeHead(const std::string &Value) {
  try {
    const Json Map = Json::parse(Value);
    return HeadEntry{Map.at("revision").get<std::uint64_t>(),
                     Map.at("hash").get<std::string>(),
                     Map.at("id").get<std::string>()};
  } catch (const Json::exception &Failure) {
    return badEntry(ConfigHeadKey, Failure.what());
  }
}

Result<std::string> encodeDoc(const DocEntry &Doc) {
  try {
    return Json{{"revision", Doc.m_version.m_revision},
                {"hash", Doc.m_version.m_hash},
                {"author", Doc.m_version.m_author},
                {"wall_ms", Doc.m_version.m_wallMillis},
                {"id", Doc.m_id},
                {"parent", Doc.m_parent},
                {"document", Doc.m_version.m_document}}
        .dump();
  } catch (const Json::exception &) {
    return makeError(ErrorKind::InvalidArgument,
                     "configuration is not UTF-8; save its files as UTF-8");
  }
}

Result<DocEntry> decodeDoc(const std::string &Value) {
  try {
    const Json Map = Json::parse(Value);
    DocEntry Out;
    Out.m_version.m_revision = Map.at("revision").get<std::uint64_t>();
    Out.m_version.m_hash = Map.at("hash").get<std::string>();
    Out.m_version.m_author = Map.at("author").get<std::string>();
    Out.m_version.m_wallMillis = Map.at("wall_ms").get<long long>();
    Out.m_version.m_document = Map.at("document").get<std::string>();
    Out.m_id = Map.at("id").get<std::string>();
    Out.m_parent = Map.at("parent").get<std::string>();
    if (hashOf(Out.m_version.m_document) != Out.m_version.m_hash)
      return badEntry(ConfigDocPrefix, "its hash differs");
    return Out;
  } catch (const Json::exception &Failure) {
    return badEntry(ConfigDocPrefix, Failure.what());
  }
}

std::string docKey(std::uint64_t Revision) {
  // Fixed width: the store lists keys in text order.
  return fmt::format("{}{:012}", ConfigDocPrefix, Revision);
}

std::string hashOf(const std::string &Document) {
  const XXH128_hash_t Hash = XXH3_128bits(Document.data(), Document.size());
  return fmt::format("{:016x}{:016x}", Hash.high64, Hash.low64);
}

ConfigPatch makePatch(const std::string &Old, const ConfigVersion &New) {
  const auto [Start, End] = commonEnds(Old, New.m_document);
  ConfigPatch Out;
  Out.m_revision = New.m_revision;
  Out.m_hash = New.m_hash;
  Out.m_offset = Start;
  Out.m_removed = Old.size() - Start - End;
  Out.m_inserted =
      New.m_document.substr(Start, New.m_document.size() - Start - End);
  return Out;
}

Result<std::string> applyPatch(const std::string &Old,
                               const ConfigPatch &Patch) {
  if (Patch.m_offset > Old.size() ||
      Patch.m_removed > Old.size() - Patch.m_offset)
    return makeError(ErrorKind::Protocol,
                     "a configuration change does not fit; the whole document "
                     "is fetched");
  std::string Out = Old;
  Out.replace(Patch.m_offset, Patch.m_removed, Patch.m_inserted);
  if (Out.size() > MaxConfigBytes || hashOf(Out) != Patch.m_hash)
    return makeError(ErrorKind::Protocol,
                     "a configuration change has another hash; the whole "
                     "document is fetched");
  return Out;
}

} // namespace pvt
} // namespace primroseworks
