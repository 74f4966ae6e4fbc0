// How one daemon learns of, fetches and serves configuration revisions.
#include "libdistribution/submission_pvt.h"

#include <algorithm>
#include <atomic>
#include <deque>
#include <mutex>
#include <random>
#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>

namespace primroseworks {
namespace {

using VersionPtr = std::shared_ptr<const ConfigVersion>;

/// After a failed read of the head at the start, the next one follows soon.
constexpr Milliseconds StartRetry{500};

/// One change that this daemon can serve.
struct ServedPatch {
  std::uint64_t m_from = 0;
  ConfigPatch m_patch;
};

/// Answers of the peers that were asked at the start.
struct PeerSurvey {
  std::mutex m_mutex;
  std::size_t m_waiting = 0;
  ConfigDocumentMessage m_best;
};

class DistributionImpl final : public ConfigDistribution {
public:
  DistributionImpl(DistributionOptions Options, KvStore &Store,
                   PeerNetwork &Network)
      : m_options(Options), m_store(Store), m_network(Network),
        m_random(Options.m_seed) {
    m_network.setHandler(
        MessageType::ConfigFetch,
        [this](const std::string &, const Message &Received,
               const PeerReply &Reply) {
          Reply(serve(std::get<ConfigFetchMessage>(Received.m_body)));
        });
  }

  std::uint64_t revision() const override { return m_revision; }
  VersionPtr current() const override {
    std::lock_guard<std::mutex> Lock(m_mutex);
    return m_current;
  }
  void setListener(Listener Handler) override {
    m_listener = std::move(Handler);
  }
  Result<SubmitResult> submit(const std::string &Document,
                              const std::string &Author, std::uint64_t Base,
                              long long WallMillis) override;
  void poll(TimePoint Now) override;
  Result<void> watch(Milliseconds Wait) override;
  void onHint(const std::string &Peer, std::uint64_t Revision) override;
  Result<std::vector<ConfigVersion>> history(std::size_t Limit) override;
  DistributionCounters counters() const override {
    std::lock_guard<std::mutex> Lock(m_mutex);
    return m_counters;
  }

private:
  ConfigDocumentMessage serve(const ConfigFetchMessage &Asked) const;
  void fetchFromPeer(const std::string &Peer, std::uint64_t Revision,
                     bool Whole);
  void onAnswer(const std::string &Peer, std::uint64_t Revision,
                Result<Message> Reply);
  bool adoptDocument(const ConfigDocumentMessage &Answer);
  Result<ConfigVersion> versionOf(const ConfigDocumentMessage &Answer) const;
  bool adopt(ConfigVersion Next);
  void headIs(std::uint64_t Revision);
  Result<void> fetchFromStore(std::uint64_t Revision);
  void askPeers();
  void trim(std::uint64_t Revision);
  std::string newId();
  TimePoint nextPoll(TimePoint Now);

  const DistributionOptions m_options;
  KvStore &m_store;
  PeerNetwork &m_network;
  Listener m_listener;
  std::atomic<std::uint64_t> m_revision{0};
  /// Held while a version comes into force, so that the listener sees rising
  /// revisions. Taken before m_mutex.
  std::mutex m_adopting;

