// The configuration in force: acceptance of a change in the store, and how
// each daemon learns of it. A document is an opaque string here. Readers
// compare revision() with the one they built from, and rebuild only when it is
// newer.
#ifndef PRIMROSEWORKS_DISTRIBUTION_H
#define PRIMROSEWORKS_DISTRIBUTION_H

#include "primroseworks/error.h"
#include "primroseworks/kvstore.h"
#include "primroseworks/peer.h"
#include "primroseworks/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace primroseworks {

/// The accepted revision: key `config/head`.
inline constexpr const char *ConfigHeadKey = "config/head";
/// Documents: key `config/doc/<revision>`, created once.
inline constexpr const char *ConfigDocPrefix = "config/doc/";
/// Largest document, in bytes: the store's limit less the entry's other fields
/// and the escapes of its JSON form.
inline constexpr std::size_t MaxConfigBytes = 700'000;

/// One accepted revision.
struct ConfigVersion {
  std::uint64_t m_revision = 0;
  std::string m_hash; ///< Of m_document, 32 hexadecimal digits.
  std::string m_document;
  std::string m_author; ///< Empty if it came from a peer.
  long long m_wallMillis = 0;
};

/// Why a change was refused: somebody else's change came first.
struct ConfigConflict {
  ConfigVersion m_theirs;
  std::string m_difference; ///< Their changed lines, "-" old and "+" new.
};

/// Result of a submission: exactly one of the members is set.
struct SubmitResult {
  std::optional<std::uint64_t> m_accepted; ///< The new revision.
  std::optional<ConfigConflict> m_conflict;
};

struct DistributionOptions {
  Milliseconds m_poll{2000};   ///< Between reads of the head; with jitter.
  std::size_t m_history = 200; ///< Documents kept in the store.
  std::size_t m_patches = 64;  ///< Revisions kept here to serve as changes.
  Milliseconds m_fetchTimeout{500}; ///< Per peer.
  Milliseconds m_settle{10'000};    ///< To settle a write without an answer.
  std::uint64_t m_seed = 1;
};

/// Counters for the bench and the metrics.
struct DistributionCounters {
  std::uint64_t m_polls = 0;
  std::uint64_t m_storeFetches = 0;
  std::uint64_t m_peerFetches = 0; ///< Whole documents or changes.
  std::uint64_t m_patched = 0;     ///< Of these, applied as changes.
};

/// Thread safe.
class ConfigDistribution {
public:
  virtual ~ConfigDistribution() = default;

  /// The revision in force, 0 if none; cheap enough for each request.
  virtual std::uint64_t revision() const = 0;
  /// The version in force; null if none.
  virtual std::shared_ptr<const ConfigVersion> current() const = 0;

  /// Called after a newer version came into force, on the thread that brought
  /// it. Set it before the first poll().
  using Listener =
      std::function<void(const std::shared_ptr<const ConfigVersion> &)>;
  virtual void setListener(Listener Handler) = 0;

  /// Submits Document as the successor of revision Base. Blocks. Fails with
  /// InvalidArgument (too large), Unavailable (nothing happened) or Timeout
  /// (not settled: submit the same document again to learn the outcome).
  virtual Result<SubmitResult> submit(const std::string &Document,
                                      const std::string &Author,
                                      std::uint64_t Base,
                                      long long WallMillis) = 0;

  /// Reads the head if a poll is due, and fetches what is missing. While the
  /// store fails and nothing is in force, asks the linked peers and adopts the
  /// highest revision. Blocks for one store call at most twice.
  virtual void poll(TimePoint Now) = 0;

  /// Waits for a change of the head and fetches it; for a thread of its own.
  /// Fails as the store's watch does.
  virtual Result<void> watch(Milliseconds Wait) = 0;

  /// Peer has Revision in force (from gossip). Fetches it from there.
  virtual void onHint(const std::string &Peer, std::uint64_t Revision) = 0;

  /// The last accepted versions, newest first, at most Limit. Blocks.
  virtual Result<std::vector<ConfigVersion>> history(std::size_t Limit) = 0;

  virtual DistributionCounters counters() const = 0;
};

/// Store and Network must outlive the result; the constructor registers the
/// handler of ConfigFetch, so create it before Network.start().
Result<std::unique_ptr<ConfigDistribution>>
createConfigDistribution(DistributionOptions Options, KvStore &Store,
                         PeerNetwork &Network);

/// Changed lines between two texts: the common first and last lines are left
/// out, the rest is "-" old and "+" new, at most MaxLines.
std::string lineDifference(const std::string &Old, const std::string &New,
                           std::size_t MaxLines = 40);

} // namespace primroseworks

#endif
