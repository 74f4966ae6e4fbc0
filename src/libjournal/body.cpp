// Bodies of results that are too large for the log.
#include "libjournal/shard.h"

#include <xxhash.h>

#include <array>
#include <cinttypes>
#include <cstdio>

namespace primroseworks::pvt {
namespace {

/// Bytes of one part of a large body; base64 adds a third.
constexpr std::size_t BodyPartBytes = 600'000;

} // namespace

std::string JournalShardImpl::bodyKey(const JournalClaim &Holder,
                                      std::size_t Part) const {
  const std::string Name = Holder.m_key + '\n' + Holder.m_requestId;
  const XXH128_hash_t Hash = XXH3_128bits(Name.data(), Name.size());
  std::array<char, 40> Text{};
  std::snprintf(Text.data(), Text.size(), "%016" PRIx64 "%016" PRIx64,
                static_cast<std::uint64_t>(Hash.high64),
                static_cast<std::uint64_t>(Hash.low64));
  return "journal-body/" + std::to_string(m_options.m_shard) + "/" +
         Text.data() + "/" + std::to_string(Part);
}

/// Keeps room for a body in memory, or writes it as separate values if it is
/// large or there is no room: a result is never refused. Returns the number of
/// values.
Result<std::size_t> JournalShardImpl::placeBody(const JournalClaim &Holder,
                                                const std::string &Body,
                                                BudgetHold &Room) {
  if (Body.size() <= m_options.m_maxInlineBody && Room.tryAdd(Body.size()))
    return std::size_t{0};
  return writeBody(Holder, Body);
}

Result<std::size_t> JournalShardImpl::writeBody(const JournalClaim &Holder,
                                                const std::string &Body) {
  const std::size_t Parts = (Body.size() + BodyPartBytes - 1) / BodyPartBytes;
  for (std::size_t Part = 0; Part < Parts; ++Part) {
    const std::string Text =
        encodeBase64(Body.substr(Part * BodyPartBytes, BodyPartBytes));
    BOOST_OUTCOME_TRY(Answer,
                      m_store.compareAndSwap(bodyKey(Holder, Part), 0, Text));
    std::lock_guard<std::mutex> L(m_mutex);
    ++m_stats.m_otherWrites;
    // An earlier call of the same holder wrote the same body.
    if (!Answer.m_applied && Answer.m_current->m_value != Text)
      return makeError(ErrorKind::Conflict,
                       "request '" + Holder.m_requestId +
                           "' has another recorded body; look the key up");
  }
  return Parts;
}

Result<ClaimAnswer> JournalShardImpl::withBody(ClaimAnswer Answer,
                                               std::size_t Parts) {
  if (Answer.m_outcome != ClaimOutcome::Recorded)
    return Answer;
  for (std::size_t Part = 0; Part < Parts; ++Part) {
    BOOST_OUTCOME_TRY(Entry, m_store.get(bodyKey(Answer.m_holder, Part)));
    if (!Entry)
      return makeError(ErrorKind::NotFound,
                       "the recorded body of key '" + Answer.m_holder.m_key +
                           "' has expired; the request ran");
    BOOST_OUTCOME_TRY(Bytes, decodeBase64(Entry->m_value));
    Answer.m_result->m_body += Bytes;
  }
  return Answer;
}

} // namespace primroseworks::pvt