  mutable std::mutex m_mutex; ///< Guards what follows.
  VersionPtr m_current;
  std::deque<ServedPatch> m_patches; ///< Each starts where the last one ended.
  std::uint64_t m_fetching = 0;      ///< Asked of a peer, not yet answered.
  std::uint64_t m_hinted = 0;        ///< Highest that a peer told.
  std::string m_hintPeer;
  TimePoint m_due;
  std::uint64_t m_watched = 0; ///< The store's revision to watch from.
  bool m_watching = false;
  DistributionCounters m_counters;
  std::mt19937_64 m_random;
};

// --- Coming into force -----------------------------------------------------

bool DistributionImpl::adopt(ConfigVersion Next) {
  std::lock_guard<std::mutex> Adopting(m_adopting);
  VersionPtr Adopted;
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    if (Next.m_revision <= m_revision)
      return false;
    if (m_current)
      m_patches.push_back(
          {m_current->m_revision, pvt::makePatch(m_current->m_document, Next)});
    while (m_patches.size() > m_options.m_patches)
      m_patches.pop_front();
    Adopted = std::make_shared<const ConfigVersion>(std::move(Next));
    m_current = Adopted;
    m_revision = Adopted->m_revision;
  }
  m_network.setConfigRevision(Adopted->m_revision);
  if (m_listener)
    m_listener(Adopted);
  return true;
}

// --- Peers -----------------------------------------------------------------

ConfigDocumentMessage
DistributionImpl::serve(const ConfigFetchMessage &Asked) const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  ConfigDocumentMessage Out;
  if (!m_current || m_current->m_revision < Asked.m_revision ||
      m_current->m_revision <= Asked.m_have)
    return Out;
  Out.m_revision = m_current->m_revision;
  Out.m_hash = m_current->m_hash;
  const auto First = std::find_if(
      m_patches.begin(), m_patches.end(),
      [&](const ServedPatch &Entry) { return Entry.m_from == Asked.m_have; });
  std::size_t Size = 0;
  for (auto It = First; It != m_patches.end(); ++It)
    Size += It->m_patch.m_inserted.size();
  if (Asked.m_have == 0 || First == m_patches.end() ||
      Size > m_current->m_document.size()) {
    Out.m_document = m_current->m_document;
    return Out;
  }
  Out.m_base = Asked.m_have;
  for (auto It = First; It != m_patches.end(); ++It)
    Out.m_patches.push_back(It->m_patch);
  return Out;
}

void DistributionImpl::onHint(const std::string &Peer, std::uint64_t Revision) {
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    if (Revision <= m_hinted || Revision <= m_revision)
      return;
    m_hinted = Revision;
    m_hintPeer = Peer;
  }
  fetchFromPeer(Peer, Revision, false);
}

void DistributionImpl::fetchFromPeer(const std::string &Peer,
                                     std::uint64_t Revision, bool Whole) {
  ConfigFetchMessage Ask;
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    if (m_fetching != 0)
      return; // Its answer starts the next one.
    m_fetching = Revision;
    Ask.m_revision = Revision;
    Ask.m_have = Whole ? 0 : m_revision.load();
    ++m_counters.m_peerFetches;
  }
  m_network.requestAsync(Peer, Ask, m_options.m_fetchTimeout,
                         [this, Peer, Revision](Result<Message> Reply) {
                           onAnswer(Peer, Revision, std::move(Reply));
                         });
}

void DistributionImpl::onAnswer(const std::string &Peer, std::uint64_t Revision,
                                Result<Message> Reply) {
  bool Refetch = false;
  if (Reply && Reply.value().type() == MessageType::ConfigDocument) {
    const auto &Answer = std::get<ConfigDocumentMessage>(Reply.value().m_body);
    Refetch =
        !adoptDocument(Answer) && Answer.m_base != 0 && m_revision < Revision;
  }
  std::string Next;
  std::uint64_t Hinted = 0;
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_fetching = 0;
    Hinted = m_hinted;
    if (Hinted > m_revision && Hinted > Revision)
      Next = m_hintPeer;
    if (m_revision < Revision && Hinted == Revision)
      m_hinted = m_revision; // The next hint, of any peer, is tried.
  }
  if (Refetch)
    fetchFromPeer(Peer, Revision, true);
  else if (!Next.empty())
    fetchFromPeer(Next, Hinted, false);
}

Result<ConfigVersion>
DistributionImpl::versionOf(const ConfigDocumentMessage &Answer) const {
  ConfigVersion Out;
  Out.m_revision = Answer.m_revision;
  Out.m_hash = Answer.m_hash;
  if (Answer.m_base == 0) {
    Out.m_document = Answer.m_document;
    if (pvt::hashOf(Out.m_document) != Out.m_hash)
      return makeError(ErrorKind::Protocol,
                       "a peer's configuration document has another hash; it "
                       "is fetched elsewhere");
    return Out;
  }
  const VersionPtr Current = current();
  if (!Current || Current->m_revision != Answer.m_base)
    return makeError(ErrorKind::Conflict,
                     "the change is for another revision; the whole document "
                     "is fetched");
  Out.m_document = Current->m_document;
  for (const ConfigPatch &Patch : Answer.m_patches) {
    BOOST_OUTCOME_TRY(Patched, pvt::applyPatch(Out.m_document, Patch));
    Out.m_document = std::move(Patched);
  }
  if (pvt::hashOf(Out.m_document) != Out.m_hash)
    return makeError(ErrorKind::Protocol,
                     "the changes lead to another hash; the whole document is "
                     "fetched");
  return Out;
}

bool DistributionImpl::adoptDocument(const ConfigDocumentMessage &Answer) {
  if (Answer.m_revision <= m_revision)
    return false;
  auto Next = versionOf(Answer);
  if (!Next || !adopt(std::move(Next.value())))
    return false;
  std::lock_guard<std::mutex> Lock(m_mutex);
  m_counters.m_patched += Answer.m_base != 0;
  return true;
}

/// Start without the store: all linked peers are asked, and the highest
/// revision among the answers comes into force.
void DistributionImpl::askPeers() {
  auto Survey = std::make_shared<PeerSurvey>();
  const auto Links = m_network.links();
  Survey->m_waiting = Links.size();
  for (const PeerLinkStatus &Link : Links)
    m_network.requestAsync(
        Link.m_name, ConfigFetchMessage{}, m_options.m_fetchTimeout,
        [this, Survey](Result<Message> Reply) {
          bool Last = false;
          {
            std::lock_guard<std::mutex> Lock(Survey->m_mutex);
            if (Reply && Reply.value().type() == MessageType::ConfigDocument) {
              auto &Answer =
                  std::get<ConfigDocumentMessage>(Reply.value().m_body);
              if (Answer.m_revision > Survey->m_best.m_revision)
                Survey->m_best = std::move(Answer);
            }
            Last = --Survey->m_waiting == 0;
          }
          if (Last && Survey->m_best.m_revision != 0)
            adoptDocument(Survey->m_best);
        });
}

// --- Store -----------------------------------------------------------------

TimePoint DistributionImpl::nextPoll(TimePoint Now) {
  std::uniform_real_distribution<double> Factor(0.9, 1.1);
  return Now + fromSeconds(toSeconds(m_options.m_poll) * Factor(m_random));
}

void DistributionImpl::poll(TimePoint Now) {
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    if (m_due == TimePoint()) { // Members that start together spread out.
      std::uniform_real_distribution<double> Part(0, 1);
      m_due =
          Now + (m_current
                     ? fromSeconds(toSeconds(m_options.m_poll) * Part(m_random))
                     : Duration(0));
    }
    if (Now < m_due)
      return;
    m_due = nextPoll(Now);
    ++m_counters.m_polls;
  }
  const auto Found = m_store.get(ConfigHeadKey);
  if (Found) {
    if (!Found.value())
      return;
    const auto Head = pvt::decodeHead(Found.value()->m_value);
    if (Head)
      headIs(Head.value().m_revision);
    else
      spdlog::error("configuration: {}", Head.error().m_message);
    return;
  }
  if (m_revision != 0)
    return; // What is in force stays; peers tell of newer revisions.
  askPeers();
  std::lock_guard<std::mutex> Lock(m_mutex);
  m_due = Now + StartRetry;
}

/// The store says that Revision is accepted.
void DistributionImpl::headIs(std::uint64_t Revision) {
  if (Revision <= m_revision)
    return;
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    if (m_fetching >= Revision)
      return; // A peer is sending it; if not, the next poll comes again.
  }
  const auto Fetched = fetchFromStore(Revision);
  if (!Fetched)
    spdlog::warn("configuration: revision {}: {}", Revision,
                 Fetched.error().m_message);
}

Result<void> DistributionImpl::fetchFromStore(std::uint64_t Revision) {
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    ++m_counters.m_storeFetches;
  }
  BOOST_OUTCOME_TRY(Stored, m_store.get(pvt::docKey(Revision)));
  if (!Stored)
    return makeError(ErrorKind::NotFound,
                     "the document is not in the store; apply the "
                     "configuration again");
  BOOST_OUTCOME_TRY(Doc, pvt::decodeDoc(Stored->m_value));
  adopt(std::move(Doc.m_version));
  return boost::outcome_v2::success();
}

Result<void> DistributionImpl::watch(Milliseconds Wait) {
  std::uint64_t After = 0;
  bool Known = false;
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    After = m_watched;
    Known = m_watching;
  }
  std::vector<KvEvent> Events;
  if (!Known) {
    BOOST_OUTCOME_TRY(Found, m_store.range(ConfigHeadKey));
    After = Found.m_revision;
    for (KvEntry &Entry : Found.m_entries)
      Events.push_back({Entry.m_key, Entry.m_value, Entry.m_revision});
  } else {
    auto Changed = m_store.watch(ConfigHeadKey, After, Wait);
    if (!Changed) {
      std::lock_guard<std::mutex> Lock(m_mutex);
      m_watching = false; // Read the range again.
      return Changed.error();
    }
    After = Changed.value().m_revision;
    Events = std::move(Changed.value().m_events);
  }
  {
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_watched = After;
    m_watching = true;
  }
  std::uint64_t Highest = 0;
  for (const KvEvent &Event : Events)
    if (Event.m_key == ConfigHeadKey && Event.m_value)
      if (const auto Head = pvt::decodeHead(*Event.m_value))
        Highest = std::max(Highest, Head.value().m_revision);
  headIs(Highest);
  return boost::outcome_v2::success();
}

std::string DistributionImpl::newId() {
  std::random_device Entropy; // Two daemons must not draw the same id.
  return fmt::format("{:08x}{:08x}{:08x}{:08x}", Entropy(), Entropy(),
                     Entropy(), Entropy());
}

Result<SubmitResult> DistributionImpl::submit(const std::string &Document,
                                              const std::string &Author,
                                              std::uint64_t Base,
                                              long long WallMillis) {
  if (Document.size() > MaxConfigBytes)
    return makeError(ErrorKind::InvalidArgument,
                     fmt::format("configuration has {} bytes; keep it within "
                                 "{} bytes",
                                 Document.size(), MaxConfigBytes));
  const ConfigVersion Next{Base + 1, pvt::hashOf(Document), Document, Author,
                           WallMillis};
  pvt::Submission Attempt(m_store, Next, Base, newId(), m_options.m_settle);
  BOOST_OUTCOME_TRY(Outcome, Attempt.run());
  if (Outcome.m_accepted) {
    adopt(Next);
    trim(Next.m_revision);
  }
  return Outcome;
}

/// Deletes the document that is too old; a failure leaves one entry behind.
void DistributionImpl::trim(std::uint64_t Revision) {
  if (Revision <= m_options.m_history)
    return;
  const std::string Key = pvt::docKey(Revision - m_options.m_history);
  const auto Old = m_store.get(Key);
  if (Old && Old.value())
    (void)m_store.compareAndSwap(Key, Old.value()->m_revision, std::nullopt);
}

Result<std::vector<ConfigVersion>>
DistributionImpl::history(std::size_t Limit) {
  std::vector<ConfigVersion> Out;
  BOOST_OUTCOME_TRY(Found, m_store.get(ConfigHeadKey));
  if (!Found)
    return Out;
  BOOST_OUTCOME_TRY(Head, pvt::decodeHead(Found->m_value));
  for (std::uint64_t Revision = Head.m_revision;
       Revision != 0 && Out.size() < Limit; --Revision) {
    BOOST_OUTCOME_TRY(Stored, m_store.get(pvt::docKey(Revision)));
    if (!Stored)
      break;
    BOOST_OUTCOME_TRY(Doc, pvt::decodeDoc(Stored->m_value));
    Out.push_back(std::move(Doc.m_version));
  }
  return Out;
}

} // namespace

Result<std::unique_ptr<ConfigDistribution>>
createConfigDistribution(DistributionOptions Options, KvStore &Store,
                         PeerNetwork &Network) {
  if (Options.m_poll <= Milliseconds(0) || Options.m_history == 0 ||
      Options.m_fetchTimeout <= Milliseconds(0))
    return makeError(ErrorKind::InvalidArgument,
                     "an interval or the history of the configuration is not "
                     "positive; set at least 1");
  return std::unique_ptr<ConfigDistribution>(
      std::make_unique<DistributionImpl>(Options, Store, Network));
}

} // namespace primroseworks
